#include "peer_connection.hpp"

#include <rhubarbrun/transport/event_log.hpp>

#include <algorithm>
#include <exception>
#include <mutex>
#include <utility>

namespace rhubarbrun::detail {

namespace {

/// Frames that one write gathers; a longer list would exceed IOV_MAX.
constexpr auto most_gathered = std::size_t{64};
/// How often the limits are checked within one heartbeat interval.
constexpr auto checks_per_heartbeat = 4;

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket, link_side side,
                                 const secret_key& key,
                                 const peer_identity& self,
                                 const peer_link_limits& limits,
                                 connection_events events)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      limits_(limits),
      events_(std::move(events)),
      info_{link_id(), {},
            0,         side == link_side::initiator,
            {},        datagram_keys{0, key, key}},
      handshake_(std::in_place, side, key, self, random_bytes(32)),
      started_(clock::now()),
      last_received_(started_),
      last_sent_(started_),
      last_used_(started_)
{
}

auto peer_connection::start() -> void
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->watch();
        self->begin_handshake();
    });
}

auto peer_connection::start(const asio::ip::tcp::endpoint& endpoint) -> void
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), endpoint] {
        if (self->is_closed_) {
            return;
        }
        self->watch();
        self->socket_.async_connect(endpoint, [self](error_code error) {
            if (error) {
                self->shut("connect: " + error.message());
            } else {
                self->begin_handshake();
            }
        });
    });
}

auto peer_connection::send(message_type type, std::string_view payload) -> bool
{
    if (payload.size() > frame_layout::max_payload) {
        return false;
    }
    {
        const auto lock = std::lock_guard(queue_mutex_);
        const auto is_heartbeat = type == message_type::heartbeat;
        const auto is_left = closing_ == close_stage::accepted && !is_heartbeat;
        if (is_queue_closed_ || !writer_ || is_left ||
            !is_in_version(type, info_.version))
        {
            return false;
        }
        if (queued_bytes_ + payload.size() <= limits_.send_queue) {
            if (!is_heartbeat) {
                note_use();
            }
            enqueue(writer_->write(type, payload));
            return true;
        }
        is_queue_closed_ = true;
    }
    close("the send queue is full");
    return false;
}

auto peer_connection::use() -> bool
{
    const auto lock = std::lock_guard(queue_mutex_);
    if (is_queue_closed_ || !writer_ || closing_ == close_stage::accepted) {
        return false;
    }
    note_use();
    return true;
}

auto peer_connection::note_use() -> void
{
    last_used_ = clock::now();
    if (closing_ == close_stage::asked) {
        closing_ = close_stage::none;
        enqueue(writer_->write(message_type::close_revoke, {}));
    }
}

auto peer_connection::is_unused_for(clock::time_point now, duration time) const
    -> bool
{
    return now - last_used_ >= time;
}

auto peer_connection::close(std::string reason) -> void
{
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), reason = std::move(reason)] {
                   self->shut(reason);
               });
}

auto peer_connection::begin_handshake() -> void
{
    if (is_closed_) {
        return;
    }
    auto error = error_code();
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    info_.remote = socket_.remote_endpoint(error);
    if (error) {
        shut("connect: " + error.message());
        return;
    }
    send_raw(handshake_->hello());
    read();
}

auto peer_connection::read() -> void
{
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](error_code error, std::size_t size) {
            if (self->is_closed_) {
                return;
            }
            if (error) {
                self->on_read_error(error);
                return;
            }
            self->last_received_ = clock::now();
            self->on_bytes(std::string_view(self->input_.data(), size));
            self->note_held();
            if (!self->is_closed_) {
                self->read();
            }
        });
}

auto peer_connection::on_read_error(error_code error) -> void
{
    if (error != asio::error::eof) {
        shut(error.message());
        return;
    }
    {
        const auto lock = std::lock_guard(queue_mutex_);
        was_idle_ = closing_ == close_stage::accepted;
    }
    shut(was_idle_ ? "idle" : "closed by the peer");
}

auto peer_connection::on_bytes(std::string_view bytes) -> void
{
    try {
        if (handshake_) {
            on_handshake_bytes(bytes);
        } else {
            reader_->append(bytes);
        }
        if (reader_) {
            deliver_frames();
        }
    } catch (const std::exception& fault) {
        shut(std::string("internal fault: ") + fault.what());
    }
}

auto peer_connection::on_handshake_bytes(std::string_view bytes) -> void
{
    auto answer = handshake_->receive(bytes);
    if (!answer.empty()) {
        send_raw(std::move(answer));
    }
    if (handshake_->fault() != handshake_fault::none) {
        shut("handshake: " + std::string(to_string(handshake_->fault())));
        return;
    }
    if (!handshake_->is_complete()) {
        return;
    }
    auto link = handshake_->take();
    handshake_.reset();
    info_.peer = std::move(link.peer);
    info_.version = link.version;
    info_.datagrams = link.datagrams;
    reader_.emplace(std::move(link.reader));
    {
        const auto lock = std::lock_guard(queue_mutex_);
        writer_.emplace(link.writer);
    }
    is_up_ = true;
    if (const auto refusal = events_.on_up(shared_from_this());
        !refusal.empty()) {
        is_up_ = false;
        shut(refusal);
    }
}

auto peer_connection::deliver_frames() -> void
{
    while (!is_closed_) {
        auto received = reader_->next();
        if (!received) {
            break;
        }
        on_received(std::move(*received));
    }
    if (!is_closed_ && reader_->fault() != frame_fault::none) {
        shut("frame: " + std::string(to_string(reader_->fault())));
    }
}

