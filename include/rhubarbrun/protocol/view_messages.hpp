#ifndef RHUBARBRUN_PROTOCOL_VIEW_MESSAGES_HPP
#define RHUBARBRUN_PROTOCOL_VIEW_MESSAGES_HPP

#include <rhubarbrun/coordination/allowance_messages.hpp>
#include <rhubarbrun/protocol/strict_archive.hpp>
#include <rhubarbrun/state/consensus_log.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/server_record.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Control member to the others: announcements that it received.
struct server_announcements
{
    std::vector<server_record> records;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(records);
    }
};

/// Proxies that get answers from a server, by IP address.
struct detour_record
{
    target_id server;
    std::vector<std::string> proxies;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(server, proxies);
    }
};

/// Control member to the others, at regular intervals.
struct proxy_census
{
    /// Proxies that follow the sender.
    std::uint32_t proxies = 0;
    /// Region of the sender.
    std::string region;
    /// Names of the group's members as the sender knows them, for a member
    /// that is not part of the group yet and may know only a follower.
    std::vector<std::string> members;
    /// Some of the sender's proxies that reach each primary.
    std::vector<detour_record> detours;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxies, region, members, detours);
    }
};

/// Control member to the leader: how much is committed?
struct freshness_question
{
    /// Repeated by the answer. Numbers of one member ascend.
    std::uint64_t number = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(number);
    }
};

/// Only a leader that holds a lease answers.
struct freshness_answer
{
    std::uint64_t number = 0;
    log_index committed;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(number, committed);
    }
};

/// What one proxy or several see of a server; times are in milliseconds before
/// sending, -1 for never.
struct sighting_record
{
    target_id server;
    std::int64_t answered_ago_ms = -1;
    std::int64_t failing_for_ms = -1;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(server, answered_ago_ms, failing_for_ms);
    }
};

/// What a proxy, or a control member's proxies together, see of the servers.
struct sighting_report
{
    /// Name of the proxy or of the control member.
    std::string observer;
    std::vector<sighting_record> sightings;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(observer, sightings);
    }
};

/// Proxy to control, at regular intervals: asks for changes from now on.
struct view_request
{
    /// Repeated by the answer. Numbers of one proxy ascend.
    std::uint64_t number = 0;
    /// Version of the configuration that the proxy holds.
    std::uint64_t configuration_version = 0;
    sighting_report report;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(number, configuration_version, report);
    }
};

/// A control member as a proxy may follow it.
struct control_member_record
{
    /// IP address, which is also the name.
    std::string address;
    /// Empty if it is not known.
    std::string region;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(address, region);
    }
};

/// A position that covers every commit of a group that was acknowledged before
/// `asked_ago_ms` before sending.
struct position_record
{
    group_id group;
    log_position position;
    /// Rounded up.
    std::int64_t asked_ago_ms = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(group, position, asked_ago_ms);
    }
};

/// Proxy to control: what the proxy needs and what it has, on a new link and
/// whenever the groups change. Without it, it needs everything and has nothing.
struct view_subscription
{
    /// Groups whose positions the answers to view requests are to hold.
    std::vector<group_id> groups;
    /// `server_directory::digest` of the records that the proxy holds.
    std::uint64_t digest = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(groups, digest);
    }
};

/// Servers that changed, to a proxy, and announcements that changed nothing, to
/// the leader.
struct server_changes
{
    /// `server_announcements`, compressed.
    std::string packed;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(packed);
    }
};

/// Control to proxy: turns the configuration that the proxy holds into a newer
/// one.
struct configuration_delta
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    /// As `make_delta` makes it.
    std::string delta;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(from, to, delta);
    }
};

/// Proxy to control: asks for positions that reads wait for.
struct position_request
{
    /// Repeated by the updates. Numbers of one proxy ascend.
    std::uint64_t number = 0;
    std::vector<group_id> groups;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(number, groups);
    }
};

/// Control to proxy: positions that a `position_request` asked for, as soon as
/// they are known. Their `asked_ago_ms` count back from the moment at which the
/// request arrived, so that they are negative for a position that was asked
/// for because of it.
struct position_update
{
    std::uint64_t answers = 0;
    std::vector<position_record> positions;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(answers, positions);
    }
};

/// Control to proxy, as an answer and whenever something changed.
struct view_update
{
    /// Number of the request that this answers; 0 if there was none.
    std::uint64_t answers = 0;
    /// The sender's state holds everything that was acknowledged up to this
    /// many milliseconds before sending; rounded up, -1 if it cannot tell.
    std::int64_t age_ms = -1;
    std::uint64_t configuration_version = 0;
    /// Compressed document; empty if the proxy holds this version.
    std::string configuration;
    /// Changed since the last update on the link; empty for a peer that gets
    /// `server_changes`.
    std::vector<server_record> servers;
    std::vector<control_member_record> control_members;
    /// Proxies of the whole deployment, which share the servers' connections.
    std::uint32_t proxies = 1;
    /// Only in answers: their request bounds the time that passed since.
    std::vector<position_record> positions;
    /// Ways to the servers that the request said it cannot reach.
    std::vector<detour_record> detours;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(answers, age_ms, configuration_version, configuration, servers,
                control_members, proxies, positions, detours);
    }
};

} // namespace rhubarbrun::inline v1

#endif
