#ifndef RHUBARBRUN_TRANSPORT_ENTRY_ROUTER_HPP
#define RHUBARBRUN_TRANSPORT_ENTRY_ROUTER_HPP

#include <rhubarbrun/coordination/entry_coordinator.hpp>
#include <rhubarbrun/protocol/caller_request.hpp>
#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/session_token.hpp>
#include <rhubarbrun/transport/latency_window.hpp>
#include <rhubarbrun/transport/owned_target.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <functional>
#include <memory>
#include <optional>
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

/// Latencies of the entry role by kind of request; no value for a kind without
/// an answer in the window.
struct entry_latencies
{
    std::optional<latency_summary> writes;
    std::optional<latency_summary> replica_reads;
    std::optional<latency_summary> primary_reads;
};

/// The entry role: carries out what `entry_coordinator` decides on the requests
/// of this proxy's sessions.
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
    /// Times from request to answer in the last whole minute.
    [[nodiscard]] auto latencies() -> entry_latencies;

    /// Whether any request has not been answered yet.
    [[nodiscard]] auto has_requests() const -> bool;

    /// Sessions with an open transaction and no request in flight.
    [[nodiscard]] auto sessions_idle_in_transaction() const
        -> std::vector<session_id>;

private:
    using step = std::function<void()>;
    using steps = std::vector<step>;

    /// What the coordinator does not need of a session.
    struct caller_state
    {
        /// Database user and application.
        std::string name;
        /// The request that was not answered yet.
        caller_request request;
        time_point asked_at;
    };

    /// Answers that reached their callers with a result of the target.
    struct latency_windows
    {
        latency_window writes;
        latency_window replica_reads;
        latency_window primary_reads;
    };

    /// Calls `decide` with the lock held and carries out the actions that it
    /// returns. `reply` holds the result for the answer to its request.
    auto handle(const std::function<entry_actions(const entry_view&)>& decide,
                execute_reply reply = {}) -> void;
    [[nodiscard]] auto prepare(time_point now, entry_actions actions,
                               execute_reply& reply) -> steps;
    [[nodiscard]] auto prepare_send(const send_action& action) -> step;
    [[nodiscard]] auto prepare_cancel(const cancel_action& action) -> step;
    [[nodiscard]] auto prepare_query(const query_action& action) -> step;
    auto note_latency(time_point now, const caller_state& caller,
                      bool is_at_replica) -> void;
    [[nodiscard]] auto prepare_answer(time_point now, answer_action action,
                                      execute_reply& reply) -> step;
    [[nodiscard]] auto make_coordinator_options() -> entry_coordinator_options;

    entry_options options_;
    entry_hooks hooks_;
    mutable ranked_mutex mutex_{lock_rank::sessions};
    entry_coordinator coordinator_;
    latency_windows latencies_;
    std::unordered_map<session_id, caller_state> callers_;
};

} // namespace rhubarbrun::inline v1

#endif
