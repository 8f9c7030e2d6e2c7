#ifndef RHUBARBRUN_COORDINATION_RENEWAL_BATCH_HPP
#define RHUBARBRUN_COORDINATION_RENEWAL_BATCH_HPP

#include <rhubarbrun/state/server_record.hpp>
#include <rhubarbrun/state/units.hpp>

#include <map>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Announcements that changed nothing, on their way to the leader.
///
/// Only the leader needs to know that a server is still alive, so the member
/// that took an announcement tells it alone, and tells many at a time. What
/// affects routing is told to all members at once, without this.
class renewal_batch
{
public:
    /// Adds an announcement; it replaces an earlier one of the same server.
    auto add(const server_record& record) -> void;

    /// The records to be sent now; empty if it is not time yet.
    [[nodiscard]] auto take_due(time_point now) -> std::vector<server_record>;

private:
    std::map<target_id, server_record> records_;
    time_point taken_at_;
};

} // namespace rhubarbrun::inline v1

#endif
