#include <rhubarbrun/coordination/sighting_digest.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// A proxy's report counts for three of its intervals of 500 ms.
constexpr auto report_ttl = milliseconds(1500);
/// Between two digests; with a failure in them, a small part of the time in
/// which a primary should be replaced.
constexpr auto normal_interval = milliseconds(400);
constexpr auto failure_interval = milliseconds(100);

auto merge(server_sighting& into, const server_sighting& from) -> void
{
    if (from.answered_ago) {
        into.answered_ago = std::min(
            into.answered_ago.value_or(*from.answered_ago), *from.answered_ago);
    }
    if (from.failing_for) {
        into.failing_for = std::max(
            into.failing_for.value_or(*from.failing_for), *from.failing_for);
    }
}

/// The proxies with the most recent replies.
auto nearest(std::vector<std::pair<duration, std::string>> found,
             std::size_t count) -> std::vector<std::string>
{
    std::sort(found.begin(), found.end());
    auto result = std::vector<std::string>();
    for (auto& each : found) {
        if (result.size() < count) {
            result.push_back(std::move(each.second));
        }
    }
    return result;
}

} // namespace

auto sighting_digest::add(time_point now, const std::string& proxy,
                          const std::vector<server_sighting>& sightings) -> void
{
    reports_[proxy] = {now, sightings};
    is_changed_ = true;
    is_failure_reported_ |=
        std::any_of(sightings.begin(), sightings.end(), [](const auto& each) {
            return each.failing_for.has_value();
        });
}

auto sighting_digest::reachable_through(time_point now, const target_id& server,
                                        std::size_t count) const
    -> std::vector<std::string>
{
    auto found = std::vector<std::pair<duration, std::string>>();
    for (const auto& [proxy, told] : reports_) {
        const auto age = now - told.reported_at;
        for (const auto& each : told.sightings) {
            if (each.server == server && each.answered_ago &&
                *each.answered_ago + age <= report_ttl)
            {
                found.emplace_back(*each.answered_ago + age, proxy);
            }
        }
    }
    return nearest(std::move(found), count);
}

auto sighting_digest::reachable_servers(time_point now, std::size_t count) const
    -> std::map<target_id, std::vector<std::string>>
{
    auto found =
        std::map<target_id, std::vector<std::pair<duration, std::string>>>();
    for (const auto& [proxy, told] : reports_) {
        const auto age = now - told.reported_at;
        for (const auto& each : told.sightings) {
            if (each.answered_ago && *each.answered_ago + age <= report_ttl) {
                found[each.server].emplace_back(*each.answered_ago + age,
                                                proxy);
            }
        }
    }
    auto result = std::map<target_id, std::vector<std::string>>();
    for (auto& [server, proxies] : found) {
        result[server] = nearest(std::move(proxies), count);
    }
    return result;
}

auto sighting_digest::is_due(time_point now) const -> bool
{
    const auto interval =
        is_failure_reported_ ? failure_interval : normal_interval;
    return is_changed_ && now - taken_at_ >= interval;
}

auto sighting_digest::take(time_point now) -> std::vector<server_sighting>
{
    taken_at_ = now;
    is_changed_ = false;
    is_failure_reported_ = false;
    std::erase_if(reports_, [&](const auto& each) {
        return now - each.second.reported_at > report_ttl;
    });
    auto merged = std::map<target_id, server_sighting>();
    for (const auto& [proxy, told] : reports_) {
        const auto age = now - told.reported_at;
        for (auto sighting : told.sightings) {
            if (sighting.answered_ago) {
                *sighting.answered_ago += age;
            }
            if (sighting.failing_for) {
                *sighting.failing_for += age;
            }
            auto& into = merged[sighting.server];
            into.server = sighting.server;
            merge(into, sighting);
        }
    }
    auto result = std::vector<server_sighting>();
    result.reserve(merged.size());
    for (const auto& [id, sighting] : merged) {
        result.push_back(sighting);
    }
    return result;
}

} // namespace rhubarbrun::inline v1
