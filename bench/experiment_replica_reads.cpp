#include "experiment.hpp"
#include "experiment_server.hpp"
#include "experiment_statistics.hpp"

#include <rhubarbrun/coordination/replica_choice.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::bench {

namespace {

constexpr auto warm_time = duration(std::chrono::seconds(5));
constexpr auto run_time = duration(std::chrono::seconds(120));
constexpr auto report_interval = duration(std::chrono::milliseconds(100));
constexpr auto replicas = std::size_t{2};
constexpr auto sessions_per_proxy = 12U;
constexpr auto requests_per_session = 20;
constexpr auto think_time = duration(std::chrono::milliseconds(300));
constexpr auto write_share = 0.2;
/// Share of reads that state an accepted age; the others state only a floor.
constexpr auto aged_share = 0.7;
constexpr auto accepted_age = duration(std::chrono::seconds(2));
constexpr auto half_read = duration(std::chrono::milliseconds(2));
constexpr auto half_write = duration(std::chrono::milliseconds(4));
constexpr auto read_deadline = duration(std::chrono::seconds(1));
/// One proxy in three is in another region than the servers.
constexpr auto far_proxies = 3U;
constexpr auto bytes_per_write = std::uint64_t{600};
constexpr auto lag_step = duration(std::chrono::milliseconds(20));
constexpr auto mean_lag = duration(std::chrono::milliseconds(5));
/// Replay stops about once a minute, for about eight seconds.
constexpr auto stall_gap = duration(std::chrono::seconds(60));
constexpr auto stall_time = duration(std::chrono::seconds(8));

/// A replica that replays what the primary wrote some time ago.
struct fake_replica
{
    std::unique_ptr<served_target> server;
    log_offset replayed;
    duration lag{};
    time_point stalled_until;
};

class replica_read_run
{
public:
    replica_read_run(const deployment& place, std::uint64_t seed,
                     bool may_use_replicas, duration longest_wait)
        : place_(place),
          events_(seed),
          may_use_replicas_(may_use_replicas),
          primary_(events_, place, {})
    {
        for (auto index = std::size_t{0}; index < replicas; ++index) {
            servers_.at(index).server = std::make_unique<served_target>(
                events_, place, admission_options{});
            replay(index);
            plan_stall(index);
        }
        for (auto proxy = 0U; proxy < place.proxies; ++proxy) {
            auto options = replica_choice_options{};
            options.random = events_.random_hook();
            options.max_floor_wait = longest_wait;
            choices_.emplace_back(options);
        }
        for (auto proxy = 0U; proxy < place.proxies; ++proxy) {
            poll(proxy);
            for (auto count = 0U; count < sessions_per_proxy; ++count) {
                next_request(proxy, {}, 0);
            }
        }
        events_.run_until(time_point(warm_time + run_time));
    }

    [[nodiscard]] auto replica_share() const -> double
    {
        return static_cast<double>(by_replica_) /
               static_cast<double>(std::max(reads_, 1U));
    }

    /// Of the reads for which a replica was fit, or was so within the longest
    /// wait, when they were sent.
    [[nodiscard]] auto eligible_share() const -> double
    {
        return static_cast<double>(eligible_by_replica_) /
               static_cast<double>(std::max(eligible_, 1U));
    }

    [[nodiscard]] auto stale() const -> double { return stale_; }

    [[nodiscard]] auto delays() const -> const delay_statistics&
    {
        return delays_;
    }

private:
    [[nodiscard]] static auto at(log_offset offset) -> log_position
    {
        return {term(1), offset};
    }

    [[nodiscard]] auto distance(std::uint32_t proxy) const -> duration
    {
        return proxy % far_proxies == 0 ? place_.region_delay
                                        : place_.zone_delay;
    }

    /// Position of the primary at `when`.
    [[nodiscard]] auto written_at(time_point when) const -> log_offset
    {
        const auto next =
            std::upper_bound(written_.begin(), written_.end(), when,
                             [](time_point wanted, const auto& each) {
                                 return wanted < each.first;
                             });
        return next == written_.begin() ? log_offset(0)
                                        : std::prev(next)->second;
    }

    /// Whether a replica truly holds, or will hold after the longest wait,
    /// what a read needs.
    [[nodiscard]] auto is_replica_fit(log_offset needed) const -> bool
    {
        const auto longest_wait = replica_choice_options{}.max_floor_wait;
        return std::any_of(
            servers_.begin(), servers_.end(), [&](const auto& each) {
                return each.replayed >= needed ||
                       (events_.now() >= each.stalled_until &&
                        written_at(events_.now() + longest_wait - each.lag) >=
                            needed);
            });
    }

