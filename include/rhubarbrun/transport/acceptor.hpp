#ifndef RHUBARBRUN_TRANSPORT_ACCEPTOR_HPP
#define RHUBARBRUN_TRANSPORT_ACCEPTOR_HPP

#include <rhubarbrun/transport/asio.hpp>

namespace rhubarbrun::inline v1 {

/// Starts to listen at `endpoint`; port 0 stands for any. Returns the endpoint
/// in use.
///
/// @throws system_error if the endpoint cannot be bound.
inline auto listen_at(asio::ip::tcp::acceptor& acceptor,
                      const asio::ip::tcp::endpoint& endpoint)
    -> asio::ip::tcp::endpoint
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor.local_endpoint();
}

} // namespace rhubarbrun::inline v1

#endif
