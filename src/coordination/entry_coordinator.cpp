#include <rhubarbrun/coordination/entry_coordinator.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Delay before a request is routed again after an owner refused it; doubles
/// with each refusal, as the owner may need time to become ready.
constexpr auto initial_retry_backoff = std::chrono::milliseconds(2);
constexpr auto max_doublings = 3U;

} // namespace

entry_coordinator::entry_coordinator(entry_coordinator_options options)
    : options_(std::move(options)), pending_(options_.fault_of_pending)
{
}

auto entry_coordinator::open_session(time_point now, session_id session,
                                     group_id group, session_token token)
    -> void
{
    auto entry = session_state{};
    entry.arrived = now;
    entry.has_floor = token.floor(group).has_value();
    entry.group = std::move(group);
    entry.token = std::move(token);
    sessions_.insert_or_assign(session, std::move(entry));
}

auto entry_coordinator::on_token(session_id session, const session_token& token)
    -> void
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    auto& caller = found->second;
    for (const auto& [group, position] : token.floors()) {
        caller.token.raise(group, position);
        caller.has_floor |= group == caller.group;
    }
}

auto entry_coordinator::on_request(const entry_view& view, session_id session,
                                   const entry_request& request,
                                   entry_actions& actions)
    -> std::optional<request_id>
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end() || found->second.request) {
        return std::nullopt;
    }
    ++counts_.requests;
    last_request_ = last_request_.next();
    const auto id = last_request_;
    auto entry = active_request{};
    entry.id = id;
    entry.body = request;
    entry.deadline = view.now + request.deadline;
    auto pending = pending_request{};
    pending.id = id;
    pending.session = session;
    pending.deadline = entry.deadline;
    // A read outside a transaction can be repeated without side effects.
    pending.is_idempotent =
        request.is_idempotent ||
        (request.is_read_only && request.step == transaction_step::single);
    static_cast<void>(pending_.add(pending));
    by_request_[id] = session;
    found->second.request = std::move(entry);
    dispatch(view, session, actions);
    return id;
}

auto entry_coordinator::dispatch(const entry_view& view, session_id id,
                                 entry_actions& actions) -> void
{
    auto& caller = sessions_.at(id);
    if (caller.request->is_cancelled) {
        finish_with_error(
            view, id,
            not_run_error(sqlstate::query_canceled, "cancelled by the caller"),
            actions);
        return;
    }
    const auto where = choose_route(view, caller, actions);
    switch (where.kind) {
    case route::result::send:
        send(view, id, caller, where, actions);
        break;
    case route::result::park:
        park(view.now, id, caller);
        break;
    case route::result::refuse:
        finish_with_error(view, id, *where.error, actions);
        break;
    }
}

auto entry_coordinator::send(const entry_view& view, session_id id,
                             session_state& caller, const route& where,
                             entry_actions& actions) -> void
{
    const auto* const target = view.local_directory.find_target(where.target);
    auto& request = *caller.request;
    const auto is_same_owner =
        !caller.transaction ||
        (target != nullptr && target->epoch == caller.transaction->epoch);
    if (!is_same_owner) {
        caller.transaction.reset();
        finish_with_error(
            view, id,
            not_run_error(sqlstate::transaction_rollback,
                          "the transaction was lost and rolled back"),
            actions);
        return;
    }
    const auto keep_waiting = [&] {
        if (where.is_replica) {
            // `replica_choice` has counted the read as sent.
            positions_of(caller.group).choice().on_failed(where.target);
        }
        park(view.now, id, caller);
    };
    if (target == nullptr || !target->owner) {
        keep_waiting();
        return;
    }
    const auto& owner = target->owner->id;
    // The owner binds a transaction to the link that opened it.
    const auto keeps_link = caller.transaction && owner != options_.self;
    const auto link = keeps_link ? std::optional(caller.transaction->link)
                                 : options_.find_link(where.target, owner);
    if (!link || pending_.try_send(view.now, request.id, *link) !=
                     send_permission::granted)
    {
        // Without a link, past its deadline or out of retries; `tick` ends it
        // at its deadline.
        keep_waiting();
        return;
    }
    request.is_parked = false;
    parked_.erase(id);
    request.target = where.target;
    request.epoch = target->epoch;
    request.link = *link;
    request.is_at_replica = where.is_replica;
    auto action = send_action{};
    action.session = id;
    action.id = request.id;
    action.target = where.target;
    action.epoch = target->epoch;
    const auto* const group = view.local_directory.find_group(caller.group);
    if (group != nullptr && group->primary) {
        action.group_term = group->primary->group_term;
    }
    action.owner = owner;
    action.link = *link;
    action.floor = where.floor;
    action.time_left = request.deadline - view.now;
    actions.emplace_back(std::move(action));
}

