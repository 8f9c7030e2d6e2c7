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

/// What a server answered when asked for its state.
struct server_log_status
{
    server_role role = server_role::replica;
    /// Newest term that the server knows of.
    term newest;
    /// End of the log that it received.
    log_position received;
};

/// How an order to promote a server ended.
enum class promotion_outcome : std::uint8_t
{
    accepted,
    /// The server is not running, or a later holder has given orders.
    refused,
    /// No answer; the order may still be carried out.
    unknown,
};

/// What a proxy, or several together, see of one server.
struct server_sighting
{
    target_id server;
    /// Since its last answer to a proxy whose attempts do not fail; no value if
    /// there is none.
    std::optional<duration> answered_ago;
    /// Since when attempts fail; no value if they do not.
    std::optional<duration> failing_for;
};

/// What a `primary_supervisor` needs from its surroundings.
struct primary_supervisor_hooks
{
    /// Asks a server for its state; `on_status` follows.
    std::function<void(const server_record&)> ask_status;
    /// Makes the primary of a term below `below` a replica; `on_status`
    /// follows.
    std::function<void(const server_record&, term below)> step_down;
    /// Orders a promotion; `on_promotion` follows.
    std::function<void(const group_id&, const target_id&)> promote;
    /// Writes a log line about a group.
    std::function<void(std::string_view event, const group_id&,
                       const target_id&, const std::string& reason)>
        log;
};

/// Decides when a group gets another primary, and which.
///
/// It runs at the control leader. A primary is replaced if it is silent
/// towards this process and no proxy gets answers from it, or if it leaves. The
/// successor is the replica that received most. A leaving primary first stops
/// taking commits, so that its successor can hold all of them.
class primary_supervisor
{
public:
    explicit primary_supervisor(primary_supervisor_hooks hooks);

    /// Begins with nothing known about earlier orders.
    auto start_leading(time_point now) -> void;
    auto stop_leading() -> void;

    /// What a proxy, or a control member's proxies together, saw at `now`.
    auto on_sightings(time_point now, const std::string& observer,
                      const std::vector<server_sighting>& sightings) -> void;
    /// A server's answer, or no value if it did not answer in time.
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
        /// Asking all servers for their state.
        surveying,
        /// Waiting until a replica holds all of a primary that stepped down.
        catching_up,
        promoting,
        /// Promoted; the server has not said so yet.
        settling,
    };
    struct sighting
    {
        std::optional<time_point> answered_at;
        std::optional<time_point> failing_since;
        time_point told_at;
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
