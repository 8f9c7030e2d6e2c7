#include <rhubarbrun/coordination/lease_holder.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

lease_holder::lease_holder(proxy_identity self, time_point started_at)
    : self_(std::move(self)), started_at_(started_at), last_contact_(started_at)
{
}

auto lease_holder::make_request(time_point now, log_index directory_index) const
    -> lease_request
{
    return {self_, now.time_since_epoch().count(), directory_index};
}

auto lease_holder::on_grant(time_point now, const lease_answer& answer,
                            log_index directory_index) -> grant_outcome
{
    const auto sent_at = time_point(duration(answer.sent_at_us));
    if (answer.proxy != self_ || is_abandoned_ || sent_at > now ||
        sent_at < started_at_)
    {
        return grant_outcome::ignored;
    }
    if (answer.status != lease_status::granted) {
        return grant_outcome::refused;
    }
    last_contact_ = std::max(last_contact_, sent_at);
    if (directory_index < answer.required_index) {
        return grant_outcome::directory_behind;
    }
    const auto margin = answer.duration_us / clock_margin_divisor;
    const auto until = sent_at + duration(answer.duration_us - margin);
    if (until <= valid_until_) {
        return grant_outcome::ignored;
    }
    valid_until_ = until;
    live_others_ = answer.live_others;
    return grant_outcome::extended;
}

auto lease_holder::abandon() noexcept -> void
{
    is_abandoned_ = true;
    valid_until_ = time_point::min();
}

} // namespace rhubarbrun::inline v1