auto entry_coordinator::park(time_point now, session_id id,
                             session_state& caller) -> void
{
    const auto doublings =
        std::min(caller.request->park_count++, max_doublings);
    park_until(id, caller, now + initial_retry_backoff * (1U << doublings));
}

auto entry_coordinator::park_until(session_id id, session_state& caller,
                                   time_point when) -> void
{
    caller.request->is_parked = true;
    caller.request->not_before = when;
    parked_.insert(id);
}

auto entry_coordinator::retry_parked(const entry_view& view,
                                     entry_actions& actions) -> void
{
    auto due = std::vector<session_id>{};
    for (const auto id : parked_) {
        if (view.now >= sessions_.at(id).request->not_before) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        parked_.erase(id);
        sessions_.at(id).request->is_parked = false;
        dispatch(view, id, actions);
    }
}

auto entry_coordinator::on_reply(const entry_view& view, link_id link,
                                 const entry_reply& reply) -> entry_actions
{
    auto actions = entry_actions{};
    const auto is_not_run =
        reply.error && reply.error->outcome == verdict::not_run;
    if (is_not_run) {
        if (!pending_.on_not_run(reply.id, link)) {
            return actions;
        }
        if (reply.reroute != reroute_hint::none) {
            reroute(view, reply);
            retry_parked(view, actions);
        } else if (const auto ending = pending_.give_up(reply.id, *reply.error))
        {
            // An earlier attempt may have run although this retry was refused,
            // so the verdict is that of `pending_requests`.
            auto refused = reply;
            refused.error = ending->error;
            finish(view, ending->session, std::move(refused), actions);
        }
    } else if (keep_for_retry(view.now, link, reply)) {
        retry_parked(view, actions);
    } else if (const auto id = pending_.on_answer(reply.id, link)) {
        finish(view, *id, reply, actions);
    }
    return actions;
}

/// Parks an idempotent request that a reachable owner could not finish.
auto entry_coordinator::keep_for_retry(time_point now, link_id link,
                                       const entry_reply& reply) -> bool
{
    const auto found = by_request_.find(reply.id);
    if (!reply.error || found == by_request_.end()) {
        return false;
    }
    const auto id = found->second;
    auto& caller = sessions_.at(id);
    auto& request = *caller.request;
    // The earlier statements of an open transaction are rolled back with it,
    // so its current statement cannot be repeated alone.
    const auto may_retry = !caller.transaction && !request.is_cancelled;
    if (!may_retry || !pending_.on_may_have_run(now, reply.id, link)) {
        return false;
    }
    release_replica(caller);
    park(now, id, caller);
    return true;
}

/// Parks a request that an owner refused but another target may serve.
auto entry_coordinator::reroute(const entry_view& view,
                                const entry_reply& reply) -> void
{
    const auto id = by_request_.at(reply.id);
    auto& caller = sessions_.at(id);
    auto& request = *caller.request;
    ++counts_.rerouted;
    release_replica(caller);
    if (reply.reroute == reroute_hint::use_primary) {
        request.must_use_primary = true;
        park_until(id, caller, view.now);
    } else {
        park(view.now, id, caller);
    }
}

