#include <rhubarbrun/coordination/session_relay.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Shortest and longest pause before a refused statement is retried, the time
/// in which the server processes some statements of its queue.
constexpr auto min_refusal_backoff = milliseconds(15);
constexpr auto max_refusal_backoff = milliseconds(60);
/// Limit of attempts for one statement. With the pauses they take about the
/// usual timeout of a statement.
constexpr auto max_attempts = std::size_t{20};

/// Pause after the given number of attempts.
auto refusal_backoff(std::size_t attempts) -> duration
{
    return std::min<duration>(min_refusal_backoff +
                                  milliseconds(5) *
                                      static_cast<std::int64_t>(attempts),
                              max_refusal_backoff);
}

/// Share of the difference by which the service time of a database falls with
/// each statement that is served sooner.
constexpr auto service_time_decay = 16;

/// Limit of attempts for a read that fails at servers.
constexpr auto max_failed_read_attempts = std::size_t{3};

/// Whether the error says that the statement did not run.
auto is_not_run(relay_error error) -> bool
{
    switch (error) {
    case relay_error::retry:
    case relay_error::lagging:
    case relay_error::read_only:
    case relay_error::wrong_server:
    case relay_error::connection_limit:
    case relay_error::unknown_name:
        return true;
    default:
        return false;
    }
}

/// Whether a successful reply carries the proof that its server ran the
/// statement.
auto has_proof(const relay_reply& reply) -> bool
{
    return !reply.detail.empty() && reply.detail != "-";
}

auto error_reply(relay_error error, std::string_view text) -> relay_reply
{
    auto reply = relay_reply{};
    reply.error = error;
    reply.detail = text;
    return reply;
}

} // namespace

auto session_relay::on_connected(time_point now, connection_id id) -> void
{
    connections_[id] = {};
    pool_.on_connected(now, id);
    serve_waiting(now, pool_.group_of(id));
}

auto session_relay::on_connect_failed(time_point now, connection_id id,
                                      connect_failure reason) -> void
{
    const auto group = pool_.group_of(id);
    pool_.on_connect_failed(now, id, reason);
    serve_waiting(now, group);
}

auto session_relay::on_reply(time_point now, connection_id id,
                             relay_reply reply) -> void
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    auto& target = found->second;
    pool_.on_heard(now, id);
    if (target.expected.empty() ||
        !fits(target.expected.front(), target, reply)) {
        distrust(now, id);
        return;
    }
    const auto asked = std::move(target.expected.front());
    target.expected.pop_front();
    if (target.status != transaction_status::idle &&
        reply.status == transaction_status::idle)
    {
        const auto is_committed =
            reply.is_success() && asked.step == relay_step::commit;
        target.is_state_unknown |=
            target.is_changed_in_transaction && !is_committed;
        target.is_changed_in_transaction = false;
    }
    target.status = reply.status;
    if (asked.kind == expectation_kind::preparation) {
        on_preparation_reply(now, id, asked, reply);
        return;
    }
    if (asked.kind == expectation_kind::probe) {
        on_probe_reply(now, id, asked, reply);
        return;
    }
    auto* const caller = served_session(target);
    if (caller == nullptr || asked.kind == expectation_kind::clean_up) {
        recycle_connection(now, id);
        return;
    }
    if (asked.kind == expectation_kind::statement) {
        on_current_reply(now, *caller, id, asked, std::move(reply));
    } else {
        on_primary_check_reply(now, *caller, id, asked, reply);
    }
}

auto session_relay::served_session(const connection& target) -> session*
{
    const auto found =
        target.session ? sessions_.find(*target.session) : sessions_.end();
    return found == sessions_.end() || !found->second.current ? nullptr
                                                              : &found->second;
}

