#include <rhubarbrun/coordination/lease_table.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

auto lease_table::start_leading(time_point now, duration longest_lease,
                                const std::vector<proxy_identity>& proxies,
                                log_index applied) -> void
{
    stop_leading();
    is_leading_ = true;
    for (const auto& proxy : proxies) {
        admit(now, longest_lease, proxy, applied);
    }
}

auto lease_table::stop_leading() -> void
{
    is_leading_ = false;
    leases_.clear();
    expiries_.clear();
}

auto lease_table::admit(time_point now, duration length,
                        const proxy_identity& proxy, log_index applied) -> void
{
    if (!is_leading_) {
        return;
    }
    const auto [place, is_new] = leases_.try_emplace(proxy);
    if (is_new) {
        place->second.required_index = applied;
        place->second.expires_at = now + length;
        expiries_.emplace(now + length, proxy);
    }
}

auto lease_table::renew(time_point now, duration length, bool has_leader_lease,
                        const lease_request& request, log_index applied)
    -> lease_answer
{
    auto answer = lease_answer{};
    answer.proxy = request.proxy;
    answer.sent_at_us = request.sent_at_us;
    answer.directory_index = applied;
    if (!is_leading_ || !has_leader_lease) {
        answer.status = lease_status::not_leading;
        return answer;
    }
    const auto found = leases_.find(request.proxy);
    if (found == leases_.end()) {
        answer.status = lease_status::unknown_proxy;
        return answer;
    }
    auto& known = found->second;
    if (known.phase == lease_phase::expired) {
        answer.status = lease_status::reassigning;
        return answer;
    }
    // No decision depends yet on a lease that has expired but that
    // `take_expired` has not returned, so the lease may be extended.
    extend(request.proxy, known, now + length);
    answer.status = lease_status::granted;
    answer.duration_us = length.count();
    answer.required_index = known.required_index;
    answer.live_others = live_others(now, request.proxy.id);
    return answer;
}

auto lease_table::extend(const proxy_identity& proxy, lease& known,
                         time_point until) -> void
{
    if (known.phase == lease_phase::live) {
        expiries_.erase({known.expires_at, proxy});
        // A bundle with a shorter lease does not shorten a granted lease.
        until = std::max(until, known.expires_at);
    }
    known.phase = lease_phase::live;
    known.expires_at = until;
    expiries_.emplace(until, proxy);
}

auto lease_table::take_expired(time_point now) -> std::vector<proxy_identity>
{
    auto expired = std::vector<proxy_identity>();
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto& proxy = expiries_.begin()->second;
        leases_.at(proxy).phase = lease_phase::expired;
        expired.push_back(proxy);
        expiries_.erase(expiries_.begin());
    }
    return expired;
}

auto lease_table::settle(const proxy_identity& proxy, log_index applied) -> void
{
    const auto found = leases_.find(proxy);
    if (found != leases_.end() && found->second.phase == lease_phase::expired) {
        found->second.phase = lease_phase::settled;
        found->second.required_index = applied;
    }
}

auto lease_table::block(const proxy_identity& proxy) -> void
{
    const auto found = leases_.find(proxy);
    if (found != leases_.end() && found->second.phase == lease_phase::settled) {
        found->second.phase = lease_phase::expired;
    }
}

auto lease_table::remove(const proxy_identity& proxy) -> void
{
    const auto found = leases_.find(proxy);
    if (found != leases_.end()) {
        expiries_.erase({found->second.expires_at, proxy});
        leases_.erase(found);
    }
}

auto lease_table::is_live(const proxy_identity& proxy) const -> bool
{
    const auto found = leases_.find(proxy);
    return found != leases_.end() && found->second.phase == lease_phase::live;
}

auto lease_table::is_expired(const proxy_identity& proxy) const -> bool
{
    const auto found = leases_.find(proxy);
    return found != leases_.end() &&
           found->second.phase == lease_phase::expired;
}

auto lease_table::live_others(time_point now, const proxy_id& proxy) const
    -> std::uint32_t
{
    // This runs for every renewal, so it visits only the leases that have
    // expired since the last `take_expired` and those of the proxy.
    auto count = expiries_.size();
    for (const auto& [expires_at, identity] : expiries_) {
        if (expires_at > now) {
            break;
        }
        --count;
    }
    for (auto own = leases_.lower_bound({proxy, incarnation()});
         own != leases_.end() && own->first.id == proxy; ++own)
    {
        const auto& known = own->second;
        if (known.phase == lease_phase::live && known.expires_at > now) {
            --count;
        }
    }
    return static_cast<std::uint32_t>(count);
}

auto lease_table::next_expiry() const -> std::optional<time_point>
{
    if (expiries_.empty()) {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

} // namespace rhubarbrun::inline v1
