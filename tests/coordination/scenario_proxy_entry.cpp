#include "scenario_proxy.hpp"

// The part of the fake proxy that serves callers: it carries out what
// entry_coordinator decides, as entry_router does.

namespace rhubarbrun::tests {

namespace {

auto pending_fault_of(scenario_fault fault) -> pending_fault
{
    switch (fault) {
    case scenario_fault::accept_late_answer:
        return pending_fault::accept_late_answer;
    case scenario_fault::claim_not_run:
        return pending_fault::claim_not_run;
    case scenario_fault::resend_non_idempotent:
        return pending_fault::resend_non_idempotent;
    default:
        return pending_fault::none;
    }
}

auto entry_fault_of(scenario_fault fault) -> entry_fault
{
    switch (fault) {
    case scenario_fault::skip_floor_check:
        return entry_fault::skip_floor_check;
    case scenario_fault::acknowledge_without_check:
        return entry_fault::accept_replaced_primary;
    default:
        return entry_fault::none;
    }
}

auto step_of(statement_kind kind, bool is_in_transaction) -> transaction_step
{
    if (kind == statement_kind::begin) {
        return transaction_step::begin;
    }
    if (kind == statement_kind::commit) {
        return transaction_step::end;
    }
    return is_in_transaction ? transaction_step::within
                             : transaction_step::single;
}

auto is_part_of_transaction(transaction_step step) -> bool
{
    return step == transaction_step::within || step == transaction_step::end;
}

auto summary_of(const scenario_reply& reply) -> entry_reply
{
    auto result = entry_reply{};
    result.id = reply.id;
    result.error = reply.error;
    result.reroute = reply.reroute;
    result.status = reply.answer.status;
    result.position = reply.position;
    result.load = reply.load;
    return result;
}

} // namespace

auto scenario_proxy::make_coordinator() -> void
{
    auto options = entry_coordinator_options{};
    options.self = proxy_id(name_);
    options.zone = zone_;
    options.random = [this] {
        return network_->random();
    };
    options.find_link = [this](const target_id& target, const proxy_id& owner) {
        if (owner != proxy_id(name_)) {
            return std::optional(find_link(owner.value()));
        }
        return owner_of(target) != nullptr ? std::optional(local_link)
                                           : std::nullopt;
    };
    options.fault = entry_fault_of(fault_);
    options.fault_of_pending = pending_fault_of(fault_);
    entry_ = std::make_unique<entry_coordinator>(std::move(options));
    callers_.clear();
    ended_requests_.clear();
}

auto scenario_proxy::current_view() const -> entry_view
{
    return {now(), directory_, has_contact()};
}

auto scenario_proxy::open_session(session_id session, const group_id& group,
                                  const std::string& token) -> bool
{
    if (!has_contact() || !drain_actions_.accept_sessions) {
        return false;
    }
    auto floors = session_token{};
    if (!token.empty()) {
        floors = std::get<session_token>(parse_session_token(token));
    }
    entry_->open_session(now(), session, group, std::move(floors));
    callers_.insert_or_assign(session, caller_state{});
    return true;
}

auto scenario_proxy::close_session(session_id session) -> void
{
    callers_.erase(session);
    carry_out(entry_->on_closed(session));
}

auto scenario_proxy::request(session_id session,
                             const caller_statement& statement,
                             caller_function answer) -> void
{
    const auto found = callers_.find(session);
    if (found == callers_.end() || found->second.answer) {
        auto reply = caller_reply{};
        reply.outcome = verdict::not_run;
        reply.answer.attempt = statement.body.attempt;
        answer(reply);
        return;
    }
    auto summary = entry_request{};
    summary.step =
        step_of(statement.body.kind, entry_->is_in_transaction(session));
    summary.is_read_only = statement.body.kind == statement_kind::read;
    summary.is_idempotent = statement.body.is_idempotent;
    summary.deadline = statement.deadline;
    summary.max_age = statement.max_age;
    auto& caller = found->second;
    caller.statement = statement;
    caller.step = summary.step;
    caller.answer = std::move(answer);
    auto todo = entry_actions{};
    if (const auto id =
            entry_->on_request(current_view(), session, summary, todo)) {
        caller.request = *id;
    }
    carry_out(todo);
}

auto scenario_proxy::carry_out(const entry_actions& actions,
                               const scenario_reply& reply) -> void
{
    for (const auto& action : actions) {
        if (const auto* const send = std::get_if<send_action>(&action)) {
            carry_out(*send);
        } else if (const auto* const cancel =
                       std::get_if<cancel_action>(&action)) {
            carry_out(*cancel);
        } else if (const auto* const query = std::get_if<query_action>(&action))
        {
            carry_out(*query);
        } else {
            carry_out(std::get<answer_action>(action), reply);
        }
    }
}

auto scenario_proxy::carry_out(const send_action& action) -> void
{
    const auto found = callers_.find(action.session);
    if (found == callers_.end() || found->second.request != action.id) {
        // An earlier action has ended the request.
        return;
    }
    auto& caller = found->second;
    caller.link = action.link;
    auto message = scenario_request{};
    message.id = action.id;
    message.session = action.session;
    message.body = caller.statement.body;
    message.target = action.target;
    message.epoch = action.epoch;
    message.group_term = action.group_term;
    message.is_read_only = message.body.kind == statement_kind::read;
    message.is_in_transaction = is_part_of_transaction(caller.step);
    message.deadline = now() + action.time_left;
    message.floor = action.floor;
    const auto link = action.link;
    if (link == local_link) {
        execute(message, link, [this](const scenario_reply& reply) {
            on_reply(local_link, reply);
        });
        return;
    }
    const auto owner = action.owner.value();
    network_->send(
        link.value(), name_, owner,
        [this, owner, message, link] {
            auto* const peer = hooks_.proxy(owner);
            peer->on_execute(
                message, link, [=, this](const scenario_reply& reply) {
                    network_->send(link.value(), owner, name_,
                                   [=, this] { on_reply(link, reply); });
                });
        },
        [this, owner, link] { on_link_down(owner, link); });
}

auto scenario_proxy::execute(const scenario_request& request, link_id link,
                             scenario_owner::reply_function reply) -> void
{
    if (auto* const owner = owner_of(request.target)) {
        owner->submit(request, link, std::move(reply));
        return;
    }
    auto answer = scenario_reply{};
    answer.id = request.id;
    answer.error = request_error{
        verdict::not_run, std::string(sqlstate::cannot_connect_now), {}, {}};
    answer.reroute = request.is_in_transaction ? reroute_hint::none
                                               : reroute_hint::try_again;
    reply(answer);
}

auto scenario_proxy::on_execute(const scenario_request& request, link_id link,
                                scenario_owner::reply_function reply) -> void
{
    ++executing_count_;
    execute(request, link, [this, reply = std::move(reply)](auto answer) {
        executing_count_ -= executing_count_ > 0 ? 1U : 0U;
        reply(std::move(answer));
    });
}

auto scenario_proxy::carry_out(const cancel_action& action) -> void
{
    const auto held = entry_session{action.link, action.session};
    if (action.link == local_link) {
        if (auto* const owner = owner_of(action.target)) {
            owner->end_session(held);
        }
        return;
    }
    for (const auto& [peer, entry] : links_) {
        if (link_id(entry.connection) != action.link) {
            continue;
        }
        network_->send(action.link.value(), name_, peer,
                       [this, peer = peer, target = action.target, held] {
                           auto* const owner =
                               hooks_.proxy(peer)->owner_of(target);
                           if (owner != nullptr) {
                               owner->end_session(held);
                           }
                       });
    }
}

auto scenario_proxy::carry_out(const query_action& action) -> void
{
    const auto owner = action.owner.value();
    if (owner == name_) {
        if (auto* const local = owner_of(action.target)) {
            on_position(action.id, local->query());
        }
        return;
    }
    const auto link = find_link(owner);
    network_->send(link.value(), name_, owner, [=, this] {
        auto* const there = hooks_.proxy(owner)->owner_of(action.target);
        if (there == nullptr) {
            return;
        }
        const auto answer = there->query();
        network_->send(link.value(), owner, name_,
                       [=, this] { on_position(action.id, answer); });
    });
}

auto scenario_proxy::carry_out(const answer_action& action,
                               const scenario_reply& reply) -> void
{
    const auto found = callers_.find(action.session);
    if (found == callers_.end() || !found->second.answer) {
        return;
    }
    auto& caller = found->second;
    const auto answer = std::exchange(caller.answer, {});
    if (fault_ == scenario_fault::accept_late_answer) {
        ended_requests_[action.id] = action.session;
    }
    auto out = caller_reply{};
    out.outcome = action.error ? action.error->outcome : verdict::ran;
    out.code = action.error ? action.error->code : "";
    if (action.id == reply.id) {
        out.answer = reply.answer;
    }
    out.is_at_replica = action.is_at_replica;
    out.token = to_string(entry_->token(action.session));
    if (out.answer.attempt == 0) {
        out.answer.attempt = caller.statement.body.attempt;
    }
    answer(out);
}

auto scenario_proxy::on_reply(link_id link, const scenario_reply& reply) -> void
{
    const auto ended = ended_requests_.find(reply.id);
    if (ended == ended_requests_.end()) {
        carry_out(entry_->on_reply(current_view(), link, summary_of(reply)),
                  reply);
        return;
    }
    // Injected fault: the late reply goes to the session's current request.
    const auto caller = callers_.find(ended->second);
    if (caller != callers_.end() && caller->second.answer) {
        auto late = reply;
        late.id = caller->second.request;
        carry_out(entry_->on_reply(current_view(), caller->second.link,
                                   summary_of(late)),
                  late);
    }
}

auto scenario_proxy::on_position(request_id query,
                                 const target_position& answer) -> void
{
    entry_->on_position(current_view(), query, answer);
    carry_out(entry_->retry(current_view()));
}

auto scenario_proxy::on_link_down(const std::string& peer, link_id link) -> void
{
    auto& entry = links_[peer];
    if (link_id(entry.connection) != link || entry.is_lost) {
        return;
    }
    entry.is_lost = true;
    // The peer detects the lost link as well: it receives a reset if it is
    // reachable.
    const auto reset = network_->connect(name_, peer);
    network_->send(reset, name_, peer, [this, peer, link] {
        hooks_.proxy(peer)->on_peer_link_lost(link);
    });
    carry_out(entry_->on_link_down(current_view(), link));
}

} // namespace rhubarbrun::tests
