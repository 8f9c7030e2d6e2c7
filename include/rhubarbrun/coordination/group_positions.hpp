#ifndef RHUBARBRUN_COORDINATION_GROUP_POSITIONS_HPP
#define RHUBARBRUN_COORDINATION_GROUP_POSITIONS_HPP

#include <rhubarbrun/coordination/replica_choice.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace rhubarbrun::inline v1 {

/// Answer of a target's owner to a position query.
struct target_position
{
    target_id target;
    /// Of a primary, the highest acknowledged position; of a replica, the
    /// replayed position. No value if the asked proxy does not serve the
    /// target.
    std::optional<log_position> position;
    /// End of the log. Set only for a primary.
    std::optional<log_position> log_end;
    /// Of a primary, the replicas that stream from it.
    std::set<target_id> followers;
    /// Time between the reading of the positions and the answer.
    duration age{};
    /// Number of queued and running statements.
    std::uint32_t load = 0;
};

/// Log positions of the servers of one group, as known to the entry proxy.
class group_positions
{
public:
    explicit group_positions(replica_choice_options options);

    /// Returns whether the last query was at least `interval` ago; if so,
    /// records a query at `now`.
    [[nodiscard]] auto start_query_if_due(time_point now, duration interval)
        -> bool;

    /// Call when a query that was sent at `asked_at` was answered. A replica
    /// counts only if the primary reported that the replica streams from it.
    ///
    /// @param zone Availability zone of this proxy.
    auto on_answer(time_point now, time_point asked_at, const directory& view,
                   const zone_id& zone, const target_position& answer) -> void;

    /// Highest acknowledged position, if its query was sent at `since` or
    /// later.
    [[nodiscard]] auto acknowledged_since(time_point since) const
        -> std::optional<log_position>;

    [[nodiscard]] auto choice() noexcept -> replica_choice& { return choice_; }

private:
    replica_choice choice_;
    /// Send time of the query behind the newest answer of the primary's owner.
    time_point acknowledged_at_{};
    std::optional<log_position> acknowledged_;
    std::set<target_id> followers_;
    /// Answers of replicas that the primary has not reported yet, with the
    /// send time of their query. They count only together with the primary's
    /// answer to the same round of queries, because such a replica may have
    /// diverged.
    std::map<target_id, replica_report> pending_reports_;
    time_point pending_asked_at_{};
    time_point last_query_at_{};
};

} // namespace rhubarbrun::inline v1

#endif
