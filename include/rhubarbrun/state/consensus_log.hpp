#ifndef RHUBARBRUN_STATE_CONSENSUS_LOG_HPP
#define RHUBARBRUN_STATE_CONSENSUS_LOG_HPP

#include <rhubarbrun/state/ids.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

namespace rhubarbrun::inline v1 {

/// A control member with one particular data directory.
///
/// The incarnation is drawn when the data directory is created. A member that
/// lost its disk therefore comes back as another identity, which holds none of
/// the votes and acknowledgements of the former one.
struct member_identity
{
    member_id id;
    /// 0 stands for an incarnation that is not known.
    incarnation instance;

    friend auto operator<(const member_identity& left,
                          const member_identity& right) -> bool
    {
        return std::tie(left.id, left.instance) <
               std::tie(right.id, right.instance);
    }
    friend auto operator==(const member_identity&, const member_identity&)
        -> bool = default;

    /// Prints `id/incarnation`.
    friend auto operator<<(std::ostream& out, const member_identity& identity)
        -> std::ostream&
    {
        return out << identity.id << '/' << identity.instance;
    }

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, instance);
    }
};

/// What a member counts for in elections and commits.
enum class member_role : std::uint8_t
{
    /// Receives the log; its votes and acknowledgements do not count.
    learner,
    voter,
};

/// One member of the membership configuration.
struct group_member
{
    member_identity identity;
    member_role role = member_role::learner;

    friend auto operator==(const group_member&, const group_member&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(identity, role);
    }
};

/// The members of the consensus group, in ascending order of identity.
struct membership
{
    std::vector<group_member> members;

    friend auto operator==(const membership&, const membership&)
        -> bool = default;

    /// The member with this identity, or null.
    [[nodiscard]] auto find(const member_identity& identity) const noexcept
        -> const group_member*;

    /// The member with this name, whatever its incarnation, or null.
    [[nodiscard]] auto find(const member_id& id) const noexcept
        -> const group_member*;

    [[nodiscard]] auto is_voter(const member_identity& identity) const noexcept
        -> bool;

    [[nodiscard]] auto voter_count() const noexcept -> std::size_t;

    /// Votes that make a majority; 0 if there are no voters.
    [[nodiscard]] auto quorum() const noexcept -> std::size_t;

    /// A copy with `member` added, or with its role changed. A member of the
    /// same name and another incarnation is replaced.
    [[nodiscard]] auto with(const group_member& member) const -> membership;

    /// A copy without `identity`.
    [[nodiscard]] auto without(const member_identity& identity) const
        -> membership;

    /// Number of voters that are in one of the configurations only.
    ///
    /// Majorities of two configurations intersect if this is at most 1.
    [[nodiscard]] auto voters_changed(const membership& other) const noexcept
        -> std::size_t;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(members);
    }
};

/// What the payload of a log entry is.
enum class entry_kind : std::uint8_t
{
    /// Written by a new leader; has no payload and is not applied.
    no_operation,
    /// Bytes of the state machine.
    command,
    /// A membership configuration, in force as soon as it is in the log.
    configuration,
};

/// One entry of the replicated log.
struct log_entry
{
    log_index index;
    election_term elected;
    entry_kind kind = entry_kind::no_operation;
    /// Command bytes; empty for other kinds.
    std::string command;
    /// Set for `entry_kind::configuration`.
    std::optional<membership> configuration;

    friend auto operator==(const log_entry&, const log_entry&)
        -> bool = default;

    /// Upper bound of the encoded size in bytes, for batch limits.
    [[nodiscard]] auto weight() const noexcept -> std::size_t;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(index, elected, kind, command, configuration);
    }
};

/// What a member must remember across restarts, besides entries and snapshot.
struct hard_state
{
    election_term current;
    /// Candidate that this member voted for in `current`.
    std::optional<member_identity> voted_for;
    /// Known to be committed; may lag behind.
    log_index committed;
    /// Member that this member agreed to found the group with; see
    /// docs/decisions/consensus.md.
    std::optional<member_identity> founder;

    friend auto operator==(const hard_state&, const hard_state&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(current, voted_for, committed, founder);
    }
};

/// Where a snapshot stands in the log.
struct snapshot_metadata
{
    /// Last entry that the snapshot covers; 0 if there is no snapshot.
    log_index index;
    election_term elected;
    /// Configuration in force at `index`.
    membership configuration;

    friend auto operator==(const snapshot_metadata&, const snapshot_metadata&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(index, elected, configuration);
    }
};

/// The state machine's bytes after `metadata.index`.
struct log_snapshot
{
    snapshot_metadata metadata;
    std::string data;

    friend auto operator==(const log_snapshot&, const log_snapshot&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(metadata, data);
    }
};

/// Snapshots are large and immutable, and therefore shared.
using shared_snapshot = std::shared_ptr<const log_snapshot>;

/// What storage holds of a member when it starts.
struct stored_log
{
    hard_state state;
    /// Null if no snapshot was saved.
    shared_snapshot snapshot;
    /// Contiguous, and starting right after the snapshot.
    std::vector<log_entry> entries;
};

} // namespace rhubarbrun::inline v1

#endif
