#include <rhubarbrun/coordination/server_pool.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Shortest and longest pause after a failed attempt to reach a server.
constexpr auto min_backoff = milliseconds(150);
constexpr auto max_backoff = milliseconds(1200);
/// Pause after a server refused a connection at its connection limit.
constexpr auto connection_limit_backoff = milliseconds(150);
/// Consecutive refusals after which a statement is better sent to a process
/// that has a connection. With their pauses they take about half a second.
constexpr auto max_limit_refusals = std::size_t{3};
/// Time for which statements are refused, so that callers use other processes,
/// before a connection is tried again.
constexpr auto out_of_connections_time = milliseconds(300);
/// Shortest and longest time for which a replica that lags beyond the staleness
/// limit gets no reads. Such a lag lasts for seconds.
constexpr auto min_lagging_backoff = milliseconds(200);
constexpr auto max_lagging_backoff = milliseconds(800);
/// Shortest and longest pause after a full server refused a statement, a part
/// of the time in which it processes its queue.
constexpr auto min_full_backoff = milliseconds(20);
constexpr auto max_full_backoff = milliseconds(160);
/// Weight of a new latency sample.
constexpr auto latency_sample_weight = 0.2;
/// Interval of the search for unused connections, a fraction of the maximum
/// idle times.
constexpr auto tick_interval = milliseconds(400);
/// Interval of that search while connections are scarce and the maximum idle
/// time is short.
constexpr auto scarce_tick_interval = milliseconds(100);
/// Growth of the maximum idle time in each of these intervals without a
/// refusal.
constexpr auto idle_limit_growth_percentage = 101;
/// No connections beyond the share are opened to a server for this long after
/// it was full.
constexpr auto burst_backoff = std::chrono::seconds(2);
/// A connection that was opened for a statement is kept for it this long; by
/// then another connection has served the statement.
constexpr auto min_unused_time = milliseconds(200);
/// What this process saw of a server says nothing about its state any more
/// after this long.
constexpr auto health_ttl = std::chrono::seconds(2);
/// Failures that ended sooner are those of single connections: the first
/// attempt to reach a failing server is made after `min_backoff`.
constexpr auto min_outage_time = min_backoff;
/// Assumed number of processes while it is not known; processes that start
/// together learn it within about a second.
constexpr auto assumed_process_count = 300U;

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
      close_(std::move(close))
{
}

