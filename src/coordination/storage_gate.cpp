#include <rhubarbrun/coordination/storage_gate.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// A fraction of the time in which a group replaces a leader, and rare enough
/// to cost nothing.
constexpr auto retry_interval = milliseconds(200);

} // namespace

storage_gate::storage_gate(save_function save) : save_(std::move(save)) {}

auto storage_gate::save(time_point now, consensus_ready& ready) -> bool
{
    if (ready.needs_no_storage() || save_(ready)) {
        return true;
    }
    ++refusals_;
    blocked_since_ = now;
    next_retry_ = now + retry_interval;
    kept_ = std::move(ready);
    kept_->messages.clear();
    return false;
}

auto storage_gate::retry(time_point now) -> std::optional<consensus_ready>
{
    if (!kept_ || now < next_retry_) {
        return std::nullopt;
    }
    if (!save_(*kept_)) {
        next_retry_ = now + retry_interval;
        return std::nullopt;
    }
    return std::exchange(kept_, std::nullopt);
}

} // namespace rhubarbrun::inline v1
