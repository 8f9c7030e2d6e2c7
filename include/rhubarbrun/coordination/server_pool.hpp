#ifndef RHUBARBRUN_COORDINATION_SERVER_POOL_HPP
#define RHUBARBRUN_COORDINATION_SERVER_POOL_HPP

#include <rhubarbrun/coordination/connection_headroom.hpp>
#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/coordination/server_directory.hpp>
#include <rhubarbrun/coordination/server_pace.hpp>
#include <rhubarbrun/coordination/server_path.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Why a connection to a server could not be opened.
enum class connect_failure : std::uint8_t
{
    /// Nothing listens at the address.
    refused,
    /// No answer in time, or the connection broke.
    unreachable,
    /// The server has no free connection.
    connection_limit,
    /// Another server answered.
    wrong_server,
};

/// Name for logs, such as "connection_limit".
[[nodiscard]] auto to_string(connect_failure reason) noexcept
    -> std::string_view;

/// A connection that is to be opened.
struct connection_order
{
    const server_record& server;
    /// Address of the process that forwards it; empty if it is direct.
    const std::string& detour;
    /// The organisation whose statements it runs; empty if there are none.
    const organisation_id& organisation;
};

/// Beginning or end of the pacing of a server.
struct pace_event
{
    const target_id& server;
    pace_cause cause;
    /// No value at the beginning.
    std::optional<pace_end> end;
    /// The pace, such as its windows.
    const server_pace& pace;
    /// Time since the beginning.
    duration elapsed;
};

/// Settings of a `server_pool`.
struct server_pool_options
{
    zone_id zone;
    /// Region of each availability zone.
    std::map<zone_id, std::string> regions;
    /// Idle connections beyond the first are closed after this long.
    duration max_idle_time = std::chrono::seconds(2);
    /// Idle connections beyond this process's share of the server's limit are
    /// closed after this long, so that other processes can use them.
    duration max_surplus_idle_time = std::chrono::milliseconds(150);
    /// The same if there are more processes than connections at the server.
    duration max_scarce_surplus_idle_time = std::chrono::milliseconds(400);
    /// If there are more processes than connections at a server, every idle
    /// connection is closed after this long, about the pause between two
    /// statements of one process for one server. Each connection that the
    /// server refuses at its limit halves the time down to
    /// `min_scarce_idle_time`; without refusals it grows back.
    duration max_scarce_idle_time = std::chrono::milliseconds(800);
    duration min_scarce_idle_time = std::chrono::milliseconds(100);
    /// Whether servers that have just started or recovered are paced.
    bool are_servers_paced = false;
    /// Spreads the first uses of a paced server; required if they are paced.
    random_function random = {};
    /// Called when pacing of a server begins or ends; may be empty.
    std::function<void(const pace_event&)> on_pace = {};
};

/// Counters of the pacing of servers.
struct pace_counters
{
    std::uint64_t begun = 0;
    /// By `pace_end`.
    std::array<std::uint64_t, 3> ended{};
    /// Choices in which a paced server was left out.
    std::uint64_t held = 0;
    /// Statements sent to a paced server after `paced_until`.
    std::uint64_t overdue = 0;
};

/// The servers that a process may use, and its connections to them.
///
/// It selects the server that runs a statement and decides whether to open a
/// connection. It does no I/O.
class server_pool
{
public:
    /// Opens a connection. The outcome is passed to `on_connected` or
    /// `on_connect_failed`.
    using open_function =
        std::function<void(connection_id, const connection_order&)>;
    using close_function = std::function<void(connection_id)>;

    /// Requirements for a connection.
    struct connection_request
    {
        group_id group;
        /// The server must be the primary.
        bool is_primary_needed = false;
        /// Servers that already refused the statement.
        const std::set<target_id>* excluded = nullptr;
        /// Number of statements that wait for a connection of the group,
        /// including this one.
        std::size_t waiting = 1;
        /// The connection runs statements of this organisation only; null if
        /// any connection serves, such as for a question of the proxy itself.
        const organisation_id* organisation = nullptr;
        /// Pacing of servers does not hold the statement back from this time
        /// on; no value if it never does.
        std::optional<time_point> paced_until = {};
        /// Whether the statement can be sent on the idle connection without a
        /// round trip that prepares it; empty if it can on every one.
        std::function<bool(connection_id)> is_prepared = {};
    };

    /// Health of one server as seen from this process.
    struct server_health
    {
        target_id id;
        bool is_primary = false;
        /// Time of the last direct reply of the server, if any.
        std::optional<time_point> answered_at;
        /// Start of the direct failures; set while they last.
        std::optional<time_point> failing_since;
    };

    server_pool(server_pool_options options, open_function open,
                close_function close);

