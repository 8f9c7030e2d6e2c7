#include "control_state_helpers.hpp"

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

// Proxies, targets, assignments and primaries of the control state.

namespace rhubarbrun::inline v1 {

using namespace detail::control_state_helpers;
auto control_state::run(const register_proxy_command& command) -> command_result
{
    const auto& proxy = command.proxy;
    const auto& id = proxy.identity.id;
    if (id.is_empty()) {
        return refuse(command_status::unknown_proxy);
    }
    const auto found = proxies_.find(id);
    if (found == proxies_.end()) {
        proxies_.emplace(id, proxy);
        touch(record_kind::proxy, id.value());
        return {};
    }
    auto& known = found->second;
    auto registered = proxy;
    if (known.identity == proxy.identity) {
        registered.is_draining = known.is_draining || proxy.is_draining;
    } else {
        if (is_superseded(proxy.identity)) {
            return refuse(command_status::stale_incarnation);
        }
        auto& former = former_runs_[id];
        former.push_back(known.identity.run);
        if (former.size() > most_former_runs) {
            former.erase(former.begin());
        }
    }
    if (known != registered) {
        known = registered;
        touch(record_kind::proxy, id.value());
    }
    return {};
}

auto control_state::run(const remove_proxy_command& command) -> command_result
{
    const auto& id = command.proxy.id;
    const auto found = proxies_.find(id);
    if (found == proxies_.end()) {
        return {};
    }
    if (found->second.identity != command.proxy) {
        return refuse(command_status::stale_incarnation);
    }
    if (!targets_held_by(id).empty()) {
        return refuse(command_status::proxy_owns_targets);
    }
    proxies_.erase(found);
    former_runs_.erase(id);
    touch(record_kind::proxy, id.value());
    return {};
}

auto control_state::run(const drain_proxy_command& command) -> command_result
{
    const auto found = proxies_.find(command.proxy.id);
    if (found == proxies_.end()) {
        return refuse(command_status::unknown_proxy);
    }
    auto& proxy = found->second;
    if (proxy.identity != command.proxy) {
        return refuse(command_status::stale_incarnation);
    }
    if (!proxy.is_draining) {
        proxy.is_draining = true;
        touch(record_kind::proxy, command.proxy.id.value());
    }
    return {};
}

auto control_state::is_superseded(const proxy_identity& proxy) const -> bool
{
    const auto* const former = find_in(former_runs_, proxy.id);
    return former != nullptr && std::find(former->begin(), former->end(),
                                          proxy.run) != former->end();
}

auto control_state::check_assignable(const proxy_identity& proxy) const
    -> command_status
{
    const auto* const known = find_proxy(proxy.id);
    if (known == nullptr) {
        return command_status::unknown_proxy;
    }
    if (known->identity != proxy) {
        return command_status::stale_incarnation;
    }
    return known->is_draining ? command_status::proxy_draining
                              : command_status::ok;
}

// Targets

auto control_state::run(const report_targets_command& command) -> command_result
{
    for (const auto& change : command.changes) {
        apply_change(change);
    }
    return {};
}

auto control_state::apply_change(const target_change& change) -> void
{
    if (change.kind == target_change_kind::announced) {
        announce(change.description);
        return;
    }
    const auto found = targets_.find(change.description.id);
    if (found == targets_.end()) {
        return;
    }
    auto& record = found->second;
    if (change.kind == target_change_kind::forgotten) {
        forget_target(record);
        return;
    }
    const auto presence = change.kind == target_change_kind::leaving
                              ? target_presence::leaving
                              : target_presence::gone;
    // Only an announcement brings a target back that is gone.
    if (record.presence != presence && record.presence != target_presence::gone)
    {
        record.presence = presence;
        touch(record_kind::target, found->first.value());
    }
}

auto control_state::announce(const target_description& description) -> void
{
    const auto& id = description.id;
    if (id.is_empty() || !groups_.contains(description.group)) {
        return;
    }
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        if (targets_.size() < most_targets) {
            auto record = target_record{};
            record.description = description;
            members_[description.group].insert(id);
            targets_.emplace(id, std::move(record));
            touch(record_kind::target, id.value());
        }
        return;
    }
    auto& record = found->second;
    // A server moves to another group only after it was forgotten: its owner
    // and its role as a primary belong to the old group.
    if (record.description.group != description.group) {
        return;
    }
    if (record.presence != target_presence::present ||
        record.description != description)
    {
        record.presence = target_presence::present;
        record.description = description;
        touch(record_kind::target, id.value());
    }
}

auto control_state::is_primary(const target_record& record) const -> bool
{
    const auto* const group = find_group(record.description.group);
    return group != nullptr && group->primary &&
           group->primary->target == record.description.id;
}

auto control_state::forget_target(const target_record& record) -> void
{
    if (record.presence == target_presence::gone && !record.owner &&
        !is_primary(record))
    {
        const auto id = record.description.id;
        erase_target(id);
    }
}

auto control_state::erase_target(const target_id& id) -> void
{
    const auto found = targets_.find(id);
    unindex_holder(found->second);
    erase_member(members_, found->second.description.group, id);
    targets_.erase(found);
    touch(record_kind::target, id.value());
}

