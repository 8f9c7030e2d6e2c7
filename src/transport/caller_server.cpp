#include <rhubarbrun/transport/caller_server.hpp>

#include <rhubarbrun/transport/acceptor.hpp>

#include <rhubarbrun/coordination/cancel_keys.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

namespace {

using tcp = asio::ip::tcp;

constexpr auto read_chunk_bytes = std::size_t{16384};
/// Connections beyond the limit that may wait for their 53300; a client reads
/// it only after it has sent its startup packet.
constexpr auto refusal_slots = std::size_t{64};
/// Draws of a secret until the key differs from those in use. Keys of sessions
/// with one process id are equal with a chance of 1 in 2^32 for each draw.
constexpr auto most_secret_draws = 4;
constexpr auto accept_pause = std::chrono::milliseconds(100);
/// Time for a caller to read the last message before its connection closes.
constexpr auto linger_time = std::chrono::seconds(1);
/// Time between an answer and 57P01, so that the caller reads the two apart;
/// see `caller_protocol::end_if_idle`.
constexpr auto drain_pause = std::chrono::milliseconds(5);
/// A session that sends its next request within `drain_pause` after every
/// answer is ended right after an answer from then on.
constexpr auto drain_limit = std::chrono::seconds(1);

auto set_option(tcp::socket& socket, int level, int name, int value) -> void
{
    // Without the option the connection still works, so that a failure on an
    // unusual kernel is no reason to refuse the caller.
    static_cast<void>(::setsockopt(socket.native_handle(), level, name, &value,
                                   sizeof(value)));
}

} // namespace

class caller_server::shared_state
    : public std::enable_shared_from_this<shared_state>
{
public:
    shared_state(asio::io_context& context, caller_server_options options,
                 caller_server_hooks hooks);

    auto start() -> void;
    auto stop_accepting() -> void;
    auto stop() -> void;
    auto drain() -> void;
    /// Drops the table of connections, which refer to this object.
    auto forget_connections() -> void;
    [[nodiscard]] auto find(session_id session) -> std::shared_ptr<connection>;
    [[nodiscard]] auto find_key(const backend_key& key)
        -> std::optional<session_id>;
    auto remove(session_id session) -> void;
    [[nodiscard]] auto list() -> std::vector<std::shared_ptr<connection>>;
    [[nodiscard]] auto count() -> std::size_t;
    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }
    [[nodiscard]] auto options() const -> const caller_server_options&
    {
        return options_;
    }
    [[nodiscard]] auto hooks() const -> const caller_server_hooks&
    {
        return hooks_;
    }

private:
    auto accept_next() -> void;
    auto add(tcp::socket socket) -> void;
    /// Draws a cancel key that no other session has.
    [[nodiscard]] auto draw_key(session_id session) -> backend_key;

    asio::io_context& context_;
    caller_server_options options_;
    caller_server_hooks hooks_;
    asio::strand<asio::io_context::executor_type> strand_;
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::uint16_t port_ = 0;
    ranked_mutex mutex_{lock_rank::sessions};
    std::unordered_map<session_id, std::shared_ptr<connection>> connections_;
    /// Sessions by cancel key.
    std::map<std::pair<std::uint32_t, std::uint32_t>, session_id> keys_;
    std::uint64_t last_id_ = 0;
    bool is_draining_ = false;
};

