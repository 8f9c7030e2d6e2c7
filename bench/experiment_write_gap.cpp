#include "experiment.hpp"

#include <rhubarbrun/state/bundle.hpp>

#include <coordination/scenario_runner.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// The scenario runner drives the real failure detector, failover, leases,
// ownership and control through failures; callers, servers and the network are
// its fakes.

namespace rhubarbrun::bench {

namespace {

using tests::scenario_deployment;
using tests::scenario_policy;
using tests::scenario_runner;
using tests::scenario_step;

/// Runs per failure and policy, each with its own seed and instant.
constexpr auto runs = 100U;
constexpr auto regions = 3U;
constexpr auto zones_per_region = 3U;
constexpr auto servers_per_group = 3U;
/// Within a zone, one way.
constexpr auto near_delay = duration(100);
/// The failure is at a random instant of this second.
constexpr auto earliest_failure_ms = std::int64_t{1000};
constexpr auto failure_window_ms = std::int64_t{1000};
/// Longer than the longest gap allowed, so that a violation is seen.
constexpr auto load_ms = std::int64_t{12'000};
constexpr auto write_interval_ms = std::int64_t{20};
/// Requests that were sent near the end of the load get their answers.
constexpr auto end_ms = load_ms + 3000;
constexpr auto median_share = 0.5;
constexpr auto p99_share = 0.99;
constexpr auto watched_group = "g0";
constexpr auto baseline_name = "lease_expiry";

/// What fails at the chosen instant.
struct failure
{
    std::string_view name;
    bool kills_primary = false;
    bool isolates_primary = false;
    bool kills_owner = false;
    bool kills_leader = false;
};

constexpr auto failures = std::array{
    failure{"primary_killed", true, false, false, false},
    failure{"primary_silent", false, true, false, false},
    failure{"owner_killed", false, false, true, false},
    failure{"owner_and_primary_killed", true, false, true, false},
    failure{"leader_and_primary_killed", true, false, false, true},
};

/// Group g<n> is in region n, one server in each zone, as is control member
/// c<n>; the proxies are spread over all zones.
auto make_deployment(const deployment& place, std::uint64_t seed)
    -> scenario_deployment
{
    auto out = scenario_deployment{};
    out.seed = seed;
    const auto zone = [](unsigned region, unsigned number) {
        return "r" + std::to_string(region) + "z" + std::to_string(number);
    };
    for (auto region = 0U; region < regions; ++region) {
        const auto group = "g" + std::to_string(region);
        out.groups.push_back(group);
        for (auto number = 0U; number < servers_per_group; ++number) {
            out.servers.push_back(
                {"s" + std::to_string(region) + "-" + std::to_string(number),
                 zone(region, number), group});
        }
    }
    for (auto proxy = 0U; proxy < place.proxies; ++proxy) {
        out.proxies.push_back(
            {"p" + std::to_string(proxy),
             zone(proxy % regions, (proxy / regions) % zones_per_region), ""});
    }
    return out;
}

/// Delays between processes by their zones.
class delays
{
public:
    delays(const deployment& place, const scenario_deployment& processes)
        : place_(place)
    {
        for (const auto* const list : {&processes.proxies, &processes.servers})
        {
            for (const auto& each : *list) {
                zones_[each.name] = each.zone;
            }
        }
        for (auto member = 0U; member < regions; ++member) {
            const auto number = std::to_string(member);
            zones_["c" + number] = "r" + number + "z0";
        }
        zones_["operator"] = "r0z0";
    }

    auto operator()(const std::string& from, const std::string& to) const
        -> duration
    {
        constexpr auto region_length = std::size_t{2};
        const auto& left = zones_.at(from);
        const auto& right = zones_.at(to);
        if (left == right) {
            return near_delay;
        }
        const auto is_near =
            left.compare(0, region_length, right, 0, region_length) == 0;
        return is_near ? place_.zone_delay : place_.region_delay;
    }

private:
    deployment place_;
    std::map<std::string, std::string> zones_;
};

/// The plain alternative: answered probes renew the primary's lease, and
/// nobody concludes anything from missing answers before it has run out.
auto wait_for_lease(std::optional<time_point> answered, time_point now) -> bool
{
    const auto lease = std::chrono::milliseconds(bundle_timings{}.lease_ms);
    return !answered || now >= *answered + lease;
}

auto apply(scenario_runner& runner, const std::string& verb,
           std::map<std::string, scenario_step::value_type> values) -> void
{
    auto step = scenario_step{};
    step.verb = verb;
    step.values = std::move(values);
    runner.apply(step);
}

auto break_processes(scenario_runner& runner, const failure& what) -> void
{
    const auto primary = runner.primary_of(watched_group);
    const auto owner = runner.owner_of(primary);
    const auto leader = runner.leader_name();
    if (primary.empty() || owner.empty() || leader.empty()) {
        throw std::runtime_error("the deployment lost a process by itself");
    }
    if (what.kills_primary) {
        apply(runner, "kill", {{"who", primary}});
    }
    if (what.isolates_primary) {
        apply(runner, "cut", {{"a", primary}, {"b", "*"}});
    }
    if (what.kills_owner) {
        apply(runner, "kill", {{"who", owner}});
    }
    if (what.kills_leader) {
        apply(runner, "kill", {{"who", leader}});
    }
}

/// One failure; returns the write gap in ms. Throws `std::runtime_error` if an
/// invariant was broken, such as an acknowledged write that was lost.
auto run_failure(const deployment& place, const failure& what,
                 std::uint64_t seed, bool is_baseline) -> double
{
    const auto processes = make_deployment(place, seed);
    auto policy = scenario_policy{};
    policy.min_delay = delays(place, processes);
    if (is_baseline) {
        policy.may_start_failover = wait_for_lease;
    }
    auto runner = scenario_runner(processes, tests::scenario_fault::none,
                                  std::move(policy));
    runner.set_up();
    apply(runner, "load",
          {{"every_ms", write_interval_ms}, {"for_ms", load_ms}});
    auto random = std::mt19937_64(seed);
    runner.run_until(
        earliest_failure_ms +
        static_cast<std::int64_t>(
            random() % static_cast<std::uint64_t>(failure_window_ms)));
    break_processes(runner, what);
    runner.run_until(end_ms);
    runner.check_end();
    if (const auto broken = runner.failures(); !broken.empty()) {
        throw std::runtime_error(std::string(what.name) + ", seed " +
                                 std::to_string(seed) + ": " + broken.front());
    }
    return static_cast<double>(
        to_milliseconds(runner.longest_write_gap(watched_group)));
}

auto run_all(const deployment& place, const failure& what, std::uint64_t seed,
             bool is_baseline) -> std::vector<double>
{
    auto gaps = std::vector<double>{};
    for (auto run = std::uint64_t{0}; run < runs; ++run) {
        gaps.push_back(
            run_failure(place, what, (seed * runs) + run, is_baseline));
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps;
}

auto add_figures(report& results, const std::string& deployment,
                 const std::string& name, const std::vector<double>& gaps,
                 const std::vector<double>& baseline) -> void
{
    const auto add = [&](const char* statistic, double share,
                         const char* target) {
        results.add(figure{deployment, name + "." + statistic,
                           quantile(gaps, share), baseline_name,
                           quantile(baseline, share), target});
    };
    add("median", median_share, "<= 2000");
    add("p99", p99_share, "<= 2000");
    add("worst", 1, "<= 2000, never above 5000");
}

} // namespace

auto measure_write_gap(const deployment& place, std::uint64_t seed,
                       report& results) -> void
{
    const auto name = std::string(place.name);
    auto all = std::vector<double>{};
    auto all_baseline = std::vector<double>{};
    for (const auto& what : failures) {
        const auto gaps = run_all(place, what, seed, false);
        const auto baseline = run_all(place, what, seed, true);
        add_figures(results, name, "write_gap_ms." + std::string(what.name),
                    gaps, baseline);
        all.insert(all.end(), gaps.begin(), gaps.end());
        all_baseline.insert(all_baseline.end(), baseline.begin(),
                            baseline.end());
        results.add(
            gap_distribution{name, std::string(what.name), "rhubarbrun", gaps});
        results.add(gap_distribution{name, std::string(what.name),
                                     baseline_name, baseline});
    }
    std::sort(all.begin(), all.end());
    std::sort(all_baseline.begin(), all_baseline.end());
    add_figures(results, name, "write_gap_ms", all, all_baseline);
}

} // namespace rhubarbrun::bench