auto server_pool::update(time_point now, const server_record& record) -> void
{
    auto& each = servers_[record.id];
    const auto is_known = !each.record.id.is_empty();
    if (is_known && !record.is_newer_than(each.record)) {
        // Such as from a control member that started with old hints.
        return;
    }
    digest_ -= is_known ? each.record.routing_hash() : 0;
    digest_ += record.routing_hash();
    const auto is_restart = each.record.started_at != record.started_at ||
                            each.record.address != record.address;
    const auto was_primary =
        !is_restart && each.record.role == server_role::primary;
    if (each.record.group != record.group) {
        std::erase(groups_[each.record.group], &each);
        groups_[record.group].push_back(&each);
    }
    each.record = record;
    if (is_restart) {
        each.path = {};
        each.idle_limit = options_.max_scarce_idle_time;
        each.limit_refusals = 0;
        each.avoid_until = {};
        each.failures = 0;
        each.failing_since.reset();
        each.latency_us = base_latency(each);
        close_idle(now, each, 0, duration::zero());
        if (record.state == server_availability::ready) {
            begin_pace(now, each, pace_cause::started);
        }
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

auto server_pool::set_process_count(std::uint32_t count) -> void
{
    process_count_ = std::max(count, 1U);
    is_process_count_known_ = true;
    for (auto& [id, each] : servers_) {
        each.pace.set_terms(pace_terms_of(each));
    }
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

auto server_pool::find_idle(const server& each,
                            const connection_request& need) const
    -> std::vector<connection_id>::const_iterator
{
    const auto found =
        std::find_if(each.idle.rbegin(), each.idle.rend(), [&](const auto& id) {
            return need.organisation == nullptr ||
                   connections_.at(id).organisation == *need.organisation;
        });
    return found == each.idle.rend() ? each.idle.end()
                                     : std::prev(found.base());
}

auto server_pool::find_best_idle(const server& each,
                                 const connection_request& need) const
    -> std::vector<connection_id>::const_iterator
{
    if (!need.is_prepared) {
        return find_idle(each, need);
    }
    const auto found =
        std::find_if(each.idle.rbegin(), each.idle.rend(), [&](const auto& id) {
            const auto is_allowed =
                need.organisation == nullptr ||
                connections_.at(id).organisation == *need.organisation;
            return is_allowed && need.is_prepared(id);
        });
    return found == each.idle.rend() ? find_idle(each, need)
                                     : std::prev(found.base());
}

auto server_pool::find_replaceable(time_point now, const server& each,
                                   const connection_request& need) const
    -> std::vector<connection_id>::const_iterator
{
    return std::find_if(
        each.idle.begin(), each.idle.end(), [&](const auto& id) {
            const auto& idle = connections_.at(id);
            return need.organisation != nullptr &&
                   idle.organisation != *need.organisation &&
                   (idle.has_served || now - idle.used_at >= min_unused_time);
        });
}

auto server_pool::take_idle(time_point now, server& each,
                            const connection_request& need) -> connection_id
{
    const auto place = find_best_idle(each, need);
    const auto id = *place;
    each.idle.erase(place);
    auto& used = connections_.at(id);
    used.is_idle = false;
    used.has_served = true;
    used.used_at = now;
    ++each.busy;
    if (each.pace.is_active()) {
        each.pace.on_sent(now);
        pace_counters_.overdue +=
            need.paced_until && now >= *need.paced_until ? 1U : 0U;
    }
    return id;
}

auto server_pool::open(time_point now, server& each,
                       const connection_request& need) -> void
{
    if (each.open >= open_limit(now, each)) {
        if (const auto replaced = find_replaceable(now, each, need);
            replaced != each.idle.end())
        {
            const auto closed = *replaced;
            each.idle.erase(replaced);
            connections_.erase(closed);
            --each.open;
            close_(closed);
        }
    }
    const auto id = connection_id(++last_connection_);
    const auto detour = each.path.choose(now);
    const auto organisation =
        need.organisation == nullptr ? organisation_id() : *need.organisation;
    connections_[id] = {each.record.id, detour, false, now, organisation};
    ++each.open;
    ++each.connecting;
    each.pace.on_connecting(now);
    open_(id, {each.record, detour, organisation});
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
    if (found->second.detour.empty()) {
        end_failures(now, each);
    }
    each.path.on_opened(found->second.detour);
    if (options_.are_servers_paced) {
        each.pace.on_connected(now, now - found->second.used_at);
    }
    if (found->second.detour.empty()) {
        each.answered_at = now;
        close_idle_by_path(each, false);
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
        each.no_connections_until = now + connection_limit_backoff;
        each.burst_not_before = now + burst_backoff;
        each.pace.on_connection_refused(now);
        if (++each.limit_refusals >= max_limit_refusals) {
            each.limit_refusals = 0;
            each.out_of_connections_until = now + out_of_connections_time;
        }
        each.idle_limit =
            std::max(options_.min_scarce_idle_time, each.idle_limit / 2);
        if (detour.empty()) {
            each.answered_at = now;
        }
        return;
    }
    fail(now, each, detour);
}

auto server_pool::close_idle_by_path(server& each, bool is_direct) -> void
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
        each.failed_at = now;
        close_idle_by_path(each, true);
        each.pace.on_failed(now);
    }
    if (each.path.has_usable_detour()) {
        each.avoid_until = now;
        return;
    }
    const auto pause = std::min<duration>(
        min_backoff *
            (std::int64_t{1} << std::min<std::size_t>(each.failures, 4)),
        max_backoff);
    ++each.failures;
    each.avoid_until = now + pause;
}

auto server_pool::on_heard(time_point now, connection_id id) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    each.failures = 0;
    if (found->second.detour.empty()) {
        each.answered_at = now;
        end_failures(now, each);
    }
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
    each.latency_us += latency_sample_weight * (sample - each.latency_us);
    each.sampled_at = now;
    each.lagging_refusals = 0;
}

