#ifndef RHUBARBRUN_COORDINATION_WRITE_ACKNOWLEDGER_HPP
#define RHUBARBRUN_COORDINATION_WRITE_ACKNOWLEDGER_HPP

#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Positions at the primary, read by one poll.
struct replication_positions
{
    /// End of the primary's own log.
    log_offset current;
    /// Highest position that any replica has flushed; no value without one.
    std::optional<log_offset> highest_replica;
};

/// A write that may be answered, and an upper bound of its position.
struct acknowledged_write
{
    std::uint64_t handle;
    log_offset position;
};

/// Determines when a committed write survives the loss of its primary.
///
/// The position of a single commit is not read: a poll that was sent after the
/// commit returns a log end at or past it. One poll therefore serves all
/// writes that committed before it was sent, and the cost per write falls as
/// the load rises.
class write_acknowledger
{
public:
    /// @param wait_limit How long a write waits for a second server.
    write_acknowledger(acknowledge_mode mode, duration wait_limit) noexcept
        : mode_(mode), wait_limit_(wait_limit)
    {
    }

    /// Records that the primary has committed the write `handle`.
    auto on_committed(time_point now, std::uint64_t handle) -> void;

    /// Whether to send a poll: a write waits, and no poll is in progress.
    [[nodiscard]] auto should_poll() const noexcept -> bool;

    /// Whether a poll is in progress.
    [[nodiscard]] auto is_polling() const noexcept -> bool
    {
        return is_polling_;
    }

    /// Call this when a poll is sent whose answer is passed to
    /// `on_poll_answered`; only one may be in progress, as an answer covers all
    /// writes that committed before the last call.
    auto on_poll_sent() noexcept -> void;
    auto on_poll_failed() noexcept -> void;

    /// Processes the answer of the poll in progress; returns the writes that
    /// may be answered now, in the order of their commits.
    [[nodiscard]] auto on_poll_answered(const replication_positions& positions)
        -> std::vector<acknowledged_write>;

    /// Removes the writes that waited too long; they may have run.
    [[nodiscard]] auto expire(time_point now) -> std::vector<std::uint64_t>;

    /// Removes all waiting writes, when the owner is fenced or replaced.
    [[nodiscard]] auto abandon() -> std::vector<std::uint64_t>;

    /// Highest position of a write that was acknowledged, or that was reported
    /// durable by a poll; a new primary must hold at least this.
    [[nodiscard]] auto highest_acknowledged() const noexcept -> log_offset
    {
        return highest_acknowledged_;
    }

    [[nodiscard]] auto waiting() const noexcept -> std::size_t
    {
        return waiting_.size();
    }

    /// Raises the highest position, when an owner takes over a primary.
    auto raise_highest_acknowledged(log_offset position) noexcept -> void;

    auto set_mode(acknowledge_mode mode, duration wait_limit) noexcept -> void;

private:
    struct waiting_write
    {
        std::uint64_t handle;
        time_point since;
        bool was_sent_before_poll = false;
        std::optional<log_offset> position;
    };

    [[nodiscard]] auto
    is_durable(const waiting_write& write,
               const replication_positions& positions) const noexcept -> bool;

    acknowledge_mode mode_;
    duration wait_limit_;
    bool is_polling_ = false;
    log_offset highest_acknowledged_;
    std::deque<waiting_write> waiting_;
};

} // namespace rhubarbrun::inline v1

#endif
