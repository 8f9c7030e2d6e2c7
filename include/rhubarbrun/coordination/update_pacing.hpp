#ifndef RHUBARBRUN_COORDINATION_UPDATE_PACING_HPP
#define RHUBARBRUN_COORDINATION_UPDATE_PACING_HPP

#include <rhubarbrun/state/units.hpp>

namespace rhubarbrun::inline v1 {

/// When changes of a view are sent to its subscribers. The first change is sent
/// at once; those that follow shortly after are sent together, so that a burst
/// of them, such as the announcements at the start of a deployment, costs a
/// message for each subscriber and interval, not for each subscriber and
/// change.
class update_pacing
{
public:
    /// Notes that something changed.
    auto note_change() noexcept -> void { is_changed_ = true; }

    /// Whether changes are to be sent now; those noted so far count as sent
    /// then.
    [[nodiscard]] auto take_due(time_point now) noexcept -> bool;

private:
    bool is_changed_ = false;
    time_point sent_at_;
};

} // namespace rhubarbrun::inline v1

#endif
