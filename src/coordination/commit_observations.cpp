#include <rhubarbrun/coordination/commit_observations.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Minimum time between kept observations. Staleness limits are seconds, so a
/// finer resolution would only cost memory.
constexpr auto min_observation_interval = milliseconds(50);
/// Longest staleness limit that replicas can serve.
constexpr auto max_history = std::chrono::seconds(10);

} // namespace

auto commit_observations::observe(time_point asked_at, log_position position)
    -> void
{
    if (position.group_term < first_of_term_.group_term) {
        return;
    }
    if (position.group_term > first_of_term_.group_term) {
        first_of_term_ = position;
        observed_.clear();
    }
    first_of_term_ = std::min(first_of_term_, position);
    if (!observed_.empty()) {
        auto& last = observed_.back();
        if (asked_at <= last.asked_at) {
            return;
        }
        position = std::max(position, last.position);
        if (observed_.size() > 1 &&
            last.asked_at - observed_[observed_.size() - 2].asked_at <
                min_observation_interval)
        {
            last = {asked_at, position};
            return;
        }
    }
    observed_.push_back({asked_at, position});
    while (asked_at - observed_.front().asked_at > max_history) {
        observed_.pop_front();
    }
}

auto commit_observations::covering(time_point limit) const
    -> std::optional<log_position>
{
    const auto found = std::lower_bound(
        observed_.begin(), observed_.end(), limit,
        [](const auto& each, time_point at) { return each.asked_at < at; });
    if (found == observed_.end()) {
        return std::nullopt;
    }
    return found->position;
}

auto commit_observations::translate(log_position seen) const -> log_position
{
    return seen.group_term < first_of_term_.group_term ? first_of_term_ : seen;
}

} // namespace rhubarbrun::inline v1