// Assignments

auto control_state::find_assignment(const target_id& target,
                                    owner_epoch expected) -> assignment_check
{
    auto* const record = find_in(targets_, target);
    if (record == nullptr) {
        return {nullptr, refuse(command_status::unknown_target)};
    }
    auto result =
        refuse(record->epoch == expected ? command_status::ok
                                         : command_status::stale_epoch);
    result.epoch = record->epoch;
    return {record, std::move(result)};
}

auto control_state::run(const assign_target_command& command) -> command_result
{
    auto [record, result] =
        find_assignment(command.target, command.expected_epoch);
    if (result.is_ok() && command.owner) {
        result.status = check_assignable(*command.owner);
    }
    if (result.is_ok() && record->owner != command.owner) {
        set_holders(*record, command.owner, std::nullopt);
        result.epoch = record->epoch;
    }
    return result;
}

auto control_state::run(const begin_handover_command& command) -> command_result
{
    auto [record, result] =
        find_assignment(command.target, command.expected_epoch);
    if (result.is_ok() && !record->owner) {
        result.status = command_status::not_owner;
    } else if (result.is_ok() && command.next_owner) {
        result.status = check_assignable(*command.next_owner);
    }
    if (result.is_ok()) {
        const auto next = command.next_owner == record->owner
                              ? std::nullopt
                              : command.next_owner;
        set_holders(*record, record->owner, next);
    }
    return result;
}

auto control_state::run(const release_target_command& command) -> command_result
{
    auto [record, result] = find_assignment(command.target, command.epoch);
    if (result.is_ok() && record->owner != command.owner) {
        result.status = command_status::not_owner;
    }
    if (result.is_ok()) {
        const auto can_pass_on =
            record->next_owner &&
            check_assignable(*record->next_owner) == command_status::ok;
        set_holders(*record, can_pass_on ? record->next_owner : std::nullopt,
                    std::nullopt);
        result.epoch = record->epoch;
    }
    return result;
}

auto control_state::set_holders(target_record& record,
                                const std::optional<proxy_identity>& owner,
                                const std::optional<proxy_identity>& next)
    -> void
{
    if (record.owner == owner && record.next_owner == next) {
        return;
    }
    unindex_holder(record);
    if (record.owner != owner) {
        last_epoch_ = last_epoch_.next();
        record.epoch = last_epoch_;
        record.owner = owner;
    }
    record.next_owner = next;
    index_holder(record);
    touch(record_kind::target, record.description.id.value());
}

auto control_state::index_holder(const target_record& record) -> void
{
    for (const auto* const holder : {&record.owner, &record.next_owner}) {
        if (*holder) {
            held_[(*holder)->id].insert(record.description.id);
        }
    }
}

auto control_state::unindex_holder(const target_record& record) -> void
{
    for (const auto* const holder : {&record.owner, &record.next_owner}) {
        if (*holder) {
            erase_member(held_, (*holder)->id, record.description.id);
        }
    }
}

// Primaries

auto control_state::run(const set_primary_command& command) -> command_result
{
    const auto found = groups_.find(command.group);
    if (found == groups_.end()) {
        return refuse(command_status::unknown_group);
    }
    auto& group = found->second;
    auto& primary = group.primary;
    const auto current = primary ? primary->group_term : term();
    auto result = command_result{};
    result.group_term = current;
    const auto next = current == term() ? command.first_term : current.next();
    if (primary && primary->target == command.primary &&
        primary->claimant == command.claimant &&
        primary->claimant_epoch == command.claimant_epoch &&
        current == (command.expected_term == term()
                        ? command.first_term
                        : command.expected_term.next()))
    {
        result.effective_at = primary->set_at;
        return result;
    }
    const auto* const target = find_target(command.primary);
    if (command.expected_term != current) {
        result.status = command_status::stale_term;
    } else if (target == nullptr ||
               target->description.group != command.group ||
               target->presence == target_presence::gone || next == term())
    {
        result.status = command_status::unsuitable_target;
    } else {
        result.status = check_claim(group, command);
    }
    if (result.is_ok()) {
        primary = primary_record{command.primary, next, command.claimant,
                                 command.claimant_epoch, applied_};
        touch(record_kind::group, command.group.value());
        result.group_term = next;
    }
    return result;
}

auto control_state::check_claim(const group_record& group,
                                const set_primary_command& command) const
    -> command_status
{
    const auto* const primary =
        group.primary ? find_target(group.primary->target) : nullptr;
    if (primary != nullptr) {
        if (primary->owner != command.claimant) {
            return command_status::not_owner;
        }
        return primary->epoch == command.claimant_epoch
                   ? command_status::ok
                   : command_status::stale_epoch;
    }
    for (const auto& id : targets_of(group.config.id)) {
        const auto& member = targets_.at(id);
        if (member.owner == command.claimant &&
            member.epoch == command.claimant_epoch) {
            return command_status::ok;
        }
    }
    return command_status::not_owner;
}

// Look-up

} // namespace rhubarbrun::inline v1
