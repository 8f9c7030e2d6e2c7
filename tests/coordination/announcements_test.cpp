#include "state/bundle_samples.hpp"

#include <rhubarbrun/coordination/target_announcements.hpp>
#include <rhubarbrun/coordination/target_liveness.hpp>

#include <doctest/doctest.h>

#include <chrono>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;
using namespace std::chrono_literals;

namespace {

/// Targets, proxies and a control leader. A load balancer sends each
/// announcement to the next proxy, the proxies report to the leader, and the
/// leader's changes are applied.
class announcement_simulation
{
public:
    explicit announcement_simulation(int proxies)
    {
        log.start();
        liveness.start_leading(now, log.state);
        for (auto i = 0; i < proxies; ++i) {
            receivers.emplace_back(proxy_identity{
                proxy_id("p" + std::to_string(i)), incarnation(1)});
        }
        last_reports.resize(receivers.size(), time_point(0s));
        sync();
    }

    auto announce(const std::string& name, bool is_leaving = false) -> void
    {
        const auto announcement = target_announcement{
            target_id(name), "db_g0", "10.0.0.9", 5432,
            zone_id("z0"),   3,       70,         is_leaving};
        next = (next + 1) % receivers.size();
        CHECK(receivers[next].on_announcement(now, announcement, copy) ==
              announcement_outcome::accepted);
    }

    /// Runs in steps of 100 ms and counts the changes of the state.
    auto run(duration time, const std::function<void()>& each_second = {})
        -> void
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            if (each_second && now.time_since_epoch() % 1s == 0s) {
                each_second();
            }
            for (auto i = std::size_t{0}; i < receivers.size(); ++i) {
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
        if (auto made = receivers[i].take_report(now, copy)) {
            min_report_gap = std::min(min_report_gap, now - last_reports[i]);
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
    std::vector<target_announcements> receivers;
    std::vector<time_point> last_reports;
    duration min_report_gap = 1h;
    std::size_t next = 0;
    std::size_t changes = 0;
};

} // namespace

TEST_CASE("a target announced to changing proxies does not flap")
{
    auto simulation = announcement_simulation(15);
    simulation.run(10min, [&] {
        for (auto i = 0; i < 9; ++i) {
            simulation.announce("t" + std::to_string(i));
        }
    });
    CHECK(simulation.changes == 9);
    CHECK(simulation.presence("t3") == target_presence::present);
    CHECK(simulation.min_report_gap >= 1s);
}

TEST_CASE("a silent target is gone after its time to live, not before")
{
    auto simulation = announcement_simulation(15);
    simulation.run(5s, [&] { simulation.announce("t"); });
    simulation.run(2s);
    CHECK(simulation.presence("t") == target_presence::present);
    simulation.run(3s);
    CHECK(simulation.presence("t") == target_presence::gone);
    CHECK(simulation.changes == 2);
    simulation.run(2s, [&] { simulation.announce("t"); });
    CHECK(simulation.presence("t") == target_presence::present);
    // Without an owner and without announcements, the target is removed.
    simulation.run(11min);
    CHECK(simulation.log.state.targets().empty());
}

TEST_CASE("leaving is reported at once and outlasts delayed reports")
{
    auto simulation = announcement_simulation(3);
    simulation.run(5s, [&] { simulation.announce("t"); });
    // The first announcement is received before the one with the leaving flag,
    // but its proxy reports later.
    simulation.announce("t");
    simulation.announce("t", true);
    simulation.run(100ms);
    CHECK(simulation.presence("t") == target_presence::leaving);
    simulation.run(5s, [&] { simulation.announce("t", true); });
    CHECK(simulation.presence("t") == target_presence::leaving);
    CHECK(simulation.changes == 2);
    // A restarted server announces itself without the leaving flag.
    simulation.run(3s, [&] { simulation.announce("t"); });
    CHECK(simulation.presence("t") == target_presence::present);
}

TEST_CASE("a lost report on leaving is repeated")
{
    auto simulation = announcement_simulation(1);
    simulation.run(3s, [&] { simulation.announce("t"); });
    simulation.announce("t", true);
    CHECK(simulation.receivers[0]
              .take_report(simulation.now, simulation.copy)
              .has_value());
    simulation.run(1500ms);
    CHECK(simulation.presence("t") == target_presence::leaving);
}

TEST_CASE("two servers with one name change the record at a limited rate")
{
    auto simulation = announcement_simulation(2);
    auto other = target_announcement{
        target_id("t"), "db_g0", "10.9.9.9", 5432, zone_id("z0"), 3, 70, false};
    simulation.run(60s, [&] {
        simulation.announce("t");
        (void)simulation.receivers[0].on_announcement(simulation.now, other,
                                                      simulation.copy);
    });
    CHECK(simulation.changes <= 21);
}

TEST_CASE("a new leader does not change the presence of unreported targets")
{
    auto simulation = announcement_simulation(3);
    simulation.run(3s, [&] {
        simulation.announce("stays");
        simulation.announce("leaves", true);
        if (simulation.now < time_point(101s)) {
            simulation.announce("old");
        }
    });
    simulation.run(4s, [&] {
        simulation.announce("stays");
        simulation.announce("leaves", true);
    });
    CHECK(simulation.presence("old") == target_presence::gone);
    const auto before = simulation.changes;
    simulation.liveness.start_leading(simulation.now, simulation.log.state);
    simulation.run(10s, [&] {
        simulation.announce("stays");
        simulation.announce("leaves", true);
    });
    CHECK(simulation.changes == before);
}

TEST_CASE("invalid announcements are refused")
{
    auto simulation = announcement_simulation(1);
    auto bad =
        target_announcement{target_id("t"), "unknown", "10.0.0.9", 5432,
                            zone_id("z0"),  3,         70,         false};
    auto& proxy = simulation.receivers[0];
    CHECK(proxy.on_announcement(simulation.now, bad, simulation.copy) ==
          announcement_outcome::unknown_database);
    bad.database = "db_g0";
    bad.address = "host name";
    CHECK(proxy.on_announcement(simulation.now, bad, simulation.copy) ==
          announcement_outcome::invalid);
}
