#include <rhubarbrun/coordination/commit_observations.hpp>
#include <rhubarbrun/coordination/server_directory.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

auto record(const std::string& name, std::uint64_t started,
            std::uint64_t sequence) -> server_record
{
    auto made = server_record{};
    made.id = target_id(name);
    made.group = group_id("g");
    made.address = name + ":1";
    made.started_at = started;
    made.sequence = sequence;
    return made;
}

const auto now = time_point(std::chrono::seconds(1));

auto at(std::int64_t ms) -> time_point
{
    return time_point(milliseconds(ms));
}

auto position(std::uint64_t leading, std::uint64_t offset) -> log_position
{
    return {term(leading), log_offset(offset)};
}

} // namespace

TEST_CASE("server directory: a late announcement changes nothing")
{
    using result = server_directory::merge_result;
    auto directory = server_directory();
    CHECK(directory.merge(now, record("a", 10, 5)) == result::changed);
    CHECK(directory.merge(now, record("a", 10, 4)) == result::stale);
    CHECK(directory.merge(now, record("a", 10, 6)) == result::renewed);
    // A restarted server begins a new sequence.
    CHECK(directory.merge(now, record("a", 20, 1)) == result::changed);
    CHECK(directory.merge(now, record("a", 10, 99)) == result::stale);
}

TEST_CASE("server directory: a server that left stays gone until it restarts")
{
    auto directory = server_directory();
    directory.merge(now, record("a", 10, 5));
    REQUIRE(directory.remove(now, target_id("a")) != nullptr);
    directory.merge(now, record("a", 10, 6));
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::gone);
    directory.merge(now, record("a", 20, 1));
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::ready);
    CHECK(directory.remove(now, target_id("b")) == nullptr);
}

TEST_CASE("server directory: a successor at an address ends its predecessor")
{
    auto directory = server_directory();
    auto former = record("a", 10, 5);
    auto successor = record("b", 20, 1);
    successor.address = former.address;
    directory.merge(now, former);
    directory.merge(now, successor);
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::gone);
}

// A first ping that was delayed until a new server had registered at the same
// address was taken for the latest claim to be primary.
TEST_CASE("server directory: a delayed announcement of an earlier server at an "
          "address names no server")
{
    auto directory = server_directory();
    auto former = record("a", 10, 1);
    former.role = server_role::primary;
    auto holder = record("b", 20, 1);
    holder.role = server_role::primary;
    holder.address = former.address;
    directory.merge(now, holder);
    const auto arrival = now + milliseconds(4000);
    holder.sequence = 2;
    directory.merge(arrival, holder);
    directory.merge(arrival, former);
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::gone);
    REQUIRE(directory.claimed_primary(group_id("g")) != nullptr);
    CHECK(directory.claimed_primary(group_id("g"))->record.id ==
          target_id("b"));
    INFO("a holder that is silent may have left the address");
    former.id = target_id("c");
    directory.merge(arrival + milliseconds(6000), former);
    CHECK(directory.find(target_id("c"))->record.state ==
          server_availability::ready);
}

// A ping of another writer that lacks its start named a server.
TEST_CASE("server directory: a server without a start is gone where others of "
          "its group have one")
{
    auto directory = server_directory();
    directory.merge(now, record("early", 0, 5));
    CHECK(directory.find(target_id("early"))->record.state ==
          server_availability::ready);
    directory.merge(now, record("a", 10, 5));
    directory.merge(now, record("late", 0, 5));
    for (const auto* const name : {"early", "late"}) {
        CHECK(directory.find(target_id(name))->record.state ==
              server_availability::gone);
    }
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::ready);
}

// An entry of an unknown service with the address of a server ended it.
TEST_CASE("server directory: a server of an unknown group ends no other")
{
    auto directory = server_directory();
    directory.merge(now, record("a", 10, 5));
    auto stranger = record("b", 20, 1);
    stranger.address = "a:1";
    stranger.group = group_id("unknown");
    directory.merge(now, stranger, false);
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::ready);
    stranger.id = target_id("a");
    CHECK(directory.merge(now, stranger, false) ==
          server_directory::merge_result::stale);
    CHECK(directory.find(target_id("a"))->record.group == group_id("g"));
    stranger.id = target_id("c");
    directory.merge(now, stranger, true);
    CHECK(directory.find(target_id("a"))->record.state ==
          server_availability::gone);
}

TEST_CASE("server directory: all processes converge to the same records, "
          "independent of the order of announcements")
{
    auto random = std::mt19937_64(3);
    for (auto round = 0; round < 200; ++round) {
        auto records = std::vector<server_record>();
        for (auto index = 0; index < 12; ++index) {
            auto each = record(index % 2 == 0 ? "a" : "b", 10 + random() % 3,
                               random() % 6);
            // The same number always has the same content, as servers send it.
            each.role = (each.started_at + each.sequence) % 2 == 0
                            ? server_role::primary
                            : server_role::replica;
            records.push_back(each);
        }
        auto first = server_directory();
        auto second = server_directory();
        for (const auto& each : records) {
            first.merge(now, each);
        }
        std::shuffle(records.begin(), records.end(), random);
        for (const auto& each : records) {
            second.merge(now, each);
        }
        for (const auto* const name : {"a", "b"}) {
            const auto* const left = first.find(target_id(name));
            const auto* const right = second.find(target_id(name));
            REQUIRE((left == nullptr) == (right == nullptr));
            if (left != nullptr) {
                CHECK(left->record.is_equivalent(right->record));
                CHECK(left->record.sequence == right->record.sequence);
            }
        }
    }
}

TEST_CASE("commit observations: the oldest position that still covers the "
          "limit is enough")
{
    auto observed = commit_observations();
    observed.observe(at(1000), position(1, 10));
    observed.observe(at(1200), position(1, 20));
    observed.observe(at(1400), position(1, 30));
    CHECK(observed.covering(at(900)) == position(1, 10));
    CHECK(observed.covering(at(1100)) == position(1, 20));
    CHECK(observed.covering(at(1400)) == position(1, 30));
    CHECK(!observed.covering(at(1401)));
}

TEST_CASE("commit observations: a new term replaces what the former end of the "
          "log required")
{
    auto observed = commit_observations();
    observed.observe(at(1000), position(1, 100));
    observed.observe(at(1200), position(2, 95));
    CHECK(observed.covering(at(900)) == position(2, 95));
    CHECK(observed.translate(position(1, 100)) == position(2, 95));
    CHECK(observed.translate(position(2, 97)) == position(2, 97));
    observed.observe(at(1300), position(1, 101));
    CHECK(observed.latest() == at(1200));
}

TEST_CASE("commit observations: close ones are merged without losing cover")
{
    auto observed = commit_observations();
    for (auto ms = 1000; ms < 2000; ms += 7) {
        observed.observe(at(ms), position(1, static_cast<std::uint64_t>(ms)));
        const auto found = observed.covering(at(ms - 300));
        REQUIRE(found);
        // Every commit before the limit is covered.
        CHECK(found->offset.value() >=
              static_cast<std::uint64_t>(std::max(1000, ms - 300)));
    }
}

} // namespace rhubarbrun_tests
