#include <rhubarbrun/transport/http_server.hpp>

#include <rhubarbrun/transport/acceptor.hpp>

#include <rhubarbrun/coordination/memory_budget.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto accept_pause = std::chrono::milliseconds(100);
/// Pause until room is looked for again, and until a connection that must not
/// read looks again.
constexpr auto room_pause = std::chrono::milliseconds(20);
constexpr auto read_pause = std::chrono::milliseconds(50);
/// Part of the connections that are closed at a time to make room.
constexpr auto room_divisor = std::size_t{16};
/// Memory of a request that is being handled, by the size of its body: the
/// text and what is parsed from it.
constexpr auto handling_factor = std::size_t{3};
constexpr auto most_small = std::size_t{64} * 1024;
constexpr auto least_small = std::size_t{2} * 1024;
/// At most one line about closed connections is logged in this time.
constexpr auto closed_log_interval = std::chrono::seconds(1);
/// Of a path that is matched against the routes.
constexpr auto most_path_parts = std::size_t{16};

auto split_path(std::string_view path) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    while (!path.empty() && parts.size() < most_path_parts) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

auto is_parameter(const std::string& part) -> bool
{
    return part.size() > 2 && part.front() == '{' && part.back() == '}';
}

struct route_entry
{
    std::string method;
    std::vector<std::string> parts;
    http_handler handler;

    /// The parameters if the path matches.
    [[nodiscard]] auto match(const std::vector<std::string>& path) const
        -> std::optional<std::map<std::string, std::string>>
    {
        if (path.size() != parts.size()) {
            return std::nullopt;
        }
        auto parameters = std::map<std::string, std::string>();
        for (auto index = std::size_t{0}; index < parts.size(); ++index) {
            const auto& part = parts[index];
            if (is_parameter(part)) {
                parameters[part.substr(1, part.size() - 2)] = path[index];
            } else if (part != path[index]) {
                return std::nullopt;
            }
        }
        return parameters;
    }
};

auto to_lower(std::string_view text) -> std::string
{
    auto lower = std::string(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z'
                   ? static_cast<char>(letter - 'A' + 'a')
                   : letter;
    });
    return lower;
}

auto to_view(beast::string_view text) -> std::string_view
{
    return {text.data(), text.size()};
}

auto budget_limits(const http_server_limits& limits) -> memory_budget::limits
{
    auto result = memory_budget::limits{};
    result.limit = limits.memory;
    if (limits.memory) {
        const auto connections = std::max<std::size_t>(1, limits.connections);
        result.small_holding = std::clamp(*limits.memory / 2 / connections,
                                          least_small, most_small);
    }
    return result;
}

