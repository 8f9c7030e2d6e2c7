#ifndef RHUBARBRUN_STATE_SERVER_RECORD_HPP
#define RHUBARBRUN_STATE_SERVER_RECORD_HPP

#include <rhubarbrun/state/ids.hpp>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace rhubarbrun::inline v1 {

/// What a database server says it is in its group.
enum class server_role : std::uint8_t
{
    replica,
    primary,
};

/// Whether a server takes new work.
enum class server_availability : std::uint8_t
{
    ready,
    draining,
    /// It announced its end; the record is kept for a while, so that older
    /// announcements do not bring it back.
    gone,
};

/// The latest announcement of one database server.
struct server_record
{
    target_id id;
    group_id group;
    /// IPv4 address and port, as `a.b.c.d:port`.
    std::string address;
    zone_id zone;
    server_role role = server_role::replica;
    server_availability state = server_availability::ready;
    /// Statements that it runs at a time.
    std::uint32_t slots = 1;
    /// Start of the server process, in milliseconds of Unix time by its own
    /// clock; a later start under the same id begins a new sequence.
    std::uint64_t started_at = 0;
    /// Number of the announcement since that start.
    std::uint64_t sequence = 0;

    /// Whether this announcement was made after `other` of the same server.
    [[nodiscard]] auto is_newer_than(const server_record& other) const noexcept
        -> bool
    {
        return started_at != other.started_at ? started_at > other.started_at
                                              : sequence > other.sequence;
    }

    /// Whether routing is the same for both.
    [[nodiscard]] auto is_equivalent(const server_record& other) const noexcept
        -> bool
    {
        return id == other.id && group == other.group &&
               address == other.address && zone == other.zone &&
               role == other.role && state == other.state &&
               slots == other.slots && started_at == other.started_at;
    }

    /// Whether the record can name a server: its id and group are words, and
    /// its address is an IPv4 address with a port from 1.
    [[nodiscard]] auto is_usable() const noexcept -> bool;

    /// Hash of all that affects routing; equal for equivalent records.
    [[nodiscard]] auto routing_hash() const noexcept -> std::uint64_t;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(id, group, address, zone, role, state, slots, started_at,
                sequence);
    }
};

} // namespace rhubarbrun::inline v1

#endif
