#include "target_index.hpp"

#include <rhubarbrun/state/directory.hpp>

namespace rhubarbrun::inline v1 {

using namespace detail::target_index;

auto to_string(delta_outcome outcome) noexcept -> std::string_view
{
    switch (outcome) {
    case delta_outcome::applied:
        return "applied";
    case delta_outcome::stale:
        return "stale";
    case delta_outcome::gap:
        return "gap";
    case delta_outcome::regressed:
        return "regressed";
    }
    return "unknown";
}

auto directory::apply(const directory_delta& delta) -> delta_outcome
{
    if (delta.up_to <= index_) {
        return delta_outcome::stale;
    }
    if (!delta.is_complete && delta.since > index_) {
        return delta_outcome::gap;
    }
    const auto reverts =
        bundle_ && (delta.bundle ? delta.bundle->version < bundle_->version
                                 : delta.is_complete);
    if (reverts) {
        return delta_outcome::regressed;
    }
    if (delta.is_complete) {
        clear();
    }
    if (delta.bundle) {
        bundle_ = delta.bundle;
    }
    for (const auto& id : delta.removed_targets) {
        erase_target(id);
    }
    for (const auto& id : delta.removed_groups) {
        erase_group(id);
    }
    for (const auto& id : delta.removed_proxies) {
        proxies_.erase(id);
    }
    put_groups(delta.groups);
    for (const auto& record : delta.targets) {
        put(record);
    }
    for (const auto& record : delta.proxies) {
        proxies_.insert_or_assign(record.identity.id, record);
    }
    index_ = delta.up_to;
    return delta_outcome::applied;
}

auto directory::find_by_database(std::string_view database) const
    -> const group_record*
{
    const auto* const id = find_in(databases_, database);
    return id == nullptr ? nullptr : find_group(*id);
}

auto directory::find_group(const group_id& id) const -> const group_record*
{
    return find_in(groups_, id);
}

auto directory::find_target(const target_id& id) const -> const target_record*
{
    return find_in(targets_, id);
}

auto directory::find_proxy(const proxy_id& id) const -> const proxy_record*
{
    return find_in(proxies_, id);
}

auto directory::targets_of(const group_id& id) const
    -> const std::set<target_id>&
{
    return set_in(members_, id);
}

auto directory::targets_owned_by(const proxy_identity& owner) const
    -> const std::set<target_id>&
{
    return set_in(owned_, owner);
}

auto directory::clear() -> void
{
    groups_.clear();
    targets_.clear();
    proxies_.clear();
    databases_.clear();
    members_.clear();
    owned_.clear();
}

auto directory::put_groups(const std::vector<group_record>& records) -> void
{
    // Two groups may have exchanged their databases: all old names go before
    // the first new one is entered.
    for (const auto& record : records) {
        erase_group(record.config.id);
    }
    for (const auto& record : records) {
        databases_.insert_or_assign(record.config.database, record.config.id);
        groups_.insert_or_assign(record.config.id, record);
    }
}

auto directory::put(const target_record& record) -> void
{
    const auto& id = record.description.id;
    erase_target(id);
    members_[record.description.group].insert(id);
    if (record.owner) {
        owned_[*record.owner].insert(id);
    }
    targets_.insert_or_assign(id, record);
}

auto directory::erase_group(const group_id& id) -> void
{
    const auto found = groups_.find(id);
    if (found == groups_.end()) {
        return;
    }
    databases_.erase(found->second.config.database);
    groups_.erase(found);
}

auto directory::erase_target(const target_id& id) -> void
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    erase_member(members_, found->second.description.group, id);
    if (found->second.owner) {
        erase_member(owned_, *found->second.owner, id);
    }
    targets_.erase(found);
}

} // namespace rhubarbrun::inline v1
