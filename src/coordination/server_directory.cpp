#include <rhubarbrun/coordination/server_directory.hpp>

#include <limits>

namespace rhubarbrun::inline v1 {

namespace {

/// Sequence number above every announcement of the same server process.
constexpr auto final_sequence = std::numeric_limits<std::uint64_t>::max();

} // namespace

auto server_directory::merge(time_point now, const server_record& record)
    -> merge_result
{
    auto& known = entries_[record.id];
    const auto is_first = known.record.id.is_empty();
    if (!is_first && !record.is_newer_than(known.record)) {
        return merge_result::stale;
    }
    known.heard_at = now;
    const auto is_changed = is_first || !record.is_equivalent(known.record);
    known.record = record;
    if (!is_changed) {
        return merge_result::renewed;
    }
    known.revision = ++revision_;
    if (record.state != server_availability::gone) {
        end_others_at_address(now, record);
    }
    return merge_result::changed;
}

auto server_directory::end_others_at_address(time_point now,
                                             const server_record& record)
    -> void
{
    for (auto& [id, other] : entries_) {
        if (id != record.id && other.record.address == record.address &&
            other.record.started_at < record.started_at &&
            other.record.state != server_availability::gone)
        {
            remove(now, id);
        }
    }
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
        known.record.state = server_availability::gone;
        known.record.sequence = final_sequence;
        known.heard_at = now;
        known.revision = ++revision_;
    }
    return &known.record;
}

auto server_directory::find(const target_id& id) const noexcept -> const entry*
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

auto server_directory::claimed_primary(const group_id& group) const noexcept
    -> const entry*
{
    const entry* latest = nullptr;
    for (const auto& [id, known] : entries_) {
        const auto& record = known.record;
        if (record.group == group && record.role == server_role::primary &&
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
    for (const auto& [id, known] : entries_) {
        if (known.revision > revision) {
            changed.push_back(known.record);
        }
    }
    return changed;
}

} // namespace rhubarbrun::inline v1
