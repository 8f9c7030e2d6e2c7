#include "target_replication.hpp"

#include <rhubarbrun/transport/event_log.hpp>

namespace rhubarbrun::bench {

namespace {

constexpr auto retry_interval = std::chrono::milliseconds(100);

} // namespace

log_receiver::log_receiver(target_server& server,
                           asio::ip::tcp::endpoint primary, std::string name)
    : server_(server),
      primary_(std::move(primary)),
      name_(std::move(name)),
      socket_(server.context()),
      retry_timer_(server.context()),
      replay_timer_(server.context()),
      reader_(stream::max_frame_bytes, false)
{
}

auto log_receiver::start() -> void
{
    // Records that were received before, under another primary, are due now.
    while (server_.data().replay_next() != nullptr) {
    }
    connect();
}

auto log_receiver::stop() -> void
{
    is_stopped_ = true;
    ++connection_number_;
    retry_timer_.cancel();
    replay_timer_.cancel();
    auto failure = error_code{};
    socket_.close(failure);
}

auto log_receiver::disconnect() -> void
{
    ++connection_number_;
    auto failure = error_code{};
    socket_.close(failure);
    retry_later();
}

auto log_receiver::retry_later() -> void
{
    if (is_stopped_) {
        return;
    }
    retry_timer_.expires_after(retry_interval);
    retry_timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (!failure && !self->is_stopped_) {
            self->connect();
        }
    });
}

auto log_receiver::connect() -> void
{
    if (server_.is_partitioned()) {
        retry_later();
        return;
    }
    const auto number = ++connection_number_;
    auto closed = error_code{};
    socket_.close(closed);
    reader_ = pg_frame_reader(stream::max_frame_bytes, false);
    output_.clear();
    is_writing_ = false;
    socket_.async_connect(
        primary_, [self = shared_from_this(), number](error_code failure) {
            if (number != self->connection_number_) {
                return;
            }
            if (failure) {
                self->retry_later();
                return;
            }
            auto packet = std::string{};
            auto out = pg_writer(packet);
            out.begin('\0');
            out.put_uint32(pg::version_3_0);
            out.put_text("user");
            out.put_text("replicator");
            out.put_text("application_name");
            out.put_text(self->name_);
            out.put_text(stream::parameter);
            out.put_text("1");
            out.put_byte('\0');
            out.end();
            // A startup packet has no type byte.
            self->send(packet.substr(1));
            self->read();
        });
}

auto log_receiver::read() -> void
{
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this(),
         number = connection_number_](error_code failure, std::size_t count) {
            if (number != self->connection_number_ || self->is_stopped_) {
                return;
            }
            if (failure) {
                self->disconnect();
                return;
            }
            try {
                self->reader_.feed({self->chunk_.data(), count});
                while (const auto frame = self->reader_.next()) {
                    self->on_message(*frame);
                }
            } catch (const std::exception& error) {
                log_event("replication_broken", event_severity::warning)
                    .field("reason", error.what());
                self->disconnect();
                return;
            }
            if (number == self->connection_number_) {
                self->send_status();
                self->read();
            }
        });
}

auto log_receiver::on_message(const pg_frame& frame) -> void
{
    auto& data = server_.data();
    if (frame.type == stream::hello) {
        const auto hello = read_stream_message<stream_hello>(frame.body);
        const auto common = common_position(data.history(), data.received(),
                                            hello.history, hello.end);
        if (common < data.received()) {
            log_event("log_truncated")
                .field("server", name_)
                .field("from", data.received())
                .field("to", common);
            data.truncate(common);
            due_.clear();
            while (data.replay_next() != nullptr) {
            }
        }
        data.adopt_history(hello.history);
        auto bytes = std::string{};
        write_stream_message(bytes, stream::start, data.received());
        send(bytes);
    } else if (frame.type == stream::record) {
        if (!data.receive(read_stream_message<log_record>(frame.body))) {
            throw protocol_error("log record does not continue the log");
        }
        due_.push_back(std::chrono::steady_clock::now() + server_.lag());
        replay_due();
        server_.wake_replicas();
    }
}

auto log_receiver::replay_due() -> void
{
    if (is_stopped_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    auto is_changed = false;
    while (!due_.empty() && due_.front() <= now) {
        due_.pop_front();
        server_.data().replay_next();
        is_changed = true;
    }
    if (is_changed) {
        send_status();
    }
    if (due_.empty()) {
        return;
    }
    replay_timer_.expires_at(due_.front());
    replay_timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (!failure) {
            self->replay_due();
        }
    });
}

auto log_receiver::send_status() -> void
{
    auto bytes = std::string{};
    write_stream_message(
        bytes, stream::status,
        stream_status{server_.data().received(), server_.data().replayed()});
    send(bytes);
}

auto log_receiver::send(const std::string& bytes) -> void
{
    if (socket_.is_open()) {
        output_ += bytes;
        write();
    }
}

auto log_receiver::write() -> void
{
    if (is_writing_ || output_.empty()) {
        return;
    }
    is_writing_ = true;
    sending_ = std::exchange(output_, {});
    asio::async_write(socket_, asio::buffer(sending_),
                      [self = shared_from_this(), number = connection_number_](
                          error_code failure, std::size_t) {
                          if (number != self->connection_number_) {
                              return;
                          }
                          self->is_writing_ = false;
                          if (!failure) {
                              self->write();
                          }
                      });
}

} // namespace rhubarbrun::bench
