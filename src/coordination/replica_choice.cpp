#include <rhubarbrun/coordination/replica_choice.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Replicas whose network delay differs by less than this are equally near;
/// delays within a region vary by about this amount.
constexpr auto distance_tolerance = duration(std::chrono::milliseconds(2));

/// A replica with this many statements per slot is overloaded. Four short reads
/// of about 4 ms take as long as the network delay to another region; with a
/// limit of two, stale reports exclude replicas that are free again.
constexpr auto acceptable_load_per_slot = 4U;

auto is_acceptable(const replica_candidate& candidate) -> bool
{
    return candidate.load < acceptable_load_per_slot * candidate.slots;
}

/// The nearest candidates that are not overloaded, or all if all are.
auto nearest_acceptable(const std::vector<replica_candidate>& candidates)
    -> std::vector<std::size_t>
{
    auto nearest = duration::max();
    for (const auto& candidate : candidates) {
        if (is_acceptable(candidate)) {
            nearest = std::min(nearest, candidate.distance);
        }
    }
    auto result = std::vector<std::size_t>{};
    for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
        const auto& candidate = candidates.at(index);
        if (nearest == duration::max() ||
            (is_acceptable(candidate) &&
             candidate.distance - nearest < distance_tolerance))
        {
            result.push_back(index);
        }
    }
    return result;
}

/// Keeps the nearest `wanted` candidates, equally near ones by name, so that
/// the same replicas serve the reads while they are fit.
auto keep_nearest(std::vector<replica_candidate>& candidates,
                  std::size_t wanted) -> void
{
    if (candidates.size() <= wanted) {
        return;
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& left, const auto& right) {
                         return left.distance < right.distance;
                     });
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(wanted),
                     candidates.end());
}

} // namespace

auto select_replica(const std::vector<replica_candidate>& candidates,
                    const random_function& random) -> std::size_t
{
    auto best = std::vector<std::size_t>{};
    for (const auto index : nearest_acceptable(candidates)) {
        const auto outstanding = candidates.at(index).outstanding;
        const auto least = best.empty()
                               ? outstanding
                               : candidates.at(best.front()).outstanding;
        if (outstanding < least) {
            best.clear();
        }
        if (outstanding <= least) {
            best.push_back(index);
        }
    }
    return random ? best.at(random() % best.size()) : best.front();
}

replica_choice::replica_choice(replica_choice_options options)
    : options_(std::move(options))
{
    if (!options_.selector) {
        options_.selector = select_replica;
    }
}

auto replica_choice::on_primary_position(time_point asked_at,
                                         log_position position) -> void
{
    history_.add(asked_at, position);
}

auto replica_choice::on_report(time_point now, replica_report report) -> void
{
    auto& entry = replicas_[report.target];
    entry.report = std::move(report);
    entry.sent_since = 0;
    update_exclusion(now, entry);
}

auto replica_choice::on_replayed(time_point asked_at, const target_id& target,
                                 log_position position) -> void
{
    const auto found = replicas_.find(target);
    if (found == replicas_.end() || position < found->second.report.replayed) {
        return;
    }
    found->second.report.replayed = position;
    found->second.report.replayed_at =
        std::max(found->second.report.replayed_at, asked_at);
}

auto replica_choice::required_position(
    time_point now, const read_requirements& requirements) const
    -> std::optional<log_position>
{
    if (requirements.max_age <= duration{}) {
        return requirements.floor;
    }
    const auto by_age = history_.floor_for_age(now, requirements.max_age);
    if (!by_age) {
        return std::nullopt;
    }
    return join(requirements.floor.value_or(*by_age), *by_age);
}

auto replica_choice::update_exclusion(time_point now, replica& entry) -> void
{
    const auto behind = history_.behind_newest(entry.report.replayed);
    if (behind > options_.exclusion_lag) {
        entry.is_excluded = true;
    }
    if (!entry.is_excluded) {
        return;
    }
    if (behind >= options_.readmission_lag) {
        entry.below_readmission_lag_since.reset();
        return;
    }
    if (!entry.below_readmission_lag_since) {
        entry.below_readmission_lag_since = now;
    }
    if (now - *entry.below_readmission_lag_since >= options_.readmission_delay)
    {
        entry.is_excluded = false;
        entry.below_readmission_lag_since.reset();
    }
}

