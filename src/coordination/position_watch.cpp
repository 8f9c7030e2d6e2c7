#include <rhubarbrun/coordination/position_watch.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Proxies query control every 500 ms. With both intervals and the round trips,
/// a position is about a second old when it is replaced, less than the shortest
/// staleness limit in use.
constexpr auto query_interval = milliseconds(350);
/// A query without a reply is repeated after this long.
constexpr auto query_timeout = milliseconds(800);
/// Older observations are not passed on, as they are of no use to proxies.
constexpr auto observation_ttl = std::chrono::seconds(5);
/// Proxies repeat every 500 ms which groups they read; a few of these may be
/// late.
constexpr auto want_ttl = std::chrono::seconds(3);

} // namespace

position_watch::position_watch(query_function ask) : ask_(std::move(ask)) {}

auto position_watch::watch(const group_id& group) -> void
{
    groups_.try_emplace(group);
}

auto position_watch::want(time_point now, const group_id& group) -> void
{
    const auto found = groups_.find(group);
    if (found != groups_.end()) {
        found->second.wanted_until = now + want_ttl;
    }
}

auto position_watch::want_all(time_point now) -> void
{
    for (auto& [id, group] : groups_) {
        group.wanted_until = now + want_ttl;
    }
}

auto position_watch::query_now(time_point now, const group_id& group,
                               const server_directory& directory) -> bool
{
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return false;
    }
    want(now, group);
    auto& watched = found->second;
    if (watched.is_asking && now - watched.asked_at < query_timeout) {
        return true;
    }
    return query(now, group, watched, directory);
}

auto position_watch::tick(time_point now, const server_directory& directory)
    -> void
{
    for (auto& [id, group] : groups_) {
        const auto pause = group.is_asking ? query_timeout : query_interval;
        if (now <= group.wanted_until && now - group.asked_at >= pause) {
            query(now, id, group, directory);
        }
    }
}

auto position_watch::query(time_point now, const group_id& id,
                           watched_group& group,
                           const server_directory& directory) -> bool
{
    const auto* const primary = directory.claimed_primary(id);
    // A primary that shuts down gets no new work.
    if (primary == nullptr ||
        primary->record.state != server_availability::ready) {
        return false;
    }
    group.asked_at = now;
    group.is_asking = true;
    ask_(primary->record, now);
    return true;
}

auto position_watch::on_position(const group_id& group, time_point asked_at,
                                 const std::optional<log_position>& position)
    -> void
{
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return;
    }
    auto& watched = found->second;
    if (asked_at == watched.asked_at) {
        watched.is_asking = false;
    }
    if (!position) {
        return;
    }
    const auto is_outdated =
        watched.newest &&
        (position->group_term < watched.newest->position.group_term ||
         asked_at <= watched.newest->asked_at);
    if (!is_outdated) {
        watched.newest = observation{group, asked_at, *position};
    }
}

auto position_watch::find(time_point now, const group_id& group) const
    -> const observation*
{
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.newest &&
                   now - found->second.newest->asked_at < observation_ttl
               ? &*found->second.newest
               : nullptr;
}

auto position_watch::observations(time_point now) const
    -> std::vector<observation>
{
    auto result = std::vector<observation>();
    for (const auto& [id, group] : groups_) {
        if (group.newest && now - group.newest->asked_at < observation_ttl) {
            result.push_back(*group.newest);
        }
    }
    return result;
}

} // namespace rhubarbrun::inline v1
