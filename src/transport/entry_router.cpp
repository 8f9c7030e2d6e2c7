#include <rhubarbrun/transport/entry_router.hpp>

#include <mutex>
#include <utility>
#include <variant>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto latency_window_length = std::chrono::minutes(1);

auto summary_of(const execute_reply& reply) -> entry_reply
{
    auto result = entry_reply{};
    result.id = reply.id;
    result.error = reply.error;
    result.reroute = reply.reroute;
    result.status = reply.status;
    result.position = reply.position;
    result.load = reply.load;
    return result;
}

auto summary_of(const position_answer& answer) -> target_position
{
    auto result = target_position{};
    result.target = answer.target;
    result.position = answer.position;
    result.log_end = answer.log_end;
    result.followers = {answer.followers.begin(), answer.followers.end()};
    result.age = duration(answer.age_us);
    result.load = answer.load;
    return result;
}

auto summary_of(const caller_request& request) -> entry_request
{
    auto result = entry_request{};
    result.step = request.step;
    result.is_read_only = request.is_read_only;
    result.is_idempotent = request.is_idempotent;
    result.deadline = request.deadline;
    result.max_age = request.max_age;
    return result;
}

} // namespace

entry_router::entry_router(entry_options options, entry_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      coordinator_(make_coordinator_options()),
      latencies_{latency_window(latency_window_length),
                 latency_window(latency_window_length),
                 latency_window(latency_window_length)}
{
}

auto entry_router::make_coordinator_options() -> entry_coordinator_options
{
    auto result = entry_coordinator_options{};
    result.self = options_.self.id;
    result.zone = options_.zone;
    result.random = hooks_.random;
    result.find_link = [this](const target_id& target, const proxy_id& owner) {
        if (owner != options_.self.id) {
            return hooks_.find_link(owner);
        }
        return hooks_.find_local(target) ? std::optional(local_link)
                                         : std::nullopt;
    };
    return result;
}

auto entry_router::handle(
    const std::function<entry_actions(const entry_view&)>& decide,
    execute_reply reply) -> void
{
    auto todo = steps{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto view = hooks_.view();
        const auto seen = entry_view{hooks_.now(), *view, hooks_.is_ready()};
        todo = prepare(seen.now, decide(seen), reply);
    }
    for (const auto& each : todo) {
        each();
    }
}

auto entry_router::prepare(time_point now, entry_actions actions,
                           execute_reply& reply) -> steps
{
    auto todo = steps{};
    todo.reserve(actions.size());
    for (auto& action : actions) {
        if (const auto* const send = std::get_if<send_action>(&action)) {
            todo.push_back(prepare_send(*send));
        } else if (const auto* const cancel =
                       std::get_if<cancel_action>(&action)) {
            todo.push_back(prepare_cancel(*cancel));
        } else if (const auto* const query = std::get_if<query_action>(&action))
        {
            todo.push_back(prepare_query(*query));
        } else {
            todo.push_back(prepare_answer(
                now, std::get<answer_action>(std::move(action)), reply));
        }
    }
    return todo;
}

auto entry_router::prepare_send(const send_action& action) -> step
{
    const auto& caller = callers_.at(action.session);
    auto message = execute_request{};
    message.id = action.id;
    message.session = action.session;
    message.target = action.target;
    message.epoch = action.epoch;
    message.group_term = action.group_term;
    message.body = caller.request.body;
    message.step = caller.request.step;
    message.is_read_only = caller.request.is_read_only;
    message.is_idempotent = caller.request.is_idempotent;
    message.key = caller.request.key;
    message.hinted_class = caller.request.hinted_class;
    message.shape = caller.request.shape;
    message.caller = caller.name;
    message.time_left_us = action.time_left.count();
    message.floor = action.floor;
    if (action.link != local_link) {
        return [this, link = action.link, message = std::move(message)] {
            if (!hooks_.send_request(link, message)) {
                // The link closes on a send that it does not take; its loss
                // ends or retries all requests that were sent over it.
                on_link_down(link);
            }
        };
    }
    return [this, local = hooks_.find_local(action.target),
            message = std::move(message)] {
        const auto answer = [this](execute_reply reply) {
            on_reply(local_link, std::move(reply));
        };
        if (local) {
            local->submit(message, local_link, answer);
            return;
        }
        // The target was given up since the request was routed.
        answer(not_owned_reply(message.id));
    };
}

auto entry_router::prepare_cancel(const cancel_action& action) -> step
{
    return [this, action] {
        const auto message = cancel_request{action.session, action.id};
        if (action.link != local_link) {
            hooks_.send_cancel(action.link, message);
        } else if (const auto local = hooks_.find_local(action.target)) {
            local->cancel(message, local_link);
        }
    };
}

auto entry_router::prepare_query(const query_action& action) -> step
{
    const auto question = position_query{action.id, action.target};
    if (action.owner != options_.self.id) {
        return [this, owner = action.owner, question] {
            if (const auto link = hooks_.find_link(owner)) {
                hooks_.send_query(*link, question);
            }
        };
    }
    return [this, question] {
        const auto local = hooks_.find_local(question.target);
        if (!local) {
            return;
        }
        local->query([this, question](position_answer answer) {
            answer.id = question.id;
            on_position(answer);
        });
    };
}

auto entry_router::prepare_answer(time_point now, answer_action action,
                                  execute_reply& reply) -> step
{
    auto result = execute_reply{};
    if (action.id == reply.id) {
        result = std::move(reply);
        if (action.error && !result.error) {
            result.answer.clear();
        }
    }
    result.error = std::move(action.error);
    const auto caller = callers_.find(action.session);
    if (caller != callers_.end()) {
        if (!result.error) {
            note_latency(now, caller->second, action.is_at_replica);
        }
        caller->second.request = {};
    }
    return [this, session = action.session, result = std::move(result),
            token = std::move(action.token)]() mutable {
        hooks_.complete(session, std::move(result), std::move(token));
    };
}

auto entry_router::note_latency(time_point now, const caller_state& caller,
                                bool is_at_replica) -> void
{
    auto& window = !caller.request.is_read_only ? latencies_.writes
                   : is_at_replica              ? latencies_.replica_reads
                                                : latencies_.primary_reads;
    window.add(now, now - caller.asked_at);
}

auto entry_router::latencies() -> entry_latencies
{
    const auto lock = std::lock_guard(mutex_);
    const auto now = hooks_.now();
    return {latencies_.writes.last(now), latencies_.replica_reads.last(now),
            latencies_.primary_reads.last(now)};
}

auto entry_router::on_session(session_id session, const session_start& start)
    -> void
{
    const auto refuse = [&](request_error error) {
        hooks_.refuse(session, std::move(error));
    };
    if (!hooks_.is_ready()) {
        refuse(not_run_error(sqlstate::cannot_connect_now,
                             "this proxy has no contact with control",
                             std::chrono::seconds(1)));
        return;
    }
    const auto view = hooks_.view();
    const auto* const group = view->find_by_database(start.database);
    if (group == nullptr) {
        refuse(not_run_error(sqlstate::invalid_catalog_name,
                             "database \"" + start.database +
                                 "\" is not in the bundle in force"));
        return;
    }
    auto token = session_token{};
    if (!start.session_token.empty()) {
        auto parsed = parse_session_token(start.session_token);
        if (auto* const error = std::get_if<session_token_error>(&parsed)) {
            refuse(not_run_error(sqlstate::invalid_parameter_value,
                                 "session token: " + error->message));
            return;
        }
        token = std::get<session_token>(std::move(parsed));
    }
    auto printed = to_string(token);
    {
        const auto lock = std::lock_guard(mutex_);
        auto caller = caller_state{};
        caller.name = start.user + "/" + start.application_name;
        callers_.insert_or_assign(session, std::move(caller));
        coordinator_.open_session(hooks_.now(), session, group->config.id,
                                  std::move(token));
    }
    hooks_.accept(session, std::move(printed));
}

auto entry_router::on_token(session_id session, const std::string& token)
    -> void
{
    auto parsed = parse_session_token(token);
    const auto* const presented = std::get_if<session_token>(&parsed);
    if (presented == nullptr) {
        return;
    }
    const auto lock = std::lock_guard(mutex_);
    coordinator_.on_token(session, *presented);
}

auto entry_router::on_request(session_id session, caller_request request)
    -> void
{
    handle([&](const entry_view& seen) {
        auto todo = entry_actions{};
        const auto caller = callers_.find(session);
        if (caller == callers_.end()) {
            return todo;
        }
        const auto summary = summary_of(request);
        caller->second.request = std::move(request);
        caller->second.asked_at = seen.now;
        static_cast<void>(
            coordinator_.on_request(seen, session, summary, todo));
        return todo;
    });
}

auto entry_router::on_reply(link_id link, execute_reply reply) -> void
{
    const auto summary = summary_of(reply);
    handle(
        [&](const entry_view& seen) {
            return coordinator_.on_reply(seen, link, summary);
        },
        std::move(reply));
}

auto entry_router::on_position(const position_answer& answer) -> void
{
    handle([&](const entry_view& seen) {
        coordinator_.on_position(seen, answer.id, summary_of(answer));
        return coordinator_.retry(seen);
    });
}

auto entry_router::on_cancel(session_id session) -> void
{
    handle([&](const entry_view& seen) {
        return coordinator_.on_cancel(seen, session);
    });
}

auto entry_router::on_closed(session_id session) -> void
{
    handle([&](const entry_view&) {
        callers_.erase(session);
        return coordinator_.on_closed(session);
    });
}

auto entry_router::on_link_up() -> void
{
    handle([&](const entry_view& seen) { return coordinator_.retry(seen); });
}

auto entry_router::on_directory() -> void
{
    on_link_up();
}

auto entry_router::on_link_down(link_id link) -> void
{
    handle([&](const entry_view& seen) {
        return coordinator_.on_link_down(seen, link);
    });
}

auto entry_router::tick() -> void
{
    handle([&](const entry_view& seen) { return coordinator_.tick(seen); });
}

auto entry_router::has_requests() const -> bool
{
    const auto lock = std::lock_guard(mutex_);
    return coordinator_.request_count() > 0;
}

auto entry_router::status() const -> entry_status
{
    const auto lock = std::lock_guard(mutex_);
    return coordinator_.status();
}

auto entry_router::sessions_idle_in_transaction() const
    -> std::vector<session_id>
{
    const auto lock = std::lock_guard(mutex_);
    return coordinator_.idle_sessions(true);
}

} // namespace rhubarbrun::inline v1
