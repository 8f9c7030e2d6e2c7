#include <rhubarbrun/coordination/session_relay.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Interval at which waiting requests are checked for pauses that ended.
constexpr auto waiting_interval = milliseconds(10);
/// Interval of the search for idle transactions and unresponsive connections.
constexpr auto sweep_interval = milliseconds(500);
/// A connection whose pending reply has no waiting session is closed after this
/// long.
constexpr auto reply_timeout = std::chrono::seconds(4);
/// Time in which a load balancer detects that a process is not ready: two
/// probes a second apart, and some margin.
constexpr auto balancer_notice_time = milliseconds(2300);
/// A session without requests for this long is unlikely to have one in transit,
/// so that it can be closed.
constexpr auto min_quiet_time = milliseconds(500);
/// Time that the last replies of a shutdown have to leave before its end.
constexpr auto last_reply_margin = milliseconds(800);

} // namespace

auto session_relay::tick(time_point now) -> time_point
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto caller = sessions_.find(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
        if (caller != sessions_.end() && caller->second.current) {
            expire(now, caller->second);
        }
    }
    tick_preparations(now);
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_interval;
        tick_sessions(now);
        tick_revoked_sessions(now);
        tick_connections(now);
    }
    if (now >= next_pool_tick_) {
        next_pool_tick_ = pool_.tick(now);
    }
    if (draining_since_) {
        tick_drain(now);
    }
    for (auto& [group, keys] : waiting_) {
        if (!keys.empty() || requested_probes_.contains(group)) {
            serve_waiting(now, group);
        }
    }
    return next_due(now);
}

auto session_relay::next_due(time_point now) const -> time_point
{
    auto due = std::min(next_sweep_, next_pool_tick_);
    const auto is_waiting =
        !requested_probes_.empty() ||
        std::any_of(waiting_.begin(), waiting_.end(),
                    [](const auto& each) { return !each.second.empty(); });
    if (is_waiting) {
        due = std::min<time_point>(due, now + waiting_interval);
    }
    if (!expiries_.empty()) {
        due = std::min(due, expiries_.begin()->first);
    }
    if (!preparations_due_.empty()) {
        due = std::min(due, preparations_due_.begin()->first);
    }
    return answered_in_drain_.empty() ? due : std::min(due, now);
}

auto session_relay::tick_sessions(time_point now) -> void
{
    for (auto& [id, caller] : sessions_) {
        if (!caller.open || caller.current || caller.open->is_failed) {
            continue;
        }
        const auto limit =
            caller.open->route.configuration->transaction_idle_limit;
        if (limit > duration::zero() && now - caller.open->used_at > limit) {
            log(now, "idle_transaction_ended", caller, {},
                relay_error::aborted);
            detach(now, caller);
            end_transaction(caller);
        }
    }
}

auto session_relay::tick_connections(time_point now) -> void
{
    auto silent = std::vector<connection_id>();
    for (const auto& [id, target] : connections_) {
        if (!target.session && !target.expected.empty() &&
            now - target.expected.front().sent > reply_timeout)
        {
            silent.push_back(id);
        }
    }
    for (const auto& id : silent) {
        hooks_.close(id);
        on_connection_lost(now, id);
    }
}

auto session_relay::tick_preparations(time_point now) -> void
{
    while (!preparations_due_.empty() &&
           preparations_due_.begin()->first <= now) {
        const auto id = preparations_due_.begin()->second;
        preparations_due_.erase(preparations_due_.begin());
        const auto& target = connections_.at(id);
        ++counters_.overdue_preparations;
        if (const auto* const caller = served_session(target)) {
            log(now, "preparation_overdue", *caller, pool_.server_of(id),
                relay_error::timeout);
        }
        pool_.on_timeout(now, id, target.expected.front().sent);
        hooks_.close(id);
        lose(now, id, false);
    }
}

auto session_relay::drain(time_point now, duration grace) -> void
{
    if (!draining_since_) {
        draining_since_ = now;
        grace_ = grace;
    }
}

auto session_relay::is_closing_sessions(time_point now) const -> bool
{
    return draining_since_ && now - *draining_since_ >= balancer_notice_time;
}

auto session_relay::may_close(time_point now, const session& caller) const
    -> bool
{
    const auto has_request =
        caller.current || !caller.queued.empty() ||
        (hooks_.has_unread_bytes && hooks_.has_unread_bytes(caller.id));
    if (has_request) {
        return false;
    }
    if (now - *draining_since_ >= grace_ / 2) {
        return true;
    }
    return !caller.open && (answered_in_drain_.contains(caller.id) ||
                            now - caller.idle_since >= min_quiet_time);
}

auto session_relay::last_reply_at() const -> time_point
{
    return *draining_since_ +
           std::max<duration>(grace_ / 2, grace_ - last_reply_margin);
}

auto session_relay::ends_before_service(time_point now,
                                        const session& caller) const -> bool
{
    if (!draining_since_) {
        return false;
    }
    const auto time = usual_time(caller.database).value_or(duration::zero());
    return now + time >= last_reply_at();
}

auto session_relay::tick_drain(time_point now) -> void
{
    if (now >= last_reply_at()) {
        // A copy, as each reply may change the sessions.
        auto busy = std::vector<session_id>();
        for (const auto& [id, caller] : sessions_) {
            if (caller.current) {
                busy.push_back(id);
            }
        }
        for (const auto& id : busy) {
            const auto found = sessions_.find(id);
            if (found != sessions_.end() && found->second.current) {
                answer_at_end(now, found->second);
            }
        }
    }
    if (!is_closing_sessions(now)) {
        return;
    }
    auto finished = std::vector<session_id>();
    for (const auto& [id, caller] : sessions_) {
        if (may_close(now, caller)) {
            finished.push_back(id);
        }
    }
    answered_in_drain_.clear();
    for (const auto& id : finished) {
        end_session(now, id);
        hooks_.close_session(id);
    }
}

} // namespace rhubarbrun::inline v1