auto convert(http::request<http::string_body>&& message) -> http_request
{
    auto request = http_request{};
    request.method = to_view(message.method_string());
    const auto target = to_view(message.target());
    const auto question = std::min(target.find('?'), target.size());
    request.path = target.substr(0, question);
    if (question < target.size()) {
        request.query = target.substr(question + 1);
    }
    for (const auto& field : message.base()) {
        request.headers[to_lower(to_view(field.name_string()))] =
            to_view(field.value());
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace

class http_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, const http_server_limits& limits)
        : context_(context),
          limits_(limits),
          acceptor_(asio::make_strand(context)),
          accept_timer_(acceptor_.get_executor()),
          memory_(budget_limits(limits))
    {
    }

    auto route(std::string method, const std::string& pattern,
               http_handler handler) -> void
    {
        routes_.push_back(
            {std::move(method), split_path(pattern), std::move(handler)});
    }

    auto listen(const tcp::endpoint& endpoint) -> tcp::endpoint
    {
        auto bound = listen_at(acceptor_, endpoint, limits_.receive_buffer);
        asio::post(acceptor_.get_executor(),
                   [self = shared_from_this()] { self->accept(); });
        return bound;
    }

    auto drain() -> void;
    auto stop() -> void;

    /// Calls the handler for the request, or replies itself.
    auto dispatch(http_request request, const http_reply& reply) -> void
    {
        const auto path = split_path(request.path);
        auto is_known_path = false;
        for (const auto& entry : routes_) {
            auto parameters = entry.match(path);
            if (!parameters) {
                continue;
            }
            is_known_path = true;
            if (entry.method == request.method) {
                request.parameters = std::move(*parameters);
                call(entry.handler, request, reply);
                return;
            }
        }
        reply(is_known_path ? http_error(405, "the method is not allowed here")
                            : http_error(404, "there is no such path"));
    }

    [[nodiscard]] auto limits() const noexcept -> const http_server_limits&
    {
        return limits_;
    }

    auto on_closed(std::uint64_t id) -> void
    {
        --connections_;
        const auto lock = std::lock_guard(memory_mutex_);
        memory_.release(steady_now(), id);
    }
    /// Notes what a connection holds; closes those that the budget chooses.
    /// Returns whether the connection may read more.
    auto charge(std::uint64_t id, std::size_t input, std::size_t working)
        -> bool;
    [[nodiscard]] auto counters() const noexcept -> http_server_counters
    {
        return {closed_for_memory_, closed_for_room_};
    }
    auto on_request() noexcept -> void { ++requests_; }
    auto on_request_ended() noexcept -> void { --requests_; }

    [[nodiscard]] auto is_stopped() const noexcept -> bool
    {
        return is_stopped_;
    }
    [[nodiscard]] auto is_draining() const noexcept -> bool
    {
        return is_draining_;
    }
    [[nodiscard]] auto has_open_requests() const noexcept -> bool
    {
        return requests_ > 0;
    }

private:
    class session;

    auto accept() -> void;
    auto accept_later(duration pause) -> void;
    auto close_acceptor() -> void;
    auto close_chosen(const std::vector<memory_budget::holder>& chosen) -> void;
    /// Closes the oldest connections without a request.
    auto make_room() -> void;
    /// Call with `sessions_mutex_` held.
    auto log_closed(std::string_view reason) -> void;

    static auto call(const http_handler& handler, const http_request& request,
                     const http_reply& reply) -> void
    {
        try {
            handler(request, reply);
        } catch (const std::exception& fault) {
            log_event("http_handler_failed", event_severity::error)
                .field("path", request.path)
                .field("reason", fault.what());
            reply(http_error(500, "the request failed; see the log"));
        }
    }

    asio::io_context& context_;
    http_server_limits limits_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::vector<route_entry> routes_;
    std::atomic<std::size_t> connections_ = 0;
    /// Requests that were received whole and have no response yet.
    std::atomic<std::size_t> requests_ = 0;
    std::atomic<bool> is_draining_ = false;
    std::atomic<bool> is_stopped_ = false;
    std::mutex sessions_mutex_;
    /// Oldest first.
    std::vector<std::weak_ptr<session>> sessions_;
    /// Locked while no other mutex is taken: the end of a connection takes it.
    std::mutex memory_mutex_;
    memory_budget memory_;
    std::uint64_t last_session_ = 0;
    std::optional<time_point> closed_logged_at_;
    std::atomic<std::uint64_t> closed_for_memory_ = 0;
    std::atomic<std::uint64_t> closed_for_room_ = 0;
};

/// One connection; runs on its own strand.
class http_server::implementation::session
    : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<implementation> server,
            std::uint64_t id)
        : id_(id),
          stream_(std::move(socket)),
          timer_(stream_.get_executor()),
          server_(std::move(server))
    {
    }
    session(const session&) = delete;
    auto operator=(const session&) -> session& = delete;
    ~session()
    {
        end_request();
        server_->on_closed(id_);
    }

    [[nodiscard]] auto id() const noexcept -> std::uint64_t { return id_; }
    [[nodiscard]] auto has_request() const noexcept -> bool
    {
        return has_request_;
    }

    auto read() -> void
    {
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(server_->limits().header_bytes));
        parser_->body_limit(server_->limits().body_bytes);
        parser_->eager(true);
        stream_.expires_after(server_->limits().transfer);
        until_ = steady_now() + server_->limits().transfer;
        read_some();
    }

    auto close() -> void
    {
        asio::post(stream_.get_executor(), [self = shared_from_this()] {
            self->timer_.cancel();
            self->stream_.close();
        });
    }

    /// Closes the connection unless it owes a response.
    auto close_if_idle() -> void
    {
        asio::post(stream_.get_executor(), [self = shared_from_this()] {
            if (!self->has_request_) {
                self->stream_.close();
            }
        });
    }

