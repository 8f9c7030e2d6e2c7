#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/owned_target.hpp>

#include <algorithm>
#include <utility>

// The part of owned_target that carries requests from submission to reply.

namespace rhubarbrun::inline v1 {

namespace {

/// A transaction whose caller sends nothing for this long is rolled back.
constexpr auto idle_transaction_limit = std::chrono::seconds(60);

auto refused_reply(request_error error, reroute_hint reroute) -> execute_reply
{
    auto reply = execute_reply{};
    reply.error = std::move(error);
    reply.reroute = reroute;
    return reply;
}

auto is_part_of_transaction(transaction_step step) -> bool
{
    return step == transaction_step::within || step == transaction_step::end;
}

/// Shape under which the length of a request is learned. Describing a report
/// takes as long as describing any other statement and says nothing of its
/// run.
auto shape_of(const execute_request& request) -> std::string
{
    return request.body.form == statement_form::describe ? "describe"
                                                         : request.shape;
}

auto hinted_length(const execute_request& request)
    -> std::optional<statement_length>
{
    if (!request.hinted_class) {
        return std::nullopt;
    }
    return *request.hinted_class == work_class::report
               ? statement_length::long_running
               : statement_length::short_running;
}

auto class_of(const execute_request& request,
              const statement_estimate& estimate) -> work_class
{
    if (request.hinted_class) {
        return *request.hinted_class;
    }
    if (estimate.length == statement_length::long_running) {
        return work_class::report;
    }
    return request.is_read_only ? work_class::lookup : work_class::order_entry;
}

} // namespace

auto not_owned_reply(request_id id) -> execute_reply
{
    auto reply =
        refused_reply(not_run_error(sqlstate::cannot_connect_now,
                                    "this proxy does not own the target"),
                      reroute_hint::try_again);
    reply.id = id;
    return reply;
}

auto owned_target::submit(execute_request request, link_id link,
                          reply_function reply) -> void
{
    asio::post(strand_,
               [self = shared_from_this(), request = std::move(request), link,
                reply = std::move(reply)]() mutable {
                   self->on_submit(std::move(request), link, std::move(reply));
               });
}

auto owned_target::on_submit(execute_request request, link_id link,
                             reply_function reply) -> void
{
    const auto now = hooks_.now();
    auto work = job{};
    work.session = {link, request.session};
    work.reply = std::move(reply);
    work.deadline = now + duration(request.time_left_us);
    work.request = std::move(request);
    if (auto refused = refusal(work)) {
        refused->id = work.request.id;
        refused->load = queue_->load();
        work.reply(std::move(*refused));
        return;
    }
    if (const auto pin = pins_.find(work.session)) {
        work.pin = pin->pin;
    }
    const auto& floor = work.request.floor;
    const auto must_wait =
        floor && !work.pin && !may_write() && state_->position < floor->offset;
    if (must_wait) {
        const auto longest =
            std::chrono::milliseconds(group_.config.reads.fallback_wait_ms);
        work.position_limit = std::min(now + longest, work.deadline);
        work.stage = job_stage::waiting_for_position;
        last_ticket_ = last_ticket_.next();
        waiting_for_position_.push_back(last_ticket_);
        jobs_.emplace(last_ticket_, std::move(work));
        // The known position is up to a probe interval old.
        monitor_->request_probe();
        return;
    }
    admit(std::move(work));
    pump();
}

auto owned_target::refusal(const job& work) const
    -> std::optional<execute_reply>
{
    const auto& request = work.request;
    const auto elsewhere = [](const char* message) {
        return refused_reply(
            make_error(verdict::not_run, sqlstate::cannot_connect_now, message),
            reroute_hint::try_again);
    };
    const auto is_this_assignment =
        request.epoch == record_.epoch && is_own_assignment();
    if (is_part_of_transaction(request.step)) {
        const auto pin = pins_.find(work.session);
        if (!is_this_assignment || !may_serve() || !pin) {
            return refused_reply(
                make_error(verdict::not_run, sqlstate::transaction_rollback,
                           "the transaction was ended by the proxy and rolled "
                           "back"),
                reroute_hint::none);
        }
        return std::nullopt;
    }
    if (!is_this_assignment) {
        return elsewhere("this proxy does not own the target");
    }
    if (!may_serve() || handover_since_) {
        return elsewhere("the owner of the target is not ready");
    }
    if (record_.presence != target_presence::present) {
        return elsewhere("the target is leaving");
    }
    const auto known = group_.primary ? group_.primary->group_term : term(0);
    const auto is_behind = request.group_term > known ||
                           (request.floor && request.floor->group_term > known);
    if (!group_.primary || is_behind) {
        return elsewhere("the owner does not know the group's term yet");
    }
    if (is_designated_primary()) {
        return may_write()
                   ? std::nullopt
                   : std::optional(elsewhere("the primary is not ready yet"));
    }
    if (!request.is_read_only) {
        return elsewhere("the target is not the group's primary");
    }
    // The log of a replica that has diverged may end beyond any floor and
    // still lack the writes of the new term.
    if (!state_ || !state_->is_in_recovery || !follows_term()) {
        return refused_reply(make_error(verdict::not_run,
                                        sqlstate::cannot_connect_now,
                                        "the replica is not ready"),
                             reroute_hint::use_primary);
    }
    return std::nullopt;
}

auto owned_target::admit(job work) -> void
{
    const auto now = hooks_.now();
    last_ticket_ = last_ticket_.next();
    const auto ticket = last_ticket_;
    const auto& request = work.request;
    auto entry = admission_request{};
    entry.ticket = ticket;
    entry.shape = shape_of(request);
    entry.estimate = classifier_.estimate(entry.shape, hinted_length(request));
    entry.priority = class_of(request, entry.estimate);
    entry.caller = request.caller;
    entry.database = group_.config.database;
    entry.deadline = work.deadline;
    entry.pin = work.pin;
    entry.opens_transaction = request.step == transaction_step::begin;
    work.stage = job_stage::waiting_for_slot;
    jobs_.emplace(ticket, std::move(work));
    auto result = queue_->offer(now, std::move(entry));
    if (std::holds_alternative<admitted_now>(result)) {
        start_job(ticket);
    } else if (auto* const error = std::get_if<request_error>(&result)) {
        fail(ticket, std::move(*error));
    }
}

auto owned_target::pump() -> void
{
    const auto now = hooks_.now();
    while (const auto ticket = queue_->start_next(now)) {
        start_job(*ticket);
    }
    for (auto& refused : queue_->expire(now)) {
        const auto reroute = may_serve() && !handover_since_
                                 ? reroute_hint::none
                                 : reroute_hint::try_again;
        fail(refused.ticket, std::move(refused.error), reroute);
    }
    while (!waiting_for_connection_.empty()) {
        const auto ticket = waiting_for_connection_.front();
        const auto found = jobs_.find(ticket);
        if (found == jobs_.end()) {
            waiting_for_connection_.pop_front();
            continue;
        }
        const auto connection = pool_->take(now);
        if (!connection) {
            break;
        }
        waiting_for_connection_.pop_front();
        run_job(ticket, *connection);
    }
}

auto owned_target::start_job(admission_ticket ticket) -> void
{
    auto& work = jobs_.at(ticket);
    work.started = hooks_.now();
    const auto connection = request_connection(work);
    if (connection) {
        run_job(ticket, *connection);
    } else if (work.pin) {
        // The transaction ended while its statement waited.
        queue_->on_finished(work.started, ticket, duration::zero());
        fail(ticket,
             make_error(verdict::not_run, sqlstate::transaction_rollback,
                        "the transaction was ended by the proxy"));
    } else {
        work.stage = job_stage::waiting_for_connection;
        waiting_for_connection_.push_back(ticket);
    }
}

auto owned_target::request_connection(const job& work)
    -> std::optional<connection_id>
{
    if (!work.pin) {
        return pool_->take(hooks_.now());
    }
    const auto pin = pins_.find(work.session);
    if (!pin || pin->pin != *work.pin || !pins_.on_sent(pin->pin)) {
        return std::nullopt;
    }
    return pin->connection;
}

auto owned_target::run_job(admission_ticket ticket, connection_id connection)
    -> void
{
    const auto now = hooks_.now();
    auto& work = jobs_.at(ticket);
    const auto is_write = !work.request.is_read_only;
    const auto is_fit =
        is_write ? may_write() : work.pin.has_value() || follows_term();
    const auto is_allowed =
        may_serve() && is_fit && !work.is_abandoned && now < work.deadline;
    if (!is_allowed) {
        queue_->on_finished(now, ticket, duration::zero());
        if (work.pin) {
            if (const auto lost = pins_.on_session_lost(work.session)) {
                release(*lost);
            }
        } else {
            pool_->give_back(now, connection, connection_disposition::reuse);
        }
        fail(ticket,
             make_error(verdict::not_run, sqlstate::cannot_connect_now,
                        "the deadline passed or the owner lost the target "
                        "before the statement was sent"),
             work.pin ? reroute_hint::none : reroute_hint::try_again);
        return;
    }
    work.stage = job_stage::running;
    work.connection = connection;
    work.ran_in = group_.primary->group_term;
    pool_->on_sent(connection, work.deadline);
    const auto is_keyed = !work.request.key.is_empty() && is_write && !work.pin;
    if (is_keyed) {
        run_keyed(ticket, keyed_step::begin);
        return;
    }
    run_statement(ticket, work.request.body,
                  [this, ticket](const target_result& result) {
                      on_result(ticket, result);
                  });
}

auto owned_target::run_statement(
    admission_ticket ticket, statement body,
    std::function<void(const target_result&)> handler) -> void
{
    const auto now = hooks_.now();
    const auto& work = jobs_.at(ticket);
    auto* const connection = pool_->connection(*work.connection);
    if (connection == nullptr) {
        // The session ended while the steps of its request were running.
        auto lost = target_result{};
        lost.error = make_error(verdict::may_have_run,
                                sqlstate::transaction_resolution_unknown,
                                "the connection was closed");
        handler(lost);
        return;
    }
    const auto left =
        std::max<duration>(work.deadline - now, std::chrono::milliseconds(1));
    // The handler keeps this object alive, so that every request gets its
    // reply even if the target is stopped meanwhile.
    connection->run(
        std::move(body), left,
        [self = shared_from_this(), ticket,
         handler = std::move(handler)](const target_result& result) {
            if (self->jobs_.contains(ticket)) {
                handler(result);
            }
        });
}

auto owned_target::on_result(admission_ticket ticket,
                             const target_result& result) -> void
{
    const auto now = hooks_.now();
    auto& work = jobs_.at(ticket);
    pool_->on_answered(now, *work.connection);
    const auto measured = now - work.started;
    const auto has_run =
        !result.error || result.error->outcome != verdict::not_run;
    if (has_run) {
        classifier_.on_finished(shape_of(work.request), measured);
    }
    settle_connection(ticket, work, result);
    work.answer.answer = result.answer;
    work.answer.status = result.status;
    if (result.error) {
        const auto may_retry = result.error->outcome == verdict::not_run &&
                               !is_part_of_transaction(work.request.step);
        fail(ticket, *result.error,
             may_retry ? reroute_hint::try_again : reroute_hint::none);
        pump();
        return;
    }
    const auto commits = !work.request.is_read_only &&
                         result.status == transaction_status::idle &&
                         !result.has_target_error &&
                         work.request.body.form != statement_form::describe;
    if (commits) {
        wait_for_second_server(ticket);
    } else {
        auto reply = work.answer;
        if (state_ && follows_term() && !is_designated_primary()) {
            reply.position =
                log_position{group_.primary->group_term, state_->position};
        }
        finish(ticket, std::move(reply));
    }
    pump();
}

auto owned_target::settle_connection(admission_ticket ticket, job& work,
                                     const target_result& result) -> void
{
    if (work.pin) {
        settle_pinned(work, result);
    } else {
        settle_new(ticket, work, result);
    }
    queue_->on_finished(hooks_.now(), ticket, hooks_.now() - work.started);
}

auto owned_target::settle_pinned(job& work, const target_result& result) -> void
{
    const auto now = hooks_.now();
    const auto released =
        result.error ? pins_.on_connection_lost(*work.connection)
                     : pins_.on_answered(now, *work.pin, result.status);
    if (released) {
        release(*released);
    }
}

auto owned_target::settle_new(admission_ticket ticket, job& work,
                              const target_result& result) -> void
{
    const auto now = hooks_.now();
    const auto connection = *work.connection;
    const auto is_open =
        !result.error && result.status != transaction_status::idle;
    if (!is_open) {
        pool_->give_back(
            now, connection,
            disposition_after(!result.error, result.status, false));
        return;
    }
    const auto pin = work.is_abandoned
                         ? std::nullopt
                         : pins_.pin(now, work.session, connection);
    if (!pin) {
        pool_->give_back(now, connection, connection_disposition::close);
        return;
    }
    queue_->on_transaction_opened(ticket, *pin);
}

auto owned_target::release(const released_connection& released) -> void
{
    pool_->give_back(hooks_.now(), released.connection, released.disposition);
    queue_->on_transaction_closed(released.pin);
}

auto owned_target::wait_for_second_server(admission_ticket ticket) -> void
{
    auto& work = jobs_.at(ticket);
    work.stage = job_stage::waiting_for_second_server;
    acknowledger_.on_committed(hooks_.now(), ticket.value());
    if (acknowledger_.should_poll()) {
        acknowledger_.on_poll_sent();
        monitor_->request_poll();
    }
}

auto owned_target::acknowledge(admission_ticket ticket, log_offset position)
    -> void
{
    const auto found = jobs_.find(ticket);
    if (found == jobs_.end()) {
        return;
    }
    auto& work = found->second;
    const auto is_current =
        may_write() && group_.primary->group_term == work.ran_in;
    if (!is_current) {
        fail(ticket,
             make_error(verdict::may_have_run,
                        sqlstate::transaction_resolution_unknown,
                        "the owner lost the primary before the write was "
                        "acknowledged"));
        return;
    }
    auto reply = work.answer;
    reply.position = log_position{work.ran_in, position};
    finish(ticket, std::move(reply));
}

auto owned_target::finish(admission_ticket ticket, execute_reply reply) -> void
{
    const auto found = jobs_.find(ticket);
    if (found == jobs_.end()) {
        return;
    }
    auto work = std::move(found->second);
    jobs_.erase(found);
    reply.id = work.request.id;
    reply.load = queue_->load();
    work.reply(std::move(reply));
}

auto owned_target::fail(admission_ticket ticket, request_error error,
                        reroute_hint reroute) -> void
{
    finish(ticket, refused_reply(std::move(error), reroute));
}

auto owned_target::retry_position_waiters(time_point now) -> void
{
    auto waiting = std::exchange(waiting_for_position_, {});
    for (const auto ticket : waiting) {
        const auto found = jobs_.find(ticket);
        if (found == jobs_.end()) {
            continue;
        }
        auto& work = found->second;
        if (state_ && follows_term() &&
            state_->position >= work.request.floor->offset) {
            auto ready = std::move(work);
            jobs_.erase(found);
            admit(std::move(ready));
        } else if (now >= work.position_limit) {
            fail(ticket,
                 make_error(verdict::not_run, sqlstate::cannot_connect_now,
                            "the replica is behind the session"),
                 reroute_hint::use_primary);
        } else {
            waiting_for_position_.push_back(ticket);
        }
    }
}

auto owned_target::expire_jobs(time_point now) -> void
{
    retry_position_waiters(now);
    if (!waiting_for_position_.empty()) {
        monitor_->request_probe();
    }
    for (const auto handle : acknowledger_.expire(now)) {
        fail(admission_ticket(handle),
             make_error(verdict::may_have_run,
                        sqlstate::transaction_resolution_unknown,
                        "no second server confirmed the write in time"));
    }
    for (const auto& released : pins_.expire(now, idle_transaction_limit)) {
        release(released);
    }
    auto late = std::vector<admission_ticket>{};
    for (const auto ticket : waiting_for_connection_) {
        const auto found = jobs_.find(ticket);
        if (found != jobs_.end() && now >= found->second.deadline) {
            late.push_back(ticket);
        }
    }
    for (const auto ticket : late) {
        std::erase(waiting_for_connection_, ticket);
        queue_->on_finished(now, ticket, duration::zero());
        fail(ticket, make_error(verdict::not_run, sqlstate::cannot_connect_now,
                                "no connection to the target in time"));
    }
}

auto owned_target::refuse_all_waiting() -> void
{
    const auto now = hooks_.now();
    const auto error =
        make_error(verdict::not_run, sqlstate::cannot_connect_now,
                   "the target is no longer served by this owner");
    queue_->refuse_waiting(error);
    for (auto& refused : queue_->expire(now)) {
        fail(refused.ticket, std::move(refused.error), reroute_hint::try_again);
    }
    for (const auto ticket : std::exchange(waiting_for_connection_, {})) {
        queue_->on_finished(now, ticket, duration::zero());
        fail(ticket, error, reroute_hint::try_again);
    }
    for (const auto ticket : std::exchange(waiting_for_position_, {})) {
        fail(ticket, error, reroute_hint::try_again);
    }
}

auto owned_target::cancel(const cancel_request& request, link_id link) -> void
{
    asio::post(strand_, [self = shared_from_this(), request, link] {
        const auto session = entry_session{link, request.session};
        if (request.id == request_id(0)) {
            self->end_session(session);
            return;
        }
        for (auto& [ticket, work] : self->jobs_) {
            const auto is_meant =
                work.session == session && work.request.id == request.id;
            if (!is_meant) {
                continue;
            }
            if (self->queue_->cancel(ticket)) {
                self->fail(ticket, make_error(verdict::not_run,
                                              sqlstate::query_canceled,
                                              "cancelled by the caller"));
            } else if (work.connection && work.stage == job_stage::running) {
                self->pool_->connection(*work.connection)->cancel();
            }
            return;
        }
    });
}

auto owned_target::on_link_lost(link_id link) -> void
{
    asio::post(strand_, [self = shared_from_this(), link] {
        auto sessions = std::vector<entry_session>{};
        for (const auto& [ticket, work] : self->jobs_) {
            if (work.session.link == link) {
                sessions.push_back(work.session);
            }
        }
        for (const auto& session : sessions) {
            self->end_session(session);
        }
        for (const auto& released : self->pins_.on_link_lost(link)) {
            self->release(released);
        }
        self->pump();
    });
}

auto owned_target::end_session(const entry_session& session) -> void
{
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        const auto ticket = entry->first;
        auto& work = entry->second;
        ++entry;
        if (!(work.session == session)) {
            continue;
        }
        work.is_abandoned = true;
        if (queue_->cancel(ticket)) {
            jobs_.erase(ticket);
        }
    }
    // Closing the connection of an open transaction rolls it back.
    if (const auto released = pins_.on_session_lost(session)) {
        release(*released);
    }
    pump();
}

} // namespace rhubarbrun::inline v1
