#ifndef RHUBARBRUN_COORDINATION_SESSION_RELAY_HPP
#define RHUBARBRUN_COORDINATION_SESSION_RELAY_HPP

#include <rhubarbrun/coordination/allowance_reserve.hpp>
#include <rhubarbrun/coordination/commit_observations.hpp>
#include <rhubarbrun/coordination/group_interest.hpp>
#include <rhubarbrun/coordination/relay_messages.hpp>
#include <rhubarbrun/coordination/request_order.hpp>
#include <rhubarbrun/coordination/server_pool.hpp>
#include <rhubarbrun/coordination/session_access.hpp>
#include <rhubarbrun/state/service_configuration.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Log record of a decision about a request or its transaction, such as a
/// refusal or a retry.
struct relay_decision
{
    /// Action taken, such as "sent_elsewhere" or "refused".
    std::string_view action;
    session_id session;
    /// Empty if there is none.
    organisation_id organisation;
    /// The caller's id of the request.
    std::string request;
    group_id group;
    /// The server that caused the decision; empty if there is none.
    target_id server;
    relay_error cause = relay_error::none;
    /// Time since the request arrived.
    duration age = duration::zero();
    std::uint64_t configuration = 0;
};

/// Operations that a `session_relay` requires of its environment.
struct relay_hooks
{
    std::function<void(session_id, const relay_reply&)> reply;
    /// Ends a session between its requests.
    std::function<void(session_id)> close_session;
    /// Whether unread bytes of the caller have arrived; may be empty.
    std::function<bool(session_id)> has_unread_bytes = {};
    std::function<void(connection_id, const std::vector<relay_statement>&)>
        send;
    server_pool::open_function open;
    server_pool::close_function close;
    std::function<void(const relay_decision&)> log;
    /// Whether the configuration is certain enough to deny a database; empty
    /// if it always is.
    std::function<bool()> may_deny = {};
    /// Asks control for a group's position; `on_position` follows if control
    /// knows it or learns it soon. Returns false if control cannot be asked;
    /// empty if it never can.
    std::function<bool(const group_id&)> ask_position = {};
    /// Age of the newest view of the configuration; empty, or no value, if
    /// there is none.
    std::function<std::optional<duration>()> view_age = {};
    /// Takes a token for an operation of the organisation that can wait for
    /// `max_wait`; `is_first` is false if the operation has asked before. Empty
    /// if operations are not limited.
    std::function<admission_verdict(const organisation_id&, bool is_first,
                                    duration max_wait)>
        admit = {};
    /// Counts an operation that waits for a token as long as the result lives.
    std::function<std::shared_ptr<void>(const organisation_id&)>
        wait_for_token = {};
    /// Gives a token back of which nothing was sent.
    std::function<void(const organisation_id&)> refund = {};
    /// Time until the organisation may have tokens again.
    std::function<duration(const organisation_id&)> allowance_retry_after = {};
    /// Reports a served statement and the time since its arrival.
    std::function<void(read_consistency, duration)> on_served = {};
};

/// What to do with a session that starts.
enum class start_verdict : std::uint8_t
{
    open,
    no_database,
    /// No organisation holds the caller's key.
    denied,
    /// A newer configuration may have the database; judge again.
    wait,
    /// The caller is to come back.
    retry,
};

/// Why a request that waits for a server is refused.
enum class wait_refusal : std::uint8_t
{
    /// Its group has been down for longer than a change of primary takes.
    outage,
    /// Another process can serve it while this one gets no connection.
    no_connection,
    /// It has waited too long for full servers.
    overload,
    /// The process ends before the request could be served.
    shutdown,
    /// It cannot be served in the rest of its time.
    too_late,
};
inline constexpr auto wait_refusal_count = std::size_t{5};

/// Name for logs and metrics.
[[nodiscard]] auto to_string(wait_refusal reason) noexcept -> std::string_view;

