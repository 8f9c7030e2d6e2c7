#include "scenario_proxy.hpp"

#include <algorithm>

// The part of the proxy stand-in that serves callers, as entry_router does.

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

// The times of entry_router.
constexpr auto first_pause = duration(2ms);
constexpr auto most_doublings = 3U;
constexpr auto least_refresh_interval = duration(20ms);
/// Link of requests to this proxy's own targets.
constexpr auto local_link = link_id(0);

} // namespace

auto scenario_proxy::open_session(session_id session, const std::string& name,
                                  const group_id& group,
                                  const std::string& token) -> bool
{
    if (!has_contact() || !orders_.accept_sessions) {
        return false;
    }
    auto entry = session_state{};
    entry.name = name;
    entry.group = group;
    entry.arrived = now();
    if (!token.empty()) {
        entry.token = std::get<session_token>(parse_session_token(token));
        entry.has_floor = entry.token.floor(group).has_value();
    }
    sessions_.insert_or_assign(session, std::move(entry));
    return true;
}

auto scenario_proxy::close_session(session_id session) -> void
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    auto& caller = found->second;
    if (caller.transaction) {
        end_at_owner(session, caller.transaction->target,
                     caller.transaction->link);
    } else if (caller.running && !caller.running->is_parked) {
        end_at_owner(session, caller.running->target, caller.running->link);
    }
    static_cast<void>(pending_->on_session_closed(session));
    if (caller.running) {
        by_request_.erase(caller.running->id);
    }
    sessions_.erase(found);
}

auto scenario_proxy::request(session_id session,
                             const caller_statement& statement,
                             caller_function answer) -> void
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end() || found->second.running) {
        auto reply = caller_reply{};
        reply.outcome = verdict::not_run;
        reply.answer.attempt = statement.body.attempt;
        answer(reply);
        return;
    }
    auto& caller = found->second;
    last_request_ = last_request_.next();
    auto running = running_request{};
    running.id = last_request_;
    running.statement = statement;
    running.answer = std::move(answer);
    running.deadline = now() + statement.deadline;
    auto pending = pending_request{};
    pending.id = running.id;
    pending.session = session;
    pending.deadline = running.deadline;
    pending.is_idempotent =
        statement.body.is_idempotent ||
        (statement.body.kind == statement_kind::read && !caller.transaction);
    static_cast<void>(pending_->add(pending));
    by_request_[running.id] = session;
    caller.running = std::move(running);
    dispatch(session);
}

auto scenario_proxy::dispatch(session_id id) -> void
{
    auto& caller = sessions_.at(id);
    const auto where = choose_route(caller);
    switch (where.kind) {
    case route::result::send:
        send(id, caller, where);
        break;
    case route::result::park:
        park(id, caller);
        break;
    case route::result::refuse:
        finish_with_error(id, where.code);
        break;
    }
}

auto scenario_proxy::choose_route(session_state& caller) -> route
{
    const auto kind = caller.running->statement.body.kind;
    auto where = route{};
    if (caller.transaction) {
        where.kind = route::result::send;
        where.target = caller.transaction->target;
        return where;
    }
    if (kind == statement_kind::commit) {
        where.kind = route::result::refuse;
        where.code = sqlstate::transaction_rollback;
        return where;
    }
    if (!has_contact()) {
        where.kind = route::result::refuse;
        where.code = sqlstate::cannot_connect_now;
        return where;
    }
    const auto is_replica_read =
        kind == statement_kind::read && !caller.running->must_use_primary;
    return is_replica_read ? route_read(caller) : route_to_primary(caller);
}

auto scenario_proxy::route_to_primary(const session_state& caller) const
    -> route
{
    auto where = route{};
    const auto* const group = copy_.find_group(caller.group);
    if (group == nullptr) {
        where.kind = route::result::refuse;
        where.code = sqlstate::invalid_catalog_name;
    } else if (group->primary) {
        where.kind = route::result::send;
        where.target = group->primary->target;
        where.floor = caller.token.floor(caller.group);
    }
    return where;
}

