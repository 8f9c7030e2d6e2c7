#include <rhubarbrun/coordination/failure_detector.hpp>

namespace rhubarbrun::inline v1 {

auto failure_detector::is_probe_due(time_point now) const noexcept -> bool
{
    if (has_outstanding_probe_) {
        return false;
    }
    return !was_probed_ || now - last_probe_ >= options_.probe_interval;
}

auto failure_detector::has_failed(time_point now) const noexcept -> bool
{
    if (consecutive_failures_ >= options_.failure_limit) {
        return true;
    }
    return is_silent_ && now - silent_since_ >= options_.silence_timeout;
}

auto failure_detector::on_probe_sent(time_point now) noexcept -> void
{
    has_outstanding_probe_ = true;
    was_probed_ = true;
    last_probe_ = now;
    if (!is_silent_) {
        is_silent_ = true;
        silent_since_ = now;
    }
}

auto failure_detector::on_probe_answered(time_point /*now*/) noexcept -> void
{
    has_outstanding_probe_ = false;
    is_silent_ = false;
    consecutive_failures_ = 0;
}

auto failure_detector::on_probe_failed(time_point /*now*/) noexcept -> void
{
    has_outstanding_probe_ = false;
    ++consecutive_failures_;
}

} // namespace rhubarbrun::inline v1
