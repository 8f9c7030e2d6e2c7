#ifndef RHUBARBRUN_COORDINATION_SESSION_RELAY_HPP
#define RHUBARBRUN_COORDINATION_SESSION_RELAY_HPP

#include <rhubarbrun/coordination/commit_observations.hpp>
#include <rhubarbrun/coordination/relay_messages.hpp>
#include <rhubarbrun/coordination/server_pool.hpp>
#include <rhubarbrun/state/service_configuration.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rhubarbrun::inline v1 {

/// A decision about a request that was not simply served.
struct relay_decision
{
    /// What was decided, such as "sent_elsewhere" or "refused".
    std::string_view action;
    session_id session;
    /// The caller's id of the request.
    std::string request;
    group_id group;
    /// The server that caused it; empty if there is none.
    target_id server;
    relay_error cause = relay_error::none;
    /// Since the request arrived.
    duration age = duration::zero();
    std::uint64_t configuration = 0;
};

/// What a `session_relay` needs from its surroundings.
struct relay_hooks
{
    std::function<void(session_id, const relay_reply&)> reply;
    /// Ends a session between its requests.
    std::function<void(session_id)> close_session;
    /// Whether bytes of the caller have arrived that were not read yet; may be
    /// empty.
    std::function<bool(session_id)> has_unread_bytes = {};
    std::function<void(connection_id, const std::vector<relay_statement>&)>
        send;
    server_pool::open_function open;
    server_pool::close_function close;
    std::function<void(const relay_decision&)> log;
    /// A statement was served, this long after it arrived.
    std::function<void(read_consistency, duration)> on_served = {};
};

/// Numbers of a `session_relay` since its start.
struct relay_counters
{
    std::uint64_t statements = 0;
    std::uint64_t sent_elsewhere = 0;
    std::uint64_t probes = 0;
    /// Errors told to callers, by `relay_error`.
    std::array<std::uint64_t, 16> errors{};
};

/// Relays the statements of callers' sessions to servers.
///
/// A session's values and prepared statements are kept here and brought to
/// whichever connection runs its next statement. A transaction keeps one
/// connection. Reads of other routes than primary ones go to any server whose
/// log provably holds what the route and the session require: the server is
/// told the position and refuses if it lacks it. A server runs reads of a
/// primary route only inside a transaction that only a primary can begin.
///
/// It does no I/O: the caller passes time and events, and carries out what the
/// hooks ask for. Hooks must not call back into the object.
class session_relay
{
public:
    session_relay(server_pool_options options, relay_hooks hooks);

    /// Takes a newer configuration; open transactions keep theirs.
    auto set_configuration(
        time_point now,
        std::shared_ptr<const service_configuration> configuration) -> void;
    auto update_server(time_point now, const server_record& record) -> void;
    /// Proxies, this included, that share the servers' connections.
    auto set_process_count(std::uint32_t count) -> void
    {
        pool_.set_process_count(count);
    }

    /// Processes that reach the server, by IP address.
    auto set_detours(const target_id& server,
                     std::vector<std::string> addresses) -> void
    {
        pool_.set_detours(server, std::move(addresses));
    }

    /// Whether the database of a new session has a route.
    [[nodiscard]] auto has_database(const database_id& database) const -> bool;
    auto start_session(time_point now, session_id id, database_id database)
        -> void;
    /// The caller is gone; an open transaction is rolled back.
    auto end_session(time_point now, session_id id) -> void;
    auto on_statement(time_point now, session_id id, relay_statement statement)
        -> void;

    auto on_connected(time_point now, connection_id id) -> void;
    auto on_connect_failed(time_point now, connection_id id,
                           connect_failure reason) -> void;
    auto on_reply(time_point now, connection_id id, relay_reply reply) -> void;
    auto on_connection_lost(time_point now, connection_id id) -> void;

    /// Control learned that every commit of the group that was acknowledged
    /// before `asked_at` is covered by `position`.
    auto on_position(time_point now, const group_id& group, time_point asked_at,
                     const log_position& position) -> void
    {
        record_observation(now, group, asked_at, position);
    }

    /// Begins a shutdown that must end `grace` later.
    auto drain(time_point now, duration grace) -> void;

    /// Handles what is due; returns when to call again.
    auto tick(time_point now) -> time_point;
    /// When `tick` has something to do next.
    [[nodiscard]] auto next_due(time_point now) const -> time_point;

