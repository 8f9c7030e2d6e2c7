#include <rhubarbrun/coordination/primary_supervisor.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Announcements are sent every 1.2 s; one may be late or go to a failed
/// process.
constexpr auto announcement_timeout = milliseconds(2600);
/// A proxy's failing attempts are ignored until they have lasted this long, so
/// that a single reset connection does not replace a primary.
constexpr auto min_failing_time = milliseconds(250);
/// A primary that replied to a proxy within this time counts as alive.
constexpr auto max_answer_age = milliseconds(1200);
/// Reports of proxies expire after this long.
constexpr auto sighting_ttl = std::chrono::seconds(3);
constexpr auto survey_timeout = milliseconds(600);
/// Pause before a primary that proved to be alive is checked again.
constexpr auto false_alarm_backoff = milliseconds(700);
/// Time for a replica to receive the end of the log of a primary that stepped
/// down. The former primary shuts down some seconds later.
constexpr auto catch_up_timeout = milliseconds(2500);
constexpr auto catch_up_interval = milliseconds(40);
/// Time for a reply to the order, and for the server to announce that it is the
/// primary.
constexpr auto promotion_timeout = milliseconds(1500);
constexpr auto settling_timeout = milliseconds(2500);
/// A new control leader first collects announcements for this long.
constexpr auto listening_time = milliseconds(1500);
/// A group in which no server claims to be primary gets one after this long.
constexpr auto no_primary_timeout = std::chrono::seconds(4);

} // namespace

primary_supervisor::primary_supervisor(primary_supervisor_hooks hooks)
    : hooks_(std::move(hooks))
{
}

auto primary_supervisor::start_leading(time_point now) -> void
{
    is_leading_ = true;
    leading_since_ = now;
    for (auto& [id, group] : groups_) {
        resume_watching(now, group, duration::zero());
    }
}

auto primary_supervisor::stop_leading() -> void
{
    is_leading_ = false;
}

auto primary_supervisor::supervise(const group_id& group, std::uint32_t count)
    -> void
{
    groups_[group].synchronous_replicas = count;
}

auto primary_supervisor::on_sightings(
    time_point now, const std::string& observer,
    const std::vector<server_sighting>& sightings) -> void
{
    for (const auto& each : sightings) {
        auto& known = sightings_[each.server][observer];
        known.reported_at = now;
        known.answered_at.reset();
        known.failing_since.reset();
        if (each.answered_ago) {
            known.answered_at = now - *each.answered_ago;
        }
        if (each.failing_for) {
            known.failing_since = now - *each.failing_for;
        }
    }
}

auto primary_supervisor::has_recent_answer(time_point now,
                                           const target_id& server) const
    -> bool
{
    const auto found = sightings_.find(server);
    return found != sightings_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& each) {
                           const auto& seen = each.second;
                           return seen.answered_at &&
                                  now - *seen.answered_at < max_answer_age;
                       });
}

auto primary_supervisor::failure_reason(
    time_point now, const server_directory::entry& primary) const -> std::string
{
    if (now - primary.heard_at > announcement_timeout &&
        now - leading_since_ > announcement_timeout)
    {
        return "no announcement received in time";
    }
    const auto found = sightings_.find(primary.record.id);
    if (found == sightings_.end()) {
        return {};
    }
    const auto is_failing = std::any_of(
        found->second.begin(), found->second.end(), [&](const auto& each) {
            const auto& seen = each.second;
            return now - seen.reported_at < sighting_ttl &&
                   seen.failing_since &&
                   now - *seen.failing_since > min_failing_time;
        });
    return is_failing ? "proxies cannot reach the primary" : std::string();
}

