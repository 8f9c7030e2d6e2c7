#include <rhubarbrun/coordination/session_relay.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Control reports positions several times within a staleness limit. If the
/// newest is older than this percentage of the limit, the relay queries the
/// primary directly; the rest of the limit is time for its reply.
constexpr auto refresh_percentage = 75;
/// A probe without a reply is repeated after this long, and so is a question
/// to control.
constexpr auto probe_timeout = milliseconds(400);
/// Time for control to answer, which may have to ask the primary in another
/// region. After it the relay asks the primary itself.
constexpr auto control_answer_time = milliseconds(100);
/// The loss of a primary is detected, and its successor promoted and announced,
/// within this time.
constexpr auto outage_timeout = milliseconds(3500);
/// A statement waits at least this long for a connection to a primary that
/// refuses some, because callers retry refused statements only a few times.
constexpr auto min_connection_wait = milliseconds(300);
/// Delays that callers are told before they retry: by then a full server has
/// processed its queue, or a group without a primary may have a new one.
constexpr auto full_server_retry_delay = milliseconds(200);
constexpr auto outage_retry_delay = milliseconds(1000);
/// Part of these delays by which they are extended at random, so that callers
/// that were refused together do not return together.
constexpr auto retry_jitter_divisor = 2;
/// Expected time of a statement at a server until one of its database has been
/// answered: callers state 2.5 to 55 ms of work.
constexpr auto unknown_service_time = milliseconds(10);
/// Part of its timeout that a statement may wait before it can be refused as
/// too late. The time of a database is a recent maximum, so that one slow reply
/// would make every statement look too late.
constexpr auto min_wait_divisor = 2;
/// Interval at which a reordered request is logged; the counters have all.
constexpr auto order_log_interval = std::chrono::seconds(1);

/// Pacing of a server holds a statement back for this percentage of its latency
/// objective or of its time, whichever is shorter.
constexpr auto paced_percentage = 75;

/// Names that a connection to a server may hold.
constexpr auto max_prepared_names = std::size_t{256};

} // namespace

auto to_string(wait_refusal reason) noexcept -> std::string_view
{
    switch (reason) {
    case wait_refusal::outage:
        return "outage";
    case wait_refusal::no_connection:
        return "no_connection";
    case wait_refusal::overload:
        return "overload";
    case wait_refusal::shutdown:
        return "shutdown";
    case wait_refusal::too_late:
        return "too_late";
    }
    return "unknown";
}

auto session_relay::waiting_key_of(const session& caller) const -> waiting_key
{
    return {caller.current->route.route->priority, caller.current->arrived,
            caller.id};
}

auto session_relay::wait(session& caller) -> void
{
    waiting_[caller.current->route.route->group].insert(waiting_key_of(caller));
}

auto session_relay::stop_waiting(const session& caller) -> void
{
    if (!caller.current) {
        return;
    }
    expiries_.erase({caller.current->expires, caller.id});
    const auto found = waiting_.find(caller.current->route.route->group);
    if (found != waiting_.end()) {
        found->second.erase(waiting_key_of(caller));
    }
}

auto session_relay::serve_waiting(time_point now, const group_id& group) -> void
{
    if (requested_probes_.contains(group)) {
        send_probe(now, group);
    }
    const auto found = waiting_.find(group);
    if (found == waiting_.end() || found->second.empty()) {
        return;
    }
    const auto was_serving = std::exchange(is_serving_, true);
    for (const auto& key : waiting_order(now, group)) {
        const auto caller = sessions_.find(std::get<session_id>(key));
        if (caller == sessions_.end() || !found->second.contains(key)) {
            continue;
        }
        if (assign(now, caller->second)) {
            found->second.erase(key);
        }
    }
    is_serving_ = was_serving;
}