auto session_relay::note_preparation(const expectation& asked,
                                     connection& target) -> void
{
    // A list node and two strings.
    constexpr auto entry_bytes = std::size_t{100};
    const auto bytes = asked.name.size() + asked.value.size() + entry_bytes;
    switch (asked.step) {
    case relay_step::discard:
        target.values.clear();
        target.prepared.clear();
        target.state_bytes = 0;
        target.is_state_unknown = false;
        break;
    case relay_step::set_value: {
        const auto found = target.values.find(asked.name);
        if (found != target.values.end()) {
            target.state_bytes -=
                asked.name.size() + found->second.size() + entry_bytes;
        }
        target.values[asked.name] = asked.value;
        target.state_bytes += bytes;
        break;
    }
    case relay_step::prepare:
        target.state_bytes +=
            target.prepared.insert(asked.name).second ? bytes : 0;
        break;
    default:
        target.state_bytes -= target.prepared.erase(asked.name) > 0 ? bytes : 0;
        break;
    }
}

auto session_relay::on_preparation_reply(time_point now, connection_id id,
                                         const expectation& asked,
                                         const relay_reply& reply) -> void
{
    auto& target = connections_.at(id);
    if (!reply.is_success()) {
        if (target.preparation_error == relay_error::none) {
            target.preparation_error = reply.error;
        }
        target.is_state_unknown |= !is_not_run(reply.error);
    } else {
        note_preparation(asked, target);
    }
    target.is_changed_in_transaction |=
        target.status != transaction_status::idle;
    if (!target.expected.empty()) {
        return;
    }
    end_preparation(id, target);
    auto* const caller = served_session(target);
    if (caller == nullptr) {
        recycle_connection(now, id);
    } else if (target.preparation_error != relay_error::none) {
        on_preparation_failed(now, *caller, id, target.preparation_error);
    } else {
        send_current(now, *caller, id);
    }
}

auto session_relay::on_preparation_failed(time_point now, session& caller,
                                          connection_id id, relay_error error)
    -> void
{
    ++counters_.failed_preparations;
    if (!caller.open || !caller.open->is_begun) {
        on_refusal(now, caller, id, error);
        return;
    }
    if (!retry_in_transaction(now, caller, id, error)) {
        detach(now, caller);
        end_transaction(caller);
        finish(now, caller,
               error_reply(relay_error::aborted,
                           "the server does not take the session's values"));
    }
}

auto session_relay::fits(const expectation& asked, const connection& target,
                         const relay_reply& reply) -> bool
{
    if (!reply.is_success()) {
        // A connection whose transaction cannot be rolled back is closed.
        return asked.kind != expectation_kind::clean_up;
    }
    const auto is_in_transaction =
        reply.status == transaction_status::in_transaction;
    const auto is_idle = reply.status == transaction_status::idle;
    switch (asked.kind) {
    case expectation_kind::preparation:
        return reply.rows.empty() && reply.status == target.status;
    case expectation_kind::primary_check:
    case expectation_kind::begin:
    case expectation_kind::probe:
        return reply.rows.empty() && is_in_transaction;
    case expectation_kind::statement:
        return has_proof(reply) && (asked.step == relay_step::commit
                                        ? is_idle
                                        : reply.status == target.status);
    case expectation_kind::clean_up:
        return reply.rows.empty() && is_idle;
    }
    return false;
}

auto session_relay::distrust(time_point now, connection_id id) -> void
{
    ++counters_.mismatched_answers;
    const auto& target = connections_.at(id);
    const auto owner =
        target.session ? sessions_.find(*target.session) : sessions_.end();
    if (owner != sessions_.end()) {
        log(now, "answer_mismatched", owner->second, pool_.server_of(id),
            relay_error::other);
    }
    hooks_.close(id);
    lose(now, id, false);
}

auto session_relay::on_unreadable_reply(time_point now, connection_id id)
    -> void
{
    if (connections_.contains(id)) {
        pool_.on_heard(now, id);
        distrust(now, id);
    }
}

auto session_relay::record_observation(
    time_point now, const group_id& group, time_point asked_at,
    const std::optional<log_position>& position) -> void
{
    if (!position) {
        return;
    }
    observations_[group].observe(asked_at, *position);
    if (const auto found = waiting_.find(group);
        found != waiting_.end() && !found->second.empty())
    {
        serve_waiting(now, group);
    }
}