/// What a session makes the relay hold.
struct session_load
{
    /// Statements that wait for their turn.
    std::size_t queued = 0;
    std::size_t queued_bytes = 0;
    /// Values and prepared statements.
    std::size_t state_bytes = 0;
    /// Of the statement that is being served.
    std::size_t running_bytes = 0;
    /// Since when nothing runs and no transaction is open.
    std::optional<time_point> idle_since;
};

/// Counters of a `session_relay` since its start.
struct relay_counters
{
    std::uint64_t statements = 0;
    std::uint64_t sent_elsewhere = 0;
    std::uint64_t probes = 0;
    /// Statements refused because no organisation holds the session's key.
    std::uint64_t unknown_keys = 0;
    /// Statements refused because the view was too old to accept keys.
    std::uint64_t old_view_refusals = 0;
    /// Idle sessions and transactions ended because their key was revoked.
    std::uint64_t revoked_sessions = 0;
    /// Operations refused because their organisation's allowance was used up.
    std::uint64_t beyond_allowance = 0;
    /// Operations refused because no token came in time.
    std::uint64_t without_token = 0;
    /// Requests refused while they waited for a server, by `wait_refusal`.
    std::array<std::uint64_t, wait_refusal_count> wait_refusals{};
    /// Requests sent before one that arrived earlier, by `order_reason`; only
    /// where there are organisations.
    std::array<std::uint64_t, order_reason_count> reordered{};
    /// Values and prepared statements refused because the session's limit was
    /// reached.
    std::uint64_t beyond_state_limit = 0;
    /// Connections to servers closed because an answer did not fit what was
    /// asked.
    std::uint64_t mismatched_answers = 0;
    /// Statements for which values or names were sent to a server first.
    std::uint64_t preparations = 0;
    /// The same, where a server failed one of these.
    std::uint64_t failed_preparations = 0;
    /// The same, where the answers did not come in time.
    std::uint64_t overdue_preparations = 0;
    /// Errors returned to callers, by `relay_error`.
    std::array<std::uint64_t, 16> errors{};
};

/// Relays the statements of callers' sessions to servers.
///
/// A session's values and prepared statements are kept here and restored on the
/// connection that runs its next statement, which is sent once the server has
/// acknowledged them. A transaction keeps one connection.
///
/// Answers carry no id and are attributed by their order, so that each must
/// show what its statement leads to: a proof, rows, a state. A connection with
/// an answer that does not fit is closed, because the answers that it owes are
/// unknown. Only what does no harm if the statement before it fails is sent
/// before that one is answered: preparations of a connection with a begin, and
/// the end of the transaction that guards a read.
///
/// Reads of routes that do not require the primary go to any server whose log
/// holds the position that the route and the session require; the position is
/// sent with the read, and a server that lacks it refuses. A server runs reads
/// of a primary route only inside a transaction that only a primary can begin.
///
/// It does no I/O: the caller passes time and events, and implements the hooks.
/// Hooks must not call back into the object.
class session_relay
{
public:
    session_relay(server_pool_options options, relay_hooks hooks,
                  access_rules access = {});

    /// Applies a newer configuration; open transactions keep theirs.
    auto set_configuration(
        time_point now,
        std::shared_ptr<const service_configuration> configuration) -> void;
    auto update_server(time_point now, const server_record& record) -> void;
    /// Sets the number of proxies, including this one, that share the servers'
    /// connections.
    auto set_process_count(std::uint32_t count) -> void
    {
        pool_.set_process_count(count);
    }

    /// Sets the IP addresses of the processes that can reach the server.
    auto set_detours(const target_id& server,
                     std::vector<std::string> addresses) -> void
    {
        pool_.set_detours(server, std::move(addresses));
    }

    /// Judges a session that asked at `arrived` for the database.
    [[nodiscard]] auto judge_start(time_point now, time_point arrived,
                                   const database_id& database,
                                   const key_digest& key = {}) const
        -> start_verdict;
    auto start_session(time_point now, session_id id, database_id database,
                       const key_digest& key = {}) -> void;
    /// Ends a session whose caller disconnected; an open transaction is rolled
    /// back.
    auto end_session(time_point now, session_id id) -> void;
    auto on_statement(time_point now, session_id id, relay_statement statement)
        -> void;

