#include <rhubarbrun/coordination/session_relay.hpp>

#include <rhubarbrun/state/sha256.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// A session may wait for this long until it is certain whether its database
/// exists; callers give up after two seconds.
constexpr auto start_patience = milliseconds(1400);
/// Memory of a statement, value or name besides its texts, about.
constexpr auto entry_bytes = std::size_t{200};

/// A longer shape is named by its digest.
constexpr auto max_spelled_shape = std::size_t{32};

auto in_hexadecimal(std::string_view bytes) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    auto text = std::string();
    for (const auto each : bytes) {
        const auto byte = static_cast<unsigned char>(each);
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

/// Name of a prepared statement at a server; all sessions share the statements
/// of the same shape. A shape that is no word is spelled out in hexadecimal.
auto shared_name(bool is_read, const std::string& shape) -> std::string
{
    const auto mode = std::string(is_read ? "r" : "w");
    if (shape.size() > max_spelled_shape) {
        const auto digest = sha256(shape);
        return mode + "d_" +
               in_hexadecimal({reinterpret_cast<const char*>(digest.data()),
                               digest.size()});
    }
    const auto is_word = std::all_of(shape.begin(), shape.end(), [](char each) {
        return static_cast<unsigned char>(each) > ' ';
    });
    return is_word ? mode + '_' + shape : mode + "x_" + in_hexadecimal(shape);
}

auto size_of(const relay_statement& statement) -> std::size_t
{
    return statement.id.size() + statement.name.size() + statement.text.size() +
           entry_bytes;
}

} // namespace

session_relay::session_relay(server_pool_options options, relay_hooks hooks,
                             access_rules access)
    : hooks_(std::move(hooks)),
      access_(access),
      pool_(std::move(options), hooks_.open, [this](connection_id id) {
          connections_.erase(id);
          hooks_.close(id);
      })
{
}

auto session_relay::set_configuration(
    time_point now, std::shared_ptr<const service_configuration> configuration)
    -> void
{
    if (configuration->version <= configuration_version()) {
        return;
    }
    configuration_ = std::move(configuration);
    for (const auto& [group, limits] : configuration_->groups) {
        pool_.set_connection_limit(group, limits.connections_per_server);
        serve_waiting(now, group);
    }
    end_revoked_sessions(now);
}

auto session_relay::update_server(time_point now, const server_record& record)
    -> void
{
    pool_.update(now, record);
    serve_waiting(now, record.group);
}

auto session_relay::judge_start(time_point now, time_point arrived,
                                const database_id& database,
                                const key_digest& key) const -> start_verdict
{
    const auto* const route =
        configuration_ ? configuration_->find(database) : nullptr;
    if (route != nullptr) {
        const auto age =
            hooks_.view_age ? hooks_.view_age() : std::optional<duration>();
        const auto access = access_.judge(*configuration_, *route, key, age);
        if (access.verdict == access_verdict::allowed) {
            return start_verdict::open;
        }
        if (access.verdict == access_verdict::unknown_key && may_deny()) {
            return start_verdict::denied;
        }
    } else if (configuration_ && may_deny()) {
        return start_verdict::no_database;
    }
    return now - arrived < start_patience ? start_verdict::wait
                                          : start_verdict::retry;
}

auto session_relay::may_deny() const -> bool
{
    return !hooks_.may_deny || hooks_.may_deny();
}

auto session_relay::deny(time_point now, session& caller) -> void
{
    if (may_deny()) {
        answer_error(now, caller, relay_error::no_database,
                     "there is no such database");
    } else {
        answer_error(now, caller, relay_error::retry,
                     "the configuration may be outdated");
    }
}

auto session_relay::find_route(const database_id& database) const
    -> route_reference
{
    if (!configuration_) {
        return {};
    }
    return {configuration_, configuration_->find(database)};
}

auto session_relay::start_session(time_point now, session_id id,
                                  database_id database, const key_digest& key)
    -> void
{
    auto& caller = sessions_[id];
    caller.id = id;
    caller.database = std::move(database);
    caller.key = key;
    caller.idle_since = now;
    // The session's first read should find a position.
    if (const auto reference = find_route(caller.database);
        reference.route != nullptr &&
        reference.route->consistency != read_consistency::primary)
    {
        interest_.note(now, reference.route->group);
        const auto latest = observations_[reference.route->group].latest();
        if (!latest || now - *latest > reference.route->staleness_limit) {
            static_cast<void>(ask_control(now, reference.route->group));
        }
    }
}

auto session_relay::end_session(time_point now, session_id id) -> void
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    auto& caller = found->second;
    stop_waiting(caller);
    detach(now, caller);
    sessions_.erase(found);
}