auto session_relay::waiting_order(time_point now, const group_id& group)
    -> std::vector<waiting_key>
{
    const auto& waiting = waiting_.at(group);
    auto need = server_pool::connection_request{};
    need.group = group;
    need.is_primary_needed = true;
    const auto is_primary_full = pool_.is_full(now, need);
    auto keys = std::vector<waiting_key>();
    if (is_fair()) {
        auto requests = std::vector<waiting_request>();
        requests.reserve(waiting.size());
        for (const auto& key : waiting) {
            const auto found = sessions_.find(std::get<session_id>(key));
            if (found != sessions_.end() && found->second.current) {
                requests.push_back(waiting_request_of(found->second));
            }
        }
        for (const auto& [id, reason] :
             orders_[group].order(now, requests, is_primary_full))
        {
            auto& caller = sessions_.at(id);
            caller.current->reason = reason;
            keys.push_back(waiting_key_of(caller));
        }
        return keys;
    }
    keys.assign(waiting.begin(), waiting.end());
    if (is_primary_full) {
        // Serving in arrival order would make every request miss its objective.
        std::sort(keys.begin(), keys.end(),
                  [](const auto& left, const auto& right) {
                      return std::tuple(std::get<0>(left), std::get<1>(right),
                                        std::get<2>(right)) <
                             std::tuple(std::get<0>(right), std::get<1>(left),
                                        std::get<2>(left));
                  });
    }
    return keys;
}

auto session_relay::waiting_request_of(session& caller) const -> waiting_request
{
    auto& current = *caller.current;
    if (!current.organisation_priority) {
        const auto& all = configuration_->organisations;
        const auto found = all.find(caller.organisation);
        current.organisation_priority =
            found == all.end() ? 0U : found->second.priority;
    }
    const auto& route = *current.route.route;
    return {caller.id,
            route.priority,
            *current.organisation_priority,
            caller.organisation,
            current.arrived,
            route.latency_objective,
            usual_time(caller.database).value_or(unknown_service_time)};
}

auto session_relay::usual_time(const database_id& database) const
    -> std::optional<duration>
{
    const auto found = service_times_.find(database);
    return found == service_times_.end() ? std::optional<duration>()
                                         : found->second;
}

auto session_relay::queue_behind_waiting(time_point now, session& caller)
    -> bool
{
    const auto group = caller.current->route.route->group;
    const auto found = waiting_.find(group);
    const auto is_behind = is_fair() && found != waiting_.end() &&
                           !found->second.empty() &&
                           !(caller.open && caller.open->is_begun);
    if (!is_behind) {
        return false;
    }
    // This also finds the organisation, which decides the place.
    if (!refuse_without_access(now, caller)) {
        wait(caller);
        if (!is_serving_) {
            serve_waiting(now, group);
        }
    }
    return true;
}

auto session_relay::record_sent(time_point now, session& caller) -> void
{
    const auto found = orders_.find(caller.current->route.route->group);
    if (!is_fair() || found == orders_.end()) {
        return;
    }
    found->second.on_sent(now, waiting_request_of(caller));
    const auto reason =
        std::exchange(caller.current->reason, order_reason::arrival);
    ++counters_.reordered.at(static_cast<std::size_t>(reason));
    if (reason != order_reason::arrival && now >= next_order_log_) {
        next_order_log_ = now + order_log_interval;
        log(now, to_string(reason), caller, {}, relay_error::none);
    }
}

auto session_relay::record_not_run(session& caller) -> void
{
    const auto found = orders_.find(caller.current->route.route->group);
    if (is_fair() && found != orders_.end()) {
        found->second.on_not_run(waiting_request_of(caller));
    }
}

auto session_relay::needs_primary(const session& caller) const -> bool
{
    const auto& current = *caller.current;
    if (current.route.route->consistency == read_consistency::primary) {
        return true;
    }
    return caller.open ? !caller.open->is_read_only : !current.is_read;
}

