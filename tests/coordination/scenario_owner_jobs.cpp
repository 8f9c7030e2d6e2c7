#include "scenario_owner.hpp"

#include <algorithm>

// The part of the fake owner that executes requests and sends the replies.

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto idle_transaction_timeout = duration(60s);
/// Time after a request's deadline until its connection counts as silent.
constexpr auto answer_grace_period = duration(200ms);

auto refused(std::string_view code, reroute_hint reroute) -> scenario_reply
{
    auto reply = scenario_reply{};
    reply.error = request_error{verdict::not_run, std::string(code), {}, {}};
    reply.reroute = reroute;
    return reply;
}

} // namespace

auto scenario_owner::submit(const scenario_request& request, link_id link,
                            reply_function reply) -> void
{
    auto work = job{};
    work.request = request;
    work.session = {link, request.session};
    work.reply = std::move(reply);
    if (auto answer = refusal(request, work.session)) {
        answer->id = request.id;
        work.reply(std::move(*answer));
        return;
    }
    if (const auto pin = pins_.find(work.session)) {
        work.pin = pin->pin;
    }
    const auto must_wait = request.floor && !work.pin && !may_write() &&
                           status_->position < request.floor->offset;
    if (must_wait && fault_ != scenario_fault::skip_floor_check) {
        const auto longest =
            std::chrono::milliseconds(group_.config.reads.fallback_wait_ms);
        work.position_deadline = std::min(now() + longest, request.deadline);
        work.current_stage = stage::waiting_for_position;
        last_ticket_ = last_ticket_.next();
        jobs_.emplace(last_ticket_, std::move(work));
        if (!is_probing_) {
            probe(false);
        }
        return;
    }
    admit(std::move(work));
    start_admitted_jobs();
}

auto scenario_owner::refusal(const scenario_request& request,
                             const entry_session& session) const
    -> std::optional<scenario_reply>
{
    const auto elsewhere =
        refused(sqlstate::cannot_connect_now, reroute_hint::try_again);
    const auto is_this = request.epoch == record_.epoch && is_own_assignment();
    if (request.is_in_transaction) {
        if (!is_this || !may_serve() || !pins_.find(session)) {
            return refused(sqlstate::transaction_rollback, reroute_hint::none);
        }
        return std::nullopt;
    }
    if (!is_this || !may_serve() || handover_since_) {
        return elsewhere;
    }
    const auto is_leaving = record_.presence != target_presence::present &&
                            fault_ != scenario_fault::ignore_leaving;
    if (is_leaving) {
        return elsewhere;
    }
    const auto known = group_.primary ? group_.primary->group_term : term(0);
    const auto is_behind = request.group_term > known ||
                           (request.floor && request.floor->group_term > known);
    if (!group_.primary || is_behind) {
        return elsewhere;
    }
    if (is_designated_primary()) {
        return may_write() ? std::nullopt : std::optional(elsewhere);
    }
    if (!request.is_read_only) {
        return elsewhere;
    }
    if (!status_ || !status_->is_in_recovery) {
        return refused(sqlstate::cannot_connect_now, reroute_hint::use_primary);
    }
    return std::nullopt;
}

auto scenario_owner::admit(job work) -> void
{
    last_ticket_ = last_ticket_.next();
    const auto ticket = last_ticket_;
    auto entry = admission_request{};
    entry.ticket = ticket;
    entry.estimate = classifier_.estimate(
        work.request.is_read_only ? "read" : "write", std::nullopt);
    entry.priority = work.request.is_read_only ? work_class::lookup
                                               : work_class::order_entry;
    entry.caller = work.request.body.session;
    entry.database = group_.config.database;
    entry.deadline = work.request.deadline;
    entry.pin = work.pin;
    entry.opens_transaction = work.request.body.kind == statement_kind::begin;
    work.current_stage = stage::waiting_for_slot;
    jobs_.emplace(ticket, std::move(work));
    auto result = queue_.offer(now(), std::move(entry));
    if (std::holds_alternative<admitted_now>(result)) {
        start_job(ticket);
    } else if (auto* const error = std::get_if<request_error>(&result)) {
        fail(ticket, error->outcome, error->code);
    }
}

auto scenario_owner::start_admitted_jobs() -> void
{
    while (const auto ticket = queue_.start_next(now())) {
        start_job(*ticket);
    }
    for (auto& item : queue_.expire(now())) {
        const auto reroute = may_serve() && !handover_since_
                                 ? reroute_hint::none
                                 : reroute_hint::try_again;
        fail(item.ticket, item.error.outcome, item.error.code, reroute);
    }
}

