#include "lease_test_access.hpp"
#include "state/bundle_samples.hpp"

#include <rhubarbrun/coordination/control_coordinator.hpp>
#include <rhubarbrun/coordination/lease_holder.hpp>
#include <rhubarbrun/state/directory.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <random>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;
using namespace std::chrono_literals;

namespace {

/// A proxy with its copy of the directory and its lease.
struct node
{
    node(const proxy_record& self, time_point now)
        : record(self), holder(self.identity, now)
    {
    }

    proxy_record record;
    directory copy;
    lease_holder holder;
    std::map<target_id, owner_epoch> released;
    std::deque<std::pair<time_point, lease_answer>> answers;
    time_point next_request;
    bool is_cut_off = false;
};

/// A control leader whose log commits with a delay, and proxies whose messages
/// are delayed. Each step takes 50 ms of virtual time.
class cluster
{
public:
    explicit cluster(std::uint32_t seed, int proxies, int targets,
                     int zones = 2)
        : random_(seed)
    {
        log.start();
        for (auto i = 0; i < proxies; ++i) {
            const auto record = sample_proxy("p" + std::to_string(i), 1,
                                             "z" + std::to_string(i % zones));
            log(register_proxy_command{record});
            nodes.emplace_back(record, now);
        }
        for (auto i = 0; i < targets; ++i) {
            log(announce(sample_target("t" + std::to_string(i), "g0",
                                       "z" + std::to_string(i % zones))));
        }
        leader = std::make_unique<control_coordinator>(log.state);
        leader->start_leading(now);
    }

    /// Returns whether no target had two owners at any step.
    auto run(duration time) -> bool
    {
        for (const auto end = now + time; now < end; now += 50ms) {
            step();
            if (!has_single_owners()) {
                return false;
            }
        }
        return true;
    }

    auto propose(control_command command) -> void
    {
        pending_.emplace_back(now + random_ms(1, 200), std::move(command));
    }

    /// Reports a new announcement of each target that is not in `silent`.
    auto report_announcements() -> void
    {
        auto report = announcement_report{nodes[0].record.identity, {}};
        for (const auto& [id, record] : log.state.targets()) {
            if (!silent.contains(id)) {
                report.targets.push_back({id, 0, false, {}});
            }
        }
        leader->on_announcement_report(now, report);
    }

    /// Starts a new leader. Some proposals of the old leader are applied, the
    /// others are lost.
    auto change_leader() -> void
    {
        leader->stop_leading();
        const auto kept = pending_.empty() ? 0 : random_() % pending_.size();
        for (auto i = std::size_t{0}; i < kept; ++i) {
            log(pending_[i].second);
        }
        pending_.clear();
        log.state.skip(log.index = log.index.next());
        leader->start_leading(now);
    }

    auto random_ms(std::uint32_t low, std::uint32_t high) -> duration
    {
        return std::chrono::milliseconds(low + random_() % (high - low));
    }

    [[nodiscard]] auto count_owned() const -> std::size_t
    {
        auto owned = std::size_t{0};
        for (const auto& proxy : nodes) {
            for (const auto& [id, record] : log.state.targets()) {
                owned += is_serving(proxy, id) ? 1 : 0;
            }
        }
        return owned;
    }

    time_point now = time_point(1h);
    test_log log;
    std::vector<node> nodes;
    std::unique_ptr<control_coordinator> leader;
    std::set<target_id> silent;
    std::size_t assignments = 0;
    /// Injects a fault: the leader shortens its view of leases by this time.
    duration shortened_by{};
    /// Injects a fault: proxies accept grants although their directory is not
    /// up to date.
    bool ignores_index = false;

private:
    auto step() -> void
    {
        if (now.time_since_epoch() % 1s == 0s) {
            report_announcements();
        }
        for (auto& command : leader->tick(now)) {
            propose(std::move(command));
        }
        while (!pending_.empty() && pending_.front().first <= now) {
            const auto command = std::move(pending_.front().second);
            pending_.pop_front();
            const auto result = log(command);
            const auto is_assignment =
                std::holds_alternative<assign_target_command>(command) ||
                std::holds_alternative<release_target_command>(command);
            assignments += is_assignment && result.is_ok() ? 1 : 0;
            leader->on_applied(now, command, result);
        }
        for (auto& proxy : nodes) {
            step_proxy(proxy);
        }
    }

