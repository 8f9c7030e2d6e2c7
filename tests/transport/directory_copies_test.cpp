#include "state/bundle_samples.hpp"

#include <rhubarbrun/transport/directory_copies.hpp>

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

auto change(test_log& log, std::uint32_t slots) -> directory_delta
{
    const auto since = log.state.applied();
    auto description = sample_target("s0", "g0");
    description.slots = slots;
    log(announce(description));
    return log.state.delta_since(since);
}

auto slots_in(const directory& copy) -> std::uint32_t
{
    return copy.find_target(target_id("s0"))->description.slots;
}

auto is_current(const directory& copy, const control_state& state) -> bool
{
    return copy.index() == state.applied() && copy.groups() == state.groups() &&
           copy.targets() == state.targets() &&
           copy.proxies() == state.proxies();
}

} // namespace

// Guards against a view that changes under its reader.
TEST_CASE("directory copies: a view that is held does not change")
{
    auto log = test_log{};
    log.start();
    log(announce(sample_target("s0", "g0")));
    auto copies = directory_copies();
    REQUIRE(copies.apply(log.state.delta_since(log_index(0))) ==
            delta_outcome::applied);
    auto held = std::vector<std::shared_ptr<const directory>>{};
    for (auto slots = 10U; slots < 40; ++slots) {
        REQUIRE(copies.apply(change(log, slots)) == delta_outcome::applied);
        held.push_back(copies.newest());
        CHECK(is_current(*held.back(), log.state));
    }
    for (auto slots = 10U; slots < 40; ++slots) {
        CHECK(slots_in(*held.at(slots - 10)) == slots);
    }
}

// Guards against a copy of the whole directory at each delta, and against a
// reused view that lacks a delta.
TEST_CASE("directory copies: views that were dropped are used again")
{
    auto log = test_log{};
    log.start();
    auto copies = directory_copies();
    REQUIRE(copies.apply(log.state.delta_since(log_index(0))) ==
            delta_outcome::applied);
    auto before_last = copies.newest();
    auto last = copies.newest();
    for (auto round = 0U; round < 200; ++round) {
        REQUIRE(copies.apply(change(log, 10 + round)) ==
                delta_outcome::applied);
        CHECK(is_current(*copies.newest(), log.state));
        before_last = std::exchange(last, copies.newest());
        if (round % 50 == 25) {
            // A delta that does not fit leaves no trace in a reused view.
            auto gap = directory_delta{};
            gap.since = log.state.applied().next();
            gap.up_to = gap.since.next();
            gap.removed_targets = {target_id("s0")};
            CHECK(copies.apply(gap) == delta_outcome::gap);
        }
    }
    CHECK(copies.full_copies() < 10);
}

// Guards against a view that is brought up to date by deltas that were dropped.
TEST_CASE("directory copies: a view that is far behind is not used again")
{
    auto log = test_log{};
    log.start();
    auto copies = directory_copies();
    REQUIRE(copies.apply(log.state.delta_since(log_index(0))) ==
            delta_outcome::applied);
    auto old = copies.newest();
    auto held = std::vector<std::shared_ptr<const directory>>{};
    for (auto slots = 10U; slots < 50; ++slots) {
        REQUIRE(copies.apply(change(log, slots)) == delta_outcome::applied);
        held.push_back(copies.newest());
    }
    old.reset();
    REQUIRE(copies.apply(change(log, 50)) == delta_outcome::applied);
    CHECK(is_current(*copies.newest(), log.state));
    // A complete delta replaces whatever a view held.
    log(announce(sample_target("s1", "g1")));
    const auto complete = log.state.delta_since(log_index(0));
    held.clear();
    REQUIRE(complete.is_complete);
    REQUIRE(copies.apply(complete) == delta_outcome::applied);
    REQUIRE(copies.apply(change(log, 51)) == delta_outcome::applied);
    CHECK(is_current(*copies.newest(), log.state));
}
