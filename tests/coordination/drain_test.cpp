#include <rhubarbrun/coordination/drain.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);

} // namespace

TEST_CASE("a proxy without a signal continues to serve")
{
    auto shutdown = drain();
    const auto orders = shutdown.step(start, {});
    CHECK(orders.is_ready);
    CHECK(orders.accept_sessions);
    CHECK_FALSE(orders.hand_over_targets);
    CHECK_FALSE(orders.close_idle_sessions);
    CHECK_FALSE(orders.exit);
    CHECK_FALSE(shutdown.next_time());
}

TEST_CASE("sessions are accepted until the load balancer has seen not ready")
{
    auto shutdown = drain();
    shutdown.on_signal(start);
    auto orders = shutdown.step(start, {0, 0, 3, 0});
    CHECK_FALSE(orders.is_ready);
    CHECK(orders.hand_over_targets);
    CHECK(orders.accept_sessions);
    CHECK(shutdown.next_time() == start + 1s);
    orders = shutdown.step(start + 1s, {0, 0, 3, 0});
    CHECK_FALSE(orders.accept_sessions);
    CHECK(orders.close_idle_sessions);
}

TEST_CASE("targets are handed over before sessions are closed")
{
    auto shutdown = drain();
    shutdown.on_signal(start);
    CHECK_FALSE(shutdown.step(start + 4s, {1, 0, 3, 0}).close_idle_sessions);
    CHECK(shutdown.next_time() == start + 5s);
    // A control plane that does not answer must not delay the drain forever.
    CHECK(shutdown.step(start + 5s, {1, 0, 3, 0}).close_idle_sessions);
}

TEST_CASE("the process does not end while a request is in flight")
{
    auto shutdown = drain();
    shutdown.on_signal(start);
    CHECK_FALSE(shutdown.step(start + 2s, {0, 1, 1, 0}).exit);
    CHECK_FALSE(shutdown.step(start + 60s, {0, 1, 0, 0}).exit);
    CHECK_FALSE(shutdown.step(start + 61s, {0, 0, 1, 0}).exit);
    CHECK(shutdown.step(start + 62s, {0, 0, 0, 0}).exit);
    CHECK(shutdown.phase() == drain_phase::ended);
}

TEST_CASE("idle transactions get their time, then they are closed too")
{
    auto shutdown = drain();
    shutdown.on_signal(start);
    auto orders = shutdown.step(start + 1s, {0, 0, 2, 1});
    CHECK(orders.close_idle_sessions);
    CHECK_FALSE(orders.close_idle_transactions);
    CHECK(shutdown.next_time() == start + 3s);
    orders = shutdown.step(start + 3s, {0, 0, 1, 1});
    CHECK(orders.close_idle_transactions);
}

TEST_CASE("a second signal ends the process at once")
{
    auto shutdown = drain();
    shutdown.on_signal(start);
    shutdown.on_signal(start + 1ms);
    CHECK(shutdown.step(start + 1ms, {2, 5, 9, 4}).exit);
}