private:
    auto end_request() -> void
    {
        if (has_request_.exchange(false)) {
            server_->on_request_ended();
        }
    }

    auto read_some() -> void
    {
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code error, std::size_t) {
                if (error || self->parser_->is_done()) {
                    self->on_read(error);
                } else {
                    self->read_more();
                }
            });
    }

    /// Reads on once that may be done.
    auto read_more() -> void
    {
        if (server_->charge(
                id_, buffer_.capacity() + parser_->get().body().size(), 0)) {
            read_some();
            return;
        }
        if (steady_now() > until_) {
            stream_.close();
            return;
        }
        timer_.expires_after(read_pause);
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->stream_.socket().is_open()) {
                self->read_more();
            }
        });
    }

    auto on_read(error_code error) -> void
    {
        if (error == http::error::body_limit) {
            is_last_ = true;
            write(http_error(413, "the body is too large"));
            return;
        }
        if (error == http::error::header_limit) {
            is_last_ = true;
            write(http_error(431, "the header is too large"));
            return;
        }
        if (error || server_->is_stopped()) {
            return;
        }
        is_last_ = !parser_->get().keep_alive();
        has_request_ = true;
        server_->charge(id_, buffer_.capacity(),
                        handling_factor * parser_->get().body().size());
        server_->on_request();
        const auto number = ++request_number_;
        stream_.expires_never();
        timer_.expires_after(server_->limits().handler);
        timer_.async_wait(
            [self = shared_from_this(), number](error_code failed) {
                if (!failed) {
                    self->answer(number,
                                 http_error(504, "the request took too long"));
                }
            });
        server_->dispatch(
            convert(parser_->release()),
            [weak = weak_from_this(), number,
             executor = stream_.get_executor()](http_response response) {
                asio::post(executor, [weak, number,
                                      moved = std::move(response)]() mutable {
                    if (const auto self = weak.lock()) {
                        self->answer(number, std::move(moved));
                    }
                });
            });
    }

    /// Sends the first response to a request and drops later ones.
    auto answer(std::uint64_t number, http_response response) -> void
    {
        if (number != request_number_ || answered_ == number) {
            return;
        }
        answered_ = number;
        timer_.cancel();
        write(std::move(response));
    }

    auto write(http_response response) -> void
    {
        response_.emplace();
        response_->result(response.status);
        response_->version(11);
        response_->set(http::field::content_type, response.content_type);
        for (const auto& [name, value] : response.headers) {
            response_->set(name, value);
        }
        response_->body() = std::move(response.body);
        response_->keep_alive(!is_last_ && !server_->is_draining());
        response_->prepare_payload();
        stream_.expires_after(server_->limits().transfer);
        http::async_write(stream_, *response_,
                          [self = shared_from_this()](error_code error,
                                                      std::size_t /*size*/) {
                              self->on_written(error);
                          });
    }

    auto on_written(error_code error) -> void
    {
        end_request();
        server_->charge(id_, buffer_.capacity(), 0);
        if (error || server_->is_stopped()) {
            return;
        }
        if (is_last_ || server_->is_draining()) {
            auto ignored = error_code();
            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        read();
    }

    std::uint64_t id_;
    beast::tcp_stream stream_;
    asio::steady_timer timer_;
    std::shared_ptr<implementation> server_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    std::uint64_t request_number_ = 0;
    std::uint64_t answered_ = 0;
    bool is_last_ = false;
    /// A request was received whole and its response is not sent yet.
    std::atomic<bool> has_request_ = false;
    /// When the request that arrives has to be whole.
    time_point until_;
};

auto http_server::implementation::accept_later(duration pause) -> void
{
    accept_timer_.expires_after(pause);
    accept_timer_.async_wait([self = shared_from_this()](error_code failed) {
        if (!failed) {
            self->accept();
        }
    });
}

auto http_server::implementation::log_closed(std::string_view reason) -> void
{
    const auto now = steady_now();
    if (closed_logged_at_ && now - *closed_logged_at_ < closed_log_interval) {
        return;
    }
    closed_logged_at_ = now;
    log_event("http_connections_closed", event_severity::warning)
        .field("reason", reason)
        .field("for_memory", closed_for_memory_.load())
        .field("for_room", closed_for_room_.load());
}