/// A write whose term has ended must not be acknowledged.
auto entry_coordinator::fence_reply(const entry_view& view,
                                    const session_state& caller,
                                    entry_reply& reply) const -> void
{
    const auto is_write = !caller.request->body.is_read_only;
    if (!is_write || reply.error || !reply.position ||
        options_.fault == entry_fault::accept_replaced_primary)
    {
        return;
    }
    const auto* const group = view.local_directory.find_group(caller.group);
    const auto is_replaced =
        group != nullptr && group->primary &&
        group->primary->group_term > reply.position->group_term;
    if (is_replaced) {
        reply.error = make_error(
            verdict::may_have_run, sqlstate::transaction_resolution_unknown,
            "the primary was replaced before its answer arrived");
    }
}

auto entry_coordinator::finish(const entry_view& view, session_id id,
                               entry_reply reply, entry_actions& actions)
    -> void
{
    auto& caller = sessions_.at(id);
    fence_reply(view, caller, reply);
    record_answer(view.now, caller, reply);
    if (reply.error && caller.transaction) {
        end_transaction_at_owner(id, caller, actions);
    }
    const auto request = *std::exchange(caller.request, {});
    auto answer = answer_action{};
    answer.session = id;
    answer.id = request.id;
    answer.is_at_replica = request.is_at_replica;
    if (reply.position && !reply.error && !request.body.is_read_only) {
        caller.token.raise(caller.group, *reply.position);
        caller.has_floor = true;
        answer.token = to_string(caller.token);
    }
    answer.error = std::move(reply.error);
    by_request_.erase(request.id);
    parked_.erase(id);
    actions.emplace_back(std::move(answer));
}

auto entry_coordinator::record_answer(time_point now, session_state& caller,
                                      const entry_reply& reply) -> void
{
    const auto& request = *caller.request;
    count_answer(request, reply);
    if (!reply.error) {
        caller.transaction.reset();
        if (reply.status != transaction_status::idle) {
            caller.transaction =
                open_transaction{request.target, request.epoch, request.link};
        }
    }
    if (!request.is_at_replica) {
        return;
    }
    auto& choice = positions_of(caller.group).choice();
    if (reply.error) {
        choice.on_failed(request.target);
        return;
    }
    choice.on_answered(request.target, reply.load);
    if (reply.position) {
        choice.on_replayed(now, request.target, *reply.position);
    }
}

auto entry_coordinator::release_replica(session_state& caller) -> void
{
    auto& request = *caller.request;
    if (std::exchange(request.is_at_replica, false)) {
        positions_of(caller.group).choice().on_failed(request.target);
    }
}

auto entry_coordinator::count_answer(const active_request& request,
                                     const entry_reply& reply) -> void
{
    if (reply.error) {
        const auto is_unknown = reply.error->outcome == verdict::may_have_run;
        ++(is_unknown ? counts_.may_have_run : counts_.refused);
    } else if (!request.body.is_read_only) {
        ++counts_.writes;
    } else {
        ++(request.is_at_replica ? counts_.replica_reads
                                 : counts_.primary_reads);
    }
}

auto entry_coordinator::finish_with_error(const entry_view& view, session_id id,
                                          const request_error& error,
                                          entry_actions& actions) -> void
{
    auto reply = entry_reply{};
    reply.id = sessions_.at(id).request->id;
    // `pending_requests` tracks whether an earlier attempt may have run.
    const auto ending = pending_.give_up(reply.id, error);
    reply.error = ending ? ending->error : error;
    finish(view, id, std::move(reply), actions);
}

auto entry_coordinator::end(const entry_view& view,
                            const request_ending& ending,
                            entry_actions& actions) -> void
{
    auto reply = entry_reply{};
    reply.id = ending.id;
    reply.error = ending.error;
    finish(view, ending.session, std::move(reply), actions);
}

