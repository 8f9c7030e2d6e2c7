#include <rhubarbrun/coordination/failover_plan.hpp>

#include <chrono>

namespace rhubarbrun::inline v1 {

auto plan_failover(const directory& view, const group_record& group,
                   bool is_planned) -> std::optional<failover_group>
{
    auto plan = failover_group{};
    plan.id = group.config.id;
    plan.current_term = group.primary->group_term;
    plan.primary = group.primary->target;
    plan.acknowledge = group.config.acknowledge;
    for (const auto& member : view.targets_of(group.config.id)) {
        if (member == plan.primary) {
            continue;
        }
        plan.others.push_back(member);
        const auto presence = view.find_target(member)->presence;
        const auto is_excluded =
            presence == target_presence::gone ||
            (is_planned && presence == target_presence::leaving);
        if (is_excluded) {
            plan.excluded.insert(member);
        }
    }
    if (is_planned && plan.excluded.size() == plan.others.size()) {
        return std::nullopt;
    }
    return plan;
}

auto failover_options_for(const bundle_timings& timings) -> failover_options
{
    auto options = failover_options{};
    options.isolation_timeout =
        std::chrono::milliseconds(timings.lease_ms + timings.lease_renewal_ms);
    return options;
}

auto leaving_primary_wait(const bundle_timings& timings) -> duration
{
    // Unlike during a handover between proxies, the group accepts no writes
    // during this wait. The full handover wait would exceed the limit of 2 s
    // without writes.
    return std::chrono::milliseconds(timings.handover_wait_ms) / 2;
}

auto confirmation_order(const directory& view, const proxy_id& self)
    -> std::vector<proxy_id>
{
    // Proxies of other zones come first, because a failure of this zone would
    // affect all of its proxies in the same way.
    const auto* const own = view.find_proxy(self);
    auto near = std::vector<proxy_id>{};
    auto far = std::vector<proxy_id>{};
    auto draining = std::vector<proxy_id>{};
    for (const auto& [id, record] : view.proxies()) {
        if (id == self) {
            continue;
        }
        // A draining proxy holds its lease and answers until it exits.
        const auto is_near = own != nullptr && own->zone == record.zone;
        auto& list = record.is_draining ? draining : is_near ? near : far;
        list.push_back(id);
    }
    far.insert(far.end(), near.begin(), near.end());
    far.insert(far.end(), draining.begin(), draining.end());
    return far;
}

} // namespace rhubarbrun::inline v1
