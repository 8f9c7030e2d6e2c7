#ifndef RHUBARBRUN_COORDINATION_ALLOWANCE_LIMITS_HPP
#define RHUBARBRUN_COORDINATION_ALLOWANCE_LIMITS_HPP

#include <rhubarbrun/state/service_configuration.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>

namespace rhubarbrun::inline v1 {

/// Allowances of the organisations that have one.
using allowance_table = std::map<organisation_id, operation_allowance>;

/// The allowances of a configuration.
[[nodiscard]] auto allowances_of(const service_configuration& configuration)
    -> allowance_table;

/// How strictly allowances are kept: in each span of `window`, an organisation
/// runs at most (rate x window + burst) x (1 + overage) + slack operations.
struct allowance_terms
{
    duration window = std::chrono::seconds(5);
    double overage = 0;
    std::uint32_t slack = 0;
};

/// Time from the sending of an answered report to the end of the tokens that
/// the proxy holds. It bridges a change of the control leader, which takes
/// about two seconds, and is over before a view is too old to accept keys.
inline constexpr auto token_lifetime = milliseconds(3000);
/// The ledger counts tokens as outstanding for this much longer, which covers
/// the drift of two clocks.
inline constexpr auto token_lifetime_margin = milliseconds(200);

/// Tokens that proxies may hold or have used at any moment beside those that
/// accrued since.
///
/// What runs in a window is at most what accrues in it, rate x window, and this
/// stock. It is the rest of the bound, on which proxies live while the control
/// leader changes.
[[nodiscard]] auto max_tokens(const operation_allowance& allowance,
                              const allowance_terms& terms) noexcept -> double;

/// Part of `max_tokens` that proxies may hold. The rest is left for a new
/// ledger as long as it does not know what proxies hold of the one before.
[[nodiscard]] auto max_outstanding_tokens(const operation_allowance& allowance,
                                          const allowance_terms& terms) noexcept
    -> double;

} // namespace rhubarbrun::inline v1

#endif
