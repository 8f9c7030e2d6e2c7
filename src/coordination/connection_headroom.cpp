#include <rhubarbrun/coordination/connection_headroom.hpp>

#include <algorithm>
#include <cmath>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto shared_fraction = 0.5;
/// Growth of the idle time for each interval, and its decrease while more than
/// the share is held, in percent.
constexpr auto growth_percentage = 101;
constexpr auto decrease_percentage = 90;
/// Time over which the number of held connections is averaged.
constexpr auto averaging_time = std::chrono::seconds(1);

} // namespace

connection_share::connection_share(std::uint32_t limit,
                                   std::uint32_t processes) noexcept
    : mean_(shared_fraction * limit / std::max(processes, 1U))
{
}

auto connection_share::whole() const noexcept -> std::size_t
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(mean_));
}

scarce_idle_time::scarce_idle_time(duration min, duration max) noexcept
    : min_(min), max_(max), limit_(max)
{
}

auto scarce_idle_time::on_refused() noexcept -> void
{
    limit_ = std::max(min_, limit_ / 2);
}

auto scarce_idle_time::on_held(time_point now, std::size_t open) noexcept
    -> void
{
    const auto elapsed = std::chrono::duration<double>(now - noted_at_);
    const auto weight =
        std::exp(-elapsed / std::chrono::duration<double>(averaging_time));
    mean_open_ = weight * mean_open_ + (1 - weight) * static_cast<double>(open);
    noted_at_ = now;
}

auto scarce_idle_time::adjust(const connection_share& share) noexcept -> void
{
    const auto percentage =
        mean_open_ > share.mean() ? decrease_percentage : growth_percentage;
    limit_ = std::clamp(limit_ * percentage / 100, min_, max_);
}

} // namespace rhubarbrun::inline v1