    [[nodiscard]] auto pool() const noexcept -> const server_pool&
    {
        return pool_;
    }
    [[nodiscard]] auto counters() const noexcept -> const relay_counters&
    {
        return counters_;
    }
    [[nodiscard]] auto session_count() const noexcept -> std::size_t
    {
        return sessions_.size();
    }
    /// Whether a configuration is known.
    [[nodiscard]] auto is_configured() const noexcept -> bool
    {
        return configuration_ != nullptr;
    }
    [[nodiscard]] auto configuration_version() const noexcept -> std::uint64_t
    {
        return configuration_ ? configuration_->version : 0;
    }

private:
    using shared_configuration = std::shared_ptr<const service_configuration>;

    /// A route together with the configuration that holds it.
    struct route_reference
    {
        shared_configuration configuration;
        const database_route* route = nullptr;
    };
    struct prepared_statement
    {
        bool is_read = false;
        std::string shape;
    };
    struct transaction
    {
        route_reference route;
        bool is_read_only = false;
        bool is_begun = false;
        bool has_written = false;
        /// Rolled back at the server, or about to be.
        bool is_failed = false;
        /// The caller knows that it failed.
        bool is_failure_told = false;
        std::optional<connection_id> connection;
        time_point arrived;
        time_point used_at;
    };
    struct operation
    {
        relay_statement statement;
        route_reference route;
        time_point arrived;
        time_point expires;
        time_point not_before;
        std::set<target_id> excluded;
        std::size_t attempts = 0;
        std::optional<connection_id> connection;
        bool is_read = false;
        bool is_sent = false;
        /// The required position is the session's own last commit.
        bool is_own_commit_required = false;
    };
    struct session
    {
        session_id id;
        database_id database;
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_statement> prepared;
        /// End of the log after the session's last commit.
        std::optional<log_position> floor;
        std::optional<transaction> open;
        std::optional<operation> current;
        std::deque<relay_statement> later;
        /// Start of the session, or its last answer.
        time_point quiet_since;
    };
    /// What the next answer on a connection belongs to.
    enum class expectation_kind : std::uint8_t
    {
        preparation,
        /// Begins a transaction around a read, as proof of the primary.
        guard,
        begin,
        statement,
        /// Ends a transaction whose outcome no caller waits for.
        clean_up,
        probe,
    };
    struct expectation
    {
        expectation_kind kind;
        time_point sent;
    };
    struct connection
    {
        std::optional<session_id> session;
        std::deque<expectation> expected;
        std::map<std::string, std::string> values;
        std::set<std::string> prepared;
        transaction_status status = transaction_status::idle;
        bool is_broken = false;
    };
    /// Waiting requests in the order in which they are served.
    using waiting_key = std::tuple<std::uint32_t, time_point, session_id>;

    // session_relay.cpp: sessions and their statements.
    auto start_next(time_point now, session& caller) -> void;
    auto process(time_point now, session& caller, relay_statement statement)
        -> void;
    auto begin(time_point now, session& caller,
               const relay_statement& statement) -> void;
    auto commit(time_point now, session& caller, relay_statement statement)
        -> void;
    auto roll_back(time_point now, session& caller) -> void;
    auto run(time_point now, session& caller, relay_statement statement)
        -> void;
    auto start_operation(time_point now, session& caller,
                         relay_statement statement, bool is_read) -> void;
    auto answer(time_point now, session& caller, relay_reply reply) -> void;
    auto answer_locally(time_point now, session& caller) -> void;
    auto answer_error(time_point now, session& caller, relay_error error,
                      std::string_view text) -> void;
    auto finish(time_point now, session& caller, relay_reply reply) -> void;
    [[nodiscard]] auto find_route(const database_id& database) const
        -> route_reference;
    [[nodiscard]] static auto status_of(const session& caller)
        -> transaction_status;