    auto replay(std::size_t index) -> void
    {
        auto& server = servers_.at(index);
        if (events_.now() < server.stalled_until) {
            server.lag += lag_step;
        } else {
            // After a stall the replica replays five times as fast as the
            // primary writes.
            const auto usual =
                place_.zone_delay + events_.exponential(mean_lag);
            server.lag = std::max(usual, server.lag - (4 * lag_step));
        }
        server.replayed =
            std::max(server.replayed, written_at(events_.now() - server.lag));
        events_.after(lag_step / 4, [this, index] { refine(index, 1); });
    }

    /// Replays in quarters of a step, so that small lags are not rounded up.
    auto refine(std::size_t index, int quarter) -> void
    {
        auto& server = servers_.at(index);
        if (quarter == 4) {
            replay(index);
            return;
        }
        if (events_.now() >= server.stalled_until) {
            server.replayed = std::max(server.replayed,
                                       written_at(events_.now() - server.lag));
        }
        events_.after(lag_step / 4,
                      [this, index, quarter] { refine(index, quarter + 1); });
    }

    auto plan_stall(std::size_t index) -> void
    {
        events_.after(events_.exponential(stall_gap), [this, index] {
            servers_.at(index).stalled_until =
                events_.now() + events_.exponential(stall_time);
            plan_stall(index);
        });
    }

    /// Asks the primary and the replicas for their positions.
    auto poll(std::uint32_t proxy) -> void
    {
        const auto asked = events_.now();
        const auto way = distance(proxy);
        events_.after(way, [this, proxy, asked, way] {
            const auto primary = written_at(events_.now());
            auto reports = std::vector<replica_report>{};
            for (auto index = std::size_t{0}; index < replicas; ++index) {
                const auto& server = servers_.at(index);
                reports.push_back({target_id(std::to_string(index)),
                                   zone_id("zone"), way, place_.slots,
                                   at(server.replayed), asked,
                                   server.server->load()});
            }
            events_.after(way, [this, proxy, asked, primary, reports] {
                choices_.at(proxy).on_primary_position(asked, at(primary));
                for (const auto& each : reports) {
                    choices_.at(proxy).on_report(events_.now(), each);
                }
            });
        });
        events_.after(report_interval, [this, proxy] { poll(proxy); });
    }

    /// Thinks, then sends; a new session starts at the position acknowledged
    /// at that time.
    auto next_request(std::uint32_t proxy, log_offset floor, int left) -> void
    {
        events_.after(events_.exponential(think_time), [this, proxy, floor,
                                                        left] {
            const auto is_new = left == 0;
            const auto now_floor = is_new ? written_at(events_.now()) : floor;
            const auto now_left = is_new ? requests_per_session : left;
            if (events_.uniform() < write_share) {
                write(proxy, now_left);
            } else {
                read(proxy, now_floor, now_left);
            }
        });
    }

    auto write(std::uint32_t proxy, int left) -> void
    {
        auto work = job{};
        work.priority = work_class::order_entry;
        work.shape = "write";
        work.service = half_write + events_.exponential(half_write);
        work.time_left = read_deadline;
        work.done = [this, proxy, left](const auto& outcome) {
            if (outcome.has_run) {
                position_ = log_offset(position_.value() + bytes_per_write);
                written_.emplace_back(events_.now(), position_);
            }
            next_request(proxy, position_, left - 1);
        };
        events_.after(distance(proxy), [this, work = std::move(work)] {
            primary_.submit(work);
        });
    }

    auto read(std::uint32_t proxy, log_offset floor, int left) -> void
    {
        const auto sent = events_.now();
        auto requirements = read_requirements{};
        requirements.floor = at(floor);
        requirements.deadline = sent + read_deadline;
        if (events_.uniform() < aged_share) {
            requirements.max_age = accepted_age;
        }
        auto& choice = choices_.at(proxy);
        const auto route = may_use_replicas_ ? choice.choose(sent, requirements)
                                             : read_route{};
        // What the read is entitled to see, by the true history.
        const auto entitled =
            requirements.max_age > duration{}
                ? std::max(floor, written_at(sent - accepted_age))
                : floor;
        const auto is_eligible = is_replica_fit(entitled);
        if (sent >= time_point(warm_time)) {
            ++reads_;
            eligible_ += is_eligible ? 1U : 0U;
        }
        const auto finish = [this, proxy, floor, left, sent] {
            events_.after(distance(proxy), [this, proxy, floor, left, sent] {
                delays_.add(events_.now() - sent);
                next_request(proxy, floor, left - 1);
            });
        };
        if (!route.target) {
            to_primary(proxy, finish);
            return;
        }
        const auto needed =
            choice.required_position(sent, requirements).value_or(at(floor));
        events_.after(distance(proxy), [=, this] {
            at_replica(proxy, route, needed, entitled, is_eligible, finish,
                       events_.now());
        });
    }

