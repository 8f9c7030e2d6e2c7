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

auto target_liveness::silence_limit(const control_state& state) -> duration
{
    const auto& header = state.bundle_in_force();
    const auto timings = header ? header->timings : bundle_timings{};
    return std::chrono::milliseconds(timings.announcement_ttl_ms) +
           report_delay;
}

auto target_liveness::start_leading(time_point now, const control_state& state)
    -> void
{
    stop_leading();
    for (const auto& [id, record] : state.targets()) {
        auto& seen = seen_[id];
        seen.heard_at = now;
        if (record.presence == target_presence::leaving) {
            seen.left_at = now;
        }
        if (record.presence == target_presence::gone) {
            seen.heard_at = now - silence_limit(state);
        }
        schedule(id, seen, seen.heard_at + silence_limit(state));
    }
}

auto target_liveness::stop_leading() -> void
{
    seen_.clear();
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
    for (const auto& heard : report.heard) {
        const auto* const record = state.find_target(heard.id);
        if (record == nullptr && !heard.description &&
            !seen_.contains(heard.id)) {
            continue;
        }
        if (record == nullptr && seen_.size() >= control_state::most_targets) {
            continue;
        }
        const auto heard_at = now - std::chrono::milliseconds(heard.age_ms);
        const auto [place, is_new] = seen_.try_emplace(heard.id);
        auto& seen = place->second;
        const auto is_news = take(now, heard_at, heard, seen);
        const auto presence =
            seen.left_at ? target_presence::leaving : target_presence::present;
        if (is_new || is_news ||
            (record != nullptr && record->presence != presence)) {
            schedule(heard.id, seen, now);
        }
    }
}

auto target_liveness::take(time_point now, time_point heard_at,
                           const heard_target& heard, observation& seen) -> bool
{
    // Reports may arrive out of order.
    seen.heard_at = std::max(seen.heard_at, heard_at);
    auto is_news = false;
    if (heard.is_leaving) {
        is_news = !seen.left_at;
        seen.left_at = std::max(seen.left_at.value_or(heard_at), heard_at);
    } else if (seen.left_at && heard_at >= *seen.left_at + return_delay) {
        seen.left_at.reset();
        is_news = true;
    }
    if (heard.description && heard_at > seen.described_as_of &&
        now >= seen.described_at + description_interval)
    {
        seen.description = heard.description;
        seen.described_as_of = heard_at;
        seen.described_at = now;
        is_news = true;
    }
    return is_news;
}

auto target_liveness::take_changes(time_point now, const control_state& state)
    -> std::vector<target_change>
{
    auto changes = std::vector<target_change>();
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto id = due_.begin()->second;
        due_.erase(due_.begin());
        auto& seen = seen_.at(id);
        const auto next =
            evaluate(now, seen, state.find_target(id), state, changes);
        if (next) {
            schedule(id, seen, *next);
        } else {
            seen_.erase(id);
        }
    }
    return changes;
}

/// Appends the changes that the state lacks. Returns when to look at the
/// target again, or no value if it can be forgotten here.
auto target_liveness::evaluate(time_point now, observation& seen,
                               const target_record* record,
                               const control_state& state,
                               std::vector<target_change>& out)
    -> std::optional<time_point>
{
    const auto gone_at = seen.heard_at + silence_limit(state);
    drop_useless_description(seen, record, state);
    const auto before = out.size();
    if (now >= gone_at) {
        if (record == nullptr) {
            return std::nullopt;
        }
        if (record->presence != target_presence::gone) {
            out.push_back(
                change_of(target_change_kind::gone, record->description));
        } else if (now >= seen.heard_at + forget_after) {
            return evaluate_forgetting(now, *record, state, out);
        } else {
            return seen.heard_at + forget_after;
        }
    } else if (record == nullptr && !seen.description) {
        return gone_at;
    } else {
        add_presence(seen, record, out);
    }
    return out.size() == before ? gone_at : now + retry_interval;
}

/// A description that equals the record, or that the state would not accept,
/// calls for no change.
auto target_liveness::drop_useless_description(observation& seen,
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

auto target_liveness::add_presence(const observation& seen,
                                   const target_record* record,
                                   std::vector<target_change>& out) -> void
{
    const auto& description =
        seen.description ? *seen.description : record->description;
    const auto wanted =
        seen.left_at ? target_presence::leaving : target_presence::present;
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

auto target_liveness::evaluate_forgetting(time_point now,
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
    return now + forget_after;
}

auto target_liveness::next_due() const -> std::optional<time_point>
{
    if (due_.empty()) {
        return std::nullopt;
    }
    return due_.begin()->first;
}

} // namespace rhubarbrun::inline v1