auto entry_coordinator::end_transaction_at_owner(session_id id,
                                                 session_state& caller,
                                                 entry_actions& actions) -> void
{
    const auto open = *std::exchange(caller.transaction, {});
    actions.emplace_back(
        cancel_action{id, request_id(0), open.target, open.link});
}

auto entry_coordinator::on_cancel(const entry_view& view, session_id session)
    -> entry_actions
{
    auto actions = entry_actions{};
    const auto found = sessions_.find(session);
    if (found == sessions_.end() || !found->second.request) {
        return actions;
    }
    auto& request = *found->second.request;
    request.is_cancelled = true;
    if (request.is_parked) {
        finish_with_error(
            view, session,
            not_run_error(sqlstate::query_canceled, "cancelled by the caller"),
            actions);
    } else {
        actions.emplace_back(
            cancel_action{session, request.id, request.target, request.link});
    }
    return actions;
}

auto entry_coordinator::on_closed(session_id session) -> entry_actions
{
    auto actions = entry_actions{};
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return actions;
    }
    auto& caller = found->second;
    if (caller.transaction) {
        end_transaction_at_owner(session, caller, actions);
    } else if (caller.request && !caller.request->is_parked) {
        actions.emplace_back(cancel_action{session, request_id(0),
                                           caller.request->target,
                                           caller.request->link});
    }
    static_cast<void>(pending_.on_session_closed(session));
    if (caller.request) {
        release_replica(caller);
        by_request_.erase(caller.request->id);
    }
    parked_.erase(session);
    sessions_.erase(found);
    return actions;
}

auto entry_coordinator::on_link_down(const entry_view& view, link_id link)
    -> entry_actions
{
    auto actions = entry_actions{};
    // The owner ends the transactions of a lost link by itself.
    for (auto& [id, caller] : sessions_) {
        if (caller.transaction && caller.transaction->link == link) {
            caller.transaction.reset();
        }
    }
    const auto loss = pending_.on_link_lost(view.now, link);
    for (const auto request : loss.retries) {
        const auto id = by_request_.at(request);
        release_replica(sessions_.at(id));
        park_until(id, sessions_.at(id), view.now);
    }
    for (const auto& ending : loss.endings) {
        end(view, ending, actions);
    }
    retry_parked(view, actions);
    return actions;
}

auto entry_coordinator::retry(const entry_view& view) -> entry_actions
{
    auto actions = entry_actions{};
    retry_parked(view, actions);
    return actions;
}

auto entry_coordinator::tick(const entry_view& view) -> entry_actions
{
    auto actions = entry_actions{};
    for (const auto& ending : pending_.expire(view.now)) {
        end(view, ending, actions);
    }
    retry_parked(view, actions);
    return actions;
}

auto entry_coordinator::status() const -> entry_status
{
    auto result = entry_status{};
    result.sessions = sessions_.size();
    result.in_flight = pending_.size();
    result.parked = parked_.size();
    result.counts = counts_;
    for (const auto& [id, caller] : sessions_) {
        result.in_transaction += caller.transaction ? 1U : 0U;
    }
    return result;
}

auto entry_coordinator::request_count() const noexcept -> std::size_t
{
    return pending_.size();
}

auto entry_coordinator::idle_sessions(bool is_in_transaction) const
    -> std::vector<session_id>
{
    auto result = std::vector<session_id>{};
    for (const auto& [id, caller] : sessions_) {
        if (!caller.request &&
            caller.transaction.has_value() == is_in_transaction) {
            result.push_back(id);
        }
    }
    return result;
}

auto entry_coordinator::is_in_transaction(session_id session) const -> bool
{
    const auto found = sessions_.find(session);
    return found != sessions_.end() && found->second.transaction.has_value();
}

auto entry_coordinator::token(session_id session) const -> session_token
{
    const auto found = sessions_.find(session);
    return found == sessions_.end() ? session_token{} : found->second.token;
}

} // namespace rhubarbrun::inline v1
