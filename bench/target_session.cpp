#include "target_session.hpp"

#include "target_replication.hpp"

#include <rhubarbrun/protocol/session_settings.hpp>

#include <cstdlib>

namespace rhubarbrun::bench {

namespace {

constexpr auto max_frame_bytes = std::size_t{16} << 20U;
/// Unsent bytes above which a replica gets no further records for now.
constexpr auto replica_backlog_bytes = std::size_t{1} << 20U;

} // namespace

target_session::target_session(target_server& server,
                               asio::ip::tcp::socket socket, backend_key key)
    : server_(server),
      socket_(std::move(socket)),
      timer_(server.context()),
      idle_timer_(server.context()),
      silence_timer_(server.context()),
      key_(key),
      reader_(max_frame_bytes, true)
{
}

auto target_session::start() -> void
{
    auto failure = error_code{};
    socket_.set_option(asio::ip::tcp::no_delay(true), failure);
    read();
}

auto target_session::close() -> void
{
    if (std::exchange(is_closed_, true)) {
        return;
    }
    timer_.cancel();
    idle_timer_.cancel();
    silence_timer_.cancel();
    auto failure = error_code{};
    socket_.close(failure);
    if (is_timed_) {
        is_timed_ = false;
        server_.end_statement();
    }
    running_.reset();
    server_.statements().rollback(transaction_);
    server_.remove(key_.process);
}

auto target_session::terminate(const std::string& code,
                               const std::string& message) -> void
{
    if (is_closed_) {
        return;
    }
    pg_writer(output_).error("FATAL", code, message);
    is_closing_ = true;
    if (is_muted_) {
        close();
    }
    write();
}

auto target_session::wait_while_silent() -> bool
{
    if (is_muted_) {
        return true;
    }
    const auto until = server_.silent_until();
    if (!until) {
        return false;
    }
    if (!std::exchange(is_waiting_for_silence_, true)) {
        silence_timer_.expires_at(*until);
        silence_timer_.async_wait([self = shared_from_this()](error_code) {
            self->is_waiting_for_silence_ = false;
            if (!self->is_closed_) {
                self->advance();
                self->write();
            }
        });
    }
    return true;
}

auto target_session::read() -> void
{
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code failure, std::size_t count) {
            if (self->is_closed_) {
                return;
            }
            if (failure) {
                self->close();
                return;
            }
            self->reader_.feed({self->chunk_.data(), count});
            self->advance();
            if (!self->is_closed_) {
                self->read();
            }
        });
}

auto target_session::write() -> void
{
    if (is_closed_ || is_writing_ || wait_while_silent()) {
        return;
    }
    if (output_.empty()) {
        if (is_closing_) {
            close();
        }
        return;
    }
    is_writing_ = true;
    sending_ = std::exchange(output_, {});
    asio::async_write(
        socket_, asio::buffer(sending_),
        [self = shared_from_this()](error_code failure, std::size_t) {
            self->is_writing_ = false;
            if (self->is_closed_) {
                return;
            }
            if (failure) {
                self->close();
                return;
            }
            if (self->is_streaming_) {
                self->send_records();
            }
            self->write();
        });
}

auto target_session::advance() -> void
{
    try {
        while (!is_closed_ && !is_closing_ && !is_busy_ && !wait_while_silent())
        {
            auto frame = reader_.next();
            if (!frame) {
                break;
            }
            idle_timer_.cancel();
            handle(*frame);
        }
    } catch (const std::exception& error) {
        terminate(std::string(sqlstate::protocol_violation), error.what());
    }
    write();
}

auto target_session::handle(const pg_frame& frame) -> void
{
    if (is_replica_) {
        on_replica_message(frame);
        return;
    }
    if (frame.type == '\0') {
        on_startup(frame.body);
        return;
    }
    if (is_skipping_ && frame.type != pg::sync && frame.type != pg::terminate) {
        return;
    }
    switch (frame.type) {
    case pg::query:
        on_query(frame.body);
        break;
    case pg::parse:
        on_parse(frame.body);
        break;
    case pg::bind:
        on_bind(frame.body);
        break;
    case pg::describe:
        on_describe(frame.body);
        break;
    case pg::execute:
        on_execute(frame.body);
        break;
    case pg::close:
        on_close(frame.body);
        break;
    case pg::sync:
        on_sync();
        break;
    case pg::flush:
        break;
    case pg::terminate:
        close();
        break;
    default:
        throw protocol_error("message type is not known");
    }
}

// Startup

auto target_session::on_startup(const std::string& body) -> void
{
    auto reader = pg_field_reader(body);
    const auto version = reader.read_uint32();
    if (version == pg::ssl_request || version == pg::gssenc_request) {
        output_.push_back('N');
        return;
    }
    if (version == pg::cancel_request) {
        auto key = backend_key{};
        key.process = reader.read_uint32();
        key.secret = reader.read_uint32();
        server_.cancel(key);
        close();
        return;
    }
    for (const auto& [name, value] : parse_startup(body)) {
        if (name == "application_name") {
            application_name_ = value;
        } else if (name == stream::parameter) {
            is_replica_ = true;
        } else if (name == "options") {
            const auto options = parse_startup_options(value);
            for (const auto& [option, text] : options.value_or(
                     std::vector<std::pair<std::string, std::string>>{}))
            {
                if (option == "idle_in_transaction_session_timeout") {
                    idle_limit_ = std::chrono::milliseconds(
                        std::strtoll(text.c_str(), nullptr, 10));
                }
            }
        }
    }
    reader_.end_startup();
    if (is_replica_) {
        start_replica();
    } else if (server_.client_count() > server_.options().connection_limit) {
        terminate(std::string(sqlstate::too_many_connections),
                  "sorry, too many clients already");
    } else {
        start_client();
    }
}

auto target_session::start_client() -> void
{
    is_busy_ = true;
    timer_.expires_after(server_.options().connect_delay);
    timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (failure || self->is_closed_) {
            return;
        }
        auto out = pg_writer(self->output_);
        out.authentication_ok();
        out.parameter_status("server_version", "15.0");
        out.parameter_status("server_encoding", "UTF8");
        out.parameter_status("client_encoding", "UTF8");
        out.parameter_status("DateStyle", "ISO, MDY");
        out.parameter_status("integer_datetimes", "on");
        out.parameter_status("standard_conforming_strings", "on");
        out.backend_key_data(self->key_);
        self->is_busy_ = false;
        self->is_started_ = true;
        self->ready();
        self->advance();
    });
}

// Replication

auto target_session::start_replica() -> void
{
    if (server_.is_partitioned()) {
        close();
        return;
    }
    write_stream_message(
        output_, stream::hello,
        stream_hello{server_.data().history(), server_.data().received()});
    write();
}

auto target_session::on_replica_message(const pg_frame& frame) -> void
{
    if (frame.type == stream::start) {
        next_position_ = read_stream_message<std::uint64_t>(frame.body);
        is_streaming_ = true;
        send_records();
    } else if (frame.type == stream::status) {
        const auto status = read_stream_message<stream_status>(frame.body);
        received_ = status.received;
        replayed_ = status.replayed;
    }
}

auto target_session::send_records() -> void
{
    while (output_.size() < replica_backlog_bytes) {
        const auto* record = server_.data().record_at(next_position_);
        if (record == nullptr) {
            break;
        }
        write_stream_message(output_, stream::record, *record);
        next_position_ = record->end;
    }
    write();
}

} // namespace rhubarbrun::bench
