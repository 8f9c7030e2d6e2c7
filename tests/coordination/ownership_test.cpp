#include <rhubarbrun/coordination/ownership.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);

auto identity(int number, std::uint64_t run = 1) -> proxy_identity
{
    return {proxy_id("p" + std::to_string(number)), incarnation(run)};
}

/// A plan with proxies and targets spread evenly over zones. Each group has
/// three servers within one zone.
class plan_fixture
{
public:
    plan_fixture(int proxies, int targets, int zones)
        : proxies_(proxies), targets_(targets), zones_(zones)
    {
        for (auto i = 0; i < proxies; ++i) {
            plan.add_proxy(start, identity(i), zone(i));
        }
        for (auto i = 0; i < targets; ++i) {
            plan.put_target(target(i), group_id(std::to_string(i / 3)),
                            zone(i / 3));
            plan.place(start, target(i));
        }
    }

    [[nodiscard]] auto zone(int number) const -> zone_id
    {
        return zone_id("z" + std::to_string(number % zones_));
    }

    static auto target(int number) -> target_id
    {
        return target_id("t" + std::to_string(number));
    }

    auto owners(time_point now) -> std::vector<proxy_id>
    {
        auto found = std::vector<proxy_id>();
        for (auto i = 0; i < targets_; ++i) {
            found.push_back(plan.place(now, target(i))->id);
        }
        return found;
    }

    [[nodiscard]] auto loads() const -> std::pair<std::size_t, std::size_t>
    {
        auto lowest = std::size_t{99999};
        auto highest = std::size_t{0};
        for (auto i = 0; i < proxies_; ++i) {
            const auto load = plan.load_of(identity(i).id);
            lowest = std::min(lowest, load);
            highest = std::max(highest, load);
        }
        return {lowest, highest};
    }

    auto apply_all_moves(time_point now) -> std::size_t
    {
        auto moves = std::size_t{0};
        for (auto batch = plan.plan_moves(now, 8); !batch.empty();
             batch = plan.plan_moves(now, 8))
        {
            CHECK(batch.size() <= 8);
            moves += batch.size();
        }
        return moves;
    }

    ownership plan;

private:
    int proxies_;
    int targets_;
    int zones_;
};

auto count_changes(const std::vector<proxy_id>& left,
                   const std::vector<proxy_id>& right) -> int
{
    auto changes = 0;
    for (auto i = std::size_t{0}; i < left.size(); ++i) {
        changes += left[i] != right[i] ? 1 : 0;
    }
    return changes;
}

} // namespace

TEST_CASE("9 targets on 15 proxies: one each, in their zone, groups separated")
{
    auto fixture = plan_fixture(15, 9, 3);
    CHECK(fixture.loads().second == 1);
    const auto owners = fixture.owners(start);
    for (auto i = 0; i < 9; ++i) {
        const auto number =
            std::stoi(owners[static_cast<std::size_t>(i)].value().substr(1));
        CHECK(fixture.zone(number) == fixture.zone(i / 3));
    }
    CHECK(fixture.apply_all_moves(start) == 0);
}

TEST_CASE("1,620 targets on 540 proxies: balanced, and few moves on changes")
{
    auto fixture = plan_fixture(540, 1620, 8);
    fixture.apply_all_moves(start);
    const auto [lowest, highest] = fixture.loads();
    CHECK(highest - lowest <= 1);
    const auto before = fixture.owners(start);
    const auto orphans =
        fixture.plan.remove_proxy(start, identity(17).id).size();
    const auto after = fixture.owners(start);
    CHECK(count_changes(before, after) == static_cast<int>(orphans));
    CHECK(fixture.apply_all_moves(start) == 0);
    // A new proxy gets its share, one target from each of a few others.
    fixture.plan.add_proxy(start, identity(1000), fixture.zone(17));
    CHECK(fixture.apply_all_moves(start) <= orphans);
    CHECK(fixture.plan.load_of(identity(1000).id) >= lowest - 1);
}

TEST_CASE("the servers of a group get different owners if there is a choice")
{
    auto fixture = plan_fixture(2, 3, 1);
    fixture.plan.add_proxy(start, identity(7), fixture.zone(0));
    fixture.apply_all_moves(start);
    auto owners = fixture.owners(start);
    std::sort(owners.begin(), owners.end());
    CHECK(std::unique(owners.begin(), owners.end()) == owners.end());
}

TEST_CASE("a proxy that flaps gets targets back only after its hold-down")
{
    auto fixture = plan_fixture(6, 18, 1);
    auto now = start;
    auto moves = std::size_t{0};
    for (auto i = std::uint64_t{2}; i < 12; ++i) {
        moves += fixture.plan.remove_proxy(now, identity(0).id).size();
        now += 5s;
        fixture.owners(now);
        fixture.plan.add_proxy(now, identity(0, i), fixture.zone(0));
        now += 5s;
        moves += fixture.apply_all_moves(now);
    }
    // Only the first departure moved targets.
    CHECK(moves == 3);
    CHECK(fixture.plan.load_of(identity(0).id) == 0);
    REQUIRE(fixture.plan.next_hold_down_end().has_value());
    CHECK(*fixture.plan.next_hold_down_end() >= now + 9min);
    now += 11min;
    CHECK(fixture.apply_all_moves(now) == 3);
    CHECK(fixture.loads() == std::pair<std::size_t, std::size_t>(3, 3));
}

TEST_CASE("a proxy that is held down or excluded is used if there is no other")
{
    auto plan = ownership();
    const auto zone = zone_id("z");
    plan.add_proxy(start, identity(0), zone);
    plan.remove_proxy(start, identity(0).id);
    plan.add_proxy(start, identity(0, 2), zone);
    plan.put_target(target_id("t"), group_id("g"), zone);
    CHECK(plan.place(start, target_id("t")) == identity(0, 2));
    plan.exclude(target_id("t"), identity(0).id, start + 1min);
    CHECK(plan.place(start, target_id("t")) == identity(0, 2));
    plan.add_proxy(start, identity(1), zone_id("other"));
    plan.exclude(target_id("t"), identity(0).id, start + 1min);
    CHECK(plan.place(start, target_id("t")) == identity(1));
}

TEST_CASE("targets return to their zone when it has proxies again")
{
    auto fixture = plan_fixture(4, 6, 2);
    fixture.plan.remove_proxy(start, identity(0).id);
    fixture.plan.remove_proxy(start, identity(2).id);
    fixture.owners(start);
    CHECK(fixture.apply_all_moves(start) == 0);
    const auto later = start + 20min;
    fixture.plan.add_proxy(later, identity(0, 2), fixture.zone(0));
    fixture.plan.add_proxy(later, identity(2, 2), fixture.zone(0));
    CHECK(fixture.apply_all_moves(later) == 3);
    CHECK(fixture.plan.load_of(identity(0).id) +
              fixture.plan.load_of(identity(2).id) ==
          3);
}

TEST_CASE("a draining proxy keeps nothing that others can take")
{
    auto fixture = plan_fixture(3, 9, 1);
    CHECK(fixture.plan.drain_proxy(identity(1).id).size() == 3);
    for (const auto& owner : fixture.owners(start)) {
        CHECK(owner != identity(1).id);
    }
}
