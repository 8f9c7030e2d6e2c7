#include <rhubarbrun/coordination/session_relay.hpp>

#include <algorithm>
#include <utility>

// Keys of sessions: whose statements run, and what a revocation ends.

namespace rhubarbrun::inline v1 {

namespace {

/// Time in which a proxy whose view is too old finds another control member,
/// or a caller another proxy.
constexpr auto old_view_retry_delay = milliseconds(500);
/// Part of its latency objective for which an operation waits for a token, and
/// the least, which is several round trips to the control leader.
constexpr auto token_wait_divisor = 2;
constexpr auto min_token_wait = milliseconds(300);
/// A caller without a token is told to wait at least this long, in which tokens
/// accrue and idle ones come back.
constexpr auto min_token_retry = milliseconds(100);

} // namespace

auto session_relay::access_of(const session& caller,
                              const database_route& route) const
    -> session_access
{
    auto age = std::optional<duration>();
    if (hooks_.view_age) {
        age = hooks_.view_age();
    }
    auto access = access_.judge(*configuration_, route, caller.key, age);
    const auto is_moved = access.verdict == access_verdict::allowed &&
                          caller.open && caller.open->is_begun &&
                          access.organisation != caller.organisation;
    if (is_moved) {
        // The transaction began for an organisation that lost the key.
        access = {access_verdict::unknown_key, {}};
    }
    return access;
}

auto session_relay::access_error(access_verdict verdict) const -> relay_reply
{
    auto reply = relay_reply{};
    if (verdict == access_verdict::unknown_key && may_deny()) {
        reply.error = relay_error::denied;
        reply.detail = "the key is not known";
    } else {
        reply.error = relay_error::retry;
        reply.detail = "the key may have been revoked; did not run; retry "
                       "after " +
                       std::to_string(to_milliseconds(old_view_retry_delay)) +
                       " ms";
    }
    return reply;
}

auto session_relay::refuse_without_access(time_point now, session& caller)
    -> bool
{
    const auto access = access_of(caller, *caller.current->route.route);
    if (access.verdict == access_verdict::allowed) {
        caller.organisation = access.organisation;
        return false;
    }
    auto reply = access_error(access.verdict);
    if (caller.open && caller.open->is_begun) {
        // Nothing of the statement was sent, so that the connection can be
        // given back and the server rolls the transaction back.
        reply.error = relay_error::aborted;
        reply.detail = "the transaction was rolled back, as its key may have "
                       "been revoked";
    }
    ++(access.verdict == access_verdict::unknown_key
           ? counters_.unknown_keys
           : counters_.old_view_refusals);
    log(now, to_string(access.verdict), caller, {}, reply.error);
    detach(now, caller);
    end_transaction(caller);
    finish(now, caller, std::move(reply));
    return true;
}

auto session_relay::admit(time_point now, session& caller) -> admission_step
{
    auto& current = *caller.current;
    auto& is_admitted =
        caller.open ? caller.open->is_admitted : current.is_admitted;
    if (!hooks_.admit || is_admitted) {
        return admission_step::go_on;
    }
    const auto is_first = !std::exchange(current.has_asked_token, true);
    const auto max_wait = std::max<duration>(
        current.route.route->latency_objective / token_wait_divisor,
        min_token_wait);
    const auto left = max_wait - (now - current.arrived);
    const auto verdict = hooks_.admit(caller.organisation, is_first, left);
    if (verdict == admission_verdict::admitted) {
        is_admitted = true;
        current.token_wait.reset();
        return admission_step::go_on;
    }
    const auto is_used_up = verdict == admission_verdict::refused;
    if (!is_used_up && left > duration::zero()) {
        if (!current.token_wait && hooks_.wait_for_token) {
            current.token_wait = hooks_.wait_for_token(caller.organisation);
        }
        return admission_step::wait;
    }
    ++(is_used_up ? counters_.beyond_allowance : counters_.without_token);
    const auto pause = std::max<duration>(
        hooks_.allowance_retry_after
            ? hooks_.allowance_retry_after(caller.organisation)
            : duration::zero(),
        min_token_retry);
    auto reply = relay_reply{};
    reply.error = relay_error::retry;
    reply.detail = "the allowance of the organisation is used up; did not "
                   "run; retry after " +
                   std::to_string(to_milliseconds(pause)) + " ms";
    log(now, is_used_up ? "beyond_allowance" : "no_token_in_time", caller, {},
        reply.error);
    end_transaction(caller);
    finish(now, caller, std::move(reply));
    return admission_step::answered;
}

auto session_relay::refund(session& caller) -> void
{
    const auto is_begun = caller.open && caller.open->is_begun;
    auto& is_admitted =
        caller.open ? caller.open->is_admitted : caller.current->is_admitted;
    const auto is_unsent = caller.current->attempts == 0 && !is_begun;
    if (is_unsent && is_admitted && hooks_.refund) {
        hooks_.refund(caller.organisation);
        is_admitted = false;
    }
}

auto session_relay::on_tokens(time_point now) -> void
{
    for (auto& [group, keys] : waiting_) {
        if (!keys.empty()) {
            serve_waiting(now, group);
        }
    }
}

auto session_relay::end_revoked_sessions(time_point now) -> void
{
    if (configuration_->organisations.empty() && !access_.max_view_age()) {
        return;
    }
    auto revoked = std::vector<session_id>();
    for (const auto& [id, caller] : sessions_) {
        const auto* const route = configuration_->find(caller.database);
        const auto has_access =
            route != nullptr &&
            (route->is_public ||
             configuration_->find_holder(caller.key) != nullptr);
        if (route != nullptr && !has_access) {
            revoked.push_back(id);
        }
    }
    for (const auto& id : revoked) {
        // Each answer may end sessions.
        if (const auto found = sessions_.find(id); found != sessions_.end()) {
            end_revoked_session(now, found->second);
        }
    }
}

auto session_relay::tick_revoked_sessions(time_point now) -> void
{
    auto revoked = std::vector<session_id>();
    for (const auto& [id, caller] : sessions_) {
        if (caller.is_revoked && !caller.current) {
            revoked.push_back(id);
        }
    }
    for (const auto& id : revoked) {
        if (const auto found = sessions_.find(id); found != sessions_.end()) {
            end_revoked_session(now, found->second);
        }
    }
}

auto session_relay::end_revoked_session(time_point now, session& caller) -> void
{
    if (caller.current) {
        const auto is_waiting = !caller.current->connection;
        if (is_waiting && refuse_without_access(now, caller)) {
            return;
        }
        // What a server runs was sent in time and is answered.
        caller.is_revoked = true;
        return;
    }
    if (caller.open) {
        if (caller.open->is_begun && !caller.open->is_failed) {
            ++counters_.revoked_sessions;
            log(now, "transaction_revoked", caller, {}, relay_error::aborted);
            detach(now, caller);
            end_transaction(caller);
        }
        return;
    }
    const auto has_request =
        !caller.queued.empty() ||
        (hooks_.has_unread_bytes && hooks_.has_unread_bytes(caller.id));
    if (!has_request) {
        const auto id = caller.id;
        ++counters_.revoked_sessions;
        log(now, "session_revoked", caller, {}, relay_error::denied);
        end_session(now, id);
        hooks_.close_session(id);
    }
}

} // namespace rhubarbrun::inline v1