    // session_relay_dispatch.cpp: choice of servers and connections.
    auto assign(time_point now, session& caller) -> bool;
    auto wait(session& caller) -> void;
    [[nodiscard]] auto demand_of(const session& caller) const
        -> server_pool::connection_request;
    /// Refuses a request whose group has been down for longer than a change of
    /// primary takes, that another process can serve while this one gets no
    /// connection, or that has waited for full servers for too long; returns
    /// whether it did.
    auto refuse_if_unserviceable(time_point now, session& caller) -> bool;
    /// The error of a request that did not run, with the time after which to
    /// come back.
    [[nodiscard]] auto not_run_reply(time_point now,
                                     const session& caller) const
        -> relay_reply;
    auto refuse(time_point now, session& caller) -> void;
    auto stop_waiting(const session& caller) -> void;
    auto serve_waiting(time_point now, const group_id& group) -> void;
    /// Waiting requests of a group in the order in which they are served.
    [[nodiscard]] auto waiting_order(time_point now,
                                     const group_id& group) const
        -> std::vector<waiting_key>;
    [[nodiscard]] auto needs_primary(const session& caller) const -> bool;
    [[nodiscard]] auto required_position(time_point now, session& caller)
        -> std::optional<log_position>;
    auto request_probe(time_point now, const group_id& group) -> void;
    auto send_probe(time_point now, const group_id& group) -> void;
    auto dispatch(time_point now, session& caller, connection_id id,
                  const std::optional<log_position>& floor) -> void;
    auto add_preparation(time_point now, const session& caller,
                         connection& target, std::vector<relay_statement>& out)
        -> void;
    auto send_current(time_point now, session& caller, connection_id id,
                      const std::optional<log_position>& floor) -> void;
    [[nodiscard]] auto waiting_key_of(const session& caller) const
        -> waiting_key;

    // session_relay_replies.cpp: answers of servers and failures.
    auto on_primary_check_reply(time_point now, session& caller,
                                connection_id id, const expectation& asked,
                                const relay_reply& reply) -> void;
    auto on_probe_reply(time_point now, connection_id id,
                        const expectation& asked, const relay_reply& reply)
        -> void;
    auto on_current_reply(time_point now, session& caller, connection_id id,
                          const expectation& asked, relay_reply reply) -> void;
    auto on_autocommit_failure(time_point now, session& caller,
                               connection_id id, relay_reply reply) -> void;
    auto on_transaction_reply(time_point now, session& caller, connection_id id,
                              const expectation& asked, relay_reply reply)
        -> void;
    auto on_refusal(time_point now, session& caller, connection_id id,
                    relay_error error) -> void;
    auto record_refusal(time_point now, connection_id id, relay_error error)
        -> void;
    auto retry_elsewhere(time_point now, session& caller, relay_error cause,
                         const target_id& server) -> void;
    /// The transaction, if one is open, is over at its server. A commit ends
    /// it for the caller as well; after anything else the caller rolls it back.
    static auto end_transaction(session& caller) -> void;
    /// The next attempt goes to another server, or to the same one after a
    /// pause if there is no other.
    auto exclude_server(time_point now, session& caller,
                        const target_id& server) -> void;
    auto expire(time_point now, session& caller) -> void;
    auto detach(time_point now, session& caller) -> void;
    auto recycle_connection(time_point now, connection_id id) -> void;
    auto record_observation(time_point now, const group_id& group,
                            time_point asked_at,
                            const std::optional<log_position>& position)
        -> void;
    auto log(time_point now, std::string_view action, const session& caller,
             const target_id& server, relay_error cause) -> void;

    // session_relay_timers.cpp
    auto tick_sessions(time_point now) -> void;
    auto tick_connections(time_point now) -> void;
    auto tick_drain(time_point now) -> void;
    /// Whether a shutdown has come so far that sessions are closed.
    [[nodiscard]] auto is_closing_sessions(time_point now) const -> bool;
    [[nodiscard]] auto may_close(time_point now, const session& caller) const
        -> bool;

    relay_hooks hooks_;
    server_pool pool_;
    shared_configuration configuration_;
    std::map<session_id, session> sessions_;
    std::map<connection_id, connection> connections_;
    std::map<group_id, commit_observations> observations_;
    std::map<group_id, std::set<waiting_key>> waiting_;
    /// Groups whose position is being asked for, and since when.
    std::map<group_id, time_point> probes_;
    std::set<group_id> requested_probes_;
    /// Requests by the end of their time.
    std::set<std::pair<time_point, session_id>> expiries_;
    relay_counters counters_;
    time_point next_sweep_;
    time_point next_pool_tick_;
    std::optional<time_point> draining_since_;
    /// Sessions that got an answer while sessions are closed.
    std::set<session_id> answered_in_drain_;
    duration grace_ = duration::zero();
};

} // namespace rhubarbrun::inline v1

#endif
