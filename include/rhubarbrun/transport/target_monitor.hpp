#ifndef RHUBARBRUN_TRANSPORT_TARGET_MONITOR_HPP
#define RHUBARBRUN_TRANSPORT_TARGET_MONITOR_HPP

#include <rhubarbrun/coordination/failure_detector.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/target_connection.hpp>
#include <rhubarbrun/transport/target_queries.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What a monitor tells its owner; all are called on the owner's strand.
struct target_monitor_hooks
{
    clock_function now;
    /// Makes a connection that is not yet connected.
    std::function<std::unique_ptr<target_connection>()> make;
    /// The monitor has connected, for the first time or again.
    std::function<void()> on_connected;
    /// The server answered a probe or a poll. The state was read after
    /// `asked_at`.
    std::function<void(time_point asked_at, const server_state&)> on_state;
    /// A poll ended; no value if it failed.
    std::function<void(
        std::optional<std::pair<server_state, std::vector<replica_state>>>)>
        on_poll;
};

/// Settings of a `target_monitor`.
struct target_monitor_options
{
    failure_detector_options detector;
    /// Time for an attempt to connect, and for one of the owner's commands.
    duration connect_limit = std::chrono::milliseconds(400);
};

/// The owner's own connection to a target, apart from those that carry
/// statements: probes the server, polls replication positions and runs the
/// owner's commands, one at a time.
class target_monitor : public std::enable_shared_from_this<target_monitor>
{
public:
    using command_handler = std::function<void(target_result)>;

    target_monitor(target_monitor_options options, target_monitor_hooks hooks);

    /// Applies from the next probe or attempt to connect on.
    auto set_options(target_monitor_options options) -> void;

    /// Connects, probes and notices silence; call every few milliseconds.
    auto tick(time_point now) -> void;

    /// Polls the log end and the replicas as soon as the connection is free.
    auto request_poll() -> void;

    /// Probes as soon as the connection is free instead of at the interval.
    auto request_probe() -> void;

    /// Runs a command of the owner as soon as the connection is free; a
    /// connection that is not established fails it.
    auto run(statement body, duration limit, command_handler handler) -> void;

    [[nodiscard]] auto is_connected() const noexcept -> bool;

    /// Whether the target counts as failed.
    [[nodiscard]] auto has_failed(time_point now) const noexcept -> bool;

    auto stop() -> void;

private:
    struct command
    {
        statement body;
        duration limit;
        command_handler handler;
    };

    auto connect(time_point now) -> void;
    auto on_connected(const std::optional<request_error>& error) -> void;
    auto start_next(time_point now) -> void;
    auto start_command() -> void;
    auto start_poll(time_point now) -> void;
    auto start_probe(time_point now) -> void;
    auto poll_replicas(const server_state& state) -> void;
    auto on_state_answer(time_point asked_at, const target_result& result)
        -> std::optional<server_state>;
    auto drop_connection() -> void;
    template <class Handler>
    auto run_guarded(const statement& body, duration limit, Handler handler)
        -> void;

    target_monitor_options options_;
    target_monitor_hooks hooks_;
    failure_detector detector_;
    std::unique_ptr<target_connection> connection_;
    std::deque<command> commands_;
    /// Counts connections, so that late handlers of an old one are ignored.
    std::uint64_t generation_ = 0;
    time_point next_connect_{};
    bool is_connecting_ = false;
    bool is_busy_ = false;
    /// The handler of the last statement has started another one.
    bool is_continued_ = false;
    bool is_poll_wanted_ = false;
    bool is_probe_wanted_ = false;
    bool is_stopped_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
