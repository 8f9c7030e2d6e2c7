#include "control_adapter.hpp"
#include "proxy_adapter.hpp"

#include <rhubarbrun/transport/http_client.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

namespace {

const auto configuration_text = std::string(
    R"({"version":7,"routes":[{"name":"r1","host":"db1","pathPrefix":"/",)"
    R"("type":"primary","timeoutMs":1000,"service":"g1"}],)"
    R"("services":[{"name":"g1","maxConns":86,"syncReplicas":0}]})");

/// One control member and one proxy, on loopback and on one thread.
class small_deployment
{
public:
    explicit small_deployment(bool does_proxy_start = true)
        : ports_(free_ports()),
          directory_(std::filesystem::temp_directory_path() /
                     ("rhubarbrun_proxy_" + std::to_string(ports_.at(0)))),
          control_(std::make_unique<control_adapter>(
              context_, settings("127.0.0.1"), seeds,
              [](const std::string& reason) { FAIL(reason); })),
          proxy_(context_, settings("127.0.0.2"), seeds)
    {
        control_->start();
        if (does_proxy_start) {
            proxy_.start();
        }
    }
    small_deployment(const small_deployment&) = delete;
    auto operator=(const small_deployment&) -> small_deployment& = delete;
    ~small_deployment()
    {
        control_.reset();
        std::filesystem::remove_all(directory_);
    }

    /// Sends the configuration until it is acknowledged.
    auto configure() -> bool
    {
        // Answers may come after this has returned.
        const auto is_acknowledged = std::make_shared<bool>(false);
        for (auto attempt = 0; attempt < 100 && !*is_acknowledged; ++attempt) {
            auto request = http_request{};
            request.method = "PUT";
            request.path = "/api/config";
            request.body = configuration_text;
            http_send(context_,
                      {asio::ip::make_address("127.0.0.1"), ports_.at(1)},
                      std::move(request),
                      [is_acknowledged](const http_result& result) {
                          *is_acknowledged =
                              result.response && result.response->status == 200;
                      });
            context_.run_for(std::chrono::milliseconds(300));
        }
        return *is_acknowledged;
    }

    auto stop_control() -> void { control_->stop(); }
    auto run(duration length) -> void { context_.run_for(length); }

    /// The answer to a session that starts; empty if none comes within 5 s.
    auto start_session(const std::string& database) -> std::string
    {
        auto socket = asio::ip::tcp::socket(context_);
        const auto start = "STARTUP " + database + " caller\r\n";
        auto answer = std::string();
        auto is_answered = false;
        socket.async_connect(
            {asio::ip::make_address("127.0.0.2"), ports_.at(2)},
            [&](error_code error) {
                REQUIRE(!error);
                asio::write(socket, asio::buffer(start));
                asio::async_read_until(
                    socket, asio::dynamic_buffer(answer), "\r\n",
                    [&](error_code, std::size_t) { is_answered = true; });
            });
        const auto end = steady_now() + std::chrono::seconds(5);
        while (!is_answered && steady_now() < end) {
            context_.run_for(std::chrono::milliseconds(10));
        }
        REQUIRE(is_answered);
        return answer;
    }

    /// Starts the proxy and sends it the pieces at once, before it can have a
    /// configuration. Returns the lines that come, `count` at most.
    auto send_ahead(const std::vector<std::string>& pieces, std::size_t count)
        -> std::vector<std::string>
    {
        proxy_.start();
        auto socket = asio::ip::tcp::socket(context_);
        socket.connect({asio::ip::make_address("127.0.0.2"), ports_.at(2)});
        auto bytes = std::string();
        auto lines = std::vector<std::string>();
        const auto end = steady_now() + std::chrono::seconds(10);
        for (const auto& piece : pieces) {
            asio::write(socket, asio::buffer(piece));
            context_.run_for(std::chrono::microseconds(200));
        }
        socket.non_blocking(true);
        while (lines.size() < count && steady_now() < end) {
            context_.run_for(std::chrono::milliseconds(5));
            auto error = error_code();
            auto part = std::array<char, 4096>();
            const auto size = socket.read_some(asio::buffer(part), error);
            bytes.append(part.data(), size);
            for (auto at = bytes.find("\r\n"); at != std::string::npos;
                 at = bytes.find("\r\n"))
            {
                lines.push_back(bytes.substr(0, at));
                bytes.erase(0, at + 2);
            }
        }
        return lines;
    }

