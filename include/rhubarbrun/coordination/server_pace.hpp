#ifndef RHUBARBRUN_COORDINATION_SERVER_PACE_HPP
#define RHUBARBRUN_COORDINATION_SERVER_PACE_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Why a server is paced.
enum class pace_cause : std::uint8_t
{
    /// It is new, or was restarted.
    started,
    /// It answered after failures.
    recovered,
};

/// Why pacing of a server ended.
enum class pace_end : std::uint8_t
{
    /// The window no longer limits what one process sends.
    window_grown,
    /// The longest time for pacing passed.
    time_over,
    /// The server started or recovered again.
    begun_again,
};

/// Names for logs, such as "window_grown".
[[nodiscard]] auto to_string(pace_cause cause) noexcept -> std::string_view;
[[nodiscard]] auto to_string(pace_end end) noexcept -> std::string_view;

/// What limits the use of a server by all processes together.
struct pace_terms
{
    /// Statements that the server runs at a time.
    std::uint32_t slots = 1;
    /// Processes that share the server, this one included.
    std::uint32_t processes = 1;
};

/// One process's limit of uses of a server at a time.
///
/// A limit below one is a pause between the beginnings of two uses, so that all
/// processes together have as many running as the sum of their limits.
class pace_window
{
public:
    /// Starts at the minimum; the first use is at a random time within its
    /// pause, because other processes start at the same moment.
    auto reset(time_point now, double minimum, double maximum,
               duration usual_time, std::uint64_t random) -> void;
    /// Adapts the limits to a changed number of processes.
    auto rescale(double factor, double minimum) noexcept -> void;

    [[nodiscard]] auto may_use(time_point now, std::size_t in_use) const
        -> bool;
    /// A use begins.
    auto on_use(time_point now) -> void;
    /// The next use may begin now.
    auto end_pause(time_point now) -> void
    {
        used_at_ = now;
        phase_ = 0;
    }
    /// A use has taken `time`.
    auto on_time(duration time) -> void;
    auto grow() -> void;
    /// Multiplies the window by `factor`, at most once within the time that a
    /// use takes: answers in that time tell of the same queue.
    auto shrink(time_point now, double factor) -> void;

    [[nodiscard]] auto size() const noexcept -> double { return size_; }

private:
    [[nodiscard]] auto pause() const -> duration;
    [[nodiscard]] auto next_at() const -> time_point;

    double size_ = 1;
    double minimum_ = 1;
    double maximum_ = 1;
    duration usual_time_ = milliseconds(15);
    time_point used_at_;
    /// Part of the pause after `used_at_` that is waited for.
    double phase_ = 1;
    time_point shrunk_at_;
};

/// Finds the rate for a server that has just started or recovered from how it
/// answers.
///
/// All processes that share the server start with windows that together fill
/// its slots, and never have smaller ones, so that it is not idle while they
/// have work. A window grows with each answer that took about as long as an
/// answer of the idle server, and shrinks with slower ones and with refusals.
/// It does no I/O and is inactive until `begin`.
class server_pace
{
public:
    /// Starts pacing, also again. `answer_time` and `connect_time` are
    /// expected while there are no samples.
    auto begin(time_point now, pace_cause cause, const pace_terms& terms,
               duration answer_time, duration connect_time,
               std::uint64_t random) -> void;
    /// Ends pacing.
    auto stop() noexcept -> void { cause_.reset(); }
    auto set_terms(const pace_terms& terms) -> void;

    [[nodiscard]] auto is_active() const noexcept -> bool
    {
        return cause_.has_value();
    }
    /// Why pacing is to end now, if it is.
    [[nodiscard]] auto due_end(time_point now) const -> std::optional<pace_end>;

    /// Whether a statement may be sent while `busy` others run.
    [[nodiscard]] auto may_send(time_point now, std::size_t busy) const -> bool
    {
        return !is_active() || statements_.may_use(now, busy);
    }
    /// Whether a connection may be opened while `connecting` others are.
    [[nodiscard]] auto may_connect(time_point now, std::size_t connecting) const
        -> bool
    {
        return !is_active() || connections_.may_use(now, connecting);
    }

    auto on_sent(time_point now) -> void { statements_.on_use(now); }
    auto on_connecting(time_point now) -> void { connections_.on_use(now); }
    /// The server ran a statement. Only times of the same `kind` of statements
    /// are compared.
    auto on_answer(time_point now, std::uint8_t kind, duration time) -> void;
    auto on_connected(time_point now, duration time) -> void;
    /// The server refused a statement because it is full.
    auto on_refused(time_point now) -> void;
    /// The server refused a connection at its limit.
    auto on_connection_refused(time_point now) -> void;
    /// A connection or an answer failed.
    auto on_failed(time_point now) -> void { on_refused(now); }

    [[nodiscard]] auto cause() const noexcept -> pace_cause
    {
        return cause_.value_or(pace_cause::started);
    }
    [[nodiscard]] auto window() const noexcept -> double
    {
        return statements_.size();
    }
    [[nodiscard]] auto connection_window() const noexcept -> double
    {
        return connections_.size();
    }
    [[nodiscard]] auto terms() const noexcept -> const pace_terms&
    {
        return terms_;
    }
    /// Time since `begin`.
    [[nodiscard]] auto elapsed(time_point now) const -> duration
    {
        return now - begun_at_;
    }

private:
    enum class quality : std::uint8_t
    {
        good,
        fair,
        slow,
    };
    /// Compares a time with that of the idle server, which it also updates.
    [[nodiscard]] static auto judge(std::optional<duration>& unloaded,
                                    duration time) -> quality;
    static auto apply(time_point now, pace_window& window, quality value)
        -> void;

    std::optional<pace_cause> cause_;
    pace_terms terms_;
    time_point begun_at_;
    pace_window statements_;
    pace_window connections_;
    /// Times of the idle server by kind of statement.
    std::map<std::uint8_t, std::optional<duration>> unloaded_;
    std::optional<duration> unloaded_connect_;
};

} // namespace rhubarbrun::inline v1

#endif
