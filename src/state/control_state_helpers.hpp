#ifndef RHUBARBRUN_SRC_STATE_CONTROL_STATE_HELPERS_HPP
#define RHUBARBRUN_SRC_STATE_CONTROL_STATE_HELPERS_HPP

#include <rhubarbrun/state/control_state.hpp>

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <iterator>
#include <openssl/sha.h>
#include <rhubarbrun/state/strict_archive.hpp>
#include <stdexcept>
#include <utility>

namespace rhubarbrun::detail::control_state_helpers {

/// Incremented when the saved form changes.
inline constexpr auto state_format = std::uint32_t{1};
inline constexpr auto state_magic = std::uint32_t{0x53435252};

template <class Map, class Key>
auto find_in(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

const auto no_targets = std::set<target_id>();

template <class Map, class Key>
auto set_in(const Map& map, const Key& key) -> const std::set<target_id>&
{
    const auto* const found = find_in(map, key);
    return found == nullptr ? no_targets : *found;
}

template <class Map, class Key>
auto erase_member(Map& map, const Key& key, const target_id& target) -> void
{
    const auto found = map.find(key);
    if (found != map.end()) {
        found->second.erase(target);
        if (found->second.empty()) {
            map.erase(found);
        }
    }
}

inline auto refuse(command_status status) -> command_result
{
    auto result = command_result{};
    result.status = status;
    return result;
}

/// A result that names the bundle which holds the version.
inline auto describe(command_status status, const bundle_record& record)
    -> command_result
{
    auto result = refuse(status);
    result.version = record.version;
    result.digest = record.digest;
    result.proposer = record.proposer;
    return result;
}

inline auto checksum(std::string_view bytes) -> std::string
{
    auto hash = std::string(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           reinterpret_cast<unsigned char*>(hash.data()));
    return hash;
}

inline auto is_open(bundle_stage stage) -> bool
{
    return stage == bundle_stage::proposed || stage == bundle_stage::approved;
}

inline auto contains(const std::vector<operator_entry>& operators,
                     const operator_id& id) -> bool
{
    return std::any_of(operators.begin(), operators.end(),
                       [&](const auto& entry) { return entry.id == id; });
}

} // namespace rhubarbrun::detail::control_state_helpers

#endif
