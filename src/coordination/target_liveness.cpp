#include <rhubarbrun/coordination/target_liveness.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

auto change_of(target_change_kind kind, target_description description)
    -> target_change
{
    return {kind, std::move(description)};
}

} // namespace

auto target_liveness::announcement_timeout(const control_state& state)
    -> duration
{
    const auto& header = state.bundle_in_force();
    const auto timings = header ? header->timings : bundle_timings{};
    return std::chrono::milliseconds(timings.announcement_ttl_ms) +
           max_report_delay;
}

auto target_liveness::start_leading(time_point now, const control_state& state)
    -> void
{
    stop_leading();
    for (const auto& [id, record] : state.targets()) {
        auto& seen = observations_[id];
        seen.announced_at = now;
        if (record.presence == target_presence::leaving) {
            seen.leaving_announced_at = now;
        }
        if (record.presence == target_presence::gone) {
            seen.announced_at = now - announcement_timeout(state);
        }
        schedule(id, seen, seen.announced_at + announcement_timeout(state));
    }
}

auto target_liveness::stop_leading() -> void
{
    observations_.clear();
    due_.clear();
}

auto target_liveness::schedule(const target_id& id, observation& seen,
                               time_point due) -> void
{
    due_.erase({seen.due, id});
    seen.due = due;
    due_.emplace(due, id);
}

auto target_liveness::on_report(time_point now,
                                const announcement_report& report,
                                const control_state& state) -> void
{
    for (const auto& reported : report.targets) {
        const auto* const record = state.find_target(reported.id);
        if (record == nullptr && !reported.description &&
            !observations_.contains(reported.id))
        {
            continue;
        }
        if (record == nullptr &&
            observations_.size() >= control_state::most_targets) {
            continue;
        }
        const auto announced_at =
            now - std::chrono::milliseconds(reported.age_ms);
        const auto [place, is_new] = observations_.try_emplace(reported.id);
        auto& seen = place->second;
        const auto has_changed =
            merge_report(now, announced_at, reported, seen);
        const auto presence = seen.leaving_announced_at
                                  ? target_presence::leaving
                                  : target_presence::present;
        if (is_new || has_changed ||
            (record != nullptr && record->presence != presence))
        {
            schedule(reported.id, seen, now);
        }
    }
}

auto target_liveness::merge_report(time_point now, time_point announced_at,
                                   const reported_target& reported,
                                   observation& seen) -> bool
{
    // Reports may arrive out of order.
    seen.announced_at = std::max(seen.announced_at, announced_at);
    auto has_changed = false;
    if (reported.is_leaving) {
        has_changed = !seen.leaving_announced_at;
        seen.leaving_announced_at = std::max(
            seen.leaving_announced_at.value_or(announced_at), announced_at);
    } else if (seen.leaving_announced_at &&
               announced_at >= *seen.leaving_announced_at + return_delay)
    {
        seen.leaving_announced_at.reset();
        has_changed = true;
    }
    if (reported.description && announced_at > seen.description_announced_at &&
        now >= seen.description_accepted_at + min_description_interval)
    {
        seen.description = reported.description;
        seen.description_announced_at = announced_at;
        seen.description_accepted_at = now;
        has_changed = true;
    }
    return has_changed;
}

auto target_liveness::take_changes(time_point now, const control_state& state)
    -> std::vector<target_change>
{
    auto changes = std::vector<target_change>();
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto id = due_.begin()->second;
        due_.erase(due_.begin());
        auto& seen = observations_.at(id);
        const auto next =
            evaluate(now, seen, state.find_target(id), state, changes);
        if (next) {
            schedule(id, seen, *next);
        } else {
            observations_.erase(id);
        }
    }
    return changes;
}

/// Appends the changes that the state lacks. Returns the time of the next
/// evaluation, or no value if the observation can be removed.
auto target_liveness::evaluate(time_point now, observation& seen,
                               const target_record* record,
                               const control_state& state,
                               std::vector<target_change>& out)
    -> std::optional<time_point>
{
    const auto gone_at = seen.announced_at + announcement_timeout(state);
    drop_redundant_description(seen, record, state);
    const auto before = out.size();
    if (now >= gone_at) {
        if (record == nullptr) {
            return std::nullopt;
        }
        if (record->presence != target_presence::gone) {
            out.push_back(
                change_of(target_change_kind::gone, record->description));
        } else if (now >= seen.announced_at + gone_target_ttl) {
            return evaluate_removal(now, *record, state, out);
        } else {
            return seen.announced_at + gone_target_ttl;
        }
    } else if (record == nullptr && !seen.description) {
        return gone_at;
    } else {
        add_presence_changes(seen, record, out);
    }
    return out.size() == before ? gone_at : now + retry_interval;
}

/// Drops a description that equals the record or that the state would not
/// accept, because it requires no change.
auto target_liveness::drop_redundant_description(observation& seen,
                                                 const target_record* record,
                                                 const control_state& state)
    -> void
{
    if (!seen.description) {
        return;
    }
    const auto& group = seen.description->group;
    const auto is_refused =
        state.find_group(group) == nullptr ||
        (record != nullptr && record->description.group != group);
    if (is_refused ||
        (record != nullptr && record->description == *seen.description))
    {
        seen.description.reset();
    }
}

auto target_liveness::add_presence_changes(const observation& seen,
                                           const target_record* record,
                                           std::vector<target_change>& out)
    -> void
{
    const auto& description =
        seen.description ? *seen.description : record->description;
    const auto wanted = seen.leaving_announced_at ? target_presence::leaving
                                                  : target_presence::present;
    const auto is_announced =
        seen.description || record == nullptr ||
        record->presence == target_presence::gone ||
        (wanted == target_presence::present && record->presence != wanted);
    if (is_announced) {
        out.push_back(change_of(target_change_kind::announced, description));
    }
    if (wanted == target_presence::leaving &&
        (is_announced || record->presence != wanted))
    {
        out.push_back(change_of(target_change_kind::leaving, description));
    }
}

auto target_liveness::evaluate_removal(time_point now,
                                       const target_record& record,
                                       const control_state& state,
                                       std::vector<target_change>& out)
    -> time_point
{
    const auto* const group = state.find_group(record.description.group);
    const auto is_primary = group != nullptr && group->primary &&
                            group->primary->target == record.description.id;
    if (!record.owner && !is_primary) {
        out.push_back(
            change_of(target_change_kind::forgotten, record.description));
        return now + retry_interval;
    }
    return now + gone_target_ttl;
}

auto target_liveness::next_due() const -> std::optional<time_point>
{
    if (due_.empty()) {
        return std::nullopt;
    }
    return due_.begin()->first;
}

} // namespace rhubarbrun::inline v1
