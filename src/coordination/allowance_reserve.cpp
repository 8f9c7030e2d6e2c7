#include <rhubarbrun/coordination/allowance_reserve.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Shortest time between two reports while operations wait for tokens; several
/// of them share a report.
constexpr auto urgent_interval = milliseconds(20);
/// The same while tokens are about to run out.
constexpr auto refill_interval = milliseconds(100);
/// Reports keep the tokens valid and tell the ledger what was used.
constexpr auto usual_interval = milliseconds(800);
/// The same if the ledger needs to know soon which tokens were used.
constexpr auto scarce_interval = milliseconds(150);
/// Tokens of an organisation without operations for this long are given back:
/// most of `token_lifetime`, and soon if other proxies need them.
constexpr auto idle_time = milliseconds(2000);
constexpr auto scarce_idle_time = milliseconds(150);
/// Time over which recent operations are counted.
constexpr auto demand_time = std::chrono::duration<double>(1);
/// Seconds of recent demand to hold, and the same while tokens are scarce.
constexpr auto usual_horizon = 1.0;
constexpr auto scarce_horizon = 0.3;
/// An organisation with less than this part of an operation in the last second
/// is forgotten.
constexpr auto forgotten_demand = 1e-3;
/// The time of the next report is looked for again after this long.
constexpr auto due_validity = milliseconds(10);
/// Longest time between two urgent reports while none is answered, as a power
/// of two of `urgent_interval`.
constexpr auto max_unanswered_doublings = std::uint32_t{3};
/// Longest wait that an answer can state, so that a wrong one passes.
constexpr auto max_expected_wait = std::chrono::seconds(10);
/// Answers to older reports than these are ignored.
constexpr auto max_remembered_reports = std::size_t{32};

} // namespace

allowance_reserve::allowance_reserve(std::string proxy, std::uint64_t first_run)
    : proxy_(std::move(proxy)), run_(first_run)
{
}

auto allowance_reserve::set_allowances(allowance_table allowances) -> void
{
    for (const auto& [id, old] : allowances_) {
        const auto found = allowances.find(id);
        const auto is_lowered =
            found == allowances.end() ||
            found->second.rate_per_second < old.rate_per_second ||
            found->second.burst < old.burst;
        if (!is_lowered) {
            continue;
        }
        // What is held may exceed all that the new allowance permits.
        if (const auto held = current_.tokens.find(id);
            held != current_.tokens.end()) {
            held->second.returned += held->second.left();
        }
    }
    allowances_ = std::move(allowances);
    // Earlier answers say nothing about the new allowances.
    for (auto& [id, each] : demands_) {
        each.expected_at = {};
        each.is_scarce = false;
    }
    is_due_known_ = false;
}

auto allowance_reserve::expire(time_point now) -> void
{
    if (current_.ledger != 0 && now >= current_.expires) {
        current_ = {};
        ++run_;
        sent_at_.clear();
        last_uses_.clear();
        for (auto& [id, each] : demands_) {
            each.confirmed = 0;
        }
    }
}

auto allowance_reserve::left(const organisation_id& organisation) const
    -> std::uint64_t
{
    const auto found = current_.tokens.find(organisation);
    return found == current_.tokens.end() ? 0 : found->second.left();
}

auto allowance_reserve::held() const -> std::uint64_t
{
    auto count = std::uint64_t{0};
    for (const auto& [id, each] : current_.tokens) {
        count += each.left();
    }
    return count;
}

auto allowance_reserve::decayed(time_point now, const demand& of) -> double
{
    const auto passed =
        std::chrono::duration<double>(now - of.counted_at) / demand_time;
    return of.recent * std::exp(-passed);
}

auto allowance_reserve::target(time_point now, const demand& of)
    -> std::uint64_t
{
    const auto recent = decayed(now, of);
    if (of.is_scarce) {
        return static_cast<std::uint64_t>(std::round(recent * scarce_horizon));
    }
    const auto is_idle = now - of.counted_at >= idle_time;
    return is_idle ? 0
                   : 1 + static_cast<std::uint64_t>(
                             std::ceil(recent * usual_horizon));
}

auto allowance_reserve::take(time_point now,
                             const organisation_id& organisation, bool is_first,
                             duration max_wait) -> admission_verdict
{
    if (!allowances_.contains(organisation)) {
        return admission_verdict::admitted;
    }
    expire(now);
    auto& wanted = demands_[organisation];
    if (is_first) {
        wanted.recent = decayed(now, wanted) + 1;
        wanted.counted_at = now;
    }
    const auto found = current_.tokens.find(organisation);
    if (found != current_.tokens.end() && found->second.left() > 0) {
        ++found->second.used;
        is_due_known_ &= found->second.left() > 0;
        return admission_verdict::admitted;
    }
    if (wanted.expected_at - now > max_wait) {
        return admission_verdict::refused;
    }
    return admission_verdict::waiting;
}

auto allowance_reserve::wait(const organisation_id& organisation)
    -> std::shared_ptr<void>
{
    const auto count = demands_[organisation].waiting;
    ++*count;
    is_due_known_ = false;
    return {count.get(), [count](void*) {
                --*count;
            }};
}

auto allowance_reserve::refund(const organisation_id& organisation) -> void
{
    const auto found = current_.tokens.find(organisation);
    if (found != current_.tokens.end() && found->second.used > 0) {
        --found->second.used;
    }
}

