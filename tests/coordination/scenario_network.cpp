#include "scenario_network.hpp"

#include <algorithm>

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

/// Delays of the Salt Trust's network within and between zones.
constexpr auto near_delay = duration(100);
constexpr auto far_delay = duration(1ms);

} // namespace

auto scenario_network::add(const std::string& process, const std::string& zone)
    -> void
{
    processes_[process].zone = zone;
}

auto scenario_network::start(const std::string& process) -> void
{
    auto& state = processes_.at(process);
    state.is_alive = true;
    state.is_frozen = false;
    state.deferred.clear();
    ++state.run;
}

auto scenario_network::stop(const std::string& process) -> void
{
    auto& state = processes_.at(process);
    state.is_alive = false;
    state.is_frozen = false;
    state.deferred.clear();
    ++state.run;
    // What is on its way still arrives.
    for (auto& [number, connection] : connections_) {
        connection.is_closed |=
            connection.a == process || connection.b == process;
    }
}

auto scenario_network::freeze(const std::string& process) -> void
{
    processes_.at(process).is_frozen = true;
}

auto scenario_network::thaw(const std::string& process) -> void
{
    auto& state = processes_.at(process);
    state.is_frozen = false;
    const auto run = state.run;
    for (auto& work : std::exchange(state.deferred, {})) {
        deliver(process, run, std::move(work));
    }
}

auto scenario_network::is_alive(const std::string& process) const -> bool
{
    return processes_.at(process).is_alive;
}

auto scenario_network::is_frozen(const std::string& process) const -> bool
{
    return processes_.at(process).is_frozen;
}

auto scenario_network::zone_of(const std::string& process) const -> std::string
{
    return processes_.at(process).zone;
}

auto scenario_network::expand(const std::string& party) const
    -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    for (const auto& [name, state] : processes_) {
        if (name == party || state.zone == party || party == "*") {
            out.push_back(name);
        }
    }
    return out;
}

auto scenario_network::cut(const std::string& a, const std::string& b,
                           bool is_one_way) -> void
{
    const auto inside = expand(a);
    for (const auto& from : inside) {
        for (const auto& to : expand(b)) {
            const auto is_same_side =
                from == to ||
                (b == "*" &&
                 std::find(inside.begin(), inside.end(), to) != inside.end());
            if (is_same_side) {
                continue;
            }
            cuts_.emplace(from, to);
            if (!is_one_way) {
                cuts_.emplace(to, from);
            }
        }
    }
}

auto scenario_network::heal(const std::string& a, const std::string& b) -> void
{
    for (const auto& from : expand(a)) {
        for (const auto& to : expand(b)) {
            cuts_.erase({from, to});
            cuts_.erase({to, from});
        }
    }
}

auto scenario_network::heal_all() -> void
{
    cuts_.clear();
}

auto scenario_network::is_reachable(const std::string& from,
                                    const std::string& to) const -> bool
{
    return !cuts_.contains({from, to});
}

auto scenario_network::connect(const std::string& a, const std::string& b)
    -> connection_number
{
    connections_[++last_connection_] = {a, b, false, false, {}};
    return last_connection_;
}

auto scenario_network::silence(const std::string& a, const std::string& b)
    -> void
{
    const auto left = expand(a);
    const auto right = expand(b);
    const auto has = [](const auto& list, const std::string& name) {
        return std::find(list.begin(), list.end(), name) != list.end();
    };
    for (auto& [number, connection] : connections_) {
        const auto is_meant =
            (has(left, connection.a) && has(right, connection.b)) ||
            (has(left, connection.b) && has(right, connection.a));
        connection.is_silent |= is_meant;
    }
}

auto scenario_network::delay(const std::string& from, const std::string& to)
    -> duration
{
    const auto base = least_delay                    ? least_delay(from, to)
                      : zone_of(from) == zone_of(to) ? near_delay
                                                     : far_delay;
    return base + duration(static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(base.count())));
}

auto scenario_network::deliver(const std::string& process, std::uint64_t run,
                               action work) -> void
{
    auto& state = processes_.at(process);
    if (!state.is_alive || state.run != run) {
        return;
    }
    if (state.is_frozen) {
        state.deferred.push_back(std::move(work));
        return;
    }
    work();
}

auto scenario_network::after(const std::string& process, duration delay,
                             action work) -> void
{
    const auto run = processes_.at(process).run;
    events_.emplace(now_ + delay,
                    [this, process, run, work = std::move(work)]() mutable {
                        deliver(process, run, std::move(work));
                    });
}

auto scenario_network::at(time_point when, action work) -> void
{
    events_.emplace(when, std::move(work));
}

auto scenario_network::datagram(const std::string& from, const std::string& to,
                                action work) -> void
{
    const auto is_lost = random() % 100 < loss || !is_reachable(from, to);
    if (!is_lost) {
        after(to, delay(from, to), std::move(work));
    }
}

auto scenario_network::send(connection_number connection,
                            const std::string& from, const std::string& to,
                            action work, action refused) -> void
{
    if (!is_reachable(from, to)) {
        return;
    }
    if (!is_alive(to)) {
        if (refused && is_reachable(to, from)) {
            after(from, delay(from, to) * 2, std::move(refused));
        }
        return;
    }
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.is_closed) {
        if (refused) {
            after(from, delay(from, to) * 2, std::move(refused));
        }
        return;
    }
    if (found->second.is_silent) {
        return;
    }
    auto& last = found->second.last[to];
    last = std::max(last + duration(1), now_ + delay(from, to));
    after(to, last - now_, [this, connection, work = std::move(work)] {
        const auto place = connections_.find(connection);
        if (place != connections_.end() && !place->second.is_silent) {
            work();
        }
    });
}

auto scenario_network::run_until(time_point end) -> void
{
    while (!events_.empty() && events_.begin()->first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = std::max(now_, event.key());
        event.mapped()();
    }
    now_ = std::max(now_, end);
}

} // namespace rhubarbrun::tests
