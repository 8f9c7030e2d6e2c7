#ifndef RHUBARBRUN_COORDINATION_LOSS_TOLERANCE_HPP
#define RHUBARBRUN_COORDINATION_LOSS_TOLERANCE_HPP

#include <rhubarbrun/state/consensus_log.hpp>

#include <cstddef>
#include <functional>

namespace rhubarbrun::inline v1 {

/// Whether the group keeps what it committed, and can elect a leader, after any
/// `losses` further members lose their disks.
///
/// A voter without `is_intact` never votes again: its disk is lost, or it is
/// gone for good. It still counts for the majority, so that a group with such a
/// voter outlasts fewer losses than its size suggests. A member that lost its
/// disk comes back as another incarnation, which cannot join without a leader.
[[nodiscard]] auto
outlasts_losses(const membership& configuration,
                const std::function<bool(const member_identity&)>& is_intact,
                std::size_t losses) -> bool;

} // namespace rhubarbrun::inline v1

#endif