auto session_relay::required_position(time_point now, session& caller)
    -> std::optional<log_position>
{
    auto& current = *caller.current;
    const auto& route = *current.route.route;
    const auto& observed = observations_[route.group];
    const auto latest = observed.latest();
    interest_.note(now, route.group);
    const auto is_refresh_due =
        !latest ||
        now - *latest > route.staleness_limit * refresh_percentage / 100;
    if (is_refresh_due && !ask_control(now, route.group)) {
        request_probe(now, route.group);
    }
    const auto arrived = caller.open ? caller.open->arrived : current.arrived;
    auto position = observed.covering(arrived - route.staleness_limit);
    if (position && caller.floor &&
        route.consistency == read_consistency::read_your_writes)
    {
        const auto own = observed.translate(*caller.floor);
        current.is_own_commit_required = own > *position;
        position = std::max(*position, own);
    }
    return position;
}

auto session_relay::ask_control(time_point now, const group_id& group) -> bool
{
    if (!hooks_.ask_position) {
        return false;
    }
    auto& asked_at = asked_control_at_[group];
    if (now - asked_at >= probe_timeout) {
        if (!hooks_.ask_position(group)) {
            return false;
        }
        asked_at = now;
    }
    return now - asked_at < control_answer_time;
}

auto session_relay::request_probe(time_point now, const group_id& group) -> void
{
    const auto running = probes_.find(group);
    if (running != probes_.end() && now - running->second < probe_timeout) {
        return;
    }
    probes_[group] = now;
    requested_probes_.insert(group);
    send_probe(now, group);
}

auto session_relay::send_probe(time_point now, const group_id& group) -> void
{
    auto need = server_pool::connection_request{};
    need.group = group;
    need.is_primary_needed = true;
    const auto id = pool_.choose(now, need);
    if (!id) {
        return;
    }
    requested_probes_.erase(group);
    probes_[group] = now;
    ++counters_.probes;
    auto& target = connections_.at(*id);
    target.session.reset();
    target.expected.push_back({expectation_kind::probe, now});
    auto ask = relay_statement{};
    ask.step = relay_step::begin;
    hooks_.send(*id, {ask});
}

auto session_relay::assign(time_point now, session& caller) -> bool
{
    if (refuse_without_access(now, caller)) {
        return true;
    }
    auto& current = *caller.current;
    if (now < current.not_before) {
        return false;
    }
    if (caller.open && caller.open->is_begun) {
        record_sent(now, caller);
        send_in_transaction(now, caller);
        return true;
    }
    if (refuse_if_unserviceable(now, caller)) {
        return true;
    }
    auto need = demand_of(caller);
    need.excluded = &current.excluded;
    need.waiting = std::max<std::size_t>(1, waiting_[need.group].size());
    auto floor = std::optional<log_position>();
    if (!need.is_primary_needed) {
        floor = required_position(now, caller);
        if (!floor) {
            return false;
        }
    }
    if (const auto step = admit(now, caller); step != admission_step::go_on) {
        return step == admission_step::answered;
    }
    const auto id = pool_.choose(now, need);
    if (!id) {
        // The token counts when the operation is sent, which may be much later.
        refund(caller);
        return refuse_if_too_late(now, caller);
    }
    dispatch(now, caller, *id, floor);
    return true;
}

auto session_relay::demand_of(const session& caller) const
    -> server_pool::connection_request
{
    auto need = server_pool::connection_request{};
    need.group = caller.current->route.route->group;
    need.is_primary_needed = needs_primary(caller);
    need.organisation = &caller.organisation;
    need.is_prepared = [this, &caller](connection_id id) {
        const auto found = connections_.find(id);
        return found != connections_.end() &&
               is_prepared_for(caller, found->second);
    };
    if (draining_since_) {
        return need;
    }
    const auto& current = *caller.current;
    // The rest is left for a new connection and the server's queue.
    need.paced_until =
        current.arrived + std::min(current.route.route->latency_objective,
                                   std::max(current.expires - current.arrived,
                                            duration::zero())) *
                              paced_percentage / 100;
    return need;
}

