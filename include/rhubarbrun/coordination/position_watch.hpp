#ifndef RHUBARBRUN_COORDINATION_POSITION_WATCH_HPP
#define RHUBARBRUN_COORDINATION_POSITION_WATCH_HPP

#include <rhubarbrun/coordination/server_directory.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Asks the primaries for their log positions on behalf of many proxies, which
/// would otherwise each need a connection to every primary for it.
///
/// It does no I/O.
class position_watch
{
public:
    /// Every commit of the group that was acknowledged before `asked_at` is
    /// covered by `position`.
    struct observation
    {
        group_id group;
        time_point asked_at;
        log_position position;
    };

    /// Asks a server for the end of its log, in a way that only a primary can
    /// answer; `on_position` follows with the same time.
    using query_function =
        std::function<void(const server_record&, time_point asked_at)>;

    explicit position_watch(query_function ask);

    /// Asks for the position of a group from now on.
    auto watch(const group_id& group) -> void;

    /// Asks the primaries whose positions are due.
    auto tick(time_point now, const server_directory& directory) -> void;

    /// An answer, or no value if the server is not the primary or is silent.
    auto on_position(const group_id& group, time_point asked_at,
                     const std::optional<log_position>& position) -> void;

    /// The newest observation of each group that is recent enough for use.
    [[nodiscard]] auto observations(time_point now) const
        -> std::vector<observation>;

private:
    struct watched_group
    {
        time_point asked_at;
        /// A question is open since `asked_at`.
        bool is_asking = false;
        std::optional<observation> newest;
    };

    query_function ask_;
    std::map<group_id, watched_group> groups_;
};

} // namespace rhubarbrun::inline v1

#endif
