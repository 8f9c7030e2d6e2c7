#ifndef RHUBARBRUN_COORDINATION_FENCING_SEQUENCE_HPP
#define RHUBARBRUN_COORDINATION_FENCING_SEQUENCE_HPP

#include <rhubarbrun/state/consensus_log.hpp>

#include <cstdint>

namespace rhubarbrun::inline v1 {

/// Numbers for the orders of successive leaders, each higher than all before.
///
/// An order that got no answer may still be carried out seconds later, after
/// another one of the same leader. With a number of its own, whoever checks the
/// numbers refuses it then, as it refuses an order of an earlier leader.
class fencing_sequence
{
public:
    /// The number of the next order of the leader of this term.
    [[nodiscard]] auto next(election_term current) noexcept -> std::uint64_t;

private:
    election_term term_;
    std::uint64_t orders_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
