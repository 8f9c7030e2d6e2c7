#include <rhubarbrun/coordination/server_pool.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// First and longest pause after a failed attempt to reach a server.
constexpr auto first_backoff = milliseconds(150);
constexpr auto last_backoff = milliseconds(1200);
/// Pause after a server refused a connection because it has too many.
constexpr auto connection_limit_pause = milliseconds(150);
/// Refusals in a row after which a statement is better sent to a process that
/// has a connection; with their pauses about half of a second.
constexpr auto limit_refusals_borne = std::size_t{3};
/// Statements go elsewhere for this long; then a connection is tried again.
constexpr auto out_of_connections_time = milliseconds(300);
/// First and longest time for which a replica that lacks commits of the
/// staleness limit gets no reads; such a lag lasts for seconds.
constexpr auto first_lagging_pause = milliseconds(200);
constexpr auto last_lagging_pause = milliseconds(800);
/// First and longest pause after a full server refused a statement: part of the
/// time in which it works off its queue.
constexpr auto first_full_pause = milliseconds(20);
constexpr auto last_full_pause = milliseconds(160);
/// Round trips and work of a statement, by distance, before there are samples.
constexpr auto same_zone_latency_us = 15'000.0;
constexpr auto same_region_latency_us = 17'000.0;
constexpr auto other_region_latency_us = 50'000.0;
/// Opening a connection takes a round trip, the server's set-up time and a
/// slot of it.
constexpr auto connect_latency_us = 30'000.0;
/// Connections to one server that are opened at a time; one if it is full,
/// because each takes a slot that could run statements.
constexpr auto most_connecting = std::size_t{3};
/// Weight of a new latency sample.
constexpr auto sample_weight = 0.2;
/// A sample counts for nothing after this long, so that a server that was slow
/// is tried again.
constexpr auto sample_life = std::chrono::seconds(3);
/// Reads at the primary take slots that only it has for writes.
constexpr auto primary_read_penalty = 1.6;
/// Work beyond one statement a slot waits in the server's queue.
constexpr auto queue_weight = 0.7;
/// A primary that leaves still takes work for this long, because its successor
/// is being chosen; a replica takes none.
constexpr auto leaving_primary_time = std::chrono::seconds(5);
constexpr auto tick_interval = milliseconds(400);
/// Where idle connections are closed soon.
constexpr auto scarce_tick_interval = milliseconds(100);
/// Growth of the idle limit in each such interval without a refusal.
constexpr auto idle_limit_growth_percentage = 101;
/// Part of a server's connections that is shared out; the rest is for control
/// and for connections that a server still holds after their end.
constexpr auto shared_part = 0.9;
/// After a server was full, no connections beyond the share are opened to it
/// for this long.
constexpr auto burst_pause = std::chrono::seconds(2);
/// Processes that are assumed before control told their number.
constexpr auto assumed_sharers = std::uint32_t{16};

} // namespace

auto to_string(connect_failure reason) noexcept -> std::string_view
{
    switch (reason) {
    case connect_failure::refused:
        return "refused";
    case connect_failure::unreachable:
        return "unreachable";
    case connect_failure::connection_limit:
        return "connection_limit";
    case connect_failure::wrong_server:
        return "wrong_server";
    }
    return "unknown";
}

server_pool::server_pool(server_pool_options options, open_function open,
                         close_function close)
    : options_(std::move(options)),
      open_(std::move(open)),
      close_(std::move(close)),
      sharers_(assumed_sharers)
{
}

