#include "stand_in_server.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace rhubarbrun_tests {

namespace {

/// Whether the query runs at the server, which proves it; all others are
/// answered with `-`.
auto is_proven(std::string_view line) -> bool
{
    const auto skip_words = [&](int count) {
        for (; count > 0 && !line.empty(); --count) {
            const auto end = line.find(' ');
            line.remove_prefix(end == std::string_view::npos ? line.size()
                                                             : end + 1);
        }
    };
    skip_words(2);
    if (line.starts_with("WAITLSN")) {
        skip_words(2);
    }
    return line.starts_with("READ") || line.starts_with("WRITE") ||
           line.starts_with("EXECUTE") || line.starts_with("COMMIT");
}

/// The answer to a query; empty if there is none. `state` is that of the
/// connection's transaction.
auto answer_to(std::string_view line, char& state) -> std::string
{
    const auto contains = [&](std::string_view text) {
        return line.substr(0, 128).find(text) != std::string_view::npos;
    };
    if (contains(" hang")) {
        return {};
    }
    auto rows = std::string();
    if (contains(" STATUS")) {
        rows = "DATAROW primary 1 1.5 -\r\n";
    } else if (contains(" large")) {
        rows =
            "DATAROW " + std::string(stand_in_server::large_row, 'r') + "\r\n";
    } else if (contains(" BEGIN")) {
        state = 'T';
    } else if (contains(" COMMIT") || contains(" ROLLBACK")) {
        state = 'I';
    }
    return rows + (is_proven(line) ? "COMPLETE 7.1" : "COMPLETE -") +
           "\r\nREADY " + state + " 1.5\r\n";
}

} // namespace

stand_in_server::stand_in_server()
    : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
      endpoint_(acceptor_.local_endpoint())
{
    asio::co_spawn(context_, accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

stand_in_server::~stand_in_server()
{
    context_.stop();
    thread_.join();
}

auto stand_in_server::accept() -> asio::awaitable<void>
{
    while (true) {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

auto stand_in_server::serve(asio::ip::tcp::socket socket)
    -> asio::awaitable<void>
{
    auto input = std::string();
    auto state = 'I';
    auto error = error_code();
    while (true) {
        const auto size = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(input), "\r\n",
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const auto line = std::string_view(input).substr(0, size);
        const auto answer = line.starts_with("STARTUP")
                                ? std::string("READY I 1.5\r\n")
                                : answer_to(line, state);
        input.erase(0, size);
        co_await asio::async_write(
            socket, asio::buffer(answer),
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
    }
}

} // namespace rhubarbrun_tests