    auto to_primary(std::uint32_t proxy, const std::function<void()>& finish)
        -> void
    {
        events_.after(distance(proxy), [this, finish] {
            primary_.submit(make_read([finish](const auto&) { finish(); }));
        });
    }

    auto make_read(std::function<void(const job_result&)> done) -> job
    {
        auto work = job{};
        work.shape = "read";
        work.service = half_read + events_.exponential(half_read);
        work.time_left = read_deadline;
        work.done = std::move(done);
        return work;
    }

    /// The owner of the replica checks the position, waits if it was asked to,
    /// and otherwise sends the read back.
    auto at_replica(std::uint32_t proxy, const read_route& route,
                    log_position needed, log_offset entitled, bool is_eligible,
                    const std::function<void()>& finish, time_point arrived)
        -> void
    {
        const auto index = std::stoul(route.target->value());
        auto& server = servers_.at(index);
        if (at(server.replayed) < needed) {
            if (events_.now() - arrived < route.wait) {
                constexpr auto check_again = duration(1000);
                events_.after(check_again, [=, this] {
                    at_replica(proxy, route, needed, entitled, is_eligible,
                               finish, arrived);
                });
                return;
            }
            events_.after(distance(proxy), [this, proxy, route, finish] {
                choices_.at(proxy).on_failed(*route.target);
                to_primary(proxy, finish);
            });
            return;
        }
        const auto replayed_before = server.replayed;
        server.server->submit(make_read([=, this](const auto& outcome) {
            const auto& now_server = servers_.at(index);
            if (outcome.has_run && events_.now() >= time_point(warm_time)) {
                ++by_replica_;
                eligible_by_replica_ += is_eligible ? 1U : 0U;
                stale_ += replayed_before < entitled ? 1 : 0;
            }
            const auto load = now_server.server->load();
            const auto replayed = at(now_server.replayed);
            const auto asked = events_.now();
            events_.after(distance(proxy), [=, this] {
                auto& choice = choices_.at(proxy);
                choice.on_answered(*route.target, load);
                choice.on_replayed(asked, *route.target, replayed);
            });
            finish();
        }));
    }

    deployment place_;
    simulation events_;
    bool may_use_replicas_;
    served_target primary_;
    std::array<fake_replica, replicas> servers_;
    std::vector<replica_choice> choices_;
    log_offset position_;
    std::vector<std::pair<time_point, log_offset>> written_;
    std::uint32_t reads_ = 0;
    std::uint32_t by_replica_ = 0;
    std::uint32_t eligible_ = 0;
    std::uint32_t eligible_by_replica_ = 0;
    double stale_ = 0;
    delay_statistics delays_;
};

} // namespace

auto measure_replica_reads(const deployment& place, std::uint64_t seed,
                           report& results) -> void
{
    const auto name = std::string(place.name);
    const auto own = replica_read_run(place, seed, true,
                                      replica_choice_options{}.max_floor_wait);
    const auto no_wait = replica_read_run(place, seed, true, duration{});
    const auto primary = replica_read_run(place, seed, false, duration{});
    results.add(figure{name, "replica_read_share", own.eligible_share(),
                       "primary_only", primary.eligible_share(), ">= 0.95"});
    results.add(figure{name, "replica_read_share_by_wait", own.eligible_share(),
                       "no_wait", no_wait.eligible_share(), ""});
    results.add(figure{name, "replica_read_share_of_all", own.replica_share(),
                       "primary_only", primary.replica_share(), ""});
    results.add(figure{name, "stale_reads", own.stale(), "no_wait",
                       no_wait.stale(), "= 0"});
    results.add(figure{name, "read_mean_ms", own.delays().mean(),
                       "primary_only", primary.delays().mean(), ""});
    results.add(figure{name, "read_p99_ms", own.delays().p99(), "primary_only",
                       primary.delays().p99(), ""});
}

} // namespace rhubarbrun::bench