auto primary_supervisor::tick(time_point now, const server_directory& directory)
    -> void
{
    if (!is_leading_ || now - leading_since_ < listening_time) {
        return;
    }
    for (auto& [id, group] : groups_) {
        if (now < group.not_before) {
            continue;
        }
        switch (group.stage) {
        case phase::watching:
            watch(now, id, group, directory);
            break;
        case phase::surveying:
            if (group.asked.empty() || now - group.since > survey_timeout) {
                finish_survey(now, id, group, directory);
            }
            break;
        case phase::catching_up:
            hand_over(now, id, group, directory);
            break;
        case phase::promoting:
            if (now - group.since > promotion_timeout) {
                resume_watching(now, group, duration::zero());
            }
            break;
        case phase::settling: {
            const auto* const claimed = directory.claimed_primary(id);
            if ((claimed != nullptr && claimed->record.id == group.candidate) ||
                now - group.since > settling_timeout)
            {
                resume_watching(now, group, duration::zero());
            }
            break;
        }
        }
    }
}

auto primary_supervisor::watch(time_point now, const group_id& id,
                               supervised_group& group,
                               const server_directory& directory) -> void
{
    const auto* const primary = directory.claimed_primary(id);
    if (primary == nullptr) {
        if (now - leading_since_ < no_primary_timeout) {
            return;
        }
        group.primary = target_id();
        group.is_planned = false;
        group.reason = "no server claims to be primary";
        survey(now, id, group, directory);
        return;
    }
    group.primary = primary->record.id;
    group.is_planned = primary->record.state == server_availability::draining;
    group.reason = group.is_planned ? "the primary shuts down"
                                    : failure_reason(now, *primary);
    if (group.reason.empty()) {
        return;
    }
    if (!group.is_planned && has_recent_answer(now, group.primary)) {
        return;
    }
    survey(now, id, group, directory);
}

auto primary_supervisor::survey(time_point now, const group_id& id,
                                supervised_group& group,
                                const server_directory& directory) -> void
{
    group.stage = phase::surveying;
    group.since = now;
    group.asked.clear();
    group.statuses.clear();
    auto asked = std::vector<server_record>();
    for (const auto* const known : directory.servers_of(id)) {
        if (known->record.state != server_availability::gone) {
            group.asked.insert(known->record.id);
            asked.push_back(known->record);
        }
    }
    hooks_.log("primary_surveyed", id, group.primary, group.reason);
    for (const auto& record : asked) {
        hooks_.ask_status(record);
    }
}

auto primary_supervisor::on_status(
    time_point now, const target_id& server,
    const std::optional<server_log_status>& status) -> void
{
    for (auto& [id, group] : groups_) {
        if (group.asked.erase(server) > 0 && status) {
            group.statuses[server] = *status;
            if (server == group.primary &&
                status->role == server_role::primary && !group.is_planned &&
                group.stage == phase::surveying)
            {
                hooks_.log("primary_alive", id, server, group.reason);
                resume_watching(now, group, false_alarm_backoff);
            }
        }
    }
}

auto primary_supervisor::newest_term(const supervised_group& group) -> term
{
    auto newest = term(0);
    for (const auto& [id, status] : group.statuses) {
        newest = std::max({newest, status.newest, status.received.group_term});
    }
    return newest;
}

auto primary_supervisor::is_ready(const server_directory& directory,
                                  const target_id& server) -> bool
{
    const auto* const known = directory.find(server);
    return known != nullptr &&
           known->record.state == server_availability::ready;
}

auto primary_supervisor::best_replica(const supervised_group& group,
                                      const server_directory& directory) const
    -> std::optional<target_id>
{
    auto best = std::optional<target_id>();
    const auto is_better = [&](const target_id& id,
                               const server_log_status& status) {
        const auto& other = group.statuses.at(*best).received;
        const auto is_id_ready = is_ready(directory, id);
        const auto is_best_ready = is_ready(directory, *best);
        if (group.synchronous_replicas > 0 && status.received != other) {
            return status.received > other;
        }
        return is_id_ready != is_best_ready ? is_id_ready
                                            : status.received > other;
    };
    for (const auto& [id, status] : group.statuses) {
        const auto* const known = directory.find(id);
        if (id == group.primary || known == nullptr ||
            known->record.state == server_availability::gone)
        {
            continue;
        }
        if (!best || is_better(id, status)) {
            best = id;
        }
    }
    return best;
}