auto server_pool::on_timeout(time_point now, connection_id id,
                             time_point sent_at) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || now - sent_at < silence_limit) {
        return;
    }
    auto& each = servers_.at(found->second.server);
    const auto has_answered_since =
        each.answered_at && *each.answered_at > sent_at;
    if (!has_answered_since || !found->second.detour.empty()) {
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
                      min_lagging_backoff *
                          (std::int64_t{1}
                           << std::min<std::size_t>(each.lagging_refusals, 4)),
                      max_lagging_backoff);
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
    each.burst_not_before = now + burst_backoff;
    each.pace.on_refused(now);
    if (now < each.full_until) {
        // It was sent before the pause began.
        return;
    }
    each.full_until =
        now + std::min<duration>(min_full_backoff *
                                     (std::int64_t{1} << std::min<std::size_t>(
                                          each.full_refusals, 3)),
                                 max_full_backoff);
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
    each.window = std::min(each.window + 1, max_window);
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
        if (const auto end = each.pace.due_end(now)) {
            end_pace(now, each, *end);
        }
        const auto is_at_rest =
            each.open == 0 && each.idle_limit >= options_.max_scarce_idle_time;
        if (!is_at_rest) {
            close_unused(now, each);
            is_scarce |= has_scarce_connections(each);
        }
    }
    return now + (is_scarce ? scarce_tick_interval : tick_interval);
}

auto server_pool::close_unused(time_point now, server& each) -> void
{
    const auto is_scarce = has_scarce_connections(each);
    if (is_scarce) {
        each.idle_limit = std::clamp(
            each.idle_limit * idle_limit_growth_percentage / 100,
            options_.min_scarce_idle_time, options_.max_scarce_idle_time);
        close_idle(now, each, 0, each.idle_limit);
    } else {
        close_idle(now, each, 1, options_.max_idle_time);
    }
    // Only idle connections can be closed as surplus.
    const auto share = share_of(each).size();
    if (each.open > share) {
        const auto surplus = std::min(each.open - share, each.idle.size());
        close_idle(now, each, each.idle.size() - surplus,
                   is_scarce ? options_.max_scarce_surplus_idle_time
                             : options_.max_surplus_idle_time);
    }
}

auto server_pool::has_server_at(const std::string& address) const -> bool
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
        const auto& record = each.second.record;
        return record.address == address &&
               record.state != server_availability::gone;
    });
}

auto server_pool::servers_of(const group_id& group) const
    -> const std::vector<server*>&
{
    static const auto none = std::vector<server*>();
    const auto found = groups_.find(group);
    return found == groups_.end() ? none : found->second;
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

auto server_pool::recent_health(time_point now) const
    -> std::vector<server_health>
{
    auto result = health();
    std::erase_if(result, [&](const auto& each) {
        const auto last = each.failing_since ? servers_.at(each.id).failed_at
                                             : *each.answered_at;
        return now - last > health_ttl;
    });
    return result;
}

auto server_pool::pace_terms_of(const server& each) const -> pace_terms
{
    return {std::max(1U, each.record.slots),
            is_process_count_known_ ? process_count_ : assumed_process_count};
}

auto server_pool::begin_pace(time_point now, server& each, pace_cause cause)
    -> void
{
    if (!options_.are_servers_paced) {
        return;
    }
    end_pace(now, each, pace_end::begun_again);
    const auto time =
        duration(static_cast<std::int64_t>(std::max(0.0, each.latency_us)));
    const auto base = duration(static_cast<std::int64_t>(base_latency(each)));
    each.pace.begin(now, cause, pace_terms_of(each), time, base,
                    options_.random());
    ++pace_counters_.begun;
    if (options_.on_pace) {
        options_.on_pace(
            {each.record.id, cause, std::nullopt, each.pace, duration::zero()});
    }
}

auto server_pool::end_pace(time_point now, server& each, pace_end end) -> void
{
    if (!each.pace.is_active()) {
        return;
    }
    ++pace_counters_.ended.at(static_cast<std::size_t>(end));
    if (options_.on_pace) {
        options_.on_pace({each.record.id, each.pace.cause(), end, each.pace,
                          each.pace.elapsed(now)});
    }
    each.pace.stop();
}

auto server_pool::end_failures(time_point now, server& each) -> void
{
    const auto is_recovery = each.failing_since &&
                             now - *each.failing_since >= min_outage_time &&
                             !each.path.has_usable_detour();
    each.failing_since.reset();
    if (is_recovery) {
        begin_pace(now, each, pace_cause::recovered);
    }
}

auto server_pool::on_timed(time_point now, connection_id id, std::uint8_t kind,
                           duration time) -> void
{
    if (!options_.are_servers_paced) {
        return;
    }
    if (const auto found = connections_.find(id); found != connections_.end()) {
        servers_.at(found->second.server).pace.on_answer(now, kind, time);
    }
}

auto server_pool::paced_count() const noexcept -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const auto& each) {
            return each.second.pace.is_active();
        }));
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
