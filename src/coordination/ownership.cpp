#include <rhubarbrun/coordination/ownership.hpp>

#include <algorithm>
#include <compare>
#include <string_view>
#include <tuple>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// FNV-1a hash with a finalizer, because the high bits of FNV-1a are poorly
/// mixed for short names.
auto rendezvous_score(const target_id& target, const proxy_id& proxy)
    -> std::uint64_t
{
    constexpr auto offset_basis = std::uint64_t{0xcbf29ce484222325};
    constexpr auto prime = std::uint64_t{0x100000001b3};
    auto hash = offset_basis;
    const auto mix = [&](std::string_view text) {
        for (const auto c : text) {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        }
        hash = (hash ^ 0xFFU) * prime;
    };
    mix(target.value());
    mix(proxy.value());
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

/// A move of one target cannot reduce a load difference of 1.
constexpr auto min_load_difference = std::size_t{2};

template <class Map, class Key, class Value>
auto erase_from(Map& map, const Key& key, const Value& value) -> void
{
    const auto found = map.find(key);
    if (found != map.end()) {
        found->second.erase(value);
        if (found->second.empty()) {
            map.erase(found);
        }
    }
}

} // namespace

/// Placement criteria in order of precedence. Lower is better.
struct ownership::preference
{
    bool is_excluded;
    bool is_held_down;
    bool is_in_other_zone;
    bool shares_group;
    std::size_t load;
    /// Complement of the rendezvous score, so that the highest score is
    /// preferred.
    std::uint64_t inverse_score;

    [[nodiscard]] auto key() const
    {
        return std::tie(is_excluded, is_held_down, is_in_other_zone,
                        shares_group, load, inverse_score);
    }
};

ownership::ownership(ownership_options options) : options_(options) {}

auto ownership::add_proxy(time_point now, const proxy_identity& proxy,
                          const zone_id& zone) -> void
{
    const auto known = members_.find(proxy.id);
    if (known != members_.end()) {
        if (known->second.identity == proxy && known->second.zone == zone) {
            return;
        }
        remove_proxy(now, proxy.id);
    }
    auto& added = members_[proxy.id];
    added.identity = proxy;
    added.zone = zone;
    zones_[zone].insert(proxy.id);
    remove_expired_departures(now);
    const auto left = departures_.find(proxy.id);
    if (left != departures_.end()) {
        auto hold_down = options_.initial_hold_down;
        for (auto i = std::uint32_t{0};
             i < left->second.flap_count && hold_down < options_.max_hold_down;
             ++i)
        {
            hold_down *= 2;
        }
        ++left->second.flap_count;
        added.hold_down_until =
            now + std::min(hold_down, options_.max_hold_down);
        hold_down_ends_.emplace(added.hold_down_until, proxy.id);
    }
    mark_changed(zone);
}

auto ownership::remove_proxy(time_point now, const proxy_id& proxy)
    -> std::vector<target_id>
{
    const auto found = members_.find(proxy);
    if (found == members_.end()) {
        return {};
    }
    auto orphans = std::vector<target_id>(found->second.targets.begin(),
                                          found->second.targets.end());
    for (const auto& target : orphans) {
        assign(target, targets_.at(target), std::nullopt);
    }
    hold_down_ends_.erase({found->second.hold_down_until, proxy});
    erase_from(zones_, found->second.zone, proxy);
    members_.erase(found);
    auto& left = departures_[proxy];
    departure_times_.erase({left.left_at, proxy});
    left.left_at = now;
    departure_times_.emplace(now, proxy);
    return orphans;
}

auto ownership::remove_expired_departures(time_point now) -> void
{
    while (!departure_times_.empty() &&
           departure_times_.begin()->first + options_.flap_window <= now)
    {
        departures_.erase(departure_times_.begin()->second);
        departure_times_.erase(departure_times_.begin());
    }
}

auto ownership::drain_proxy(const proxy_id& proxy) -> std::vector<target_id>
{
    const auto found = members_.find(proxy);
    if (found == members_.end()) {
        return {};
    }
    found->second.is_draining = true;
    return {found->second.targets.begin(), found->second.targets.end()};
}

auto ownership::put_target(const target_id& target, const group_id& group,
                           const zone_id& zone) -> void
{
    const auto [place, is_new] = targets_.try_emplace(target);
    auto& known = place->second;
    if (!is_new && known.group == group && known.zone == zone) {
        return;
    }
    if (!is_new) {
        erase_from(groups_, known.group, target);
        erase_from(zone_targets_, known.zone, target);
    }
    known.group = group;
    known.zone = zone;
    groups_[group].insert(target);
    zone_targets_[zone].insert(target);
    mark_changed(zone);
}

