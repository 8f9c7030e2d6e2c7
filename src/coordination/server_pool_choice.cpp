#include <rhubarbrun/coordination/server_pool.hpp>

#include <algorithm>

// Selects the server that runs a statement and decides whether to open a
// connection to it.

namespace rhubarbrun::inline v1 {

namespace {

/// Expected latency of a statement, round trips included, by distance, until
/// there are samples.
constexpr auto same_zone_latency_us = 15'000.0;
constexpr auto same_region_latency_us = 17'000.0;
constexpr auto other_region_latency_us = 50'000.0;
/// Opening a connection takes a round trip and the server's set-up time, and
/// occupies one of its slots.
constexpr auto connect_latency_us = 30'000.0;
/// Limit of connections to one server that are being opened at a time. The
/// limit is one if the server is full, because each takes a slot that could run
/// statements.
constexpr auto max_connecting = std::size_t{3};
/// A sample expires after this long, so that a server that was slow is tried
/// again.
constexpr auto sample_ttl = std::chrono::seconds(3);
/// Score factor for reads at the primary, which take slots that only the
/// primary can offer to writes.
constexpr auto primary_read_penalty = 1.6;
/// Weight of a server's load in its score; statements beyond one per slot wait
/// in the server's queue.
constexpr auto queue_weight = 0.7;
/// A primary that shuts down gets work for this long, because its successor is
/// still being chosen; a replica gets none.
constexpr auto max_leaving_primary_time = std::chrono::seconds(5);

} // namespace

auto server_pool::is_primary(const server& each) const -> bool
{
    if (each.claim == 0 || each.is_claim_refused) {
        return false;
    }
    const auto& others = servers_of(each.record.group);
    return std::none_of(others.begin(), others.end(), [&](const auto* other) {
        return other->claim > each.claim && !other->is_claim_refused &&
               other->record.state != server_availability::gone;
    });
}

auto server_pool::may_use(time_point now, const server& each,
                          const connection_request& need) const -> bool
{
    if (each.record.group != need.group || now < each.avoid_until ||
        each.record.state == server_availability::gone)
    {
        return false;
    }
    if (need.is_primary_needed) {
        return is_primary(each) &&
               (!each.draining_since ||
                now - *each.draining_since < max_leaving_primary_time);
    }
    return !each.draining_since && (need.excluded == nullptr ||
                                    !need.excluded->contains(each.record.id));
}

auto server_pool::has_usable_server(time_point now,
                                    const connection_request& need) const
    -> bool
{
    const auto& servers = servers_of(need.group);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* each) {
        return may_use(now, *each, need);
    });
}

auto server_pool::outage_since(const connection_request& need) const
    -> std::optional<time_point>
{
    auto since = std::optional<time_point>();
    for (const auto* const each : servers_of(need.group)) {
        const auto is_candidate =
            each->record.state != server_availability::gone &&
            (!need.is_primary_needed || is_primary(*each));
        if (!is_candidate) {
            continue;
        }
        if (!each->failing_since || each->path.has_usable_detour()) {
            return std::nullopt;
        }
        since = std::max(since.value_or(*each->failing_since),
                         *each->failing_since);
    }
    return since;
}

