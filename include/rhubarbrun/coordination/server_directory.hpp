#ifndef RHUBARBRUN_COORDINATION_SERVER_DIRECTORY_HPP
#define RHUBARBRUN_COORDINATION_SERVER_DIRECTORY_HPP

#include <rhubarbrun/state/server_record.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Records of the database servers that one process knows.
///
/// Every process merges the announcements that it receives, from servers or
/// other processes, in any order; all converge to the same records. A record
/// does not expire without announcements, because a server that cannot reach
/// this process may still serve.
class server_directory
{
public:
    /// A record with the time at which its last announcement was received.
    struct entry
    {
        server_record record;
        time_point heard_at;
        /// Directory revision of the last change that affects routing to the
        /// server.
        std::uint64_t revision = 0;
    };

    enum class merge_result : std::uint8_t
    {
        /// The announcement is not newer than the known record.
        stale,
        /// The announcement is newer but does not affect routing.
        renewed,
        changed,
    };

    /// Merges one announcement. A server that started later at the same address
    /// marks the records of earlier servers there as gone, also those that
    /// arrive after its own. A record without a start time is gone as well
    /// where another server of its group has one. One of a group that is not
    /// known neither does that nor takes a record over.
    auto merge(time_point now, const server_record& record,
               bool is_group_known = true) -> merge_result;

    /// Marks a server that announced its end as gone. Returns the final record,
    /// or null if the server is unknown.
    auto remove(time_point now, const target_id& id) -> const server_record*;

    [[nodiscard]] auto entries() const noexcept
        -> const std::map<target_id, entry>&
    {
        return entries_;
    }

    /// The record of a server, or null.
    [[nodiscard]] auto find(const target_id& id) const noexcept -> const entry*;

    /// The server of a group with the latest claim to be its primary, or null.
    [[nodiscard]] auto claimed_primary(const group_id& group) const noexcept
        -> const entry*;

    /// Servers of a group, in the order of their ids.
    [[nodiscard]] auto servers_of(const group_id& group) const
        -> std::vector<const entry*>;

    /// Records in which routing changed after `revision`, in the order of the
    /// changes.
    [[nodiscard]] auto changed_since(std::uint64_t revision) const
        -> std::vector<server_record>;

    [[nodiscard]] auto revision() const noexcept -> std::uint64_t
    {
        return revision_;
    }

    /// The same for all processes that hold equivalent records.
    [[nodiscard]] auto digest() const noexcept -> std::uint64_t
    {
        return digest_;
    }

private:
    auto end_others_at_address(time_point now, const server_record& record)
        -> void;
    auto end_others_without_start(time_point now, const server_record& record)
        -> void;
    /// Whether a later server holds the address, or the record is of another
    /// writer, which does not state the start.
    [[nodiscard]] auto is_superseded(time_point now,
                                     const server_record& record) const -> bool;
    /// Counts a change of the entry, whose index must be up to date.
    auto mark_changed(entry& known) -> void;

    std::map<target_id, entry> entries_;
    // Indexes, so that a lookup does not cost more with more servers.
    std::map<group_id, std::set<target_id>> by_group_;
    std::map<std::string, std::set<target_id>> by_address_;
    std::map<std::uint64_t, target_id> by_revision_;
    std::uint64_t revision_ = 0;
    /// Sum of the records' hashes.
    std::uint64_t digest_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
