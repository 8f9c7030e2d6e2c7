#include <rhubarbrun/coordination/silence_detector.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);
const auto first = connection_id(1);
const auto second = connection_id(2);

} // namespace

TEST_CASE("a connection that does not answer a statement is reported silent")
{
    auto detector = silence_detector();
    detector.on_opened(start, first);
    detector.on_opened(start, second);
    detector.on_sent(first, start + 1s);
    detector.on_sent(second, start + 1s);
    detector.on_answered(start + 900ms, second);
    CHECK(detector.tick(start + 1s).empty());
    const auto actions = detector.tick(start + 1300ms);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().connection == first);
    CHECK(actions.front().finding == silence_finding::silent);
    // The connection is reported once and never used again.
    CHECK(detector.tick(start + 1400ms).empty());
    CHECK(detector.check(start + 1400ms, first) == connection_check::replace);
}

TEST_CASE("a large result that still arrives is not silence")
{
    auto detector = silence_detector();
    detector.on_opened(start, first);
    detector.on_sent(first, start + 1s);
    for (auto elapsed = duration(0); elapsed < 5s; elapsed += 300ms) {
        detector.on_progress(start + elapsed, first);
        CHECK(detector.tick(start + elapsed).empty());
    }
    CHECK(detector.tick(start + 6s).size() == 1);
}

TEST_CASE("an idle connection that went silent is noticed by a probe")
{
    auto detector = silence_detector();
    detector.on_opened(start, first);
    CHECK(detector.tick(start + 900ms).empty());
    const auto probe = detector.tick(start + 1s);
    REQUIRE(probe.size() == 1);
    CHECK(probe.front().finding == silence_finding::send_probe);
    detector.on_probe_sent(start + 1s, first);
    CHECK(detector.check(start + 1s, first) == connection_check::wait);
    CHECK(detector.tick(start + 1300ms).empty());
    const auto lost = detector.tick(start + 1400ms);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().finding == silence_finding::silent);
}

TEST_CASE("an idle connection is probed before use")
{
    auto detector = silence_detector();
    detector.on_opened(start, first);
    CHECK(detector.check(start + 100ms, first) == connection_check::use);
    CHECK(detector.check(start + 500ms, first) ==
          connection_check::probe_first);
    detector.on_probe_sent(start + 500ms, first);
    detector.on_probe_answered(start + 501ms, first);
    CHECK(detector.check(start + 501ms, first) == connection_check::use);
    detector.on_sent(first, start + 2s);
    CHECK(detector.check(start + 502ms, first) == connection_check::wait);
    detector.on_closed(first);
    CHECK(detector.check(start + 502ms, first) == connection_check::replace);
}

TEST_CASE("the age of a connection is bounded, but not in mid-statement")
{
    auto detector = silence_detector();
    detector.on_opened(start, first);
    detector.on_sent(first, start + 31min);
    CHECK(detector.tick(start + 30min).empty());
    detector.on_answered(start + 30min, first);
    CHECK(detector.check(start + 30min, first) == connection_check::replace);
    const auto actions = detector.tick(start + 30min);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().finding == silence_finding::too_old);
}