auto scenario_proxy::route_read(session_state& caller) -> route
{
    auto& running = *caller.running;
    const auto* const config = copy_.find_group(caller.group);
    if (config == nullptr || !config->primary) {
        return route_to_primary(caller);
    }
    auto& group = group_state(caller.group);
    const auto& policy = config->config.reads;
    if (running.position_limit == time_point{}) {
        running.position_limit =
            now() + std::chrono::milliseconds(policy.fallback_wait_ms);
    }
    if (!caller.has_floor && group.acknowledged &&
        group.acknowledged_at >= caller.arrived)
    {
        caller.token.raise(caller.group, *group.acknowledged);
        caller.has_floor = true;
    }
    auto requirements = read_requirements{};
    requirements.floor = caller.token.floor(caller.group);
    requirements.max_age =
        running.statement.max_age != duration::zero()
            ? running.statement.max_age
            : duration(std::chrono::milliseconds(policy.max_age_ms));
    requirements.deadline = running.deadline;
    const auto skips_floor = fault_ == scenario_fault::skip_floor_check;
    if (skips_floor) {
        requirements.floor.reset();
    }
    const auto floor = group.choice.required_position(now(), requirements);
    auto where = route{};
    if (!caller.has_floor || !floor) {
        if (now() >= running.position_limit) {
            return route_to_primary(caller);
        }
        refresh(caller.group, group);
        return where;
    }
    requirements.floor = skips_floor ? std::nullopt : floor;
    requirements.max_age = duration::zero();
    const auto chosen = group.choice.choose(now(), requirements);
    if (chosen.kind == read_target::primary) {
        return route_to_primary(caller);
    }
    where.kind = route::result::send;
    where.target = *chosen.target;
    where.floor = floor;
    where.is_replica = true;
    return where;
}

auto scenario_proxy::send(session_id id, session_state& caller,
                          const route& where) -> void
{
    const auto* const target = copy_.find_target(where.target);
    auto& running = *caller.running;
    const auto is_same_owner =
        !caller.transaction ||
        (target != nullptr && target->epoch == caller.transaction->epoch);
    if (!is_same_owner) {
        caller.transaction.reset();
        finish_with_error(id, sqlstate::transaction_rollback);
        return;
    }
    if (target == nullptr || !target->owner) {
        park(id, caller);
        return;
    }
    const auto owner = target->owner->id.value();
    const auto is_local = owner == name_;
    auto* const local = is_local ? owner_of(where.target) : nullptr;
    if (is_local && local == nullptr) {
        park(id, caller);
        return;
    }
    auto link = local_link;
    if (!is_local) {
        link = caller.transaction ? caller.transaction->link : find_link(owner);
    }
    if (pending_->try_send(now(), running.id, link) != send_permission::granted)
    {
        park(id, caller);
        return;
    }
    running.is_parked = false;
    running.target = where.target;
    running.epoch = target->epoch;
    running.link = link;
    running.is_at_replica = where.is_replica;
    auto message = scenario_request{};
    message.id = running.id;
    message.session = id;
    message.body = running.statement.body;
    message.target = where.target;
    message.epoch = target->epoch;
    message.group_term = copy_.find_group(caller.group)->primary->group_term;
    message.is_read_only = message.body.kind == statement_kind::read;
    message.is_in_transaction = caller.transaction.has_value();
    message.deadline = running.deadline;
    message.floor = where.floor;
    if (is_local) {
        local->submit(message, local_link, [this](scenario_reply reply) {
            on_reply(local_link, reply);
        });
        return;
    }
    network_->send(
        link.value(), name_, owner,
        [this, owner, message, link] {
            auto* const peer = hooks_.proxy(owner);
            peer->on_execute(message, link, [=, this](scenario_reply reply) {
                network_->send(link.value(), owner, name_,
                               [=, this] { on_reply(link, reply); });
            });
        },
        [this, owner, link] { on_link_down(owner, link); });
}

auto scenario_proxy::on_execute(const scenario_request& request, link_id link,
                                scenario_owner::reply_function reply) -> void
{
    auto* const owner = owner_of(request.target);
    if (owner == nullptr) {
        auto answer = scenario_reply{};
        answer.id = request.id;
        answer.error = request_error{verdict::not_run,
                                     std::string(sqlstate::cannot_connect_now),
                                     {},
                                     {}};
        answer.reroute = request.is_in_transaction
                             ? scenario_reroute::none
                             : scenario_reroute::try_again;
        reply(answer);
        return;
    }
    ++executing_;
    owner->submit(request, link, [this, reply = std::move(reply)](auto answer) {
        executing_ -= executing_ > 0 ? 1U : 0U;
        reply(std::move(answer));
    });
}

auto scenario_proxy::park(session_id id, session_state& caller) -> void
{
    const auto doublings = std::min(caller.running->parkings++, most_doublings);
    park_until(id, caller, now() + first_pause * (1U << doublings));
}

auto scenario_proxy::park_until(session_id /*id*/, session_state& caller,
                                time_point when) -> void
{
    caller.running->is_parked = true;
    caller.running->not_before = when;
}

