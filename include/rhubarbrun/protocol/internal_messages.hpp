#ifndef RHUBARBRUN_PROTOCOL_INTERNAL_MESSAGES_HPP
#define RHUBARBRUN_PROTOCOL_INTERNAL_MESSAGES_HPP

#include <rhubarbrun/coordination/announcement_report.hpp>
#include <rhubarbrun/coordination/consensus_message.hpp>
#include <rhubarbrun/coordination/failover.hpp>
#include <rhubarbrun/coordination/lease_messages.hpp>
#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/protocol/strict_archive.hpp>
#include <rhubarbrun/state/control_command.hpp>
#include <rhubarbrun/state/directory_records.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace rhubarbrun::inline v1 {

// Payloads are encoded with encode() and decoded with decode<>(); the type of
// each is listed in docs/internal-protocol.md. These messages are types of the
// lower layers: consensus_message (consensus), lease_request (renew_lease),
// lease_answer, directory_delta and announcement_report.
//
// A request that has an answer carries a number that the sender chooses and
// the answer repeats. Every request may be sent again.

/// Proxy to control: announces this run of the proxy and subscribes the link
/// to the directory. Answered with `registered`, `command_answer` if the
/// registration is refused, or `redirect`.
struct register_proxy
{
    std::uint64_t request = 0;
    proxy_record proxy;
    /// Index of the proxy's directory; 0 for an empty one.
    log_index directory_index;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, proxy, directory_index);
    }
};

/// Leader to proxy: the registration is committed. A directory_delta follows.
struct registered
{
    std::uint64_t request = 0;
    /// UDP port of the leader for `renew_lease`.
    std::uint16_t udp_port = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, udp_port);
    }
};

/// Proxy to leader: send the changes after `known`.
struct directory_pull
{
    log_index known;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(known);
    }
};

/// Owner of the primary, already fenced, to leader: set the group's primary.
/// The claimant of the command must be the sender. Answered with
/// `command_answer` or `redirect`.
struct propose_primary
{
    std::uint64_t request = 0;
    set_primary_command command;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, command);
    }
};

/// Live owner to leader: give up a target. The owner of the command must be
/// the sender. Answered with `command_answer` or `redirect`.
struct release_target
{
    std::uint64_t request = 0;
    release_target_command command;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, command);
    }
};

/// Proxy to leader: it shuts down; move its targets elsewhere. Answered with
/// `command_answer` or `redirect`.
struct drain_proxy
{
    std::uint64_t request = 0;
    proxy_identity proxy;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, proxy);
    }
};

/// Whether a command was carried out.
enum class command_outcome : std::uint8_t
{
    /// Committed and applied; `result` says whether the rules allowed it.
    applied,
    /// Not recorded; send it again later.
    not_accepted,
    /// Not known to be committed; send it again.
    unknown,
    /// The message names another proxy than its sender.
    forbidden,
};

/// Name of an outcome for logs.
[[nodiscard]] auto to_string(command_outcome outcome) noexcept
    -> std::string_view;

/// Leader to sender of a command.
struct command_answer
{
    std::uint64_t request = 0;
    command_outcome outcome = command_outcome::unknown;
    /// Set if `outcome` is `applied`.
    command_result result;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, outcome, result);
    }
};

/// Follower to sender of a request: ask the leader.
struct redirect
{
    std::uint64_t request = 0;
    /// Name of the leader in the setting `control_members`; empty if none is
    /// known, and the request is best sent again after a pause.
    member_id leader;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, leader);
    }
};

/// Follower to leader: an operator's HTTP request.
struct forward_request
{
    std::uint64_t request = 0;
    std::string method;
    std::string path;
    /// Value of the Authorization header.
    std::string authorization;
    std::string body;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, method, path, authorization, body);
    }
};

/// Leader to follower: the HTTP response.
struct forward_answer
{
    std::uint64_t request = 0;
    std::uint16_t status = 0;
    std::string body;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, status, body);
    }
};

/// Owner to two other proxies: can you reach this target?
struct confirm_target
{
    std::uint64_t request = 0;
    target_id target;
    /// IP address of the database server.
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
    /// No value if the target could not be reached.
    std::optional<server_status> status;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(request, target, status);
    }
};

/// Encodes the answer for a link of this protocol version; version 1 has no
/// number of other live proxies.
[[nodiscard]] auto encode_lease_answer(const lease_answer& value,
                                       std::uint8_t version) -> std::string;
/// Reverse of `encode_lease_answer`.
[[nodiscard]] auto decode_lease_answer(const std::string& payload,
                                       std::uint8_t version)
    -> std::optional<lease_answer>;

// Rules that decode<>() checks beyond the encoding.
[[nodiscard]] auto is_well_formed(const statement& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const execute_request& value) noexcept
    -> bool;
[[nodiscard]] auto is_well_formed(const execute_reply& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const lease_answer& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const directory_delta& value) noexcept
    -> bool;
[[nodiscard]] auto is_well_formed(const announcement_report& value) noexcept
    -> bool;
[[nodiscard]] auto is_well_formed(const register_proxy& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const command_answer& value) noexcept -> bool;
[[nodiscard]] auto is_well_formed(const consensus_message& value) noexcept
    -> bool;

} // namespace rhubarbrun::inline v1

#endif
