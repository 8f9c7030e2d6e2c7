#include "entry_router_errors.hpp"

#include <rhubarbrun/transport/entry_router.hpp>

#include <mutex>
#include <utility>

// The part of entry_router that chooses where a request goes, from what is
// known of the servers of its group.

namespace rhubarbrun::inline v1 {

using detail::not_run;

namespace {

/// Positions of one group are asked for at most this often.
constexpr auto least_refresh_interval = std::chrono::milliseconds(20);

} // namespace

auto entry_router::choose_route(session_state& caller, actions& todo) -> route
{
    const auto& request = caller.running->body;
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
        where.error = not_run(sqlstate::transaction_rollback,
                              "the transaction was lost and rolled back");
        return where;
    }
    if (!hooks_.is_ready()) {
        where.kind = route::result::refuse;
        where.error = not_run(sqlstate::cannot_connect_now,
                              "this proxy has no contact with control",
                              std::chrono::seconds(1));
        return where;
    }
    const auto is_replica_read =
        request.is_read_only && !caller.running->must_use_primary;
    return is_replica_read ? route_read(caller, todo)
                           : route_to_primary(caller);
}

auto entry_router::route_to_primary(const session_state& caller) const -> route
{
    auto where = route{};
    const auto view = hooks_.view();
    const auto* const group = view->find_group(caller.group);
    if (group == nullptr) {
        where.kind = route::result::refuse;
        where.error = not_run(sqlstate::invalid_catalog_name,
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

auto entry_router::establish_floor(session_state& caller, group_view& group)
    -> bool
{
    if (caller.has_floor) {
        return true;
    }
    const auto is_new_enough =
        group.acknowledged && group.acknowledged_at >= caller.arrived;
    if (!is_new_enough) {
        return false;
    }
    caller.token.raise(caller.group, *group.acknowledged);
    caller.has_floor = true;
    return true;
}

auto entry_router::route_read(session_state& caller, actions& todo) -> route
{
    const auto now = hooks_.now();
    auto& running = *caller.running;
    const auto view = hooks_.view();
    const auto* const config = view->find_group(caller.group);
    if (config == nullptr || !config->primary) {
        return route_to_primary(caller);
    }
    auto& group = group_state(caller.group);
    const auto& policy = config->config.reads;
    if (running.position_limit == time_point{}) {
        running.position_limit =
            now + std::chrono::milliseconds(policy.fallback_wait_ms);
    }
    const auto max_age = running.body.max_age != duration::zero()
                             ? running.body.max_age
                             : std::chrono::milliseconds(policy.max_age_ms);
    const auto has_floor = establish_floor(caller, group);
    auto requirements = read_requirements{};
    requirements.floor = caller.token.floor(caller.group);
    requirements.max_age = max_age;
    requirements.deadline = running.deadline;
    requirements.replicas_wanted =
        static_cast<std::size_t>(policy.replicas_wanted);
    const auto floor = group.choice.required_position(now, requirements);
    auto where = route{};
    if (!has_floor || !floor) {
        if (now >= running.position_limit) {
            return route_to_primary(caller);
        }
        refresh(caller.group, group, todo);
        return where;
    }
    requirements.floor = floor;
    requirements.max_age = duration::zero();
    const auto chosen = group.choice.choose(now, requirements);
    if (chosen.kind == read_target::primary) {
        return route_to_primary(caller);
    }
    where.kind = route::result::send;
    where.target = *chosen.target;
    where.floor = floor;
    where.is_replica = true;
    return where;
}

auto entry_router::group_state(const group_id& id) -> group_view&
{
    const auto found = groups_.find(id);
    if (found != groups_.end()) {
        return found->second;
    }
    auto options = replica_choice_options{};
    options.random = hooks_.random;
    return groups_.emplace(id, group_view(std::move(options))).first->second;
}

auto entry_router::refresh(const group_id& id, group_view& group, actions& todo)
    -> void
{
    const auto now = hooks_.now();
    if (now - group.queried_at < least_refresh_interval) {
        return;
    }
    group.queried_at = now;
    const auto view = hooks_.view();
    for (const auto& target : view->targets_of(id)) {
        const auto* const record = view->find_target(target);
        if (record == nullptr || !record->owner) {
            continue;
        }
        last_request_ = last_request_.next();
        const auto question = position_query{last_request_, target};
        queries_[question.id] = {id, now};
        if (record->owner->id != options_.self.id) {
            todo.push_back([this, owner = record->owner->id, question] {
                if (const auto link = hooks_.find_link(owner)) {
                    hooks_.send_query(*link, question);
                }
            });
            continue;
        }
        todo.push_back([this, question] {
            const auto local = hooks_.find_local(question.target);
            if (!local) {
                return;
            }
            local->query([this, question](position_answer answer) {
                answer.id = question.id;
                on_position(answer);
            });
        });
    }
    // Answers that never came are forgotten with the oldest questions.
    constexpr auto most_queries = std::size_t{4096};
    while (queries_.size() > most_queries) {
        queries_.erase(queries_.begin());
    }
}

auto entry_router::on_position(const position_answer& answer) -> void
{
    auto todo = actions{};
    {
        const auto lock = std::lock_guard(mutex_);
        const auto question = queries_.find(answer.id);
        if (question == queries_.end()) {
            return;
        }
        const auto [id, asked_at] = question->second;
        queries_.erase(question);
        auto& group = group_state(id);
        const auto view = hooks_.view();
        const auto* const record = view->find_target(answer.target);
        if (record == nullptr || !answer.position) {
            return;
        }
        if (answer.log_end) {
            // The owner read the log end `age_us` before it answered, hence
            // at most that long before this question was asked.
            const auto read_at = asked_at - duration(answer.age_us);
            group.acknowledged = answer.position;
            group.acknowledged_at = asked_at;
            group.followers = {answer.followers.begin(),
                               answer.followers.end()};
            group.choice.on_primary_position(read_at, *answer.log_end);
            for (const auto& target : view->targets_of(id)) {
                if (!group.followers.contains(target)) {
                    group.choice.on_removed(target);
                }
            }
        } else if (group.followers.contains(answer.target)) {
            auto report = replica_report{};
            report.target = answer.target;
            report.zone = record->description.zone;
            const auto is_near = report.zone == options_.zone;
            report.distance = is_near ? std::chrono::milliseconds(0)
                                      : std::chrono::milliseconds(1);
            report.slots = record->description.slots;
            report.replayed = *answer.position;
            report.replayed_at = asked_at - duration(answer.age_us);
            report.load = answer.load;
            group.choice.on_report(hooks_.now(), std::move(report));
        }
        retry_parked(todo);
    }
    run(todo);
}

} // namespace rhubarbrun::inline v1
