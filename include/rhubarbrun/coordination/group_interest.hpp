#ifndef RHUBARBRUN_COORDINATION_GROUP_INTEREST_HPP
#define RHUBARBRUN_COORDINATION_GROUP_INTEREST_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <map>
#include <vector>

namespace rhubarbrun::inline v1 {

/// The groups whose log positions a process needs, which are those that its
/// sessions read lately. Control tells it no others, so that what it is told
/// grows with its own work and not with the deployment.
class group_interest
{
public:
    /// Counts a use of the group.
    auto note(time_point now, const group_id& group) -> void;

    /// The groups that were used lately, in the order of their ids.
    [[nodiscard]] auto groups(time_point now) -> std::vector<group_id>;

private:
    std::map<group_id, time_point> used_at_;
};

} // namespace rhubarbrun::inline v1

#endif
