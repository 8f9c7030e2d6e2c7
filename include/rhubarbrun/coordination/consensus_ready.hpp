#ifndef RHUBARBRUN_COORDINATION_CONSENSUS_READY_HPP
#define RHUBARBRUN_COORDINATION_CONSENSUS_READY_HPP

#include <rhubarbrun/coordination/consensus_message.hpp>
#include <rhubarbrun/state/consensus_log.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Identifies one call of `consensus_member::read_index`.
using read_ticket = strong_id<struct read_ticket_tag, std::uint64_t>;

/// Outcome of a read index request.
struct read_outcome
{
    read_ticket ticket;
    /// The read may be answered once this index is applied. No value means
    /// that leadership was lost before it was confirmed.
    std::optional<log_index> index;
};

/// Work that a `consensus_member` returns to its caller, who must, in this
/// order:
///
/// 1. save `snapshot`, `state` and `entries` durably,
/// 2. call `consensus_member::on_persisted(number)`,
/// 3. send `messages` (losing a message is safe),
/// 4. if `is_restore`, replace the state machine by `snapshot`,
/// 5. apply `committed`, then answer `reads`.
struct consensus_ready
{
    /// Ascending; batches are persisted in this order.
    std::uint64_t number = 0;
    /// To be saved; null if there is none.
    shared_snapshot snapshot;
    /// Whether `snapshot` came from the leader: the state machine is replaced
    /// by it, and all stored entries are discarded before `entries` are stored.
    bool is_restore = false;
    /// To be saved, if set.
    std::optional<hard_state> state;
    /// To be stored; an entry replaces any stored entry of the same or a
    /// higher index.
    std::vector<log_entry> entries;
    /// To be sent only after all of the above is persisted.
    std::vector<consensus_message> messages;
    /// To be applied, in order and without gaps. No-operation and
    /// configuration entries are included so that indexes stay contiguous.
    std::vector<log_entry> committed;
    std::vector<read_outcome> reads;

    /// Whether there is nothing to save.
    [[nodiscard]] auto needs_no_storage() const noexcept -> bool
    {
        return !snapshot && !state && entries.empty();
    }
};

} // namespace rhubarbrun::inline v1

#endif
