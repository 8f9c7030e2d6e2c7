#include "entry_router_errors.hpp"

#include <rhubarbrun/transport/entry_router.hpp>

#include <rhubarbrun/transport/event_log.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace rhubarbrun::inline v1 {

using detail::not_run;

namespace {

/// Pause before a request is routed again after an owner refused it; doubles
/// with each refusal, as the owner may need some time to become ready.
constexpr auto first_pause = std::chrono::milliseconds(2);
constexpr auto most_doublings = 3U;

auto error_reply(request_error error) -> execute_reply
{
    auto reply = execute_reply{};
    reply.error = std::move(error);
    return reply;
}

} // namespace

entry_router::entry_router(entry_options options, entry_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

auto entry_router::run(const actions& todo) -> void
{
    for (const auto& step : todo) {
        step();
    }
}

auto entry_router::on_session(session_id session, const session_start& start)
    -> void
{
    const auto refuse = [&](request_error error) {
        hooks_.refuse(session, std::move(error));
    };
    if (!hooks_.is_ready()) {
        refuse(not_run(sqlstate::cannot_connect_now,
                       "this proxy has no contact with control",
                       std::chrono::seconds(1)));
        return;
    }
    const auto view = hooks_.view();
    const auto* const group = view->find_by_database(start.database);
    if (group == nullptr) {
        refuse(not_run(sqlstate::invalid_catalog_name,
                       "database \"" + start.database +
                           "\" is not in the bundle in force"));
        return;
    }
    auto entry = session_state{};
    entry.group = group->config.id;
    entry.caller = start.user + "/" + start.application_name;
    entry.arrived = hooks_.now();
    if (!start.session_token.empty()) {
        auto parsed = parse_session_token(start.session_token);
        if (auto* const error = std::get_if<session_token_error>(&parsed)) {
            refuse(not_run(sqlstate::invalid_parameter_value,
                           "session token: " + error->message));
            return;
        }
        entry.token = std::get<session_token>(std::move(parsed));
        entry.has_floor = entry.token.floor(entry.group).has_value();
    }
    const auto token = to_string(entry.token);
    {
        const auto lock = std::lock_guard(mutex_);
        sessions_.insert_or_assign(session, std::move(entry));
    }
    hooks_.accept(session, token);
}

auto entry_router::on_token(session_id session, const std::string& token)
    -> void
{
    auto parsed = parse_session_token(token);
    const auto* const presented = std::get_if<session_token>(&parsed);
    const auto lock = std::lock_guard(mutex_);
    const auto found = sessions_.find(session);
    if (presented == nullptr || found == sessions_.end()) {
        return;
    }
    for (const auto& [group, position] : presented->floors()) {
        found->second.token.raise(group, position);
        found->second.has_floor |= group == found->second.group;
    }
}

auto entry_router::on_request(session_id session, caller_request request)
    -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) {
            return;
        }
        const auto now = hooks_.now();
        ++counts_.requests;
        last_request_ = last_request_.next();
        auto running = running_request{};
        running.id = last_request_;
        running.deadline = now + request.deadline;
        running.body = std::move(request);
        auto pending = pending_request{};
        pending.id = running.id;
        pending.session = session;
        pending.deadline = running.deadline;
        // A read outside a transaction may be sent again at no risk.
        pending.is_idempotent = running.body.is_idempotent ||
                                (running.body.is_read_only &&
                                 running.body.step == transaction_step::single);
        static_cast<void>(pending_.add(pending));
        by_request_[running.id] = session;
        found->second.running = std::move(running);
        dispatch(session, found->second, todo);
    }
    run(todo);
}

auto entry_router::dispatch(session_id id, session_state& caller, actions& todo)
    -> void
{
    const auto where = choose_route(caller, todo);
    switch (where.kind) {
    case route::result::send:
        send(id, caller, where, todo);
        break;
    case route::result::park:
        park(id, caller);
        break;
    case route::result::refuse:
        finish_with_error(id, *where.error, todo);
        break;
    }
}

