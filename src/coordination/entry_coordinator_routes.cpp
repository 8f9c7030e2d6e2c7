#include <rhubarbrun/coordination/entry_coordinator.hpp>

#include <utility>

// This part of entry_coordinator routes a request by the known state of the
// servers of its group.

namespace rhubarbrun::inline v1 {

namespace {

/// Minimum time between position queries of one group while reads need them...
constexpr auto query_interval = std::chrono::milliseconds(20);
/// ... and while no replica is fit, as that state may last long.
constexpr auto refresh_interval = std::chrono::milliseconds(200);
/// Time that a read waits for the position of a replica; a replica that has not
/// answered by then is distant or unreachable.
constexpr auto answer_timeout = std::chrono::milliseconds(20);
/// Maximum number of outstanding queries; answers to older ones are ignored.
constexpr auto max_queries = std::size_t{4096};

} // namespace

auto entry_coordinator::choose_route(const entry_view& view,
                                     session_state& caller,
                                     entry_actions& actions) -> route
{
    const auto& request = caller.request->body;
    auto where = route{};
    if (caller.transaction) {
        where.kind = route::result::send;
        where.target = caller.transaction->target;
        return where;
    }
    const auto is_orphan = request.step == transaction_step::within ||
                           request.step == transaction_step::end;
    if (is_orphan) {
        where.kind = route::result::refuse;
        where.error = not_run_error(sqlstate::transaction_rollback,
                                    "the transaction was lost and rolled back");
        return where;
    }
    if (!view.is_ready) {
        where.kind = route::result::refuse;
        where.error = not_run_error(sqlstate::cannot_connect_now,
                                    "this proxy has no contact with control",
                                    std::chrono::seconds(1));
        return where;
    }
    const auto is_replica_read =
        request.is_read_only && !caller.request->must_use_primary;
    return is_replica_read ? route_read(view, caller, actions)
                           : route_to_primary(view, caller);
}

auto entry_coordinator::route_to_primary(const entry_view& view,
                                         const session_state& caller) -> route
{
    auto where = route{};
    const auto* const group = view.local_directory.find_group(caller.group);
    if (group == nullptr) {
        where.kind = route::result::refuse;
        where.error = not_run_error(sqlstate::invalid_catalog_name,
                                    "the database is no longer in the bundle");
        return where;
    }
    if (group->primary) {
        where.kind = route::result::send;
        where.target = group->primary->target;
        // An owner that does not know the floor's term yet must not answer.
        where.floor = caller.token.floor(caller.group);
    }
    return where;
}

auto entry_coordinator::establish_floor(session_state& caller,
                                        const group_positions& group) -> bool
{
    if (caller.has_floor) {
        return true;
    }
    const auto position = group.acknowledged_since(caller.arrived);
    if (!position) {
        return false;
    }
    caller.token.raise(caller.group, *position);
    caller.has_floor = true;
    return true;
}

auto entry_coordinator::route_read(const entry_view& view,
                                   session_state& caller,
                                   entry_actions& actions) -> route
{
    auto& request = *caller.request;
    const auto* const config = view.local_directory.find_group(caller.group);
    if (config == nullptr || !config->primary) {
        return route_to_primary(view, caller);
    }
    auto& group = positions_of(caller.group);
    const auto& policy = config->config.reads;
    if (request.position_limit == time_point{}) {
        request.position_limit =
            view.now + std::chrono::milliseconds(policy.fallback_wait_ms);
    }
    const auto has_floor = establish_floor(caller, group);
    const auto ignores_floor = options_.fault == entry_fault::skip_floor_check;
    auto requirements = read_requirements{};
    if (!ignores_floor) {
        requirements.floor = caller.token.floor(caller.group);
    }
    requirements.max_age = request.body.max_age != duration::zero()
                               ? request.body.max_age
                               : std::chrono::milliseconds(policy.max_age_ms);
    requirements.deadline = request.deadline;
    requirements.replicas_wanted =
        static_cast<std::size_t>(policy.replicas_wanted);
    const auto floor = group.choice().required_position(view.now, requirements);
    auto where = route{};
    if (!has_floor || !floor) {
        if (view.now >= request.position_limit) {
            return route_to_primary(view, caller);
        }
        ask_positions(view, caller.group, group, query_interval, actions);
        return where;
    }
    requirements.floor = ignores_floor ? std::nullopt : floor;
    requirements.max_age = duration::zero();
    const auto chosen = group.choice().choose(view.now, requirements);
    if (chosen.kind == read_target::primary) {
        // Answers of replicas to reads renew their reports, so the reports
        // expire while reads are sent to the primary.
        ask_positions(view, caller.group, group, refresh_interval, actions);
        // The answers of the replicas may arrive after that of the primary.
        const auto may_wait = view.now < request.position_limit &&
                              is_awaiting_positions(view.now, caller.group);
        return may_wait ? where : route_to_primary(view, caller);
    }
    where.kind = route::result::send;
    where.target = *chosen.target;
    where.floor = floor;
    where.is_replica = true;
    return where;
}

auto entry_coordinator::positions_of(const group_id& id) -> group_positions&
{
    const auto found = groups_.find(id);
    if (found != groups_.end()) {
        return found->second;
    }
    auto options = replica_choice_options{};
    options.random = options_.random;
    return groups_.emplace(id, group_positions(std::move(options)))
        .first->second;
}

auto entry_coordinator::ask_positions(const entry_view& view,
                                      const group_id& id,
                                      group_positions& group, duration interval,
                                      entry_actions& actions) -> void
{
    if (!group.start_query_if_due(view.now, interval)) {
        return;
    }
    for (const auto& target : view.local_directory.targets_of(id)) {
        const auto* const record = view.local_directory.find_target(target);
        if (record == nullptr || !record->owner) {
            continue;
        }
        last_request_ = last_request_.next();
        queries_[last_request_] = {id, view.now};
        actions.emplace_back(
            query_action{last_request_, target, record->owner->id});
    }
    // Removes the oldest queries, which include those never answered.
    while (queries_.size() > max_queries) {
        queries_.erase(queries_.begin());
    }
}

auto entry_coordinator::is_awaiting_positions(time_point now,
                                              const group_id& group) const
    -> bool
{
    // Ids increase with time, so the newest queries are the last.
    for (auto query_entry = queries_.rbegin(); query_entry != queries_.rend();
         ++query_entry)
    {
        if (now - query_entry->second.asked_at >= answer_timeout) {
            return false;
        }
        if (query_entry->second.group == group) {
            return true;
        }
    }
    return false;
}

auto entry_coordinator::on_position(const entry_view& view, request_id question,
                                    const target_position& answer) -> void
{
    const auto found = queries_.find(question);
    if (found == queries_.end()) {
        return;
    }
    const auto [group, asked_at] = found->second;
    queries_.erase(found);
    positions_of(group).on_answer(view.now, asked_at, view.local_directory,
                                  options_.zone, answer);
}

} // namespace rhubarbrun::inline v1
