#ifndef RHUBARBRUN_COORDINATION_FAILURE_DETECTOR_HPP
#define RHUBARBRUN_COORDINATION_FAILURE_DETECTOR_HPP

#include <rhubarbrun/state/units.hpp>

#include <chrono>

namespace rhubarbrun::inline v1 {

/// Settings of the failure detector.
struct failure_detector_options
{
    /// Time between two probes.
    duration probe_interval = std::chrono::milliseconds(100);
    /// Time without an answer after which the target counts as failed.
    duration silence_timeout = std::chrono::milliseconds(400);
    /// Consecutive failed probes after which the target counts as failed.
    int failure_limit = 3;
};

/// Determines from probes whether a target has failed.
///
/// A refused connection is reported at once, whereas a target behind a network
/// partition does not answer at all. The detector therefore counts failures
/// and also measures the time without an answer. That time runs only from an
/// unanswered probe on, so that a pause of this process does not count
/// against the target.
class failure_detector
{
public:
    explicit failure_detector(failure_detector_options options) noexcept
        : options_(options)
    {
    }

    auto set_options(failure_detector_options options) noexcept -> void
    {
        options_ = options;
    }

    /// Whether the next probe is due; at most one probe is outstanding.
    [[nodiscard]] auto is_probe_due(time_point now) const noexcept -> bool;

    /// Whether the target counts as failed at `now`.
    [[nodiscard]] auto has_failed(time_point now) const noexcept -> bool;

    auto on_probe_sent(time_point now) noexcept -> void;
    auto on_probe_answered(time_point now) noexcept -> void;
    auto on_probe_failed(time_point now) noexcept -> void;

private:
    failure_detector_options options_;
    bool has_outstanding_probe_ = false;
    bool was_probed_ = false;
    bool is_silent_ = false;
    int consecutive_failures_ = 0;
    time_point last_probe_{};
    /// Send time of the first probe since the last answer.
    time_point silent_since_{};
};

} // namespace rhubarbrun::inline v1

#endif
