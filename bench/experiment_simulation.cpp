#include "experiment_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbrun::bench {

auto simulation::at(time_point when, std::function<void()> action) -> void
{
    events_.push({std::max(when, now_), ++order_, std::move(action)});
}

auto simulation::after(duration delay, std::function<void()> action) -> void
{
    at(now_ + delay, std::move(action));
}

auto simulation::run_until(time_point end) -> void
{
    while (!events_.empty() && events_.top().when <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
    }
    now_ = end;
}

auto simulation::random_hook() -> random_function
{
    return [this] {
        return random();
    };
}

auto simulation::uniform() -> double
{
    constexpr auto used_bits = 53;
    constexpr auto all_bits = 64;
    return std::ldexp(static_cast<double>(random() >> (all_bits - used_bits)),
                      -used_bits);
}

auto simulation::exponential(duration mean) -> duration
{
    return from_seconds(-std::log1p(-uniform()) * to_seconds(mean));
}

auto simulation::arrivals(double per_second, time_point end,
                          std::function<void()> action) -> void
{
    const auto gap = exponential(from_seconds(1 / per_second));
    if (now_ + gap > end) {
        return;
    }
    after(gap, [this, per_second, end, action = std::move(action)] {
        action();
        arrivals(per_second, end, action);
    });
}

auto from_seconds(double seconds) -> duration
{
    constexpr auto micros_per_second = 1e6;
    return duration(std::llround(seconds * micros_per_second));
}

auto to_seconds(duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

auto to_fractional_ms(duration value) -> double
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace rhubarbrun::bench
