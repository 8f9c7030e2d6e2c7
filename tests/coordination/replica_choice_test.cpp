#include <rhubarbrun/coordination/replica_choice.hpp>

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);
const auto near_one = target_id("near-1");
const auto near_two = target_id("near-2");
const auto far = target_id("far");

auto at(std::uint64_t offset, std::uint64_t group_term = 1) -> log_position
{
    return {term(group_term), log_offset(offset)};
}

auto report(const target_id& target, log_position replayed, time_point when,
            std::uint32_t load = 0, duration distance = 0ms) -> replica_report
{
    return {target, zone_id("a"), distance, 3, replayed, when, load};
}

/// A primary that writes 1,000 bytes a second, sampled each 100 ms.
auto make_choice(std::mt19937_64& random) -> replica_choice
{
    auto options = replica_choice_options{};
    options.random = [&random] {
        return random();
    };
    auto choice = replica_choice(options);
    for (auto sample = 0; sample <= 100; ++sample) {
        choice.on_primary_position(
            start + (sample * 100ms),
            at(static_cast<std::uint64_t>(sample) * 100));
    }
    return choice;
}

const auto now = start + 10s;

auto read(std::optional<log_position> floor = std::nullopt,
          duration max_age = 0ms) -> read_requirements
{
    return {floor, max_age, now + 1s};
}

} // namespace

TEST_CASE("the age of a replica's data follows from the primary's history")
{
    auto history = primary_history{};
    history.add(start, at(100));
    history.add(start + 1s, at(200));
    history.add(start + 2s, at(200));
    CHECK(history.age(start + 3s, at(150)) == 3s);
    CHECK(history.age(start + 3s, at(200)) == 1s);
    CHECK_FALSE(history.age(start + 3s, at(99)).has_value());
    CHECK(history.floor_for_age(start + 3s, 2500ms) == at(200));
    CHECK_FALSE(history.floor_for_age(start + 3s, 500ms).has_value());
    // A new primary continues at an offset that the replica may have passed
    // in the old term, with writes that the new term does not contain.
    history.add(start + 3s, at(200, 2));
    CHECK(history.age(start + 4s, at(300)) == 2s);
    history.add(start + 2s, at(900));
    CHECK(history.newest()->position == at(200, 2));
}