auto entry_router::make_request(session_id id, const session_state& caller,
                                const target_record& target,
                                const route& where) const -> execute_request
{
    const auto& running = *caller.running;
    const auto view = hooks_.view();
    const auto* const group = view->find_group(caller.group);
    auto message = execute_request{};
    message.id = running.id;
    message.session = id;
    message.target = target.description.id;
    message.epoch = target.epoch;
    if (group != nullptr && group->primary) {
        message.group_term = group->primary->group_term;
    }
    message.body = running.body.body;
    message.step = running.body.step;
    message.is_read_only = running.body.is_read_only;
    message.is_idempotent = running.body.is_idempotent;
    message.key = running.body.key;
    message.hinted_class = running.body.hinted_class;
    message.shape = running.body.shape;
    message.caller = caller.caller;
    message.time_left_us = (running.deadline - hooks_.now()).count();
    message.floor = where.floor;
    return message;
}

auto entry_router::send(session_id id, session_state& caller,
                        const route& where, actions& todo) -> void
{
    const auto view = hooks_.view();
    const auto* const target = view->find_target(where.target);
    auto& running = *caller.running;
    const auto is_same_owner =
        !caller.transaction ||
        (target != nullptr && target->epoch == caller.transaction->epoch);
    if (!is_same_owner) {
        caller.transaction.reset();
        finish_with_error(id,
                          not_run(sqlstate::transaction_rollback,
                                  "the transaction was lost and rolled back"),
                          todo);
        return;
    }
    if (target == nullptr || !target->owner) {
        park(id, caller);
        return;
    }
    const auto is_local = target->owner->id == options_.self.id;
    const auto local = is_local ? hooks_.find_local(where.target) : nullptr;
    auto link = std::optional(local_link);
    if (!is_local) {
        // The owner ties a transaction to the link that opened it.
        link = caller.transaction ? caller.transaction->link
                                  : hooks_.find_link(target->owner->id);
    }
    if (!link || (is_local && !local)) {
        park(id, caller);
        return;
    }
    const auto permission = pending_.try_send(hooks_.now(), running.id, *link);
    if (permission != send_permission::granted) {
        // Past its deadline or out of retries; `tick` ends it.
        park(id, caller);
        return;
    }
    running.is_parked = false;
    parked_.erase(id);
    running.target = where.target;
    running.epoch = target->epoch;
    running.link = *link;
    running.is_at_replica = where.is_replica;
    auto message = make_request(id, caller, *target, where);
    if (is_local) {
        todo.push_back([this, local, message = std::move(message)]() mutable {
            local->submit(std::move(message), local_link,
                          [this](execute_reply reply) {
                              on_reply(local_link, std::move(reply));
                          });
        });
        return;
    }
    todo.push_back([this, link = *link, message = std::move(message)] {
        if (!hooks_.send_request(link, message)) {
            // The link closes on a send that it does not take; its loss ends
            // or retries all requests that were sent over it.
            on_link_down(link);
        }
    });
}

auto entry_router::park(session_id id, session_state& caller) -> void
{
    const auto doublings = std::min(caller.running->parkings++, most_doublings);
    park_until(id, caller, hooks_.now() + first_pause * (1U << doublings));
}

auto entry_router::park_until(session_id id, session_state& caller,
                              time_point when) -> void
{
    caller.running->is_parked = true;
    caller.running->not_before = when;
    parked_.insert(id);
}

auto entry_router::retry_parked(actions& todo) -> void
{
    const auto now = hooks_.now();
    auto due = std::vector<session_id>{};
    for (const auto id : parked_) {
        const auto& caller = sessions_.at(id);
        if (now >= caller.running->not_before) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        parked_.erase(id);
        auto& caller = sessions_.at(id);
        caller.running->is_parked = false;
        dispatch(id, caller, todo);
    }
}