class caller_server::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<shared_state> server, tcp::socket socket,
               session_id id, backend_key key, bool is_over_limit)
        : server_(std::move(server)),
          socket_(std::move(socket)),
          timer_(socket_.get_executor()),
          id_(id),
          key_(key),
          is_over_limit_(is_over_limit),
          protocol_(server_->options().protocol)
    {
    }

    [[nodiscard]] auto key() const noexcept -> const backend_key&
    {
        return key_;
    }
    [[nodiscard]] auto id() const noexcept -> session_id { return id_; }

    /// Runs `action` on the strand of the connection.
    template <class Action>
    auto post(Action action) -> void
    {
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this(), action = std::move(action)]() mutable {
                if (!self->is_closed_) {
                    action(*self);
                }
            });
    }

    auto start() -> void
    {
        const auto& options = server_->options();
        auto failure = error_code{};
        socket_.non_blocking(true, failure);
        socket_.set_option(tcp::no_delay(true), failure);
        socket_.set_option(asio::socket_base::keep_alive(true), failure);
        set_option(socket_, IPPROTO_TCP, TCP_KEEPIDLE,
                   static_cast<int>(options.keepalive_idle.count()));
        set_option(socket_, IPPROTO_TCP, TCP_KEEPINTVL,
                   static_cast<int>(options.keepalive_interval.count()));
        set_option(socket_, IPPROTO_TCP, TCP_KEEPCNT, options.keepalive_count);
        set_option(socket_, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(to_milliseconds(options.send_timeout)));
        start_timer(options.startup_timeout);
        read();
    }

    auto accept(std::string token) -> void
    {
        is_started_ = true;
        stop_timer();
        handle(protocol_.accept(key_, std::move(token)));
    }

    auto refuse(const request_error& error) -> void
    {
        handle(protocol_.refuse(error));
    }

    auto complete(const execute_reply& reply,
                  std::optional<std::string> new_token) -> void
    {
        if (draining_) {
            ++draining_->answers;
        }
        handle(protocol_.complete(reply, std::move(new_token)));
    }

    auto drain() -> void
    {
        if (!draining_) {
            draining_ = std::make_unique<drain_progress>(drain_progress{
                asio::steady_timer(socket_.get_executor()), clock::now(), 0});
            step_drain();
        }
    }

    auto close() -> void
    {
        if (std::exchange(is_closed_, true)) {
            return;
        }
        stop_timer();
        auto failure = error_code{};
        socket_.close(failure);
        server_->remove(id_);
        if (std::exchange(is_announced_, false)) {
            server_->hooks().on_closed(id_);
        }
    }

