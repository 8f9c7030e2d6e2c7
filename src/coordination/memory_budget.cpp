#include <rhubarbrun/coordination/memory_budget.hpp>

#include <limits>

namespace rhubarbrun::inline v1 {

auto memory_budget::rank_of(holder id, const memory_holding& holding) const
    -> std::optional<rank>
{
    const auto bytes = holding.total();
    if (bytes <= limits_.small_holding) {
        return std::nullopt;
    }
    const auto below = std::numeric_limits<std::size_t>::max() - bytes;
    if (holding.unread > limits_.small_holding) {
        return rank{0, below, id};
    }
    if (holding.input > limits_.small_holding) {
        return rank{1, below, id};
    }
    if (holding.kept > limits_.small_holding) {
        return rank{2, below, id};
    }
    return rank{3, below, id};
}

auto memory_budget::is_short() const noexcept -> bool
{
    return limits_.limit &&
           static_cast<double>(used_) >
               static_cast<double>(*limits_.limit) * limits_.pause_at;
}

auto memory_budget::note_use(time_point now) -> void
{
    if (!is_short()) {
        short_since_.reset();
    } else if (!short_since_) {
        short_since_ = now;
    }
}

auto memory_budget::charge(time_point now, holder id,
                           const memory_holding& holding) -> void
{
    auto& known = holders_[id];
    used_ = used_ - known.holding.total() + holding.total();
    known.holding = holding;
    auto order = rank_of(id, holding);
    if (order != known.order) {
        if (known.order) {
            large_.erase(*known.order);
        }
        if (order) {
            large_.insert(*order);
        }
        known.order = order;
    }
    note_use(now);
}

auto memory_budget::release(time_point now, holder id) -> void
{
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    used_ -= found->second.holding.total();
    if (found->second.order) {
        large_.erase(*found->second.order);
    }
    holders_.erase(found);
    note_use(now);
}

auto memory_budget::must_pause(holder id) const -> bool
{
    const auto found = holders_.find(id);
    return is_short() && found != holders_.end() && found->second.order;
}

auto memory_budget::is_eviction_due(time_point now) const -> bool
{
    if (!limits_.limit || large_.empty()) {
        return false;
    }
    return used_ > *limits_.limit ||
           (short_since_ && now - *short_since_ >= limits_.pause_patience);
}

auto memory_budget::choose_evictions(time_point now) -> std::vector<holder>
{
    auto chosen = std::vector<holder>();
    if (!is_eviction_due(now)) {
        return chosen;
    }
    auto left = used_;
    for (const auto& each : large_) {
        const auto id = each.id;
        chosen.push_back(id);
        left -= holders_.at(id).holding.total();
        if (left <= *limits_.limit) {
            break;
        }
    }
    // The others get time to use what this one gives back.
    short_since_ = now;
    return chosen;
}

} // namespace rhubarbrun::inline v1
