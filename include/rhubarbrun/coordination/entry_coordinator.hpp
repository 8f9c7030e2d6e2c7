#ifndef RHUBARBRUN_COORDINATION_ENTRY_COORDINATOR_HPP
#define RHUBARBRUN_COORDINATION_ENTRY_COORDINATOR_HPP

#include <rhubarbrun/coordination/entry_actions.hpp>
#include <rhubarbrun/coordination/group_positions.hpp>
#include <rhubarbrun/coordination/pending_requests.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/reroute_hint.hpp>
#include <rhubarbrun/state/session_token.hpp>
#include <rhubarbrun/state/transaction_status.hpp>
#include <rhubarbrun/state/transaction_step.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Properties of a caller's request that determine its routing.
struct entry_request
{
    transaction_step step = transaction_step::single;
    bool is_read_only = false;
    bool is_idempotent = false;
    /// Timeout that the caller set, counted from the request's arrival.
    duration deadline{};
    /// Maximum age of the data; 0 selects the value of the group's policy.
    duration max_age{};
};

/// Properties of an owner's reply that determine how the request ends.
struct entry_reply
{
    request_id id;
    /// Set if the owner, not the target, ended the request.
    std::optional<request_error> error;
    reroute_hint reroute = reroute_hint::none;
    transaction_status status = transaction_status::idle;
    std::optional<log_position> position;
    std::uint32_t load = 0;
};

/// State of the proxy at the time of an event.
struct entry_view
{
    time_point now;
    const directory& local_directory;
    /// Whether the last message from the control service is recent enough to
    /// accept new work.
    bool is_ready = false;
};

/// Counters of the entry role since its start.
struct entry_counts
{
    std::uint64_t requests = 0;
    std::uint64_t replica_reads = 0;
    std::uint64_t primary_reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t rerouted = 0;
    std::uint64_t refused = 0;
    std::uint64_t may_have_run = 0;
};

/// Sessions and requests at one moment, for dumps and for the drain.
struct entry_status
{
    std::size_t sessions = 0;
    std::size_t in_transaction = 0;
    std::size_t in_flight = 0;
    std::size_t parked = 0;
    entry_counts counts;
};

/// Faults that tests inject to verify that their checks detect them.
enum class entry_fault : std::uint8_t
{
    none,
    /// Reads ignore the session's floor.
    skip_floor_check,
    /// The answer of a replaced primary is returned to the caller.
    accept_replaced_primary,
};

/// Settings of an `entry_coordinator`.
struct entry_coordinator_options
{
    proxy_id self;
    zone_id zone;
    random_function random;
    /// The link over which the owner of a target is reached: `local_link` for
    /// this proxy, no value if the target is not served here or the link is
    /// not established yet.
    std::function<std::optional<link_id>(const target_id&, const proxy_id&)>
        find_link;
    entry_fault fault = entry_fault::none;
    pending_fault fault_of_pending = pending_fault::none;
};

/// Routes the requests of a proxy's sessions, decides when they wait or are
/// sent again and with which verdict they end, and tracks the sessions' floors.
///
/// A request waits ("is parked") while it has no route. It is sent again if an
/// owner answered that it did not run, or, if it is idempotent, after the link
/// was lost or the owner answered that it may have run; always within its
/// deadline and, once it may have run, within the retry budget. A statement of
/// an open transaction and a cancelled request are not sent again. Each request
/// ends with exactly one `answer_action` unless its session ends first.
class entry_coordinator
{
public:
    explicit entry_coordinator(entry_coordinator_options options);

    // Events from callers.
    auto open_session(time_point now, session_id session, group_id group,
                      session_token token) -> void;
    /// The session presented a token after its start.
    auto on_token(session_id session, const session_token& token) -> void;
    /// Returns the id of the request; no value if the session is not open or
    /// has a request already.
    [[nodiscard]] auto on_request(const entry_view& view, session_id session,
                                  const entry_request& request,
                                  entry_actions& actions)
        -> std::optional<request_id>;
    [[nodiscard]] auto on_cancel(const entry_view& view, session_id session)
        -> entry_actions;
    [[nodiscard]] auto on_closed(session_id session) -> entry_actions;

    // Events from owners.
    [[nodiscard]] auto on_reply(const entry_view& view, link_id link,
                                const entry_reply& reply) -> entry_actions;
    auto on_position(const entry_view& view, request_id question,
                     const target_position& answer) -> void;
    [[nodiscard]] auto on_link_down(const entry_view& view, link_id link)
        -> entry_actions;

    /// Routes the parked requests whose backoff has elapsed; call when a link
    /// is up, the directory changed or positions arrived.
    [[nodiscard]] auto retry(const entry_view& view) -> entry_actions;
    /// Ends requests whose deadline has passed, then as `retry`; call every
    /// 10 ms while there are requests.
    [[nodiscard]] auto tick(const entry_view& view) -> entry_actions;

