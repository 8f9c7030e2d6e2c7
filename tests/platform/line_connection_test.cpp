#include "line_connection.hpp"

#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>

namespace rhubarbrun::platform {

namespace {

/// A connection and the socket at its other end.
class connected_pair
{
public:
    connected_pair() : peer(context)
    {
        auto acceptor = asio::ip::tcp::acceptor(
            context, {asio::ip::make_address("127.0.0.1"), 0});
        peer.connect(acceptor.local_endpoint());
        connection = std::make_shared<line_connection>(acceptor.accept());
        connection->start([](std::string_view) {},
                          [this](const error_code& error) {
                              ended_inside = is_sending;
                              end = error;
                          });
    }

    auto send(const std::string& bytes) -> void
    {
        is_sending = true;
        connection->send(bytes);
        is_sending = false;
    }

    asio::io_context context{1};
    asio::ip::tcp::socket peer;
    std::shared_ptr<line_connection> connection;
    error_code end;
    bool is_sending = false;
    bool ended_inside = false;
};

constexpr auto long_answer = std::size_t{5} * 1024 * 1024;

} // namespace

// An answer longer than the limit of what may wait ended the connection.
TEST_CASE("line connection: a long answer arrives whole")
{
    auto pair = connected_pair();
    pair.send(std::string(long_answer, 'x'));
    auto received = std::size_t{0};
    pair.peer.non_blocking(true);
    auto buffer = std::array<char, 65536>();
    for (auto round = 0; round < 20'000 && received < long_answer; ++round) {
        pair.context.restart();
        pair.context.run_for(std::chrono::milliseconds(1));
        auto error = error_code();
        received += pair.peer.read_some(asio::buffer(buffer), error);
    }
    CHECK(received == long_answer);
    CHECK(!pair.end);
}

// The end was told from inside the call, so that the caller went on with a
// session that its own call had erased.
TEST_CASE("line connection: a peer that does not read is given up after the "
          "call that finds out")
{
    auto pair = connected_pair();
    for (auto count = 0; count < 4; ++count) {
        pair.send(std::string(long_answer, 'x'));
    }
    CHECK(!pair.end);
    pair.context.run_for(std::chrono::milliseconds(50));
    CHECK(pair.end == asio::error::no_buffer_space);
    CHECK_FALSE(pair.ended_inside);
}

} // namespace rhubarbrun::platform
