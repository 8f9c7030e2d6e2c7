#ifndef RHUBARBRUN_COORDINATION_LEASE_TABLE_HPP
#define RHUBARBRUN_COORDINATION_LEASE_TABLE_HPP

#include <rhubarbrun/coordination/lease_messages.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbrun::detail {
/// Defined by tests only, to inject faults that their checks must detect.
struct lease_test_access;
} // namespace rhubarbrun::detail

namespace rhubarbrun::inline v1 {

/// Tracks, in the leader, when each proxy's lease expires.
///
/// One lease per proxy covers all targets that it owns. A lease that has
/// expired is granted again only after `settle`, when nothing is assigned to
/// the proxy any more.
class lease_table
{
public:
    /// Starts with all leases treated as renewed at `now`.
    ///
    /// `longest_lease` is the longest that a former leader may have granted,
    /// `applied` the index up to which this leader has applied the log; it
    /// includes the leader's own first entry, hence all commands of former
    /// leaders that will ever take effect.
    auto start_leading(time_point now, duration longest_lease,
                       const std::vector<proxy_identity>& proxies,
                       log_index applied) -> void;

    /// Drops all leases; none is granted until `start_leading`.
    auto stop_leading() -> void;

    [[nodiscard]] auto is_leading() const noexcept -> bool
    {
        return is_leading_;
    }

    /// Adds a proxy that has registered, with a lease from `now`. An earlier
    /// incarnation keeps its lease until that expires.
    auto admit(time_point now, duration length, const proxy_identity& proxy,
               log_index applied) -> void;

    /// Answers a request. Grants only with the leader lease, that is while
    /// consensus rules out that there is another leader.
    auto renew(time_point now, duration length, bool has_leader_lease,
               const lease_request& request, log_index applied) -> lease_answer;

    /// Proxies whose lease has expired since the last call. From then on they
    /// are refused until they are settled.
    auto take_expired(time_point now) -> std::vector<proxy_identity>;

    /// Allows a proxy with an expired lease to be granted one again: as of
    /// `applied`, it owns nothing.
    auto settle(const proxy_identity& proxy, log_index applied) -> void;

    /// Reverts `settle`, before a target is reassigned away from a proxy
    /// without a live lease.
    auto block(const proxy_identity& proxy) -> void;

    /// Removes a proxy and its lease.
    auto remove(const proxy_identity& proxy) -> void;

    /// Whether the proxy is known and `take_expired` has not returned it.
    [[nodiscard]] auto is_live(const proxy_identity& proxy) const -> bool;

    /// Whether `take_expired` has returned the proxy and it is not settled.
    [[nodiscard]] auto is_expired(const proxy_identity& proxy) const -> bool;

    /// Number of unexpired leases of proxies other than `proxy`.
    ///
    /// A proxy that restarted counts twice until the lease of its earlier
    /// incarnation has expired.
    [[nodiscard]] auto live_others(time_point now, const proxy_id& proxy) const
        -> std::uint32_t;

    /// When the next lease expires.
    [[nodiscard]] auto next_expiry() const -> std::optional<time_point>;

private:
    friend struct detail::lease_test_access;

    enum class lease_phase : std::uint8_t
    {
        live,
        /// Expired; targets are being reassigned.
        expired,
        /// Expired and owns nothing; the next request is granted.
        settled,
    };

    struct lease
    {
        lease_phase phase = lease_phase::live;
        time_point expires_at;
        log_index required_index;
    };

    auto extend(const proxy_identity& proxy, lease& known, time_point until)
        -> void;

    bool is_leading_ = false;
    std::map<proxy_identity, lease> leases_;
    /// Live leases by expiry.
    std::set<std::pair<time_point, proxy_identity>> expiries_;
};

} // namespace rhubarbrun::inline v1

#endif