auto session_relay::on_primary_check_reply(time_point now, session& caller,
                                           connection_id id,
                                           const expectation& asked,
                                           const relay_reply& reply) -> void
{
    auto& target = connections_.at(id);
    end_preparation(id, target);
    if (!reply.is_success()) {
        on_refusal(now, caller, id, reply.error);
        return;
    }
    const auto group = caller.current->route.route->group;
    if (needs_primary(caller)) {
        pool_.on_primary(pool_.server_of(id));
    }
    const auto is_primary = needs_primary(caller);
    if (target.preparation_error != relay_error::none) {
        on_preparation_failed(now, caller, id, target.preparation_error);
    } else {
        if (caller.open) {
            caller.open->is_begun = true;
        }
        send_current(now, caller, id);
    }
    if (is_primary) {
        record_observation(now, group, asked.sent, reply.position);
    }
}

auto session_relay::on_probe_reply(time_point now, connection_id id,
                                   const expectation& asked,
                                   const relay_reply& reply) -> void
{
    const auto group = pool_.group_of(id);
    const auto server = pool_.server_of(id);
    probes_.erase(group);
    if (reply.is_success()) {
        pool_.on_primary(server);
    } else {
        record_refusal(now, id, reply.error);
    }
    recycle_connection(now, id);
    if (reply.is_success()) {
        record_observation(now, group, asked.sent, reply.position);
    }
}

auto session_relay::record_refusal(time_point now, connection_id id,
                                   relay_error error) -> void
{
    const auto server = pool_.server_of(id);
    switch (error) {
    case relay_error::read_only:
        pool_.on_not_primary(server);
        break;
    case relay_error::lagging:
        pool_.on_lagging(now, server);
        break;
    case relay_error::retry:
    case relay_error::connection_limit:
        pool_.on_full(now, server);
        break;
    case relay_error::unknown_name:
        // The server does not hold what it acknowledged.
        connections_.at(id).is_state_unknown = true;
        break;
    default:
        break;
    }
}

auto session_relay::on_refusal(time_point now, session& caller,
                               connection_id id, relay_error error) -> void
{
    const auto server = pool_.server_of(id);
    // A replica that lacks only the session's last commit can serve other
    // sessions.
    if (error != relay_error::lagging ||
        !caller.current->is_own_commit_required) {
        record_refusal(now, id, error);
    }
    if (caller.open) {
        caller.open->connection.reset();
    }
    caller.current->connection.reset();
    connections_.at(id).session.reset();
    record_not_run(caller);
    recycle_connection(now, id);
    retry_elsewhere(now, caller, error, server);
}

auto session_relay::exclude_server(time_point now, session& caller,
                                   const target_id& server) -> void
{
    auto& current = *caller.current;
    if (needs_primary(caller)) {
        current.not_before = now + refusal_backoff(current.attempts);
        return;
    }
    current.excluded.insert(server);
    auto need = demand_of(caller);
    need.excluded = &current.excluded;
    if (!pool_.has_usable_server(now, need)) {
        current.excluded.clear();
        current.not_before = now + refusal_backoff(current.attempts);
    }
}

auto session_relay::retry_elsewhere(time_point now, session& caller,
                                    relay_error cause, const target_id& server)
    -> void
{
    auto& current = *caller.current;
    current.is_sent = false;
    if (current.attempts >= max_attempts || now >= current.expires) {
        refuse(now, caller);
        return;
    }
    ++counters_.sent_elsewhere;
    log(now, "sent_elsewhere", caller, server, cause);
    if (cause != relay_error::retry) {
        // The pool stops sending to a full server for a while.
        exclude_server(now, caller, server);
    }
    if (!assign(now, caller)) {
        wait(caller);
    }
}

auto session_relay::timing_kind(const operation& of) -> std::uint8_t
{
    // Writes wait for other servers, and commits for the disk.
    const auto step = of.statement.step == relay_step::commit ? 2
                      : of.is_read                            ? 0
                                                              : 1;
    return static_cast<std::uint8_t>(
        static_cast<int>(of.route.route->consistency) * 3 + step);
}