auto ownership::remove_target(const target_id& target) -> void
{
    const auto found = targets_.find(target);
    if (found == targets_.end()) {
        return;
    }
    assign(target, found->second, std::nullopt);
    erase_from(groups_, found->second.group, target);
    erase_from(zone_targets_, found->second.zone, target);
    targets_.erase(found);
}

auto ownership::set_owner(const target_id& target,
                          const std::optional<proxy_identity>& owner) -> void
{
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        const auto is_known = owner && is_member(*owner);
        assign(target, found->second,
               is_known ? std::optional(owner->id) : std::nullopt);
    }
}

auto ownership::exclude(const target_id& target, const proxy_id& proxy,
                        time_point until) -> void
{
    const auto found = targets_.find(target);
    if (found == targets_.end()) {
        return;
    }
    found->second.excluded.insert_or_assign(proxy, until);
    if (found->second.owner == proxy) {
        assign(target, found->second, std::nullopt);
    }
}

auto ownership::assign(const target_id& id, placement& target,
                       const std::optional<proxy_id>& owner) -> void
{
    if (target.owner == owner) {
        return;
    }
    if (target.owner) {
        auto& former = members_.at(*target.owner);
        former.targets.erase(id);
        mark_changed(former.zone);
    }
    if (owner) {
        auto& chosen = members_.at(*owner);
        chosen.targets.insert(id);
        mark_changed(chosen.zone);
    }
    target.owner = owner;
    mark_changed(target.zone);
}

auto ownership::mark_changed(const zone_id& zone) -> void
{
    changed_zones_.insert(zone);
}

auto ownership::shares_group(const placement& target, const target_id& id,
                             const member& candidate) const -> bool
{
    const auto& siblings = groups_.at(target.group);
    return std::any_of(
        siblings.begin(), siblings.end(), [&](const auto& sibling) {
            return sibling != id && candidate.targets.contains(sibling);
        });
}

auto ownership::sibling_owners(const placement& target,
                               const target_id& id) const
    -> std::vector<const member*>
{
    auto owners = std::vector<const member*>();
    for (const auto& sibling : groups_.at(target.group)) {
        const auto& owner = targets_.at(sibling).owner;
        if (sibling != id && owner) {
            owners.push_back(&members_.at(*owner));
        }
    }
    return owners;
}

auto ownership::rank(time_point now, const target_id& id,
                     const placement& target, const member& candidate) const
    -> preference
{
    return rank(now, id, target, candidate,
                shares_group(target, id, candidate));
}

auto ownership::rank(time_point now, const target_id& id,
                     const placement& target, const member& candidate,
                     bool shares_group) -> preference
{
    const auto is_owner = target.owner == candidate.identity.id;
    const auto excluded = target.excluded.find(candidate.identity.id);
    return {excluded != target.excluded.end() && excluded->second > now,
            candidate.hold_down_until > now,
            candidate.zone != target.zone,
            shares_group,
            candidate.targets.size() - (is_owner ? 1U : 0U),
            ~rendezvous_score(id, candidate.identity.id)};
}

auto ownership::choose(time_point now, const target_id& id,
                       const placement& target) const -> const member*
{
    const auto* best = static_cast<const member*>(nullptr);
    auto best_rank = preference{};
    // The owners are looked up once instead of for each of up to 540
    // candidates.
    const auto owners = sibling_owners(target, id);
    const auto consider = [&](const member& candidate) {
        if (candidate.is_draining) {
            return;
        }
        const auto shares_group =
            std::find(owners.begin(), owners.end(), &candidate) != owners.end();
        const auto ranked = rank(now, id, target, candidate, shares_group);
        if (best == nullptr || ranked.key() < best_rank.key()) {
            best = &candidate;
            best_rank = ranked;
        }
    };
    if (const auto zone = zones_.find(target.zone); zone != zones_.end()) {
        for (const auto& proxy : zone->second) {
            consider(members_.at(proxy));
        }
    }
    if (best != nullptr && !best_rank.is_excluded && !best_rank.is_held_down) {
        return best;
    }
    for (const auto& [proxy, candidate] : members_) {
        consider(candidate);
    }
    return best;
}

auto ownership::place(time_point now, const target_id& target)
    -> std::optional<proxy_identity>
{
    const auto found = targets_.find(target);
    if (found == targets_.end()) {
        return std::nullopt;
    }
    auto& placed = found->second;
    std::erase_if(placed.excluded,
                  [&](const auto& entry) { return entry.second <= now; });
    if (placed.owner && !members_.at(*placed.owner).is_draining) {
        return members_.at(*placed.owner).identity;
    }
    const auto* const chosen = choose(now, target, placed);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    assign(target, placed, chosen->identity.id);
    return chosen->identity;
}

