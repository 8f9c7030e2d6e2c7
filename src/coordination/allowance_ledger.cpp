#include <rhubarbrun/coordination/allowance_ledger.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Resolution of the account of used tokens. It is counted so that less is
/// granted.
constexpr auto use_interval_length = milliseconds(100);
/// Interval of the search for tokens that expired.
constexpr auto expiry_check_interval = milliseconds(100);
/// A proxy asks again after this long for an organisation that the ledger's
/// configuration lacks.
constexpr auto unknown_retry = milliseconds(200);
/// Longest time in milliseconds that a proxy is told, beyond the latency
/// objective of any operation.
constexpr auto max_wait_ms = 10'000.0;
/// Part of the tokens that proxies may hold above which idle ones are asked
/// back.
constexpr auto scarce_part = 0.5;
/// The same for the part of the stock that is left.
constexpr auto scarce_room_part = 0.25;
/// Part of the room for tokens at proxies that one report can take, so that one
/// proxy does not take what others need at the same moment.
constexpr auto max_part_of_room = 0.25;

} // namespace

allowance_ledger::allowance_ledger(allowance_terms terms) : terms_(terms) {}

auto allowance_ledger::begin(time_point now, std::uint64_t number,
                             time_point earlier_expired_at) -> void
{
    number_ = number;
    began_at_ = now;
    earlier_expired_at_ = earlier_expired_at;
    holders_.clear();
    for (auto& [id, each] : accounts_) {
        each.known_since = std::max(now, earlier_expired_at);
        each.exchanged = 0;
        each.used = 0;
        each.recent.clear();
        each.outstanding = 0;
        each.waiting = 0;
        each.earlier = max_outstanding_tokens(each.allowance, terms_);
    }
}

auto allowance_ledger::end() -> void
{
    number_ = 0;
}

auto allowance_ledger::set_allowances(time_point now,
                                      allowance_table allowances) -> void
{
    // An organisation that comes back soon continues with what it has used.
    std::erase_if(accounts_, [&](const auto& each) {
        return !allowances.contains(each.first) && each.second.removed_at &&
               now - *each.second.removed_at >
                   terms_.window + token_lifetime + token_lifetime_margin;
    });
    for (auto& [id, each] : accounts_) {
        if (!allowances.contains(id) && !each.removed_at) {
            each.removed_at = now;
        }
    }
    for (const auto& [id, allowance] : allowances) {
        const auto [place, is_new] = accounts_.try_emplace(id);
        auto& each = place->second;
        each.removed_at.reset();
        if (!is_new) {
            if (each.allowance != allowance) {
                std::erase_if(each.former, [&](const auto& older) {
                    return now - older.until > terms_.window;
                });
                each.former.push_back(
                    {std::exchange(each.allowance, allowance), now});
            }
            continue;
        }
        each.allowance = allowance;
        each.known_since = std::max(now, earlier_expired_at_);
        each.earlier = max_outstanding_tokens(allowance, terms_);
        // Proxies may still hold tokens from an earlier configuration.
        for (const auto& [key, from] : holders_) {
            if (const auto held = from.tokens.find(id);
                held != from.tokens.end()) {
                each.outstanding += held->second.left();
                each.waiting += held->second.waiting;
            }
        }
    }
}

auto allowance_ledger::room_of(time_point now, const account& of) const
    -> double
{
    if (now < of.known_since) {
        return 0;
    }
    // Tokens that may be used or held in a span. One that began under a former
    // allowance is measured by it: a lower one binds from its change on.
    const auto permitted = [&](duration span) {
        const auto seconds = std::chrono::duration<double>(span).count();
        const auto by = [&](const operation_allowance& each) {
            return max_tokens(each, terms_) + each.rate_per_second * seconds;
        };
        auto most = by(of.allowance);
        for (const auto& each : of.former) {
            if (now - span < each.until) {
                most = std::max(most, by(each.allowance));
            }
        }
        return most;
    };
    const auto held = static_cast<double>(of.outstanding);
    auto room = permitted(duration::zero()) - of.earlier - held;
    auto used = 0.0;
    for (auto each = of.recent.rbegin(); each != of.recent.rend(); ++each) {
        // Shortest span that may hold a use of this interval.
        const auto span = std::max<duration>(
            now - each->begin - use_interval_length, duration::zero());
        if (span >= terms_.window) {
            break;
        }
        used += static_cast<double>(each->used);
        room = std::min(room, permitted(span) - of.earlier - held - used);
    }
    const auto known = now - of.known_since;
    if (known < terms_.window) {
        const auto accrued = of.allowance.rate_per_second *
                             std::chrono::duration<double>(known).count();
        room = std::min(room, accrued + of.exchanged - held -
                                  static_cast<double>(of.used));
    }
    return room;
}

auto allowance_ledger::expire_holders(time_point now) -> void
{
    if (now < next_expiry_check_) {
        return;
    }
    next_expiry_check_ = now + expiry_check_interval;
    std::erase_if(holders_, [&](const auto& each) {
        if (now < each.second.expires) {
            return false;
        }
        for (const auto& [id, held] : each.second.tokens) {
            if (const auto found = accounts_.find(id); found != accounts_.end())
            {
                // They may have been used without a report.
                note_use(now, found->second, held.left());
                found->second.outstanding -= held.left();
                found->second.waiting -= held.waiting;
            }
        }
        return true;
    });
}

