#include <rhubarbrun/coordination/read_policy.hpp>

#include <algorithm>
#include <iterator>

namespace rhubarbrun::inline v1 {

auto primary_history::add(time_point asked_at, log_position position) -> void
{
    if (!samples_.empty() &&
        (asked_at < samples_.back().at || position < samples_.back().position))
    {
        return;
    }
    // The new primary may lack the end of the former primary's log; its own
    // log then reuses the same offsets.
    while (!samples_.empty() &&
           samples_.back().position.offset > position.offset) {
        samples_.pop_back();
    }
    // The interval is measured from the sample before the last; otherwise
    // frequent samples would always replace each other and none would be kept.
    const auto is_close =
        samples_.size() > 1 &&
        asked_at - std::prev(samples_.end(), 2)->at < min_sample_interval;
    if (is_close) {
        samples_.pop_back();
    }
    samples_.push_back({asked_at, position});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

auto primary_history::above(log_position position) const
    -> std::deque<primary_sample>::const_iterator
{
    // `add` keeps the samples in order of both term and offset.
    return std::partition_point(samples_.begin(), samples_.end(),
                                [&](const auto& sample) {
                                    return satisfies(position, sample.position);
                                });
}

auto primary_history::age(time_point now, log_position replayed) const
    -> std::optional<duration>
{
    const auto next = above(replayed);
    if (next == samples_.begin()) {
        return std::nullopt;
    }
    return now - std::prev(next)->at;
}

auto primary_history::floor_for_age(time_point now, duration max_age) const
    -> std::optional<log_position>
{
    const auto found = std::lower_bound(
        samples_.begin(), samples_.end(), now - max_age,
        [](const auto& sample, time_point at) { return sample.at < at; });
    if (found == samples_.end()) {
        return std::nullopt;
    }
    return found->position;
}

auto primary_history::newest() const -> std::optional<primary_sample>
{
    if (samples_.empty()) {
        return std::nullopt;
    }
    return samples_.back();
}

auto primary_history::estimated_time(log_position position) const
    -> std::optional<time_point>
{
    const auto next = above(position);
    if (next == samples_.begin() || next == samples_.end()) {
        return std::nullopt;
    }
    const auto before = std::prev(next);
    if (before->position.group_term != next->position.group_term) {
        return before->at;
    }
    const auto done = static_cast<double>(position.offset.value() -
                                          before->position.offset.value());
    const auto whole = static_cast<double>(next->position.offset.value() -
                                           before->position.offset.value());
    const auto step = static_cast<double>((next->at - before->at).count());
    return before->at +
           duration(static_cast<duration::rep>(step * done / whole));
}

auto primary_history::estimated_lag(time_point asked_at,
                                    log_position replayed) const -> duration
{
    const auto written = estimated_time(replayed);
    if (!written) {
        return duration{};
    }
    return std::max(asked_at - *written, duration{});
}

auto primary_history::behind_newest(log_position replayed) const -> duration
{
    const auto next = above(replayed);
    return next == samples_.end() ? duration{} : samples_.back().at - next->at;
}

auto check_read(time_point now, const read_requirements& requirements,
                const primary_history& history, log_position replayed)
    -> read_fitness
{
    if (requirements.floor && !satisfies(replayed, *requirements.floor)) {
        return read_fitness::behind_floor;
    }
    if (requirements.max_age > duration{}) {
        const auto age = history.age(now, replayed);
        if (!age || *age > requirements.max_age) {
            return read_fitness::too_old;
        }
    }
    return read_fitness::fit;
}

} // namespace rhubarbrun::inline v1