auto ownership::plan_moves(time_point now, std::size_t limit)
    -> std::vector<ownership_move>
{
    while (!hold_down_ends_.empty() && hold_down_ends_.begin()->first <= now) {
        mark_changed(members_.at(hold_down_ends_.begin()->second).zone);
        hold_down_ends_.erase(hold_down_ends_.begin());
    }
    auto moves = std::vector<ownership_move>();
    auto pending = std::exchange(changed_zones_, {});
    for (const auto& zone : pending) {
        if (!plan_zone(now, zone, limit, moves)) {
            changed_zones_.insert(zone);
        }
    }
    return moves;
}

/// Returns whether the zone needs no further move.
auto ownership::plan_zone(time_point now, const zone_id& zone,
                          std::size_t limit, std::vector<ownership_move>& moves)
    -> bool
{
    return plan_better_placements(now, zone, limit, moves) &&
           plan_load_balancing(now, zone, limit, moves);
}

auto ownership::plan_better_placements(time_point now, const zone_id& zone,
                                       std::size_t limit,
                                       std::vector<ownership_move>& moves)
    -> bool
{
    const auto local = zone_targets_.find(zone);
    if (local == zone_targets_.end()) {
        return true;
    }
    for (const auto& id : local->second) {
        auto& target = targets_.at(id);
        if (!target.owner || members_.at(*target.owner).is_draining) {
            continue;
        }
        const auto current = rank(now, id, target, members_.at(*target.owner));
        if (!current.is_in_other_zone && !current.shares_group) {
            continue;
        }
        const auto* const better = choose(now, id, target);
        if (better == nullptr || better->identity.id == *target.owner) {
            continue;
        }
        const auto offered = rank(now, id, target, *better);
        const auto key = [](const preference& p) {
            return std::tuple(p.is_excluded, p.is_held_down, p.is_in_other_zone,
                              p.shares_group);
        };
        if (key(offered) < key(current)) {
            if (moves.size() >= limit) {
                return false;
            }
            moves.push_back({id, better->identity});
            assign(id, target, better->identity.id);
        }
    }
    return true;
}

auto ownership::plan_load_balancing(time_point now, const zone_id& zone,
                                    std::size_t limit,
                                    std::vector<ownership_move>& moves) -> bool
{
    while (auto move = find_balancing_move(now, zone)) {
        if (moves.size() >= limit) {
            return false;
        }
        assign(move->target, targets_.at(move->target), move->to.id);
        moves.push_back(std::move(*move));
    }
    return true;
}

/// Finds a move of a target from a more loaded to a less loaded proxy of the
/// zone, starting with the largest difference.
auto ownership::find_balancing_move(time_point now, const zone_id& zone) const
    -> std::optional<ownership_move>
{
    const auto locals = zones_.find(zone);
    if (locals == zones_.end()) {
        return std::nullopt;
    }
    auto by_load = std::vector<const member*>();
    for (const auto& proxy : locals->second) {
        const auto& candidate = members_.at(proxy);
        if (!candidate.is_draining && candidate.hold_down_until <= now) {
            by_load.push_back(&candidate);
        }
    }
    std::stable_sort(by_load.begin(), by_load.end(),
                     [](const auto* left, const auto* right) {
                         return left->targets.size() < right->targets.size();
                     });
    for (const auto* const to : by_load) {
        for (auto from = by_load.rbegin(); from != by_load.rend(); ++from) {
            if ((*from)->targets.size() <
                to->targets.size() + min_load_difference) {
                break;
            }
            if (auto target = pick_target_to_move(now, **from, *to)) {
                return ownership_move{std::move(*target), to->identity};
            }
        }
    }
    return std::nullopt;
}

auto ownership::pick_target_to_move(time_point now, const member& from,
                                    const member& to) const
    -> std::optional<target_id>
{
    auto best = std::optional<target_id>();
    auto best_score = std::uint64_t{0};
    for (const auto& id : from.targets) {
        const auto& target = targets_.at(id);
        const auto ranked = rank(now, id, target, to);
        const auto brings_group_together =
            ranked.shares_group && !shares_group(target, id, from);
        if (ranked.is_excluded || ranked.is_in_other_zone ||
            brings_group_together) {
            continue;
        }
        if (!best || ~ranked.inverse_score > best_score) {
            best = id;
            best_score = ~ranked.inverse_score;
        }
    }
    return best;
}

auto ownership::next_hold_down_end() const -> std::optional<time_point>
{
    if (hold_down_ends_.empty()) {
        return std::nullopt;
    }
    return hold_down_ends_.begin()->first;
}

auto ownership::load_of(const proxy_id& proxy) const -> std::size_t
{
    const auto found = members_.find(proxy);
    return found == members_.end() ? 0 : found->second.targets.size();
}

auto ownership::is_member(const proxy_identity& proxy) const -> bool
{
    const auto found = members_.find(proxy.id);
    return found != members_.end() && found->second.identity == proxy;
}

} // namespace rhubarbrun::inline v1
