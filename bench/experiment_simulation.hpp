#ifndef RHUBARBRUN_BENCH_EXPERIMENT_SIMULATION_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_SIMULATION_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace rhubarbrun::bench {

/// Discrete events in virtual time; events at one time run in the order in
/// which they were scheduled.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : random_(seed) {}

    [[nodiscard]] auto now() const noexcept -> time_point { return now_; }

    auto at(time_point when, std::function<void()> action) -> void;
    auto after(duration delay, std::function<void()> action) -> void;

    /// Runs all events up to `end`; later ones are kept.
    auto run_until(time_point end) -> void;

    /// Uniform 64-bit numbers from the seed.
    [[nodiscard]] auto random() -> std::uint64_t { return random_(); }
    [[nodiscard]] auto random_hook() -> random_function;

    /// Uniform in [0, 1).
    [[nodiscard]] auto uniform() -> double;
    [[nodiscard]] auto exponential(duration mean) -> duration;

    /// Runs `action` at the times of a Poisson process until `end`.
    auto arrivals(double per_second, time_point end,
                  std::function<void()> action) -> void;

private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct is_later
    {
        auto operator()(const event& left, const event& right) const noexcept
            -> bool
        {
            return left.when != right.when ? left.when > right.when
                                           : left.order > right.order;
        }
    };

    time_point now_;
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, is_later> events_;
    std::mt19937_64 random_;
};

/// `seconds` as a duration.
[[nodiscard]] auto from_seconds(double seconds) -> duration;

/// `value` in seconds.
[[nodiscard]] auto to_seconds(duration value) -> double;

/// `value` in milliseconds, with fractions.
[[nodiscard]] auto to_fractional_ms(duration value) -> double;

} // namespace rhubarbrun::bench

#endif