auto scenario_owner::take_connection() -> connection_id
{
    while (!idle_connections_.empty()) {
        const auto connection = idle_connections_.back();
        idle_connections_.pop_back();
        const auto is_usable =
            fault_ == scenario_fault::reuse_open_connection ||
            silence_.check(now(), connection) == connection_check::use;
        if (is_usable) {
            return connection;
        }
        drop(connection);
    }
    const auto connection =
        connection_id(network_->connect(self_.id.value(), id_.value()));
    silence_.on_opened(now(), connection);
    return connection;
}

auto scenario_owner::start_job(admission_ticket ticket) -> void
{
    auto& work = jobs_.at(ticket);
    work.started = now();
    auto connection = std::optional<connection_id>{};
    if (work.pin) {
        const auto pin = pins_.find(work.session);
        if (pin && pin->pin == *work.pin && pins_.on_sent(pin->pin)) {
            connection = pin->connection;
        }
    }
    const auto is_write = !work.request.is_read_only;
    const auto is_allowed =
        may_serve() && (!is_write || may_write()) && !work.is_abandoned &&
        now() < work.request.deadline && (!work.pin || connection);
    if (!is_allowed) {
        queue_.on_finished(now(), ticket, duration::zero());
        if (work.pin) {
            if (const auto lost = pins_.on_session_lost(work.session)) {
                release(*lost);
            }
        }
        fail(ticket, verdict::not_run, sqlstate::cannot_connect_now,
             work.pin ? reroute_hint::none : reroute_hint::try_again);
        return;
    }
    if (!connection) {
        connection = take_connection();
    }
    work.current_stage = stage::running;
    work.connection = connection;
    work.ran_in = group_.primary->group_term;
    silence_.on_sent(*connection, work.request.deadline);
    ask<server_answer>(
        connection->value(),
        work.request.deadline + answer_grace_period - now(),
        [epoch = record_.epoch, number = connection->value(),
         body = work.request.body](scenario_server& server) {
            return server.execute(number, epoch.value(), body);
        },
        [this, ticket](const server_answer* answer, failure_reason how) {
            if (jobs_.contains(ticket)) {
                on_result(ticket, answer, how);
            }
        });
}

auto scenario_owner::on_result(admission_ticket ticket,
                               const server_answer* answer, failure_reason how)
    -> void
{
    auto& work = jobs_.at(ticket);
    if (work.current_stage != stage::running) {
        return;
    }
    if (answer) {
        silence_.on_answered(now(), *work.connection);
        work.answer = *answer;
    }
    settle_connection(ticket, work, !answer);
    queue_.on_finished(now(), ticket, now() - work.started);
    if (!answer) {
        const auto is_retry = how == failure_reason::refused && !work.pin;
        fail(ticket,
             how == failure_reason::refused ? verdict::not_run
                                            : verdict::may_have_run,
             how == failure_reason::refused
                 ? sqlstate::cannot_connect_now
                 : sqlstate::transaction_resolution_unknown,
             is_retry ? reroute_hint::try_again : reroute_hint::none);
        start_admitted_jobs();
        return;
    }
    const auto commits = !work.request.is_read_only &&
                         answer->status == transaction_status::idle &&
                         !answer->has_target_error;
    if (commits) {
        work.current_stage = stage::waiting_for_second_server;
        acknowledger_.on_committed(now(), ticket.value());
        if (acknowledger_.should_poll()) {
            acknowledger_.on_poll_sent();
            request_poll();
        }
    } else {
        auto reply = scenario_reply{};
        reply.answer = *answer;
        if (status_ && group_.primary && !is_designated_primary()) {
            reply.position =
                log_position{group_.primary->group_term, status_->position};
        }
        finish(ticket, std::move(reply));
    }
    start_admitted_jobs();
}

auto scenario_owner::settle_connection(admission_ticket ticket, job& work,
                                       bool is_lost) -> void
{
    const auto connection = *work.connection;
    if (work.pin) {
        const auto released =
            is_lost ? pins_.on_connection_lost(connection)
                    : pins_.on_answered(now(), *work.pin, work.answer.status);
        if (released) {
            release(*released);
        }
        return;
    }
    const auto is_open =
        !is_lost && work.request.body.kind == statement_kind::begin;
    if (is_open && fault_ == scenario_fault::reuse_open_connection) {
        idle_connections_.push_back(connection);
    }
    if (is_open) {
        const auto pin = work.is_abandoned
                             ? std::nullopt
                             : pins_.pin(now(), work.session, connection);
        if (pin) {
            queue_.on_transaction_opened(ticket, *pin);
        } else {
            drop(connection);
        }
        return;
    }
    const auto disposition =
        disposition_after(!is_lost, transaction_status::idle, false);
    if (disposition == connection_disposition::reuse) {
        idle_connections_.push_back(connection);
    } else {
        drop(connection);
    }
}

