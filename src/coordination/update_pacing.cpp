#include <rhubarbrun/coordination/update_pacing.hpp>

namespace rhubarbrun::inline v1 {

namespace {

/// A small part of the time in which changes of servers have to be in force.
constexpr auto update_interval = milliseconds(100);

} // namespace

auto update_pacing::take_due(time_point now) noexcept -> bool
{
    if (!is_changed_ || now - sent_at_ < update_interval) {
        return false;
    }
    is_changed_ = false;
    sent_at_ = now;
    return true;
}

} // namespace rhubarbrun::inline v1