    auto on_connected(time_point now, connection_id id) -> void;
    auto on_connect_failed(time_point now, connection_id id,
                           connect_failure reason) -> void;
    auto on_reply(time_point now, connection_id id, relay_reply reply) -> void;
    auto on_connection_lost(time_point now, connection_id id) -> void;
    /// The server sent something that is no answer. It is alive, but which
    /// answers it owes on the connection is unknown.
    auto on_unreadable_reply(time_point now, connection_id id) -> void;

    /// Handles a position from control that covers every commit of the group
    /// acknowledged before `asked_at`.
    auto on_position(time_point now, const group_id& group, time_point asked_at,
                     const log_position& position) -> void
    {
        record_observation(now, group, asked_at, position);
    }

    /// Groups whose positions control should keep telling.
    [[nodiscard]] auto groups_of_interest(time_point now)
        -> std::vector<group_id>
    {
        return interest_.groups(now);
    }

    /// Limits the bytes of a session's values and prepared statements.
    auto set_state_limit(std::size_t bytes) -> void { state_limit_ = bytes; }
    /// What the session makes the relay hold; nothing if there is none.
    [[nodiscard]] auto load_of(session_id id) const -> session_load;
    /// Bytes of the values and names that a connection to a server holds.
    [[nodiscard]] auto state_bytes_of(connection_id id) const -> std::size_t;

    /// Tokens of organisations have come.
    auto on_tokens(time_point now) -> void;

    /// Begins a shutdown that must end `grace` later. Before that every
    /// statement is answered: one that cannot be served in time as not run, as
    /// soon as this is known, and one that is still at a server at the end
    /// according to what is certain about it.
    auto drain(time_point now, duration grace) -> void;
    /// When every statement is answered at the latest; only while shutting
    /// down.
    [[nodiscard]] auto last_reply_at() const -> time_point;

