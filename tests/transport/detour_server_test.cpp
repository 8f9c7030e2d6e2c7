#include <rhubarbrun/transport/acceptor.hpp>
#include <rhubarbrun/transport/detour_server.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>

namespace rhubarbrun::test {

namespace {

const auto loopback = asio::ip::make_address("127.0.0.1");

/// A server that answers each line, behind a detour that knows it.
class echo_behind_detour
{
public:
    echo_behind_detour()
        : acceptor_(context),
          detour(context, [this](const std::string& address) {
              return address == server_address();
          })
    {
        listen_at(acceptor_, {loopback, 0});
        through = detour.listen({loopback, 0});
        accept();
    }

    [[nodiscard]] auto server_address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Sends text through the detour; returns what arrives until `size` bytes
    /// came or the connection ended.
    auto exchange(asio::ip::tcp::socket& socket, const std::string& text,
                  std::size_t size) -> std::string
    {
        asio::write(socket, asio::buffer(text));
        auto answer = std::string(size, '\0');
        auto is_done = false;
        asio::async_read(socket, asio::buffer(answer),
                         [&](error_code, std::size_t count) {
                             answer.resize(count);
                             is_done = true;
                         });
        const auto end = steady_now() + std::chrono::seconds(10);
        while (!is_done && steady_now() < end) {
            context.run_for(std::chrono::milliseconds(5));
        }
        CHECK(is_done);
        return answer;
    }

    auto connect() -> asio::ip::tcp::socket
    {
        auto socket = asio::ip::tcp::socket(context);
        socket.connect(through);
        return socket;
    }

    asio::io_context context{1};

private:
    auto accept() -> void
    {
        acceptor_.async_accept([this](error_code error,
                                      asio::ip::tcp::socket socket) {
            if (!error) {
                server_ =
                    std::make_unique<asio::ip::tcp::socket>(std::move(socket));
                echo();
                accept();
            }
        });
    }
    auto echo() -> void
    {
        server_->async_read_some(
            asio::buffer(bytes_), [this](error_code error, std::size_t size) {
                if (!error) {
                    asio::write(*server_, asio::buffer(bytes_.data(), size));
                    echo();
                }
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::unique_ptr<asio::ip::tcp::socket> server_;
    std::array<char, 256> bytes_{};

public:
    detour_server detour;
    asio::ip::tcp::endpoint through;
};

} // namespace

TEST_CASE("detour server: bytes pass both ways, also those behind the first "
          "line")
{
    auto pair = echo_behind_detour();
    auto socket = pair.connect();
    CHECK(pair.exchange(socket, format_detour(pair.server_address()) + "one",
                        3) == "one");
    CHECK(pair.exchange(socket, "two", 3) == "two");
}

TEST_CASE("detour server: only known servers are reached")
{
    auto pair = echo_behind_detour();
    for (const auto& first :
         {format_detour("127.0.0.1:1"), format_detour("nowhere"),
          std::string("GET /\n"), std::string(500, 'x')})
    {
        auto socket = pair.connect();
        CHECK(pair.exchange(socket, first, 1).empty());
    }
}

TEST_CASE("detour server: a drain ends quiet connections and takes no new ones")
{
    auto pair = echo_behind_detour();
    auto socket = pair.connect();
    CHECK(pair.exchange(socket, format_detour(pair.server_address()) + "one",
                        3) == "one");
    pair.detour.drain();
    CHECK(pair.exchange(socket, "two", 3) == "two");
    CHECK(pair.exchange(socket, "", 1).empty());
    auto late = asio::ip::tcp::socket(pair.context);
    auto error = error_code();
    late.connect(pair.through, error);
    CHECK(error == asio::error::connection_refused);
}

} // namespace rhubarbrun::test
