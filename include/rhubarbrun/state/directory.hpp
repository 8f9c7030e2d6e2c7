#ifndef RHUBARBRUN_STATE_DIRECTORY_HPP
#define RHUBARBRUN_STATE_DIRECTORY_HPP

#include <rhubarbrun/state/directory_records.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What became of a delta.
enum class delta_outcome : std::uint8_t
{
    applied,
    /// The copy is at or past the end of the delta already.
    stale,
    /// The delta starts after the copy's index; ask for one since `index()`.
    gap,
    /// The delta would revert the bundle to a lower version.
    regressed,
};

/// Name of an outcome for logs.
[[nodiscard]] auto to_string(delta_outcome outcome) noexcept
    -> std::string_view;

/// A proxy's copy of the control state, built from deltas. Not thread-safe.
class directory
{
public:
    /// Applies `delta` as a whole or not at all.
    auto apply(const directory_delta& delta) -> delta_outcome;

    /// Log index up to which this copy is complete; 0 before the first delta.
    [[nodiscard]] auto index() const noexcept -> log_index { return index_; }

    /// The bundle in force; no value before the first one is known.
    [[nodiscard]] auto bundle() const noexcept
        -> const std::optional<bundle_header>&
    {
        return bundle_;
    }

    /// The group that callers reach under a database name; null if none.
    [[nodiscard]] auto find_by_database(std::string_view database) const
        -> const group_record*;

    /// Null if there is none.
    [[nodiscard]] auto find_group(const group_id& id) const
        -> const group_record*;
    [[nodiscard]] auto find_target(const target_id& id) const
        -> const target_record*;
    [[nodiscard]] auto find_proxy(const proxy_id& id) const
        -> const proxy_record*;

    /// Targets of a group; empty for an unknown group.
    [[nodiscard]] auto targets_of(const group_id& id) const
        -> const std::set<target_id>&;

    /// Targets that this incarnation of a proxy owns.
    [[nodiscard]] auto targets_owned_by(const proxy_identity& owner) const
        -> const std::set<target_id>&;

    [[nodiscard]] auto groups() const noexcept
        -> const std::map<group_id, group_record>&
    {
        return groups_;
    }
    [[nodiscard]] auto targets() const noexcept
        -> const std::map<target_id, target_record>&
    {
        return targets_;
    }
    [[nodiscard]] auto proxies() const noexcept
        -> const std::map<proxy_id, proxy_record>&
    {
        return proxies_;
    }

private:
    auto clear() -> void;
    auto put_groups(const std::vector<group_record>& records) -> void;
    auto put(const target_record& record) -> void;
    auto erase_group(const group_id& id) -> void;
    auto erase_target(const target_id& id) -> void;

    log_index index_;
    std::optional<bundle_header> bundle_;
    std::map<group_id, group_record> groups_;
    std::map<target_id, target_record> targets_;
    std::map<proxy_id, proxy_record> proxies_;
    std::map<std::string, group_id, std::less<>> databases_;
    std::map<group_id, std::set<target_id>> members_;
    std::map<proxy_identity, std::set<target_id>> owned_;
};

} // namespace rhubarbrun::inline v1

#endif
