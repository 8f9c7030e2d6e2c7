#include "position_inquiry.hpp"

#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::platform {

namespace {

/// A server that answers each line as it is told, and an inquiry at it.
class inquired_server
{
public:
    /// The answer to a line, empty if it is lost.
    using answer_function = std::function<std::string(std::string_view)>;

    explicit inquired_server(answer_function answer)
        : answer_(std::move(answer)),
          acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        auto primary = server_record{};
        primary.id = target_id("i-1");
        primary.group = group_id("g");
        primary.address =
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        primary_ = primary;
        inquiry_.emplace(context_, primary,
                         [this](time_point, const auto& position) {
                             positions.push_back(position);
                         });
    }

    auto ask() -> void { inquiry_->ask(steady_now()); }
    [[nodiscard]] auto is_usable() const -> bool
    {
        return inquiry_->is_usable_for(primary_);
    }
    /// Runs until the condition holds; returns whether it does in the end.
    auto wait_for(const std::function<bool()>& condition) -> bool
    {
        const auto end = steady_now() + std::chrono::seconds(10);
        while (!condition() && steady_now() < end) {
            context_.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    std::vector<std::optional<log_position>> positions;
    /// Whether the inquiry closed its connection.
    bool is_closed = false;

private:
    auto accept() -> void
    {
        acceptor_.async_accept([this](error_code error,
                                      asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            connection_ = std::make_shared<line_connection>(std::move(socket));
            connection_->start(
                [this](std::string_view line) {
                    connection_->send(answer_(line));
                },
                [this](const error_code&) { is_closed = true; });
            accept();
        });
    }

    answer_function answer_;
    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<line_connection> connection_;
    server_record primary_;
    std::optional<position_inquiry> inquiry_;
};

auto answer_as_primary(std::string_view line) -> std::string
{
    if (line.starts_with("STARTUP")) {
        return "READY I 1.7\r\n";
    }
    return line.ends_with("BEGIN") ? "COMPLETE -\r\nREADY T 1.7\r\n"
                                   : "COMPLETE -\r\nREADY I 1.7\r\n";
}

} // namespace

TEST_CASE("position inquiry: a primary answers again and again")
{
    auto server = inquired_server(answer_as_primary);
    for (auto count = std::size_t{1}; count <= 3; ++count) {
        server.ask();
        CHECK(server.wait_for([&] {
            return server.positions.size() == count && server.is_usable();
        }));
        REQUIRE(server.positions.back());
        CHECK(server.positions.back()->offset == log_offset(7));
    }
}

// The answer to the end of the transaction was taken for the lost refusal of a
// replica, so that the end of its log counted as that of the primary.
TEST_CASE("position inquiry: a lost refusal gives no position")
{
    auto server = inquired_server([](std::string_view line) {
        return line.ends_with("BEGIN") ? std::string()
                                       : answer_as_primary(line);
    });
    server.ask();
    CHECK(server.wait_for([&] { return !server.positions.empty(); }));
    CHECK_FALSE(server.positions.front().has_value());
    CHECK_FALSE(server.is_usable());
}

TEST_CASE("position inquiry: a transaction that does not end ends the session")
{
    auto server = inquired_server([](std::string_view line) {
        return line.ends_with("ROLLBACK")
                   ? std::string("ERROR FAILED i-1\r\nREADY T 1.7\r\n")
                   : answer_as_primary(line);
    });
    server.ask();
    CHECK(server.wait_for([&] { return !server.positions.empty(); }));
    CHECK(server.positions.front().has_value());
    CHECK(server.wait_for([&] { return server.is_closed; }));
    CHECK_FALSE(server.is_usable());
}

} // namespace rhubarbrun::platform