auto scenario_owner::release(const released_connection& released) -> void
{
    if (released.disposition == connection_disposition::reuse) {
        idle_connections_.push_back(released.connection);
    } else {
        drop(released.connection);
    }
    queue_.on_transaction_closed(released.pin);
}

auto scenario_owner::drop(connection_id connection) -> void
{
    silence_.on_closed(connection);
    network_->send(connection.value(), self_.id.value(), id_.value(),
                   [self = shared_from_this(), connection] {
                       self->hooks_.server(self->id_).close(connection.value());
                   });
}

auto scenario_owner::expire_jobs() -> void
{
    auto waiting = std::vector<admission_ticket>{};
    for (const auto& [ticket, work] : jobs_) {
        if (work.current_stage == stage::waiting_for_position) {
            waiting.push_back(ticket);
        }
    }
    for (const auto ticket : waiting) {
        auto& work = jobs_.at(ticket);
        if (status_ && status_->position >= work.request.floor->offset) {
            auto ready = std::move(work);
            jobs_.erase(ticket);
            admit(std::move(ready));
        } else if (now() >= work.position_deadline) {
            fail(ticket, verdict::not_run, sqlstate::cannot_connect_now,
                 reroute_hint::use_primary);
        } else if (!is_probing_) {
            probe(false);
        }
    }
    for (const auto handle : acknowledger_.expire(now())) {
        fail(admission_ticket(handle), verdict::may_have_run,
             sqlstate::transaction_resolution_unknown);
    }
    for (const auto& item : pins_.expire(now(), idle_transaction_timeout)) {
        release(item);
    }
}

auto scenario_owner::refuse_waiting() -> void
{
    queue_.refuse_waiting(
        {verdict::not_run, std::string(sqlstate::cannot_connect_now), {}, {}});
    for (auto& item : queue_.expire(now())) {
        fail(item.ticket, item.error.outcome, item.error.code,
             reroute_hint::try_again);
    }
    auto waiting = std::vector<admission_ticket>{};
    for (const auto& [ticket, work] : jobs_) {
        if (work.current_stage == stage::waiting_for_position) {
            waiting.push_back(ticket);
        }
    }
    for (const auto ticket : waiting) {
        fail(ticket, verdict::not_run, sqlstate::cannot_connect_now,
             reroute_hint::try_again);
    }
}

auto scenario_owner::finish(admission_ticket ticket, scenario_reply reply)
    -> void
{
    const auto found = jobs_.find(ticket);
    if (found == jobs_.end()) {
        return;
    }
    auto work = std::move(found->second);
    jobs_.erase(found);
    reply.id = work.request.id;
    reply.load = queue_.load();
    work.reply(std::move(reply));
}

auto scenario_owner::fail(admission_ticket ticket, verdict outcome,
                          std::string_view code, reroute_hint reroute) -> void
{
    auto reply = refused(code, reroute);
    reply.error->outcome = outcome;
    if (const auto found = jobs_.find(ticket); found != jobs_.end()) {
        reply.answer.attempt = found->second.request.body.attempt;
    }
    finish(ticket, std::move(reply));
}

auto scenario_owner::end_session(const entry_session& session) -> void
{
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        const auto ticket = entry->first;
        auto& work = entry->second;
        ++entry;
        if (work.session != session) {
            continue;
        }
        work.is_abandoned = true;
        if (queue_.cancel(ticket)) {
            jobs_.erase(ticket);
        }
    }
    if (const auto released = pins_.on_session_lost(session)) {
        release(*released);
    }
    start_admitted_jobs();
}

auto scenario_owner::on_link_lost(link_id link) -> void
{
    auto sessions = std::set<entry_session>{};
    for (const auto& [ticket, work] : jobs_) {
        if (work.session.link == link) {
            sessions.insert(work.session);
        }
    }
    for (const auto& session : sessions) {
        end_session(session);
    }
    for (const auto& released : pins_.on_link_lost(link)) {
        release(released);
    }
    start_admitted_jobs();
}

} // namespace rhubarbrun::tests