auto server_pool::update(time_point now, const server_record& record) -> void
{
    auto& each = servers_[record.id];
    const auto is_restart = each.record.started_at != record.started_at ||
                            each.record.address != record.address;
    const auto was_primary =
        !is_restart && each.record.role == server_role::primary;
    each.record = record;
    if (is_restart) {
        each.path = {};
        each.idle_limit = options_.scarce_idle_limit;
        each.limit_refusals = 0;
        each.avoid_until = {};
        each.failures = 0;
        each.failing_since.reset();
        each.latency_us = base_latency(each);
        close_idle(now, each, 0, duration::zero());
    }
    if (record.role == server_role::primary && !was_primary) {
        each.claim = ++last_claim_;
        each.is_claim_refused = false;
        each.avoid_until = {};
    } else if (record.role == server_role::replica) {
        each.claim = 0;
        each.is_claim_refused = false;
    }
    if (record.state == server_availability::ready) {
        each.draining_since.reset();
        return;
    }
    if (!each.draining_since) {
        each.draining_since = now;
    }
    if (record.role == server_role::replica ||
        record.state == server_availability::gone)
    {
        close_idle(now, each, 0, duration::zero());
    }
}

auto server_pool::set_connection_limit(const group_id& group,
                                       std::uint32_t limit) -> void
{
    limits_[group] = limit;
}

auto server_pool::is_primary(const server& each) const -> bool
{
    if (each.claim == 0 || each.is_claim_refused) {
        return false;
    }
    return std::none_of(
        servers_.begin(), servers_.end(), [&](const auto& other) {
            return other.second.record.group == each.record.group &&
                   other.second.claim > each.claim &&
                   !other.second.is_claim_refused &&
                   other.second.record.state != server_availability::gone;
        });
}

auto server_pool::may_use(time_point now, const server& each,
                          const demand& need) const -> bool
{
    if (each.record.group != need.group || now < each.avoid_until ||
        each.record.state == server_availability::gone)
    {
        return false;
    }
    if (need.is_primary_needed) {
        return is_primary(each) &&
               (!each.draining_since ||
                now - *each.draining_since < leaving_primary_time);
    }
    return !each.draining_since && (need.excluded == nullptr ||
                                    !need.excluded->contains(each.record.id));
}

auto server_pool::is_served(time_point now, const demand& need) const -> bool
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
        return may_use(now, each.second, need);
    });
}

auto server_pool::outage_since(const demand& need) const
    -> std::optional<time_point>
{
    auto since = std::optional<time_point>();
    for (const auto& [id, each] : servers_) {
        const auto is_candidate =
            each.record.group == need.group &&
            each.record.state != server_availability::gone &&
            (!need.is_primary_needed || is_primary(each));
        if (!is_candidate) {
            continue;
        }
        if (!each.failing_since || each.path.is_detour_promising()) {
            return std::nullopt;
        }
        since =
            std::max(since.value_or(*each.failing_since), *each.failing_since);
    }
    return since;
}

auto server_pool::is_out_of_connections(time_point now,
                                        const demand& need) const -> bool
{
    return need.is_primary_needed &&
           std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
               const auto& known = each.second;
               return known.record.group == need.group &&
                      now < known.out_of_connections_until &&
                      known.open == known.connecting && is_primary(known);
           });
}

auto server_pool::base_latency(const server& each) const -> double
{
    if (each.record.zone == options_.zone) {
        return same_zone_latency_us;
    }
    const auto own = options_.regions.find(options_.zone);
    const auto other = options_.regions.find(each.record.zone);
    const auto is_same_region = own != options_.regions.end() &&
                                other != options_.regions.end() &&
                                own->second == other->second;
    return is_same_region ? same_region_latency_us : other_region_latency_us;
}

auto server_pool::score(time_point now, const server& each,
                        bool is_primary_needed) const -> double
{
    const auto base = base_latency(each);
    const auto age = now - each.sampled_at;
    const auto weight =
        age >= sample_life
            ? 0.0
            : 1.0 - static_cast<double>(age.count()) /
                        static_cast<double>(duration(sample_life).count());
    auto result = base + weight * (each.latency_us - base);
    const auto slots = std::max<double>(1, each.record.slots);
    result *= 1 + queue_weight * static_cast<double>(each.busy) / slots;
    if (!is_primary_needed && is_primary(each)) {
        result *= primary_read_penalty;
    }
    return result;
}

