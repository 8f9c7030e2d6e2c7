#ifndef RHUBARBRUN_COORDINATION_ANNOUNCEMENT_REPORT_HPP
#define RHUBARBRUN_COORDINATION_ANNOUNCEMENT_REPORT_HPP

#include <rhubarbrun/state/directory_records.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// The body of `POST /v1/targets`: a target's description of itself.
struct target_announcement
{
    target_id id;
    /// Database name, which the bundle maps to a group.
    std::string database;
    std::string address;
    std::uint16_t port = 0;
    zone_id zone;
    std::uint32_t slots = 0;
    std::uint32_t connection_limit = 0;
    bool is_leaving = false;
};

/// A target whose announcements a proxy received.
struct reported_target
{
    target_id id;
    /// Age of the newest announcement when the report was made.
    std::uint32_t age_ms = 0;
    bool is_leaving = false;
    /// Set only if it differs from the reporter's directory.
    std::optional<target_description> description;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, age_ms, is_leaving, description);
    }
};

/// Sent by a proxy to the control leader: the targets that were announced to
/// the proxy since its last report.
struct announcement_report
{
    proxy_identity reporter;
    std::vector<reported_target> targets;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(reporter, targets);
    }
};

} // namespace rhubarbrun::inline v1

#endif
