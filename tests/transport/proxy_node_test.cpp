#include "control_cluster.hpp"

#include <target_server.hpp>

#include <rhubarbrun/protocol/pg_writer.hpp>
#include <rhubarbrun/transport/proxy_node.hpp>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>

using namespace rhubarbrun;
using namespace rhubarbrun::test;

namespace {

using tcp = asio::ip::tcp;

auto roll_bundle(control_cluster& cluster) -> void
{
    const auto database = std::string("database = \"orders\"\n");
    auto text = bundle_text(1);
    // One server is enough for the test.
    text.insert(text.find(database), "acknowledge = \"primary\"\n");
    const auto digest = digest_of_text(text);
    REQUIRE(cluster.propose(0, "ada", text).first == 200);
    REQUIRE(cluster.act(0, "bo", 1, "approve", digest).first == 200);
    REQUIRE(cluster.act(0, "ada", 1, "roll", digest).first == 200);
}

/// A running proxy with its own threads.
class running_proxy
{
public:
    running_proxy(const std::string& name, const control_cluster& cluster)
    {
        auto settings = proxy_settings{};
        settings.process.name = name;
        settings.process.zone = zone_id("z");
        settings.process.peer_listen = any_port();
        settings.process.advertised_address = any_port().address();
        settings.process.http_listen = any_port();
        settings.process.control_members = cluster.addresses();
        settings.caller_listen = any_port();
        settings.credentials.user = "proxy";
        node_ = std::make_unique<proxy_node>(pool_.context(), settings,
                                             cluster_key(), random_number);
        node_->start();
    }
    running_proxy(const running_proxy&) = delete;
    auto operator=(const running_proxy&) -> running_proxy& = delete;
    ~running_proxy()
    {
        auto ended = std::promise<void>();
        const auto on_ended = [&] {
            ended.set_value();
        };
        // The second call ends the proxy without a drain.
        node_->shut_down(on_ended);
        node_->shut_down(on_ended);
        static_cast<void>(ended.get_future().wait_for(patience));
        pool_.stop();
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return node_->caller_port();
    }
    [[nodiscard]] auto http_address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(node_->http_port());
    }

private:
    worker_pool pool_{2};
    std::unique_ptr<proxy_node> node_;
};

/// A stand-in target on its own thread.
class running_target
{
public:
    explicit running_target(const std::string& announce_to)
    {
        auto options = bench::target_options{};
        options.database = "orders";
        options.server = "s0";
        options.zone = "z";
        options.announce_to = {announce_to};
        server_ =
            std::make_unique<bench::target_server>(pool_.context(), options);
    }
    running_target(const running_target&) = delete;
    auto operator=(const running_target&) -> running_target& = delete;
    ~running_target() { pool_.stop(); }

private:
    worker_pool pool_{1};
    std::unique_ptr<bench::target_server> server_;
};

/// A blocking session on bare sockets, as libpq does not tell its cancel key.
class caller
{
public:
    explicit caller(const running_proxy& proxy)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        do {
            connect(proxy.port());
        } while (!is_open_ && std::chrono::steady_clock::now() < end);
        REQUIRE(is_open_);
    }

    [[nodiscard]] auto key() const -> const backend_key& { return key_; }

    /// SQLSTATE of a statement; empty if it succeeded.
    auto run(const std::string& text) -> std::string
    {
        auto bytes = std::string("Q");
        pg_writer(bytes).put_uint32(
            static_cast<std::uint32_t>(4 + text.size() + 1));
        bytes += text;
        bytes.push_back('\0');
        asio::write(socket_, asio::buffer(bytes));
        return read_until_ready();
    }

    /// Runs a statement until it succeeds, once a target is served.
    auto run_until_served(const std::string& text) -> void
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        auto state = run(text);
        while (!state.empty() && std::chrono::steady_clock::now() < end) {
            state = run(text);
        }
        REQUIRE(state == "");
    }