auto server_pool::set_sharers(std::uint32_t count) -> void
{
    sharers_ = std::max(count, 1U);
    is_sharers_told_ = true;
}

auto server_pool::set_detours(const target_id& id,
                              std::vector<std::string> addresses) -> void
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    auto& each = found->second;
    const auto had_detour = each.path.has_detour();
    each.path.set_detours(std::move(addresses));
    if (!had_detour && each.path.has_detour()) {
        each.avoid_until = {};
    }
}

auto server_pool::part_of(const server& each) const -> double
{
    const auto found = limits_.find(each.record.group);
    const auto total = found == limits_.end() ? 0U : found->second;
    return shared_part * total / sharers_;
}

auto server_pool::share_of(const server& each) const -> std::size_t
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(part_of(each)));
}

auto server_pool::may_open(time_point now, const server& each,
                           const demand& need) const -> bool
{
    const auto share = share_of(each);
    const auto limit =
        now < each.burst_not_before ? share : share * options_.burst_factor;
    const auto is_pressed = now < each.burst_not_before || !is_sharers_told_;
    const auto at_once =
        is_pressed ? std::size_t{1} : std::min(need.waiting, most_connecting);
    return each.open < (is_sharers_told_ ? limit : share) &&
           each.connecting < at_once && now >= each.no_connections_until;
}

auto server_pool::rank(time_point now, const demand& need) -> ranking
{
    auto ranked = ranking();
    for (auto& [id, each] : servers_) {
        if (may_use(now, each, need)) {
            ranked.emplace_back(score(now, each, need.is_primary_needed),
                                &each);
        }
    }
    if (!need.is_primary_needed) {
        leave_out_lagging(now, ranked);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) {
                  return left.first < right.first;
              });
    std::erase_if(ranked, [&](const auto& each) {
        return has_no_room(now, *each.second);
    });
    return ranked;
}

auto server_pool::choose(time_point now, const demand& need)
    -> std::optional<connection_id>
{
    const auto ranked = rank(now, need);
    const auto idle =
        std::find_if(ranked.begin(), ranked.end(), [](const auto& each) {
            return !each.second->idle.empty();
        });
    for (auto each = ranked.begin(); each != ranked.end(); ++each) {
        const auto is_close_enough =
            idle != ranked.end() &&
            idle->first - each->first <= connect_latency_us;
        if (is_close_enough) {
            const auto is_wanted =
                each != idle || each->second->path.is_direct_due(now);
            if (is_wanted && each->second->connecting == 0 &&
                may_open(now, *each->second, need))
            {
                // The better server, or the direct way to it, takes the
                // statements that follow.
                open(now, *each->second);
            }
            return take_idle(now, *idle->second);
        }
        if (may_open(now, *each->second, need)) {
            open(now, *each->second);
            return std::nullopt;
        }
        if (each->second->connecting > 0) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

auto server_pool::leave_out_lagging(time_point now, ranking& ranked) -> void
{
    const auto first_lagging = std::stable_partition(
        ranked.begin(), ranked.end(),
        [&](const auto& each) { return now >= each.second->lagging_until; });
    if (first_lagging != ranked.begin()) {
        ranked.erase(first_lagging, ranked.end());
    }
}

auto server_pool::take_idle(time_point now, server& each) -> connection_id
{
    const auto id = each.idle.back();
    each.idle.pop_back();
    auto& used = connections_.at(id);
    used.is_idle = false;
    used.used_at = now;
    ++each.busy;
    return id;
}

auto server_pool::open(time_point now, server& each) -> void
{
    const auto id = connection_id(++last_connection_);
    const auto detour = each.path.choose(now);
    connections_[id] = {each.record.id, detour, false, now};
    ++each.open;
    ++each.connecting;
    open_(id, each.record, detour);
}

auto server_pool::on_connected(time_point now, connection_id id) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    --each.connecting;
    each.failures = 0;
    each.limit_refusals = 0;
    each.path.on_opened(found->second.detour);
    if (found->second.detour.empty()) {
        each.failing_since.reset();
        each.answered_at = now;
        close_idle_of_way(each, false);
    }
    found->second.is_idle = true;
    found->second.used_at = now;
    each.idle.push_back(id);
}

auto server_pool::on_connect_failed(time_point now, connection_id id,
                                    connect_failure reason) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    --each.connecting;
    --each.open;
    const auto detour = found->second.detour;
    connections_.erase(found);
    if (reason == connect_failure::connection_limit) {
        each.no_connections_until = now + connection_limit_pause;
        each.burst_not_before = now + burst_pause;
        if (++each.limit_refusals >= limit_refusals_borne) {
            each.limit_refusals = 0;
            each.out_of_connections_until = now + out_of_connections_time;
        }
        each.idle_limit =
            std::max(options_.shortest_idle_limit, each.idle_limit / 2);
        if (detour.empty()) {
            each.answered_at = now;
        }
        return;
    }
    fail(now, each, detour);
}

