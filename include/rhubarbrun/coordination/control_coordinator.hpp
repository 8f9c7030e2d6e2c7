#ifndef RHUBARBRUN_COORDINATION_CONTROL_COORDINATOR_HPP
#define RHUBARBRUN_COORDINATION_CONTROL_COORDINATOR_HPP

#include <rhubarbrun/coordination/lease_messages.hpp>
#include <rhubarbrun/coordination/lease_table.hpp>
#include <rhubarbrun/coordination/ownership.hpp>
#include <rhubarbrun/coordination/target_liveness.hpp>
#include <rhubarbrun/state/control_state.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of the coordinator.
struct coordinator_options
{
    ownership_options ownership;
    /// Limit on the moves of targets between live proxies in one
    /// `move_interval`.
    std::size_t max_moves_per_interval = 8;
    duration move_interval = std::chrono::seconds(1);
    /// Time after a leader starts in which no target is moved between live
    /// proxies, because further proxies may still be joining.
    duration rebalance_delay = std::chrono::seconds(5);
    /// Time after a leader starts in which targets without an owner are not
    /// placed, so that they are not all assigned to the first proxy that
    /// renews its lease.
    duration placement_delay = std::chrono::milliseconds(600);
    /// Time after which a command that was proposed but not applied is
    /// proposed again.
    duration retry_interval = std::chrono::seconds(2);
    /// Time for which a target is not assigned to a proxy that released it
    /// without a request to do so.
    duration exclusion_time = std::chrono::minutes(1);
    /// Time without a lease after which a proxy is removed.
    duration absent_proxy_ttl = std::chrono::minutes(10);
};

/// Makes the control leader's decisions: turns lease expiry, registrations,
/// drains, releases and target reports into commands to propose.
///
/// It reads the replicated state by reference. The state must outlive it, and
/// each command that the state applies must be passed to `on_applied`. A
/// target that may need a command is evaluated until the state shows the
/// outcome, so that a lost proposal is repeated. Not thread-safe.
class control_coordinator
{
public:
    explicit control_coordinator(const control_state& state,
                                 coordinator_options options = {});

    /// Starts to lead. Must be called after the first log entry of the
    /// leader's own term was applied.
    auto start_leading(time_point now) -> void;

    auto stop_leading() -> void;

    [[nodiscard]] auto is_leading() const noexcept -> bool
    {
        return leases_.is_leading();
    }

    /// Answers a lease request; see `lease_table::renew`.
    auto on_lease_request(time_point now, bool has_leader_lease,
                          const lease_request& request) -> lease_answer;

    /// Processes a proxy's report on announcements.
    auto on_announcement_report(time_point now,
                                const announcement_report& report) -> void;

    /// Schedules what follows from a command that the state has applied.
    auto on_applied(time_point now, const control_command& command,
                    const command_result& result) -> void;

    /// Returns the commands to propose at `now`. The cost is proportional to
    /// what changed or became due. Call it after each event and at `next_due`.
    auto tick(time_point now) -> std::vector<control_command>;

    /// Time of the next call of `tick` if no event occurs before.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

    /// Number of targets and proxies evaluated so far, for metrics and for
    /// the test that the cost of a tick is proportional to what changed.
    [[nodiscard]] auto evaluations() const noexcept -> std::uint64_t
    {
        return evaluations_;
    }

    /// Proxies and their leases, for dumps.
    [[nodiscard]] auto leases() const noexcept -> const lease_table&
    {
        return leases_;
    }

private:
    [[nodiscard]] auto lease_length() const -> duration;
    auto add_to_plan(time_point now, const proxy_record& proxy) -> void;
    auto on_changes(time_point now) -> void;
    auto on_proxy_changed(time_point now, const proxy_record& proxy) -> void;
    auto on_released(time_point now, const release_target_command& command)
        -> void;
    auto on_expired(time_point now, const proxy_identity& proxy) -> void;
    auto settle_proxies_without_targets() -> void;
    [[nodiscard]] auto holds_target(const proxy_identity& proxy) const -> bool;
    auto sync_target(const target_id& target) -> void;
    auto schedule(const target_id& target, time_point due) -> void;
    auto schedule_unplaced(time_point now) -> void;
    auto evaluate(time_point now, const target_id& target)
        -> std::optional<control_command>;
    auto evaluate_unowned(time_point now, const target_record& record)
        -> std::optional<control_command>;
    auto evaluate_expired(time_point now, const target_record& record)
        -> std::optional<control_command>;
    auto evaluate_owned(time_point now, const target_record& record)
        -> std::optional<control_command>;
    auto place(time_point now, const target_id& target)
        -> std::optional<proxy_identity>;
    [[nodiscard]] auto needs_owner(const target_record& record) const -> bool;
    [[nodiscard]] auto
    is_usable(const std::optional<proxy_identity>& proxy) const -> bool;
    auto schedule_moves(time_point now) -> void;
    auto evaluate_due(time_point now, std::vector<control_command>& out)
        -> void;
    auto remove_absent_proxies(time_point now,
                               std::vector<control_command>& out) -> void;

    const control_state* state_;
    coordinator_options options_;
    lease_table leases_;
    ownership plan_;
    target_liveness liveness_;
    /// Index of the state up to which changes were processed.
    log_index last_seen_index_;
    /// Targets to evaluate, ordered by time.
    std::set<std::pair<time_point, target_id>> due_;
    std::map<target_id, time_point> due_at_;
    /// Targets for which no proxy was usable; evaluated again when one joins.
    std::set<target_id> unplaced_;
    /// Proxies with an expired lease that may still own targets.
    std::set<proxy_identity> blocked_;
    /// Proxies without a lease, ordered by the time of their removal.
    std::set<std::pair<time_point, proxy_identity>> absent_;
    /// Targets without an owner are placed from this time on, so that proxies
    /// can renew their leases before.
    time_point placement_allowed_at_;
    time_point next_rebalance_at_;
    std::uint64_t evaluations_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
