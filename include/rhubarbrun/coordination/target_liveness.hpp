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

/// Leader side of the announcements: the newest of what all proxies heard of
/// each target, and the changes that follow from it.
class target_liveness
{
public:
    /// Reports arrive up to this long after the announcement they contain.
    static constexpr duration max_report_delay =
        std::chrono::milliseconds(1500);
    /// An announcement takes back that a target leaves only if it was heard
    /// this long after the last one that said so. Two proxies may report
    /// announcements out of order by as much as their report interval.
    static constexpr duration return_delay = std::chrono::milliseconds(2000);
    /// Two servers that announce one name with different addresses change the
    /// record at most this often.
    static constexpr duration min_description_interval =
        std::chrono::seconds(3);
    /// A change that was proposed but not applied is proposed again.
    static constexpr duration retry_interval = std::chrono::seconds(2);
    /// A target that is gone and owned by no proxy is forgotten after this.
    static constexpr duration gone_target_ttl = std::chrono::minutes(10);

    /// Starts with all known targets treated as heard at `now`.
    auto start_leading(time_point now, const control_state& state) -> void;

    auto stop_leading() -> void;

    /// Takes a report that arrived at `now`.
    auto on_report(time_point now, const announcement_report& report,
                   const control_state& state) -> void;

    /// Changes to propose at `now`; their cost is proportional to the targets
    /// that were reported differently or that fell due.
    auto take_changes(time_point now, const control_state& state)
        -> std::vector<target_change>;

    /// When a target falls due next.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

private:
    struct observation
    {
        time_point announced_at = time_point::min();
        /// When the newest announcement that it leaves was heard.
        std::optional<time_point> leaving_announced_at;
        /// Not yet in the state.
        std::optional<target_description> description;
        /// When the announcement with the description was heard, and when it
        /// was accepted.
        time_point description_announced_at = time_point::min();
        time_point description_accepted_at = time_point::min();
        time_point due = time_point::min();
    };

    /// A target that was not heard for this long is gone.
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
