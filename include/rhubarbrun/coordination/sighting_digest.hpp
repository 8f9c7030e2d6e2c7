#ifndef RHUBARBRUN_COORDINATION_SIGHTING_DIGEST_HPP
#define RHUBARBRUN_COORDINATION_SIGHTING_DIGEST_HPP

#include <rhubarbrun/coordination/primary_supervisor.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Merges the server reachability reports of a control member's proxies, so
/// that the leader gets one merged report instead of one per proxy.
class sighting_digest
{
public:
    /// Replaces the previous report of the proxy.
    auto add(time_point now, const std::string& proxy,
             const std::vector<server_sighting>& sightings) -> void;

    /// At most `count` proxies that can reach the server, ordered from the most
    /// recent reply.
    [[nodiscard]] auto reachable_through(time_point now,
                                         const target_id& server,
                                         std::size_t count) const
        -> std::vector<std::string>;

    /// The same for every server that any proxy reached recently. The cost
    /// grows with the number of sightings only.
    [[nodiscard]] auto reachable_servers(time_point now,
                                         std::size_t count) const
        -> std::map<target_id, std::vector<std::string>>;

    /// Whether a digest is due: shortly after a failure was reported, otherwise
    /// at longer intervals.
    [[nodiscard]] auto is_due(time_point now) const -> bool;

    /// Returns one entry for each server in recent reports, with the latest
    /// reply and the longest failure.
    [[nodiscard]] auto take(time_point now) -> std::vector<server_sighting>;

private:
    struct report
    {
        time_point reported_at;
        std::vector<server_sighting> sightings;
    };

    std::map<std::string, report> reports_;
    time_point taken_at_;
    bool is_changed_ = false;
    bool is_failure_reported_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