    /// The answer to a session that starts shortly before the proxy would end
    /// without sessions; empty if it ended without one.
    auto start_session_at_end(const std::string& database) -> std::string
    {
        auto is_drained = false;
        proxy_.drain([&] { is_drained = true; });
        run(settings("127.0.0.2").shutdown_grace / 2 -
            std::chrono::milliseconds(400));
        auto socket = asio::ip::tcp::socket(context_);
        socket.connect({asio::ip::make_address("127.0.0.2"), ports_.at(2)});
        asio::write(socket,
                    asio::buffer("STARTUP " + database + " caller\r\n"));
        const auto end = steady_now() + std::chrono::seconds(20);
        while (!is_drained && steady_now() < end) {
            context_.run_for(std::chrono::milliseconds(5));
        }
        REQUIRE(is_drained);
        auto answer = std::array<char, 256>();
        auto error = error_code();
        socket.non_blocking(true);
        const auto size = socket.read_some(asio::buffer(answer), error);
        return {answer.data(), size};
    }

    /// The answer to a request that arrives while the event loop is held up
    /// until after the end of the shutdown; empty if there is none.
    auto ask_before_late_end(const std::string& database,
                             const std::string& request) -> std::string
    {
        auto socket = asio::ip::tcp::socket(context_);
        socket.connect({asio::ip::make_address("127.0.0.2"), ports_.at(2)});
        asio::write(socket,
                    asio::buffer("STARTUP " + database + " caller\r\n"));
        run(std::chrono::milliseconds(100));
        auto is_drained = false;
        proxy_.drain([&] { is_drained = true; });
        run(std::chrono::milliseconds(200));
        asio::write(socket, asio::buffer(request));
        std::this_thread::sleep_for(settings("127.0.0.2").shutdown_grace +
                                    std::chrono::milliseconds(500));
        const auto end = steady_now() + std::chrono::seconds(5);
        while (!is_drained && steady_now() < end) {
            context_.run_one();
        }
        REQUIRE(is_drained);
        auto answers = std::string(4096, '\0');
        auto error = error_code();
        socket.non_blocking(true);
        answers.resize(socket.read_some(asio::buffer(answers), error));
        return answers.substr(std::min(answers.find('\n') + 1, answers.size()));
    }

    /// Sends bytes to a port and closes the connection some time later.
    auto send_bytes(const std::string& address, std::size_t port,
                    const std::string& bytes) -> void
    {
        auto socket = asio::ip::tcp::socket(context_);
        auto error = error_code();
        socket.connect({asio::ip::make_address(address), ports_.at(port)},
                       error);
        if (!error) {
            asio::write(socket, asio::buffer(bytes), error);
        }
        context_.run_for(std::chrono::milliseconds(10));
    }

private:
    static auto seeds() -> std::vector<std::string> { return {"127.0.0.1"}; }

    static auto free_ports() -> std::vector<std::uint16_t>
    {
        auto context = asio::io_context();
        auto taken = std::vector<asio::ip::tcp::acceptor>();
        auto ports = std::vector<std::uint16_t>();
        for (auto count = 0; count < 4; ++count) {
            taken.emplace_back(context,
                               asio::ip::tcp::endpoint(
                                   asio::ip::make_address("127.0.0.1"), 0));
            ports.push_back(taken.back().local_endpoint().port());
        }
        return ports;
    }

    auto settings(const std::string& address) const -> node_settings
    {
        const auto at = [&](std::size_t index) {
            return address + ':' + std::to_string(ports_.at(index));
        };
        auto result = node_settings{};
        result.name = address;
        result.address = address;
        result.zone = zone_id("north-a");
        result.region = "north";
        result.peer_port = ports_.at(0);
        result.control_listen = at(1);
        result.callers_listen = at(2);
        result.health_listen = at(3);
        result.seeds = seeds();
        result.is_first_start = true;
        result.data_directory = directory_ / address;
        return result;
    }

