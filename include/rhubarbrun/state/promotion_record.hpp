#ifndef RHUBARBRUN_STATE_PROMOTION_RECORD_HPP
#define RHUBARBRUN_STATE_PROMOTION_RECORD_HPP

#include <rhubarbrun/state/ids.hpp>

#include <cereal/types/vector.hpp>

#include <vector>

namespace rhubarbrun::inline v1 {

/// Servers of a group that calls to promote may still make its primary. It is
/// replicated before such a call is sent, so that a later leader knows of it.
struct promotion_record
{
    group_id group;
    /// Ascending.
    std::vector<target_id> servers;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(group, servers);
    }
};

} // namespace rhubarbrun::inline v1

#endif
