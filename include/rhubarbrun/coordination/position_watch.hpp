#ifndef RHUBARBRUN_COORDINATION_POSITION_WATCH_HPP
#define RHUBARBRUN_COORDINATION_POSITION_WATCH_HPP

#include <rhubarbrun/coordination/server_directory.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Queries the primaries' log positions on behalf of many proxies, each of
/// which would otherwise need a connection to every primary.
///
/// It does no I/O.
class position_watch
{
public:
    /// States that `position` covers every commit of the group that was
    /// acknowledged before `asked_at`.
    struct observation
    {
        group_id group;
        time_point asked_at;
        log_position position;
    };

    /// Queries the end of a server's log with a request that only a primary can
    /// answer. The result is passed to `on_position` with the same time.
    using query_function =
        std::function<void(const server_record&, time_point asked_at)>;

    explicit position_watch(query_function ask);

    /// Makes a group known; it is queried while it is wanted.
    auto watch(const group_id& group) -> void;

    /// Keeps the position of a group known for a few seconds.
    auto want(time_point now, const group_id& group) -> void;

    /// The same for all groups, for a proxy that cannot say what it needs.
    auto want_all(time_point now) -> void;

    /// Wants the position of a group that is not recent enough now, as somebody
    /// waits for it. Returns whether a query was sent or is in flight.
    auto query_now(time_point now, const group_id& group,
                   const server_directory& directory) -> bool;

    /// Queries the primaries whose positions are due.
    auto tick(time_point now, const server_directory& directory) -> void;

    /// Handles a reply; no value if the server is not the primary or did not
    /// reply.
    auto on_position(const group_id& group, time_point asked_at,
                     const std::optional<log_position>& position) -> void;

    /// The newest observation of a group, or null unless it is recent enough
    /// for use.
    [[nodiscard]] auto find(time_point now, const group_id& group) const
        -> const observation*;

    /// The newest observation of each group that is recent enough for use.
    [[nodiscard]] auto observations(time_point now) const
        -> std::vector<observation>;

private:
    struct watched_group
    {
        time_point wanted_until;
        time_point asked_at;
        /// A query sent at `asked_at` has no reply yet.
        bool is_asking = false;
        std::optional<observation> newest;
    };

    auto query(time_point now, const group_id& id, watched_group& group,
               const server_directory& directory) -> bool;

    query_function ask_;
    std::map<group_id, watched_group> groups_;
};

} // namespace rhubarbrun::inline v1

#endif
