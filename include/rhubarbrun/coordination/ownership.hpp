#ifndef RHUBARBRUN_COORDINATION_OWNERSHIP_HPP
#define RHUBARBRUN_COORDINATION_OWNERSHIP_HPP

#include <rhubarbrun/state/directory_records.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of the flap damping.
struct ownership_options
{
    /// A proxy that rejoins within this time after it left counts as
    /// flapping.
    duration flap_window = std::chrono::minutes(10);
    /// Time for which a proxy gets no targets after it flapped. It doubles
    /// with each further flap within the window.
    duration initial_hold_down = std::chrono::seconds(30);
    duration max_hold_down = std::chrono::minutes(10);
};

/// A planned move of a target to another proxy.
struct ownership_move
{
    target_id target;
    proxy_identity to;

    friend auto operator==(const ownership_move&, const ownership_move&)
        -> bool = default;
};

/// Plans the assignment of targets to proxies.
///
/// A target keeps its planned owner while that proxy is a member. Otherwise it
/// is assigned to the proxy with the highest rendezvous score among those with
/// the lowest load. Proxies in the target's availability zone that are not in
/// hold-down are preferred, and the owner of another server of the group is
/// chosen only if there is no alternative.
class ownership
{
public:
    explicit ownership(ownership_options options = {});

    /// Adds a proxy or replaces its previous incarnation.
    auto add_proxy(time_point now, const proxy_identity& proxy,
                   const zone_id& zone) -> void;

    /// Removes a proxy. Returns its targets, which have no planned owner
    /// afterwards.
    auto remove_proxy(time_point now, const proxy_id& proxy)
        -> std::vector<target_id>;

    /// Stops planning targets for a draining proxy. Returns its targets.
    auto drain_proxy(const proxy_id& proxy) -> std::vector<target_id>;

    /// Adds a target, or changes its zone or group.
    auto put_target(const target_id& target, const group_id& group,
                    const zone_id& zone) -> void;

    auto remove_target(const target_id& target) -> void;

    /// Sets the owner from the replicated state. An owner that is not a member
    /// counts as none.
    auto set_owner(const target_id& target,
                   const std::optional<proxy_identity>& owner) -> void;

    /// Excludes a proxy as owner of a target until `until`, after the proxy
    /// released the target because it could not reach it.
    auto exclude(const target_id& target, const proxy_id& proxy,
                 time_point until) -> void;

    /// Returns the planned owner, and chooses one if there is none or if it is
    /// draining. No value if the target is unknown or if every proxy is
    /// draining.
    auto place(time_point now, const target_id& target)
        -> std::optional<proxy_identity>;

    /// Whether `plan_moves` has zones to examine.
    [[nodiscard]] auto has_changed() const noexcept -> bool
    {
        return !changed_zones_.empty();
    }

    /// Plans at most `limit` moves that return targets to their zone, balance
    /// the load or separate the servers of a group. Examines only zones in
    /// which something changed.
    auto plan_moves(time_point now, std::size_t limit)
        -> std::vector<ownership_move>;

    /// End of the hold-down that ends next.
    [[nodiscard]] auto next_hold_down_end() const -> std::optional<time_point>;

    /// Number of targets planned for a proxy.
    [[nodiscard]] auto load_of(const proxy_id& proxy) const -> std::size_t;

    [[nodiscard]] auto is_member(const proxy_identity& proxy) const -> bool;

private:
    struct member
    {
        proxy_identity identity;
        zone_id zone;
        bool is_draining = false;
        time_point hold_down_until = time_point::min();
        std::set<target_id> targets;
    };

    struct departure
    {
        time_point left_at;
        std::uint32_t flap_count = 0;
    };

    struct placement
    {
        group_id group;
        zone_id zone;
        std::optional<proxy_id> owner;
        std::map<proxy_id, time_point> excluded;
    };

    struct preference;

    [[nodiscard]] auto rank(time_point now, const target_id& id,
                            const placement& target,
                            const member& candidate) const -> preference;
    [[nodiscard]] static auto rank(time_point now, const target_id& id,
                                   const placement& target,
                                   const member& candidate, bool shares_group)
        -> preference;
    /// Returns the owners of the other targets of the group.
    [[nodiscard]] auto sibling_owners(const placement& target,
                                      const target_id& id) const
        -> std::vector<const member*>;
    [[nodiscard]] auto choose(time_point now, const target_id& id,
                              const placement& target) const -> const member*;
    [[nodiscard]] auto shares_group(const placement& target,
                                    const target_id& id,
                                    const member& candidate) const -> bool;
    auto assign(const target_id& id, placement& target,
                const std::optional<proxy_id>& owner) -> void;
    auto mark_changed(const zone_id& zone) -> void;
    auto remove_expired_departures(time_point now) -> void;
    auto plan_zone(time_point now, const zone_id& zone, std::size_t limit,
                   std::vector<ownership_move>& moves) -> bool;
    auto plan_better_placements(time_point now, const zone_id& zone,
                                std::size_t limit,
                                std::vector<ownership_move>& moves) -> bool;
    auto plan_load_balancing(time_point now, const zone_id& zone,
                             std::size_t limit,
                             std::vector<ownership_move>& moves) -> bool;
    [[nodiscard]] auto find_balancing_move(time_point now,
                                           const zone_id& zone) const
        -> std::optional<ownership_move>;
    [[nodiscard]] auto pick_target_to_move(time_point now, const member& from,
                                           const member& to) const
        -> std::optional<target_id>;

    ownership_options options_;
    std::map<proxy_id, member> members_;
    std::map<zone_id, std::set<proxy_id>> zones_;
    std::map<proxy_id, departure> departures_;
    std::set<std::pair<time_point, proxy_id>> departure_times_;
    std::map<target_id, placement> targets_;
    std::map<zone_id, std::set<target_id>> zone_targets_;
    std::map<group_id, std::set<target_id>> groups_;
    std::set<std::pair<time_point, proxy_id>> hold_down_ends_;
    std::set<zone_id> changed_zones_;
};

} // namespace rhubarbrun::inline v1

#endif
