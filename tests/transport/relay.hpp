#ifndef RHUBARBRUN_TESTS_TRANSPORT_RELAY_HPP
#define RHUBARBRUN_TESTS_TRANSPORT_RELAY_HPP

#include "loopback.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <string>

namespace rhubarbrun::test {

/// Forwards TCP connections to a server, records what the client sends, and
/// can make the open connections silent while new ones work.
class relay : public std::enable_shared_from_this<relay>
{
public:
    relay(asio::io_context& context, asio::ip::tcp::endpoint server)
        : context_(context),
          server_(std::move(server)),
          acceptor_(context, any_port())
    {
    }

    auto start() -> asio::ip::tcp::endpoint
    {
        accept();
        return acceptor_.local_endpoint();
    }

    /// Connections that are open now forward nothing from now on.
    auto silence() -> void { silenced_ = accepted_.load(); }

    /// Bytes that the first client sent.
    auto recorded() -> std::string
    {
        const auto lock = std::lock_guard(mutex_);
        return recorded_;
    }

private:
    struct pair
    {
        explicit pair(asio::io_context& context)
            : client(context), server(context)
        {
        }

        asio::ip::tcp::socket client;
        asio::ip::tcp::socket server;
        int number = 0;
        std::array<char, 4096> up{};
        std::array<char, 4096> down{};
    };

    auto accept() -> void
    {
        auto opened = std::make_shared<pair>(context_);
        acceptor_.async_accept(opened->client, [self = shared_from_this(),
                                                opened](error_code error) {
            if (error) {
                return;
            }
            opened->number = ++self->accepted_;
            opened->server.connect(self->server_, error);
            self->pump(opened, opened->client, opened->server, opened->up);
            self->pump(opened, opened->server, opened->client, opened->down);
            self->accept();
        });
    }

    auto pump(const std::shared_ptr<pair>& open, asio::ip::tcp::socket& from,
              asio::ip::tcp::socket& to, std::array<char, 4096>& buffer) -> void
    {
        from.async_read_some(asio::buffer(buffer), [self = shared_from_this(),
                                                    open, &from, &to,
                                                    &buffer](error_code error,
                                                             std::size_t size) {
            const auto is_silent = open->number <= self->silenced_;
            if (error) {
                auto ignored = error_code();
                if (!is_silent) {
                    to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                }
                return;
            }
            if (!is_silent) {
                asio::write(to, asio::buffer(buffer.data(), size), error);
            }
            if (open->number == 1 && &from == &open->client) {
                const auto lock = std::lock_guard(self->mutex_);
                self->recorded_.append(buffer.data(), size);
            }
            self->pump(open, from, to, buffer);
        });
    }

    asio::io_context& context_;
    asio::ip::tcp::endpoint server_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<int> accepted_ = 0;
    std::atomic<int> silenced_ = 0;
    std::mutex mutex_;
    std::string recorded_;
};

} // namespace rhubarbrun::test

#endif
