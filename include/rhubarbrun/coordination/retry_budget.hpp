#ifndef RHUBARBRUN_COORDINATION_RETRY_BUDGET_HPP
#define RHUBARBRUN_COORDINATION_RETRY_BUDGET_HPP

#include <cstdint>

namespace rhubarbrun::inline v1 {

/// Limits the proxy's own retries to a share of first attempts, so that
/// retries cannot multiply the load of a target that is already overloaded.
class retry_budget
{
public:
    /// Tokens are counted in thousandths of a retry.
    static constexpr std::int64_t tokens_per_retry = 1000;
    /// One retry per ten first attempts.
    static constexpr std::int64_t tokens_per_attempt = 100;
    /// Burst of retries that a proxy may send after an idle period.
    static constexpr std::int64_t max_saved_retries = 20;

    /// Records a first attempt, which adds `tokens_per_attempt`.
    auto on_first_attempt() noexcept -> void;

    /// Takes one retry from the budget; returns false if there is none.
    [[nodiscard]] auto try_take() noexcept -> bool;

private:
    std::int64_t tokens_ = max_saved_retries * tokens_per_retry;
};

} // namespace rhubarbrun::inline v1

#endif
