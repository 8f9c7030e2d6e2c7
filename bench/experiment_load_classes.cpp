#include "experiment.hpp"
#include "experiment_server.hpp"
#include "experiment_statistics.hpp"

#include <rhubarbrun/coordination/replica_choice.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::bench {

namespace {

constexpr auto warm_time = duration(std::chrono::seconds(5));
constexpr auto run_time = duration(std::chrono::seconds(60));
constexpr auto report_interval = duration(std::chrono::milliseconds(100));
constexpr auto replicas = std::size_t{2};
constexpr auto half_read = duration(std::chrono::milliseconds(2));
constexpr auto read_deadline = duration(std::chrono::seconds(2));

using candidate_list = std::vector<replica_candidate>;

/// The candidate with the least `cost`; equal ones are drawn at random.
template <class Cost>
auto least(const candidate_list& candidates, const random_function& random,
           const Cost& cost) -> std::size_t
{
    auto best = std::vector<std::size_t>{};
    for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
        if (!best.empty() &&
            cost(candidates.at(index)) < cost(candidates.at(best.front())))
        {
            best.clear();
        }
        if (best.empty() ||
            cost(candidates.at(index)) == cost(candidates.at(best.front())))
        {
            best.push_back(index);
        }
    }
    return best.at(random() % best.size());
}

/// Fewest reads of this proxy that are not answered.
auto least_outstanding(const candidate_list& candidates,
                       const random_function& random) -> std::size_t
{
    return least(candidates, random,
                 [](const auto& each) { return each.outstanding; });
}

/// The less loaded of two drawn at random, with replacement.
auto two_draws(const candidate_list& candidates, const random_function& random)
    -> std::size_t
{
    const auto first = random() % candidates.size();
    const auto second = random() % candidates.size();
    return candidates.at(second).load < candidates.at(first).load ? second
                                                                  : first;
}

/// Least reported load.
auto least_load(const candidate_list& candidates, const random_function& random)
    -> std::size_t
{
    return least(candidates, random,
                 [](const auto& each) { return each.load; });
}

/// Idle (a slot is free), moderate (up to one statement waits per slot) or
/// heavy.
auto least_load_class(const candidate_list& candidates,
                      const random_function& random) -> std::size_t
{
    return least(candidates, random, [](const auto& each) {
        constexpr auto heavy = 2U;
        return std::min(each.load / each.slots, heavy);
    });
}

class load_run
{
public:
    load_run(const deployment& place, std::uint64_t seed, double demand,
             const replica_selector& selector)
        : place_(place), events_(seed)
    {
        for (auto& each : servers_) {
            each = std::make_unique<served_target>(events_, place,
                                                   admission_options{});
        }
        const auto end = time_point(warm_time + run_time);
        const auto held = (2 * half_read) + servers_.front()->overhead();
        const auto rate =
            demand * place.slots * replicas / to_seconds(held) / place.proxies;
        for (auto proxy = 0U; proxy < place.proxies; ++proxy) {
            auto options = replica_choice_options{};
            options.random = events_.random_hook();
            options.selector = selector;
            choices_.emplace_back(options);
        }
        for (auto proxy = 0U; proxy < place.proxies; ++proxy) {
            poll(proxy);
            events_.arrivals(rate, end, [this, proxy] { read(proxy); });
        }
        events_.run_until(end);
    }

    [[nodiscard]] auto delays() const -> const delay_statistics&
    {
        return delays_;
    }

private:
    auto poll(std::uint32_t proxy) -> void
    {
        for (auto index = std::size_t{0}; index < replicas; ++index) {
            auto news = replica_report{};
            news.target = target_id(std::to_string(index));
            news.slots = place_.slots;
            news.replayed_at = events_.now();
            news.load = servers_.at(index)->load();
            events_.after(place_.zone_delay, [this, proxy, news] {
                choices_.at(proxy).on_report(events_.now(), news);
            });
        }
        events_.after(report_interval, [this, proxy] { poll(proxy); });
    }

    auto read(std::uint32_t proxy) -> void
    {
        const auto route = choices_.at(proxy).choose(events_.now(), {});
        if (!route.target) {
            return;
        }
        const auto sent = events_.now();
        const auto index = std::stoul(route.target->value());
        auto work = job{};
        work.shape = "read";
        work.service = half_read + events_.exponential(half_read);
        work.time_left = read_deadline;
        work.done = [this, proxy, index, sent](const auto& outcome) {
            const auto load = servers_.at(index)->load();
            events_.after(place_.zone_delay, [this, proxy, index, sent, load,
                                              has_run = outcome.has_run] {
                choices_.at(proxy).on_answered(target_id(std::to_string(index)),
                                               load);
                if (sent >= time_point(warm_time)) {
                    delays_.add(has_run ? events_.now() - sent : read_deadline);
                }
            });
        };
        events_.after(place_.zone_delay, [this, index, work = std::move(work)] {
            servers_.at(index)->submit(work);
        });
    }

    deployment place_;
    simulation events_;
    std::array<std::unique_ptr<served_target>, replicas> servers_;
    std::vector<replica_choice> choices_;
    delay_statistics delays_;
};

} // namespace

auto measure_load_classes(const deployment& place, std::uint64_t seed,
                          report& results) -> void
{
    struct policy
    {
        std::string_view name;
        replica_selector select;
    };
    const auto policies =
        std::array<policy, 4>{{{"own", select_replica},
                               {"two_draws", two_draws},
                               {"least_load", least_load},
                               {"load_classes", least_load_class}}};
    constexpr auto percent = 100;
    for (const auto demand : {0.6, 0.9}) {
        const auto baseline = load_run(place, seed, demand, least_outstanding);
        const auto suffix =
            std::to_string(std::lround(demand * percent)) + "_percent";
        for (const auto& each : policies) {
            const auto run = load_run(place, seed, demand, each.select);
            const auto middle = std::string(each.name) + "_" + suffix;
            results.add(figure{std::string(place.name),
                               "replica_mean_ms_" + middle, run.delays().mean(),
                               "least_outstanding", baseline.delays().mean(),
                               ""});
            results.add(figure{std::string(place.name),
                               "replica_p99_ms_" + middle, run.delays().p99(),
                               "least_outstanding", baseline.delays().p99(),
                               ""});
        }
    }
}

} // namespace rhubarbrun::bench
