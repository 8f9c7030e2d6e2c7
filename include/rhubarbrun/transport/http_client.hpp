#ifndef RHUBARBRUN_TRANSPORT_HTTP_CLIENT_HPP
#define RHUBARBRUN_TRANSPORT_HTTP_CLIENT_HPP

#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/http_message.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace rhubarbrun::inline v1 {

/// Limits of one HTTP exchange.
struct http_client_limits
{
    /// For connecting, sending and receiving together.
    duration total = std::chrono::seconds(10);
    std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    /// Asked once the connection is open, on a thread of the io_context; the
    /// request is not sent if it returns false. Empty: it is sent.
    std::function<bool()> may_send = {};
};

/// How one HTTP exchange ended.
struct http_result
{
    /// No value if no complete response was received.
    std::optional<http_response> response;
    /// Why there is no response.
    std::string error;
    /// Whether the request may have reached the server.
    bool may_have_been_sent = false;
};

/// Sends one request over a new connection; `done` is called once on a thread
/// of the io_context.
auto http_send(asio::io_context& context,
               const asio::ip::tcp::endpoint& endpoint, http_request request,
               std::function<void(http_result)> done,
               http_client_limits limits = {}) -> void;

/// Sends one request and waits for its end.
[[nodiscard]] auto http_send_and_wait(const asio::ip::tcp::endpoint& endpoint,
                                      http_request request,
                                      http_client_limits limits = {})
    -> http_result;

} // namespace rhubarbrun::inline v1

#endif
