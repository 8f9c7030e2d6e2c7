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

/// Outcome of an announcement.
enum class announcement_outcome : std::uint8_t
{
    accepted,
    /// No group of the bundle in force has this database name.
    unknown_database,
    /// A name, address or number is missing or out of range.
    invalid,
    /// More than `max_targets` targets are announced to this proxy.
    too_many,
};

/// Name of an outcome for responses and logs.
[[nodiscard]] auto to_string(announcement_outcome outcome) noexcept
    -> std::string_view;

/// Announcements that this proxy has received, and its reports on them.
///
/// The load balancer may send each announcement of a target to a different
/// proxy, so a single proxy cannot determine that a target is gone. It reports
/// what it received, and the control leader uses the newest of all reports.
class target_announcements
{
public:
    static constexpr duration report_interval = std::chrono::seconds(1);
    /// Limits the memory that invalid announcements can use.
    static constexpr std::size_t max_targets = 10'000;

    explicit target_announcements(proxy_identity self);

    /// Processes an announcement received at `now`.
    auto on_announcement(time_point now,
                         const target_announcement& announcement,
                         const directory& copy) -> announcement_outcome;

    /// Returns the report that is due at `now`, if any. There is at most one
    /// per interval, but a target that starts to leave is reported at once.
    ///
    /// Because a report may get lost, what the directory does not show yet is
    /// reported again until the announcement's time to live has passed.
    auto take_report(time_point now, const directory& copy)
        -> std::optional<announcement_report>;

    /// Time of the next call of `take_report`.
    [[nodiscard]] auto next_report() const -> std::optional<time_point>;

    /// Number of targets announced within the time to live.
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
    /// Targets ordered by the time of their newest announcement.
    std::set<std::pair<time_point, target_id>> received_times_;
    /// Targets announced since the last report.
    std::set<target_id> unreported_;
    /// Reported targets whose change the directory does not show yet.
    std::set<target_id> unconfirmed_;
    bool is_report_urgent_ = false;
    std::optional<time_point> last_report_;
};

} // namespace rhubarbrun::inline v1

#endif