    [[nodiscard]] auto status() const -> entry_status;
    [[nodiscard]] auto request_count() const noexcept -> std::size_t;
    /// Sessions without a request, by whether a transaction is open.
    [[nodiscard]] auto idle_sessions(bool is_in_transaction) const
        -> std::vector<session_id>;
    [[nodiscard]] auto is_in_transaction(session_id session) const -> bool;
    [[nodiscard]] auto token(session_id session) const -> session_token;

private:
    /// Where the transaction of a session is open.
    struct open_transaction
    {
        target_id target;
        owner_epoch epoch;
        link_id link;
    };

    struct active_request
    {
        request_id id;
        entry_request body;
        time_point deadline;
        target_id target;
        owner_epoch epoch;
        link_id link;
        /// A replica refused it, or it must not be sent to one.
        bool must_use_primary = false;
        bool is_at_replica = false;
        /// The caller cancelled it, so it must not be sent again.
        bool is_cancelled = false;
        /// It waits for a route.
        bool is_parked = false;
        time_point not_before{};
        /// How often it was parked; determines the backoff.
        unsigned park_count = 0;
        /// Time at which a read stops waiting for positions and uses the
        /// primary.
        time_point position_limit{};
    };

    struct session_state
    {
        group_id group;
        session_token token;
        time_point arrived;
        /// Whether the token covers all writes that the session may have read.
        bool has_floor = false;
        std::optional<open_transaction> transaction;
        std::optional<active_request> request;
    };

    struct query
    {
        group_id group;
        time_point asked_at;
    };

    /// Next destination of a request.
    struct route
    {
        enum class result : std::uint8_t
        {
            send,
            park,
            refuse,
        };
        result kind = result::park;
        target_id target;
        std::optional<log_position> floor;
        bool is_replica = false;
        std::optional<request_error> error;
    };

    // Routes, in entry_coordinator_routes.cpp.
    [[nodiscard]] auto choose_route(const entry_view& view,
                                    session_state& caller,
                                    entry_actions& actions) -> route;
    [[nodiscard]] static auto route_to_primary(const entry_view& view,
                                               const session_state& caller)
        -> route;
    [[nodiscard]] auto route_read(const entry_view& view, session_state& caller,
                                  entry_actions& actions) -> route;
    [[nodiscard]] static auto establish_floor(session_state& caller,
                                              const group_positions& group)
        -> bool;
    auto ask_positions(const entry_view& view, const group_id& id,
                       group_positions& group, duration interval,
                       entry_actions& actions) -> void;
    [[nodiscard]] auto is_awaiting_positions(time_point now,
                                             const group_id& group) const
        -> bool;
    [[nodiscard]] auto positions_of(const group_id& id) -> group_positions&;

    // Retries and verdicts, in entry_coordinator.cpp.
    auto dispatch(const entry_view& view, session_id id, entry_actions& actions)
        -> void;
    auto send(const entry_view& view, session_id id, session_state& caller,
              const route& where, entry_actions& actions) -> void;
    auto park(time_point now, session_id id, session_state& caller) -> void;
    auto park_until(session_id id, session_state& caller, time_point when)
        -> void;
    auto retry_parked(const entry_view& view, entry_actions& actions) -> void;
    auto reroute(const entry_view& view, const entry_reply& reply) -> void;
    [[nodiscard]] auto keep_for_retry(time_point now, link_id link,
                                      const entry_reply& reply) -> bool;
    auto finish(const entry_view& view, session_id id, entry_reply reply,
                entry_actions& actions) -> void;
    auto finish_with_error(const entry_view& view, session_id id,
                           const request_error& error, entry_actions& actions)
        -> void;
    auto end(const entry_view& view, const request_ending& ending,
             entry_actions& actions) -> void;
    auto record_answer(time_point now, session_state& caller,
                       const entry_reply& reply) -> void;
    auto count_answer(const active_request& request, const entry_reply& reply)
        -> void;
    /// Releases the read that is counted at the replica of the request.
    auto release_replica(session_state& caller) -> void;
    auto fence_reply(const entry_view& view, const session_state& caller,
                     entry_reply& reply) const -> void;
    static auto end_transaction_at_owner(session_id id, session_state& caller,
                                         entry_actions& actions) -> void;

    entry_coordinator_options options_;
    std::unordered_map<session_id, session_state> sessions_;
    std::map<group_id, group_positions> groups_;
    std::set<session_id> parked_;
    std::unordered_map<request_id, session_id> by_request_;
    pending_requests pending_;
    std::map<request_id, query> queries_;
    request_id last_request_;
    entry_counts counts_;
};

} // namespace rhubarbrun::inline v1

#endif
