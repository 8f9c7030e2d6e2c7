#include <rhubarbrun/transport/datagrams.hpp>
#include <rhubarbrun/transport/peer_links.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include "relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

using namespace rhubarbrun;
using namespace rhubarbrun::test;

namespace {

auto test_key(char letter = 'k') -> secret_key
{
    return secret_key::from_material(std::string(32, letter));
}

/// A process with links that records what its hooks were told.
class node
{
public:
    explicit node(const std::string& name, char key = 'k',
                  peer_link_limits limits = {}, std::uint64_t run = 1)
        : links(pool.context(), test_key(key),
                {{peer_role::proxy, name}, incarnation(run)}, hooks(), limits),
          datagrams_of(pool.context(),
                       [this](const link_info&, const asio::ip::udp::endpoint&,
                              message_type, const std::string& payload) {
                           seen.change([&] { messages.push_back(payload); });
                       })
    {
    }

    ~node()
    {
        links.stop();
        pool.stop();
    }

    auto wait_up(std::size_t count = 1) -> bool
    {
        return seen.wait([&] { return up.size() >= count; });
    }

    auto wait_down(std::size_t count = 1) -> bool
    {
        return seen.wait([&] { return down.size() >= count; });
    }

    auto wait_message(const std::string& text) -> bool
    {
        return seen.wait([&] {
            return std::find(messages.begin(), messages.end(), text) !=
                   messages.end();
        });
    }

    watched seen;
    std::vector<link_info> up;
    std::vector<std::string> down;
    std::vector<std::string> messages;
    /// Called when either end wants to close an idle link.
    std::function<bool()> on_busy = [] {
        return false;
    };
    worker_pool pool{2};
    peer_links links;
    datagrams datagrams_of;

private:
    auto hooks() -> peer_link_hooks
    {
        return {
            [this](const link_info& link) {
                datagrams_of.add(link);
                seen.change([&] { up.push_back(link); });
            },
            [this](const link_info&, message_type, const std::string& payload) {
                seen.change([&] { messages.push_back(payload); });
            },
            [this](const link_info& link, std::string_view reason) {
                datagrams_of.remove(link);
                seen.change([&] { down.emplace_back(reason); });
            },
            [this](const link_info&) {
                return on_busy();
            }};
    }
};

auto name_of_server() -> peer_name
{
    return {peer_role::proxy, "server"};
}

/// Limits under which an unused link is closed soon; it is checked every 5 ms.
auto short_idle_limits() -> peer_link_limits
{
    auto limits = peer_link_limits{};
    limits.heartbeat = std::chrono::milliseconds(20);
    limits.idle = std::chrono::milliseconds(100);
    return limits;
}

/// Sends like a proxy: over a usable link, or once one is opened.
auto send_to(node& from, const peer_name& peer,
             const asio::ip::tcp::endpoint& endpoint, const std::string& text)
    -> bool
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end) {
        if (const auto link = from.links.use(peer)) {
            return from.links.send(*link, message_type::cancel, text);
        }
        from.links.connect(peer, endpoint);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

/// Sends bytes over a fresh connection and waits until the server closes it.
auto play(const asio::ip::tcp::endpoint& endpoint, const std::string& bytes)
    -> void
{
    auto context = asio::io_context();
    auto socket = asio::ip::tcp::socket(context);
    socket.connect(endpoint);
    auto error = error_code();
    asio::write(socket, asio::buffer(bytes), error);
    auto answer = std::string();
    asio::read(socket, asio::dynamic_buffer(answer), error);
    CHECK(error);
}

} // namespace

TEST_CASE("messages pass both ways between linked processes")
{
    auto server = node("server");
    auto client = node("client");
    client.links.connect(name_of_server(), server.links.listen(any_port()));
    REQUIRE(client.wait_up());
    REQUIRE(server.wait_up());
    CHECK(client.links.send(name_of_server(), message_type::cancel, "there"));
    CHECK(server.wait_message("there"));
    const auto back = peer_name{peer_role::proxy, "client"};
    CHECK(server.links.send(back, message_type::cancel, "back"));
    CHECK(client.wait_message("back"));

    client.links.forget(name_of_server());
    CHECK(server.wait_down());
    CHECK(client.wait_down());
    CHECK_FALSE(server.links.send(back, message_type::cancel, "late"));
}

TEST_CASE("a process with another key or another name gets no link")
{
    auto server = node("server");
    const auto endpoint = server.links.listen(any_port());
    auto stranger = node("stranger", 'x');
    stranger.links.connect(name_of_server(), endpoint);
    auto mistaken = node("mistaken");
    mistaken.links.connect({peer_role::proxy, "other"}, endpoint);
    auto client = node("client");
    client.links.connect(name_of_server(), endpoint);
    REQUIRE(client.wait_up());
    CHECK(stranger.seen.get([&] { return stranger.up.empty(); }));
    CHECK(mistaken.seen.get([&] { return mistaken.up.empty(); }));
    CHECK(server.seen.get([&] {
        return std::none_of(server.up.begin(), server.up.end(),
                            [](const link_info& link) {
                                return link.peer.who.name == "stranger";
                            });
    }));
}

