#include <rhubarbrun/coordination/server_directory.hpp>

#include <algorithm>
#include <limits>

namespace rhubarbrun::inline v1 {

namespace {

/// Sequence number above every announcement of the same server process.
constexpr auto final_sequence = std::numeric_limits<std::uint64_t>::max();
/// A server that was heard of this recently still has its address: servers
/// announce themselves every second or so.
constexpr auto address_hold_time = std::chrono::seconds(5);

} // namespace

auto server_directory::merge(time_point now, const server_record& record,
                             bool is_group_known) -> merge_result
{
    const auto* const earlier = find(record.id);
    if (!is_group_known && earlier != nullptr &&
        earlier->record.group != record.group)
    {
        return merge_result::stale;
    }
    auto& known = entries_[record.id];
    const auto is_first = known.record.id.is_empty();
    if (!is_first && !record.is_newer_than(known.record)) {
        return merge_result::stale;
    }
    known.heard_at = now;
    const auto is_changed = is_first || !record.is_equivalent(known.record);
    if (is_changed) {
        digest_ -= is_first ? 0 : known.record.routing_hash();
        digest_ += record.routing_hash();
    }
    if (!is_first && known.record.group != record.group) {
        by_group_[known.record.group].erase(record.id);
    }
    if (!is_first && known.record.address != record.address) {
        by_address_[known.record.address].erase(record.id);
    }
    known.record = record;
    if (!is_changed) {
        return merge_result::renewed;
    }
    by_group_[record.group].insert(record.id);
    by_address_[record.address].insert(record.id);
    mark_changed(known);
    if (record.state != server_availability::gone && is_group_known) {
        end_others_at_address(now, record);
        end_others_without_start(now, record);
        if (is_superseded(now, record)) {
            remove(now, record.id);
        }
    }
    return merge_result::changed;
}

auto server_directory::mark_changed(entry& known) -> void
{
    by_revision_.erase(known.revision);
    known.revision = ++revision_;
    by_revision_[known.revision] = known.record.id;
}

auto server_directory::end_others_at_address(time_point now,
                                             const server_record& record)
    -> void
{
    for (const auto& id : by_address_[record.address]) {
        const auto& other = entries_.at(id).record;
        if (id != record.id && other.started_at < record.started_at &&
            other.state != server_availability::gone)
        {
            remove(now, id);
        }
    }
}

auto server_directory::end_others_without_start(time_point now,
                                                const server_record& record)
    -> void
{
    if (record.started_at == 0) {
        return;
    }
    for (const auto& id : by_group_[record.group]) {
        if (entries_.at(id).record.started_at == 0) {
            remove(now, id);
        }
    }
}

auto server_directory::is_superseded(time_point now,
                                     const server_record& record) const -> bool
{
    const auto& at_address = by_address_.at(record.address);
    const auto has_successor =
        std::any_of(at_address.begin(), at_address.end(), [&](const auto& id) {
            const auto& other = entries_.at(id);
            return other.record.started_at > record.started_at &&
                   other.record.state != server_availability::gone &&
                   now - other.heard_at < address_hold_time;
        });
    if (has_successor || record.started_at != 0) {
        return has_successor;
    }
    const auto& group = by_group_.at(record.group);
    return std::any_of(group.begin(), group.end(), [&](const auto& id) {
        return entries_.at(id).record.started_at != 0;
    });
}

auto server_directory::remove(time_point now, const target_id& id)
    -> const server_record*
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return nullptr;
    }
    auto& known = found->second;
    if (known.record.state != server_availability::gone) {
        digest_ -= known.record.routing_hash();
        known.record.state = server_availability::gone;
        digest_ += known.record.routing_hash();
        known.record.sequence = final_sequence;
        known.heard_at = now;
        mark_changed(known);
    }
    return &known.record;
}

auto server_directory::find(const target_id& id) const noexcept -> const entry*
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

auto server_directory::servers_of(const group_id& group) const
    -> std::vector<const entry*>
{
    auto result = std::vector<const entry*>();
    if (const auto found = by_group_.find(group); found != by_group_.end()) {
        for (const auto& id : found->second) {
            result.push_back(&entries_.at(id));
        }
    }
    return result;
}

auto server_directory::claimed_primary(const group_id& group) const noexcept
    -> const entry*
{
    const entry* latest = nullptr;
    const auto found = by_group_.find(group);
    if (found == by_group_.end()) {
        return nullptr;
    }
    for (const auto& id : found->second) {
        const auto& known = entries_.find(id)->second;
        const auto& record = known.record;
        if (record.role == server_role::primary &&
            record.state != server_availability::gone &&
            (latest == nullptr || known.revision > latest->revision))
        {
            latest = &known;
        }
    }
    return latest;
}

auto server_directory::changed_since(std::uint64_t revision) const
    -> std::vector<server_record>
{
    auto changed = std::vector<server_record>();
    for (auto each = by_revision_.upper_bound(revision);
         each != by_revision_.end(); ++each)
    {
        changed.push_back(entries_.at(each->second).record);
    }
    return changed;
}

} // namespace rhubarbrun::inline v1
