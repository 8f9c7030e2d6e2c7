#ifndef RHUBARBRUN_TRANSPORT_DATAGRAMS_HPP
#define RHUBARBRUN_TRANSPORT_DATAGRAMS_HPP

#include <rhubarbrun/protocol/datagram_seal.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/peer_links.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Called on a thread of the io_context with an authentic, new datagram.
/// Calls come one after the other.
using datagram_hook =
    std::function<void(const link_info&, const asio::ip::udp::endpoint& sender,
                       message_type, std::string payload)>;

/// UDP messages between processes that have an established link.
///
/// All functions may be called from any thread.
class datagrams
{
public:
    datagrams(asio::io_context& context, datagram_hook on_datagram);
    ~datagrams();
    datagrams(const datagrams&) = delete;
    auto operator=(const datagrams&) -> datagrams& = delete;

    /// Binds the socket and starts to receive; returns the bound endpoint.
    /// @throws boost::system::system_error if the endpoint cannot be bound.
    auto open(const asio::ip::udp::endpoint& endpoint)
        -> asio::ip::udp::endpoint;

    /// Accepts and sends datagrams of this link; call from on_link_up.
    auto add(const link_info& link) -> void;

    /// Refuses datagrams of this link from now on; call from on_link_down.
    auto remove(const link_info& link) -> void;

    /// Sends one datagram; returns false if the link was not added, the
    /// payload is too large, or the socket refuses it.
    auto send(link_id link, const asio::ip::udp::endpoint& destination,
              message_type type, std::string_view payload) -> bool;

    /// Closes the socket; no hook is called afterwards but one that runs
    /// already.
    auto stop() -> void;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
