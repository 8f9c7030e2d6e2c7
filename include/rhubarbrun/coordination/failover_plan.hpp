#ifndef RHUBARBRUN_COORDINATION_FAILOVER_PLAN_HPP
#define RHUBARBRUN_COORDINATION_FAILOVER_PLAN_HPP

#include <rhubarbrun/coordination/failover.hpp>
#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Returns the state from which a change of the primary of `group` starts,
/// without the highest acknowledged position, which only the owner knows.
///
/// @param is_planned Whether the primary is leaving. If so, other leaving
///     servers are excluded, and no value is returned if no server remains.
[[nodiscard]] auto plan_failover(const directory& view,
                                 const group_record& group, bool is_planned)
    -> std::optional<failover_group>;

/// Returns the options of a failover under the bundle's `timings`.
[[nodiscard]] auto failover_options_for(const bundle_timings& timings)
    -> failover_options;

/// Time for which open transactions may continue at a leaving primary.
[[nodiscard]] auto leaving_primary_wait(const bundle_timings& timings)
    -> duration;

/// Returns all other proxies in the order in which they are asked to confirm
/// that a primary is unreachable.
[[nodiscard]] auto confirmation_order(const directory& view,
                                      const proxy_id& self)
    -> std::vector<proxy_id>;

} // namespace rhubarbrun::inline v1

#endif