auto entry_router::on_reply(link_id link, execute_reply reply) -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto is_not_run =
            reply.error && reply.error->outcome == verdict::not_run;
        const auto may_reroute =
            is_not_run && reply.reroute != reroute_hint::none;
        if (may_reroute) {
            if (!pending_.on_not_run(reply.id, link)) {
                return;
            }
            const auto id = by_request_.at(reply.id);
            auto& caller = sessions_.at(id);
            ++counts_.rerouted;
            if (caller.running->is_at_replica) {
                group_state(caller.group)
                    .choice.on_failed(caller.running->target);
            }
            caller.running->must_use_primary |=
                reply.reroute == reroute_hint::use_primary;
            if (reply.reroute == reroute_hint::use_primary) {
                park_until(id, caller, hooks_.now());
            } else {
                park(id, caller);
            }
            retry_parked(todo);
        } else if (is_not_run) {
            // A refused retry does not take back that an earlier attempt may
            // have run, so the verdict comes from the record.
            const auto is_expected = pending_.on_not_run(reply.id, link);
            const auto ending = is_expected
                                    ? pending_.give_up(reply.id, *reply.error)
                                    : std::nullopt;
            if (ending) {
                reply.error = ending->error;
                finish(ending->session, std::move(reply), todo);
            }
        } else if (const auto id = pending_.on_answer(reply.id, link)) {
            finish(*id, std::move(reply), todo);
        }
    }
    run(todo);
}

auto entry_router::fence_reply(const session_state& caller,
                               execute_reply& reply) const -> void
{
    const auto is_write = !caller.running->body.is_read_only;
    if (!is_write || reply.error || !reply.position) {
        return;
    }
    const auto view = hooks_.view();
    const auto* const group = view->find_group(caller.group);
    const auto is_replaced =
        group != nullptr && group->primary &&
        group->primary->group_term > reply.position->group_term;
    if (is_replaced) {
        reply.error =
            request_error{verdict::may_have_run,
                          std::string(sqlstate::transaction_resolution_unknown),
                          "the primary was replaced before its answer arrived"};
        reply.answer.clear();
    }
}

auto entry_router::finish(session_id id, execute_reply reply, actions& todo)
    -> void
{
    auto& caller = sessions_.at(id);
    fence_reply(caller, reply);
    note_answer(caller, reply);
    if (reply.error && caller.transaction) {
        end_transaction_at_owner(id, caller, todo);
    }
    auto token = std::optional<std::string>{};
    const auto is_write = !caller.running->body.is_read_only;
    if (reply.position && !reply.error && is_write) {
        caller.token.raise(caller.group, *reply.position);
        caller.has_floor = true;
        token = to_string(caller.token);
    }
    by_request_.erase(caller.running->id);
    caller.running.reset();
    parked_.erase(id);
    todo.push_back([this, id, reply = std::move(reply),
                    token = std::move(token)]() mutable {
        hooks_.complete(id, std::move(reply), std::move(token));
    });
}

auto entry_router::note_answer(session_state& caller,
                               const execute_reply& reply) -> void
{
    auto& running = *caller.running;
    const auto is_open =
        !reply.error && reply.status != transaction_status::idle;
    if (is_open) {
        caller.transaction = open_transaction{
            running.target, running.epoch, running.link,
            caller.transaction ? caller.transaction->is_read_only
                               : running.body.is_read_only};
    } else if (!reply.error) {
        caller.transaction.reset();
    }
    if (reply.error) {
        const auto is_unknown = reply.error->outcome == verdict::may_have_run;
        ++(is_unknown ? counts_.may_have_run : counts_.refused);
    } else if (!running.body.is_read_only) {
        ++counts_.writes;
    } else {
        ++(running.is_at_replica ? counts_.replica_reads
                                 : counts_.primary_reads);
    }
    if (running.is_at_replica) {
        auto& choice = group_state(caller.group).choice;
        if (reply.error) {
            choice.on_failed(running.target);
        } else {
            choice.on_answered(running.target, reply.load);
            if (reply.position) {
                choice.on_replayed(hooks_.now(), running.target,
                                   *reply.position);
            }
        }
    }
}

