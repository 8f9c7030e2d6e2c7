#ifndef RHUBARBRUN_TRANSPORT_HTTP_SERVER_HPP
#define RHUBARBRUN_TRANSPORT_HTTP_SERVER_HPP

#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/http_message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rhubarbrun::inline v1 {

/// Sends the response; call once, from any thread, at once or later.
using http_reply = std::function<void(http_response)>;

/// Handles one request on a thread of the io_context; handlers run at the
/// same time. An exception is answered with status 500.
using http_handler = std::function<void(const http_request&, http_reply)>;

/// Limits of an HTTP server.
struct http_server_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    /// Time to receive a whole request, and to send a whole response.
    duration transfer = std::chrono::seconds(10);
    /// Time for the handler to reply; then status 504.
    duration handler = std::chrono::seconds(15);
    std::size_t connections = 1024;
    /// Bytes that all requests together may hold; no value if they are not
    /// limited. Reading stops before connections are closed.
    std::optional<std::size_t> memory = std::nullopt;
    /// Whether connections that wait for a request are closed, the oldest
    /// first, while there are as many as may be. Otherwise new ones are closed.
    bool is_making_room = false;
    /// Bytes that the system holds for a connection before they are read; no
    /// value if it decides.
    std::optional<int> receive_buffer = std::nullopt;
};

/// Connections that an HTTP server closed since its start.
struct http_server_counters
{
    std::uint64_t closed_for_memory = 0;
    std::uint64_t closed_for_room = 0;
};

/// HTTP/1.1 server with routes. Functions may be called from any thread.
class http_server
{
public:
    explicit http_server(asio::io_context& context,
                         http_server_limits limits = {});
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// Adds a route; a pattern part `{name}` matches one path part, which the
    /// handler finds in `parameters`. Add all routes before `listen`.
    auto route(std::string method, const std::string& pattern,
               http_handler handler) -> void;

    /// Accepts connections; returns the bound endpoint.
    /// @throws boost::system::system_error if the endpoint cannot be bound.
    auto listen(const asio::ip::tcp::endpoint& endpoint)
        -> asio::ip::tcp::endpoint;

    /// Begins a planned stop: accepts no further connections, closes those that
    /// wait for a request, and each of the others after its response.
    auto drain() -> void;

    /// Whether a request that was received whole has no response yet.
    [[nodiscard]] auto has_open_requests() const noexcept -> bool;

    [[nodiscard]] auto counters() const noexcept -> http_server_counters;

    /// Closes everything; later replies are dropped.
    auto stop() -> void;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
