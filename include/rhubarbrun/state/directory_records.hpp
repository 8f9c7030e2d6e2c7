#ifndef RHUBARBRUN_STATE_DIRECTORY_RECORDS_HPP
#define RHUBARBRUN_STATE_DIRECTORY_RECORDS_HPP

#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace rhubarbrun::inline v1 {

/// One run of a proxy.
struct proxy_identity
{
    proxy_id id;
    incarnation run;

    friend auto operator<=>(const proxy_identity& left,
                            const proxy_identity& right) -> std::strong_ordering
    {
        return std::tie(left.id, left.run) <=> std::tie(right.id, right.run);
    }

    friend auto operator==(const proxy_identity& left,
                           const proxy_identity& right) -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, run);
    }
};

/// A registered proxy.
struct proxy_record
{
    proxy_identity identity;
    /// IP address of the peer endpoint.
    std::string address;
    std::uint16_t tcp_port = 0;
    std::uint16_t udp_port = 0;
    std::string http_address;
    std::uint16_t http_port = 0;
    zone_id zone;
    /// It shuts down: it gets no targets and hands over those it owns.
    bool is_draining = false;

    friend auto operator==(const proxy_record&, const proxy_record&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(identity, address, tcp_port, udp_port, http_address, http_port,
                zone, is_draining);
    }
};

/// What a target announces about itself.
struct target_description
{
    target_id id;
    group_id group;
    /// IP address of the database server.
    std::string address;
    std::uint16_t port = 0;
    zone_id zone;
    std::uint32_t slots = 0;
    std::uint32_t connection_limit = 0;

    friend auto operator==(const target_description&, const target_description&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, group, address, port, zone, slots, connection_limit);
    }
};

/// Whether a target may receive work.
enum class target_presence : std::uint8_t
{
    present,
    /// It said that it leaves: it receives no new work.
    leaving,
    /// It has not been announced for longer than the time to live.
    gone,
};

/// A known target and its assignment.
struct target_record
{
    target_description description;
    target_presence presence = target_presence::present;
    /// No value while no proxy owns the target.
    std::optional<proxy_identity> owner;
    /// Changes, and only ever to a higher number, with `owner`.
    owner_epoch epoch;
    /// Becomes the owner when the current one releases the target.
    std::optional<proxy_identity> next_owner;

    friend auto operator==(const target_record&, const target_record&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(description, presence, owner, epoch, next_owner);
    }
};

/// The primary of a group.
struct primary_record
{
    target_id target;
    term group_term;
    /// Who claimed this term, and under which epoch.
    proxy_identity claimant;
    owner_epoch claimant_epoch;
    /// Log index of the command that set it.
    log_index set_at;

    friend auto operator==(const primary_record&, const primary_record&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(target, group_term, claimant, claimant_epoch, set_at);
    }
};

/// A group of the bundle in force.
struct group_record
{
    group_config config;
    /// No value until the first primary was set.
    std::optional<primary_record> primary;

    friend auto operator==(const group_record&, const group_record&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(config, primary);
    }
};

/// The bundle in force, without its groups and operators.
struct bundle_header
{
    bundle_version version;
    bundle_digest digest;
    bundle_timings timings;

    friend auto operator==(const bundle_header&, const bundle_header&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(version, digest, timings);
    }
};

/// Changes of the directory between two log indexes.
///
/// It may be applied to a copy whose index is in [`since`, `up_to`].
struct directory_delta
{
    log_index since;
    log_index up_to;
    /// The delta holds the whole directory and replaces any copy.
    bool is_complete = false;
    std::optional<bundle_header> bundle;
    std::vector<group_record> groups;
    std::vector<group_id> removed_groups;
    std::vector<target_record> targets;
    std::vector<target_id> removed_targets;
    std::vector<proxy_record> proxies;
    std::vector<proxy_id> removed_proxies;

    friend auto operator==(const directory_delta&, const directory_delta&)
        -> bool = default;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(since, up_to, is_complete, bundle, groups, removed_groups,
                targets, removed_targets, proxies, removed_proxies);
    }
};

} // namespace rhubarbrun::inline v1

#endif
