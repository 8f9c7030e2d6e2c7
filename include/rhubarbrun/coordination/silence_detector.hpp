#ifndef RHUBARBRUN_COORDINATION_SILENCE_DETECTOR_HPP
#define RHUBARBRUN_COORDINATION_SILENCE_DETECTOR_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of a `silence_detector`.
struct silence_options
{
    /// A connection with nothing in flight is probed after this time without
    /// a received byte.
    duration probe_after = std::chrono::seconds(1);
    /// A probe without an answer for this time means that the connection is
    /// silent.
    duration probe_timeout = std::chrono::milliseconds(400);
    /// An idle connection is probed before use after this time.
    duration probe_before_use_after = std::chrono::milliseconds(500);
    /// A connection is closed at this age once it is idle.
    duration max_connection_age = std::chrono::minutes(30);
    /// Time beyond the deadline of a statement after which its connection
    /// counts as silent.
    duration answer_grace = std::chrono::milliseconds(200);
};

/// Whether an idle connection may be used.
enum class connection_check : std::uint8_t
{
    use,
    /// Send a probe, and use the connection once it is answered.
    probe_first,
    /// A probe or a statement is unanswered.
    wait,
    /// Close it and open another.
    replace,
};

/// Finding of `silence_detector::tick` about a connection.
enum class silence_finding : std::uint8_t
{
    send_probe,
    /// The connection is silent; the server may have executed its statement.
    silent,
    /// The connection is idle and has reached its maximum age.
    too_old,
};

/// A connection on which to act.
struct silence_action
{
    connection_id connection;
    silence_finding finding = silence_finding::send_probe;
};

/// Detects connections that have become permanently silent while new
/// connections work.
///
/// TCP reports no error in that case, so every statement has a deadline and
/// idle connections are probed. `tick` reports a silent connection once and
/// removes it.
class silence_detector
{
public:
    explicit silence_detector(silence_options options = {});

    auto on_opened(time_point now, connection_id connection) -> void;
    auto on_closed(connection_id connection) -> void;

    /// A statement was sent; its answer is due by `deadline`.
    auto on_sent(connection_id connection, time_point deadline) -> void;

    /// Bytes arrived; the answer is still incomplete.
    auto on_progress(time_point now, connection_id connection) -> void;

    /// The whole answer arrived.
    auto on_answered(time_point now, connection_id connection) -> void;

    auto on_probe_sent(time_point now, connection_id connection) -> void;
    auto on_probe_answered(time_point now, connection_id connection) -> void;

    /// Whether an idle connection may take a statement now.
    [[nodiscard]] auto check(time_point now, connection_id connection) const
        -> connection_check;

    [[nodiscard]] auto tick(time_point now) -> std::vector<silence_action>;

private:
    struct connection_state
    {
        time_point opened;
        time_point heard;
        std::optional<time_point> answer_due;
        std::optional<time_point> probe_sent;
    };

    [[nodiscard]] auto evaluate(time_point now,
                                const connection_state& state) const
        -> std::optional<silence_finding>;

    silence_options options_;
    std::map<connection_id, connection_state> connections_;
};

} // namespace rhubarbrun::inline v1

#endif
