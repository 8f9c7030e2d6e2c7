#include <rhubarbrun/coordination/write_acknowledger.hpp>

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(10s);

auto at(std::uint64_t current, std::uint64_t replica) -> replication_positions
{
    return {log_offset(current), log_offset(replica)};
}

} // namespace

TEST_CASE("a write is answered only when a replica holds its position")
{
    auto writes = write_acknowledger(acknowledge_mode::second_server, 1000ms);
    writes.on_committed(start, 1);
    REQUIRE(writes.should_poll());
    writes.on_poll_sent();
    CHECK(writes.on_poll_answered(at(100, 90)).empty());
    writes.on_poll_sent();
    const auto durable = writes.on_poll_answered(at(150, 100));
    REQUIRE(durable.size() == 1);
    CHECK(durable[0].position == log_offset(100));
    CHECK(writes.highest_acknowledged() == log_offset(100));
}

TEST_CASE("a poll that left before the commit says nothing about the write")
{
    auto writes = write_acknowledger(acknowledge_mode::second_server, 1000ms);
    writes.on_committed(start, 1);
    writes.on_poll_sent();
    writes.on_committed(start, 2);
    const auto durable = writes.on_poll_answered(at(100, 100));
    REQUIRE(durable.size() == 1);
    CHECK(durable[0].handle == 1);
    CHECK(writes.waiting() == 1);
}

TEST_CASE("without a replica a write times out as may have run")
{
    auto writes = write_acknowledger(acknowledge_mode::second_server, 1000ms);
    writes.on_committed(start, 7);
    writes.on_poll_sent();
    CHECK(writes.on_poll_answered({log_offset(100), std::nullopt}).empty());
    CHECK(writes.expire(start + 999ms).empty());
    CHECK(writes.expire(start + 1000ms) == std::vector<std::uint64_t>{7});
}

TEST_CASE("a failed poll is not taken for one that saw the write")
{
    auto writes = write_acknowledger(acknowledge_mode::second_server, 1000ms);
    writes.on_committed(start, 1);
    writes.on_poll_sent();
    writes.on_poll_failed();
    CHECK(writes.should_poll());
    writes.on_poll_sent();
    CHECK(writes.on_poll_answered(at(10, 10)).size() == 1);
}

namespace {

/// Runs random commits and polls; returns how many writes were acknowledged
/// below their real commit position. `marks_late_writes` injects the fault that
/// a poll covers writes that committed while it was in progress.
auto early_acknowledgements(std::uint64_t seed, bool marks_late_writes) -> int
{
    auto random = std::mt19937_64(seed);
    auto writes = write_acknowledger(acknowledge_mode::second_server, 60s);
    auto commit_positions = std::map<std::uint64_t, std::uint64_t>{};
    auto log_end = std::uint64_t{1};
    auto replica = std::uint64_t{0};
    auto handle = std::uint64_t{0};
    auto early = 0;
    for (auto round = 0; round < 2000; ++round) {
        writes.on_committed(start, ++handle);
        commit_positions[handle] = log_end += 1 + random() % 9;
        writes.on_poll_sent();
        const auto answer = at(log_end, replica);
        if (random() % 2 == 0) {
            writes.on_committed(start, ++handle);
            commit_positions[handle] = log_end += 1 + random() % 9;
            if (marks_late_writes) {
                writes.on_poll_sent();
            }
        }
        for (const auto& write : writes.on_poll_answered(answer)) {
            early += replica < commit_positions[write.handle] ? 1 : 0;
        }
        replica += random() % (log_end - replica + 1);
    }
    return early;
}

} // namespace

TEST_CASE("no write is acknowledged before a second server holds it")
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK(early_acknowledgements(seed, false) == 0);
    }
}

TEST_CASE("the check detects a poll that covers writes committed after it")
{
    CHECK(early_acknowledgements(1, true) > 0);
}

// Guards against a write that is acknowledged from positions that were read
// before it committed. This happens if `on_poll_sent` is not called for the
// owner's idle poll and a write commits before that poll is answered.
TEST_CASE("a write that commits during an idle poll waits for the next poll")
{
    auto writes = write_acknowledger(acknowledge_mode::second_server,
                                     std::chrono::seconds(1));
    REQUIRE_FALSE(writes.is_polling());
    writes.on_poll_sent();
    CHECK(writes.is_polling());
    writes.on_committed(time_point{}, 1);
    CHECK_FALSE(writes.should_poll());
    const auto before = replication_positions{log_offset(10), log_offset(10)};
    CHECK(writes.on_poll_answered(before).empty());
    CHECK(writes.should_poll());
    writes.on_poll_sent();
    const auto after = replication_positions{log_offset(11), log_offset(11)};
    CHECK(writes.on_poll_answered(after).size() == 1);
}
