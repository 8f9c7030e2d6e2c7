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

/// What a target says about itself in `POST /v1/targets`.
struct target_announcement
{
    target_id id;
    /// Database name; the bundle maps it to a group.
    std::string database;
    std::string address;
    std::uint16_t port = 0;
    zone_id zone;
    std::uint32_t slots = 0;
    std::uint32_t connection_limit = 0;
    bool is_leaving = false;
};

/// A target in a report.
struct reported_target
{
    target_id id;
    /// Time since the newest announcement when the report was made.
    std::uint32_t age_ms = 0;
    bool is_leaving = false;
    /// Only if it differs from what the reporter's directory holds.
    std::optional<target_description> description;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, age_ms, is_leaving, description);
    }
};

/// Proxy to control leader: the targets heard since the last report.
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
