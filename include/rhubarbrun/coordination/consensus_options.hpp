#ifndef RHUBARBRUN_COORDINATION_CONSENSUS_OPTIONS_HPP
#define RHUBARBRUN_COORDINATION_CONSENSUS_OPTIONS_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Faults that tests inject to show that their checks detect them.
enum class planted_fault : std::uint8_t
{
    none,
    /// Grants a second vote in one term.
    double_vote,
    /// Counts acknowledgements of entries of earlier terms as a commit.
    commit_of_earlier_term,
    /// Grants a vote although a message from the leader arrived within the
    /// election timeout.
    vote_despite_leader,
    /// Founds a group without the agreement of all initial members.
    found_alone,
};

/// Settings of a `consensus_member`; docs/consensus.md describes each.
struct consensus_options
{
    /// Names of all control members of the deployment, this one included. Only
    /// these are admitted when they ask to join, unless
    /// `admits_unlisted_members` is set.
    std::vector<member_id> members;
    /// Whether members with other names are admitted, for a deployment without
    /// a fixed list. `members` then names the founders, which need not include
    /// this member.
    bool admits_unlisted_members = false;
    /// The leader removes the voter that has not answered for longest, if it
    /// has not for this long and `min_voters` voters remain. Zero disables the
    /// removal.
    duration removal_timeout = duration::zero();
    /// Minimum number of voters that automatic removal leaves: one more than
    /// twice the number of disks that may be lost at a time.
    std::size_t min_voters = 0;
    /// Whether this member takes part in founding a new group.
    bool is_founding = false;

    duration heartbeat_interval = std::chrono::milliseconds(100);
    duration min_election_timeout = std::chrono::milliseconds(500);
    duration max_election_timeout = std::chrono::milliseconds(1000);
    /// Largest assumed difference between two members' clock rates.
    std::int64_t clock_margin_percent = 1;

    /// Limit on the size of a command, in bytes.
    std::size_t max_command_bytes = 512UL * 1024;
    /// Limit on the entries of one append, in bytes. A larger entry is sent in
    /// an append of its own.
    std::size_t max_append_bytes = 256UL * 1024;
    std::size_t max_append_entries = 1024;
    /// Limit on the unanswered appends to one member.
    std::size_t max_appends_in_flight = 16;
    std::size_t snapshot_chunk_bytes = 256UL * 1024;
    /// Limit on the size of a snapshot, in bytes.
    std::size_t max_snapshot_bytes = 256UL * 1024 * 1024;
    /// Limit on the commands that the leader holds uncommitted, in bytes.
    std::size_t max_uncommitted_bytes = 16UL * 1024 * 1024;
    /// Limit on the committed entries that one batch returns, in bytes.
    std::size_t max_apply_bytes = 4UL * 1024 * 1024;
    /// Number of entries kept in memory below a snapshot, so that a member that
    /// lags slightly needs no snapshot.
    std::size_t retained_entries = 1000;

    /// For tests only.
    planted_fault fault = planted_fault::none;
};

} // namespace rhubarbrun::inline v1

#endif