auto allowance_ledger::note_use(time_point now, account& of,
                                std::uint64_t count) const -> void
{
    if (count == 0) {
        return;
    }
    of.used += count;
    while (!of.recent.empty() &&
           now - of.recent.front().begin > terms_.window + use_interval_length)
    {
        of.recent.pop_front();
    }
    if (of.recent.empty() ||
        now - of.recent.back().begin >= use_interval_length) {
        of.recent.push_back({now, 0});
    }
    of.recent.back().used += count;
}

auto allowance_ledger::expire_earlier(time_point now, account& of) const -> void
{
    const auto expired_at = began_at_ + token_lifetime + token_lifetime_margin;
    if (now < expired_at || of.earlier <= 0) {
        return;
    }
    const auto count =
        static_cast<std::uint64_t>(std::ceil(std::exchange(of.earlier, 0.0)));
    if (now - expired_at < terms_.window) {
        // They may have been used until they expired.
        note_use(now, of, count);
    }
}

auto allowance_ledger::book(time_point now, account& of, totals& held,
                            const allowance_use& use) const -> void
{
    // A report that arrives after a later one has lower totals.
    const auto used = std::max(held.used, use.used) - held.used;
    const auto returned = std::max(held.returned, use.returned) - held.returned;
    const auto left = held.left();
    const auto booked_use = std::min(used, left);
    const auto booked_return = std::min(returned, left - booked_use);
    of.waiting += use.waiting;
    of.waiting -= held.waiting;
    held.waiting = use.waiting;
    held.used += booked_use;
    held.returned += booked_return;
    of.outstanding -= booked_use + booked_return;
    note_use(now, of, booked_use);
    if (use.exchanged > held.exchanged) {
        const auto given_up = std::min(
            static_cast<double>(use.exchanged - held.exchanged), of.earlier);
        held.exchanged = use.exchanged;
        of.earlier -= given_up;
        of.exchanged += given_up;
    }
}

auto allowance_ledger::grant(time_point now, account& of, totals& held,
                             const allowance_use& use) -> granted_tokens
{
    auto result = granted_tokens{use.organisation};
    const auto most = max_outstanding_tokens(of.allowance, terms_);
    const auto available = room_of(now, of);
    const auto room = std::clamp(most - static_cast<double>(of.outstanding),
                                 0.0, std::max(available, 0.0));
    const auto at_once = std::max(std::floor(room * max_part_of_room), 1.0);
    // While operations wait, tokens go to them before any reserve.
    const auto wanted = available < static_cast<double>(of.waiting)
                            ? std::min(use.wanted, use.waiting)
                            : use.wanted;
    const auto possible = std::floor(std::min(room, at_once));
    const auto count =
        std::min<std::uint64_t>(wanted, static_cast<std::uint64_t>(possible));
    held.granted += count;
    of.outstanding += count;
    granted_total_ += count;
    const auto served = std::min<std::uint64_t>(count, held.waiting);
    held.waiting -= static_cast<std::uint32_t>(served);
    of.waiting -= served;
    shortages_ += count < use.wanted ? 1 : 0;
    result.total = held.granted;
    const auto is_held =
        static_cast<double>(of.outstanding) > most * scarce_part;
    const auto is_used = available - static_cast<double>(count) <
                         max_tokens(of.allowance, terms_) * scarce_room_part;
    result.is_scarce = is_held || is_used;
    result.retry_after_ms = wait_of(now, of);
    return result;
}

auto allowance_ledger::wait_of(time_point now, const account& of) const
    -> std::int64_t
{
    const auto missing = static_cast<double>(of.waiting) - room_of(now, of);
    if (missing <= 0) {
        return -1;
    }
    const auto rate = std::max<double>(of.allowance.rate_per_second, 1e-3);
    auto wait = missing / rate * 1000;
    if (now < earlier_expired_at_) {
        wait += static_cast<double>(to_milliseconds(earlier_expired_at_ - now));
    }
    return static_cast<std::int64_t>(std::min(std::ceil(wait), max_wait_ms));
}

auto allowance_ledger::on_report(time_point now, const allowance_report& report)
    -> std::optional<allowance_grant>
{
    if (number_ == 0) {
        return std::nullopt;
    }
    expire_holders(now);
    auto& from = holders_[{report.proxy, report.run}];
    // The proxy counts from when it sent the report, which was earlier.
    from.expires = now + token_lifetime + token_lifetime_margin;
    auto answer = allowance_grant{};
    answer.proxy = report.proxy;
    answer.run = report.run;
    answer.ledger = number_;
    answer.answers = report.number;
    for (const auto& use : report.uses) {
        const auto found = accounts_.find(use.organisation);
        if (found == accounts_.end()) {
            answer.tokens.push_back(
                {use.organisation, 0, unknown_retry.count(), false});
            continue;
        }
        auto& of = found->second;
        expire_earlier(now, of);
        auto& held = from.tokens[use.organisation];
        auto booked = use;
        if (report.ledger != number_) {
            // The totals are those of another ledger.
            booked.used = booked.returned = booked.exchanged = 0;
        }
        book(now, of, held, booked);
        if (of.removed_at) {
            answer.tokens.push_back(
                {use.organisation, held.granted, unknown_retry.count(), false});
            continue;
        }
        answer.tokens.push_back(grant(now, of, held, use));
    }
    return answer;
}

} // namespace rhubarbrun::inline v1
