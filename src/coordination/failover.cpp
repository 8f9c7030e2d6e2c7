#include <rhubarbrun/coordination/failover.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

auto rank(const server_status& status) noexcept
{
    return std::tuple(status.timeline, status.position);
}

} // namespace

auto to_string(failover_phase phase) noexcept -> std::string_view
{
    switch (phase) {
    case failover_phase::watching:
        return "watching";
    case failover_phase::confirming:
        return "confirming";
    case failover_phase::collecting:
        return "collecting";
    case failover_phase::proposing:
        return "proposing";
    case failover_phase::finished:
        return "finished";
    }
    return "unknown";
}

failover::failover(failover_group group, failover_options options)
    : group_(std::move(group)), options_(options)
{
}

auto failover::on_suspected(time_point now, std::vector<proxy_id> live_proxies)
    -> std::vector<failover_action>
{
    if (phase_ != failover_phase::watching) {
        return {};
    }
    phase_ = failover_phase::confirming;
    live_proxies_ = std::move(live_proxies);
    suspected_at_ = now;
    asked_count_ = 0;
    // Asks one proxy more than needed, because one of them may have failed.
    batch_size_ = options_.min_confirmations + 1;
    confirming_proxies_.clear();
    if (is_confirmed()) {
        return start_collecting(now);
    }
    return ask_next_batch(now);
}

auto failover::start_planned(time_point now) -> std::vector<failover_action>
{
    if (phase_ != failover_phase::watching) {
        return {};
    }
    is_fenced_ = true;
    return start_collecting(now);
}

auto failover::on_primary_answered() -> std::vector<failover_action>
{
    const auto may_resume =
        !is_fenced_ && (phase_ == failover_phase::confirming ||
                        phase_ == failover_phase::collecting);
    if (!may_resume) {
        return {};
    }
    phase_ = failover_phase::watching;
    statuses_.clear();
    candidate_since_.reset();
    return {resume_primary{}};
}

auto failover::on_confirmation(time_point now, const proxy_id& proxy,
                               bool is_reachable)
    -> std::vector<failover_action>
{
    const auto is_asked = std::find(live_proxies_.begin(), live_proxies_.end(),
                                    proxy) != live_proxies_.end();
    if (phase_ != failover_phase::confirming || !is_asked) {
        return {};
    }
    if (is_reachable) {
        phase_ = failover_phase::watching;
        return {release_primary{proxy}};
    }
    confirming_proxies_.insert(proxy);
    return is_confirmed() ? start_collecting(now)
                          : std::vector<failover_action>{};
}

auto failover::on_status(time_point now, const target_id& target,
                         const server_status& status)
    -> std::vector<failover_action>
{
    const auto is_member = std::find(group_.others.begin(), group_.others.end(),
                                     target) != group_.others.end();
    if (phase_ != failover_phase::collecting || !is_member) {
        return {};
    }
    statuses_[target] = status;
    return tick(now);
}

auto failover::on_proposal_answered(bool is_accepted) -> void
{
    if (phase_ != failover_phase::proposing) {
        return;
    }
    if (is_accepted) {
        phase_ = failover_phase::finished;
        return;
    }
    phase_ = failover_phase::collecting;
    statuses_.clear();
    candidate_since_.reset();
}

auto failover::tick(time_point now) -> std::vector<failover_action>
{
    const auto is_repeat_due =
        now - last_request_at_ >= options_.retry_interval;
    switch (phase_) {
    case failover_phase::confirming:
        return tick_confirmation(now);
    case failover_phase::collecting: {
        if (candidate()) {
            if (!candidate_since_) {
                candidate_since_ = now;
            }
            const auto is_complete = missing_statuses().empty();
            const auto has_waited =
                now - *candidate_since_ >= options_.collection_timeout;
            if (is_complete || has_waited) {
                return propose(now);
            }
        }
        if (is_repeat_due) {
            last_request_at_ = now;
            return {read_positions{missing_statuses()}};
        }
        return {};
    }
    case failover_phase::proposing:
        return is_repeat_due ? propose(now) : std::vector<failover_action>{};
    case failover_phase::watching:
    case failover_phase::finished:
        return {};
    }
    return {};
}

