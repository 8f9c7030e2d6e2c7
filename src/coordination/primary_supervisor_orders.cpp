#include <rhubarbrun/coordination/primary_supervisor.hpp>

#include <algorithm>
#include <functional>

namespace rhubarbrun::inline v1 {

namespace {

/// Time for all replicas to confirm that they are paused.
constexpr auto pause_timeout = milliseconds(2500);
/// Time for a primary to step down before its state is surveyed again.
constexpr auto step_down_timeout = milliseconds(1200);
/// Time for a primary to step down, and for a replica to receive the end of its
/// log. The former primary shuts down some seconds later.
constexpr auto catch_up_timeout = milliseconds(2500);
constexpr auto catch_up_interval = milliseconds(40);
/// A replica whose position has not changed for several round trips between
/// regions is not going to receive more.
constexpr auto catch_up_quiet_time = milliseconds(250);
/// Pause before a primary that did not report is asked again whether it leads.
constexpr auto confirmation_interval = std::chrono::seconds(1);
constexpr auto patrol_interval = std::chrono::seconds(1);
/// Pause between two orders to a server that is held.
constexpr auto hold_interval = milliseconds(150);
/// Time in which a server that left is succeeded by one with its log.
constexpr auto succession_timeout = std::chrono::seconds(10);

} // namespace

auto primary_supervisor::pause_replicas(time_point now, const group_id& id,
                                        supervised_group& group,
                                        const server_directory& directory)
    -> void
{
    const auto* const claimed = directory.claimed_primary(id);
    if (claimed != nullptr && claimed->record.id != group.primary) {
        resume_watching(now, group, duration::zero());
        return;
    }
    const auto replicas = others(id, group, directory);
    const auto best = best_replica(group, directory);
    // An order for it may be carried out at any time, so it receives.
    const auto receiver = receiving_candidate(group);
    const auto is_spared = [&](const auto& each) {
        return receiver == best && each.id == receiver &&
               group.statuses.contains(each.id);
    };
    if (best) {
        const auto missing = missing_logs(
            now, id, group, directory, group.statuses.at(*best).status.received,
            [&](const auto& each) {
                // A late order to resume may lift the pause of another one.
                return is_spared(each) ||
                       (has_confirmed(group, each) &&
                        (each.id == *best || !may_resume_late(group, each)));
            });
        if (missing.size() <= group.synchronous_replicas) {
            promote(now, id, group, *best);
            return;
        }
        if (now - group.since > pause_timeout) {
            postpone(now, id, group, missing.back(),
                     "too few servers confirmed their logs", milliseconds(200));
            return;
        }
    }
    auto receiving = std::vector<const server_record*>();
    for (const auto* const each : replicas) {
        if (is_spared(*each)) {
            continue;
        }
        group.paused[each->id] = each->started_at;
        if (!has_confirmed(group, *each)) {
            receiving.push_back(each);
        }
    }
    call_idle(now, group, receiving, server_order::pause);
}

auto primary_supervisor::start_hand_over(time_point now, const group_id& id,
                                         supervised_group& group) -> void
{
    group.stage = phase::handing_over;
    group.since = now;
    group.progress_at = now;
    group.calls.clear();
    group.confirmed.clear();
    group.order_term = newest_term(group).next();
    hooks_.log("primary_steps_down", id, group.primary, group.reason);
}

auto primary_supervisor::hand_over(time_point now, const group_id& id,
                                   supervised_group& group,
                                   const server_directory& directory) -> void
{
    const auto* const primary = directory.find(group.primary);
    const auto former = group.statuses.find(group.primary);
    if (primary == nullptr || former == group.statuses.end()) {
        resume_watching(now, group, duration::zero());
        return;
    }
    const auto& reported = former->second.status;
    const auto has_stepped_down = reported.role == server_role::replica;
    if (!has_stepped_down) {
        const auto is_synchronous = group.synchronous_replicas > 0;
        if (now - group.since <=
            (is_synchronous ? step_down_timeout : catch_up_timeout))
        {
            call_idle(now, group, {&primary->record}, server_order::step_down);
        } else if (is_synchronous) {
            // It may still acknowledge commits.
            postpone(now, id, group, group.primary,
                     "the primary did not step down", duration::zero());
        } else {
            finish_hand_over(now, id, group, directory);
        }
        return;
    }
    if (group.confirmed.erase(group.primary) > 0) {
        // The time to catch up begins.
        group.since = now;
        group.progress_at = now;
    }
    const auto best = best_ready_replica(group, directory);
    if (best && !has_open_promotion(group, *best) &&
        group.statuses.at(*best).status.received >= reported.received)
    {
        promote(now, id, group, *best);
        return;
    }
    const auto replicas = others(id, group, directory);
    const auto is_quiet =
        group.synchronous_replicas > 0 &&
        now - group.progress_at > catch_up_quiet_time &&
        std::all_of(replicas.begin(), replicas.end(), [&](const auto* each) {
            return has_confirmed(group, *each);
        });
    if (is_quiet || now - group.since > catch_up_timeout) {
        finish_hand_over(now, id, group, directory);
        return;
    }
    group.not_before = now + catch_up_interval;
    call_idle(now, group, replicas, server_order::report);
}

auto primary_supervisor::finish_hand_over(time_point now, const group_id& id,
                                          supervised_group& group,
                                          const server_directory& directory)
    -> void
{
    const auto best = best_replica(group, directory);
    if (group.synchronous_replicas == 0) {
        if (best) {
            promote(now, id, group, *best);
        } else {
            resume_watching(now, group, duration::zero());
        }
        return;
    }
    group.earlier_position.reset();
    const auto replicas = others(id, group, directory);
    const auto are_known =
        std::all_of(replicas.begin(), replicas.end(), [&](const auto* each) {
            return has_confirmed(group, *each);
        });
    // What was acknowledged is held by the former primary and another server.
    const auto is_safe =
        are_known && best && is_ready(directory, *best) &&
        !has_open_promotion(group, *best) &&
        missing_logs(
            now, id, group, directory, group.statuses.at(*best).status.received,
            [&](const auto& each) {
                return has_confirmed(group, each);
            }).size() <= group.synchronous_replicas;
    if (!is_safe) {
        hooks_.log("lead_returned", id, group.primary,
                   "no ready replica holds what may be acknowledged");
    }
    promote(now, id, group, is_safe ? *best : group.primary);
}

auto primary_supervisor::has_departed(time_point now, const group_id& id,
                                      const supervised_group& group,
                                      const server_directory& directory,
                                      const server_directory::entry& server,
                                      const log_position& reached) -> bool
{
    const auto& record = server.record;
    if (record.state != server_availability::gone ||
        now - server.heard_at > succession_timeout)
    {
        return false;
    }
    const auto bound = group.bounds_of_departed.find(record.id);
    if (bound != group.bounds_of_departed.end() &&
        bound->second.started_at == record.started_at &&
        reached >= bound->second.position)
    {
        return false;
    }
    const auto servers = directory.servers_of(id);
    return std::none_of(servers.begin(), servers.end(), [&](const auto* each) {
        return each->record.state != server_availability::gone &&
               each->record.address == record.address &&
               each->record.started_at > record.started_at;
    });
}

auto primary_supervisor::missing_logs(
    time_point now, const group_id& id, const supervised_group& group,
    const server_directory& directory, const log_position& reached,
    const std::function<bool(const server_record&)>& has_reported)
    -> std::vector<target_id>
{
    auto missing = std::vector<target_id>();
    for (const auto* const each : directory.servers_of(id)) {
        const auto& record = each->record;
        const auto is_missing =
            record.state == server_availability::gone
                ? has_departed(now, id, group, directory, *each, reached)
                : record.id == group.primary || !has_reported(record);
        if (is_missing) {
            missing.push_back(record.id);
        }
    }
    return missing;
}

auto primary_supervisor::forget_restarted(supervised_group& group,
                                          const server_directory& directory)
    -> void
{
    const auto has_restarted = [&](const target_id& server,
                                   std::uint64_t started_at) {
        const auto* const known = directory.find(server);
        return known != nullptr && known->record.started_at != started_at;
    };
    std::erase_if(group.statuses, [&](const auto& each) {
        return has_restarted(each.first, each.second.started_at);
    });
    std::erase_if(group.open_resumes, [&](const auto& each) {
        return has_restarted(each.first, each.second.started_at);
    });
    if (group.stepped_down &&
        has_restarted(group.stepped_down->first, group.stepped_down->second))
    {
        group.stepped_down.reset();
    }
}

auto primary_supervisor::note_pause(supervised_group& group,
                                    const open_call& call,
                                    const server_log_status& status) -> void
{
    const auto found = group.open_resumes.find(call.server);
    if (found == group.open_resumes.end() ||
        found->second.started_at != call.started_at)
    {
        return;
    }
    auto& open = found->second;
    if (status.paused_by > term(0)) {
        open.is_paused = true;
    } else if (open.is_paused) {
        open.is_paused = false;
        if (--open.count == 0) {
            group.open_resumes.erase(found);
        }
    }
}

auto primary_supervisor::forget_pauses(supervised_group& group,
                                       const target_id& server) -> void
{
    const auto found = group.open_resumes.find(server);
    if (found != group.open_resumes.end()) {
        found->second.is_paused = false;
    }
}

auto primary_supervisor::may_resume_late(const supervised_group& group,
                                         const server_record& server) -> bool
{
    const auto found = group.open_resumes.find(server.id);
    return found != group.open_resumes.end() &&
           found->second.started_at == server.started_at;
}

auto primary_supervisor::has_open_promotion(const supervised_group& group,
                                            const target_id& server) -> bool
{
    return std::any_of(group.open_promotions.begin(),
                       group.open_promotions.end(),
                       [&](const auto& each) { return each != server; });
}

auto primary_supervisor::receiving_candidate(const supervised_group& group)
    -> std::optional<target_id>
{
    auto candidates = group.open_promotions;
    candidates.erase(group.primary);
    if (candidates.size() != 1 || group.paused.contains(*candidates.begin())) {
        return std::nullopt;
    }
    return *candidates.begin();
}

auto primary_supervisor::resume(time_point now, supervised_group& group,
                                const server_record& server) -> void
{
    last_call_ = last_call_.next();
    group.resumes[last_call_] = {server.id, server.started_at,
                                 server_order::resume, now};
    hooks_.call_server({last_call_, server, server_order::resume, term()});
}

auto primary_supervisor::resume_candidate(time_point now, const group_id& id,
                                          supervised_group& group,
                                          const server_directory& directory)
    -> void
{
    const auto is_ordered =
        group.stage == phase::promoting || group.stage == phase::settling;
    if (group.synchronous_replicas == 0 || !hooks_.record || !is_ordered ||
        group.candidate == group.primary ||
        has_open_promotion(group, group.candidate))
    {
        return;
    }
    const auto* const known = directory.find(group.candidate);
    const auto paused = group.paused.find(group.candidate);
    if (known != nullptr && paused != group.paused.end()) {
        group.paused.erase(paused);
        hooks_.log("replica_resumed", id, group.candidate,
                   "it is to be promoted");
        resume(now, group, known->record);
    }
}

auto primary_supervisor::hold(time_point now, const group_id& id,
                              supervised_group& group,
                              const server_directory& directory) -> void
{
    const auto is_ordered =
        (group.stage == phase::promoting || group.stage == phase::settling) &&
        group.candidate != group.primary;
    const auto may_change =
        is_ordered || has_open_promotion(group, group.primary);
    if (group.synchronous_replicas == 0 || !may_change) {
        group.stepped_down.reset();
        return;
    }
    const auto* const primary = directory.find(group.primary);
    if (primary == nullptr || group.is_planned || now < group.next_hold ||
        (group.stepped_down && group.stepped_down->first == group.primary))
    {
        return;
    }
    group.next_hold = now + hold_interval;
    const auto order = [&](const server_record& server, server_order what) {
        const auto is_called = std::any_of(
            group.holds.begin(), group.holds.end(),
            [&](const auto& each) { return each.second.server == server.id; });
        if (!is_called) {
            last_call_ = last_call_.next();
            group.holds[last_call_] = {server.id, server.started_at, what, now};
            hooks_.call_server({last_call_, server, what, group.order_term});
        }
    };
    if (is_ordered || !receiving_candidate(group)) {
        order(primary->record, server_order::step_down);
    }
    for (const auto* const each : others(id, group, directory)) {
        // What the only candidate receives is not lost.
        const auto is_candidate = !has_open_promotion(group, each->id) &&
                                  (!is_ordered || each->id == group.candidate);
        if (!is_candidate) {
            group.paused[each->id] = each->started_at;
            order(*each, server_order::pause);
        }
    }
}

auto primary_supervisor::restore(time_point now, const group_id& id,
                                 supervised_group& group,
                                 const server_directory& directory) -> bool
{
    // To carry out an order for the present primary changes nothing.
    const auto is_open = has_open_promotion(group, group.primary);
    if (group.paused.empty() && !is_open) {
        return false;
    }
    if (!group.is_confirmed || is_open) {
        // An order of this leader or an earlier one may still be carried out.
        // It must not find that replicas have received more since.
        group.reason = "an earlier order may still be carried out";
        survey(now, id, group, directory);
        group.is_confirming = true;
        return true;
    }
    for (const auto& [server, started_at] : group.paused) {
        const auto* const known = directory.find(server);
        if (known != nullptr &&
            known->record.state != server_availability::gone &&
            server != group.primary && known->record.started_at == started_at)
        {
            hooks_.log("replica_resumed", id, server,
                       "no change is under way at " + group.primary.value());
            resume(now, group, known->record);
        }
    }
    group.paused.clear();
    group.next_patrol = now + patrol_interval;
    return false;
}

auto primary_supervisor::confirm_primary(time_point now, const group_id& id,
                                         supervised_group& group,
                                         const server_directory& directory)
    -> void
{
    const auto found = group.statuses.find(group.primary);
    if (found == group.statuses.end()) {
        const auto is_blocked =
            group.synchronous_replicas > 0 && !group.paused.empty();
        if (group.is_planned || is_blocked) {
            // It leaves, or acknowledges nothing while replicas are paused.
            replace_lost_primary(now, id, group, directory);
        } else {
            postpone(now, id, group, group.primary,
                     "the primary did not report that it leads",
                     confirmation_interval);
        }
        return;
    }
    const auto& status = found->second.status;
    const auto is_unsafe = group.synchronous_replicas > 0 &&
                           has_open_promotion(group, group.primary) &&
                           !receiving_candidate(group);
    if (status.role == server_role::replica || is_unsafe) {
        // While an order for another server may be carried out, a replica that
        // starts again would let the primary acknowledge what that one lacks.
        start_hand_over(now, id, group);
    } else if (status.newest >= newest_term(group)) {
        promote(now, id, group, group.primary);
    } else {
        postpone(now, id, group, group.primary, "another server leads by now",
                 milliseconds(200));
    }
}

auto primary_supervisor::patrol(time_point now, supervised_group& group,
                                const server_directory& directory) -> void
{
    if (group.synchronous_replicas == 0) {
        return;
    }
    const auto* const primary = directory.find(group.primary);
    const auto servers = directory.servers_of(primary->record.group);
    if (group.primary_sample) {
        for (const auto* const each : servers) {
            if (each->record.state == server_availability::gone &&
                each->heard_at < group.primary_sample->asked_at)
            {
                auto& bound = group.bounds_of_departed[each->record.id];
                if (bound.started_at != each->record.started_at) {
                    bound = {group.primary_sample->position,
                             each->record.started_at};
                }
            }
        }
    }
    if (now < group.next_patrol) {
        return;
    }
    group.next_patrol = now + patrol_interval;
    group.calls.clear();
    for (const auto* const each : servers) {
        if (each->record.state != server_availability::gone) {
            call(now, group, each->record, server_order::report);
        }
    }
}

} // namespace rhubarbrun::inline v1
