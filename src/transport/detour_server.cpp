#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/acceptor.hpp>
#include <rhubarbrun/transport/detour_server.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/settings.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <array>
#include <set>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto first_word = std::string_view("DETOUR ");
/// The first line is a word and an address with a port.
constexpr auto longest_first_line = std::size_t{64};
/// Time for the first line to arrive and the server to be connected; the other
/// end gives up after less than a second.
constexpr auto start_patience = milliseconds(700);
/// While draining, a connection without traffic for this long is ended.
constexpr auto quiet_limit = milliseconds(300);
constexpr auto drain_interval = milliseconds(100);
/// Pause after a failed accept, as when the process has no descriptor left, and
/// while there are as many connections as may be.
constexpr auto accept_pause = milliseconds(50);

} // namespace

auto format_detour(const std::string& address) -> std::string
{
    return std::string(first_word) + address + "\r\n";
}

/// One connection that is passed on.
class passed_connection : public std::enable_shared_from_this<passed_connection>
{
public:
    using end_function =
        std::function<void(const std::shared_ptr<passed_connection>&)>;

    passed_connection(asio::ip::tcp::socket socket, end_function on_end)
        : from_(std::move(socket)),
          to_(from_.get_executor()),
          timer_(from_.get_executor()),
          on_end_(std::move(on_end))
    {
    }

    auto start(detour_server::allow_function is_allowed) -> void
    {
        is_allowed_ = std::move(is_allowed);
        timer_.expires_after(start_patience);
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->end("no connection in time");
            }
        });
        asio::async_read_until(
            from_, asio::dynamic_buffer(first_line_, longest_first_line), '\n',
            [self = shared_from_this()](error_code error, std::size_t size) {
                if (error) {
                    self->end("no usable first line: " + error.message());
                } else {
                    self->connect(size);
                }
            });
    }

    auto end(const std::string& reason) -> void
    {
        if (std::exchange(is_ended_, true)) {
            return;
        }
        if (!is_connected_) {
            log_event("detour_refused", event_severity::warning)
                .field("server", address_)
                .field("reason", reason);
        }
        timer_.cancel();
        auto ignored = error_code();
        from_.close(ignored);
        to_.close(ignored);
        on_end_(shared_from_this());
    }

    [[nodiscard]] auto is_quiet(time_point now) const -> bool
    {
        return now - moved_at_ > quiet_limit;
    }

private:
    auto connect(std::size_t size) -> void
    {
        address_ = first_line_.substr(0, size);
        const auto rest = first_line_.substr(size);
        address_.erase(address_.find_last_not_of("\r\n") + 1);
        if (!address_.starts_with(first_word)) {
            end("not a detour");
            return;
        }
        address_.erase(0, first_word.size());
        const auto endpoint = parse_endpoint(address_);
        if (!endpoint || !is_allowed_(address_)) {
            end("not a known server");
            return;
        }
        first_line_ = rest;
        to_.async_connect(*endpoint,
                          [self = shared_from_this()](error_code error) {
                              if (error) {
                                  self->end(error.message());
                              } else {
                                  self->pass_on();
                              }
                          });
    }

    auto pass_on() -> void
    {
        is_connected_ = true;
        timer_.cancel();
        auto ignored = error_code();
        from_.set_option(asio::ip::tcp::no_delay(true), ignored);
        to_.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::async_write(
            to_, asio::buffer(first_line_),
            [self = shared_from_this()](error_code error, std::size_t) {
                if (error) {
                    self->end(error.message());
                } else {
                    self->pump(self->from_, self->to_, self->forward_);
                }
            });
        pump(to_, from_, backward_);
    }

    auto pump(asio::ip::tcp::socket& source, asio::ip::tcp::socket& sink,
              std::array<char, 4096>& buffer) -> void
    {
        moved_at_ = steady_now();
        source.async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this(), &source, &sink,
             &buffer](error_code error, std::size_t size) {
                if (error) {
                    self->end(error.message());
                    return;
                }
                asio::async_write(sink, asio::buffer(buffer.data(), size),
                                  [self, &source, &sink,
                                   &buffer](error_code failure, std::size_t) {
                                      if (failure) {
                                          self->end(failure.message());
                                      } else {
                                          self->pump(source, sink, buffer);
                                      }
                                  });
            });
    }

    asio::ip::tcp::socket from_;
    asio::ip::tcp::socket to_;
    asio::steady_timer timer_;
    end_function on_end_;
    detour_server::allow_function is_allowed_;
    std::string first_line_;
    std::string address_;
    std::array<char, 4096> forward_{};
    std::array<char, 4096> backward_{};
    time_point moved_at_;
    bool is_connected_ = false;
    bool is_ended_ = false;
};

