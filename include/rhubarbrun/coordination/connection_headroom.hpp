#ifndef RHUBARBRUN_COORDINATION_CONNECTION_HEADROOM_HPP
#define RHUBARBRUN_COORDINATION_CONNECTION_HEADROOM_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>

namespace rhubarbrun::inline v1 {

/// A process's part of the connections that a server accepts.
///
/// A server holds the connections of processes that lost power for seconds, and
/// the processes need as many again when they return. All processes together
/// therefore use half of the server's limit, except in short bursts.
class connection_share
{
public:
    connection_share(std::uint32_t limit, std::uint32_t processes) noexcept;

    /// Mean number of connections to hold; below 1 if there are more processes
    /// than connections.
    [[nodiscard]] auto mean() const noexcept -> double { return mean_; }
    /// Number of connections to hold at a time, at least 1.
    [[nodiscard]] auto whole() const noexcept -> std::size_t;
    /// Whether an idle connection of this process is missing elsewhere.
    [[nodiscard]] auto is_scarce() const noexcept -> bool { return mean_ < 1; }

private:
    double mean_;
};

/// Maximum idle time of connections that are scarce.
///
/// It shrinks when the server refuses a connection, and while this process
/// holds more than its share on average; otherwise it grows slowly. Processes
/// that share a server need not know what the others hold.
class scarce_idle_time
{
public:
    scarce_idle_time(duration min, duration max) noexcept;

    [[nodiscard]] auto limit() const noexcept -> duration { return limit_; }
    [[nodiscard]] auto is_at_max() const noexcept -> bool
    {
        return limit_ >= max_;
    }
    auto on_refused() noexcept -> void;
    /// Notes that `open` connections were held since the last call.
    auto on_held(time_point now, std::size_t open) noexcept -> void;
    /// Adjusts the limit; to be called at regular intervals.
    auto adjust(const connection_share& share) noexcept -> void;

private:
    duration min_;
    duration max_;
    duration limit_;
    double mean_open_ = 0;
    time_point noted_at_;
};

} // namespace rhubarbrun::inline v1

#endif
