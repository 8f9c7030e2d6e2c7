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
/// Pause between the surveys before a planned change, in which a replica that
/// receives has to reach the primary's position.
constexpr auto keep_up_interval = milliseconds(60);
/// Without synchronous replicas a primary steps down after this long even if no
/// replica keeps up, as it shuts down some seconds later.
constexpr auto keep_up_timeout = std::chrono::seconds(3);
/// Longest time from the acceptance of an order to promote to its effect.
constexpr auto confirmation_delay = std::chrono::seconds(1);
/// Time for a reply to an order to promote, and for the server to announce that
/// it is the primary.
constexpr auto promotion_timeout = milliseconds(1500);
constexpr auto settling_timeout = milliseconds(2500);
/// Pause before a record that was not committed is asked for again.
constexpr auto record_interval = milliseconds(500);
/// Time from the beginning of a phase until its order is recorded.
constexpr auto record_timeout = std::chrono::seconds(3);
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
        // Another leader may have given orders meanwhile.
        group.is_confirmed = false;
        group.next_patrol = now;
        group.record_asked_at.reset();
        group.own_records.clear();
        if (group.synchronous_replicas > 0) {
            const auto& recorded = recorded_[id];
            group.open_promotions.insert(recorded.begin(), recorded.end());
        }
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
        forget_restarted(group, directory);
        hold(now, id, group, directory);
        resume_candidate(now, id, group, directory);
        if (now < group.not_before) {
            continue;
        }
        switch (group.stage) {
        case phase::watching:
            watch(now, id, group, directory);
            break;
        case phase::surveying:
            if (group.calls.empty() || now - group.since > survey_timeout) {
                finish_survey(now, id, group, directory);
            }
            break;
        case phase::pausing:
            pause_replicas(now, id, group, directory);
            break;
        case phase::handing_over:
            hand_over(now, id, group, directory);
            break;
        case phase::promoting:
            if (now - group.since > promotion_timeout) {
                group.open_promotions.insert(group.candidate);
                resume_watching(now, group, duration::zero());
            }
            break;
        case phase::settling: {
            const auto* const claimed = directory.claimed_primary(id);
            const auto has_claimed =
                claimed != nullptr && claimed->record.id == group.candidate;
            if (has_claimed || now - group.since > settling_timeout) {
                group.is_confirmed = group.is_confirmed && has_claimed;
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
        if (group.stepped_down) {
            group.primary = group.stepped_down->first;
            group.reason = "the primary has stepped down";
        }
        survey(now, id, group, directory);
        return;
    }
    if (group.former != primary->record.id ||
        group.former_start != primary->record.started_at)
    {
        group.former = primary->record.id;
        group.former_start = primary->record.started_at;
        group.earlier_position.reset();
        group.planned_since.reset();
        group.primary_sample.reset();
    }
    group.primary = primary->record.id;
    group.is_planned = primary->record.state == server_availability::draining;
    group.reason = group.is_planned ? "the primary shuts down"
                                    : failure_reason(now, *primary);
    const auto is_alive = group.reason.empty() || group.is_planned ||
                          has_recent_answer(now, group.primary);
    if (is_alive && restore(now, id, group, directory)) {
        return;
    }
    if (group.is_planned) {
        group.planned_since = group.planned_since.value_or(now);
        survey(now, id, group, directory);
    } else if (is_alive) {
        patrol(now, group, directory);
    } else {
        survey(now, id, group, directory);
    }
}

auto primary_supervisor::survey(time_point now, const group_id& id,
                                supervised_group& group,
                                const server_directory& directory) -> void
{
    group.stage = phase::surveying;
    group.since = now;
    group.calls.clear();
    group.statuses.clear();
    hooks_.log("primary_surveyed", id, group.primary, group.reason);
    for (const auto* const known : directory.servers_of(id)) {
        if (known->record.state != server_availability::gone) {
            call(now, group, known->record, server_order::report);
        }
    }
}

auto primary_supervisor::call(time_point now, supervised_group& group,
                              const server_record& server, server_order order)
    -> void
{
    last_call_ = last_call_.next();
    group.calls[last_call_] = {server.id, server.started_at, order, now};
    hooks_.call_server({last_call_, server, order, group.order_term});
}

auto primary_supervisor::call_idle(
    time_point now, supervised_group& group,
    const std::vector<const server_record*>& servers, server_order order)
    -> void
{
    for (const auto* const server : servers) {
        const auto is_called = std::any_of(
            group.calls.begin(), group.calls.end(),
            [&](const auto& each) { return each.second.server == server->id; });
        if (!is_called) {
            call(now, group, *server, order);
        }
    }
}

auto primary_supervisor::on_status(
    time_point now, server_call_number number,
    const std::optional<server_log_status>& status) -> void
{
    for (auto& [id, group] : groups_) {
        if (const auto resumed = group.resumes.extract(number)) {
            const auto& order = resumed.mapped();
            if (status) {
                // This order ended the pause, not an earlier one.
                forget_pauses(group, order.server);
            } else {
                auto& open = group.open_resumes[order.server];
                open.count = open.started_at == order.started_at
                                 ? open.count + 1
                                 : std::size_t{1};
                open.started_at = order.started_at;
                open.is_paused = false;
                group.paused[order.server] = order.started_at;
            }
            return;
        }
        if (const auto held = group.holds.extract(number)) {
            const auto& order = held.mapped();
            if (status && order.order == server_order::step_down &&
                status->role == server_role::replica)
            {
                group.stepped_down = {order.server, order.started_at};
            } else if (status) {
                note_pause(group, order, *status);
            }
            return;
        }
        const auto found = group.calls.find(number);
        if (found == group.calls.end()) {
            continue;
        }
        const auto call = found->second;
        group.calls.erase(found);
        if (!status) {
            return;
        }
        const auto known = group.statuses.find(call.server);
        const auto is_progress =
            known == group.statuses.end() ||
            known->second.status.received < status->received;
        group.progress_at = is_progress ? now : group.progress_at;
        group.statuses[call.server] = {*status, call.started_at};
        note_pause(group, call, *status);
        const auto is_primary = status->role == server_role::primary;
        const auto is_changing =
            group.stage == phase::pausing || group.stage == phase::handing_over;
        if (is_changing && is_primary && call.server != group.primary) {
            hooks_.log("primary_alive", id, call.server, group.reason);
            resume_watching(now, group, false_alarm_backoff);
            return;
        }
        switch (group.stage) {
        case phase::watching:
            if (status->paused_by > term(0)) {
                group.paused[call.server] = call.started_at;
            }
            if (is_primary && call.server == group.primary) {
                group.primary_sample = {call.sent_at, status->received};
            }
            break;
        case phase::surveying:
            if (is_primary && call.server == group.primary &&
                !group.is_planned && !group.is_confirming)
            {
                hooks_.log("primary_alive", id, call.server, group.reason);
                resume_watching(now, group, false_alarm_backoff);
            }
            break;
        case phase::pausing:
            // A server that knows the order's term ignores it.
            if (call.order == server_order::pause &&
                status->newest < group.order_term) {
                group.confirmed[call.server] = call.started_at;
            }
            break;
        case phase::handing_over:
            group.confirmed[call.server] = call.started_at;
            break;
        case phase::promoting:
        case phase::settling:
            break;
        }
        return;
    }
}

auto primary_supervisor::newest_term(const supervised_group& group) -> term
{
    auto newest = term(0);
    for (const auto& [id, known] : group.statuses) {
        newest = std::max(
            {newest, known.status.newest, known.status.received.group_term});
    }
    return newest;
}

auto primary_supervisor::has_confirmed(const supervised_group& group,
                                       const server_record& server) -> bool
{
    const auto found = group.confirmed.find(server.id);
    return found != group.confirmed.end() && found->second == server.started_at;
}

auto primary_supervisor::is_ready(const server_directory& directory,
                                  const target_id& server) -> bool
{
    const auto* const known = directory.find(server);
    return known != nullptr &&
           known->record.state == server_availability::ready;
}

auto primary_supervisor::others(const group_id& id,
                                const supervised_group& group,
                                const server_directory& directory)
    -> std::vector<const server_record*>
{
    auto result = std::vector<const server_record*>();
    for (const auto* const known : directory.servers_of(id)) {
        if (known->record.state != server_availability::gone &&
            known->record.id != group.primary)
        {
            result.push_back(&known->record);
        }
    }
    return result;
}

auto primary_supervisor::best_replica(const supervised_group& group,
                                      const server_directory& directory)
    -> std::optional<target_id>
{
    auto best = std::optional<target_id>();
    const auto may_receive = [&](const target_id& id) {
        const auto* const known = directory.find(id);
        return known != nullptr && may_resume_late(group, known->record);
    };
    const auto is_better = [&](const target_id& id,
                               const server_log_status& status) {
        const auto& other = group.statuses.at(*best).status.received;
        const auto is_id_ready = is_ready(directory, id);
        const auto is_best_ready = is_ready(directory, *best);
        if (group.synchronous_replicas > 0 && status.received != other) {
            return status.received > other;
        }
        if (group.synchronous_replicas > 0 &&
            may_receive(id) != may_receive(*best)) {
            // What it receives after all is not lost if it leads.
            return may_receive(id);
        }
        if (is_id_ready != is_best_ready) {
            return is_id_ready;
        }
        // An earlier order for it may still be carried out.
        const auto is_ordered = group.open_promotions.contains(id);
        return status.received != other ? status.received > other : is_ordered;
    };
    for (const auto& [id, reported] : group.statuses) {
        const auto* const known = directory.find(id);
        if (id == group.primary || known == nullptr ||
            known->record.state == server_availability::gone)
        {
            continue;
        }
        if (!best || is_better(id, reported.status)) {
            best = id;
        }
    }
    return best;
}

auto primary_supervisor::best_ready_replica(const supervised_group& group,
                                            const server_directory& directory)
    -> std::optional<target_id>
{
    auto best = std::optional<target_id>();
    for (const auto& [id, known] : group.statuses) {
        if (id != group.primary && is_ready(directory, id) &&
            (!best ||
             known.status.received > group.statuses.at(*best).status.received))
        {
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
    for (const auto& [name, known] : group.statuses) {
        if (known.status.role == server_role::primary && name != group.primary)
        {
            // Its announcement has not arrived yet.
            resume_watching(now, group, false_alarm_backoff);
            return;
        }
    }
    if (group.is_confirming) {
        confirm_primary(now, id, group, directory);
    } else if (group.statuses.contains(group.primary)) {
        plan_hand_over(now, id, group, directory);
    } else {
        replace_lost_primary(now, id, group, directory);
    }
}

auto primary_supervisor::plan_hand_over(time_point now, const group_id& id,
                                        supervised_group& group,
                                        const server_directory& directory)
    -> void
{
    const auto& primary = group.statuses.at(group.primary).status;
    if (primary.role == server_role::replica) {
        // An earlier order was carried out.
        start_hand_over(now, id, group);
        return;
    }
    for (const auto& [server, known] : group.statuses) {
        if (known.status.paused_by > term(0)) {
            group.paused[server] = known.started_at;
        }
    }
    const auto best = best_ready_replica(group, directory);
    if (!best) {
        postpone(now, id, group, group.primary,
                 "no ready replica reported its position", milliseconds(300));
        return;
    }
    const auto goal = group.earlier_position.value_or(primary.received);
    group.earlier_position = primary.received;
    const auto is_late =
        group.synchronous_replicas == 0 &&
        now - group.planned_since.value_or(now) > keep_up_timeout;
    if (group.statuses.at(*best).status.received < goal && !is_late) {
        // Until one does, the primary serves better than nobody.
        postpone(now, id, group, *best, "no ready replica keeps up",
                 keep_up_interval);
        return;
    }
    start_hand_over(now, id, group);
}

auto primary_supervisor::replace_lost_primary(time_point now,
                                              const group_id& id,
                                              supervised_group& group,
                                              const server_directory& directory)
    -> void
{
    const auto best = best_replica(group, directory);
    if (!best) {
        postpone(now, id, group, group.primary,
                 "no replica reported its position", milliseconds(300));
        return;
    }
    if (group.synchronous_replicas == 0) {
        auto furthest = *best;
        for (const auto& [server, known] : group.statuses) {
            if (server != group.primary &&
                known.status.received >
                    group.statuses.at(furthest).status.received)
            {
                furthest = server;
            }
        }
        if (group.primary.is_empty() && furthest != *best) {
            // It may have stepped down for an earlier leader; its successor
            // should receive the end of its log first.
            group.primary = furthest;
            start_hand_over(now, id, group);
            return;
        }
        promote(now, id, group, *best);
        return;
    }
    if (!group.resumes.empty()) {
        // It might be carried out after the order to pause. The environment
        // reports its end soon, with or without a reply.
        postpone(now, id, group, group.resumes.begin()->second.server,
                 "an order to receive again is under way", milliseconds(50));
        return;
    }
    const auto missing = missing_logs(
        now, id, group, directory, group.statuses.at(*best).status.received,
        [&](const auto& each) { return group.statuses.contains(each.id); });
    if (missing.size() > group.synchronous_replicas) {
        // They may be the only ones that hold a commit.
        postpone(now, id, group, missing.back(),
                 "too few servers reported their logs", milliseconds(200));
        return;
    }
    group.stage = phase::pausing;
    group.since = now;
    group.calls.clear();
    group.confirmed.clear();
    group.order_term = newest_term(group).next();
    hooks_.log("replicas_paused", id, group.primary, group.reason);
    pause_replicas(now, id, group, directory);
}

auto primary_supervisor::is_recorded(time_point now, const group_id& id,
                                     supervised_group& group,
                                     const target_id& candidate) -> bool
{
    if (group.synchronous_replicas == 0 || !hooks_.record) {
        return true;
    }
    auto servers = group.open_promotions;
    servers.insert(candidate);
    const auto& recorded = recorded_[id];
    if (std::includes(recorded.begin(), recorded.end(), servers.begin(),
                      servers.end()))
    {
        group.record_asked_at.reset();
        return true;
    }
    if (!group.record_asked_at ||
        now - *group.record_asked_at > record_interval) {
        group.record_asked_at = now;
        record(id, group, servers);
    }
    return false;
}

auto primary_supervisor::record(const group_id& id, supervised_group& group,
                                const std::set<target_id>& servers) -> void
{
    group.own_records.insert(servers);
    hooks_.record(id, servers);
}

auto primary_supervisor::on_recorded(const group_id& group,
                                     std::set<target_id> servers) -> void
{
    const auto found = groups_.find(group);
    if (is_leading_ && found != groups_.end()) {
        // It was not applied yet when this leader was elected.
        auto& known = found->second;
        if (known.synchronous_replicas > 0 &&
            !known.own_records.contains(servers)) {
            known.open_promotions.insert(servers.begin(), servers.end());
        }
    }
    recorded_[group] = std::move(servers);
}

auto primary_supervisor::promote(time_point now, const group_id& id,
                                 supervised_group& group,
                                 const target_id& candidate) -> void
{
    if (!is_recorded(now, id, group, candidate)) {
        if (now - group.since > record_timeout) {
            postpone(now, id, group, candidate,
                     "the order could not be recorded", milliseconds(200));
        }
        return;
    }
    group.stage = phase::promoting;
    group.since = now;
    group.next_hold = now;
    group.calls.clear();
    group.candidate = candidate;
    group.is_confirmed = group.is_confirmed && candidate == group.primary;
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
    auto& known = found->second;
    if (outcome == promotion_outcome::accepted) {
        // Orders before this one are refused from now on.
        known.open_promotions.clear();
        auto& recorded = recorded_[group];
        if (hooks_.record && !recorded.empty() &&
            recorded != std::set{known.candidate}) {
            // The next order waits for a record of its own.
            recorded = {known.candidate};
            record(group, known, recorded);
        }
        for (const auto& [server, open] : known.open_resumes) {
            forget_pauses(known, server);
        }
        known.is_confirmed = true;
        known.stage = phase::settling;
        known.since = now;
        known.next_patrol = now;
        if (known.candidate == known.primary && !known.paused.empty()) {
            // An order that was accepted before may not have taken effect yet.
            known.not_before = now + confirmation_delay;
        }
        return;
    }
    if (outcome == promotion_outcome::unknown) {
        known.open_promotions.insert(known.candidate);
    }
    hooks_.log("promotion_failed", group, known.candidate,
               outcome == promotion_outcome::refused ? "refused" : "no answer");
    resume_watching(now, known, milliseconds(200));
}

auto primary_supervisor::postpone(time_point now, const group_id& id,
                                  supervised_group& group,
                                  const target_id& server,
                                  const std::string& reason, duration pause)
    -> void
{
    hooks_.log("promotion_postponed", id, server, reason);
    resume_watching(now, group, pause);
}

auto primary_supervisor::resume_watching(time_point now,
                                         supervised_group& group,
                                         duration pause) -> void
{
    group.stage = phase::watching;
    group.is_confirming = false;
    group.not_before = now + pause;
    group.calls.clear();
}

} // namespace rhubarbrun::inline v1
