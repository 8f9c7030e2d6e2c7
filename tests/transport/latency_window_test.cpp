#include <rhubarbrun/transport/latency_window.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

TEST_CASE("a latency window reports the last whole window only")
{
    // An operator must neither see a half-filled window nor figures of an hour
    // ago.
    auto window = latency_window(10s);
    const auto start = time_point(1h);
    for (auto number = 1; number <= 1000; ++number) {
        window.add(start + number * 1ms, number * 1ms);
    }
    CHECK_FALSE(window.last(start + 9s));
    const auto summary = window.last(start + 11s);
    REQUIRE(summary);
    CHECK(summary->count == 1000);
    CHECK(summary->worst == 1s);
    CHECK(summary->median >= 450ms);
    CHECK(summary->median <= 550ms);
    CHECK(summary->p99 >= 970ms);
    CHECK(summary->p99 <= 1s);
    CHECK_FALSE(window.last(start + 21s));
}

TEST_CASE("a pause empties the latency window")
{
    auto window = latency_window(10s);
    const auto start = time_point(1h);
    window.add(start, 5ms);
    CHECK_FALSE(window.last(start + 35s));
    window.add(start + 36s, 7ms);
    const auto summary = window.last(start + 41s);
    REQUIRE(summary);
    CHECK(summary->count == 1);
    CHECK(summary->p99 == 7ms);
}
