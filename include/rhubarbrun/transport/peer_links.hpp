#ifndef RHUBARBRUN_TRANSPORT_PEER_LINKS_HPP
#define RHUBARBRUN_TRANSPORT_PEER_LINKS_HPP

#include <rhubarbrun/protocol/link_handshake.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/link_traffic.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// One established link; never reused within a process.
using link_id = strong_id<struct link_id_tag, std::uint64_t>;

/// What is known about an established link.
struct link_info
{
    link_id id;
    peer_identity peer;
    std::uint8_t version = 0;
    /// Whether this end opened the link with `connect`.
    bool is_outgoing = false;
    asio::ip::tcp::endpoint remote;
    datagram_keys datagrams;
};

/// Limits of peer_links.
struct peer_link_limits
{
    /// A heartbeat is sent after this long without another message.
    duration heartbeat = std::chrono::milliseconds(200);
    /// A link is closed after this long without a received byte. With the
    /// first back-off a silent link is replaced within about 1 s.
    duration silence = std::chrono::milliseconds(700);
    /// Time for the TCP connection and the handshake together.
    duration setup = std::chrono::milliseconds(700);
    duration first_backoff = std::chrono::milliseconds(50);
    duration last_backoff = std::chrono::milliseconds(1000);
    /// The end that opened a link asks to close it after this long without a
    /// message other than heartbeats. Links without `peer_link_hooks::is_busy`
    /// at both ends and links to control members stay open.
    duration idle = std::chrono::seconds(10);
    /// Bytes that may wait in the send queue of one link.
    std::size_t send_queue = std::size_t{64} * 1024 * 1024;
    /// Links that may be open or in their handshake.
    std::size_t links = 4096;
    /// Accepted connections that have not identified themselves yet.
    std::size_t unknown_links = 256;
    /// Bytes of frames that are not whole, on all accepted links together; no
    /// value if they are not limited.
    std::optional<std::size_t> frame_bytes = std::nullopt;
};

/// Called on the threads of the io_context. Calls for one link come one after
/// the other, on_link_up first and on_link_down last; calls for different
/// links may run at the same time. They may call any function of peer_links
/// but its destructor.
struct peer_link_hooks
{
    std::function<void(const link_info&)> on_link_up;
    std::function<void(const link_info&, message_type, std::string)> on_message;
    std::function<void(const link_info&, std::string_view reason)> on_link_down;
    /// Whether a request or a transaction depends on the link, however long
    /// ago the last message was. Called without a lock.
    std::function<bool(const link_info&)> is_busy = {};
};

/// Whether the text is an IP address, as the names of control members are
/// where nothing but an address is known of them. A name that came in a message
/// or a file is checked before it is connected to.
[[nodiscard]] auto is_address(const std::string& text) -> bool;

/// Authenticated TCP links between rhubarbrun processes.
///
/// All functions may be called from any thread.
class peer_links
{
public:
    /// @param key deployment key
    peer_links(asio::io_context& context, secret_key key, peer_identity self,
               peer_link_hooks hooks, peer_link_limits limits = {});
    /// Stops; the io_context must not run hooks of this object any more, or
    /// `stop` must have been called while it still ran.
    ~peer_links();
    peer_links(const peer_links&) = delete;
    auto operator=(const peer_links&) -> peer_links& = delete;

    /// Accepts links; returns the bound endpoint.
    /// @throws boost::system::system_error if the endpoint cannot be bound.
    auto listen(const asio::ip::tcp::endpoint& endpoint)
        -> asio::ip::tcp::endpoint;

    /// Keeps one link to `peer` up until `forget` or until it is closed
    /// because it is idle. A process at `endpoint` with another name is
    /// refused. A second call changes the endpoint.
    auto connect(const peer_name& peer, const asio::ip::tcp::endpoint& endpoint)
        -> void;

    /// Ends what `connect` started and closes that link.
    auto forget(const peer_name& peer) -> void;

    /// Queues a message; returns false if the link is down, the peer's version
    /// of the protocol lacks the message, the payload exceeds
    /// `frame_layout::max_payload`, or the queue is full, which also closes the
    /// link. True does not mean that it arrives.
    auto send(link_id link, message_type type, std::string_view payload)
        -> bool;

    /// Sends over the newest link to `peer`.
    auto send(const peer_name& peer, message_type type,
              std::string_view payload) -> bool;

    /// The newest link to `peer` that takes messages, or no value. The link
    /// counts as used from now on, so that it is not closed as idle before
    /// the message for which it was looked up is sent.
    [[nodiscard]] auto use(const peer_name& peer) -> std::optional<link_id>;

    /// Closes a link; on_link_down follows with `reason`.
    auto close(link_id link, std::string_view reason) -> void;

    [[nodiscard]] auto links() const -> std::vector<link_info>;

    /// What was sent and received since the start, heartbeats apart.
    [[nodiscard]] auto traffic() const -> const link_traffic&;

    /// Closes everything; no hook is called for links closed by this.
    auto stop() -> void;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