auto session_relay::refuse_if_unserviceable(time_point now, session& caller)
    -> bool
{
    const auto need = demand_of(caller);
    const auto since = pool_.outage_since(need);
    const auto is_outage = since && now - *since >= outage_timeout;
    const auto& current = *caller.current;
    const auto waited = now - current.arrived;
    const auto is_out_of_connections =
        waited >= min_connection_wait && pool_.is_out_of_connections(now, need);
    const auto is_overloaded =
        waited > current.route.route->latency_objective / 2 &&
        pool_.is_full(now, need);
    const auto is_ending = ends_before_service(now, caller);
    if (!is_outage && !is_out_of_connections && !is_overloaded && !is_ending) {
        return false;
    }
    if (is_outage) {
        // The statement is not kept waiting for it.
        pool_.open_if_due(now, need);
    }
    if (is_ending) {
        log(now, "ends_before_service", caller, {}, relay_error::retry);
        count_refusal(now, caller, wait_refusal::shutdown);
    } else if (is_outage) {
        count_refusal(now, caller, wait_refusal::outage);
    } else {
        count_refusal(now, caller,
                      is_overloaded ? wait_refusal::overload
                                    : wait_refusal::no_connection);
    }
    refuse(now, caller);
    return true;
}

auto session_relay::refuse_if_too_late(time_point now, session& caller) -> bool
{
    const auto& current = *caller.current;
    const auto usual = usual_time(caller.database);
    if (!is_fair() || !usual) {
        return false;
    }
    const auto limit = current.route.route->statement_timeout;
    const auto needed = std::min(*usual, limit - limit / min_wait_divisor);
    auto need = demand_of(caller);
    need.excluded = &current.excluded;
    if (current.expires - now >= needed || pool_.has_free_server(now, need)) {
        return false;
    }
    count_refusal(now, caller, wait_refusal::too_late);
    refuse(now, caller);
    return true;
}

auto session_relay::count_refusal(time_point now, const session& caller,
                                  wait_refusal reason) -> void
{
    ++counters_.wait_refusals.at(static_cast<std::size_t>(reason));
    if (is_fair() && reason != wait_refusal::shutdown) {
        log(now, to_string(reason), caller, {}, relay_error::retry);
    }
}

auto session_relay::not_run_reply(time_point now, const session& caller)
    -> relay_reply
{
    const auto need = demand_of(caller);
    const auto is_outage = pool_.outage_since(need).has_value() ||
                           !pool_.has_usable_server(now, need);
    auto pause = is_outage ? outage_retry_delay : full_server_retry_delay;
    if (is_fair()) {
        pause += duration(std::uniform_int_distribution<duration::rep>(
            0, pause.count() / retry_jitter_divisor)(retry_jitter_));
    }
    auto reply = relay_reply{};
    reply.error = relay_error::retry;
    reply.detail = "did not run; retry after " +
                   std::to_string(to_milliseconds(pause)) + " ms";
    return reply;
}

auto session_relay::refuse(time_point now, session& caller) -> void
{
    auto reply = not_run_reply(now, caller);
    end_transaction(caller);
    finish(now, caller, std::move(reply));
}

auto session_relay::dispatch(time_point now, session& caller, connection_id id,
                             const std::optional<log_position>& floor) -> void
{
    auto& current = *caller.current;
    auto& target = connections_.at(id);
    target.session = caller.id;
    current.connection = id;
    ++current.attempts;
    record_sent(now, caller);
    current.floor = floor;
    const auto is_guarded =
        !caller.open && current.is_read &&
        current.route.route->consistency == read_consistency::primary;
    auto out = std::vector<relay_statement>();
    add_preparation(now, caller, target, out);
    if (caller.open || is_guarded) {
        auto start = relay_statement{};
        start.step = relay_step::begin;
        if (caller.open) {
            caller.open->connection = id;
            start.is_read_only = !needs_primary(caller);
            start.floor = floor;
        }
        target.expected.push_back({is_guarded ? expectation_kind::primary_check
                                              : expectation_kind::begin,
                                   now});
        out.push_back(std::move(start));
    }
    if (out.empty()) {
        send_current(now, caller, id);
    } else {
        send_preparation(now, caller, id, out);
    }
}

auto session_relay::is_prepared_for(const session& caller,
                                    const connection& target) const -> bool
{
    if (target.is_state_unknown || target.values != caller.values) {
        return false;
    }
    const auto& statement = caller.current->statement;
    if (statement.step != relay_step::execute) {
        return true;
    }
    return target.prepared.contains(
        caller.prepared.at(statement.name).server_name);
}