auto session_relay::on_current_reply(time_point now, session& caller,
                                     connection_id id, const expectation& asked,
                                     relay_reply reply) -> void
{
    if (reply.is_success()) {
        pool_.on_served(id);
        const auto taken = now - asked.sent;
        pool_.on_timed(now, id, timing_kind(*caller.current), taken);
        auto& usual = service_times_[caller.database];
        usual = std::max(taken, usual - (usual - taken) / service_time_decay);
        if (caller.current->is_read) {
            pool_.on_answer(now, id, now - asked.sent);
        }
    }
    if (caller.open) {
        on_transaction_reply(now, caller, id, asked, std::move(reply));
        return;
    }
    if (!reply.is_success()) {
        on_autocommit_failure(now, caller, id, std::move(reply));
        return;
    }
    const auto group = caller.current->route.route->group;
    const auto position = reply.position;
    const auto is_write = !caller.current->is_read;
    if (is_write && position) {
        caller.floor = position;
    }
    caller.current->connection.reset();
    connections_.at(id).session.reset();
    recycle_connection(now, id);
    finish(now, caller, std::move(reply));
    if (is_write) {
        record_observation(now, group, asked.sent, position);
    }
}

auto session_relay::on_autocommit_failure(time_point now, session& caller,
                                          connection_id id, relay_reply reply)
    -> void
{
    const auto& current = *caller.current;
    const auto is_repeatable_read = current.is_read &&
                                    reply.error == relay_error::failed &&
                                    current.attempts < max_failed_read_attempts;
    if (is_not_run(reply.error) || is_repeatable_read) {
        on_refusal(now, caller, id, reply.error);
        return;
    }
    caller.current->connection.reset();
    connections_.at(id).session.reset();
    recycle_connection(now, id);
    finish(now, caller, std::move(reply));
}

auto session_relay::retry_in_transaction(time_point now, session& caller,
                                         connection_id id, relay_error error)
    -> bool
{
    auto& current = *caller.current;
    const auto is_still_open =
        connections_.at(id).status == transaction_status::in_transaction;
    if (error != relay_error::retry || !is_still_open ||
        current.attempts >= max_attempts)
    {
        return false;
    }
    ++current.attempts;
    current.is_sent = false;
    current.not_before = now + refusal_backoff(current.attempts);
    pool_.on_full(now, pool_.server_of(id));
    wait(caller);
    return true;
}

auto session_relay::on_transaction_reply(time_point now, session& caller,
                                         connection_id id,
                                         const expectation& asked,
                                         relay_reply reply) -> void
{
    auto& opened = *caller.open;
    auto& current = *caller.current;
    const auto is_commit = current.statement.step == relay_step::commit;
    if (retry_in_transaction(now, caller, id, reply.error)) {
        return;
    }
    const auto group = current.route.route->group;
    if (reply.is_success() && !is_commit) {
        const auto position = reply.position;
        const auto is_primary = needs_primary(caller);
        finish(now, caller, std::move(reply));
        if (is_primary) {
            record_observation(now, group, asked.sent, position);
        }
        return;
    }
    const auto has_committed = reply.is_success() && opened.has_written;
    const auto position = reply.position;
    if (has_committed && position) {
        caller.floor = position;
    }
    if (!reply.is_success()) {
        record_refusal(now, id, reply.error);
        if (is_not_run(reply.error)) {
            reply.error = relay_error::aborted;
        }
    }
    detach(now, caller);
    end_transaction(caller);
    finish(now, caller, std::move(reply));
    if (has_committed) {
        record_observation(now, group, asked.sent, position);
    }
}

auto session_relay::end_transaction(session& caller) -> void
{
    if (!caller.open) {
        return;
    }
    const auto is_commit =
        caller.current && caller.current->statement.step == relay_step::commit;
    if (is_commit) {
        caller.open.reset();
        return;
    }
    caller.open->is_failed = true;
    caller.open->connection.reset();
}

auto session_relay::detach(time_point now, session& caller) -> void
{
    auto id = std::optional<connection_id>();
    if (caller.open && caller.open->connection) {
        id = std::exchange(caller.open->connection, std::nullopt);
    } else if (caller.current && caller.current->connection) {
        id = caller.current->connection;
    }
    if (caller.current) {
        caller.current->connection.reset();
    }
    if (!id) {
        return;
    }
    auto& target = connections_.at(*id);
    target.session.reset();
    end_preparation(*id, target);
    recycle_connection(now, *id);
}

