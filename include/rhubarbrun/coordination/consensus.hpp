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

/// What a member is doing.
enum class consensus_role : std::uint8_t
{
    /// Not in a configuration: founding a group or asking to join one.
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

/// The leader cannot take the request now; nothing was recorded.
struct not_accepted
{
    std::string reason;
};

/// Where a proposal stands in the log. It is committed if the entry that is
/// handed out at `index` has the term `elected`, and lost if it has another.
struct proposal
{
    log_index index;
    election_term elected;
};

using propose_result = std::variant<proposal, not_leader, not_accepted>;
using read_result = std::variant<read_ticket, not_leader, not_accepted>;

/// The leader's view of another member.
struct member_status
{
    group_member member;
    log_index matched;
    /// probe, replicate or snapshot.
    const char* mode = "";
    /// Since the last message from it; no value if there was none in the term.
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
    /// Filled at the leader.
    std::vector<member_status> others;
    /// Why the group cannot be founded, or empty.
    std::string founding_obstacle;
};

/// One member of the replicated log of the control members.
///
/// It performs no I/O and has no clock: the caller passes the time and received
/// messages, and carries out what `take_ready` returns. It is not thread-safe.
/// The protocol is described in docs/decisions/consensus.md.
class consensus_member
{
public:
    /// Continues from what storage holds; a new data directory holds nothing.
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

    /// Adds a command to the log. It counts only once it is handed out as
    /// committed.
    [[nodiscard]] auto propose(time_point now, std::string command)
        -> propose_result;

    /// Removes a member. Members are added and promoted by themselves: they
    /// ask to join and become voters once they caught up.
    [[nodiscard]] auto propose_removal(time_point now,
                                       const member_identity& identity)
        -> propose_result;

    /// Asks for an index up to which the state machine must be applied for a
    /// linearizable read. The outcome is in a later `consensus_ready::reads`,
    /// once a quorum confirmed this member's leadership.
    [[nodiscard]] auto read_index(time_point now) -> read_result;

    /// Other names that a member outside the group asks to let it join, such
    /// as the current seeds; they replace those of the last call.
    auto set_contacts(std::vector<member_id> contacts) -> void;

    /// Whether no other member can have become leader before `now`, and all
    /// entries that earlier leaders committed are committed here.
    ///
    /// True only if a quorum answered heartbeats that were sent within the
    /// minimum election timeout, less the clock margin.
    [[nodiscard]] auto has_leader_lease(time_point now) const noexcept -> bool;

    /// Whether this member is the leader as far as it knows.
    [[nodiscard]] auto is_leader() const noexcept -> bool;

    /// The leader as far as it is known.
    [[nodiscard]] auto leader() const -> std::optional<member_identity>;

    /// Records that the state machine's bytes after applying `index` are
    /// `data`, and drops the entries up to there. The snapshot is handed out to
    /// be saved. Ignored if a later snapshot exists.
    ///
    /// Throws `std::invalid_argument` if `index` has not been handed out as
    /// committed.
    auto compact(log_index index, std::string data) -> void;

    /// Whether `take_ready` has something to return.
    [[nodiscard]] auto has_ready() const -> bool;

    /// What is to be done; see `consensus_ready` for the order. Several batches
    /// may be outstanding.
    [[nodiscard]] auto take_ready() -> consensus_ready;

    /// All batches up to `number` are durable.
    auto on_persisted(std::uint64_t number) -> void;

    /// State for dumps and health checks.
    [[nodiscard]] auto status(time_point now) const -> consensus_status;

private:
    std::unique_ptr<detail::consensus_core> core_;
};

} // namespace rhubarbrun::inline v1

#endif
