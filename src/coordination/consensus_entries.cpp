#include "consensus_entries.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <string>

namespace rhubarbrun::detail {

entry_log::entry_log(stored_log stored) : snapshot_(std::move(stored.snapshot))
{
    configurations_.emplace_back();
    if (snapshot_) {
        const auto& metadata = snapshot_->metadata;
        base_ = metadata.index;
        base_term_ = metadata.elected;
        configurations_.front() = {metadata.index, metadata.configuration};
    }
    committed_ = applied_ = base_;
    for (auto& entry : stored.entries) {
        if (entry.index != last_index().next()) {
            throw std::invalid_argument(
                "stored log has entry " + std::to_string(entry.index.value()) +
                " after entry " + std::to_string(last_index().value()));
        }
        append(std::move(entry));
    }
    stored_ = persisted_ = last_index();
    commit(std::min(stored.state.committed, last_index()));
}

auto entry_log::last_index() const noexcept -> log_index
{
    return advance(base_, entries_.size());
}

auto entry_log::last_term() const noexcept -> election_term
{
    return entries_.empty() ? base_term_ : entries_.back().elected;
}

auto entry_log::term_at(log_index index) const noexcept
    -> std::optional<election_term>
{
    if (index == base_) {
        return base_term_;
    }
    if (index < base_ || index > last_index()) {
        return std::nullopt;
    }
    return entry_at(index).elected;
}

auto entry_log::last_within(log_index limit, election_term bound) const
    -> std::pair<log_index, election_term>
{
    auto index = std::min(limit, last_index());
    while (index > base_ && entry_at(index).elected > bound) {
        index = before(index);
    }
    return {index, term_at(index).value_or(election_term(0))};
}

auto entry_log::slice(log_index from, log_index to, std::size_t entries,
                      std::size_t bytes) const -> std::vector<log_entry>
{
    auto result = std::vector<log_entry>{};
    auto total = std::size_t{0};
    const auto last = std::min(to, last_index());
    for (auto index = from; index <= last && result.size() < entries;
         index = index.next())
    {
        const auto& entry = entry_at(index);
        total += entry.weight();
        if (total > bytes && !result.empty()) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

auto entry_log::weight(log_index first, log_index last) const noexcept
    -> std::size_t
{
    auto total = std::size_t{0};
    for (auto index = first; index <= last; index = index.next()) {
        total += entry_at(index).weight();
    }
    return total;
}

auto entry_log::append(log_entry entry) -> void
{
    if (entry.kind == entry_kind::configuration && entry.configuration) {
        configurations_.emplace_back(entry.index, *entry.configuration);
    }
    entries_.push_back(std::move(entry));
}

auto entry_log::merge(std::vector<log_entry> entries) -> void
{
    for (auto& entry : entries) {
        if (entry.index <= base_ || term_at(entry.index) == entry.elected) {
            continue;
        }
        if (entry.index <= last_index()) {
            truncate(entry.index);
        }
        append(std::move(entry));
    }
}

auto entry_log::restore(shared_snapshot snapshot) -> void
{
    const auto& metadata = snapshot->metadata;
    entries_.clear();
    base_ = metadata.index;
    base_term_ = metadata.elected;
    configurations_.assign(1, {metadata.index, metadata.configuration});
    committed_ = applied_ = stored_ = base_;
    persisted_ = std::min(persisted_, base_);
    snapshot_ = std::move(snapshot);
}

auto entry_log::compact(shared_snapshot snapshot, std::size_t kept) -> void
{
    snapshot_ = std::move(snapshot);
    const auto covered = snapshot_->metadata.index.value() - base_.value();
    if (covered <= kept) {
        return;
    }
    const auto new_base = advance(base_, covered - kept);
    base_term_ = entry_at(new_base).elected;
    entries_.erase(entries_.begin(),
                   entries_.begin() +
                       static_cast<std::ptrdiff_t>(covered - kept));
    base_ = new_base;
    while (configurations_.size() > 1 && configurations_[1].first <= base_) {
        configurations_.erase(configurations_.begin());
    }
}

auto entry_log::commit(log_index index) -> void
{
    committed_ = std::max(committed_, std::min(index, last_index()));
}

auto entry_log::take_committed(std::size_t bytes) -> std::vector<log_entry>
{
    auto result = slice(applied_.next(), committed_, entries_.size(), bytes);
    applied_ = advance(applied_, result.size());
    return result;
}

auto entry_log::take_unstored() -> std::vector<log_entry>
{
    const auto first = entries_.begin() + static_cast<std::ptrdiff_t>(
                                              stored_.value() - base_.value());
    auto result = std::vector<log_entry>(first, entries_.end());
    stored_ = last_index();
    return result;
}

auto entry_log::on_persisted(log_index index, election_term elected) -> void
{
    // The term differs if the entry was replaced while it was being written.
    if (index > persisted_ && term_at(index) == elected) {
        persisted_ = index;
    }
}

auto entry_log::snapshot_index() const noexcept -> log_index
{
    return snapshot_ ? snapshot_->metadata.index : log_index(0);
}

auto entry_log::configuration() const noexcept -> const membership&
{
    return configurations_.back().second;
}

auto entry_log::configuration_index() const noexcept -> log_index
{
    return configurations_.back().first;
}

auto entry_log::configuration_until(log_index index) const -> const membership&
{
    const auto after =
        std::find_if(configurations_.begin(), configurations_.end(),
                     [&](const auto& item) { return item.first > index; });
    return std::prev(after)->second;
}

auto entry_log::entry_at(log_index index) const -> const log_entry&
{
    return entries_[index.value() - base_.value() - 1];
}

auto entry_log::truncate(log_index first_removed) -> void
{
    if (first_removed <= committed_) {
        throw std::logic_error("committed log entry " +
                               std::to_string(first_removed.value()) +
                               " would be replaced");
    }
    const auto left = first_removed.value() - base_.value() - 1;
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(left),
                   entries_.end());
    std::erase_if(configurations_, [&](const auto& item) {
        return item.first >= first_removed;
    });
    stored_ = std::min(stored_, before(first_removed));
    persisted_ = std::min(persisted_, before(first_removed));
}

} // namespace rhubarbrun::detail