auto server_pool::close_idle_of_way(server& each, bool is_direct) -> void
{
    for (const auto& id : std::vector<connection_id>(each.idle)) {
        if (connections_.at(id).detour.empty() == is_direct) {
            std::erase(each.idle, id);
            connections_.erase(id);
            --each.open;
            close_(id);
        }
    }
}

auto server_pool::fail(time_point now, server& each, const std::string& detour)
    -> void
{
    each.path.on_failed(now, detour);
    if (detour.empty()) {
        if (!each.failing_since) {
            each.failing_since = now;
        }
        close_idle_of_way(each, true);
    }
    if (each.path.is_detour_promising()) {
        each.avoid_until = now;
        return;
    }
    const auto pause = std::min<duration>(
        first_backoff *
            (std::int64_t{1} << std::min<std::size_t>(each.failures, 4)),
        last_backoff);
    ++each.failures;
    each.avoid_until = now + pause;
}

auto server_pool::on_answer(time_point now, connection_id id, duration latency)
    -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    const auto sample = static_cast<double>(latency.count());
    each.latency_us += sample_weight * (sample - each.latency_us);
    each.sampled_at = now;
    each.failures = 0;
    each.lagging_refusals = 0;
    if (found->second.detour.empty()) {
        each.answered_at = now;
        each.failing_since.reset();
    }
}

auto server_pool::on_silence(time_point now, connection_id id) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    const auto has_answered_lately =
        each.answered_at && *each.answered_at > found->second.used_at;
    if (!has_answered_lately || !found->second.detour.empty()) {
        fail(now, each, std::string(found->second.detour));
    }
}

auto server_pool::on_not_primary(const target_id& id) -> void
{
    if (const auto found = servers_.find(id); found != servers_.end()) {
        found->second.is_claim_refused = true;
    }
}

auto server_pool::on_primary(const target_id& id) -> void
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || is_primary(found->second)) {
        return;
    }
    found->second.claim = ++last_claim_;
    found->second.is_claim_refused = false;
}

auto server_pool::on_lagging(time_point now, const target_id& id) -> void
{
    if (const auto found = servers_.find(id); found != servers_.end()) {
        auto& each = found->second;
        each.lagging_until =
            now + std::min<duration>(
                      first_lagging_pause *
                          (std::int64_t{1}
                           << std::min<std::size_t>(each.lagging_refusals, 4)),
                      last_lagging_pause);
        ++each.lagging_refusals;
    }
}

auto server_pool::on_full(time_point now, const target_id& id) -> void
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    auto& each = found->second;
    each.burst_not_before = now + burst_pause;
    if (now < each.full_until) {
        // It was sent before the pause began.
        return;
    }
    each.full_until =
        now + std::min<duration>(first_full_pause *
                                     (std::int64_t{1} << std::min<std::size_t>(
                                          each.full_refusals, 3)),
                                 last_full_pause);
    ++each.full_refusals;
    each.window =
        std::max<std::size_t>(1, std::min(each.window, each.busy) / 2);
}

