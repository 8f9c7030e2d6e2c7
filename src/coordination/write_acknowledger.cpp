#include <rhubarbrun/coordination/write_acknowledger.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

auto write_acknowledger::on_committed(time_point now, std::uint64_t handle)
    -> void
{
    waiting_.push_back({handle, now, false, std::nullopt});
}

auto write_acknowledger::should_poll() const noexcept -> bool
{
    return !is_polling_ && !waiting_.empty();
}

auto write_acknowledger::on_poll_sent() noexcept -> void
{
    is_polling_ = true;
    for (auto& write : waiting_) {
        write.was_sent_before_poll = true;
    }
}

auto write_acknowledger::on_poll_failed() noexcept -> void
{
    is_polling_ = false;
    for (auto& write : waiting_) {
        write.was_sent_before_poll = false;
    }
}

auto write_acknowledger::on_poll_answered(
    const replication_positions& positions) -> std::vector<acknowledged_write>
{
    is_polling_ = false;
    auto durable = std::vector<acknowledged_write>{};
    auto kept = std::deque<waiting_write>{};
    for (auto& write : waiting_) {
        if (write.was_sent_before_poll && !write.position) {
            write.position = positions.current;
        }
        if (is_durable(write, positions)) {
            durable.push_back({write.handle, *write.position});
            raise_highest_acknowledged(*write.position);
        } else {
            kept.push_back(write);
        }
    }
    waiting_ = std::move(kept);
    return durable;
}

auto write_acknowledger::expire(time_point now) -> std::vector<std::uint64_t>
{
    auto expired = std::vector<std::uint64_t>{};
    while (!waiting_.empty() && now - waiting_.front().since >= wait_limit_) {
        expired.push_back(waiting_.front().handle);
        waiting_.pop_front();
    }
    return expired;
}

auto write_acknowledger::abandon() -> std::vector<std::uint64_t>
{
    auto handles = std::vector<std::uint64_t>{};
    for (const auto& write : waiting_) {
        handles.push_back(write.handle);
    }
    waiting_.clear();
    return handles;
}

auto write_acknowledger::raise_highest_acknowledged(
    log_offset position) noexcept -> void
{
    highest_acknowledged_ = std::max(highest_acknowledged_, position);
}

auto write_acknowledger::set_mode(acknowledge_mode mode,
                                  duration wait_limit) noexcept -> void
{
    mode_ = mode;
    wait_limit_ = wait_limit;
}

auto write_acknowledger::is_durable(
    const waiting_write& write,
    const replication_positions& positions) const noexcept -> bool
{
    if (!write.position) {
        return false;
    }
    if (mode_ == acknowledge_mode::primary) {
        return true;
    }
    return positions.highest_replica &&
           *positions.highest_replica >= *write.position;
}

} // namespace rhubarbrun::inline v1