private:
    using clock = std::chrono::steady_clock;

    struct drain_progress
    {
        asio::steady_timer timer;
        clock::time_point started;
        /// Answers since the drain began.
        std::uint64_t answers = 0;
    };

    /// Ends the session once it is idle for `drain_pause`, or, if it never is,
    /// after an answer.
    auto step_drain() -> void
    {
        if (is_closed_ || is_ending_) {
            return;
        }
        const auto now = clock::now();
        const auto is_never_idle =
            now - draining_->started >= drain_limit && draining_->answers > 1;
        auto failure = error_code{};
        const auto is_quiet = !is_writing_ &&
                              now - last_answer_ >= drain_pause &&
                              socket_.available(failure) == 0;
        if (is_never_idle) {
            handle(protocol_.drain());
            return;
        }
        if (is_quiet) {
            handle(protocol_.end_if_idle());
        }
        if (!is_ending_ && !is_closed_) {
            draining_->timer.expires_after(drain_pause);
            draining_->timer.async_wait(
                [self = shared_from_this()](error_code stopped) {
                    if (!stopped) {
                        self->step_drain();
                    }
                });
        }
    }

    auto start_timer(duration timeout) -> void
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this(),
                           number = ++timer_number_](error_code failure) {
            if (!failure && number == self->timer_number_) {
                self->close();
            }
        });
    }

    auto stop_timer() -> void
    {
        ++timer_number_;
        timer_.cancel();
    }

    auto read() -> void
    {
        // Waits first and reads into a buffer of the thread, so that an idle
        // connection holds no buffer.
        if (is_reading_ || is_closed_ ||
            (!is_lingering_ && !protocol_.wants_input())) {
            return;
        }
        is_reading_ = true;
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this()](error_code failure) {
                               self->is_reading_ = false;
                               if (self->is_closed_) {
                                   return;
                               }
                               if (failure) {
                                   self->close();
                               } else {
                                   self->on_readable();
                               }
                           });
    }

    auto on_readable() -> void
    {
        thread_local auto chunk = std::array<char, read_chunk_bytes>{};
        auto failure = error_code{};
        const auto count = socket_.read_some(asio::buffer(chunk), failure);
        if (failure == asio::error::would_block ||
            failure == asio::error::try_again) {
            read();
            return;
        }
        if (failure) {
            close();
            return;
        }
        if (is_lingering_) {
            read();
            return;
        }
        handle(protocol_.feed({chunk.data(), count}));
    }

    auto handle(caller_events events) -> void
    {
        for (auto& event : events) {
            std::visit([this](auto& value) { on_event(value); }, event);
        }
        write();
        read();
    }

    auto on_event(session_start& start) -> void
    {
        if (is_over_limit_) {
            auto error = request_error{};
            error.code = sqlstate::too_many_connections;
            error.message = "the proxy has too many connections";
            error.retry_after = std::chrono::seconds(1);
            // Posted, as this runs within a call of the protocol's user.
            post([error](connection& self) { self.refuse(error); });
            return;
        }
        is_announced_ = true;
        server_->hooks().on_session(id_, start);
    }

    auto on_event(caller_request& request) -> void
    {
        server_->hooks().on_request(id_, std::move(request));
    }

    auto on_event(session_token_presented& presented) -> void
    {
        if (server_->hooks().on_token) {
            server_->hooks().on_token(id_, presented.token);
        }
    }

    auto on_event(cancel_received& cancel) -> void
    {
        if (server_->hooks().on_cancel) {
            server_->hooks().on_cancel(cancel.key,
                                       server_->find_key(cancel.key));
        }
    }

    auto on_event(session_ended& /*ended*/) -> void { is_ending_ = true; }

    auto write() -> void
    {
        if (is_closed_ || is_writing_) {
            return;
        }
        if (!protocol_.has_output()) {
            if (is_ending_ && !is_lingering_) {
                linger();
            }
            return;
        }
        sending_ = protocol_.take_output();
        is_writing_ = true;
        if (is_started_) {
            start_timer(server_->options().send_timeout);
        }
        asio::async_write(
            socket_, asio::buffer(sending_),
            [self = shared_from_this()](error_code failure, std::size_t) {
                self->is_writing_ = false;
                self->sending_ = {};
                if (self->is_closed_) {
                    return;
                }
                if (failure) {
                    self->close();
                    return;
                }
                if (self->is_started_) {
                    self->stop_timer();
                }
                self->last_answer_ = clock::now();
                self->handle(self->protocol_.resume());
            });
    }

    /// Sends the end of the stream and waits for the caller's; closing at once
    /// could reset the connection before the caller has read the last message.
    auto linger() -> void
    {
        is_lingering_ = true;
        auto failure = error_code{};
        socket_.shutdown(tcp::socket::shutdown_send, failure);
        start_timer(linger_time);
        if (std::exchange(is_announced_, false)) {
            server_->hooks().on_closed(id_);
        }
        read();
    }

    std::shared_ptr<shared_state> server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::uint64_t timer_number_ = 0;
    session_id id_;
    backend_key key_;
    bool is_over_limit_;
    caller_protocol protocol_;
    std::string sending_;
    bool is_reading_ = false;
    bool is_writing_ = false;
    bool is_closed_ = false;
    bool is_ending_ = false;
    bool is_lingering_ = false;
    /// `on_session` was called and `on_closed` was not.
    bool is_announced_ = false;
    bool is_started_ = false;
    clock::time_point last_answer_;
    /// Set once the proxy drains.
    std::unique_ptr<drain_progress> draining_;
};

caller_server::shared_state::shared_state(asio::io_context& context,
                                          caller_server_options options,
                                          caller_server_hooks hooks)
    : context_(context),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      strand_(asio::make_strand(context)),
      acceptor_(strand_),
      pause_(strand_)
{
    port_ = listen_at(acceptor_, options_.listen).port();
}

auto caller_server::shared_state::start() -> void
{
    asio::post(strand_, [self = shared_from_this()] { self->accept_next(); });
}

auto caller_server::shared_state::accept_next() -> void
{
    if (!acceptor_.is_open()) {
        return;
    }
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](error_code failure, tcp::socket socket) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (!failure) {
                self->add(std::move(socket));
                self->accept_next();
                return;
            }
            // Most likely the descriptors are used up; closing sessions free
            // some.
            log_event("accept_failed", event_severity::warning)
                .field("reason", failure.message());
            self->pause_.expires_after(accept_pause);
            self->pause_.async_wait([self](error_code stopped) {
                if (!stopped) {
                    self->accept_next();
                }
            });
        });
}

auto caller_server::shared_state::add(tcp::socket socket) -> void
{
    auto added = std::shared_ptr<connection>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        if (is_draining_ ||
            connections_.size() >= options_.max_connections + refusal_slots)
        {
            return;
        }
        const auto id = session_id(++last_id_);
        const auto key = draw_key(id);
        added = std::make_shared<connection>(
            shared_from_this(), std::move(socket), id, key,
            connections_.size() >= options_.max_connections);
        connections_.emplace(id, added);
    }
    added->post([](connection& self) { self.start(); });
}