auto server_pool::on_served(connection_id id) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    each.full_refusals = 0;
    each.window = std::min(each.window + 1, unlimited_window);
}

auto server_pool::has_no_room(time_point now, const server& each) -> bool
{
    return now < each.full_until || each.busy >= each.window;
}

auto server_pool::is_full(time_point now, const demand& need) const -> bool
{
    auto is_any = false;
    for (const auto& [id, each] : servers_) {
        if (!may_use(now, each, need) || now < each.lagging_until) {
            continue;
        }
        if (!has_no_room(now, each)) {
            return false;
        }
        is_any = true;
    }
    return is_any;
}

auto server_pool::release(time_point now, connection_id id) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.is_idle) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    --each.busy;
    const auto is_leaving =
        each.draining_since &&
        !(is_primary(each) && each.record.state != server_availability::gone);
    if (is_leaving) {
        --each.open;
        connections_.erase(found);
        close_(id);
        return;
    }
    found->second.is_idle = true;
    found->second.used_at = now;
    each.idle.push_back(id);
}

auto server_pool::forget(time_point now, connection_id id, bool is_failure)
    -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    --each.open;
    if (found->second.is_idle) {
        std::erase(each.idle, id);
    } else {
        --each.busy;
    }
    const auto detour = found->second.detour;
    connections_.erase(found);
    if (is_failure) {
        fail(now, each, detour);
    }
}

auto server_pool::close_idle(time_point now, server& each, std::size_t kept,
                             duration older_than) -> void
{
    auto index = std::size_t{0};
    while (each.idle.size() > kept && index < each.idle.size()) {
        const auto id = each.idle[index];
        if (now - connections_.at(id).used_at < older_than) {
            ++index;
            continue;
        }
        each.idle.erase(each.idle.begin() + static_cast<std::ptrdiff_t>(index));
        connections_.erase(id);
        --each.open;
        close_(id);
    }
}

auto server_pool::tick(time_point now) -> time_point
{
    auto is_scarce = false;
    for (auto& [id, each] : servers_) {
        close_unused(now, each);
        is_scarce |= has_scarce_connections(each);
    }
    return now + (is_scarce ? scarce_tick_interval : tick_interval);
}

auto server_pool::has_scarce_connections(const server& each) const -> bool
{
    return is_sharers_told_ && part_of(each) < 1;
}

auto server_pool::close_unused(time_point now, server& each) -> void
{
    if (has_scarce_connections(each)) {
        each.idle_limit = std::clamp(
            each.idle_limit * idle_limit_growth_percentage / 100,
            options_.shortest_idle_limit, options_.scarce_idle_limit);
        close_idle(now, each, 0, each.idle_limit);
    } else {
        close_idle(now, each, 1, options_.idle_limit);
    }
    // Idle connections are the surplus as far as there are any.
    const auto share = share_of(each);
    if (each.open > share) {
        const auto surplus = std::min(each.open - share, each.idle.size());
        close_idle(now, each, each.idle.size() - surplus,
                   options_.surplus_idle_limit);
    }
}

auto server_pool::is_known(const std::string& address) const -> bool
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
        const auto& record = each.second.record;
        return record.address == address &&
               record.state != server_availability::gone;
    });
}

auto server_pool::server_of(connection_id id) const -> target_id
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? target_id() : found->second.server;
}

auto server_pool::group_of(connection_id id) const -> group_id
{
    const auto found = servers_.find(server_of(id));
    return found == servers_.end() ? group_id() : found->second.record.group;
}

auto server_pool::health() const -> std::vector<server_health>
{
    auto result = std::vector<server_health>();
    for (const auto& [id, each] : servers_) {
        if (each.answered_at || each.failing_since) {
            result.push_back(
                {id, is_primary(each), each.answered_at, each.failing_since});
        }
    }
    return result;
}

} // namespace rhubarbrun::inline v1
