#ifndef RHUBARBRUN_COORDINATION_SERVER_DIRECTORY_HPP
#define RHUBARBRUN_COORDINATION_SERVER_DIRECTORY_HPP

#include <rhubarbrun/state/server_record.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What one process knows about the database servers.
///
/// Every process merges the announcements that it hears of, from servers or
/// from other processes, in any order; all end with the same records. Silence
/// removes nothing: a server that cannot reach this process may still serve.
class server_directory
{
public:
    /// A record with the time at which the last announcement was heard of.
    struct entry
    {
        server_record record;
        time_point heard_at;
        /// Revision of this directory in which routing to it changed last.
        std::uint64_t revision = 0;
    };

    enum class merge_result : std::uint8_t
    {
        /// Older than what is known, or the same.
        stale,
        /// A later announcement that changes no routing.
        renewed,
        changed,
    };

    /// Takes one announcement in. A server that started later at the same
    /// address ends the records of earlier ones there.
    auto merge(time_point now, const server_record& record) -> merge_result;

    /// Records the announced end of a server; returns the final record, or
    /// null if the server is not known.
    auto remove(time_point now, const target_id& id) -> const server_record*;

    [[nodiscard]] auto entries() const noexcept
        -> const std::map<target_id, entry>&
    {
        return entries_;
    }

    /// The record of a server, or null.
    [[nodiscard]] auto find(const target_id& id) const noexcept -> const entry*;

    /// The server of a group that claimed last to be its primary, or null.
    [[nodiscard]] auto claimed_primary(const group_id& group) const noexcept
        -> const entry*;

    /// Records in which routing changed after `revision`.
    [[nodiscard]] auto changed_since(std::uint64_t revision) const
        -> std::vector<server_record>;

    [[nodiscard]] auto revision() const noexcept -> std::uint64_t
    {
        return revision_;
    }

private:
    auto end_others_at_address(time_point now, const server_record& record)
        -> void;

    std::map<target_id, entry> entries_;
    std::uint64_t revision_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
