#ifndef RHUBARBRUN_PROTOCOL_INTERNAL_MESSAGES_HPP
#define RHUBARBRUN_PROTOCOL_INTERNAL_MESSAGES_HPP

#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/protocol/strict_archive.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

// All messages are encoded with encode() and decoded with decode<>(). A
// request that has an answer carries a number that the sender chooses; the
// answer echoes it. Resending a request is always allowed.

/// Proxy to control: announce this run of the proxy, and subscribe to the
/// directory. Answered with `registered` or `redirect`.
struct register_proxy
{
    std::uint64_t request = 0;
    proxy_id id;
    incarnation run;
    zone_id zone;
    /// IP address at which other processes reach this proxy.
    std::string address;
    /// TCP port of links, and UDP port of lease grants.
    std::uint16_t peer_port = 0;
    /// TCP port of HTTP.
    std::uint16_t http_port = 0;
    /// Last index that the proxy's directory holds; 0 for an empty one.
    log_index directory_index;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, id, run, zone, address, peer_port, http_port,
                directory_index);
    }
};

/// Leader to proxy: the registration is committed.
struct registered
{
    std::uint64_t request = 0;
    /// Port of the leader's UDP socket for `renew_lease`.
    std::uint16_t datagram_port = 0;
    /// Length of a lease, in microseconds.
    std::int64_t lease_us = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, datagram_port, lease_us);
    }
};

/// Proxy to leader, by UDP or over the link: extend this proxy's lease, which
/// covers all targets assigned to it.
struct renew_lease
{
    proxy_id id;
    incarnation run;
    /// The proxy's clock when it sent this, in microseconds; echoed.
    std::int64_t sent_us = 0;
    log_index directory_index;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, run, sent_us, directory_index);
    }
};

/// Leader to proxy: the lease runs `lease_us` from the time `sent_us`, by the
/// proxy's clock.
struct lease_grant
{
    proxy_id id;
    incarnation run;
    std::int64_t sent_us = 0;
    /// 0 if the lease is refused, as for an unknown incarnation.
    std::int64_t lease_us = 0;
    /// Newest index of the leader's directory; pull if the own one is lower.
    log_index directory_index;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, run, sent_us, lease_us, directory_index);
    }
};

/// Proxy to control: send the changes after `known`.
struct directory_pull
{
    log_index known;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(known);
    }
};

/// Control to proxy: an encoded `directory_delta`. Apply it only if the
/// directory is at `from`, or if `is_complete` says that it replaces
/// everything; pull otherwise.
struct directory_update
{
    log_index from;
    log_index to;
    bool is_complete = false;
    /// encode() of a directory_delta.
    std::string delta;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(from, to, is_complete, delta);
    }
};

/// What a proxy learned from the announcements of one target.
struct reported_target
{
    target_id id;
    group_id group;
    zone_id zone;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    std::uint32_t connection_limit = 0;
    /// False once the announcements have expired.
    bool is_alive = false;
    bool is_leaving = false;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, group, zone, address, port, slots, connection_limit,
                is_alive, is_leaving);
    }
};

/// Proxy to leader: changes in announcements since the last report. Answered
/// with `command_answer` or `redirect`.
struct target_report
{
    std::uint64_t request = 0;
    proxy_id reporter;
    std::vector<reported_target> changes;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, reporter, changes);
    }
};

/// Last log position that a server reported to the proposer.
struct target_position
{
    target_id id;
    log_position position;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, position);
    }
};

/// Owner of the primary, already fenced, to leader: make `candidate` the
/// primary of the next term. Answered with `propose_primary_answer` or
/// `redirect`.
struct propose_primary
{
    std::uint64_t request = 0;
    group_id group;
    /// Term that the proposer believes to be current.
    term expected;
    target_id candidate;
    /// Highest position that was acknowledged in `expected`, if known.
    std::optional<log_position> acknowledged;
    std::vector<target_position> positions;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, group, expected, candidate, acknowledged, positions);
    }
};

/// Outcome of a command that was sent to control.
enum class command_outcome : std::uint8_t
{
    /// Committed and applied.
    accepted,
    /// Committed, and refused by the rules; sending it again changes nothing.
    refused,
    /// Not known to be committed; send it again.
    unknown,
    /// The leader cannot take it now; send it again later.
    busy,
};

/// Leader to proposer: the group's term and primary as committed.
struct propose_primary_answer
{
    std::uint64_t request = 0;
    command_outcome outcome = command_outcome::unknown;
    term current;
    target_id primary;
    std::string reason;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, outcome, current, primary, reason);
    }
};

/// Live owner to leader: hand this target to another owner. Answered with
/// `command_answer` or `redirect`.
struct release_target
{
    std::uint64_t request = 0;
    proxy_id owner;
    incarnation run;
    target_id target;
    owner_epoch epoch;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, owner, run, target, epoch);
    }
};

/// Proxy to leader: it shuts down; move its targets elsewhere. Answered with
/// `command_answer` or `redirect`.
struct drain_proxy
{
    std::uint64_t request = 0;
    proxy_id id;
    incarnation run;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, id, run);
    }
};

/// Leader to sender of a command.
struct command_answer
{
    std::uint64_t request = 0;
    command_outcome outcome = command_outcome::unknown;
    /// Index of the log entry, if one was committed.
    log_index index;
    std::string reason;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, outcome, index, reason);
    }
};

/// Follower to sender of a request: ask the leader.
struct redirect
{
    std::uint64_t request = 0;
    /// Empty if no leader is known; ask again after a pause.
    member_id leader;
    /// `address:port` for links to the leader.
    std::string endpoint;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, leader, endpoint);
    }
};

/// Owner to two other proxies: can you reach this target?
struct confirm_target
{
    std::uint64_t request = 0;
    target_id target;
    std::string address;
    std::uint16_t port = 0;
    std::string database;
    /// How long the asked proxy may try, in microseconds.
    std::int64_t time_left_us = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, target, address, port, database, time_left_us);
    }
};

/// Answer to `confirm_target`.
struct confirm_target_answer
{
    std::uint64_t request = 0;
    target_id target;
    bool is_reachable = false;
    bool is_in_recovery = false;
    /// Flushed or replayed position; only if reachable.
    std::optional<log_offset> position;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, target, is_reachable, is_in_recovery, position);
    }
};

// Rules that decode<>() checks beyond the encoding.
[[nodiscard]] auto is_well_formed(const statement& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const execute_request& value) noexcept
    -> bool;
[[nodiscard]] auto is_well_formed(const execute_reply& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const register_proxy& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const target_report& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const propose_primary_answer& value) noexcept
    -> bool;
[[nodiscard]] auto is_well_formed(const command_answer& value) noexcept -> bool;

} // namespace rhubarbrun::inline v1

#endif
