#ifndef RHUBARBRUN_COORDINATION_TARGET_ANNOUNCEMENTS_HPP
#define RHUBARBRUN_COORDINATION_TARGET_ANNOUNCEMENTS_HPP

#include <rhubarbrun/coordination/announcement_report.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rhubarbrun::inline v1 {

/// What became of an announcement.
enum class announcement_outcome : std::uint8_t
{
    accepted,
    /// No group of the bundle in force has this database name.
    unknown_database,
    /// A name, address or number is missing or out of range.
    invalid,
    /// Too many targets are announced to this proxy.
    too_many,
};

/// Name of an outcome for responses and logs.
[[nodiscard]] auto to_string(announcement_outcome outcome) noexcept
    -> std::string_view;

/// Announcements that this proxy has heard, and its reports on them.
///
/// The load balancer may send each announcement of a target to another proxy,
/// so this proxy never concludes that a target is gone: it reports what it
/// heard, and the control leader takes the newest of all reports.
class target_announcements
{
public:
    static constexpr duration report_interval = std::chrono::seconds(1);
    /// Bounds the memory that false announcements can take.
    static constexpr std::size_t max_targets = 10'000;

    explicit target_announcements(proxy_identity self);

    /// Takes an announcement received at `now`.
    auto on_announcement(time_point now,
                         const target_announcement& announcement,
                         const directory& copy) -> announcement_outcome;

    /// The report that is due at `now`, if any: at most one per interval,
    /// except that a target that starts to leave is reported at once.
    ///
    /// A report may get lost; what the directory does not show yet is
    /// reported again as long as it is fresh.
    auto take_report(time_point now, const directory& copy)
        -> std::optional<announcement_report>;

    /// When `take_report` should be called next.
    [[nodiscard]] auto next_report() const -> std::optional<time_point>;

    /// Number of targets heard within the time to live.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return targets_.size();
    }

private:
    struct received_announcement
    {
        target_description description;
        time_point received_at;
        bool is_leaving = false;
    };

    [[nodiscard]] auto report_entry(time_point now, const target_id& id,
                                    const received_announcement& target,
                                    const directory& copy) const
        -> reported_target;
    auto remove_expired(time_point now, duration ttl) -> void;

    proxy_identity self_;
    std::map<target_id, received_announcement> targets_;
    /// Targets by the time of their newest announcement.
    std::set<std::pair<time_point, target_id>> received_times_;
    /// Heard since the last report.
    std::set<target_id> unreported_;
    /// Reported, but not yet as reported in the directory.
    std::set<target_id> unconfirmed_;
    bool is_report_urgent_ = false;
    std::optional<time_point> last_report_;
};

} // namespace rhubarbrun::inline v1

#endif
