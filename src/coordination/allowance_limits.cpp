#include <rhubarbrun/coordination/allowance_limits.hpp>

namespace rhubarbrun::inline v1 {

namespace {

/// Most of the tokens are where they are used; what accrues after a change of
/// the ledger, which begins with none, flows through the rest.
constexpr auto outstanding_part = 0.8;

} // namespace

auto allowances_of(const service_configuration& configuration)
    -> allowance_table
{
    auto table = allowance_table();
    for (const auto& [id, each] : configuration.organisations) {
        if (each.allowance) {
            table.emplace(id, *each.allowance);
        }
    }
    return table;
}

auto max_tokens(const operation_allowance& allowance,
                const allowance_terms& terms) noexcept -> double
{
    const auto seconds = std::chrono::duration<double>(terms.window).count();
    const auto nominal = allowance.rate_per_second * seconds + allowance.burst;
    return allowance.burst + terms.overage * nominal + terms.slack;
}

auto max_outstanding_tokens(const operation_allowance& allowance,
                            const allowance_terms& terms) noexcept -> double
{
    return max_tokens(allowance, terms) * outstanding_part;
}

} // namespace rhubarbrun::inline v1
