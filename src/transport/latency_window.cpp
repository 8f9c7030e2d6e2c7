#include <rhubarbrun/transport/latency_window.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto median_probability = 0.5;
constexpr auto p99_probability = 0.99;

auto to_duration(double microseconds) -> duration
{
    return duration(static_cast<duration::rep>(microseconds));
}

} // namespace

latency_window::samples::samples()
    : median_(boost::accumulators::quantile_probability = median_probability),
      p99_(boost::accumulators::quantile_probability = p99_probability)
{
}

auto latency_window::samples::add(duration latency) -> void
{
    const auto microseconds = static_cast<double>(latency.count());
    median_(microseconds);
    p99_(microseconds);
    extremes_(microseconds);
}

auto latency_window::samples::summary() const -> std::optional<latency_summary>
{
    const auto count = boost::accumulators::count(extremes_);
    if (count == 0) {
        return std::nullopt;
    }
    const auto worst = boost::accumulators::max(extremes_);
    // P-square needs five samples before its markers mean anything.
    constexpr auto min_samples = 5;
    if (count < min_samples) {
        return latency_summary{count, to_duration(worst), to_duration(worst),
                               to_duration(worst)};
    }
    return latency_summary{
        count, to_duration(boost::accumulators::p_square_quantile(median_)),
        to_duration(boost::accumulators::p_square_quantile(p99_)),
        to_duration(worst)};
}

auto latency_window::rotate(time_point now) -> void
{
    if (!started_) {
        started_ = now;
    }
    const auto elapsed = now - *started_;
    if (elapsed < length_) {
        return;
    }
    // After a pause of more than one window the last one was empty.
    const auto was_just_over = elapsed < 2 * length_;
    last_ = was_just_over ? current_.summary() : std::nullopt;
    current_ = samples();
    *started_ += length_ * (elapsed / length_);
}

auto latency_window::add(time_point now, duration latency) -> void
{
    rotate(now);
    current_.add(latency);
}

auto latency_window::last(time_point now) -> std::optional<latency_summary>
{
    rotate(now);
    return last_;
}

} // namespace rhubarbrun::inline v1
