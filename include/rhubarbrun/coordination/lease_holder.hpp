#ifndef RHUBARBRUN_COORDINATION_LEASE_HOLDER_HPP
#define RHUBARBRUN_COORDINATION_LEASE_HOLDER_HPP

#include <rhubarbrun/coordination/lease_messages.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Result of processing a grant.
enum class grant_outcome : std::uint8_t
{
    /// The lease lasts until `valid_until()`.
    extended,
    /// The grant has no effect: it is for another incarnation, is late, or does
    /// not answer a request of this holder.
    ignored,
    /// The directory is older than the grant requires. The lease is not
    /// extended, and the proxy has to fetch a delta.
    directory_behind,
    /// The leader refused the request; the status of the grant has the reason.
    refused,
};

/// Tracks, in the proxy, the lease that covers all targets it owns. Not
/// thread-safe.
class lease_holder
{
public:
    /// The lease ends early by this fraction of its length, 1/100, because the
    /// holder's clock may run slower than the leader's.
    static constexpr std::int64_t clock_margin_divisor = 100;

    /// Creates a holder without a lease; `started_at` counts as the first
    /// contact with control.
    lease_holder(proxy_identity self, time_point started_at);

    /// Returns the request to send at `now`.
    [[nodiscard]] auto make_request(time_point now,
                                    log_index directory_index) const
        -> lease_request;

    /// Processes the leader's answer, which arrived at `now`.
    ///
    /// The lease starts at the send time of the request, because the leader's
    /// lease starts later than that.
    auto on_grant(time_point now, const lease_answer& grant,
                  log_index directory_index) -> grant_outcome;

    /// Whether the lease is valid; check at the moment of each send to a
    /// primary and of each acknowledgement.
    [[nodiscard]] auto holds_at(time_point now) const noexcept -> bool
    {
        return now < valid_until_;
    }

    /// End of the lease by this proxy's clock.
    [[nodiscard]] auto valid_until() const noexcept -> time_point
    {
        return valid_until_;
    }

    /// Whether the leader has accepted a request within `silence`; otherwise
    /// the proxy is not ready and takes no new work.
    [[nodiscard]] auto has_contact(time_point now,
                                   duration silence) const noexcept -> bool
    {
        return now - last_contact_ < silence;
    }

    /// Other proxies with a live lease as of the latest grant, if known.
    [[nodiscard]] auto live_others() const noexcept
        -> std::optional<std::uint32_t>
    {
        return live_others_;
    }

    /// Ends the lease immediately, for a shutdown.
    auto abandon() noexcept -> void;

private:
    proxy_identity self_;
    time_point started_at_;
    time_point last_contact_;
    time_point valid_until_ = time_point::min();
    std::optional<std::uint32_t> live_others_;
    bool is_abandoned_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
