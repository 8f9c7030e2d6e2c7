#include <rhubarbrun/transport/target_monitor.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

auto connection_error(const char* message) -> target_result
{
    auto result = target_result{};
    result.error = request_error{
        verdict::not_run, std::string(sqlstate::cannot_connect_now), message};
    return result;
}

} // namespace

target_monitor::target_monitor(target_monitor_options options,
                               target_monitor_hooks hooks)
    : options_(options), hooks_(std::move(hooks)), detector_(options.detector)
{
}

auto target_monitor::set_options(target_monitor_options options) -> void
{
    options_ = options;
    detector_.set_options(options.detector);
}

auto target_monitor::tick(time_point now) -> void
{
    if (is_stopped_) {
        return;
    }
    if (!connection_ && !is_connecting_ && now >= next_connect_) {
        connect(now);
        return;
    }
    if (is_connected() && !is_busy_) {
        start_next(now);
    }
}

auto target_monitor::request_poll() -> void
{
    is_poll_wanted_ = true;
    if (is_connected() && !is_busy_) {
        start_next(hooks_.now());
    }
}

auto target_monitor::request_probe() -> void
{
    is_probe_wanted_ = true;
    if (is_connected() && !is_busy_) {
        start_next(hooks_.now());
    }
}

auto target_monitor::run(statement body, duration limit,
                         command_handler handler) -> void
{
    if (!is_connected()) {
        handler(connection_error("the target is not connected"));
        return;
    }
    commands_.push_back({std::move(body), limit, std::move(handler)});
    if (!is_busy_) {
        start_next(hooks_.now());
    }
}

auto target_monitor::is_connected() const noexcept -> bool
{
    return connection_ != nullptr && !is_connecting_;
}

auto target_monitor::has_failed(time_point now) const noexcept -> bool
{
    return detector_.has_failed(now);
}

auto target_monitor::stop() -> void
{
    is_stopped_ = true;
    drop_connection();
}

auto target_monitor::connect(time_point now) -> void
{
    is_connecting_ = true;
    next_connect_ = now + options_.detector.probe_interval;
    detector_.on_probe_sent(now);
    connection_ = hooks_.make();
    const auto generation = ++generation_;
    connection_->connect(options_.connect_limit,
                         [self = weak_from_this(), generation](
                             const std::optional<request_error>& error) {
                             const auto monitor = self.lock();
                             if (monitor && monitor->generation_ == generation)
                             {
                                 monitor->on_connected(error);
                             }
                         });
}

auto target_monitor::on_connected(const std::optional<request_error>& error)
    -> void
{
    const auto now = hooks_.now();
    is_connecting_ = false;
    if (error) {
        detector_.on_probe_failed(now);
        drop_connection();
        return;
    }
    detector_.on_probe_answered(now);
    hooks_.on_connected();
    if (is_connected() && !is_busy_) {
        start_next(now);
    }
}

auto target_monitor::start_next(time_point now) -> void
{
    if (!commands_.empty()) {
        start_command();
    } else if (is_poll_wanted_) {
        start_poll(now);
    } else if (is_probe_wanted_ || detector_.is_probe_due(now)) {
        start_probe(now);
    }
}

auto target_monitor::start_command() -> void
{
    auto next = std::move(commands_.front());
    commands_.pop_front();
    run_guarded(
        next.body, next.limit,
        [this, handler = std::move(next.handler)](const target_result& result) {
            if (result.error) {
                detector_.on_probe_failed(hooks_.now());
                drop_connection();
            }
            handler(result);
        });
}

auto target_monitor::start_poll(time_point now) -> void
{
    is_poll_wanted_ = false;
    detector_.on_probe_sent(now);
    run_guarded(server_state_query(), options_.detector.silence_timeout,
                [this, now](const target_result& result) {
                    const auto state = on_state_answer(now, result);
                    if (state) {
                        poll_replicas(*state);
                    } else {
                        hooks_.on_poll(std::nullopt);
                    }
                });
}

auto target_monitor::poll_replicas(const server_state& state) -> void
{
    run_guarded(replica_states_query(), options_.detector.silence_timeout,
                [this, state](const target_result& result) {
                    if (result.error) {
                        detector_.on_probe_failed(hooks_.now());
                        drop_connection();
                    }
                    auto replicas = result.error
                                        ? std::nullopt
                                        : parse_replica_states(result.answer);
                    if (replicas) {
                        hooks_.on_poll(std::pair(state, std::move(*replicas)));
                    } else {
                        hooks_.on_poll(std::nullopt);
                    }
                });
}

auto target_monitor::start_probe(time_point now) -> void
{
    is_probe_wanted_ = false;
    detector_.on_probe_sent(now);
    run_guarded(server_state_query(), options_.detector.silence_timeout,
                [this, now](const target_result& result) {
                    on_state_answer(now, result);
                });
}

auto target_monitor::on_state_answer(time_point asked_at,
                                     const target_result& result)
    -> std::optional<server_state>
{
    const auto state =
        result.error ? std::nullopt : parse_server_state(result.answer);
    if (!state) {
        detector_.on_probe_failed(hooks_.now());
        drop_connection();
        return std::nullopt;
    }
    detector_.on_probe_answered(hooks_.now());
    hooks_.on_state(asked_at, *state);
    return state;
}

auto target_monitor::drop_connection() -> void
{
    ++generation_;
    is_connecting_ = false;
    is_busy_ = false;
    connection_.reset();
    auto failed = std::exchange(commands_, {});
    for (auto& item : failed) {
        item.handler(connection_error("the connection to the target was lost"));
    }
}

template <class Handler>
auto target_monitor::run_guarded(const statement& body, duration limit,
                                 Handler handler) -> void
{
    is_busy_ = true;
    is_continued_ = true;
    connection_->run(body, limit,
                     [self = shared_from_this(), generation = generation_,
                      handler = std::move(handler)](target_result result) {
                         if (self->generation_ != generation) {
                             return;
                         }
                         // The handler may go on with a second statement of
                         // the same operation; anything else has to wait.
                         self->is_continued_ = false;
                         handler(result);
                         if (self->is_continued_) {
                             return;
                         }
                         self->is_busy_ = false;
                         if (self->is_connected()) {
                             self->start_next(self->hooks_.now());
                         }
                     });
}

} // namespace rhubarbrun::inline v1