    auto step_proxy(node& proxy) -> void
    {
        while (!proxy.answers.empty() && proxy.answers.front().first <= now) {
            const auto index = ignores_index ? log.index : proxy.copy.index();
            (void)proxy.holder.on_grant(now, proxy.answers.front().second,
                                        index);
            proxy.answers.pop_front();
        }
        if (proxy.is_cut_off) {
            return;
        }
        if (random_() % 4 == 0) {
            proxy.copy.apply(log.state.delta_since(proxy.copy.index()));
        }
        if (proxy.next_request <= now) {
            proxy.next_request = now + 300ms;
            const auto answer = leader->on_lease_request(
                now, true, proxy.holder.make_request(now, proxy.copy.index()));
            proxy.answers.emplace_back(now + random_ms(1, 400), answer);
            if (shortened_by > 0ms) {
                detail::lease_test_access::shorten(
                    const_cast<lease_table&>(leader->leases()), shortened_by);
            }
        }
        release_due_targets(proxy);
    }

    /// Releases owned targets that have a next owner or are gone. The release
    /// is repeated until the directory shows it, because a proposal may get
    /// lost.
    auto release_due_targets(node& proxy) -> void
    {
        for (const auto& id :
             proxy.copy.targets_owned_by(proxy.record.identity)) {
            const auto& record = *proxy.copy.find_target(id);
            const auto is_due =
                record.next_owner || record.presence == target_presence::gone;
            if (is_due) {
                proxy.released[id] = record.epoch;
            }
            const auto released_target = proxy.released.find(id);
            if (released_target != proxy.released.end() &&
                released_target->second == record.epoch && random_() % 8 == 0)
            {
                propose(release_target_command{id, proxy.record.identity,
                                               record.epoch});
            }
        }
    }

    [[nodiscard]] auto is_serving(const node& proxy, const target_id& id) const
        -> bool
    {
        const auto* const record = proxy.copy.find_target(id);
        const auto released_target = proxy.released.find(id);
        return record != nullptr && record->owner == proxy.record.identity &&
               proxy.holder.holds_at(now) &&
               (released_target == proxy.released.end() ||
                released_target->second < record->epoch);
    }

    [[nodiscard]] auto has_single_owners() const -> bool
    {
        for (const auto& [id, record] : log.state.targets()) {
            auto owners = 0;
            for (const auto& proxy : nodes) {
                owners += is_serving(proxy, id) ? 1 : 0;
            }
            if (owners > 1) {
                return false;
            }
        }
        return true;
    }

    std::mt19937 random_;
    std::deque<std::pair<time_point, control_command>> pending_;
};

/// Isolates proxies and changes leaders at random, then reconnects all proxies.
/// Returns whether no target ever had two owners and each has one at the end.
auto recovers_from_random_failures(std::uint32_t seed,
                                   duration shortened_by = {},
                                   bool ignores_index = false) -> bool
{
    auto run = cluster(seed, 6, 9);
    run.shortened_by = shortened_by;
    run.ignores_index = ignores_index;
    auto random = std::mt19937(seed);
    for (auto i = 0; i < 40; ++i) {
        auto& proxy = run.nodes[random() % run.nodes.size()];
        proxy.is_cut_off = random() % 2 == 0;
        if (random() % 4 == 0) {
            run.change_leader();
        }
        if (!run.run(run.random_ms(100, 2500))) {
            return false;
        }
    }
    for (auto& proxy : run.nodes) {
        proxy.is_cut_off = false;
    }
    // A target has no owner for a short time during a handover.
    auto is_safe = run.run(5s);
    for (auto i = 0; i < 40 && is_safe && run.count_owned() < 9; ++i) {
        is_safe = run.run(50ms);
    }
    return is_safe && run.count_owned() == 9;
}

} // namespace

TEST_CASE("no target has two owners during random failures, and all recover")
{
    for (auto seed = std::uint32_t{1}; seed <= 30; ++seed) {
        CHECK_MESSAGE(recovers_from_random_failures(seed), seed);
    }
}

