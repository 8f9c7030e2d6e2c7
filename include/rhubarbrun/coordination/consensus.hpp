#ifndef RHUBARBRUN_COORDINATION_CONSENSUS_HPP
#define RHUBARBRUN_COORDINATION_CONSENSUS_HPP

#include <rhubarbrun/coordination/consensus_message.hpp>
#include <rhubarbrun/coordination/consensus_options.hpp>
#include <rhubarbrun/coordination/consensus_ready.hpp>
#include <rhubarbrun/state/consensus_log.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbrun::detail {
class consensus_core;
}

namespace rhubarbrun::inline v1 {

/// Role of a member in the replicated log.
enum class consensus_role : std::uint8_t
{
    /// Not in the configuration; it founds a group or asks to join one.
    outsider,
    follower,
    pre_candidate,
    candidate,
    leader,
};

/// Name of a role for logs and dumps.
[[nodiscard]] auto to_string(consensus_role role) noexcept -> const char*;

/// The request must go to the leader.
struct not_leader
{
    /// The leader as far as it is known.
    std::optional<member_identity> leader;
};

/// The leader cannot accept the request now and has recorded nothing.
struct not_accepted
{
    std::string reason;
};

/// Position of a proposal in the log. The proposal is committed if the entry
/// that is returned at `index` has the term `elected`, and lost if the term
/// differs.
struct proposal
{
    log_index index;
    election_term elected;
};

using propose_result = std::variant<proposal, not_leader, not_accepted>;
using read_result = std::variant<read_ticket, not_leader, not_accepted>;

/// Replication state of another member, as the leader knows it.
struct member_status
{
    group_member member;
    log_index matched;
    /// Replication mode: probe, replicate or snapshot.
    const char* mode = "";
    /// Time since the last message from the member; no value if it sent none
    /// in this term.
    std::optional<duration> silent_for;
};

/// State of a member for dumps and health checks.
struct consensus_status
{
    member_identity self;
    consensus_role role = consensus_role::outsider;
    election_term current;
    std::optional<member_identity> leader;
    log_index committed;
    log_index applied;
    log_index last;
    log_index snapshot;
    membership configuration;
    /// Empty unless this member is the leader.
    std::vector<member_status> others;
    /// Reason why the group cannot be founded; empty if there is none.
    std::string founding_obstacle;
};

/// One member of the replicated log of the control members.
///
/// The class performs no I/O and reads no clock: the caller passes the time and
/// the received messages, and executes what `take_ready` returns. The class is
/// not thread-safe.
/// The protocol is described in docs/decisions/consensus.md.
class consensus_member
{
public:
    /// Resumes from the stored log, which is empty for a new data directory.
    ///
    /// Throws `std::invalid_argument` if the options or the stored log are
    /// inconsistent.
    consensus_member(member_identity self, consensus_options options,
                     random_function random, stored_log stored, time_point now);
    consensus_member(const consensus_member&) = delete;
    consensus_member(consensus_member&&) noexcept;
    auto operator=(const consensus_member&) -> consensus_member& = delete;
    auto operator=(consensus_member&&) noexcept -> consensus_member&;
    ~consensus_member();

    /// Advances timers; to be called at `next_tick` or more often.
    auto tick(time_point now) -> void;

    /// When the next timer expires.
    [[nodiscard]] auto next_tick() const noexcept -> time_point;

    /// Handles a message from another member. Messages for other identities
    /// are dropped.
    auto step(time_point now, consensus_message message) -> void;

    /// Appends a command to the log. The command takes effect only once
    /// `take_ready` returns it as committed.
    [[nodiscard]] auto propose(time_point now, std::string command)
        -> propose_result;

    /// Removes a member. Adding a member needs no call: a member asks to join
    /// and becomes a voter once its log has caught up.
    [[nodiscard]] auto propose_removal(time_point now,
                                       const member_identity& identity)
        -> propose_result;

    /// Asks to be removed, as this member is about to end. It is removed only
    /// if `consensus_options::min_voters` remain, so that a member that merely
    /// restarts keeps its vote. It does not ask to join any more.
    auto leave(time_point now) -> void;

    /// Whether the group has not decided yet about `leave`.
    [[nodiscard]] auto is_leaving() const -> bool;

    /// Begins a round of heartbeats and returns its number.
    [[nodiscard]] auto start_contact_round() -> std::uint64_t;

    /// Whether the group outlasts the losses that `min_voters` stands for, as
    /// far as its leader can tell from the answers to the round.
    ///
    /// A voter without an answer is taken as one of the lost, as long as none
    /// waits to take its place; the others must be as many as the losses
    /// require. While this returns false, silent voters are removed early.
    [[nodiscard]] auto outlasts_tolerated_losses(time_point now,
                                                 std::uint64_t round) -> bool;

    /// Whether this member leads, or a leader sent it a message within the
    /// minimum election timeout.
    [[nodiscard]] auto hears_leader(time_point now) const -> bool;

    /// Requests the index up to which the state machine must be applied for a
    /// linearizable read. A later `consensus_ready::reads` has the outcome,
    /// once a quorum has confirmed that this member leads.
    [[nodiscard]] auto read_index(time_point now) -> read_result;

    /// Sets further members, such as the current seeds, to which a member
    /// outside the group sends join requests. Replaces the previous list.
    auto set_contacts(std::vector<member_id> contacts) -> void;

    /// Whether no other member can have become leader before `now`, and all
    /// entries that earlier leaders committed are committed here.
    ///
    /// This requires that a quorum answered heartbeats that were sent within
    /// the minimum election timeout, less the clock margin.
    [[nodiscard]] auto has_leader_lease(time_point now) const noexcept -> bool;

    /// Whether this member is the leader as far as it knows.
    [[nodiscard]] auto is_leader() const noexcept -> bool;

    /// The leader as far as it is known.
    [[nodiscard]] auto leader() const -> std::optional<member_identity>;

    /// Takes `data` as the snapshot of the state machine after `index` and
    /// discards the entries that it covers. `take_ready` returns the snapshot
    /// to be saved. The call is ignored if a later snapshot exists.
    ///
    /// Throws `std::invalid_argument` if `take_ready` has not yet returned the
    /// entry at `index` as committed, or if `data` is too large.
    auto compact(log_index index, std::string data) -> void;

    /// Whether `take_ready` has something to return.
    [[nodiscard]] auto has_ready() const -> bool;

    /// Returns the next batch of work; `consensus_ready` defines the order.
    /// Several batches may be outstanding.
    [[nodiscard]] auto take_ready() -> consensus_ready;

    /// Records that all batches up to `number` are durable.
    auto on_persisted(std::uint64_t number) -> void;

    /// State for dumps and health checks.
    [[nodiscard]] auto status(time_point now) const -> consensus_status;

private:
    std::unique_ptr<detail::consensus_core> core_;
};

} // namespace rhubarbrun::inline v1

#endif