    /// Applies a changed record.
    auto update(time_point now, const server_record& record) -> void;
    auto set_connection_limit(const group_id& group, std::uint32_t limit)
        -> void;
    /// Sets the number of processes, including this one, that share the
    /// servers' connections.
    auto set_process_count(std::uint32_t count) -> void;
    /// Sets the IP addresses of the processes that can reach the server.
    auto set_detours(const target_id& id, std::vector<std::string> addresses)
        -> void;

    /// Acquires an idle connection to the best server. Returns no value if
    /// there is none; a new connection may have been started then.
    [[nodiscard]] auto choose(time_point now, const connection_request& need)
        -> std::optional<connection_id>;

    /// Whether a server that may run the statement is known and not failing.
    [[nodiscard]] auto has_usable_server(time_point now,
                                         const connection_request& need) const
        -> bool;
    /// Opens a connection if one is due, although no statement waits for it: in
    /// an outage it tells whether a server is back.
    auto open_if_due(time_point now, const connection_request& need) -> void;

    /// Time since which every server that could run the statement has been
    /// failing; no value if one does not fail or none is known.
    [[nodiscard]] auto outage_since(const connection_request& need) const
        -> std::optional<time_point>;

    /// Whether every server that may run the statement is full.
    [[nodiscard]] auto is_full(time_point now,
                               const connection_request& need) const -> bool;

    /// Whether a server that may run the statement takes it now, or as soon as
    /// a connection is open that can be opened or is being opened.
    [[nodiscard]] auto has_free_server(time_point now,
                                       const connection_request& need) const
        -> bool;

    /// Whether the required primary has just refused several consecutive
    /// connections and this process has no connection to it.
    [[nodiscard]] auto
    is_out_of_connections(time_point now, const connection_request& need) const
        -> bool;

    auto on_connected(time_point now, connection_id id) -> void;
    auto on_connect_failed(time_point now, connection_id id,
                           connect_failure reason) -> void;
    /// The server replied, whatever it said.
    auto on_heard(time_point now, connection_id id) -> void;
    /// Handles a read that took `latency`.
    auto on_answer(time_point now, connection_id id, duration latency) -> void;
    /// Handles a statement, sent at `sent_at`, whose time is over. The server
    /// counts as failing only if it has been silent for `silence_limit` since
    /// then: a statement may have been sent just before its time was over.
    auto on_timeout(time_point now, connection_id id, time_point sent_at)
        -> void;
    /// The server refuses statements that need the primary.
    auto on_not_primary(const target_id& id) -> void;
    /// The server proved to be the primary.
    auto on_primary(const target_id& id) -> void;
    /// The server lacks commits that reads require.
    auto on_lagging(time_point now, const target_id& id) -> void;
    /// The server refused a statement because it is full.
    auto on_full(time_point now, const target_id& id) -> void;
    /// The server ran a statement.
    auto on_served(connection_id id) -> void;
    /// The server ran a statement in `time`. Only times of the same `kind` of
    /// statements are compared.
    auto on_timed(time_point now, connection_id id, std::uint8_t kind,
                  duration time) -> void;
    /// The connection is free again.
    auto release(time_point now, connection_id id) -> void;
    /// The connection is gone or must be closed by the caller.
    auto forget(time_point now, connection_id id, bool is_failure) -> void;

    /// Closes connections that are not used; returns when to call again.
    auto tick(time_point now) -> time_point;

    /// Whether a server that has not left is at this address.
    [[nodiscard]] auto has_server_at(const std::string& address) const -> bool;
    [[nodiscard]] auto server_of(connection_id id) const -> target_id;
    [[nodiscard]] auto group_of(connection_id id) const -> group_id;
    /// The same as `server_directory::digest` of equivalent records.
    [[nodiscard]] auto digest() const noexcept -> std::uint64_t
    {
        return digest_;
    }
    [[nodiscard]] auto pacing() const noexcept -> const pace_counters&
    {
        return pace_counters_;
    }
    /// Number of servers that are paced now.
    [[nodiscard]] auto paced_count() const noexcept -> std::size_t;
    [[nodiscard]] auto health() const -> std::vector<server_health>;
    /// The same for servers whose last reply or failure is recent enough to
    /// tell others about their state.
    [[nodiscard]] auto recent_health(time_point now) const
        -> std::vector<server_health>;

private:
    static constexpr auto max_window = std::size_t{1000};
    /// A server with a full queue replies within this time.
    static constexpr auto silence_limit = milliseconds(500);