auto failover::candidate() const -> std::optional<target_id>
{
    auto best = statuses_.end();
    auto most_advanced = statuses_.end();
    const auto is_better = [this](const auto& entry, const auto& than) {
        return than == statuses_.end() ||
               rank(than->second) < rank(entry->second);
    };
    for (auto entry = statuses_.begin(); entry != statuses_.end(); ++entry) {
        if (!entry->second.is_in_recovery) {
            continue;
        }
        if (is_better(entry, most_advanced)) {
            most_advanced = entry;
        }
        const auto is_eligible = !group_.excluded.contains(entry->first);
        if (is_eligible && is_better(entry, best)) {
            best = entry;
        }
    }
    if (best == statuses_.end()) {
        return std::nullopt;
    }
    const auto is_safe = holds_acknowledged(best->second) ||
                         (missing_statuses().empty() &&
                          rank(best->second) == rank(most_advanced->second));
    return is_safe ? std::optional(best->first) : std::nullopt;
}

auto failover::ask_next_batch(time_point now) -> std::vector<failover_action>
{
    last_request_at_ = now;
    auto batch = std::vector<proxy_id>{};
    const auto wanted = std::min(batch_size_, live_proxies_.size());
    // All proxies that were asked first may have failed with their zone.
    // Doubling the batch reaches each of 17 other proxies in the third round.
    batch_size_ *= 2;
    while (batch.size() < wanted) {
        batch.push_back(live_proxies_[asked_count_ % live_proxies_.size()]);
        ++asked_count_;
    }
    return {ask_confirmation{std::move(batch)}};
}

auto failover::tick_confirmation(time_point now) -> std::vector<failover_action>
{
    // The number of live proxies may have fallen since the last call.
    if (is_confirmed()) {
        return start_collecting(now);
    }
    const auto may_stand_alone = !confirming_proxies_.empty() || !live_others_;
    const auto is_isolated =
        !may_stand_alone && now - suspected_at_ >= options_.isolation_timeout;
    if (is_isolated) {
        phase_ = failover_phase::watching;
        return {release_primary{std::nullopt}};
    }
    if (now - last_request_at_ < options_.confirmation_timeout) {
        return {};
    }
    return may_stand_alone && were_all_asked_twice() ? start_collecting(now)
                                                     : ask_next_batch(now);
}

auto failover::start_collecting(time_point now) -> std::vector<failover_action>
{
    phase_ = failover_phase::collecting;
    last_request_at_ = now;
    statuses_.clear();
    candidate_since_.reset();
    return {read_positions{group_.others}};
}

auto failover::propose(time_point now) -> std::vector<failover_action>
{
    const auto chosen = candidate();
    if (!chosen) {
        return {};
    }
    phase_ = failover_phase::proposing;
    is_fenced_ = true;
    last_request_at_ = now;
    return {propose_candidate{group_.current_term, *chosen}};
}

auto failover::is_confirmed() const noexcept -> bool
{
    const auto others = live_others_.value_or(live_proxies_.size());
    const auto wanted = std::min(options_.min_confirmations, others);
    return confirming_proxies_.size() >= wanted;
}

auto failover::were_all_asked_twice() const noexcept -> bool
{
    return asked_count_ >= 2 * live_proxies_.size();
}

auto failover::holds_acknowledged(const server_status& status) const -> bool
{
    if (group_.acknowledge == acknowledge_mode::primary) {
        return true;
    }
    const auto& floor = group_.highest_acknowledged;
    return floor && status.timeline == floor->timeline &&
           status.position >= floor->offset;
}

auto failover::missing_statuses() const -> std::vector<target_id>
{
    auto targets = std::vector<target_id>{};
    for (const auto& target : group_.others) {
        if (!statuses_.contains(target)) {
            targets.push_back(target);
        }
    }
    return targets;
}

} // namespace rhubarbrun::inline v1