auto session_relay::add_preparation(time_point now, const session& caller,
                                    connection& target,
                                    std::vector<relay_statement>& out) -> void
{
    target.preparation_error = relay_error::none;
    if (is_prepared_for(caller, target)) {
        return;
    }
    const auto add = [&](relay_step step, const std::string& name,
                         const std::string& text, bool is_read) {
        auto each = relay_statement{};
        each.step = step;
        each.name = name;
        each.text = text;
        each.is_read_only = is_read;
        out.push_back(std::move(each));
        target.expected.push_back(
            {expectation_kind::preparation, now, step, name,
             step == relay_step::set_value ? text : std::string()});
    };
    const auto has_foreign_value = std::any_of(
        target.values.begin(), target.values.end(),
        [&](const auto& each) { return !caller.values.contains(each.first); });
    const auto is_discarded = has_foreign_value || target.is_state_unknown;
    if (is_discarded) {
        add(relay_step::discard, {}, {}, false);
    }
    for (const auto& [name, value] : caller.values) {
        const auto found = target.values.find(name);
        if (is_discarded || found == target.values.end() ||
            found->second != value) {
            add(relay_step::set_value, name, value, false);
        }
    }
    const auto& statement = caller.current->statement;
    if (statement.step == relay_step::execute) {
        const auto& prepared = caller.prepared.at(statement.name);
        const auto is_held =
            !is_discarded && target.prepared.contains(prepared.server_name);
        if (!is_held && !is_discarded &&
            target.prepared.size() >= max_prepared_names) {
            add(relay_step::deallocate, *target.prepared.begin(), {}, false);
        }
        if (!is_held) {
            add(relay_step::prepare, prepared.server_name, prepared.shape,
                prepared.is_read);
        }
    }
    ++counters_.preparations;
}

auto session_relay::send_preparation(time_point now, const session& caller,
                                     connection_id id,
                                     const std::vector<relay_statement>& out)
    -> void
{
    // Half of the rest is left to another connection.
    const auto rest = std::max(caller.current->expires - now, duration::zero());
    auto& target = connections_.at(id);
    target.preparation_due = now + rest / 2;
    preparations_due_.emplace(*target.preparation_due, id);
    hooks_.send(id, out);
}

auto session_relay::end_preparation(connection_id id, connection& target)
    -> void
{
    if (target.preparation_due) {
        preparations_due_.erase({*target.preparation_due, id});
        target.preparation_due.reset();
    }
}

auto session_relay::send_in_transaction(time_point now, session& caller) -> void
{
    const auto id = *caller.open->connection;
    caller.current->connection = id;
    auto out = std::vector<relay_statement>();
    add_preparation(now, caller, connections_.at(id), out);
    if (out.empty()) {
        send_current(now, caller, id);
    } else {
        send_preparation(now, caller, id, out);
    }
}

auto session_relay::send_current(time_point now, session& caller,
                                 connection_id id) -> void
{
    auto& current = *caller.current;
    auto& target = connections_.at(id);
    current.is_sent = true;
    auto out = std::vector<relay_statement>();
    auto statement = current.statement;
    if (statement.step == relay_step::execute) {
        statement.name = caller.prepared.at(statement.name).server_name;
    }
    target.expected.push_back(
        {expectation_kind::statement, now, statement.step});
    if (caller.open) {
        caller.open->has_written |=
            !current.is_read && statement.step != relay_step::commit;
        out.push_back(std::move(statement));
    } else if (target.status == transaction_status::in_transaction) {
        out.push_back(std::move(statement));
        auto end = relay_statement{};
        end.step = relay_step::rollback;
        target.expected.push_back({expectation_kind::clean_up, now});
        out.push_back(std::move(end));
    } else {
        statement.floor = current.floor;
        out.push_back(std::move(statement));
    }
    hooks_.send(id, out);
}

} // namespace rhubarbrun::inline v1
