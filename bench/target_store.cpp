#include "target_store.hpp"

#include <algorithm>

namespace rhubarbrun::bench {

namespace {

/// Bytes of a record besides its texts, about as in PostgreSQL.
constexpr auto record_overhead = std::uint64_t{32};

auto size_of(const std::vector<change>& changes) -> std::uint64_t
{
    auto size = record_overhead;
    for (const auto& one : changes) {
        size += record_overhead + one.table.size() + one.key.size();
        for (const auto& value : one.row) {
            size += value ? value->size() + 4 : 4;
        }
    }
    return size;
}

/// Start of the timeline after the last one that `left` and `right` share.
auto next_start(const timeline_history& history, std::size_t shared,
                std::uint64_t end) -> std::uint64_t
{
    return shared < history.size() ? std::min(history[shared].start, end) : end;
}

} // namespace

auto common_position(const timeline_history& left, std::uint64_t left_end,
                     const timeline_history& right, std::uint64_t right_end)
    -> std::uint64_t
{
    auto shared = std::size_t{0};
    while (shared < left.size() && shared < right.size() &&
           left[shared] == right[shared])
    {
        ++shared;
    }
    return std::min(next_start(left, shared, left_end),
                    next_start(right, shared, right_end));
}

auto store::received() const -> std::uint64_t
{
    return log_.empty() ? first_position : log_.back().end;
}

auto store::timeline() const -> std::uint32_t
{
    auto current = history_.front().timeline;
    for (const auto& entry : history_) {
        if (entry.start <= replayed_) {
            current = entry.timeline;
        }
    }
    return current;
}

auto store::apply(const log_record& record) -> void
{
    for (const auto& one : record.changes) {
        switch (one.kind) {
        case change_kind::put:
            tables_[one.table].rows[one.key] = one.row;
            break;
        case change_kind::erase:
            tables_[one.table].rows.erase(one.key);
            break;
        case change_kind::create:
            tables_[one.table].definition = one.definition;
            break;
        case change_kind::drop:
            tables_.erase(one.table);
            break;
        }
    }
    replayed_ = record.end;
    last_replayed_at_us_ = record.committed_at_us;
}

auto store::commit(std::vector<change> changes, std::int64_t now_us)
    -> const log_record&
{
    auto record = log_record{};
    record.start = received();
    record.end = record.start + size_of(changes);
    record.committed_at_us = now_us;
    record.changes = std::move(changes);
    log_.push_back(std::move(record));
    ++replayed_count_;
    apply(log_.back());
    return log_.back();
}

auto store::receive(log_record record) -> bool
{
    if (record.start != received()) {
        return false;
    }
    log_.push_back(std::move(record));
    return true;
}

auto store::replay_next() -> const log_record*
{
    if (replayed_count_ == log_.size()) {
        return nullptr;
    }
    const auto& record = log_[replayed_count_];
    ++replayed_count_;
    apply(record);
    return &record;
}

auto store::truncate(std::uint64_t position) -> void
{
    while (!log_.empty() && log_.back().end > position) {
        log_.pop_back();
    }
    if (replayed_count_ <= log_.size()) {
        return;
    }
    replayed_count_ = 0;
    replayed_ = first_position;
    last_replayed_at_us_.reset();
    tables_.clear();
    while (replay_next() != nullptr) {
    }
}

auto store::promote() -> void
{
    while (replay_next() != nullptr) {
    }
    // Timelines of the old primary that start after the last received record
    // are not part of this history.
    std::erase_if(history_, [this](const timeline_start& entry) {
        return entry.start > replayed_;
    });
    if (history_.empty()) {
        history_.emplace_back();
    }
    history_.push_back({history_.back().timeline + 1, replayed_});
}

auto store::record_at(std::uint64_t position) const -> const log_record*
{
    const auto found =
        std::lower_bound(log_.begin(), log_.end(), position,
                         [](const log_record& record, std::uint64_t wanted) {
                             return record.start < wanted;
                         });
    return found == log_.end() ? nullptr : &*found;
}

auto store::find(const std::string& name) const -> const table*
{
    const auto found = tables_.find(name);
    return found == tables_.end() ? nullptr : &found->second;
}

} // namespace rhubarbrun::bench