private:
    auto connect(std::uint16_t port) -> void
    {
        auto body = std::string();
        pg_writer(body).put_uint32(pg::version_3_0);
        for (const auto* const word : {"user", "clerk", "database", "orders"}) {
            body += word;
            body.push_back('\0');
        }
        body.push_back('\0');
        auto bytes = std::string();
        pg_writer(bytes).put_uint32(
            static_cast<std::uint32_t>(4 + body.size()));
        socket_ = tcp::socket(context_);
        socket_.connect({asio::ip::address_v4::loopback(), port});
        asio::write(socket_, asio::buffer(bytes + body));
        is_open_ = read_until_ready().empty();
    }

    auto read_number() -> std::uint32_t
    {
        auto bytes = std::array<unsigned char, 4>{};
        asio::read(socket_, asio::buffer(bytes));
        auto number = std::uint32_t{0};
        for (const auto byte : bytes) {
            number = (number << 8U) | byte;
        }
        return number;
    }

    /// Reads up to ReadyForQuery or the end of the stream; returns the
    /// SQLSTATE of the last ErrorResponse.
    auto read_until_ready() -> std::string
    {
        auto state = std::string();
        for (;;) {
            auto type = std::array<char, 1>{};
            auto failure = error_code{};
            asio::read(socket_, asio::buffer(type), failure);
            if (failure) {
                return state.empty() ? "closed" : state;
            }
            auto left = read_number() - 4;
            if (type[0] == pg::backend_key_data) {
                key_.process = read_number();
                key_.secret = read_number();
                left = 0;
            }
            auto body = std::string(left, '\0');
            asio::read(socket_, asio::buffer(body));
            if (type[0] == 'E') {
                const auto found = body.find(std::string("\0C", 2));
                state = body.substr(found + 2, 5);
            } else if (type[0] == 'Z') {
                return state;
            }
        }
    }

    asio::io_context context_;
    tcp::socket socket_{context_};
    backend_key key_;
    bool is_open_ = false;
};

/// Sends a CancelRequest and waits until the proxy has closed the connection.
auto send_cancel(const running_proxy& proxy, const backend_key& key) -> void
{
    auto bytes = std::string();
    auto out = pg_writer(bytes);
    out.put_uint32(16);
    out.put_uint32(pg::cancel_request);
    out.put_uint32(key.process);
    out.put_uint32(key.secret);
    auto context = asio::io_context();
    auto socket = tcp::socket(context);
    socket.connect({asio::ip::address_v4::loopback(), proxy.port()});
    asio::write(socket, asio::buffer(bytes));
    auto failure = error_code{};
    auto rest = std::array<char, 1>{};
    asio::read(socket, asio::buffer(rest), failure);
}

} // namespace

// Guards against cancels that are lost because the load balancer has sent them
// to another proxy, and against cancels by strangers.
TEST_CASE("a cancel at another proxy ends the statement, with its secret only")
{
    auto cluster = control_cluster();
    roll_bundle(cluster);
    const auto holder = running_proxy("p1", cluster);
    const auto other = running_proxy("p2", cluster);
    const auto target = running_target(holder.http_address());
    constexpr auto pause = std::chrono::milliseconds(100);

    auto first = caller(holder);
    first.run_until_served("SELECT 1");
    auto cancelled = std::async(
        std::launch::async, [&] { return first.run("SELECT pg_sleep(20)"); });
    // Repeated, as a cancel that arrives before its statement has no effect.
    do {
        send_cancel(other, first.key());
    } while (cancelled.wait_for(pause) != std::future_status::ready);
    CHECK(cancelled.get() == "57014");

    auto second = caller(holder);
    auto undisturbed = std::async(
        std::launch::async, [&] { return second.run("SELECT pg_sleep(1)"); });
    auto wrong = second.key();
    ++wrong.secret;
    do {
        send_cancel(other, wrong);
        send_cancel(holder, wrong);
    } while (undisturbed.wait_for(pause) != std::future_status::ready);
    CHECK(undisturbed.get() == "");
}
