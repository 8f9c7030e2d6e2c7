#include <rhubarbrun/coordination/failure_detector.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(10s);

} // namespace

TEST_CASE("a refused target fails after the failure limit, not at once")
{
    auto detector = failure_detector({});
    auto now = start;
    for (auto failures = 0; failures < 2; ++failures) {
        REQUIRE(detector.is_probe_due(now));
        detector.on_probe_sent(now);
        detector.on_probe_failed(now);
        CHECK_FALSE(detector.has_failed(now));
        now += 100ms;
    }
    detector.on_probe_sent(now);
    detector.on_probe_failed(now);
    CHECK(detector.has_failed(now));
}

TEST_CASE("a silent target fails after the silence timeout")
{
    auto detector = failure_detector({});
    detector.on_probe_sent(start);
    CHECK_FALSE(detector.has_failed(start + 399ms));
    CHECK(detector.has_failed(start + 400ms));
}

TEST_CASE("an answer clears earlier failures and silence")
{
    auto detector = failure_detector({});
    detector.on_probe_sent(start);
    detector.on_probe_failed(start);
    detector.on_probe_sent(start + 300ms);
    detector.on_probe_answered(start + 301ms);
    detector.on_probe_sent(start + 400ms);
    CHECK_FALSE(detector.has_failed(start + 700ms));
}

TEST_CASE("a pause of the proxy itself does not count as silence")
{
    auto detector = failure_detector({});
    detector.on_probe_sent(start);
    detector.on_probe_answered(start + 1ms);
    CHECK_FALSE(detector.has_failed(start + 10s));
    CHECK(detector.is_probe_due(start + 10s));
}
