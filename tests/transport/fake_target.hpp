#ifndef RHUBARBRUN_TESTS_TRANSPORT_FAKE_TARGET_HPP
#define RHUBARBRUN_TESTS_TRANSPORT_FAKE_TARGET_HPP

#include <rhubarbrun/protocol/pg_reader.hpp>
#include <rhubarbrun/protocol/pg_writer.hpp>
#include <rhubarbrun/transport/asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::test {

/// Bytes that a fake target sends in response to a message, or an order to
/// drop the connection.
struct fake_response
{
    std::string bytes;
    bool closes = false;
    /// The bytes are sent by `release_held` only.
    bool is_held = false;
};

/// A scripted server of the PostgreSQL protocol on a loopback port.
class fake_target
{
public:
    using script = std::function<fake_response(const pg_frame&)>;

    fake_target(asio::io_context& context, script respond)
        : acceptor_(context,
                    {asio::ip::make_address("127.0.0.1"), std::uint16_t{0}}),
          respond_(std::move(respond))
    {
        accept();
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return acceptor_.local_endpoint().port();
    }

    /// Closes all connections at once.
    auto drop() -> void
    {
        for (const auto& one : peers_) {
            auto failure = error_code{};
            one->socket.close(failure);
        }
    }

    /// Sends the responses that were held.
    auto release_held() -> void
    {
        for (const auto& [one, bytes] : std::exchange(held_, {})) {
            auto failure = error_code{};
            asio::write(one->socket, asio::buffer(bytes), failure);
        }
    }
    [[nodiscard]] auto held() const -> std::size_t { return held_.size(); }

    /// Keys of the received CancelRequests.
    std::vector<backend_key> cancelled;
    /// Startup packets received.
    int starts = 0;
    /// Parameters of the last startup packet.
    startup_parameters started;
    /// Messages received after startup.
    std::string received;
    /// False leaves startup packets without an answer.
    bool answers_startup = true;

private:
    struct peer
    {
        explicit peer(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        pg_frame_reader reader{std::size_t{64} << 20U, true};
        std::array<char, 65536> chunk{};
    };

    auto accept() -> void
    {
        acceptor_.async_accept(
            [this](error_code failure, asio::ip::tcp::socket socket) {
                if (failure) {
                    return;
                }
                peers_.push_back(std::make_shared<peer>(std::move(socket)));
                read(peers_.back());
                accept();
            });
    }

    auto read(const std::shared_ptr<peer>& one) -> void
    {
        one->socket.async_read_some(
            asio::buffer(one->chunk),
            [this, one](error_code failure, std::size_t count) {
                if (failure) {
                    return;
                }
                one->reader.feed({one->chunk.data(), count});
                while (const auto frame = one->reader.next()) {
                    handle(one, *frame);
                }
                read(one);
            });
    }

    auto handle(const std::shared_ptr<peer>& one, const pg_frame& frame) -> void
    {
        auto response = fake_response{};
        if (frame.type == '\0') {
            response.bytes = start(one, frame.body);
        } else {
            received.push_back(frame.type);
            response = respond_(frame);
        }
        if (response.is_held) {
            held_.emplace_back(one, std::move(response.bytes));
            return;
        }
        auto failure = error_code{};
        asio::write(one->socket, asio::buffer(response.bytes), failure);
        if (response.closes) {
            one->socket.close(failure);
        }
    }

    auto start(const std::shared_ptr<peer>& one, const std::string& body)
        -> std::string
    {
        auto reader = pg_field_reader(body);
        if (reader.read_uint32() == pg::cancel_request) {
            cancelled.push_back({reader.read_uint32(), reader.read_uint32()});
            return {};
        }
        ++starts;
        started = parse_startup(body);
        one->reader.end_startup();
        auto bytes = std::string{};
        if (answers_startup) {
            auto out = pg_writer(bytes);
            out.authentication_ok();
            out.backend_key_data({7, 9});
            out.ready_for_query(transaction_status::idle);
        }
        return bytes;
    }

    asio::ip::tcp::acceptor acceptor_;
    script respond_;
    std::vector<std::shared_ptr<peer>> peers_;
    std::vector<std::pair<std::shared_ptr<peer>, std::string>> held_;
};

/// Runs `context` until `is_done`; fails the test after ten seconds.
template <class Condition>
auto run_until(asio::io_context& context, const Condition& is_done) -> bool
{
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    context.restart();
    while (!is_done() && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(50));
        context.restart();
    }
    return is_done();
}

} // namespace rhubarbrun::test

#endif