TEST_CASE("the check of single owners detects injected faults")
{
    auto early_expiries = 0;
    auto stale_directories = 0;
    for (auto seed = std::uint32_t{1}; seed <= 10; ++seed) {
        early_expiries += recovers_from_random_failures(seed, 400ms) ? 0 : 1;
        stale_directories +=
            recovers_from_random_failures(seed, 0ms, true) ? 0 : 1;
    }
    CHECK(early_expiries > 0);
    CHECK(stale_directories > 0);
}

TEST_CASE("the targets of a lost proxy are reassigned after its lease")
{
    auto run = cluster(1, 6, 9);
    REQUIRE(run.run(10s));
    CHECK(run.count_owned() == 9);
    const auto before = run.assignments;
    const auto victim = run.nodes[0].record.identity;
    const auto held = run.log.state.targets_held_by(victim.id).size();
    REQUIRE(held > 0);
    run.nodes[0].is_cut_off = true;
    CHECK(run.run(2500ms));
    CHECK(run.count_owned() == 9);
    CHECK(run.assignments - before == held);
}

TEST_CASE("a draining proxy hands over all targets without losing one")
{
    auto run = cluster(2, 6, 9);
    REQUIRE(run.run(10s));
    const auto drained = run.nodes[1].record.identity;
    REQUIRE_FALSE(run.log.state.targets_held_by(drained.id).empty());
    run.propose(drain_proxy_command{drained});
    CHECK(run.run(3s));
    CHECK(run.log.state.targets_held_by(drained.id).empty());
    CHECK(run.count_owned() == 9);
}

TEST_CASE("a restarted proxy waits for its former lease and for a hold-down")
{
    auto run = cluster(3, 4, 8);
    REQUIRE(run.run(10s));
    auto record = run.nodes[0].record;
    const auto former = record.identity;
    record.identity.run = incarnation(2);
    run.nodes.emplace_back(record, run.now);
    run.propose(register_proxy_command{record});
    // The former process still runs, as it does if a configuration is cloned.
    CHECK(run.run(5s));
    CHECK(run.leader->on_lease_request(run.now, true, {former, 0, log_index()})
              .status == lease_status::superseded);
    CHECK(run.count_owned() == 8);
    CHECK(run.log.state.targets_held_by(former.id).empty());
    CHECK(run.run(60s));
    CHECK(run.log.state.targets_held_by(former.id).size() == 2);
}

TEST_CASE("a gone primary keeps an owner, another gone target does not")
{
    auto run = cluster(4, 4, 3);
    REQUIRE(run.run(5s));
    const auto& owned = *run.log.state.find_target(target_id("t0"));
    run.propose(set_primary_command{group_id("g0"), term(), target_id("t0"),
                                    *owned.owner, owned.epoch, term(1)});
    run.silent = {target_id("t0"), target_id("t1")};
    CHECK(run.run(8s));
    CHECK(run.log.state.find_target(target_id("t0"))->owner.has_value());
    CHECK_FALSE(run.log.state.find_target(target_id("t1"))->owner.has_value());
}

TEST_CASE("the cost of a tick is proportional to what changed")
{
    auto run = cluster(5, 540, 1620, 8);
    for (auto& proxy : run.nodes) {
        proxy.next_request = run.now + run.random_ms(0, 300);
    }
    const auto advance = [&](int milliseconds) {
        for (auto i = 0; i < milliseconds; i += 50) {
            run.report_announcements();
            for (const auto& proxy : run.nodes) {
                (void)run.leader->on_lease_request(
                    run.now, true, {proxy.record.identity, 0, log_index()});
            }
            for (const auto& command : run.leader->tick(run.now)) {
                run.leader->on_applied(run.now, command, run.log(command));
            }
            run.now += 50ms;
        }
    };
    advance(3000);
    for (const auto& [id, record] : run.log.state.targets()) {
        REQUIRE(record.owner.has_value());
    }
    const auto idle = run.leader->evaluations();
    advance(1000);
    CHECK(run.leader->evaluations() == idle);
    const auto drained = run.nodes[3].record.identity;
    const auto held = run.log.state.targets_held_by(drained.id).size();
    const auto drain = drain_proxy_command{drained};
    run.leader->on_applied(run.now, drain, run.log(drain));
    advance(1000);
    CHECK(run.leader->evaluations() - idle <= 4 * held);
    CHECK(run.leader->next_due().has_value());
}
