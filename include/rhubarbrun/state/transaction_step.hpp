#ifndef RHUBARBRUN_STATE_TRANSACTION_STEP_HPP
#define RHUBARBRUN_STATE_TRANSACTION_STEP_HPP

#include <cstdint>

namespace rhubarbrun::inline v1 {

/// What a statement does to the transaction of its session.
enum class transaction_step : std::uint8_t
{
    /// Runs on its own, outside a transaction.
    single,
    /// BEGIN: takes a connection until the transaction ends.
    begin,
    /// Runs within the transaction.
    within,
    /// COMMIT or ROLLBACK.
    end,
};

} // namespace rhubarbrun::inline v1

#endif