auto peer_connection::note_held() -> void
{
    const auto held = reader_ ? reader_->held_bytes() : std::size_t{0};
    if (events_.on_held && !is_closed_ && held != reported_held_) {
        reported_held_ = held;
        events_.on_held(shared_from_this(), held);
    }
}

auto peer_connection::on_received(frame received) -> void
{
    switch (received.type) {
    case message_type::heartbeat:
        return;
    case message_type::close_request:
        on_close_request(received.payload);
        return;
    case message_type::close_accept:
        on_close_accept(received.payload);
        return;
    default:
        break;
    }
    {
        const auto lock = std::lock_guard(queue_mutex_);
        if (closing_ == close_stage::accepted) {
            closing_ = close_stage::none;
        }
        note_use();
    }
    if (received.type != message_type::close_revoke) {
        events_.on_message(*this, received.type, std::move(received.payload));
    }
}

auto peer_connection::ask_to_close_if_idle(clock::time_point now) -> void
{
    const auto may_ask =
        is_up_ && info_.is_outgoing && events_.is_busy &&
        is_in_version(message_type::close_request, info_.version) &&
        info_.peer.who.role == peer_role::proxy;
    if (!may_ask) {
        return;
    }
    {
        const auto lock = std::lock_guard(queue_mutex_);
        const auto is_due =
            is_unused_for(now, limits_.idle) &&
            (closing_ == close_stage::none || now - asked_at_ >= limits_.idle);
        if (!is_due) {
            return;
        }
    }
    if (events_.is_busy(info_)) {
        return;
    }
    const auto lock = std::lock_guard(queue_mutex_);
    // A use since the check above means that the link is needed.
    if (is_unused_for(now, limits_.idle) && !is_queue_closed_) {
        closing_ = close_stage::asked;
        asked_at_ = now;
        enqueue(writer_->write(message_type::close_request,
                               std::to_string(++close_requests_)));
    }
}

auto peer_connection::on_close_request(const std::string& number) -> void
{
    if (!events_.is_busy || events_.is_busy(info_)) {
        return;
    }
    const auto lock = std::lock_guard(queue_mutex_);
    // Half of the time: whoever looked the link up before this moment has
    // that long to send, and a use that the peer has not seen yet counts.
    if (is_unused_for(clock::now(), limits_.idle / 2) && !is_queue_closed_) {
        closing_ = close_stage::accepted;
        enqueue(writer_->write(message_type::close_accept, number));
    }
}

auto peer_connection::on_close_accept(const std::string& number) -> void
{
    {
        const auto lock = std::lock_guard(queue_mutex_);
        const auto is_answer = closing_ == close_stage::asked &&
                               number == std::to_string(close_requests_);
        if (is_queue_closed_) {
            return;
        }
        if (!is_answer) {
            enqueue(writer_->write(message_type::close_revoke, {}));
            return;
        }
        is_queue_closed_ = true;
        was_idle_ = true;
    }
    shut("idle");
}

auto peer_connection::send_raw(std::string bytes) -> void
{
    const auto lock = std::lock_guard(queue_mutex_);
    enqueue(std::move(bytes));
}

auto peer_connection::enqueue(std::string bytes) -> void
{
    queued_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (!std::exchange(is_writing_, true)) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->write(); });
    }
}

auto peer_connection::write() -> void
{
    auto buffers = std::vector<asio::const_buffer>();
    {
        const auto lock = std::lock_guard(queue_mutex_);
        for (const auto& sent : in_flight_) {
            queued_bytes_ -= sent.size();
        }
        in_flight_.clear();
        if (is_closed_ || queue_.empty()) {
            is_writing_ = false;
            return;
        }
        const auto count = std::min(queue_.size(), most_gathered);
        const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
        std::move(queue_.begin(), end, std::back_inserter(in_flight_));
        queue_.erase(queue_.begin(), end);
        last_sent_ = clock::now();
    }
    buffers.reserve(in_flight_.size());
    for (const auto& bytes : in_flight_) {
        buffers.emplace_back(asio::buffer(bytes));
    }
    asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](error_code error, std::size_t /*size*/) {
            if (error) {
                self->shut("write: " + error.message());
            } else {
                self->write();
            }
        });
}

auto peer_connection::watch() -> void
{
    if (is_closed_) {
        return;
    }
    const auto now = clock::now();
    if (!is_up_ && now - started_ > limits_.setup) {
        shut("setup: timed out");
        return;
    }
    if (is_up_ && now - last_received_ > limits_.silence) {
        shut("silent");
        return;
    }
    auto is_idle = false;
    {
        const auto lock = std::lock_guard(queue_mutex_);
        is_idle = !is_writing_ && now - last_sent_ >= limits_.heartbeat;
    }
    if (is_up_ && is_idle) {
        (void)send(message_type::heartbeat, {});
    }
    ask_to_close_if_idle(now);
    timer_.expires_after(limits_.heartbeat / checks_per_heartbeat);
    timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error) {
            self->watch();
        }
    });
}

auto peer_connection::shut(const std::string& reason) -> void
{
    if (std::exchange(is_closed_, true)) {
        return;
    }
    {
        const auto lock = std::lock_guard(queue_mutex_);
        is_queue_closed_ = true;
        queue_.clear();
    }
    auto ignored = error_code();
    timer_.cancel(ignored);
    socket_.close(ignored);
    events_.on_closed(shared_from_this(), reason);
}

} // namespace rhubarbrun::detail