    /// Handles due work; returns when to call again.
    auto tick(time_point now) -> time_point;
    /// Time at which `tick` is due next.
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
        /// Its name at servers.
        std::string server_name;
    };
    struct transaction
    {
        route_reference route;
        bool is_read_only = false;
        bool is_begun = false;
        bool has_written = false;
        /// The server has rolled it back, or is about to.
        bool is_failed = false;
        /// A token was taken for it.
        bool is_admitted = false;
        /// The failure was reported to the caller.
        bool is_failure_reported = false;
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
        /// Position that a server needs for a read outside a transaction.
        std::optional<log_position> floor;
        bool is_read = false;
        /// Sent itself, not only what prepares a connection for it.
        bool is_sent = false;
        /// A token was taken for it, if it is no part of a transaction.
        bool is_admitted = false;
        /// It has asked for a token.
        bool has_asked_token = false;
        /// Set while it waits for a token.
        std::shared_ptr<void> token_wait;
        /// The required position is the session's own last commit.
        bool is_own_commit_required = false;
        /// Priority of its organisation when it was first needed.
        std::optional<std::uint32_t> organisation_priority;
        /// Why it goes before requests that arrived earlier.
        order_reason reason = order_reason::arrival;
    };
    struct session
    {
        session_id id;
        database_id database;
        key_digest key;
        /// The organisation for which the session's last operation ran or runs.
        organisation_id organisation;
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_statement> prepared;
        /// End of the log after the session's last commit.
        std::optional<log_position> floor;
        std::optional<transaction> open;
        std::optional<operation> current;
        std::deque<relay_statement> queued;
        std::size_t queued_bytes = 0;
        /// Of values and prepared statements.
        std::size_t state_bytes = 0;
        /// Time of the last reply, or of the start of the session.
        time_point idle_since;
        /// The key was revoked while a statement was at a server.
        bool is_revoked = false;
        /// Whether queued statements are being started.
        bool is_starting = false;
    };
    /// What the next reply on a connection belongs to.
    enum class expectation_kind : std::uint8_t
    {
        /// Gives the connection the values and the prepared statement that its
        /// session's next statement needs.
        preparation,
        /// Begins a transaction around a read; only a primary accepts it.
        primary_check,
        begin,
        statement,
        /// Rolls back a transaction that has no waiting caller.
        clean_up,
        probe,
    };
    struct expectation
    {
        expectation_kind kind;
        time_point sent;
        /// Step of a `preparation` or a `statement`.
        relay_step step = relay_step::malformed;
        /// What a `preparation` sets.
        std::string name = {};
        std::string value = {};
    };
    struct connection
    {
        std::optional<session_id> session;
        std::deque<expectation> expected;
        /// What the server has acknowledged.
        std::map<std::string, std::string> values;
        std::set<std::string> prepared;
        /// Of `values` and `prepared`.
        std::size_t state_bytes = 0;
        transaction_status status = transaction_status::idle;
        /// A preparation may have had an effect that is not in `values` and
        /// `prepared`; only a discard makes the connection usable again.
        bool is_state_unknown = false;
        /// Values were set inside the open transaction. A server may or may not
        /// take them back with it.
        bool is_changed_in_transaction = false;
        /// Why a preparation for the waiting statement failed.
        relay_error preparation_error = relay_error::none;
        /// When preparations that are not answered are given up.
        std::optional<time_point> preparation_due;
    };
    /// Waiting requests in the order in which they are served.
    using waiting_key = std::tuple<std::uint32_t, time_point, session_id>;

    // session_relay.cpp: sessions and their statements.
    auto start_next(time_point now, session& caller) -> void;
    auto process(time_point now, session& caller, relay_statement statement)
        -> void;
    /// Sets a value or a prepared statement unless the session's limit is
    /// reached, and answers.
    auto keep(time_point now, session& caller, relay_statement statement)
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
    /// Answers a statement whose database has no route.
    auto deny(time_point now, session& caller) -> void;
    [[nodiscard]] auto may_deny() const -> bool;
    [[nodiscard]] auto find_route(const database_id& database) const
        -> route_reference;
    [[nodiscard]] static auto status_of(const session& caller)
        -> transaction_status;

    // session_relay_access.cpp: keys and revocation.
    [[nodiscard]] auto access_of(const session& caller,
                                 const database_route& route) const
        -> session_access;
    /// Answers the session's statement if its key gives no access, also if the
    /// key was valid when its transaction began. Returns whether it did.
    auto refuse_without_access(time_point now, session& caller) -> bool;
    /// Returns the error that a caller without access gets.
    [[nodiscard]] auto access_error(access_verdict verdict) const
        -> relay_reply;
    /// What became of a statement that may need a token.
    enum class admission_step : std::uint8_t
    {
        /// It may be sent.
        go_on,
        wait,
        /// It was answered.
        answered,
    };
    auto admit(time_point now, session& caller) -> admission_step;
    /// Gives back the token of an operation of which nothing was sent.
    auto refund(session& caller) -> void;
    /// Ends what the sessions whose keys were revoked have not sent yet.
    auto end_revoked_sessions(time_point now) -> void;
    auto end_revoked_session(time_point now, session& caller) -> void;
    /// The same for sessions that had a statement at a server.
    auto tick_revoked_sessions(time_point now) -> void;

    // session_relay_dispatch.cpp: choice of servers and connections.
    auto assign(time_point now, session& caller) -> bool;
    auto wait(session& caller) -> void;
    [[nodiscard]] auto demand_of(const session& caller) const
        -> server_pool::connection_request;
    /// Refuses a request if its group has been down for longer than a change of
    /// primary takes, if another process can serve it while this one gets no
    /// connection, or if it has waited too long for full servers. Returns
    /// whether the request was refused.
    auto refuse_if_unserviceable(time_point now, session& caller) -> bool;
    /// Refuses a request that found no server if it cannot be served in the
    /// rest of its time. Returns whether it was refused.
    auto refuse_if_too_late(time_point now, session& caller) -> bool;
    auto count_refusal(time_point now, const session& caller,
                       wait_refusal reason) -> void;
    /// Returns the error of a request that did not run, with the time after
    /// which to retry.
    [[nodiscard]] auto not_run_reply(time_point now, const session& caller)
        -> relay_reply;
    auto refuse(time_point now, session& caller) -> void;
    auto stop_waiting(const session& caller) -> void;
    auto serve_waiting(time_point now, const group_id& group) -> void;
    /// Waiting requests of a group in the order in which they are served.
    [[nodiscard]] auto waiting_order(time_point now, const group_id& group)
        -> std::vector<waiting_key>;
    /// Whether requests are ordered by organisation.
    [[nodiscard]] auto is_fair() const -> bool
    {
        return configuration_ && !configuration_->organisations.empty();
    }
    [[nodiscard]] auto waiting_request_of(session& caller) const
        -> waiting_request;
    /// Recent time of the database's statements at servers, if known.
    [[nodiscard]] auto usual_time(const database_id& database) const
        -> std::optional<duration>;
    /// Lets a new request take its place among those that wait. Returns false
    /// if none wait or it needs no place.
    auto queue_behind_waiting(time_point now, session& caller) -> bool;
    /// Counts a request towards its organisation's share.
    auto record_sent(time_point now, session& caller) -> void;
    auto record_not_run(session& caller) -> void;
    [[nodiscard]] auto needs_primary(const session& caller) const -> bool;
    [[nodiscard]] auto required_position(time_point now, session& caller)
        -> std::optional<log_position>;
    /// Whether control was asked for the position so recently that its answer
    /// may still come; asks it if that is due.
    auto ask_control(time_point now, const group_id& group) -> bool;
    auto request_probe(time_point now, const group_id& group) -> void;
    auto send_probe(time_point now, const group_id& group) -> void;
    auto dispatch(time_point now, session& caller, connection_id id,
                  const std::optional<log_position>& floor) -> void;
    /// Whether the session's statement can be sent on the connection at once.
    [[nodiscard]] auto is_prepared_for(const session& caller,
                                       const connection& target) const -> bool;
    /// Adds what the session's statement needs before it can be sent. These
    /// statements harm nobody if one of them fails, so that they are sent
    /// together; nothing of a caller is sent before all are acknowledged.
    auto add_preparation(time_point now, const session& caller,
                         connection& target, std::vector<relay_statement>& out)
        -> void;
    /// Sends preparations, perhaps with a begin, and waits for their answers.
    auto send_preparation(time_point now, const session& caller,
                          connection_id id,
                          const std::vector<relay_statement>& out) -> void;
    auto end_preparation(connection_id id, connection& target) -> void;
    /// Sends the session's statement of a transaction that has begun.
    auto send_in_transaction(time_point now, session& caller) -> void;
    /// Sends the session's statement on a connection that is prepared for it.
    auto send_current(time_point now, session& caller, connection_id id)
        -> void;
    [[nodiscard]] auto waiting_key_of(const session& caller) const
        -> waiting_key;

    // session_relay_replies.cpp: answers of servers and failures.
    auto on_preparation_reply(time_point now, connection_id id,
                              const expectation& asked,
                              const relay_reply& reply) -> void;
    /// Notes what a connection holds after a preparation.
    static auto note_preparation(const expectation& asked, connection& target)
        -> void;
    /// Handles a statement that was not sent as a preparation failed.
    auto on_preparation_failed(time_point now, session& caller,
                               connection_id id, relay_error error) -> void;
    /// The session whose statement the connection serves; null if there is
    /// none.
    [[nodiscard]] auto served_session(const connection& target) -> session*;
    auto on_primary_check_reply(time_point now, session& caller,
                                connection_id id, const expectation& asked,
                                const relay_reply& reply) -> void;
    auto on_probe_reply(time_point now, connection_id id,
                        const expectation& asked, const relay_reply& reply)
        -> void;
    /// Whether the reply can be the one to what was asked. Replies carry no
    /// id, so that a lost one shifts those that follow.
    [[nodiscard]] static auto fits(const expectation& asked,
                                   const connection& target,
                                   const relay_reply& reply) -> bool;
    /// Closes a connection whose replies cannot be attributed any more.
    auto distrust(time_point now, connection_id id) -> void;
    /// Handles the end of a connection.
    auto lose(time_point now, connection_id id, bool is_failure) -> void;
    /// Groups statements whose times at a server can be compared.
    [[nodiscard]] static auto timing_kind(const operation& of) -> std::uint8_t;
    auto on_current_reply(time_point now, session& caller, connection_id id,
                          const expectation& asked, relay_reply reply) -> void;
    auto on_autocommit_failure(time_point now, session& caller,
                               connection_id id, relay_reply reply) -> void;
    /// Lets a statement of an open transaction wait if its server was too full
    /// for it. Returns false if it cannot be sent again.
    auto retry_in_transaction(time_point now, session& caller, connection_id id,
                              relay_error error) -> bool;
    auto on_transaction_reply(time_point now, session& caller, connection_id id,
                              const expectation& asked, relay_reply reply)
        -> void;
    auto on_refusal(time_point now, session& caller, connection_id id,
                    relay_error error) -> void;
    auto record_refusal(time_point now, connection_id id, relay_error error)
        -> void;
    auto retry_elsewhere(time_point now, session& caller, relay_error cause,
                         const target_id& server) -> void;
    /// Marks an open transaction as ended at its server. After a commit it is
    /// ended for the caller as well; otherwise the caller must roll it back.
    static auto end_transaction(session& caller) -> void;
    /// Excludes the server from the next attempt, or retries it after a pause
    /// if there is no other.
    auto exclude_server(time_point now, session& caller,
                        const target_id& server) -> void;
    auto expire(time_point now, session& caller) -> void;
    /// Answers a statement that is not waited for any longer. `autocommit` is
    /// the error if it was sent outside a transaction, and `in_transaction` if
    /// it was sent inside one that is not known to be rolled back.
    auto give_up(time_point now, session& caller, relay_error autocommit,
                 relay_error in_transaction, std::string_view text) -> void;
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
    /// Gives up connections whose preparations are not answered in time.
    auto tick_preparations(time_point now) -> void;
    auto tick_drain(time_point now) -> void;
    /// Answers the statement that a session still has when the process ends.
    auto answer_at_end(time_point now, session& caller) -> void;
    /// Whether the process ends before the statement could be served.
    [[nodiscard]] auto ends_before_service(time_point now,
                                           const session& caller) const -> bool;
    /// Whether the shutdown has reached the stage that closes sessions.
    [[nodiscard]] auto is_closing_sessions(time_point now) const -> bool;
    [[nodiscard]] auto may_close(time_point now, const session& caller) const
        -> bool;

    relay_hooks hooks_;
    access_rules access_;
    server_pool pool_;
    shared_configuration configuration_;
    std::map<session_id, session> sessions_;
    std::map<connection_id, connection> connections_;
    /// When preparations that are not answered are given up.
    std::set<std::pair<time_point, connection_id>> preparations_due_;
    std::map<group_id, commit_observations> observations_;
    group_interest interest_;
    /// When control was last asked for the position of a group.
    std::map<group_id, time_point> asked_control_at_;
    std::map<group_id, std::set<waiting_key>> waiting_;
    std::map<group_id, request_order> orders_;
    /// Whether waiting requests are being sent.
    bool is_serving_ = false;
    /// When a reordered request of any group may be logged next.
    time_point next_order_log_;
    std::minstd_rand retry_jitter_;
    /// Groups with a position query in flight, and its start.
    std::map<group_id, time_point> probes_;
    std::set<group_id> requested_probes_;
    /// Requests by their deadline.
    std::set<std::pair<time_point, session_id>> expiries_;
    relay_counters counters_;
    time_point next_sweep_;
    time_point next_pool_tick_;
    std::optional<time_point> draining_since_;
    /// Sessions that got a reply during the stage that closes sessions.
    std::size_t state_limit_ = std::numeric_limits<std::size_t>::max();
    std::set<session_id> answered_in_drain_;
    duration grace_ = duration::zero();
    /// Time from sending a statement of a database to its reply: the recent
    /// maximum, which decays slowly.
    std::map<database_id, duration> service_times_;
};

} // namespace rhubarbrun::inline v1

#endif
