#include "experiment.hpp"
#include "experiment_server.hpp"
#include "experiment_statistics.hpp"

#include <string>

namespace rhubarbrun::bench {

namespace {

constexpr auto warm_time = duration(std::chrono::seconds(10));
constexpr auto run_time = duration(std::chrono::seconds(120));
/// Demand of short reads, as a share of all slots.
constexpr auto short_demand = 0.4;
constexpr auto half_short = duration(std::chrono::milliseconds(2));
constexpr auto half_report = duration(std::chrono::seconds(1));
constexpr auto short_deadline = duration(std::chrono::seconds(2));
constexpr auto report_deadline = duration(std::chrono::seconds(60));
constexpr auto short_shapes = 6U;
constexpr auto report_shapes = 4U;
/// Callers per slot that always have a report to run.
constexpr auto report_callers_per_slot = 2U;
/// One way between a caller and its entry proxy.
constexpr auto client_delay = duration(std::chrono::milliseconds(1));

/// Short reads at a replica, with or without reports next to them. The target
/// is not told which shapes are reports.
class head_of_line_run
{
public:
    head_of_line_run(const deployment& place, std::uint64_t seed,
                     bool has_reports, const admission_options& options)
        : place_(place), events_(seed), server_(events_, place, hook(options))
    {
        const auto end = events_.now() + warm_time + run_time;
        const auto held = (2 * half_short) + server_.overhead();
        events_.arrivals(short_demand * place.slots / to_seconds(held), end,
                         [this] { send_short(); });
        if (has_reports) {
            const auto count = place.slots * report_callers_per_slot;
            for (auto caller = 0U; caller < count; ++caller) {
                events_.after(events_.exponential(half_report),
                              [this] { send_report(); });
            }
        }
        events_.run_until(end);
    }

    [[nodiscard]] auto delays() const -> const delay_statistics&
    {
        return delays_;
    }

    /// Slot time of finished reports, divided by capacity.
    [[nodiscard]] auto report_share() const -> double
    {
        return to_seconds(report_time_) / to_seconds(run_time) / place_.slots;
    }

private:
    auto hook(admission_options options) -> admission_options
    {
        options.random = events_.random_hook();
        return options;
    }

    [[nodiscard]] auto is_warm() const -> bool
    {
        return events_.now() >= time_point(warm_time);
    }

    auto send_short() -> void
    {
        auto work = job{};
        work.shape = "short" + std::to_string(events_.random() % short_shapes);
        work.service = half_short + events_.exponential(half_short);
        work.time_left = short_deadline;
        work.done = [this](const auto& outcome) {
            if (is_warm()) {
                // An answer that did not come in time counts as the deadline.
                const auto at_owner =
                    outcome.has_run ? outcome.elapsed : short_deadline;
                delays_.add(at_owner +
                            (2 * (client_delay + place_.zone_delay)));
            }
        };
        server_.submit(std::move(work));
    }

    auto send_report() -> void
    {
        auto work = job{};
        work.shape =
            "report" + std::to_string(events_.random() % report_shapes);
        work.caller = "reports";
        work.service = half_report + events_.exponential(half_report);
        work.time_left = report_deadline;
        work.done = [this](const auto& outcome) {
            if (outcome.has_run && is_warm()) {
                report_time_ += outcome.held;
            }
            events_.after(outcome.retry_after, [this] { send_report(); });
        };
        server_.submit(std::move(work));
    }

    deployment place_;
    simulation events_;
    served_target server_;
    delay_statistics delays_;
    duration report_time_{};
};

} // namespace

auto measure_head_of_line(const deployment& place, std::uint64_t seed,
                          report& results) -> void
{
    const auto name = std::string(place.name);
    const auto alone = head_of_line_run(place, seed, false, {});
    const auto mixed = head_of_line_run(place, seed, true, {});
    const auto first_come_alone =
        head_of_line_run(place, seed, false, first_come_options());
    const auto first_come =
        head_of_line_run(place, seed, true, first_come_options());
    results.add(figure{
        name, "short_p99_ratio", mixed.delays().p99() / alone.delays().p99(),
        "first_come_unbounded",
        first_come.delays().p99() / first_come_alone.delays().p99(), "<= 2"});
    results.add(figure{name, "short_p99_ms", mixed.delays().p99(),
                       "first_come_unbounded", first_come.delays().p99(), ""});
    results.add(figure{name, "short_p99_without_reports_ms",
                       alone.delays().p99(), "first_come_unbounded",
                       first_come_alone.delays().p99(), ""});
    results.add(figure{name, "report_slot_share", mixed.report_share(),
                       "first_come_unbounded", first_come.report_share(), ""});
}

} // namespace rhubarbrun::bench