auto caller_server::shared_state::draw_key(session_id session) -> backend_key
{
    auto key = backend_key{};
    key.process = cancel_process(options_.proxy_tag, session.value());
    for (auto draw = 0; draw < most_secret_draws; ++draw) {
        key.secret = static_cast<std::uint32_t>(options_.random());
        if (keys_.try_emplace({key.process, key.secret}, session).second) {
            break;
        }
    }
    return key;
}

auto caller_server::shared_state::stop_accepting() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        is_draining_ = true;
    }
    asio::post(strand_, [self = shared_from_this()] {
        auto failure = error_code{};
        self->acceptor_.close(failure);
        self->pause_.cancel();
    });
}

auto caller_server::shared_state::drain() -> void
{
    stop_accepting();
    for (const auto& one : list()) {
        one->post([](connection& self) { self.drain(); });
    }
}

auto caller_server::shared_state::stop() -> void
{
    stop_accepting();
    for (const auto& one : list()) {
        one->post([](connection& self) { self.close(); });
    }
}

auto caller_server::shared_state::forget_connections() -> void
{
    auto forgotten = decltype(connections_){};
    const auto lock = std::scoped_lock(mutex_);
    forgotten.swap(connections_);
    keys_.clear();
}

auto caller_server::shared_state::find(session_id session)
    -> std::shared_ptr<connection>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = connections_.find(session);
    return found == connections_.end() ? nullptr : found->second;
}

auto caller_server::shared_state::find_key(const backend_key& key)
    -> std::optional<session_id>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = keys_.find({key.process, key.secret});
    return found == keys_.end() ? std::nullopt : std::optional(found->second);
}

auto caller_server::shared_state::remove(session_id session) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = connections_.find(session);
    if (found == connections_.end()) {
        return;
    }
    const auto& key = found->second->key();
    const auto named = keys_.find({key.process, key.secret});
    if (named != keys_.end() && named->second == session) {
        keys_.erase(named);
    }
    connections_.erase(found);
}

auto caller_server::shared_state::list()
    -> std::vector<std::shared_ptr<connection>>
{
    const auto lock = std::scoped_lock(mutex_);
    auto all = std::vector<std::shared_ptr<connection>>{};
    for (const auto& [id, one] : connections_) {
        all.push_back(one);
    }
    return all;
}

auto caller_server::shared_state::count() -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return connections_.size();
}

caller_server::caller_server(asio::io_context& context,
                             caller_server_options options,
                             caller_server_hooks hooks)
    : state_(std::make_shared<shared_state>(context, std::move(options),
                                            std::move(hooks)))
{
}

caller_server::~caller_server()
{
    stop();
    // The context may be destroyed without running what `stop` posted.
    state_->forget_connections();
}

auto caller_server::start() -> void
{
    state_->start();
}

auto caller_server::port() const -> std::uint16_t
{
    return state_->port();
}

auto caller_server::accept(session_id session, std::string token) -> void
{
    if (const auto found = state_->find(session)) {
        found->post([token = std::move(token)](connection& self) mutable {
            self.accept(std::move(token));
        });
    }
}

auto caller_server::refuse(session_id session, request_error error) -> void
{
    if (const auto found = state_->find(session)) {
        found->post([error = std::move(error)](connection& self) {
            self.refuse(error);
        });
    }
}

auto caller_server::complete(session_id session, execute_reply reply,
                             std::optional<std::string> new_token) -> void
{
    if (const auto found = state_->find(session)) {
        found->post(
            [reply = std::move(reply),
             new_token = std::move(new_token)](connection& self) mutable {
                self.complete(reply, std::move(new_token));
            });
    }
}

auto caller_server::close(session_id session) -> void
{
    if (const auto found = state_->find(session)) {
        found->post([](connection& self) { self.close(); });
    }
}

auto caller_server::drain() -> void
{
    state_->drain();
}

auto caller_server::stop() -> void
{
    state_->stop();
}

auto caller_server::find_session(const backend_key& key) const
    -> std::optional<session_id>
{
    return state_->find_key(key);
}

auto caller_server::connection_count() const -> std::size_t
{
    return state_->count();
}

} // namespace rhubarbrun::inline v1
