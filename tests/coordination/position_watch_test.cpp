#include <rhubarbrun/coordination/position_watch.hpp>

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

/// A `position_watch` over the group "g", whose primary is "p".
class watched_primary
{
public:
    watched_primary()
        : watch([this](const server_record& server, time_point asked_at) {
              asked.emplace_back(server.id.value(), asked_at);
          })
    {
        watch.watch(group_id("g"));
        announce("p", server_role::primary);
        announce("r", server_role::replica);
    }

    auto announce(const std::string& name, server_role role) -> void
    {
        auto record = server_record{};
        record.id = target_id(name);
        record.group = group_id("g");
        record.address = name;
        record.role = role;
        record.sequence = ++sequence_;
        directory.merge(now, record);
    }

    auto pass(duration length) -> void
    {
        for (const auto end = now + length; now < end;) {
            now += milliseconds(50);
            if (is_wanted) {
                watch.want(now, group_id("g"));
            }
            watch.tick(now, directory);
        }
    }

    auto answer(time_point asked_at, std::uint64_t at_term,
                std::uint64_t offset) -> void
    {
        watch.on_position(group_id("g"), asked_at,
                          log_position{term(at_term), log_offset(offset)});
    }

    time_point now = time_point(std::chrono::seconds(100));
    /// Whether a proxy that needs the position follows the member.
    bool is_wanted = true;
    server_directory directory;
    std::vector<std::pair<std::string, time_point>> asked;
    position_watch watch;

private:
    std::uint64_t sequence_ = 0;
};

} // namespace

// Guards against position queries that exhaust a primary's connections, which
// happens if every proxy queries every primary and there are more proxies than
// connections.
TEST_CASE("position watch: primaries are queried a few times a second, "
          "independent of the number of proxies")
{
    auto group = watched_primary();
    for (auto round = 0; round < 20; ++round) {
        group.pass(milliseconds(50));
        if (!group.asked.empty()) {
            group.answer(group.asked.back().second, 1, 10);
        }
    }
    CHECK(group.asked.size() == 3);
    CHECK(group.asked.front().first == "p");
}

TEST_CASE("position watch: a late reply counts from the time of its query")
{
    auto group = watched_primary();
    group.pass(milliseconds(1000));
    REQUIRE(group.asked.size() == 2);
    const auto first = group.asked.front().second;
    group.answer(first, 1, 10);
    const auto known = group.watch.observations(group.now);
    REQUIRE(known.size() == 1);
    CHECK(known.front().asked_at == first);
    group.pass(milliseconds(600));
    CHECK(group.asked.size() == 2);
    group.pass(milliseconds(200));
    CHECK(group.asked.size() == 3);
}

TEST_CASE("position watch: neither an earlier term nor an earlier query "
          "replaces an observation")
{
    auto group = watched_primary();
    group.pass(milliseconds(50));
    const auto asked_at = group.asked.front().second;
    group.answer(asked_at + milliseconds(20), 2, 5);
    group.answer(asked_at + milliseconds(30), 1, 50);
    group.answer(asked_at, 2, 4);
    const auto known = group.watch.observations(group.now);
    REQUIRE(known.size() == 1);
    CHECK(known.front().position == log_position{term(2), log_offset(5)});
    CHECK(
        group.watch.observations(group.now + std::chrono::seconds(6)).empty());
}

TEST_CASE("position watch: a new primary is queried as soon as it announces "
          "its role")
{
    auto group = watched_primary();
    group.pass(milliseconds(100));
    group.watch.on_position(group_id("g"), group.asked.back().second,
                            std::nullopt);
    group.announce("p", server_role::replica);
    group.announce("r", server_role::primary);
    group.pass(milliseconds(400));
    CHECK(group.asked.back().first == "r");
}

// Guards against a cost of each member that grows with the number of groups
// and not with what its proxies read.
TEST_CASE("position watch: a group that no proxy reads is not queried")
{
    auto group = watched_primary();
    group.is_wanted = false;
    group.pass(std::chrono::seconds(2));
    CHECK(group.asked.empty());
    group.is_wanted = true;
    group.pass(milliseconds(100));
    REQUIRE(group.asked.size() == 1);
    group.answer(group.asked.back().second, 1, 10);
    group.is_wanted = false;
    group.pass(std::chrono::seconds(5));
    const auto asked = group.asked.size();
    group.pass(std::chrono::seconds(5));
    CHECK(group.asked.size() == asked);
}

TEST_CASE("position watch: a read that waits is queried for at once, together "
          "with others")
{
    auto group = watched_primary();
    group.is_wanted = false;
    CHECK(group.watch.find(group.now, group_id("g")) == nullptr);
    for (auto proxy = 0; proxy < 20; ++proxy) {
        CHECK(group.watch.query_now(group.now, group_id("g"), group.directory));
    }
    REQUIRE(group.asked.size() == 1);
    group.answer(group.now, 1, 10);
    REQUIRE(group.watch.find(group.now, group_id("g")) != nullptr);
    CHECK(group.watch.find(group.now, group_id("g"))->asked_at == group.now);
    CHECK_FALSE(
        group.watch.query_now(group.now, group_id("other"), group.directory));
}

} // namespace rhubarbrun_tests
