#ifndef RHUBARBRUN_TRANSPORT_ACCEPTOR_HPP
#define RHUBARBRUN_TRANSPORT_ACCEPTOR_HPP

#include <rhubarbrun/transport/asio.hpp>

#include <optional>

namespace rhubarbrun::inline v1 {

/// Starts to listen at `endpoint`; port 0 stands for any. Returns the endpoint
/// in use. Accepted sockets hold at most about twice `receive_buffer` bytes
/// that were not read; by default the system decides, up to several MiB each.
///
/// @throws system_error if the endpoint cannot be bound.
inline auto listen_at(asio::ip::tcp::acceptor& acceptor,
                      const asio::ip::tcp::endpoint& endpoint,
                      std::optional<int> receive_buffer = std::nullopt)
    -> asio::ip::tcp::endpoint
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    if (receive_buffer) {
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(*receive_buffer));
    }
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor.local_endpoint();
}

} // namespace rhubarbrun::inline v1

#endif
