#ifndef RHUBARBRUN_STATE_TRANSACTION_STATUS_HPP
#define RHUBARBRUN_STATE_TRANSACTION_STATUS_HPP

#include <cstdint>

namespace rhubarbrun::inline v1 {

/// State of the session's transaction at the target, as in ReadyForQuery.
enum class transaction_status : std::uint8_t
{
    idle = 'I',
    in_transaction = 'T',
    failed = 'E',
};

} // namespace rhubarbrun::inline v1

#endif