auto scenario_proxy::retry_parked() -> void
{
    auto due = std::vector<session_id>{};
    for (const auto& [id, caller] : sessions_) {
        if (caller.running && caller.running->is_parked &&
            now() >= caller.running->not_before)
        {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        const auto found = sessions_.find(id);
        const auto is_still_due = found != sessions_.end() &&
                                  found->second.running &&
                                  found->second.running->is_parked;
        if (is_still_due) {
            found->second.running->is_parked = false;
            dispatch(id);
        }
    }
}

auto scenario_proxy::on_reply(link_id link, const scenario_reply& reply) -> void
{
    const auto is_not_run =
        reply.error && reply.error->outcome == verdict::not_run;
    const auto is_refusal =
        is_not_run && reply.reroute == scenario_reroute::none;
    if (is_refusal && pending_->on_not_run(reply.id, link)) {
        if (const auto ending = pending_->give_up(reply.id, *reply.error)) {
            auto refused = reply;
            refused.error = ending->error;
            finish(ending->session, refused);
        }
        return;
    }
    if (!is_not_run || reply.reroute == scenario_reroute::none) {
        if (const auto id = pending_->on_answer(reply.id, link)) {
            finish(*id, reply);
        } else if (fault_ == scenario_fault::accept_late_answer) {
            const auto ended = ended_.find(reply.id);
            const auto caller = ended == ended_.end()
                                    ? sessions_.end()
                                    : sessions_.find(ended->second);
            if (caller != sessions_.end() && caller->second.running) {
                finish(ended->second, reply);
            }
        }
        return;
    }
    if (!pending_->on_not_run(reply.id, link)) {
        return;
    }
    const auto id = by_request_.at(reply.id);
    auto& caller = sessions_.at(id);
    if (caller.running->is_at_replica) {
        group_state(caller.group).choice.on_failed(caller.running->target);
    }
    if (reply.reroute == scenario_reroute::use_primary) {
        caller.running->must_use_primary = true;
        park_until(id, caller, now());
    } else {
        park(id, caller);
    }
    retry_parked();
}

auto scenario_proxy::finish(session_id id, scenario_reply reply) -> void
{
    auto& caller = sessions_.at(id);
    if (!caller.running) {
        // Only if a planted fault has ended the request before.
        return;
    }
    auto running = std::move(*caller.running);
    const auto is_write = running.statement.body.kind != statement_kind::read;
    const auto* const group = copy_.find_group(caller.group);
    const auto is_replaced =
        is_write && !reply.error && reply.position && group != nullptr &&
        group->primary &&
        group->primary->group_term > reply.position->group_term;
    if (is_replaced && fault_ != scenario_fault::acknowledge_without_check) {
        reply.error =
            request_error{verdict::may_have_run,
                          std::string(sqlstate::transaction_resolution_unknown),
                          {},
                          {}};
    }
    const auto is_open =
        !reply.error && reply.answer.status != transaction_status::idle;
    if (is_open) {
        caller.transaction =
            open_transaction{running.target, running.epoch, running.link};
    } else if (!reply.error) {
        caller.transaction.reset();
    }
    if (running.is_at_replica) {
        auto& choice = group_state(caller.group).choice;
        if (reply.error) {
            choice.on_failed(running.target);
        } else {
            choice.on_answered(running.target, reply.load);
            if (reply.position) {
                choice.on_replayed(now(), running.target, *reply.position);
            }
        }
    }
    if (reply.error && caller.transaction) {
        const auto open = *std::exchange(caller.transaction, {});
        end_at_owner(id, open.target, open.link);
    }
    if (reply.position && !reply.error && is_write) {
        caller.token.raise(caller.group, *reply.position);
        caller.has_floor = true;
    }
    by_request_.erase(running.id);
    caller.running.reset();
    if (fault_ == scenario_fault::accept_late_answer) {
        ended_[running.id] = id;
    }
    auto out = caller_reply{};
    out.outcome = reply.error ? reply.error->outcome : verdict::ran;
    out.code = reply.error ? reply.error->code : "";
    out.answer = reply.answer;
    out.is_at_replica = running.is_at_replica;
    out.token = to_string(caller.token);
    if (out.answer.attempt == 0) {
        out.answer.attempt = running.statement.body.attempt;
    }
    running.answer(out);
}

auto scenario_proxy::finish_with_error(session_id id, std::string_view code)
    -> void
{
    auto& caller = sessions_.at(id);
    auto reply = scenario_reply{};
    reply.error = request_error{verdict::not_run, std::string(code), {}, {}};
    if (const auto ending = pending_->give_up(caller.running->id, *reply.error))
    {
        reply.error = ending->error;
    }
    finish(id, reply);
}

auto scenario_proxy::end_at_owner(session_id id, const target_id& target,
                                  link_id link) -> void
{
    if (link == local_link) {
        if (auto* const owner = owner_of(target)) {
            owner->end_session({link, id});
        }
        return;
    }
    for (const auto& [peer, entry] : links_) {
        if (link_id(entry.connection) != link) {
            continue;
        }
        network_->send(
            link.value(), name_, peer, [this, peer = peer, target, link, id] {
                auto* const owner = hooks_.proxy(peer)->owner_of(target);
                if (owner != nullptr) {
                    owner->end_session({link, id});
                }
            });
    }
}

auto scenario_proxy::on_link_down(const std::string& peer, link_id link) -> void
{
    auto& entry = links_[peer];
    if (link_id(entry.connection) != link || entry.is_lost) {
        return;
    }
    entry.is_lost = true;
    // The other end notices as well; here the reset arrives if it can.
    const auto reset = network_->connect(name_, peer);
    network_->send(reset, name_, peer, [this, peer, link] {
        hooks_.proxy(peer)->on_peer_link_lost(link);
    });
    const auto loss = pending_->on_link_lost(now(), link);
    for (auto& [id, caller] : sessions_) {
        if (caller.transaction && caller.transaction->link == link) {
            caller.transaction.reset();
        }
        const auto is_retry =
            caller.running && !caller.running->is_parked &&
            std::find(loss.retries.begin(), loss.retries.end(),
                      caller.running->id) != loss.retries.end();
        if (is_retry) {
            park_until(id, caller, now());
        }
    }
    for (const auto& ending : loss.endings) {
        auto reply = scenario_reply{};
        reply.error = ending.error;
        finish(ending.session, reply);
    }
    retry_parked();
}

auto scenario_proxy::tick_entry() -> void
{
    for (const auto& ending : pending_->expire(now())) {
        auto reply = scenario_reply{};
        reply.error = ending.error;
        finish(ending.session, reply);
    }
    retry_parked();
}

auto scenario_proxy::group_state(const group_id& id) -> group_view&
{
    const auto found = groups_.find(id);
    if (found != groups_.end()) {
        return found->second;
    }
    auto options = replica_choice_options{};
    options.random = [this] {
        return network_->random();
    };
    return groups_.emplace(id, group_view(std::move(options))).first->second;
}

auto scenario_proxy::refresh(const group_id& id, group_view& group) -> void
{
    if (now() - group.queried_at < least_refresh_interval) {
        return;
    }
    group.queried_at = now();
    const auto asked_at = now();
    for (const auto& target : copy_.targets_of(id)) {
        const auto* const record = copy_.find_target(target);
        if (record == nullptr || !record->owner) {
            continue;
        }
        const auto owner = record->owner->id.value();
        if (owner == name_) {
            if (auto* const local = owner_of(target)) {
                on_position(id, asked_at, local->query());
            }
            continue;
        }
        const auto link = find_link(owner);
        network_->send(link.value(), name_, owner, [=, this] {
            auto* const there = hooks_.proxy(owner)->owner_of(target);
            if (there == nullptr) {
                return;
            }
            const auto answer = there->query();
            network_->send(link.value(), owner, name_,
                           [=, this] { on_position(id, asked_at, answer); });
        });
    }
}

auto scenario_proxy::on_position(const group_id& id, time_point asked_at,
                                 const scenario_position& answer) -> void
{
    auto& group = group_state(id);
    const auto* const record = copy_.find_target(answer.target);
    if (record == nullptr || !answer.position) {
        return;
    }
    if (answer.log_end) {
        group.acknowledged = answer.position;
        group.acknowledged_at = asked_at;
        group.followers = answer.followers;
        group.choice.on_primary_position(asked_at - answer.age,
                                         *answer.log_end);
        for (const auto& target : copy_.targets_of(id)) {
            if (!group.followers.contains(target)) {
                group.choice.on_removed(target);
            }
        }
    } else if (group.followers.contains(answer.target)) {
        auto report = replica_report{};
        report.target = answer.target;
        report.zone = record->description.zone;
        report.distance = report.zone == zone_ ? duration(0) : duration(1ms);
        report.slots = record->description.slots;
        report.replayed = *answer.position;
        report.replayed_at = asked_at - answer.age;
        report.load = answer.load;
        group.choice.on_report(now(), std::move(report));
    }
}

} // namespace rhubarbrun::tests
