#ifndef RHUBARBRUN_SRC_TRANSPORT_PEER_CONNECTION_HPP
#define RHUBARBRUN_SRC_TRANSPORT_PEER_CONNECTION_HPP

#include <rhubarbrun/transport/peer_links.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::detail {

class peer_connection;

/// How far the agreement to close an idle link is.
enum class close_stage : std::uint8_t
{
    none,
    /// This end asked; it still uses the link, which revokes the request.
    asked,
    /// This end accepted and sends no message unless the peer revokes.
    accepted,
};

/// What a connection tells its owner, on the connection's strand.
struct connection_events
{
    /// The handshake is complete. Returns why the link is refused, or an
    /// empty text.
    std::function<std::string(const std::shared_ptr<peer_connection>&)> on_up;
    std::function<void(peer_connection&, message_type, std::string)> on_message;
    /// Bytes of a frame that is not whole are held, or no longer; null if they
    /// are not counted.
    std::function<void(const std::shared_ptr<peer_connection>&, std::size_t)>
        on_held;
    /// Whether work depends on the link; null if it must stay open.
    std::function<bool(const link_info&)> is_busy;
    /// Called once per connection, up or not.
    std::function<void(const std::shared_ptr<peer_connection>&,
                       std::string_view reason)>
        on_closed;
};

/// One TCP connection of peer_links: handshake, frames, heartbeats and limits.
///
/// Runs on its own strand; `send` and `close` may be called from any thread.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    peer_connection(asio::ip::tcp::socket socket, link_side side,
                    const secret_key& key, const peer_identity& self,
                    const peer_link_limits& limits, connection_events events);

    /// Starts the handshake on an accepted socket.
    auto start() -> void;

    /// Connects, then starts the handshake.
    auto start(const asio::ip::tcp::endpoint& endpoint) -> void;

    auto send(message_type type, std::string_view payload) -> bool;

    auto close(std::string reason) -> void;

    /// Marks the link as used; returns whether it takes messages.
    [[nodiscard]] auto use() -> bool;

    /// Whether both ends agreed to close the link; to be read on the strand.
    [[nodiscard]] auto was_idle() const noexcept -> bool { return was_idle_; }

    /// Set by the owner in on_up; fixed from then on.
    auto set_id(link_id id) -> void { info_.id = id; }

    /// Valid from on_up on.
    [[nodiscard]] auto info() const noexcept -> const link_info&
    {
        return info_;
    }

    /// Whether on_up accepted the link; to be read on the strand.
    [[nodiscard]] auto was_up() const noexcept -> bool { return is_up_; }

private:
    using clock = std::chrono::steady_clock;

    auto begin_handshake() -> void;
    auto read() -> void;
    auto on_bytes(std::string_view bytes) -> void;
    auto on_handshake_bytes(std::string_view bytes) -> void;
    auto deliver_frames() -> void;
    auto note_held() -> void;
    auto write() -> void;
    auto watch() -> void;
    auto shut(const std::string& reason) -> void;
    auto send_raw(std::string bytes) -> void;
    auto on_read_error(error_code error) -> void;
    auto on_received(frame received) -> void;
    auto ask_to_close_if_idle(clock::time_point now) -> void;
    auto on_close_request(const std::string& number) -> void;
    auto on_close_accept(const std::string& number) -> void;
    /// The three below are called with `queue_mutex_` held.
    auto enqueue(std::string bytes) -> void;
    auto note_use() -> void;
    [[nodiscard]] auto is_unused_for(clock::time_point now, duration time) const
        -> bool;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    peer_link_limits limits_;
    connection_events events_;
    link_info info_;
    std::optional<link_handshake> handshake_;
    std::optional<frame_reader> reader_;
    std::array<char, std::size_t{16} * 1024> input_{};
    std::vector<std::string> in_flight_;
    clock::time_point started_;
    clock::time_point last_received_;
    std::size_t reported_held_ = 0;
    bool is_up_ = false;
    bool is_closed_ = false;
    bool was_idle_ = false;

    /// Guards the members below.
    ranked_mutex queue_mutex_{lock_rank::link_queues};
    std::optional<frame_writer> writer_;
    std::vector<std::string> queue_;
    /// Of the queue and of what is in flight.
    std::size_t queued_bytes_ = 0;
    bool is_writing_ = false;
    bool is_queue_closed_ = false;
    clock::time_point last_sent_;
    /// Of the last message in either direction, heartbeats excluded.
    clock::time_point last_used_;
    close_stage closing_ = close_stage::none;
    clock::time_point asked_at_;
    /// Counts this end's close requests, so that an answer to an earlier one
    /// is not taken for an answer to the last.
    std::uint64_t close_requests_ = 0;
};

} // namespace rhubarbrun::detail

#endif
