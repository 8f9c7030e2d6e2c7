#ifndef RHUBARBRUN_COORDINATION_REPLICA_CHOICE_HPP
#define RHUBARBRUN_COORDINATION_REPLICA_CHOICE_HPP

#include <rhubarbrun/coordination/read_policy.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Last known state of a replica.
struct replica_report
{
    target_id target;
    zone_id zone;
    /// Network delay from this proxy, one way.
    duration distance{};
    std::uint32_t slots = 1;
    log_position replayed;
    /// Time at which the replica was asked for its position.
    time_point replayed_at;
    /// Queued and running statements at the replica.
    std::uint32_t load = 0;
};

/// Where to send a read.
enum class read_target : std::uint8_t
{
    replica,
    /// The replica is expected to be fit soon; its owner waits for up to `wait`
    /// and answers `not_run` if the replica is still not fit.
    replica_after_wait,
    primary,
};

/// Outcome of `replica_choice::choose`.
struct read_route
{
    read_target kind = read_target::primary;
    /// Set unless the read goes to the primary.
    std::optional<target_id> target;
    duration wait{};
};

/// A replica that may be chosen, with its current load.
struct replica_candidate
{
    target_id target;
    duration distance{};
    std::uint32_t slots = 1;
    /// Reported load and reads sent since the report.
    std::uint32_t load = 0;
    /// Reads sent by this proxy and not yet answered.
    std::uint32_t outstanding = 0;
};

/// Returns the index of one of the candidates, of which there is at least one.
using replica_selector = std::function<std::size_t(
    const std::vector<replica_candidate>&, const random_function&)>;

/// Settings of a `replica_choice`.
struct replica_choice_options
{
    /// A replica with a greater lag gets no reads.
    duration exclusion_lag = std::chrono::seconds(5);
    /// It is readmitted once its lag has stayed below this value...
    duration readmission_lag = std::chrono::seconds(1);
    /// ... for this time.
    duration readmission_delay = std::chrono::seconds(2);
    /// A replica without a report for this time gets no reads.
    duration report_ttl = std::chrono::seconds(3);
    /// Longest wait for a replica to reach a floor.
    duration max_floor_wait = std::chrono::milliseconds(50);
    /// Chooses among fit replicas; `select_replica` if empty.
    replica_selector selector;
    random_function random;
};

/// Default selector: selects, among the nearest replicas that are not
/// overloaded, the one with the fewest unanswered reads of this proxy; ties are
/// broken at random. Reported loads are used only to detect overload: proxies
/// that rank replicas by the same reports all choose the same replica, which
/// costs more than it saves.
[[nodiscard]] auto
select_replica(const std::vector<replica_candidate>& candidates,
               const random_function& random) -> std::size_t;

/// Entry side: chooses where the reads of one group go.
class replica_choice
{
public:
    explicit replica_choice(replica_choice_options options);

    /// The primary was at `position` when asked at `asked_at`.
    auto on_primary_position(time_point asked_at, log_position position)
        -> void;

    auto on_report(time_point now, replica_report report) -> void;

    /// The replica left or became the primary.
    auto on_removed(const target_id& target) -> void;

    /// Chooses for one read. Counts it as sent if a replica is chosen.
    [[nodiscard]] auto choose(time_point now,
                              const read_requirements& requirements)
        -> read_route;

    /// The answer to a read reported that the replica had replayed `position`
    /// at `asked_at` or later.
    auto on_replayed(time_point asked_at, const target_id& target,
                     log_position position) -> void;

    /// A read sent to `target` was answered; `load` is the load in the answer.
    auto on_answered(const target_id& target, std::uint32_t load) -> void;

    /// A read sent to `target` ended without an answer.
    auto on_failed(const target_id& target) -> void;

    /// Position that the owner of the replica checks before it runs the read:
    /// one that satisfies the floor and the maximum age. No value if no sample
    /// of the primary is recent enough to determine it.
    [[nodiscard]] auto
    required_position(time_point now,
                      const read_requirements& requirements) const
        -> std::optional<log_position>;

    /// Whether `target` is excluded because of its lag.
    [[nodiscard]] auto is_excluded(const target_id& target) const -> bool;

private:
    struct replica
    {
        replica_report report;
        /// Reads sent by this proxy and not yet answered.
        std::uint32_t outstanding = 0;
        /// Reads sent since `report.load` was measured.
        std::uint32_t sent_since = 0;
        bool is_excluded = false;
        std::optional<time_point> below_readmission_lag_since;
    };

    auto update_exclusion(time_point now, replica& entry) -> void;
    [[nodiscard]] auto is_usable(time_point now, const replica& entry) const
        -> bool;
    [[nodiscard]] auto wait_for_floor(time_point now,
                                      const read_requirements& requirements)
        -> read_route;
    auto record_sent(const target_id& target) -> void;
    [[nodiscard]] auto expected_wait(time_point now,
                                     const read_requirements& requirements,
                                     const replica& entry) const
        -> std::optional<duration>;

    replica_choice_options options_;
    primary_history history_;
    std::map<target_id, replica> replicas_;
};

} // namespace rhubarbrun::inline v1

#endif
