#ifndef RHUBARBRUN_COORDINATION_CONSENSUS_MESSAGE_HPP
#define RHUBARBRUN_COORDINATION_CONSENSUS_MESSAGE_HPP

#include <rhubarbrun/state/consensus_log.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Sent by a candidate to the voters. A pre-vote asks whether an election could
/// be won and changes no state at the receiver.
struct vote_request
{
    bool is_pre_vote = false;
    log_index last_index;
    election_term last_term;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(is_pre_vote, last_index, last_term);
    }
};

/// Sent by a voter to the candidate.
struct vote_reply
{
    bool is_pre_vote = false;
    bool is_granted = false;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(is_pre_vote, is_granted);
    }
};

/// Sent by the leader to a member: the entries that follow the entry with
/// `previous_index` and `previous_term`.
struct append_request
{
    log_index previous_index;
    election_term previous_term;
    log_index committed;
    std::vector<log_entry> entries;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(previous_index, previous_term, committed, entries);
    }
};

/// Answer of a member to an `append_request`.
struct append_reply
{
    bool is_accepted = false;
    /// Accepted: the member's log equals the leader's up to this index.
    /// Rejected: `previous_index` of the request.
    log_index index;
    /// Rejected: an index and its term at which the logs may still agree.
    log_index hint_index;
    election_term hint_term;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(is_accepted, index, hint_index, hint_term);
    }
};

/// Sent by the leader to each member at every heartbeat interval and for reads.
struct heartbeat
{
    /// Number of the leader's heartbeat round, which the reply repeats.
    std::uint64_t round = 0;
    /// Commit index, limited to the part of the log that the receiver is known
    /// to hold.
    log_index committed;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(round, committed);
    }
};

/// Answer of a member to a `heartbeat`.
struct heartbeat_reply
{
    std::uint64_t round = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(round);
    }
};

/// Sent by the leader to a member: a part of a snapshot.
struct snapshot_chunk
{
    snapshot_metadata metadata;
    /// Size of the whole snapshot in bytes.
    std::uint64_t total_bytes = 0;
    std::uint64_t offset = 0;
    std::string data;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(metadata, total_bytes, offset, data);
    }
};

/// Answer of a member to a `snapshot_chunk`.
struct snapshot_reply
{
    log_index index;
    /// Bytes that the member holds; the next chunk starts here.
    std::uint64_t next_offset = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(index, next_offset);
    }
};

/// Sent by the first initial member to the others to ask for their agreement to
/// found the group.
struct found_request
{
    /// Names of all initial members, ascending.
    std::vector<member_id> members;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(members);
    }
};

/// Answer to `found_request`. An agreement is durable before it is sent.
struct found_reply
{
    bool is_agreed = false;
    /// Reason for a refusal, for the log and the dump.
    std::string reason;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(is_agreed, reason);
    }
};

/// A member outside the configuration asks to be added as a learner.
struct join_request
{
    template <class Archive>
    auto serialize(Archive& /*archive*/) -> void
    {
    }
};

/// A member that is about to end asks the leader to remove it.
struct leave_request
{
    template <class Archive>
    auto serialize(Archive& /*archive*/) -> void
    {
    }
};

/// Answer of the leader to a `leave_request`, once it is decided.
struct leave_reply
{
    /// The sender is in the group no longer; otherwise it is needed there.
    bool is_removed = false;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(is_removed);
    }
};

/// A message between two control members.
///
/// `from` and `to` name incarnations: a message for the former incarnation of
/// a member that lost its disk is dropped. Only `found_request`,
/// `join_request` and `leave_request` may leave the receiver's incarnation open
/// (0).
struct consensus_message
{
    using body_type =
        std::variant<vote_request, vote_reply, append_request, append_reply,
                     heartbeat, heartbeat_reply, snapshot_chunk, snapshot_reply,
                     found_request, found_reply, join_request, leave_request,
                     leave_reply>;

    member_identity from;
    member_identity to;
    /// Term of the sender; for a pre-vote, the term it would campaign in.
    election_term current;
    body_type body;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(from, to, current, body);
    }
};

/// Name of the body's type, for logs and counters.
[[nodiscard]] auto message_name(const consensus_message& message) noexcept
    -> const char*;

} // namespace rhubarbrun::inline v1

#endif