auto replica_choice::on_removed(const target_id& target) -> void
{
    replicas_.erase(target);
}

auto replica_choice::is_usable(time_point now, const replica& entry) const
    -> bool
{
    return !entry.is_excluded &&
           now - entry.report.replayed_at <= options_.report_ttl;
}

auto replica_choice::choose(time_point now,
                            const read_requirements& requirements) -> read_route
{
    if (requirements.replicas_wanted == 0) {
        return {read_target::primary, std::nullopt, {}};
    }
    auto candidates = std::vector<replica_candidate>{};
    for (const auto& [target, entry] : replicas_) {
        if (is_usable(now, entry) &&
            check_read(now, requirements, history_, entry.report.replayed) ==
                read_fitness::fit)
        {
            const auto load = std::max(entry.report.load + entry.sent_since,
                                       entry.outstanding);
            candidates.push_back({target, entry.report.distance,
                                  std::max(entry.report.slots, 1U), load,
                                  entry.outstanding});
        }
    }
    if (candidates.empty()) {
        return wait_for_floor(now, requirements);
    }
    keep_nearest(candidates, requirements.replicas_wanted);
    const auto index = options_.selector(candidates, options_.random);
    const auto& target = candidates.at(index).target;
    record_sent(target);
    return {read_target::replica, target, {}};
}

auto replica_choice::wait_for_floor(time_point now,
                                    const read_requirements& requirements)
    -> read_route
{
    auto best = read_route{read_target::primary, std::nullopt, {}};
    for (const auto& [target, entry] : replicas_) {
        if (!is_usable(now, entry)) {
            continue;
        }
        const auto wait = expected_wait(now, requirements, entry);
        if (wait && (!best.target || *wait < best.wait)) {
            best = {read_target::replica_after_wait, target, *wait};
        }
    }
    if (best.target) {
        record_sent(*best.target);
        // The estimate is too low in half of the cases, and a read that the
        // owner refuses costs more than one that waits longer.
        best.wait = options_.max_floor_wait;
    }
    return best;
}

auto replica_choice::expected_wait(time_point now,
                                   const read_requirements& requirements,
                                   const replica& entry) const
    -> std::optional<duration>
{
    const auto fitness =
        check_read(now, requirements, history_, entry.report.replayed);
    if (fitness != read_fitness::behind_floor) {
        return std::nullopt;
    }
    if (requirements.max_age > duration{} &&
        now - entry.report.replayed_at > requirements.max_age)
    {
        return std::nullopt;
    }
    // The replica replays the floor about one replication lag after it was
    // written. A floor above all samples is taken as written now.
    const auto lag =
        history_.estimated_lag(entry.report.replayed_at, entry.report.replayed);
    const auto written =
        history_.estimated_time(*requirements.floor).value_or(now);
    const auto wait = std::max(written + lag - now, duration{});
    if (wait > options_.max_floor_wait ||
        now + options_.max_floor_wait >= requirements.deadline)
    {
        return std::nullopt;
    }
    return wait;
}

auto replica_choice::record_sent(const target_id& target) -> void
{
    auto& entry = replicas_.at(target);
    ++entry.outstanding;
    ++entry.sent_since;
}

auto replica_choice::on_answered(const target_id& target, std::uint32_t load)
    -> void
{
    const auto found = replicas_.find(target);
    if (found == replicas_.end()) {
        return;
    }
    found->second.report.load = load;
    found->second.sent_since = 0;
    on_failed(target);
}

auto replica_choice::on_failed(const target_id& target) -> void
{
    const auto found = replicas_.find(target);
    if (found != replicas_.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

auto replica_choice::is_excluded(const target_id& target) const -> bool
{
    const auto found = replicas_.find(target);
    return found != replicas_.end() && found->second.is_excluded;
}

} // namespace rhubarbrun::inline v1
