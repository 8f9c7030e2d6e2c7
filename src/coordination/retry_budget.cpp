#include <rhubarbrun/coordination/retry_budget.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

auto retry_budget::on_first_attempt() noexcept -> void
{
    tokens_ = std::min(tokens_ + tokens_per_attempt,
                       max_saved_retries * tokens_per_retry);
}

auto retry_budget::try_take() noexcept -> bool
{
    if (tokens_ < tokens_per_retry) {
        return false;
    }
    tokens_ -= tokens_per_retry;
    return true;
}

} // namespace rhubarbrun::inline v1
