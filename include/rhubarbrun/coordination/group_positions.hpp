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

/// What the owner of a target answered to a position query.
struct target_position
{
    target_id target;
    /// Of a primary: the highest acknowledged position. Of a replica: the
    /// replayed position. No value if the asked proxy does not serve it.
    std::optional<log_position> position;
    /// End of the log; set for a primary only.
    std::optional<log_position> log_end;
    /// Of a primary: the replicas that stream from it.
    std::set<target_id> followers;
    /// Time between the reading of the positions and the answer.
    duration age{};
    /// Queued and running statements.
    std::uint32_t load = 0;
};

/// Entry side: the known log positions of the servers of one group.
class group_positions
{
public:
    explicit group_positions(replica_choice_options options);

    /// Whether positions were last asked for at least `interval` ago; if so,
    /// counts it as done now.
    [[nodiscard]] auto start_query_if_due(time_point now, duration interval)
        -> bool;

    /// A query that was sent at `asked_at` was answered. A replica counts only
    /// if the primary reported that it streams from it. `zone` is that of this
    /// proxy.
    auto on_answer(time_point now, time_point asked_at, const directory& view,
                   const zone_id& zone, const target_position& answer) -> void;

    /// Highest acknowledged position, if it was asked for at `since` or later.
    [[nodiscard]] auto acknowledged_since(time_point since) const
        -> std::optional<log_position>;

    [[nodiscard]] auto choice() noexcept -> replica_choice& { return choice_; }

private:
    replica_choice choice_;
    /// When the newest answer of the primary's owner was asked for.
    time_point acknowledged_at_{};
    std::optional<log_position> acknowledged_;
    std::set<target_id> followers_;
    /// Answers of replicas that the primary has not reported yet, and when
    /// they were asked for; they count only with the primary's answer to the
    /// same round of questions, as such a replica may have diverged.
    std::map<target_id, replica_report> pending_reports_;
    time_point pending_asked_at_{};
    time_point last_query_at_{};
};

} // namespace rhubarbrun::inline v1

#endif
