#ifndef RHUBARBRUN_SRC_STATE_TARGET_INDEX_HPP
#define RHUBARBRUN_SRC_STATE_TARGET_INDEX_HPP

#include <rhubarbrun/state/ids.hpp>

#include <set>

/// Look-ups in maps, and in indexes that map a key to a set of targets; shared
/// by the control state and the proxies' copy of it.
namespace rhubarbrun::detail::target_index {

template <class Map, class Key>
auto find_in(Map& map, const Key& key) -> decltype(&map.find(key)->second)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

inline const auto no_targets = std::set<target_id>();

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

} // namespace rhubarbrun::detail::target_index

#endif
