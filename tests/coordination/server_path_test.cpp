#include "relay_harness.hpp"

#include <rhubarbrun/coordination/server_path.hpp>

#include <doctest/doctest.h>

namespace rhubarbrun_tests {

namespace {

constexpr auto start = time_point(std::chrono::seconds(100));

} // namespace

TEST_CASE("server path: a detour is taken only while direct connections "
          "fail")
{
    auto path = server_path();
    path.set_detours({"x", "y"});
    CHECK(path.choose(start).empty());
    path.on_failed(start, {});
    CHECK(path.choose(start) == "x");
    path.on_opened("x");
    CHECK(path.has_usable_detour());
    CHECK(path.choose(start + std::chrono::seconds(2)).empty());
    CHECK(path.choose(start + std::chrono::seconds(2)) == "x");
    path.on_opened({});
    CHECK_FALSE(path.has_detour());
    CHECK(path.choose(start + std::chrono::seconds(2)).empty());
}

TEST_CASE("server path: a detour that fails is followed by the next one")
{
    auto path = server_path();
    path.set_detours({"x", "y"});
    path.on_failed(start, {});
    path.on_failed(start, "x");
    CHECK(path.choose(start) == "y");
    CHECK(path.has_usable_detour());
    path.on_failed(start, "y");
    CHECK(path.choose(start) == "x");
    CHECK_FALSE(path.has_usable_detour());
    path.set_detours({"z"});
    CHECK(path.has_usable_detour());
}

// Guards against refusing callers during a partition in which some proxies
// cannot reach a primary while others can.
TEST_CASE(
    "session relay: a proxy that is cut off from the primary goes through "
    "another one")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18);
    harness.refusals["p"] = connect_failure::unreachable;
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::write, "item data");
    harness.pass(milliseconds(50));
    CHECK(harness.sent.empty());
    harness.relay.set_detours(target_id("p"), {"10.0.0.7"});
    harness.detours_open = true;
    harness.pass(milliseconds(200));
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.way_of(harness.sent.front()) == "10.0.0.7");
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
    // Control still learns that direct connections fail, and no request is
    // refused because of an outage.
    const auto health = harness.relay.pool().health();
    REQUIRE(health.size() == 1);
    CHECK(health.front().failing_since);
    for (auto round = 0; round < 12; ++round) {
        harness.pass(milliseconds(500));
        harness.ask(caller, relay_step::write, "item data");
        harness.answer_all();
        CHECK(harness.last_reply(caller).is_success());
    }
    // Direct connections are used again once they work.
    harness.refusals.clear();
    harness.detours_open = false;
    harness.pass(milliseconds(4000));
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
    CHECK_FALSE(harness.relay.pool().health().front().failing_since);
}

// Guards against the use of connections that are still open but that a
// partition has cut off. A statement on such a connection waits until its
// timeout.
TEST_CASE("session relay: idle connections are closed when a server turns "
          "unreachable")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18);
    const auto first = harness.start("orders");
    const auto second = harness.start("orders");
    harness.ask(first, relay_step::write, "item data");
    harness.ask(second, relay_step::write, "item data");
    harness.answer_all();
    REQUIRE(harness.opened == 2);
    harness.pass(milliseconds(100));
    harness.ask(first, relay_step::write, "item data");
    harness.pass(milliseconds(1100));
    CHECK(harness.last_reply(first).error == relay_error::timeout);
    CHECK(harness.closed_connections.size() == 1);
}

} // namespace rhubarbrun_tests