TEST_CASE("a recorded link and random bytes are refused")
{
    auto server = node("server");
    const auto endpoint = server.links.listen(any_port());
    auto pool = worker_pool(1);
    const auto between = std::make_shared<relay>(pool.context(), endpoint);
    {
        auto client = node("client");
        client.links.connect(name_of_server(), between->start());
        REQUIRE(client.wait_up());
        REQUIRE(
            client.links.send(name_of_server(), message_type::cancel, "once"));
        REQUIRE(server.wait_message("once"));
    }
    REQUIRE(server.wait_down());
    play(endpoint, between->recorded());

    auto random = std::mt19937(30);
    for (auto round = 0; round < 20; ++round) {
        auto bytes = std::string(64 + random() % 200, '\0');
        for (auto& byte : bytes) {
            byte = static_cast<char>(random());
        }
        play(endpoint, bytes);
    }
    CHECK(server.seen.get(
        [&] { return server.up.size() == 1 && server.messages.size() == 1; }));
    pool.stop();
}

TEST_CASE("a link that goes silent is closed and replaced")
{
    auto server = node("server");
    auto client = node("client");
    auto pool = worker_pool(1);
    const auto between = std::make_shared<relay>(
        pool.context(), server.links.listen(any_port()));
    client.links.connect(name_of_server(), between->start());
    REQUIRE(client.wait_up());
    REQUIRE(server.wait_up());
    const auto start = std::chrono::steady_clock::now();
    between->silence();
    REQUIRE(client.wait_up(2));
    REQUIRE(server.wait_up(2));
    MESSAGE("silent link replaced after ",
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start)
                .count(),
            " ms");
    CHECK(client.seen.get([&] { return client.down.front() == "silent"; }));
    CHECK(client.links.send(name_of_server(), message_type::cancel, "again"));
    CHECK(server.wait_message("again"));
    pool.stop();
}

TEST_CASE("a new incarnation replaces the links of the former one")
{
    auto server = node("server");
    const auto endpoint = server.links.listen(any_port());
    auto former = node("client", 'k', {}, 1);
    former.links.connect(name_of_server(), endpoint);
    REQUIRE(server.wait_up());
    auto latter = node("client", 'k', {}, 2);
    latter.links.connect(name_of_server(), endpoint);
    REQUIRE(latter.wait_up());
    CHECK(former.wait_down());
}

TEST_CASE("a full send queue closes the link")
{
    auto limits = peer_link_limits{};
    limits.send_queue = 1024;
    auto server = node("server");
    auto client = node("client", 'k', limits);
    client.links.connect(name_of_server(), server.links.listen(any_port()));
    REQUIRE(client.wait_up());
    CHECK_FALSE(client.links.send(name_of_server(), message_type::cancel,
                                  std::string(2048, 'x')));
    REQUIRE(client.wait_down());
    CHECK(client.seen.get(
        [&] { return client.down.front() == "the send queue is full"; }));
}

