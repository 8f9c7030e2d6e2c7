#ifndef RHUBARBRUN_COORDINATION_PRIMARY_SUPERVISOR_HPP
#define RHUBARBRUN_COORDINATION_PRIMARY_SUPERVISOR_HPP

#include <rhubarbrun/coordination/server_directory.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// State that a server reports on request.
struct server_log_status
{
    server_role role = server_role::replica;
    /// Newest term known to the server.
    term newest;
    /// End of the log that it received.
    log_position received;
};

/// Outcome of an order to promote a server.
enum class promotion_outcome : std::uint8_t
{
    accepted,
    /// The server is not running, or a later holder has given orders.
    refused,
    /// No reply arrived; the order may still be carried out.
    unknown,
};

/// Reachability of one server as seen by one proxy or by several together.
struct server_sighting
{
    target_id server;
    /// Time since the server's last reply to a proxy whose attempts do not
    /// fail; no value if there is none.
    std::optional<duration> answered_ago;
    /// Time for which attempts have been failing; no value if they do not fail.
    std::optional<duration> failing_for;
};

/// Operations that a `primary_supervisor` requires of its environment.
struct primary_supervisor_hooks
{
    /// Requests a server's state; the result is passed to `on_status`.
    std::function<void(const server_record&)> ask_status;
    /// Demotes the primary of a term below `below` to a replica; the result is
    /// passed to `on_status`.
    std::function<void(const server_record&, term below)> step_down;
    /// Orders a promotion; the result is passed to `on_promotion`.
    std::function<void(const group_id&, const target_id&)> promote;
    /// Writes a log line about a group.
    std::function<void(std::string_view event, const group_id&,
                       const target_id&, const std::string& reason)>
        log;
};

/// Decides when a group's primary is replaced, and by which replica.
///
/// It runs at the control leader. A primary is replaced if this process
/// receives nothing from it and no proxy gets replies from it, or if it shuts
/// down. The successor is the replica that received most of the log. A primary
/// that shuts down first stops accepting commits, so that its successor can
/// hold all of them.
class primary_supervisor
{
public:
    explicit primary_supervisor(primary_supervisor_hooks hooks);

    /// Starts without knowledge of earlier orders.
    auto start_leading(time_point now) -> void;
    auto stop_leading() -> void;

    /// Records what a proxy, or a control member's proxies together, observed
    /// at `now`.
    auto on_sightings(time_point now, const std::string& observer,
                      const std::vector<server_sighting>& sightings) -> void;
    /// Handles a server's status; no value if it did not reply in time.
    auto on_status(time_point now, const target_id& server,
                   const std::optional<server_log_status>& status) -> void;
    auto on_promotion(time_point now, const group_id& group,
                      promotion_outcome outcome) -> void;

    /// Supervises a group of the configuration; `count` replicas must hold a
    /// commit before it is acknowledged. Announcements of other groups are
    /// ignored.
    auto supervise(const group_id& group, std::uint32_t count) -> void;

    auto tick(time_point now, const server_directory& directory) -> void;

private:
    enum class phase : std::uint8_t
    {
        watching,
        /// Collecting the state of all servers.
        surveying,
        /// Waiting until a replica holds the whole log of a primary that
        /// stepped down.
        catching_up,
        promoting,
        /// The server accepted the promotion but has not announced it yet.
        settling,
    };
    struct sighting
    {
        std::optional<time_point> answered_at;
        std::optional<time_point> failing_since;
        time_point reported_at;
    };
    struct supervised_group
    {
        phase stage = phase::watching;
        time_point since;
        time_point not_before;
        std::set<target_id> asked;
        std::map<target_id, server_log_status> statuses;
        target_id primary;
        target_id candidate;
        bool is_planned = false;
        std::uint32_t synchronous_replicas = 0;
        std::string reason;
    };

    auto watch(time_point now, const group_id& id, supervised_group& group,
               const server_directory& directory) -> void;
    auto survey(time_point now, const group_id& id, supervised_group& group,
                const server_directory& directory) -> void;
    auto finish_survey(time_point now, const group_id& id,
                       supervised_group& group,
                       const server_directory& directory) -> void;
    auto hand_over(time_point now, const group_id& id, supervised_group& group,
                   const server_directory& directory) -> void;
    auto promote(time_point now, const group_id& id, supervised_group& group,
                 const target_id& candidate) -> void;
    auto resume_watching(time_point now, supervised_group& group,
                         duration pause) -> void;
    [[nodiscard]] auto
    failure_reason(time_point now, const server_directory::entry& primary) const
        -> std::string;
    [[nodiscard]] auto has_recent_answer(time_point now,
                                         const target_id& server) const -> bool;
    [[nodiscard]] static auto is_ready(const server_directory& directory,
                                       const target_id& server) -> bool;
    /// The server to promote. With synchronous replicas the position decides,
    /// then readiness; else readiness decides first.
    [[nodiscard]] auto best_replica(const supervised_group& group,
                                    const server_directory& directory) const
        -> std::optional<target_id>;
    [[nodiscard]] static auto newest_term(const supervised_group& group)
        -> term;

    primary_supervisor_hooks hooks_;
    bool is_leading_ = false;
    time_point leading_since_;
    std::map<group_id, supervised_group> groups_;
    /// By server, then by observer.
    std::map<target_id, std::map<std::string, sighting>> sightings_;
};

} // namespace rhubarbrun::inline v1

#endif