    asio::io_context context_{1};
    std::vector<std::uint16_t> ports_;
    std::filesystem::path directory_;
    std::unique_ptr<control_adapter> control_;
    proxy_adapter proxy_;
};

} // namespace

// A proxy that had had no news for seconds denied databases for certain.
TEST_CASE("proxy adapter: without news it serves what it knows and denies "
          "nothing")
{
    auto deployment = small_deployment();
    REQUIRE(deployment.configure());
    CHECK(deployment.start_session("db1").starts_with("READY"));
    CHECK(deployment.start_session("none").starts_with("ERROR NODATABASE"));
    deployment.stop_control();
    deployment.run(std::chrono::milliseconds(2500));
    CHECK(deployment.start_session("db1").starts_with("READY"));
    CHECK(deployment.start_session("none").starts_with("ERROR RETRY"));
}

// What a caller had sent ahead to a proxy without a configuration was dropped,
// so that the writes of a transaction ran without its BEGIN.
TEST_CASE("proxy adapter: messages that are sent ahead wait for the session, "
          "in order")
{
    auto deployment = small_deployment(false);
    REQUIRE(deployment.configure());
    const auto start = std::string("STARTUP db1 x\r\n");
    const auto begin = std::string("QUERY a BEGIN\r\n");
    const auto rest = std::string("QUERY b SET n v\r\nQUERY c ROLLBACK\r\n");
    const auto expected = std::vector<std::string>{
        "READY I -", "COMPLETE -", "READY T -", "COMPLETE -",
        "READY T -", "COMPLETE -", "READY I -"};
    SUBCASE("in one piece")
    {
        CHECK(deployment.send_ahead({start + begin + rest}, expected.size()) ==
              expected);
    }
    SUBCASE("in several pieces")
    {
        CHECK(deployment.send_ahead({start, begin, rest}, expected.size()) ==
              expected);
    }
}

// One malformed message must not take the process down, at any port.
// A session that waited for a configuration got no answer when its proxy ended.
TEST_CASE("proxy adapter: a session that waits is answered before the end")
{
    auto deployment = small_deployment();
    CHECK(deployment.start_session_at_end("db1").starts_with("ERROR RETRY"));
}

// A process whose event loop was late ended with requests that had arrived and
// were not read yet: their callers got no answer.
TEST_CASE("proxy adapter: a late shutdown answers what has arrived")
{
    auto deployment = small_deployment();
    REQUIRE(deployment.configure());
    deployment.run(std::chrono::milliseconds(700));
    const auto request = "QUERY q1 WRITE a " + std::string(200'000, 'x');
    const auto answer = deployment.ask_before_late_end("db1", request + "\r\n");
    CHECK(answer.starts_with("ERROR RETRY"));
}

TEST_CASE("proxy adapter and control adapter: bytes of strangers harm nobody")
{
    auto deployment = small_deployment();
    REQUIRE(deployment.configure());
    const auto messages = std::vector<std::string>{
        std::string(64, '\0'),
        std::string("\xff\xff\xff\xff\xff\xff\xff\xff", 8),
        "STARTUP\r\n",
        "STARTUP db1 x\r\nQUERY\r\n",
        "STARTUP db1 x\r\nQUERY a EXECUTE none\r\nQUERY b COMMIT\r\n",
        "STARTUP db1 x\r\n" + std::string(2'000'000, 'x'),
        "PUT /api/config HTTP/1.1\r\nContent-Length: 5\r\n\r\n[[[[[",
        "PUT /api/config HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        "PUT /api/instances/ HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
        "DELETE /api/instances/%00 HTTP/1.1\r\n\r\n",
        "GET / HTTP/9.9\r\n" + std::string(40'000, 'h') + "\r\n\r\n",
        "PUT /api/config HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" +
            std::string(60'000, '[')};
    for (const auto& bytes : messages) {
        for (const auto* const address : {"127.0.0.1", "127.0.0.2"}) {
            for (auto port = std::size_t{0}; port < 4; ++port) {
                deployment.send_bytes(address, port, bytes);
            }
        }
    }
    CHECK(deployment.start_session("db1").starts_with("READY"));
    CHECK(deployment.start_session("none").starts_with("ERROR NODATABASE"));
    CHECK(deployment.configure());
}

} // namespace rhubarbrun_tests