TEST_CASE("threads may send at the same time")
{
    auto server = node("server");
    auto client = node("client");
    client.links.connect(name_of_server(), server.links.listen(any_port()));
    REQUIRE(client.wait_up());
    constexpr auto per_thread = 500;
    auto threads = std::vector<std::thread>();
    for (auto index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (auto count = 0; count < per_thread; ++count) {
                (void)client.links.send(name_of_server(), message_type::cancel,
                                        "m");
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(server.seen.wait(
        [&] { return server.messages.size() == 4 * per_thread; }));
}

TEST_CASE("datagrams need an established link and are accepted once")
{
    auto server = node("server");
    auto client = node("client");
    const auto to = server.datagrams_of.open(any_port<asio::ip::udp>());
    (void)client.datagrams_of.open(any_port<asio::ip::udp>());
    const auto endpoint = server.links.listen(any_port());
    client.links.connect(name_of_server(), endpoint);
    REQUIRE(client.wait_up());
    REQUIRE(server.wait_up());
    const auto link = client.up.front();
    CHECK(client.datagrams_of.send(link.id, to, message_type::renew_lease,
                                   "first"));
    CHECK(server.wait_message("first"));

    // The same bytes twice, then a marker: the copy must not arrive.
    auto seal = datagram_seal(link.datagrams);
    (void)seal.seal(message_type::renew_lease, "number 1 was used above");
    const auto bytes = seal.seal(message_type::renew_lease, "replayed");
    const auto marker = seal.seal(message_type::renew_lease, "marker");
    auto context = asio::io_context();
    auto socket = asio::ip::udp::socket(context, any_port<asio::ip::udp>());
    socket.send_to(asio::buffer(bytes), to);
    socket.send_to(asio::buffer(bytes), to);
    socket.send_to(asio::buffer(marker), to);
    REQUIRE(server.wait_message("marker"));
    CHECK(server.seen.get([&] {
        return std::count(server.messages.begin(), server.messages.end(),
                          "replayed") == 1;
    }));

    // After the link, its datagrams are refused.
    client.links.forget(name_of_server());
    REQUIRE(server.wait_down());
    CHECK_FALSE(client.datagrams_of.send(link_id(99), to,
                                         message_type::renew_lease, "x"));
    socket.send_to(asio::buffer(seal.seal(message_type::renew_lease, "stale")),
                   to);
    client.links.connect(name_of_server(), endpoint);
    REQUIRE(client.wait_up(2));
    REQUIRE(server.wait_up(2));
    REQUIRE(client.datagrams_of.send(client.up.back().id, to,
                                     message_type::renew_lease, "fresh"));
    REQUIRE(server.wait_message("fresh"));
    CHECK(server.seen.get([&] {
        return std::count(server.messages.begin(), server.messages.end(),
                          "stale") == 0;
    }));
}

// Guards against links that stay open for ever and against a process that
// dials again at once what it has just closed.
TEST_CASE("an idle link is closed by both ends and opened again on demand")
{
    auto server = node("server", 'k', short_idle_limits());
    auto client = node("client", 'k', short_idle_limits());
    const auto endpoint = server.links.listen(any_port());
    client.links.connect(name_of_server(), endpoint);
    REQUIRE(client.wait_up());
    REQUIRE(client.wait_down());
    REQUIRE(server.wait_down());
    CHECK(client.seen.get([&] { return client.down.front() == "idle"; }));
    CHECK(server.seen.get([&] { return server.down.front() == "idle"; }));
    CHECK_FALSE(client.links.use(name_of_server()));
    CHECK(client.seen.get([&] { return client.up.size() == 1; }));
    CHECK(send_to(client, name_of_server(), endpoint, "again"));
    CHECK(server.wait_message("again"));
}

// Guards against a close that ends a request or a transaction of either end.
TEST_CASE("an idle link stays open while either end needs it")
{
    for (const auto is_server_busy : {true, false}) {
        auto server = node("server", 'k', short_idle_limits());
        auto client = node("client", 'k', short_idle_limits());
        auto& busy = is_server_busy ? server : client;
        auto asked = 0;
        auto is_released = false;
        busy.on_busy = [&] {
            auto result = false;
            busy.seen.change([&] {
                ++asked;
                result = !is_released;
            });
            return result;
        };
        client.links.connect(name_of_server(), server.links.listen(any_port()));
        REQUIRE(client.wait_up());
        REQUIRE(busy.seen.wait([&] { return asked >= 3; }));
        CHECK(client.seen.get([&] { return client.down.empty(); }));
        CHECK(
            client.links.send(name_of_server(), message_type::cancel, "still"));
        CHECK(server.wait_message("still"));
        busy.seen.change([&] { is_released = true; });
        CHECK(client.wait_down());
        client.links.stop();
        server.links.stop();
    }
}

// Guards against the loss of a request that is sent after the close request
// and before its answer.
TEST_CASE("a message sent while the peer agrees to close keeps the link open")
{
    auto server = node("server", 'k', short_idle_limits());
    auto client = node("client", 'k', short_idle_limits());
    auto is_first = true;
    server.on_busy = [&] {
        if (std::exchange(is_first, false)) {
            CHECK(client.links.send(name_of_server(), message_type::cancel,
                                    "late"));
        }
        return false;
    };
    client.links.connect(name_of_server(), server.links.listen(any_port()));
    REQUIRE(server.wait_message("late"));
    const auto link = client.links.use(name_of_server());
    CHECK(client.seen.get([&] { return client.down.empty(); }));
    REQUIRE(link);
    CHECK(*link == client.up.front().id);
    const auto back = peer_name{peer_role::proxy, "client"};
    CHECK(server.links.send(back, message_type::cancel, "back"));
    CHECK(client.wait_message("back"));
    client.links.stop();
    server.links.stop();
}

// Guards against messages that are lost, or refused after a link was looked
// up, when a use at either end meets the closing of the link.
TEST_CASE("messages sent around the closing of idle links all arrive")
{
    auto server = node("server", 'k', short_idle_limits());
    auto client = node("client", 'k', short_idle_limits());
    const auto to_server = server.links.listen(any_port());
    const auto to_client = client.links.listen(any_port());
    const auto name_of_client = peer_name{peer_role::proxy, "client"};
    auto random = std::mt19937(61);
    constexpr auto rounds = std::size_t{15};
    for (auto round = std::size_t{0}; round < rounds; ++round) {
        const auto text = std::to_string(round);
        if (random() % 2 == 0) {
            CHECK(send_to(client, name_of_server(), to_server, text));
            CHECK(server.wait_message(text));
        } else {
            CHECK(send_to(server, name_of_client, to_client, text));
            CHECK(client.wait_message(text));
        }
        // Not a wait for a condition: the next use is to meet the closing,
        // which begins about 100 ms after the last one.
        std::this_thread::sleep_for(
            std::chrono::milliseconds(95) +
            std::chrono::microseconds(random() % 15000));
    }
    client.links.stop();
    server.links.stop();
    client.pool.stop();
    server.pool.stop();
    CHECK(client.messages.size() + server.messages.size() == rounds);
    MESSAGE("links that were closed as idle: ", client.down.size());
}
