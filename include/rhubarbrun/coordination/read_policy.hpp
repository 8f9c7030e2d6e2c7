#ifndef RHUBARBRUN_COORDINATION_READ_POLICY_HPP
#define RHUBARBRUN_COORDINATION_READ_POLICY_HPP

#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Requirements of a read on the data that it is served from.
struct read_requirements
{
    /// The server must have replayed this position.
    std::optional<log_position> floor;
    /// Maximum age of the data; zero means that only `floor` counts.
    duration max_age{};
    /// Time at which the caller no longer wants the answer.
    time_point deadline;
    /// Replicas among which reads are distributed; 0 selects the primary.
    std::size_t replicas_wanted = std::numeric_limits<std::size_t>::max();
};

/// A position of the primary and a time at which its log did not extend past
/// this position.
struct primary_sample
{
    time_point at;
    log_position position;
};

/// Recent positions of a group's primary, used to compute the age of a
/// replica's data.
///
/// A replica that replayed a position holds everything written up to the
/// latest sample at or below it, so its data is at most as old as that sample.
class primary_history
{
public:
    /// At one sample per 50 ms, this number covers a minute.
    static constexpr std::size_t max_samples = 1200;
    /// A sample is replaced by one that follows it within this time.
    static constexpr duration min_sample_interval =
        std::chrono::milliseconds(50);

    /// The primary was at `position` when it was asked at `asked_at`. Samples
    /// that go back in time or position are ignored.
    auto add(time_point asked_at, log_position position) -> void;

    /// Upper bound of the age of the data at `replayed`; no value if unknown.
    [[nodiscard]] auto age(time_point now, log_position replayed) const
        -> std::optional<duration>;

    /// Position that data must hold to be at most `max_age` old; no value if
    /// no sample is that new.
    [[nodiscard]] auto floor_for_age(time_point now, duration max_age) const
        -> std::optional<log_position>;

    [[nodiscard]] auto newest() const -> std::optional<primary_sample>;

    /// Estimated time at which the primary was at `position`, by linear
    /// interpolation between two samples; no value before the first and after
    /// the last.
    [[nodiscard]] auto estimated_time(log_position position) const
        -> std::optional<time_point>;

    /// Estimated replication lag of a replica that was at `replayed` at
    /// `asked_at`.
    [[nodiscard]] auto estimated_lag(time_point asked_at,
                                     log_position replayed) const -> duration;

    /// Lower bound of the lag of data at `replayed` behind the newest sample:
    /// the time from the first sample above it to the newest, 0 without one.
    /// Unlike `age`, it does not grow while no positions of the primary arrive,
    /// and does not count a gap between two samples as lag.
    [[nodiscard]] auto behind_newest(log_position replayed) const -> duration;

private:
    /// First sample above `position`.
    [[nodiscard]] auto above(log_position position) const
        -> std::deque<primary_sample>::const_iterator;

    std::deque<primary_sample> samples_;
};

/// Whether a replica may serve a read.
enum class read_fitness : std::uint8_t
{
    fit,
    /// Its known position is below the floor.
    behind_floor,
    /// Its data is older than the read accepts, or of unknown age.
    too_old,
};

/// Checks a replica that had replayed `replayed` against a read.
[[nodiscard]] auto check_read(time_point now,
                              const read_requirements& requirements,
                              const primary_history& history,
                              log_position replayed) -> read_fitness;

} // namespace rhubarbrun::inline v1

#endif
