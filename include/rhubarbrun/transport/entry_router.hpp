#ifndef RHUBARBRUN_TRANSPORT_ENTRY_ROUTER_HPP
#define RHUBARBRUN_TRANSPORT_ENTRY_ROUTER_HPP

#include <rhubarbrun/coordination/pending_requests.hpp>
#include <rhubarbrun/coordination/replica_choice.hpp>
#include <rhubarbrun/protocol/caller_request.hpp>
#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/session_token.hpp>
#include <rhubarbrun/transport/owned_target.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What the entry role needs from its proxy; all may be called from any
/// thread. The look-ups (`now` to `find_link`) are called with the lock of the
/// sessions held and may only take locks of a higher rank; the others are
/// called without a lock.
struct entry_hooks
{
    clock_function now;
    random_function random;
    std::function<directory_view()> view;
    /// Whether control was heard recently enough to take new work.
    std::function<bool()> is_ready;
    /// The target's owner in this process; null if another proxy owns it.
    std::function<std::shared_ptr<owned_target>(const target_id&)> find_local;
    /// The established link to a proxy; no value after starting to open one.
    std::function<std::optional<link_id>(const proxy_id&)> find_link;
    /// Sends over a link; false if the link is down.
    std::function<bool(link_id, const execute_request&)> send_request;
    std::function<bool(link_id, const cancel_request&)> send_cancel;
    std::function<bool(link_id, const position_query&)> send_query;
    /// Answers a caller.
    std::function<void(session_id, std::string token)> accept;
    std::function<void(session_id, request_error)> refuse;
    std::function<void(session_id, execute_reply,
                       std::optional<std::string> token)>
        complete;
};

/// Settings of an `entry_router`.
struct entry_options
{
    proxy_identity self;
    zone_id zone;
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

/// The entry role: routes each request of a session to the owner of a target,
/// and keeps the session's floors.
///
/// Safe for use from several threads; one lock of rank `sessions` guards the
/// tables.
class entry_router
{
public:
    entry_router(entry_options options, entry_hooks hooks);

    // Events from callers.
    auto on_session(session_id session, const session_start& start) -> void;
    auto on_request(session_id session, caller_request request) -> void;
    auto on_token(session_id session, const std::string& token) -> void;
    auto on_cancel(session_id session) -> void;
    auto on_closed(session_id session) -> void;

    // Events from other proxies and from control.
    auto on_reply(link_id link, execute_reply reply) -> void;
    auto on_position(const position_answer& answer) -> void;
    auto on_link_up() -> void;
    auto on_link_down(link_id link) -> void;
    auto on_directory() -> void;

    /// Expires requests and retries parked ones; call every 10 ms while there
    /// are any.
    auto tick() -> void;

    [[nodiscard]] auto status() const -> entry_status;

    /// Whether any request has not been answered yet.
    [[nodiscard]] auto has_requests() const -> bool;

    /// Sessions with an open transaction and no request in flight.
    [[nodiscard]] auto sessions_idle_in_transaction() const
        -> std::vector<session_id>;

private:
    using action = std::function<void()>;
    using actions = std::vector<action>;

    /// Where the transaction of a session is open.
    struct open_transaction
    {
        target_id target;
        owner_epoch epoch;
        link_id link;
        bool is_read_only = false;
    };

    struct running_request
    {
        request_id id;
        caller_request body;
        time_point deadline;
        target_id target;
        owner_epoch epoch;
        link_id link;
        /// A replica refused it, or it may not go to one.
        bool must_use_primary = false;
        bool is_at_replica = false;
        /// It waits for a route.
        bool is_parked = false;
        time_point not_before{};
        /// How often it was parked, for the pause before the next attempt.
        unsigned parkings = 0;
        /// Until when a read waits for positions before it uses the primary.
        time_point position_limit{};
    };

    struct session_state
    {
        group_id group;
        /// Database user and application.
        std::string caller;
        session_token token;
        time_point arrived;
        /// Whether the token covers what the session may have seen before.
        bool has_floor = false;
        std::optional<open_transaction> transaction;
        std::optional<running_request> running;
    };

    /// What this entry knows of the servers of one group.
    struct group_view
    {
        explicit group_view(replica_choice_options options)
            : choice(std::move(options))
        {
        }

        replica_choice choice;
        /// Newest answer of the primary's owner.
        time_point acknowledged_at{};
        std::optional<log_position> acknowledged;
        std::set<target_id> followers;
        time_point queried_at{};
    };

    struct query
    {
        group_id group;
        time_point asked_at;
    };

    /// Where a request goes next.
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

    static auto run(const actions& todo) -> void;
    auto dispatch(session_id id, session_state& caller, actions& todo) -> void;
    [[nodiscard]] auto choose_route(session_state& caller, actions& todo)
        -> route;
    [[nodiscard]] auto route_to_primary(const session_state& caller) const
        -> route;
    [[nodiscard]] auto route_read(session_state& caller, actions& todo)
        -> route;
    [[nodiscard]] auto establish_floor(session_state& caller, group_view& group)
        -> bool;
    auto send(session_id id, session_state& caller, const route& where,
              actions& todo) -> void;
    [[nodiscard]] auto make_request(session_id id, const session_state& caller,
                                    const target_record& target,
                                    const route& where) const
        -> execute_request;
    auto park(session_id id, session_state& caller) -> void;
    auto park_until(session_id id, session_state& caller, time_point when)
        -> void;
    auto retry_parked(actions& todo) -> void;
    auto finish(session_id id, execute_reply reply, actions& todo) -> void;
    auto finish_with_error(session_id id, const request_error& error,
                           actions& todo) -> void;
    auto note_answer(session_state& caller, const execute_reply& reply) -> void;
    auto fence_reply(const session_state& caller, execute_reply& reply) const
        -> void;
    auto end_transaction_at_owner(session_id id, session_state& caller,
                                  actions& todo) -> void;
    auto send_cancel(const target_id& target, link_id link,
                     const cancel_request& message, actions& todo) -> void;
    auto refresh(const group_id& id, group_view& group, actions& todo) -> void;
    [[nodiscard]] auto group_state(const group_id& id) -> group_view&;

    entry_options options_;
    entry_hooks hooks_;
    mutable ranked_mutex mutex_{lock_rank::sessions};
    std::unordered_map<session_id, session_state> sessions_;
    std::map<group_id, group_view> groups_;
    std::set<session_id> parked_;
    std::unordered_map<request_id, session_id> by_request_;
    pending_requests pending_;
    std::map<request_id, query> queries_;
    request_id last_request_;
    entry_counts counts_;
};

/// Stands for "this process" where a link is expected.
inline constexpr auto local_link = link_id(~std::uint64_t{0});

} // namespace rhubarbrun::inline v1

#endif