auto server_pool::is_out_of_connections(time_point now,
                                        const connection_request& need) const
    -> bool
{
    const auto& servers = servers_of(need.group);
    return need.is_primary_needed &&
           std::any_of(servers.begin(), servers.end(), [&](const auto* each) {
               return now < each->out_of_connections_until &&
                      each->open == each->connecting && is_primary(*each);
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
        age >= sample_ttl
            ? 0.0
            : 1.0 - static_cast<double>(age.count()) /
                        static_cast<double>(duration(sample_ttl).count());
    auto result = base + weight * (each.latency_us - base);
    const auto slots = std::max<double>(1, each.record.slots);
    result *= 1 + queue_weight * static_cast<double>(each.busy) / slots;
    if (!is_primary_needed && is_primary(each)) {
        result *= primary_read_penalty;
    }
    return result;
}

auto server_pool::share_of(const server& each) const -> connection_share
{
    const auto found = limits_.find(each.record.group);
    return {found == limits_.end() ? 0U : found->second, process_count_};
}

auto server_pool::open_limit(time_point now, const server& each) const
    -> std::size_t
{
    // A process that does not know how many share the server may be one of
    // hundreds that start at the same moment.
    if (!is_process_count_known_) {
        return 1;
    }
    const auto share = share_of(each);
    return now < each.burst_not_before ? share.size() : share.burst_size();
}

auto server_pool::may_open(time_point now, const server& each,
                           const connection_request& need) const -> bool
{
    // An overdue statement asks again while its connection is opened.
    const auto is_paced =
        each.pace.is_active() ||
        (options_.are_servers_paced && each.failing_since.has_value());
    const auto is_pressed =
        now < each.burst_not_before || !is_process_count_known_ || is_paced;
    const auto at_once =
        is_pressed ? std::size_t{1} : std::min(need.waiting, max_connecting);
    if (is_held(now, each, need)) {
        return false;
    }
    const auto has_room = each.open < open_limit(now, each) ||
                          find_replaceable(now, each, need) != each.idle.end();
    return has_room && each.connecting < at_once &&
           now >= each.no_connections_until;
}

auto server_pool::rank(time_point now, const connection_request& need)
    -> ranking
{
    auto ranked = ranking();
    for (auto* const each : servers_of(need.group)) {
        if (may_use(now, *each, need)) {
            ranked.emplace_back(score(now, *each, need.is_primary_needed),
                                each);
        }
    }
    if (!need.is_primary_needed) {
        remove_lagging(now, ranked);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) {
                  return left.first < right.first;
              });
    std::erase_if(ranked, [&](const auto& each) {
        return is_saturated(now, *each.second);
    });
    const auto held = std::erase_if(ranked, [&](const auto& each) {
        return is_held(now, *each.second, need);
    });
    pace_counters_.held += held;
    return ranked;
}

auto server_pool::is_held(time_point now, const server& each,
                          const connection_request& need) const -> bool
{
    const auto is_paced =
        each.pace.is_active() && need.paced_until && now < *need.paced_until;
    if (!is_paced) {
        return false;
    }
    if (!each.pace.may_send(now, each.busy)) {
        return true;
    }
    const auto has_idle = find_idle(each, need) != each.idle.end();
    return !has_idle && !each.pace.may_connect(now, each.connecting);
}

auto server_pool::choose(time_point now, const connection_request& need)
    -> std::optional<connection_id>
{
    const auto ranked = rank(now, need);
    const auto idle =
        std::find_if(ranked.begin(), ranked.end(), [&](const auto& each) {
            return find_idle(*each.second, need) != each.second->idle.end();
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
                // The better server, or a direct connection to it, gets the
                // next statements.
                open(now, *each->second, need);
            }
            return take_idle(now, *idle->second, need);
        }
        if (may_open(now, *each->second, need)) {
            open(now, *each->second, need);
            return std::nullopt;
        }
        if (each->second->connecting > 0) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

auto server_pool::open_if_due(time_point now, const connection_request& need)
    -> void
{
    for (const auto& [score, each] : rank(now, need)) {
        if (each->connecting > 0) {
            return;
        }
        if (may_open(now, *each, need)) {
            open(now, *each, need);
            return;
        }
    }
}

auto server_pool::remove_lagging(time_point now, ranking& ranked) -> void
{
    const auto first_lagging = std::stable_partition(
        ranked.begin(), ranked.end(),
        [&](const auto& each) { return now >= each.second->lagging_until; });
    if (first_lagging != ranked.begin()) {
        ranked.erase(first_lagging, ranked.end());
    }
}

auto server_pool::is_saturated(time_point now, const server& each) -> bool
{
    return now < each.full_until || each.busy >= each.window;
}

auto server_pool::is_full(time_point now, const connection_request& need) const
    -> bool
{
    auto is_any = false;
    for (const auto* const each : servers_of(need.group)) {
        if (!may_use(now, *each, need) || now < each->lagging_until) {
            continue;
        }
        if (!is_saturated(now, *each)) {
            return false;
        }
        is_any = true;
    }
    return is_any;
}

auto server_pool::has_free_server(time_point now,
                                  const connection_request& need) const -> bool
{
    const auto& servers = servers_of(need.group);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* each) {
        return may_use(now, *each, need) && now >= each->lagging_until &&
               !is_saturated(now, *each) &&
               (each->connecting > 0 || may_open(now, *each, need) ||
                find_idle(*each, need) != each->idle.end());
    });
}

auto server_pool::has_scarce_connections(const server& each) const -> bool
{
    return is_process_count_known_ && share_of(each).is_scarce();
}

} // namespace rhubarbrun::inline v1
