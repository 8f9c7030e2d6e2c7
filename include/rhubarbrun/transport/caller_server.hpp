#ifndef RHUBARBRUN_TRANSPORT_CALLER_SERVER_HPP
#define RHUBARBRUN_TRANSPORT_CALLER_SERVER_HPP

#include <rhubarbrun/protocol/caller_protocol.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rhubarbrun::inline v1 {

struct caller_server_options
{
    asio::ip::tcp::endpoint listen;
    /// Connections beyond this are answered 53300 and closed.
    std::size_t max_connections = 10'000;
    /// Time for the startup packet and the answer to it.
    duration startup_timeout = std::chrono::seconds(10);
    /// Keepalive probes start after `keepalive_idle` and are sent every
    /// `keepalive_interval`; the connection ends after `keepalive_count`
    /// unanswered ones.
    std::chrono::seconds keepalive_idle{10};
    std::chrono::seconds keepalive_interval{5};
    int keepalive_count = 3;
    /// Time for which sent bytes may stay unacknowledged, or a caller may
    /// not read an answer.
    duration send_timeout = std::chrono::seconds(30);
    caller_protocol_options protocol;
    /// Draws the secrets of cancel keys; must not be predictable.
    random_function random;
    /// Part of the cancel keys; see `cancel_keys.hpp`.
    std::uint32_t proxy_tag = 0;
};

/// Called on the strand of the session, never with a lock held.
struct caller_server_hooks
{
    /// Answer with `accept` or `refuse`.
    std::function<void(session_id, const session_start&)> on_session;
    /// Answer with `complete`.
    std::function<void(session_id, caller_request)> on_request;
    std::function<void(session_id, const std::string& token)> on_token;
    /// A CancelRequest, and the session that its key names; no session if the
    /// key is not known here.
    std::function<void(const backend_key&, std::optional<session_id>)>
        on_cancel;
    /// The session ended; a request that was not completed must not be
    /// completed any more. Called once for each `on_session`.
    std::function<void(session_id)> on_closed;
};

/// Accepts callers and runs one `caller_protocol` per connection.
///
/// Each connection has a strand; all public functions may be called from any
/// thread. A connection is read only while its queue has room, and at most one
/// write per connection is under way, so that a caller that does not read its
/// answers costs a bounded amount of memory.
class caller_server
{
public:
    /// @throws boost::system::system_error if the endpoint cannot be bound
    caller_server(asio::io_context& context, caller_server_options options,
                  caller_server_hooks hooks);
    caller_server(const caller_server&) = delete;
    auto operator=(const caller_server&) -> caller_server& = delete;
    /// Closes everything; the hooks are not called after this returns if no
    /// thread runs the context.
    ~caller_server();

    auto start() -> void;
    [[nodiscard]] auto port() const -> std::uint16_t;

    auto accept(session_id session, std::string token) -> void;
    auto refuse(session_id session, request_error error) -> void;
    auto complete(session_id session, execute_reply reply,
                  std::optional<std::string> new_token) -> void;
    /// Drops the connection at once.
    auto close(session_id session) -> void;

    /// Stops accepting, and ends each session with 57P01 as soon as it is
    /// between statements and outside a transaction.
    auto drain() -> void;
    /// Stops accepting and drops all connections.
    auto stop() -> void;

    /// The session with this cancel key.
    [[nodiscard]] auto find_session(const backend_key& key) const
        -> std::optional<session_id>;

    [[nodiscard]] auto connection_count() const -> std::size_t;

private:
    class connection;
    class shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace rhubarbrun::inline v1

#endif
