#include "scenario_network.hpp"

#include <algorithm>

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

/// Default one-way delays within and between availability zones. They match a
/// deployment of docs/design.md with about 1 ms between its zones.
constexpr auto intra_zone_delay = duration(100);
constexpr auto inter_zone_delay = duration(1ms);

} // namespace

auto scenario_network::add(const std::string& process, const std::string& zone)
    -> void
{
    auto& state = processes_[process];
    state.name = process;
    state.zone = zone;
}

auto scenario_network::start(const std::string& process) -> void
{
    auto& state = processes_.at(process);
    state.is_alive = true;
    state.is_frozen = false;
    state.deferred.clear();
    ++state.run_number;
}

auto scenario_network::stop(const std::string& process) -> void
{
    auto& state = processes_.at(process);
    state.is_alive = false;
    state.is_frozen = false;
    state.deferred.clear();
    ++state.run_number;
    // Messages in flight are still delivered.
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
    const auto run = state.run_number;
    for (auto& work : std::exchange(state.deferred, {})) {
        deliver(state, run, std::move(work));
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

auto scenario_network::zone_of(const std::string& process) const
    -> const std::string&
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
    return cuts_.empty() || !cuts_.contains({from, to});
}

auto scenario_network::connect(const std::string& a, const std::string& b)
    -> connection_number
{
    connections_[++last_connection_] = {a, b, false, false, {}, {}};
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

auto scenario_network::delay(const process_state& from, const process_state& to)
    -> duration
{
    const auto base = min_delay              ? min_delay(from.name, to.name)
                      : from.zone == to.zone ? intra_zone_delay
                                             : inter_zone_delay;
    return base + duration(static_cast<std::int64_t>(
                      random() % static_cast<std::uint64_t>(base.count())));
}

auto scenario_network::deliver(process_state& state, std::uint64_t run,
                               action work) -> void
{
    if (!state.is_alive || state.run_number != run) {
        return;
    }
    if (state.is_frozen) {
        state.deferred.push_back(std::move(work));
        return;
    }
    work();
}

auto scenario_network::schedule(process_state& state, duration delay,
                                action work) -> void
{
    // The pointer stays valid: processes are never removed, and a map does
    // not move its elements.
    events_.emplace(now_ + delay,
                    event{&state, state.run_number, std::move(work)});
}

auto scenario_network::schedule_after(const std::string& process,
                                      duration delay, action work) -> void
{
    schedule(processes_.at(process), delay, std::move(work));
}

auto scenario_network::schedule_at(time_point when, action work) -> void
{
    events_.emplace(when, event{nullptr, 0, std::move(work)});
}

auto scenario_network::send_datagram(const std::string& from,
                                     const std::string& to, action work) -> void
{
    const auto is_lost =
        random() % 100 < datagram_loss_percent || !is_reachable(from, to);
    if (!is_lost) {
        auto& receiver = processes_.at(to);
        schedule(receiver, delay(processes_.at(from), receiver),
                 std::move(work));
    }
}

auto scenario_network::send(connection_number connection,
                            const std::string& from, const std::string& to,
                            action work, action refused) -> void
{
    if (!is_reachable(from, to)) {
        return;
    }
    auto& sender = processes_.at(from);
    auto& receiver = processes_.at(to);
    if (!receiver.is_alive) {
        if (refused && is_reachable(to, from)) {
            schedule(sender, delay(sender, receiver) * 2, std::move(refused));
        }
        return;
    }
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.is_closed) {
        if (refused) {
            schedule(sender, delay(sender, receiver) * 2, std::move(refused));
        }
        return;
    }
    auto& state = found->second;
    if (state.is_silent) {
        return;
    }
    auto& last =
        to == state.a ? state.last_delivery_to_a : state.last_delivery_to_b;
    last = std::max(last + duration(1), now_ + delay(sender, receiver));
    schedule(receiver, last - now_, [&state, work = std::move(work)] {
        if (!state.is_silent) {
            work();
        }
    });
}

auto scenario_network::run_until(time_point end) -> void
{
    while (!events_.empty() && events_.begin()->first <= end) {
        auto next = events_.extract(events_.begin());
        now_ = std::max(now_, next.key());
        auto& [process, run, work] = next.mapped();
        if (process == nullptr) {
            work();
        } else {
            deliver(*process, run, std::move(work));
        }
    }
    now_ = std::max(now_, end);
}

} // namespace rhubarbrun::tests
