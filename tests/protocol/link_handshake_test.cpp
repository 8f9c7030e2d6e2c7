#include <rhubarbrun/protocol/link_handshake.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace rhubarbrun;

namespace {

auto key(char letter = 'k') -> secret_key
{
    return secret_key::from_material(std::string(32, letter));
}

auto identity(const char* name) -> peer_identity
{
    return {{peer_role::control, name}, incarnation(7)};
}

auto initiator(char nonce = 'a', version_range versions = {1, 1},
               char key_letter = 'k') -> link_handshake
{
    return {link_side::initiator, key(key_letter), identity("c1"),
            std::string(32, nonce), versions};
}

auto acceptor(char nonce = 'b', version_range versions = {1, 1})
    -> link_handshake
{
    return {link_side::acceptor, key(), identity("c2"), std::string(32, nonce),
            versions};
}

/// Runs both ends until nothing is left to send.
auto run(link_handshake& left, link_handshake& right) -> void
{
    const auto to_right = left.receive(right.hello());
    const auto to_left = right.receive(left.hello());
    (void)left.receive(to_left);
    (void)right.receive(to_right);
}

} // namespace

TEST_CASE("a handshake gives both ends matching keys and identities")
{
    auto left = initiator();
    auto right = acceptor();
    run(left, right);
    REQUIRE(left.is_complete());
    REQUIRE(right.is_complete());
    auto one = left.take();
    auto two = right.take();
    CHECK(one.peer == identity("c2"));
    CHECK(two.peer == identity("c1"));
    CHECK(one.datagrams.channel == two.datagrams.channel);

    two.reader.append(one.writer.write(message_type::cancel, "one"));
    one.reader.append(two.writer.write(message_type::cancel, "two"));
    CHECK(two.reader.next()->payload == "one");
    CHECK(one.reader.next()->payload == "two");
}

TEST_CASE("a peer with another deployment key is refused")
{
    auto left = initiator('a', {1, 1}, 'x');
    auto right = acceptor();
    run(left, right);
    CHECK(left.fault() == handshake_fault::not_authentic);
    CHECK(right.fault() == handshake_fault::not_authentic);
}

TEST_CASE("the highest common version is chosen, and none is a fault")
{
    auto left = initiator('a', {1, 3});
    auto right = acceptor('b', {2, 5});
    run(left, right);
    REQUIRE(left.is_complete());
    CHECK(left.take().version == 3);
    CHECK(right.take().version == 3);

    auto old = initiator('a', {1, 2});
    auto recent = acceptor('b', {3, 4});
    run(old, recent);
    CHECK(old.fault() == handshake_fault::no_common_version);
    CHECK(recent.fault() == handshake_fault::no_common_version);
    // A peer of the first version closes the link on a type that it does not
    // know.
    CHECK(is_in_version(message_type::cancel, 1));
    CHECK_FALSE(is_in_version(message_type::forward_cancel, 1));
    CHECK(is_in_version(message_type::forward_cancel, 2));
}

TEST_CASE("a recorded link cannot be replayed to either end")
{
    auto left = initiator();
    auto right = acceptor();
    const auto from_left = left.hello() + left.receive(right.hello());
    const auto from_right = right.hello() + right.receive(left.hello());

    auto next_right = acceptor('c');
    (void)next_right.receive(from_left);
    CHECK_FALSE(next_right.is_complete());
    CHECK(next_right.fault() == handshake_fault::not_confirmed);

    auto next_left = initiator('d');
    (void)next_left.receive(from_right);
    CHECK(next_left.fault() == handshake_fault::not_confirmed);
}

TEST_CASE("a reflected hello is refused")
{
    auto left = initiator();
    (void)left.receive(left.hello());
    CHECK(left.fault() == handshake_fault::not_authentic);
    auto right = acceptor('a');
    (void)right.receive(left.hello());
    CHECK(right.fault() == handshake_fault::reflected);
}

TEST_CASE("no mutation of the handshake completes it")
{
    auto random = std::mt19937(22);
    for (auto round = 0; round < 500; ++round) {
        auto left = initiator();
        auto right = acceptor();
        auto bytes = left.hello() + left.receive(right.hello());
        const auto at = random() % bytes.size();
        bytes[at] = static_cast<char>(bytes[at] ^
                                      static_cast<char>(1U << (random() % 8U)));
        (void)right.receive(bytes);
        CHECK_FALSE(right.is_complete());
    }
}

TEST_CASE("datagrams open once, in order or not, and only with the link's keys")
{
    auto left = initiator();
    auto right = acceptor();
    run(left, right);
    auto sender = datagram_seal(left.take().datagrams);
    auto receiver = datagram_seal(right.take().datagrams);
    const auto first = sender.seal(message_type::renew_lease, "1");
    const auto second = sender.seal(message_type::renew_lease, "2");
    CHECK(receiver.open(second)->payload == "2");
    CHECK(receiver.open(first)->payload == "1");
    CHECK_FALSE(receiver.open(first));
    CHECK_FALSE(sender.open(first));

    // A restarted receiver has a new link and thus other keys.
    auto next_left = initiator('e');
    auto next_right = acceptor('f');
    run(next_left, next_right);
    auto restarted = datagram_seal(next_right.take().datagrams);
    CHECK_FALSE(restarted.open(second));

    auto random = std::mt19937(23);
    const auto third = sender.seal(message_type::renew_lease, "3");
    for (auto round = 0; round < 500; ++round) {
        auto changed = third;
        const auto at = random() % changed.size();
        changed[at] = static_cast<char>(
            changed[at] ^ static_cast<char>(1U << (random() % 8U)));
        CHECK_FALSE(receiver.open(changed));
        CHECK_FALSE(receiver.open(third.substr(0, random() % third.size())));
    }
    CHECK(receiver.open(third));
}
