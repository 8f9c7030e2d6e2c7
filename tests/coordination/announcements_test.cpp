#include "state/bundle_samples.hpp"

#include <rhubarbrun/coordination/target_announcements.hpp>
#include <rhubarbrun/coordination/target_liveness.hpp>

#include <doctest/doctest.h>

#include <chrono>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;
using namespace std::chrono_literals;

namespace {

/// Targets announce through a balancer that sends each announcement to
/// another proxy; the proxies report to a leader whose changes are applied.
class announcement_world
{
public:
    explicit announcement_world(int proxies)
    {
        log.start();
        liveness.start_leading(now, log.state);
        for (auto i = 0; i < proxies; ++i) {
            heard.emplace_back(proxy_identity{proxy_id("p" + std::to_string(i)),
                                              incarnation(1)});
        }
        last_reports.resize(heard.size(), time_point(0s));
        sync();
    }

    auto announce(const std::string& name, bool is_leaving = false) -> void
    {
        const auto announcement = target_announcement{
            target_id(name), "db_g0", "10.0.0.9", 5432,
            zone_id("z0"),   3,       70,         is_leaving};
        next = (next + 1) % heard.size();
        CHECK(heard[next].on_announcement(now, announcement, copy) ==
              announcement_outcome::accepted);
    }

    /// Runs in steps of 100 ms; counts changes of the state.
    auto run(duration time, const std::function<void()>& each_second = {})
        -> void
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            if (each_second && now.time_since_epoch() % 1s == 0s) {
                each_second();
            }
            for (auto i = std::size_t{0}; i < heard.size(); ++i) {
                report(i);
            }
            auto changed = liveness.take_changes(now, log.state);
            if (!changed.empty()) {
                changes += changed.size();
                log(report_targets_command{std::move(changed)});
                sync();
            }
        }
    }

    auto report(std::size_t i) -> void
    {
        if (auto made = heard[i].take_report(now, copy)) {
            shortest_gap = std::min(shortest_gap, now - last_reports[i]);
            last_reports[i] = now;
            liveness.on_report(now, *made, log.state);
        }
    }

    auto sync() -> void { copy.apply(log.state.delta_since(copy.index())); }

    [[nodiscard]] auto presence(const std::string& name) const
        -> target_presence
    {
        return log.state.find_target(target_id(name))->presence;
    }

    time_point now = time_point(100s);
    test_log log;
    directory copy;
    target_liveness liveness;
    std::vector<target_announcements> heard;
    std::vector<time_point> last_reports;
    duration shortest_gap = 1h;
    std::size_t next = 0;
    std::size_t changes = 0;
};

} // namespace

TEST_CASE("a target heard by changing proxies does not flap")
{
    auto world = announcement_world(15);
    world.run(10min, [&] {
        for (auto i = 0; i < 9; ++i) {
            world.announce("t" + std::to_string(i));
        }
    });
    CHECK(world.changes == 9);
    CHECK(world.presence("t3") == target_presence::present);
    CHECK(world.shortest_gap >= 1s);
}

TEST_CASE("a silent target is gone after its time to live, not before")
{
    auto world = announcement_world(15);
    world.run(5s, [&] { world.announce("t"); });
    world.run(2s);
    CHECK(world.presence("t") == target_presence::present);
    world.run(3s);
    CHECK(world.presence("t") == target_presence::gone);
    CHECK(world.changes == 2);
    world.run(2s, [&] { world.announce("t"); });
    CHECK(world.presence("t") == target_presence::present);
    // Unowned and silent for long, it is dropped.
    world.run(11min);
    CHECK(world.log.state.targets().empty());
}

TEST_CASE("leaving is reported at once and outlasts delayed reports")
{
    auto world = announcement_world(3);
    world.run(5s, [&] { world.announce("t"); });
    // Heard just before, but reported after the proxy that hears of leaving.
    world.announce("t");
    world.announce("t", true);
    world.run(100ms);
    CHECK(world.presence("t") == target_presence::leaving);
    world.run(5s, [&] { world.announce("t", true); });
    CHECK(world.presence("t") == target_presence::leaving);
    CHECK(world.changes == 2);
    // A server that starts again announces without leaving.
    world.run(3s, [&] { world.announce("t"); });
    CHECK(world.presence("t") == target_presence::present);
}

TEST_CASE("a lost report on leaving is repeated")
{
    auto world = announcement_world(1);
    world.run(3s, [&] { world.announce("t"); });
    world.announce("t", true);
    CHECK(world.heard[0].take_report(world.now, world.copy).has_value());
    world.run(1500ms);
    CHECK(world.presence("t") == target_presence::leaving);
}

TEST_CASE("two servers with one name do not rewrite the record all the time")
{
    auto world = announcement_world(2);
    auto other = target_announcement{
        target_id("t"), "db_g0", "10.9.9.9", 5432, zone_id("z0"), 3, 70, false};
    world.run(60s, [&] {
        world.announce("t");
        (void)world.heard[0].on_announcement(world.now, other, world.copy);
    });
    CHECK(world.changes <= 21);
}

TEST_CASE("a new leader does not take back what it has not heard of yet")
{
    auto world = announcement_world(3);
    world.run(3s, [&] {
        world.announce("stays");
        world.announce("leaves", true);
        if (world.now < time_point(101s)) {
            world.announce("old");
        }
    });
    world.run(4s, [&] {
        world.announce("stays");
        world.announce("leaves", true);
    });
    CHECK(world.presence("old") == target_presence::gone);
    const auto before = world.changes;
    world.liveness.start_leading(world.now, world.log.state);
    world.run(10s, [&] {
        world.announce("stays");
        world.announce("leaves", true);
    });
    CHECK(world.changes == before);
}

TEST_CASE("false announcements are refused")
{
    auto world = announcement_world(1);
    auto bad =
        target_announcement{target_id("t"), "unknown", "10.0.0.9", 5432,
                            zone_id("z0"),  3,         70,         false};
    auto& proxy = world.heard[0];
    CHECK(proxy.on_announcement(world.now, bad, world.copy) ==
          announcement_outcome::unknown_database);
    bad.database = "db_g0";
    bad.address = "host name";
    CHECK(proxy.on_announcement(world.now, bad, world.copy) ==
          announcement_outcome::invalid);
}