TEST_CASE("frequent samples keep a history instead of replacing each other")
{
    auto history = primary_history{};
    for (auto sample = 0U; sample < 10'000; ++sample) {
        history.add(start + (sample * 1ms), at(sample));
    }
    CHECK(history.age(start + 10s, at(5'000)) < 5'200ms);
    CHECK(history.age(start + 10s, at(5'000)) >= 5s);
}

TEST_CASE("a read never goes to a replica that is behind its floor")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(5'000), now));
    choice.on_report(now, report(near_two, at(10'000), now));
    for (auto count = 0; count < 50; ++count) {
        CHECK(choice.choose(now, read(at(9'000))).target == near_two);
    }
    CHECK(choice.choose(now, read(at(10'000, 2))).kind != read_target::replica);
}

TEST_CASE("a read never gets data older than it accepts")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(8'000), now));
    CHECK(choice.choose(now, read({}, 3s)).target == near_one);
    CHECK(choice.choose(now, read({}, 1s)).kind == read_target::primary);
    // The data of the same report ages as time passes.
    CHECK(choice.choose(now + 1500ms, read({}, 3s)).kind ==
          read_target::primary);
}

TEST_CASE("the owner's check covers the floor and the accepted age")
{
    auto random = std::mt19937_64(1);
    const auto choice = make_choice(random);
    CHECK(choice.required_position(now, read(at(9'990))) == at(9'990));
    CHECK(choice.required_position(now, read(at(9'990), 1s)) == at(9'990));
    CHECK(choice.required_position(now, read(at(50), 1s)) == at(9'000));
    CHECK_FALSE(choice.required_position(now + 2s, read(at(50), 1s)));
}

TEST_CASE("an answered read updates the replica's position")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(5'000), now));
    REQUIRE(choice.choose(now, read(at(9'000))).kind == read_target::primary);
    choice.on_replayed(now, near_one, at(9'500));
    CHECK(choice.choose(now, read(at(9'000))).target == near_one);
    choice.on_replayed(now, near_one, at(100));
    CHECK(choice.choose(now, read(at(9'000))).target == near_one);
}

TEST_CASE("a read waits for a replica that is about to reach its floor")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    // 20 bytes behind at 1,000 bytes a second: a lag of 20 ms.
    choice.on_report(now, report(near_one, at(9'980), now));
    const auto route = choice.choose(now, read(at(10'000)));
    CHECK(route.kind == read_target::replica_after_wait);
    CHECK(route.target == near_one);
    CHECK(route.wait > 0ms);
    CHECK(route.wait <= 50ms);
    auto urgent = read(at(10'000));
    urgent.deadline = now + 10ms;
    CHECK(choice.choose(now, urgent).kind == read_target::primary);
    choice.on_report(now, report(near_one, at(9'000), now));
    CHECK(choice.choose(now, read(at(10'000))).kind == read_target::primary);
}

TEST_CASE("a replica with high lag gets no reads until its lag has stayed low")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(4'000), now));
    CHECK(choice.is_excluded(near_one));
    CHECK(choice.choose(now, read()).kind == read_target::primary);
    // One good report is not enough: the replica may fall behind again.
    choice.on_report(now, report(near_one, at(9'900), now));
    CHECK(choice.is_excluded(near_one));
    choice.on_report(now + 1s, report(near_one, at(7'000), now + 1s));
    choice.on_report(now + 2s, report(near_one, at(9'900), now + 2s));
    choice.on_report(now + 3s, report(near_one, at(9'900), now + 3s));
    CHECK(choice.is_excluded(near_one));
    choice.on_report(now + 4s, report(near_one, at(9'900), now + 4s));
    CHECK_FALSE(choice.is_excluded(near_one));
}

TEST_CASE("replicas are not excluded while no positions of the primary arrive")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now + 20s, report(near_one, at(10'000), now + 20s));
    CHECK(choice.choose(now + 20s, read()).target == near_one);
}

TEST_CASE("a replica without fresh reports gets no reads")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(10'000), now));
    CHECK(choice.choose(now + 4s, read()).kind == read_target::primary);
    choice.on_removed(near_one);
    CHECK(choice.choose(now, read()).kind == read_target::primary);
}

TEST_CASE("a near replica comes first unless it is overloaded")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(10'000), now, 2));
    choice.on_report(now, report(far, at(10'000), now, 0, 20ms));
    CHECK(choice.choose(now, read()).target == near_one);
    choice.on_report(now, report(near_one, at(10'000), now, 30));
    CHECK(choice.choose(now, read()).target == far);
}

TEST_CASE("proxies with the same reports do not all choose one replica")
{
    auto chosen = std::map<target_id, int>{};
    for (auto proxy = 0U; proxy < 100; ++proxy) {
        auto random = std::mt19937_64(proxy);
        auto choice = make_choice(random);
        choice.on_report(now, report(near_one, at(10'000), now, 1));
        choice.on_report(now, report(near_two, at(10'000), now, 2));
        ++chosen[*choice.choose(now, read()).target];
    }
    CHECK(chosen[near_one] >= 35);
    CHECK(chosen[near_two] >= 35);
}

TEST_CASE("an overloaded replica gets no reads while another is not")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(10'000), now, 12));
    choice.on_report(now, report(near_two, at(10'000), now, 0));
    for (auto count = 0; count < 5; ++count) {
        CHECK(choice.choose(now, read()).target == near_two);
    }
}

TEST_CASE("own reads count as load before the next report")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(10'000), now, 0));
    choice.on_report(now, report(near_two, at(10'000), now, 3));
    auto chosen = std::map<target_id, int>{};
    for (auto count = 0; count < 40; ++count) {
        ++chosen[*choice.choose(now, read()).target];
    }
    CHECK(chosen[near_one] == 20);
    CHECK(chosen[near_two] == 20);
}

TEST_CASE("a replica of the new term that lacks old writes counts as old")
{
    auto history = primary_history{};
    history.add(start, at(1000, 4));
    history.add(start + 1s, at(2000, 4));
    history.add(start + 2s, at(2000, 5));
    // It follows term 5 but has replayed only the first sample of term 4.
    CHECK(history.age(now, at(1500, 5)) == now - start);
    CHECK(history.age(now, at(2000, 5)) == now - (start + 2s));
}

TEST_CASE("the lost end of a former primary's log does not hide fresh data")
{
    auto history = primary_history{};
    history.add(start, at(1000, 4));
    history.add(start + 1s, at(1200, 4));
    history.add(start + 2s, at(1100, 5));
    CHECK(history.age(now, at(1100, 5)) == now - (start + 2s));
}

TEST_CASE("reads are shared among as many replicas as the policy wants")
{
    auto random = std::mt19937_64(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(far, at(10'000), now, 0, 20ms));
    choice.on_report(now, report(near_two, at(10'000), now));
    choice.on_report(now, report(near_one, at(10'000), now));
    auto wanted = read();
    wanted.replicas_wanted = 1;
    for (auto count = 0; count < 5; ++count) {
        CHECK(choice.choose(now, wanted).target == near_one);
    }
    // Another one takes over when the first is lost.
    choice.on_removed(near_one);
    CHECK(choice.choose(now, wanted).target == near_two);
    wanted.replicas_wanted = 0;
    CHECK(choice.choose(now, wanted).kind == read_target::primary);
}

// Guards against reads that leave a replica because its proxy had been idle.
TEST_CASE("rare samples of the primary are not taken for replication lag")
{
    std::mt19937_64 random(1);
    auto choice = make_choice(random);
    choice.on_report(now, report(near_one, at(10000), now));
    const auto later = now + 20s;
    choice.on_primary_position(later, at(30000));
    // One millisecond behind the primary, whose last sample is 20 s old.
    choice.on_report(later, report(near_one, at(29999), later));
    auto wanted = read(at(29000));
    wanted.deadline = later + 1s;
    CHECK(choice.choose(later, wanted).target == near_one);
}
