#include "experiment.hpp"
#include "experiment_server.hpp"
#include "experiment_statistics.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>

namespace rhubarbrun::bench {

namespace {

/// Requests of one class.
struct request_kind
{
    work_class priority = work_class::order_entry;
    std::string_view name;
    /// Share of the demand, in slot time.
    double share = 0;
    /// Service is this fixed time and an exponential one of the same mean.
    duration half_service{};
    duration deadline{};
    std::uint32_t shapes = 1;
};

constexpr auto kinds = std::array{
    request_kind{work_class::order_entry, "order", 0.7,
                 std::chrono::milliseconds(4), std::chrono::seconds(1), 6},
    request_kind{work_class::lookup, "lookup", 0.2,
                 std::chrono::milliseconds(2), std::chrono::milliseconds(500),
                 6},
    request_kind{work_class::report, "report", 0.1, std::chrono::seconds(1),
                 std::chrono::seconds(30), 3},
};

constexpr auto calm_time = duration(std::chrono::seconds(10));
constexpr auto crest_time = duration(std::chrono::seconds(60));
constexpr auto calm_demand = 0.5;
constexpr auto most_attempts = 3;
constexpr auto callers = 6.0;
/// A caller that timed out waits this long at least, and twice as long at
/// most, before it sends its request again.
constexpr auto timeout_pause = duration(std::chrono::milliseconds(100));

struct crest_result
{
    /// Useful slot time by class, divided by capacity.
    std::array<double, kinds.size()> goodput{};
    std::array<delay_statistics, kinds.size()> delays;

    [[nodiscard]] auto all() const -> double
    {
        auto sum = 0.0;
        for (const auto each : goodput) {
            sum += each;
        }
        return sum;
    }
};

/// Callers that send at a rate whatever the answers are, and send refused or
/// unanswered requests again.
class crest_run
{
public:
    crest_run(const deployment& place, std::uint64_t seed, double demand,
              const admission_options& options)
        : place_(place), events_(seed), server_(events_, place, hook(options))
    {
        const auto calm_end = events_.now() + calm_time;
        start_ = calm_end;
        end_ = calm_end + crest_time;
        for (auto index = std::size_t{0}; index < kinds.size(); ++index) {
            send_all(index, calm_demand, calm_end);
            events_.at(calm_end, [this, index, demand] {
                send_all(index, demand, end_);
            });
        }
        events_.run_until(end_);
        const auto capacity = to_seconds(crest_time) * place.slots;
        for (auto& each : result_.goodput) {
            each /= capacity;
        }
    }

    [[nodiscard]] auto result() const -> const crest_result& { return result_; }

private:
    auto hook(admission_options options) -> admission_options
    {
        options.random = events_.random_hook();
        return options;
    }

    auto send_all(std::size_t index, double demand, time_point until) -> void
    {
        const auto& kind = kinds.at(index);
        const auto held = (2 * kind.half_service) + server_.overhead();
        const auto rate = demand * kind.share * place_.slots / to_seconds(held);
        events_.arrivals(rate, until, [this, index] { attempt(index, 1); });
    }

    auto attempt(std::size_t index, int number) -> void
    {
        const auto& kind = kinds.at(index);
        const auto is_settled = std::make_shared<bool>(false);
        auto work = job{};
        work.priority = kind.priority;
        work.shape = std::string(kind.name) +
                     std::to_string(events_.random() % kind.shapes);
        // Squaring makes the first callers the busiest.
        const auto place = events_.uniform();
        work.caller = std::to_string(static_cast<int>(place * place * callers));
        work.service =
            kind.half_service + events_.exponential(kind.half_service);
        work.time_left = kind.deadline;
        work.done = [this, index, number, is_settled](const auto& outcome) {
            if (std::exchange(*is_settled, true)) {
                return;
            }
            if (outcome.has_run) {
                count(index, outcome);
            } else {
                retry(index, number, outcome.retry_after);
            }
        };
        events_.after(kind.deadline, [this, index, number, is_settled] {
            if (!std::exchange(*is_settled, true)) {
                retry(index, number,
                      timeout_pause + events_.exponential(timeout_pause));
            }
        });
        server_.submit(std::move(work));
    }

    auto retry(std::size_t index, int number, duration pause) -> void
    {
        if (number < most_attempts) {
            events_.after(
                pause, [this, index, number] { attempt(index, number + 1); });
        }
    }

    auto count(std::size_t index, const job_result& outcome) -> void
    {
        if (events_.now() < start_) {
            return;
        }
        result_.goodput.at(index) += to_seconds(outcome.held);
        result_.delays.at(index).add(outcome.elapsed);
    }

    deployment place_;
    simulation events_;
    served_target server_;
    time_point start_;
    time_point end_;
    crest_result result_;
};

struct crest_policy
{
    std::string name;
    admission_options options;
};

auto policies() -> std::array<crest_policy, 3>
{
    auto bounded = first_come_options();
    bounded.use_deadlines = true;
    return {{{"rhubarbrun", admission_options{}},
             {"first_come_bounded", bounded},
             {"first_come_unbounded", first_come_options()}}};
}

} // namespace

auto measure_crest(const deployment& place, std::uint64_t seed, report& results)
    -> void
{
    const auto name = std::string(place.name);
    for (const auto demand : {1, 2, 4, 8}) {
        const auto suffix = "_" + std::to_string(demand) + "x";
        const auto possible = std::min(kinds.front().share * demand, 1.0);
        auto runs = std::vector<crest_result>{};
        for (const auto& policy : policies()) {
            runs.push_back(
                crest_run(place, seed, demand, policy.options).result());
            results.add(goodput_point{name, policy.name,
                                      static_cast<double>(demand),
                                      runs.back().goodput.front()});
        }
        const auto& own = runs.at(0);
        const auto& bounded = runs.at(1);
        const auto& unbounded = runs.at(2);
        results.add(figure{name, "crest_goodput_share" + suffix,
                           own.goodput.front() / possible,
                           "first_come_unbounded",
                           unbounded.goodput.front() / possible,
                           demand == 4 ? ">= 0.95" : ""});
        results.add(figure{name, "crest_goodput_share_by_priority" + suffix,
                           own.goodput.front() / possible, "first_come_bounded",
                           bounded.goodput.front() / possible, ""});
        results.add(figure{name, "crest_useful_throughput" + suffix, own.all(),
                           "first_come_unbounded", unbounded.all(), ""});
        results.add(figure{name, "crest_lookup_goodput" + suffix,
                           own.goodput.at(1), "first_come_bounded",
                           bounded.goodput.at(1), ""});
        results.add(figure{name, "crest_report_goodput" + suffix,
                           own.goodput.at(2), "first_come_bounded",
                           bounded.goodput.at(2), ""});
        results.add(figure{name, "crest_order_p99_ms" + suffix,
                           own.delays.front().p99(), "first_come_bounded",
                           bounded.delays.front().p99(), ""});
    }
}

} // namespace rhubarbrun::bench