auto allowance_reserve::retry_after(time_point now,
                                    const organisation_id& organisation) const
    -> duration
{
    const auto found = demands_.find(organisation);
    return found == demands_.end()
               ? duration::zero()
               : std::max<duration>(found->second.expected_at - now,
                                    duration::zero());
}

auto allowance_reserve::is_report_needed(const organisation_id& organisation,
                                         const demand& of) const -> bool
{
    const auto found = current_.tokens.find(organisation);
    return found != current_.tokens.end() &&
           (found->second.left() > 0 ||
            found->second.settled() != of.confirmed);
}

auto allowance_reserve::next_report(time_point now) const -> time_point
{
    // Called with each event of the process.
    if (!is_due_known_ || now - due_found_at_ >= due_validity) {
        due_ = find_next_report(now);
        due_found_at_ = now;
        is_due_known_ = true;
    }
    return due_;
}

auto allowance_reserve::find_next_report(time_point now) const -> time_point
{
    const auto factor = std::int64_t{1}
                        << std::min(unanswered_, max_unanswered_doublings);
    if (is_exchanging_) {
        return last_report_at_ + urgent_interval * factor;
    }
    auto due = time_point::max();
    for (const auto& [id, wanted] : demands_) {
        const auto held = left(id);
        if (held == 0 && *wanted.waiting > 0) {
            return last_report_at_ + urgent_interval * factor;
        }
        if (2 * held < target(now, wanted)) {
            due = std::min<time_point>(
                due, last_report_at_ +
                         std::max(refill_interval, urgent_interval * factor));
        }
        if (is_report_needed(id, wanted)) {
            due = std::min<time_point>(
                due, last_report_at_ +
                         (wanted.is_scarce ? scarce_interval : usual_interval));
        }
    }
    return due;
}

auto allowance_reserve::return_idle(time_point now,
                                    const organisation_id& organisation,
                                    const demand& of) -> void
{
    const auto found = current_.tokens.find(organisation);
    const auto limit = of.is_scarce ? scarce_idle_time : idle_time;
    if (found != current_.tokens.end() && now - of.counted_at >= limit) {
        found->second.returned += found->second.left();
    }
}

auto allowance_reserve::make_report(time_point now) -> allowance_report
{
    expire(now);
    auto report = allowance_report{};
    report.proxy = proxy_;
    report.run = run_;
    report.ledger = current_.ledger;
    report.number = ++last_report_;
    last_report_at_ = now;
    sent_at_[report.number] = now;
    if (sent_at_.size() > max_remembered_reports) {
        sent_at_.erase(sent_at_.begin());
    }
    std::erase_if(demands_, [&](const auto& each) {
        return *each.second.waiting == 0 &&
               !is_report_needed(each.first, each.second) &&
               decayed(now, each.second) < forgotten_demand;
    });
    for (auto& [id, wanted] : demands_) {
        return_idle(now, id, wanted);
        auto use = allowance_use{id};
        if (const auto found = current_.tokens.find(id);
            found != current_.tokens.end()) {
            use.used = found->second.used;
            use.returned = found->second.returned;
            use.exchanged = found->second.exchanged;
        }
        use.waiting = *wanted.waiting;
        const auto needed = target(now, wanted) + use.waiting;
        const auto held = left(id);
        use.wanted =
            static_cast<std::uint32_t>(needed > held ? needed - held : 0);
        const auto settled = use.used + use.returned + use.exchanged;
        if (use.wanted > 0 || settled != wanted.confirmed) {
            report.uses.push_back(std::move(use));
        }
    }
    last_uses_ = report.uses;
    is_exchanging_ = false;
    is_due_known_ = false;
    ++unanswered_;
    return report;
}

auto allowance_reserve::exchange(pool next) -> void
{
    for (const auto& [id, each] : current_.tokens) {
        if (each.left() > 0) {
            next.tokens[id].exchanged = each.left();
            is_exchanging_ = true;
        }
    }
    current_ = std::move(next);
    for (auto& [id, each] : demands_) {
        each.confirmed = 0;
        each.expected_at = {};
    }
}

auto allowance_reserve::on_grant(time_point now, const allowance_grant& grant)
    -> void
{
    expire(now);
    const auto sent = sent_at_.find(grant.answers);
    if (grant.run != run_ || sent == sent_at_.end() ||
        grant.ledger < current_.ledger)
    {
        return;
    }
    is_due_known_ = false;
    const auto expires = sent->second + token_lifetime;
    if (now >= expires) {
        return;
    }
    if (grant.ledger > current_.ledger) {
        exchange(pool{grant.ledger, expires, {}});
    } else if (grant.answers == last_report_) {
        for (const auto& each : last_uses_) {
            demands_[each.organisation].confirmed =
                each.used + each.returned + each.exchanged;
        }
    }
    current_.expires = std::max(current_.expires, expires);
    auto has_shortage = false;
    for (const auto& each : grant.tokens) {
        auto& wanted = demands_[each.organisation];
        auto& held = current_.tokens[each.organisation];
        held.granted = std::max(held.granted, each.total);
        has_shortage |= held.left() == 0 && *wanted.waiting > 0;
        wanted.is_scarce = each.is_scarce;
        wanted.expected_at = now;
        if (each.retry_after_ms >= 0) {
            wanted.expected_at =
                now + std::clamp<duration>(milliseconds(each.retry_after_ms),
                                           duration::zero(), max_expected_wait);
        }
    }
    // Without what it asked for, the proxy asks less and less often.
    unanswered_ = has_shortage ? unanswered_ : 0;
}

} // namespace rhubarbrun::inline v1