auto entry_router::finish_with_error(session_id id, const request_error& error,
                                     actions& todo) -> void
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end() || !found->second.running) {
        return;
    }
    // The record knows whether an earlier attempt may have run.
    const auto ending = pending_.give_up(found->second.running->id, error);
    finish(id, error_reply(ending ? ending->error : error), todo);
}

auto entry_router::end_transaction_at_owner(session_id id,
                                            session_state& caller,
                                            actions& todo) -> void
{
    const auto transaction = *std::exchange(caller.transaction, {});
    send_cancel(transaction.target, transaction.link, {id, request_id(0)},
                todo);
}

auto entry_router::send_cancel(const target_id& target, link_id link,
                               const cancel_request& message, actions& todo)
    -> void
{
    todo.push_back([this, target, link, message] {
        if (link != local_link) {
            hooks_.send_cancel(link, message);
        } else if (const auto local = hooks_.find_local(target)) {
            local->cancel(message, local_link);
        }
    });
}

auto entry_router::on_cancel(session_id session) -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = sessions_.find(session);
        if (found == sessions_.end() || !found->second.running) {
            return;
        }
        const auto& running = *found->second.running;
        if (running.is_parked) {
            finish_with_error(
                session,
                not_run(sqlstate::query_canceled, "cancelled by the caller"),
                todo);
        } else {
            send_cancel(running.target, running.link, {session, running.id},
                        todo);
        }
    }
    run(todo);
}

auto entry_router::on_closed(session_id session) -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) {
            return;
        }
        auto& caller = found->second;
        const auto is_on_its_way = caller.running && !caller.running->is_parked;
        if (is_on_its_way && !caller.transaction) {
            send_cancel(caller.running->target, caller.running->link,
                        {session, request_id(0)}, todo);
        }
        if (caller.transaction) {
            end_transaction_at_owner(session, caller, todo);
        }
        static_cast<void>(pending_.on_session_closed(session));
        if (caller.running) {
            by_request_.erase(caller.running->id);
        }
        parked_.erase(session);
        sessions_.erase(found);
    }
    run(todo);
}

auto entry_router::on_link_up() -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        retry_parked(todo);
    }
    run(todo);
}

auto entry_router::on_directory() -> void
{
    on_link_up();
}

auto entry_router::on_link_down(link_id link) -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto loss = pending_.on_link_lost(hooks_.now(), link);
        for (auto& [id, caller] : sessions_) {
            // The owner ends the transactions of a lost link by itself.
            if (caller.transaction && caller.transaction->link == link) {
                caller.transaction.reset();
            }
            const auto is_retry =
                caller.running && !caller.running->is_parked &&
                std::find(loss.retries.begin(), loss.retries.end(),
                          caller.running->id) != loss.retries.end();
            if (is_retry) {
                park_until(id, caller, hooks_.now());
            }
        }
        for (const auto& ending : loss.endings) {
            finish(ending.session, error_reply(ending.error), todo);
        }
        retry_parked(todo);
    }
    run(todo);
}

auto entry_router::tick() -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto now = hooks_.now();
        for (const auto& ending : pending_.expire(now)) {
            finish(ending.session, error_reply(ending.error), todo);
        }
        retry_parked(todo);
    }
    run(todo);
}

auto entry_router::has_requests() const -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return pending_.size() > 0;
}

auto entry_router::status() const -> entry_status
{
    const auto lock = std::lock_guard(mutex_);
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

auto entry_router::sessions_idle_in_transaction() const
    -> std::vector<session_id>
{
    const auto lock = std::lock_guard(mutex_);
    auto result = std::vector<session_id>{};
    for (const auto& [id, caller] : sessions_) {
        if (caller.transaction && !caller.running) {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace rhubarbrun::inline v1