auto primary_supervisor::finish_survey(time_point now, const group_id& id,
                                       supervised_group& group,
                                       const server_directory& directory)
    -> void
{
    for (const auto& [name, status] : group.statuses) {
        if (status.role == server_role::primary && name != group.primary) {
            // Its announcement has not arrived yet.
            resume_watching(now, group, false_alarm_backoff);
            return;
        }
    }
    auto silent = group.asked;
    silent.erase(group.primary);
    if (group.synchronous_replicas > 0 && !silent.empty()) {
        // A replica that did not reply may be the only one that holds a commit.
        hooks_.log("promotion_postponed", id, *silent.begin(),
                   "a replica did not report its position");
        resume_watching(now, group, milliseconds(200));
        return;
    }
    const auto best = best_replica(group, directory);
    if (!best) {
        hooks_.log("promotion_postponed", id, group.primary,
                   "no replica reported its position");
        resume_watching(now, group, milliseconds(300));
        return;
    }
    const auto* const primary = directory.find(group.primary);
    if (group.is_planned && primary != nullptr &&
        group.statuses.contains(group.primary))
    {
        group.stage = phase::catching_up;
        group.since = now;
        group.asked.insert(group.primary);
        hooks_.log("primary_steps_down", id, group.primary, group.reason);
        hooks_.step_down(primary->record, newest_term(group).next());
        return;
    }
    promote(now, id, group, *best);
}

auto primary_supervisor::hand_over(time_point now, const group_id& id,
                                   supervised_group& group,
                                   const server_directory& directory) -> void
{
    const auto best = best_replica(group, directory);
    const auto former = group.statuses.find(group.primary);
    const auto has_stepped_down = former != group.statuses.end() &&
                                  former->second.role == server_role::replica;
    if (best && has_stepped_down &&
        group.statuses.at(*best).received >= former->second.received)
    {
        promote(now, id, group, *best);
        return;
    }
    if (now - group.since > catch_up_timeout) {
        if (best) {
            promote(now, id, group, *best);
        } else {
            resume_watching(now, group, duration::zero());
        }
        return;
    }
    group.not_before = now + catch_up_interval;
    if (!has_stepped_down) {
        return;
    }
    for (const auto* const known : directory.servers_of(id)) {
        const auto& record = known->record;
        if (record.state == server_availability::ready &&
            record.id != group.primary && group.asked.insert(record.id).second)
        {
            hooks_.ask_status(record);
        }
    }
}

auto primary_supervisor::promote(time_point now, const group_id& id,
                                 supervised_group& group,
                                 const target_id& candidate) -> void
{
    group.stage = phase::promoting;
    group.since = now;
    group.candidate = candidate;
    hooks_.log("promotion_ordered", id, candidate, group.reason);
    hooks_.promote(id, candidate);
}

auto primary_supervisor::on_promotion(time_point now, const group_id& group,
                                      promotion_outcome outcome) -> void
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || found->second.stage != phase::promoting) {
        return;
    }
    if (outcome == promotion_outcome::accepted) {
        found->second.stage = phase::settling;
        found->second.since = now;
        return;
    }
    hooks_.log("promotion_failed", group, found->second.candidate,
               outcome == promotion_outcome::refused ? "refused" : "no answer");
    resume_watching(now, found->second, milliseconds(200));
}

auto primary_supervisor::resume_watching(time_point now,
                                         supervised_group& group,
                                         duration pause) -> void
{
    group.stage = phase::watching;
    group.not_before = now + pause;
    group.asked.clear();
}

} // namespace rhubarbrun::inline v1