auto session_relay::on_statement(time_point now, session_id id,
                                 relay_statement statement) -> void
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    ++counters_.statements;
    found->second.queued_bytes += size_of(statement);
    found->second.queued.push_back(std::move(statement));
    start_next(now, found->second);
}

auto session_relay::start_next(time_point now, session& caller) -> void
{
    if (std::exchange(caller.is_starting, true)) {
        // A statement that is answered at once returns here from its reply.
        return;
    }
    while (!caller.current && !caller.queued.empty()) {
        auto statement = std::move(caller.queued.front());
        caller.queued.pop_front();
        caller.queued_bytes -= size_of(statement);
        process(now, caller, std::move(statement));
    }
    caller.is_starting = false;
}

auto session_relay::process(time_point now, session& caller,
                            relay_statement statement) -> void
{
    if (caller.open) {
        caller.open->used_at = now;
    }
    switch (statement.step) {
    case relay_step::begin:
        begin(now, caller, statement);
        return;
    case relay_step::commit:
        commit(now, caller, std::move(statement));
        return;
    case relay_step::rollback:
        roll_back(now, caller);
        return;
    default:
        break;
    }
    if (caller.open && caller.open->is_failed) {
        const auto is_reported =
            std::exchange(caller.open->is_failure_reported, true);
        answer_error(now, caller,
                     is_reported ? relay_error::malformed
                                 : relay_error::aborted,
                     is_reported ? "the transaction failed; roll it back"
                                 : "the transaction was rolled back");
        return;
    }
    switch (statement.step) {
    case relay_step::set_value:
    case relay_step::prepare:
        keep(now, caller, std::move(statement));
        return;
    case relay_step::deallocate:
        if (const auto found = caller.prepared.find(statement.name);
            found != caller.prepared.end())
        {
            caller.state_bytes -=
                found->first.size() + found->second.shape.size() + entry_bytes;
            caller.prepared.erase(found);
        }
        answer_locally(now, caller);
        return;
    case relay_step::read:
    case relay_step::write:
    case relay_step::execute:
        run(now, caller, std::move(statement));
        return;
    default:
        answer_error(now, caller, relay_error::malformed,
                     "the statement cannot be read");
    }
}

auto session_relay::keep(time_point now, session& caller,
                         relay_statement statement) -> void
{
    const auto is_value = statement.step == relay_step::set_value;
    const auto* former = static_cast<const std::string*>(nullptr);
    if (is_value) {
        const auto found = caller.values.find(statement.name);
        former = found == caller.values.end() ? nullptr : &found->second;
    } else {
        const auto found = caller.prepared.find(statement.name);
        former =
            found == caller.prepared.end() ? nullptr : &found->second.shape;
    }
    const auto bytes =
        statement.name.size() + statement.text.size() + entry_bytes;
    const auto freed = former == nullptr ? 0
                                         : statement.name.size() +
                                               former->size() + entry_bytes;
    const auto held = caller.state_bytes - freed + bytes;
    if (held > state_limit_) {
        ++counters_.beyond_state_limit;
        answer_error(now, caller, relay_error::malformed,
                     "the session holds too many values or prepared "
                     "statements");
        return;
    }
    caller.state_bytes = held;
    if (is_value) {
        caller.values[statement.name] = std::move(statement.text);
    } else {
        auto server_name = shared_name(statement.is_read_only, statement.text);
        caller.prepared[statement.name] = {statement.is_read_only,
                                           std::move(statement.text),
                                           std::move(server_name)};
    }
    answer_locally(now, caller);
}

auto session_relay::load_of(session_id id) const -> session_load
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return {};
    }
    const auto& caller = found->second;
    auto load = session_load{};
    load.queued = caller.queued.size();
    load.queued_bytes = caller.queued_bytes;
    load.state_bytes = caller.state_bytes;
    if (caller.current) {
        // The statement, its line for the server, and what is being sent.
        load.running_bytes = 3 * size_of(caller.current->statement);
    } else if (!caller.open && caller.queued.empty()) {
        load.idle_since = caller.idle_since;
    }
    return load;
}

auto session_relay::state_bytes_of(connection_id id) const -> std::size_t
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? 0 : found->second.state_bytes;
}

auto session_relay::begin(time_point now, session& caller,
                          const relay_statement& statement) -> void
{
    if (caller.open) {
        answer_error(now, caller, relay_error::malformed,
                     "a transaction is open");
        return;
    }
    auto opened = transaction{};
    opened.route = find_route(caller.database);
    if (opened.route.route == nullptr) {
        deny(now, caller);
        return;
    }
    opened.is_read_only = statement.is_read_only;
    opened.arrived = opened.used_at = now;
    caller.open = std::move(opened);
    answer_locally(now, caller);
}

