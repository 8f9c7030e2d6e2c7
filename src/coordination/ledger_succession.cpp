#include <rhubarbrun/coordination/allowance_limits.hpp>
#include <rhubarbrun/coordination/ledger_succession.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto validity = token_lifetime + token_lifetime_margin;

} // namespace

ledger_succession::ledger_succession(time_point started_at)
    : started_at_(started_at)
{
}

auto ledger_succession::on_applied(time_point now, election_term elected)
    -> void
{
    if (elected <= newest_) {
        return;
    }
    ended_at_[newest_] = now;
    newest_ = elected;
    std::erase_if(ended_at_, [&](const auto& each) {
        return now - each.second > 2 * validity;
    });
}

auto ledger_succession::expired_at(election_term own) const -> time_point
{
    auto last_end = started_at_;
    auto last = ended_at_.lower_bound(own);
    // The tokens of the last leader before are allowed for. It is the newest
    // one as long as no entry of the own term is applied.
    if (newest_ >= own && last != ended_at_.begin()) {
        --last;
    }
    for (auto each = ended_at_.begin(); each != last; ++each) {
        last_end = std::max(last_end, each->second);
    }
    return last_end + validity;
}

} // namespace rhubarbrun::inline v1