class detour_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, allow_function is_allowed,
                   std::size_t most_connections)
        : acceptor_(context),
          timer_(context),
          accept_timer_(context),
          is_allowed_(std::move(is_allowed)),
          most_connections_(most_connections)
    {
    }

    auto listen(const asio::ip::tcp::endpoint& endpoint)
        -> asio::ip::tcp::endpoint
    {
        auto bound = listen_at(acceptor_, endpoint);
        accept();
        return bound;
    }

    auto stop() -> void
    {
        is_allowed_ = [](const std::string&) {
            return false;
        };
        timer_.cancel();
        accept_timer_.cancel();
        auto ignored = error_code();
        acceptor_.close(ignored);
        end_all([](const auto&) { return true; }, "the process ends");
    }

    auto drain() -> void
    {
        auto ignored = error_code();
        acceptor_.close(ignored);
        end_all([now = steady_now()](
                    const auto& each) { return each->is_quiet(now); },
                "the process ends");
        timer_.expires_after(drain_interval);
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->drain();
            }
        });
    }

private:
    template <class Condition>
    auto end_all(Condition condition, const std::string& reason) -> void
    {
        for (const auto& each :
             std::set<std::shared_ptr<passed_connection>>(connections_))
        {
            if (condition(each)) {
                each->end(reason);
            }
        }
    }

    auto accept_later() -> void
    {
        accept_timer_.expires_after(accept_pause);
        accept_timer_.async_wait([weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (self && !error && self->acceptor_.is_open()) {
                self->accept();
            }
        });
    }

    auto accept() -> void
    {
        if (connections_.size() >= most_connections_) {
            accept_later();
            return;
        }
        acceptor_.async_accept(
            [weak = weak_from_this()](error_code error,
                                      asio::ip::tcp::socket socket) {
                const auto self = weak.lock();
                if (!self || error == asio::error::operation_aborted ||
                    error == asio::error::bad_descriptor)
                {
                    return;
                }
                if (error) {
                    log_event("detour_accept_failed", event_severity::warning)
                        .field("reason", error.message());
                    self->accept_later();
                    return;
                }
                self->take(std::move(socket));
                self->accept();
            });
    }

    auto take(asio::ip::tcp::socket socket) -> void
    {
        auto connection = std::make_shared<passed_connection>(
            std::move(socket),
            [weak = weak_from_this()](
                const std::shared_ptr<passed_connection>& ended) {
                if (const auto self = weak.lock()) {
                    self->connections_.erase(ended);
                }
            });
        connections_.insert(connection);
        connection->start(is_allowed_);
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    asio::steady_timer accept_timer_;
    allow_function is_allowed_;
    std::size_t most_connections_;
    std::set<std::shared_ptr<passed_connection>> connections_;
};

detour_server::detour_server(asio::io_context& context,
                             allow_function is_allowed,
                             std::size_t most_connections)
    : implementation_(std::make_shared<implementation>(
          context, std::move(is_allowed), most_connections))
{
}

detour_server::~detour_server()
{
    implementation_->stop();
}

auto detour_server::listen(const asio::ip::tcp::endpoint& endpoint)
    -> asio::ip::tcp::endpoint
{
    return implementation_->listen(endpoint);
}

auto detour_server::drain() -> void
{
    implementation_->drain();
}

} // namespace rhubarbrun::inline v1
