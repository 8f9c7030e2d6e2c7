#ifndef RHUBARBRUN_COORDINATION_SIGHTING_DIGEST_HPP
#define RHUBARBRUN_COORDINATION_SIGHTING_DIGEST_HPP

#include <rhubarbrun/coordination/primary_supervisor.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Merges what a control member's proxies see of the servers, so that the
/// leader is told once what all of them see instead of once for each.
class sighting_digest
{
public:
    /// Replaces what the proxy told before.
    auto add(time_point now, const std::string& proxy,
             const std::vector<server_sighting>& sightings) -> void;

    /// Proxies that lately got an answer from the server and reach it, at most
    /// `count`, those with the latest answers first.
    [[nodiscard]] auto reachable_through(time_point now,
                                         const target_id& server,
                                         std::size_t count) const
        -> std::vector<std::string>;

    /// Servers that proxies told of lately.
    [[nodiscard]] auto servers(time_point now) const -> std::set<target_id>;

    /// Whether the leader should be told now: soon after a failure was seen,
    /// otherwise at longer intervals.
    [[nodiscard]] auto is_due(time_point now) const -> bool;

    /// One sighting for each server that proxies told of lately: the latest
    /// answer and the longest failure.
    [[nodiscard]] auto take(time_point now) -> std::vector<server_sighting>;

private:
    struct report
    {
        time_point told_at;
        std::vector<server_sighting> sightings;
    };

    std::map<std::string, report> reports_;
    time_point taken_at_;
    bool is_changed_ = false;
    bool is_failure_told_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