auto session_relay::recycle_connection(time_point now, connection_id id) -> void
{
    auto& target = connections_.at(id);
    if (!target.expected.empty() || target.session) {
        return;
    }
    const auto group = pool_.group_of(id);
    if (target.status != transaction_status::idle) {
        auto end = relay_statement{};
        end.step = relay_step::rollback;
        target.expected.push_back({expectation_kind::clean_up, now});
        hooks_.send(id, {end});
        return;
    }
    pool_.release(now, id);
    serve_waiting(now, group);
}

auto session_relay::on_connection_lost(time_point now, connection_id id) -> void
{
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        lose(now, id, !found->second.expected.empty());
    }
}

auto session_relay::lose(time_point now, connection_id id, bool is_failure)
    -> void
{
    const auto found = connections_.find(id);
    end_preparation(id, found->second);
    const auto session_of = found->second.session;
    const auto group = pool_.group_of(id);
    const auto server = pool_.server_of(id);
    for (const auto& each : found->second.expected) {
        if (each.kind == expectation_kind::probe) {
            probes_.erase(group);
        }
    }
    connections_.erase(found);
    pool_.forget(now, id, is_failure);
    const auto owner =
        session_of ? sessions_.find(*session_of) : sessions_.end();
    if (owner == sessions_.end()) {
        return;
    }
    auto& caller = owner->second;
    if (!caller.current) {
        end_transaction(caller);
        return;
    }
    auto& current = *caller.current;
    current.connection.reset();
    const auto is_begun = caller.open && caller.open->is_begun;
    if (caller.open) {
        caller.open->connection.reset();
    }
    if (!is_begun && (!current.is_sent || current.is_read)) {
        retry_elsewhere(now, caller, relay_error::other, server);
        return;
    }
    // A transaction whose commit was not sent, or that wrote nothing, is rolled
    // back with the connection.
    const auto is_commit = current.statement.step == relay_step::commit;
    const auto is_doubtful =
        !is_begun || (is_commit && current.is_sent && caller.open->has_written);
    end_transaction(caller);
    finish(
        now, caller,
        error_reply(is_doubtful ? relay_error::in_doubt : relay_error::aborted,
                    "the connection to the server was lost"));
}

auto session_relay::expire(time_point now, session& caller) -> void
{
    auto& current = *caller.current;
    if (current.connection) {
        const auto& expected = connections_.at(*current.connection).expected;
        if (!expected.empty()) {
            pool_.on_timeout(now, *current.connection, expected.front().sent);
        }
    }
    give_up(now, caller, relay_error::timeout, relay_error::timeout,
            "the statement's time is over");
}

auto session_relay::answer_at_end(time_point now, session& caller) -> void
{
    // Nothing of a read is kept.
    const auto autocommit =
        caller.current->is_read ? relay_error::retry : relay_error::in_doubt;
    const auto is_commit = caller.current->statement.step == relay_step::commit;
    // Without its commit a transaction is rolled back with the connection.
    give_up(now, caller, autocommit,
            is_commit ? relay_error::in_doubt : relay_error::aborted,
            "the process ends");
}

auto session_relay::give_up(time_point now, session& caller,
                            relay_error autocommit, relay_error in_transaction,
                            std::string_view text) -> void
{
    const auto& current = *caller.current;
    const auto is_sent = current.is_sent;
    const auto is_commit = current.statement.step == relay_step::commit;
    const auto is_kept = is_commit && caller.open->has_written;
    detach(now, caller);
    const auto is_begun = caller.open && caller.open->is_begun;
    if (!is_sent && !is_begun) {
        refuse(now, caller);
        return;
    }
    auto error = autocommit;
    if (caller.open) {
        const auto is_rolled_back = !is_sent || (is_commit && !is_kept);
        error = is_rolled_back ? relay_error::aborted : in_transaction;
    }
    end_transaction(caller);
    finish(now, caller, error_reply(error, text));
}

} // namespace rhubarbrun::inline v1
