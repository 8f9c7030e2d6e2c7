#include <rhubarbrun/coordination/transaction_pins.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);
const auto alice = entry_session{link_id(1), session_id(1)};
const auto bob = entry_session{link_id(1), session_id(2)};
/// Same session id as `alice`, at another entry proxy.
const auto other_alice = entry_session{link_id(2), session_id(1)};

} // namespace

TEST_CASE("a connection serves one transaction, a session has one")
{
    auto pins = transaction_pins{};
    REQUIRE(pins.pin(start, alice, connection_id(1)));
    CHECK_FALSE(pins.pin(start, bob, connection_id(1)));
    CHECK_FALSE(pins.pin(start, alice, connection_id(2)));
    CHECK(pins.pin(start, other_alice, connection_id(2)));
    CHECK(pins.find(alice)->connection == connection_id(1));
    CHECK_FALSE(pins.find(bob));
}

TEST_CASE("statements of a transaction are not sent over each other")
{
    auto pins = transaction_pins{};
    const auto pin = *pins.pin(start, alice, connection_id(1));
    CHECK(pins.on_sent(pin));
    CHECK_FALSE(pins.on_sent(pin));
    CHECK_FALSE(
        pins.on_answered(start, pin, transaction_status::in_transaction));
    CHECK(pins.on_sent(pin));
    const auto released =
        pins.on_answered(start, pin, transaction_status::idle);
    REQUIRE(released);
    CHECK(released->disposition == connection_disposition::reuse);
    CHECK_FALSE(pins.on_sent(pin));
    CHECK(pins.size() == 0);
}

TEST_CASE("a failed transaction keeps its connection until it is rolled back")
{
    auto pins = transaction_pins{};
    const auto pin = *pins.pin(start, alice, connection_id(1));
    REQUIRE(pins.on_sent(pin));
    CHECK_FALSE(pins.on_answered(start, pin, transaction_status::failed));
    CHECK(pins.find(alice)->status == transaction_status::failed);
}

TEST_CASE("a connection that is not known to be clean is closed")
{
    auto pins = transaction_pins{};
    auto pin = *pins.pin(start, alice, connection_id(1));
    CHECK(pins.on_session_lost(alice)->disposition ==
          connection_disposition::close);
    pin = *pins.pin(start, alice, connection_id(2));
    REQUIRE(pins.on_sent(pin));
    CHECK(pins.on_session_lost(alice)->disposition ==
          connection_disposition::close);
    pin = *pins.pin(start, alice, connection_id(3));
    pins.on_session_state(pin);
    REQUIRE(pins.on_sent(pin));
    CHECK(pins.on_answered(start, pin, transaction_status::idle)->disposition ==
          connection_disposition::close);
    // An answer without a statement belongs to another session.
    pin = *pins.pin(start, alice, connection_id(4));
    CHECK(pins.on_answered(start, pin, transaction_status::idle)->disposition ==
          connection_disposition::close);
    CHECK(disposition_after(true, transaction_status::idle, false) ==
          connection_disposition::reuse);
    CHECK(disposition_after(false, transaction_status::idle, false) ==
          connection_disposition::close);
    CHECK(disposition_after(true, transaction_status::in_transaction, false) ==
          connection_disposition::close);
    CHECK(disposition_after(true, transaction_status::idle, true) ==
          connection_disposition::close);
}

TEST_CASE("a lost entry proxy loses its transactions and no others")
{
    auto pins = transaction_pins{};
    REQUIRE(pins.pin(start, alice, connection_id(1)));
    REQUIRE(pins.pin(start, other_alice, connection_id(2)));
    REQUIRE(pins.pin(start, bob, connection_id(3)));
    const auto released = pins.on_link_lost(link_id(1));
    CHECK(released.size() == 2);
    CHECK(pins.find(other_alice));
    CHECK(pins.on_connection_lost(connection_id(2))->session == other_alice);
    CHECK_FALSE(pins.on_connection_lost(connection_id(2)));
}

TEST_CASE("an idle transaction ends, a running one does not")
{
    auto pins = transaction_pins{};
    const auto idle = *pins.pin(start, alice, connection_id(1));
    const auto running = *pins.pin(start, bob, connection_id(2));
    REQUIRE(pins.on_sent(running));
    CHECK(pins.expire(start + 9s, 10s).empty());
    const auto released = pins.expire(start + 10s, 10s);
    REQUIRE(released.size() == 1);
    CHECK(released.front().pin == idle);
}