    struct server
    {
        server_record record;
        /// Revision of the last claim to be primary, 0 for none.
        std::uint64_t claim = 0;
        /// A statement that needs the primary was refused since the claim.
        bool is_claim_refused = false;
        std::size_t open = 0;
        std::size_t connecting = 0;
        std::size_t busy = 0;
        std::vector<connection_id> idle;
        double latency_us = 0;
        time_point sampled_at;
        time_point avoid_until;
        time_point lagging_until;
        /// Number of consecutive refusals because of lag.
        std::size_t lagging_refusals = 0;
        /// End of the pause in which nothing is sent to a full server.
        time_point full_until;
        /// Number of consecutive refusals because the server is full.
        std::size_t full_refusals = 0;
        /// Limit of concurrent statements.
        std::size_t window = max_window;
        time_point no_connections_until;
        /// Number of consecutive connections refused because of the server's
        /// connection limit.
        std::size_t limit_refusals = 0;
        time_point out_of_connections_until;
        /// Maximum idle time while connections are scarce.
        duration idle_limit;
        /// End of the pause in which no connections beyond the share are
        /// opened.
        time_point burst_not_before;
        std::size_t failures = 0;
        std::optional<time_point> answered_at;
        std::optional<time_point> failing_since;
        /// Time of the last failure of a direct connection.
        time_point failed_at;
        std::optional<time_point> draining_since;
        server_path path;
        server_pace pace;
    };
    struct connection
    {
        target_id server;
        /// Address of the process that forwards the connection; empty if it is
        /// direct.
        std::string detour;
        bool is_idle = false;
        time_point used_at;
        organisation_id organisation;
        bool has_served = false;
    };

    /// Servers with their scores, lowest first.
    using ranking = std::vector<std::pair<double, server*>>;

    /// Servers of a group. Whatever is done for a statement looks at these
    /// only, so that it does not cost more with more groups.
    [[nodiscard]] auto servers_of(const group_id& group) const
        -> const std::vector<server*>&;
    [[nodiscard]] auto may_use(time_point now, const server& each,
                               const connection_request& need) const -> bool;
    /// Whether the server accepts no further statement of this process for now.
    [[nodiscard]] static auto is_saturated(time_point now, const server& each)
        -> bool;
    [[nodiscard]] auto score(time_point now, const server& each,
                             bool is_primary_needed) const -> double;
    [[nodiscard]] auto base_latency(const server& each) const -> double;
    [[nodiscard]] auto share_of(const server& each) const -> connection_share;
    [[nodiscard]] auto has_scarce_connections(const server& each) const -> bool;
    auto close_unused(time_point now, server& each) -> void;
    [[nodiscard]] auto may_open(time_point now, const server& each,
                                const connection_request& need) const -> bool;
    auto open(time_point now, server& each, const connection_request& need)
        -> void;
    /// The idle connection that a statement would use, or the end: the one used
    /// last, of those that are prepared for it if there are any.
    [[nodiscard]] auto find_best_idle(const server& each,
                                      const connection_request& need) const
        -> std::vector<connection_id>::const_iterator;
    /// The idle connection that was used last, or the end.
    [[nodiscard]] auto find_idle(const server& each,
                                 const connection_request& need) const
        -> std::vector<connection_id>::const_iterator;
    /// The idle connection of another organisation that has been idle for the
    /// longest time, or the end. One that has just been opened is left to the
    /// statement for which it was opened.
    [[nodiscard]] auto find_replaceable(time_point now, const server& each,
                                        const connection_request& need) const
        -> std::vector<connection_id>::const_iterator;
    /// Limit of connections to the server for now.
    [[nodiscard]] auto open_limit(time_point now, const server& each) const
        -> std::size_t;
    /// Removes lagging servers, unless all servers lag.
    static auto remove_lagging(time_point now, ranking& ranked) -> void;
    [[nodiscard]] auto take_idle(time_point now, server& each,
                                 const connection_request& need)
        -> connection_id;
    auto close_idle(time_point now, server& each, std::size_t kept,
                    duration older_than) -> void;
    [[nodiscard]] auto is_primary(const server& each) const -> bool;
    [[nodiscard]] auto rank(time_point now, const connection_request& need)
        -> ranking;
    /// Handles a failed connection; `detour` is empty for a direct one.
    auto fail(time_point now, server& each, const std::string& detour) -> void;
    /// Closes the idle connections that are direct, or those that use a detour.
    auto close_idle_by_path(server& each, bool is_direct) -> void;
    [[nodiscard]] auto pace_terms_of(const server& each) const -> pace_terms;
    /// Starts pacing of the server if it is enabled.
    auto begin_pace(time_point now, server& each, pace_cause cause) -> void;
    auto end_pace(time_point now, server& each, pace_end end) -> void;
    /// Handles a direct answer, perhaps the first one after failures.
    auto end_failures(time_point now, server& each) -> void;
    /// Whether pacing holds statements back from the server.
    [[nodiscard]] auto is_held(time_point now, const server& each,
                               const connection_request& need) const -> bool;

    server_pool_options options_;
    open_function open_;
    close_function close_;
    std::map<target_id, server> servers_;
    std::map<group_id, std::vector<server*>> groups_;
    std::map<connection_id, connection> connections_;
    std::map<group_id, std::uint32_t> limits_;
    std::uint32_t process_count_ = 1;
    bool is_process_count_known_ = false;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_claim_ = 0;
    std::uint64_t digest_ = 0;
    pace_counters pace_counters_;
};

} // namespace rhubarbrun::inline v1

#endif
