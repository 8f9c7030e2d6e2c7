#ifndef RHUBARBRUN_COORDINATION_TARGET_LIVENESS_HPP
#define RHUBARBRUN_COORDINATION_TARGET_LIVENESS_HPP

#include <rhubarbrun/coordination/announcement_report.hpp>
#include <rhubarbrun/state/control_state.hpp>
#include <rhubarbrun/state/units.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Determines on the control leader whether targets are present, leaving or
/// gone, from the newest announcement of each target in all proxies' reports.
class target_liveness
{
public:
    /// Longest time between an announcement and the arrival of its report.
    static constexpr duration max_report_delay =
        std::chrono::milliseconds(1500);
    /// A target counts as leaving until it is announced without the leaving
    /// flag this long after the last announcement with it. Two proxies may
    /// report announcements out of order by as much as their report interval.
    static constexpr duration return_delay = std::chrono::milliseconds(2000);
    /// Shortest time between two changes of a target's description. It limits
    /// the changes if two servers announce one name with different addresses.
    static constexpr duration min_description_interval =
        std::chrono::seconds(3);
    /// Time after which a change that was proposed but not applied is proposed
    /// again.
    static constexpr duration retry_interval = std::chrono::seconds(2);
    /// Time after which a target that is gone and has no owner is removed.
    static constexpr duration gone_target_ttl = std::chrono::minutes(10);

    /// Starts to lead. All known targets but those that are gone count as
    /// announced at `now`.
    auto start_leading(time_point now, const control_state& state) -> void;

    auto stop_leading() -> void;

    /// Processes a report that arrived at `now`.
    auto on_report(time_point now, const announcement_report& report,
                   const control_state& state) -> void;

    /// Returns the changes to propose at `now`. The cost is proportional to
    /// the number of targets whose report changed or that became due.
    auto take_changes(time_point now, const control_state& state)
        -> std::vector<target_change>;

    /// Time at which the next target becomes due.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

private:
    struct observation
    {
        time_point announced_at = time_point::min();
        /// Time of the newest announcement with the leaving flag.
        std::optional<time_point> leaving_announced_at;
        /// Announced description that is not in the state yet.
        std::optional<target_description> description;
        /// Time of the announcement with the description, and time at which
        /// the description was accepted.
        time_point description_announced_at = time_point::min();
        time_point description_accepted_at = time_point::min();
        time_point due = time_point::min();
    };

    /// Time without an announcement after which a target is gone.
    [[nodiscard]] static auto announcement_timeout(const control_state& state)
        -> duration;
    [[nodiscard]] static auto merge_report(time_point now,
                                           time_point announced_at,
                                           const reported_target& reported,
                                           observation& seen) -> bool;
    static auto drop_redundant_description(observation& seen,
                                           const target_record* record,
                                           const control_state& state) -> void;
    static auto add_presence_changes(const observation& seen,
                                     const target_record* record,
                                     std::vector<target_change>& out) -> void;
    [[nodiscard]] static auto evaluate_removal(time_point now,
                                               const target_record& record,
                                               const control_state& state,
                                               std::vector<target_change>& out)
        -> time_point;
    [[nodiscard]] static auto
    evaluate(time_point now, observation& seen, const target_record* record,
             const control_state& state, std::vector<target_change>& out)
        -> std::optional<time_point>;
    auto schedule(const target_id& id, observation& seen, time_point due)
        -> void;

    std::map<target_id, observation> observations_;
    std::set<std::pair<time_point, target_id>> due_;
};

} // namespace rhubarbrun::inline v1

#endif