auto session_relay::commit(time_point now, session& caller,
                           relay_statement statement) -> void
{
    if (!caller.open) {
        answer_error(now, caller, relay_error::malformed,
                     "no transaction is open");
        return;
    }
    if (caller.open->is_failed) {
        caller.open.reset();
        answer_error(now, caller, relay_error::aborted,
                     "the transaction was rolled back");
        return;
    }
    start_operation(now, caller, std::move(statement), false);
}

auto session_relay::roll_back(time_point now, session& caller) -> void
{
    if (caller.open) {
        detach(now, caller);
        caller.open.reset();
    }
    answer_locally(now, caller);
}

auto session_relay::run(time_point now, session& caller,
                        relay_statement statement) -> void
{
    auto is_read = statement.step == relay_step::read;
    if (statement.step == relay_step::execute) {
        const auto found = caller.prepared.find(statement.name);
        if (found == caller.prepared.end()) {
            answer_error(now, caller, relay_error::unknown_name,
                         "there is no such prepared statement");
            return;
        }
        is_read = found->second.is_read;
    }
    start_operation(now, caller, std::move(statement), is_read);
}

auto session_relay::start_operation(time_point now, session& caller,
                                    relay_statement statement, bool is_read)
    -> void
{
    auto started = operation{};
    started.route =
        caller.open ? caller.open->route : find_route(caller.database);
    if (started.route.route == nullptr) {
        deny(now, caller);
        return;
    }
    started.statement = std::move(statement);
    started.arrived = now;
    started.expires = now + started.route.route->statement_timeout;
    started.is_read = is_read;
    caller.current = std::move(started);
    expiries_.emplace(caller.current->expires, caller.id);
    if (queue_behind_waiting(now, caller)) {
        return;
    }
    if (!assign(now, caller)) {
        wait(caller);
    }
}

auto session_relay::status_of(const session& caller) -> transaction_status
{
    if (!caller.open) {
        return transaction_status::idle;
    }
    return caller.open->is_failed ? transaction_status::failed
                                  : transaction_status::in_transaction;
}

auto session_relay::answer(time_point now, session& caller, relay_reply reply)
    -> void
{
    reply.status = status_of(caller);
    if (!reply.is_success()) {
        ++counters_.errors.at(static_cast<std::size_t>(reply.error));
    }
    caller.idle_since = now;
    if (is_closing_sessions(now)) {
        answered_in_drain_.insert(caller.id);
    }
    hooks_.reply(caller.id, reply);
}

auto session_relay::answer_locally(time_point now, session& caller) -> void
{
    auto reply = relay_reply{};
    reply.detail = "-";
    answer(now, caller, std::move(reply));
}

auto session_relay::answer_error(time_point now, session& caller,
                                 relay_error error, std::string_view text)
    -> void
{
    auto reply = relay_reply{};
    reply.error = error;
    reply.detail = text;
    log(now, "refused", caller, {}, error);
    answer(now, caller, std::move(reply));
}

auto session_relay::finish(time_point now, session& caller, relay_reply reply)
    -> void
{
    stop_waiting(caller);
    expiries_.erase({caller.current->expires, caller.id});
    if (reply.is_success() && hooks_.on_served) {
        hooks_.on_served(caller.current->route.route->consistency,
                         now - caller.current->arrived);
    }
    if (!reply.is_success()) {
        const auto server = caller.current->connection
                                ? pool_.server_of(*caller.current->connection)
                                : target_id();
        log(now, "failed", caller, server, reply.error);
    }
    caller.current.reset();
    if (caller.open) {
        caller.open->used_at = now;
        caller.open->is_failure_reported = caller.open->is_failed;
    }
    answer(now, caller, std::move(reply));
    start_next(now, caller);
}

auto session_relay::log(time_point now, std::string_view action,
                        const session& caller, const target_id& server,
                        relay_error cause) -> void
{
    if (!hooks_.log) {
        return;
    }
    auto decision = relay_decision{};
    decision.action = action;
    decision.session = caller.id;
    decision.organisation = caller.organisation;
    decision.server = server;
    decision.cause = cause;
    decision.configuration = configuration_version();
    if (caller.current) {
        decision.request = caller.current->statement.id;
        decision.group = caller.current->route.route->group;
        decision.age = now - caller.current->arrived;
    }
    hooks_.log(decision);
}

} // namespace rhubarbrun::inline v1