auto http_server::implementation::charge(std::uint64_t id, std::size_t input,
                                         std::size_t working) -> bool
{
    if (!limits_.memory) {
        return true;
    }
    const auto now = steady_now();
    auto chosen = std::vector<memory_budget::holder>();
    auto must_pause = false;
    {
        const auto lock = std::lock_guard(memory_mutex_);
        memory_.charge(now, id, {0, input, 0, working});
        chosen = memory_.choose_evictions(now);
        must_pause = memory_.must_pause(id);
    }
    if (!chosen.empty()) {
        close_chosen(chosen);
    }
    return !must_pause;
}

auto http_server::implementation::close_chosen(
    const std::vector<memory_budget::holder>& chosen) -> void
{
    const auto lock = std::lock_guard(sessions_mutex_);
    for (const auto& weak : sessions_) {
        const auto open = weak.lock();
        if (open && std::find(chosen.begin(), chosen.end(), open->id()) !=
                        chosen.end()) {
            ++closed_for_memory_;
            open->close();
        }
    }
    log_closed("memory");
}

auto http_server::implementation::make_room() -> void
{
    auto wanted = std::max<std::size_t>(1, limits_.connections / room_divisor);
    const auto lock = std::lock_guard(sessions_mutex_);
    for (const auto& weak : sessions_) {
        const auto open = weak.lock();
        if (open && !open->has_request() && wanted > 0) {
            --wanted;
            ++closed_for_room_;
            open->close_if_idle();
        }
    }
    log_closed("room");
}

auto http_server::implementation::accept() -> void
{
    if (limits_.is_making_room && connections_ >= limits_.connections &&
        !is_stopped_ && !is_draining_)
    {
        make_room();
        accept_later(room_pause);
        return;
    }
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](error_code error, tcp::socket socket) {
            if (self->is_stopped_ || self->is_draining_ ||
                error == asio::error::operation_aborted)
            {
                return;
            }
            if (error) {
                self->accept_later(accept_pause);
                return;
            }
            if (self->connections_ < self->limits_.connections) {
                ++self->connections_;
                const auto added = std::make_shared<session>(
                    std::move(socket), self, ++self->last_session_);
                {
                    const auto lock = std::lock_guard(self->sessions_mutex_);
                    // Rarely, as it looks at every connection.
                    if (self->sessions_.size() > 2 * self->connections_) {
                        std::erase_if(self->sessions_, [](const auto& weak) {
                            return weak.expired();
                        });
                    }
                    self->sessions_.push_back(added);
                }
                added->read();
            }
            self->accept();
        });
}

auto http_server::implementation::close_acceptor() -> void
{
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        auto ignored = error_code();
        self->acceptor_.close(ignored);
        self->accept_timer_.cancel(ignored);
    });
}

auto http_server::implementation::drain() -> void
{
    if (is_draining_.exchange(true)) {
        return;
    }
    close_acceptor();
    const auto lock = std::lock_guard(sessions_mutex_);
    for (const auto& weak : sessions_) {
        if (const auto open = weak.lock()) {
            open->close_if_idle();
        }
    }
}

auto http_server::implementation::stop() -> void
{
    if (is_stopped_.exchange(true)) {
        return;
    }
    close_acceptor();
    const auto lock = std::lock_guard(sessions_mutex_);
    for (const auto& weak : sessions_) {
        if (const auto open = weak.lock()) {
            open->close();
        }
    }
}

http_server::http_server(asio::io_context& context, http_server_limits limits)
    : implementation_(std::make_shared<implementation>(context, limits))
{
}

http_server::~http_server()
{
    stop();
}

auto http_server::route(std::string method, const std::string& pattern,
                        http_handler handler) -> void
{
    implementation_->route(std::move(method), pattern, std::move(handler));
}

auto http_server::listen(const tcp::endpoint& endpoint) -> tcp::endpoint
{
    return implementation_->listen(endpoint);
}

auto http_server::drain() -> void
{
    implementation_->drain();
}

auto http_server::has_open_requests() const noexcept -> bool
{
    return implementation_->has_open_requests();
}

auto http_server::counters() const noexcept -> http_server_counters
{
    return implementation_->counters();
}

auto http_server::stop() -> void
{
    implementation_->stop();
}

} // namespace rhubarbrun::inline v1
