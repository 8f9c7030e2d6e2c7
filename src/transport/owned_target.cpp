#include <rhubarbrun/transport/owned_target.hpp>

#include <rhubarbrun/transport/event_log.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Resolution of the time limits of requests, of a failover and of a handover.
constexpr auto busy_tick_interval = std::chrono::milliseconds(10);
/// Resolution of the probes while nothing else has to be timed; an idle target
/// costs a fifth of the wake-ups.
constexpr auto idle_tick_interval = std::chrono::milliseconds(50);
/// Replicas of an idle primary are polled this often, so that entries learn
/// which replicas follow it.
constexpr auto idle_poll_interval = std::chrono::milliseconds(250);

auto monitor_options(const bundle_timings& timings) -> target_monitor_options
{
    auto options = target_monitor_options{};
    options.detector.probe_interval = milliseconds(timings.probe_interval_ms);
    options.detector.silence_timeout = milliseconds(timings.probe_silence_ms);
    options.detector.failure_limit = static_cast<int>(timings.probe_failures);
    options.connect_limit = options.detector.silence_timeout;
    return options;
}

/// Limits of the queue: those of the bundle, or what the target announces if
/// that is less.
auto queue_limits(const group_record& group, const target_record& record)
    -> admission_limits
{
    const auto& limits = group.config.limits;
    const auto& announced = record.description;
    auto result = admission_limits{};
    result.slots =
        std::min(static_cast<std::uint32_t>(limits.slots), announced.slots);
    result.connections =
        std::min(static_cast<std::uint32_t>(limits.connections),
                 announced.connection_limit);
    result.reserved_connections = static_cast<std::uint32_t>(
        result.connections * limits.reserved_connections_percent / 100);
    // One connection is the monitor's.
    result.connections -= std::min(result.connections, 1U);
    return result;
}

auto queue_options(const group_record& group, random_function random)
    -> admission_options
{
    const auto& limits = group.config.limits;
    auto options = admission_options{};
    options.queue_length = static_cast<std::size_t>(limits.queue_length);
    options.caller_percent = static_cast<std::uint32_t>(limits.caller_percent);
    options.max_wait = milliseconds(limits.queue_wait_ms);
    options.weights = {static_cast<std::uint32_t>(limits.order_entry_weight),
                       static_cast<std::uint32_t>(limits.lookup_weight),
                       static_cast<std::uint32_t>(limits.report_weight)};
    options.random = std::move(random);
    return options;
}

auto pool_options(const admission_limits& limits, random_function random)
    -> target_pool_options
{
    auto options = target_pool_options{};
    options.budget.limit = limits.connections;
    options.budget.slots = limits.slots;
    options.budget.reserved_connections = limits.reserved_connections;
    options.budget.random = std::move(random);
    return options;
}

auto pool_limits(const admission_limits& limits, const group_record& group)
    -> target_pool_limits
{
    auto result = target_pool_limits{};
    result.connections = limits.connections;
    result.slots = limits.slots;
    result.reserved_connections = limits.reserved_connections;
    result.max_answer_bytes =
        static_cast<std::size_t>(group.config.limits.session_result_bytes);
    return result;
}

} // namespace

owned_target::owned_target(asio::io_context& context,
                           owned_target_options options,
                           owned_target_hooks hooks, directory_view view)
    : strand_(asio::make_strand(context)),
      timer_(strand_),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      view_(std::move(view)),
      record_(*view_->find_target(options_.id)),
      group_(*view_->find_group(record_.description.group)),
      timings_(view_->bundle()->timings),
      acknowledger_(group_.config.acknowledge,
                    milliseconds(group_.config.acknowledge_wait_ms))
{
    const auto limits = queue_limits(group_, record_);
    queue_ = std::make_unique<admission_queue>(
        limits, queue_options(group_, hooks_.random));
    auto pool_hooks = target_pool_hooks{};
    pool_hooks.now = hooks_.now;
    pool_hooks.make = [this] {
        return make_connection();
    };
    pool_hooks.on_idle = [this] {
        pump();
    };
    pool_ = std::make_shared<target_pool>(pool_options(limits, hooks_.random),
                                          std::move(pool_hooks));
    auto monitor_hooks = target_monitor_hooks{};
    monitor_hooks.now = hooks_.now;
    monitor_hooks.make = [this] {
        return make_connection();
    };
    monitor_hooks.on_connected = [this] {
        on_monitor_connected();
    };
    monitor_hooks.on_state = [this](time_point asked_at,
                                    const server_state& state) {
        on_state(asked_at, state);
    };
    monitor_hooks.on_poll = [this](const auto& poll) {
        on_poll(poll);
    };
    monitor_ = std::make_shared<target_monitor>(monitor_options(timings_),
                                                std::move(monitor_hooks));
}

auto owned_target::start() -> void
{
    asio::post(strand_, [self = shared_from_this()] {
        log_event("target_owned")
            .field("target", self->options_.id)
            .field("epoch", self->record_.epoch);
        self->tick();
    });
}

auto owned_target::set_directory(directory_view view) -> void
{
    asio::post(strand_, [self = shared_from_this(), view = std::move(view)] {
        if (!self->is_stopped_) {
            self->view_ = view;
            self->apply_directory();
        }
    });
}

auto owned_target::stop() -> void
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->is_stopped_) {
            return;
        }
        self->is_stopped_ = true;
        log_event("target_released")
            .field("target", self->options_.id)
            .field("epoch", self->record_.epoch);
        self->leave_role("the target has another owner");
        self->refuse_all_waiting();
        self->timer_.cancel();
        self->pool_->stop();
        self->monitor_->stop();
    });
}

auto owned_target::query(std::function<void(position_answer)> done) -> void
{
    asio::post(strand_, [self = shared_from_this(), done = std::move(done)] {
        auto answer = position_answer{};
        answer.target = self->options_.id;
        answer.load = self->queue_->load();
        const auto is_known = self->may_serve() && self->state_ &&
                              self->group_.primary.has_value();
        if (is_known) {
            const auto now_term = self->group_.primary->group_term;
            const auto age = self->hooks_.now() - self->state_asked_at_;
            answer.age_us = age.count();
            if (self->may_write()) {
                answer.position = log_position{
                    now_term, self->acknowledger_.highest_acknowledged()};
                answer.log_end = log_position{now_term, self->state_->position};
                answer.followers = self->followers_;
            } else if (self->state_->is_in_recovery && self->follows_term()) {
                answer.position =
                    log_position{now_term, self->state_->position};
            }
        }
        done(std::move(answer));
    });
}

auto owned_target::inspect(std::function<void(owned_target_status)> done)
    -> void
{
    asio::post(strand_, [self = shared_from_this(), done = std::move(done)] {
        done(self->make_status());
    });
}

auto owned_target::make_status() const -> owned_target_status
{
    auto status = owned_target_status{};
    status.id = options_.id;
    status.epoch = record_.epoch;
    status.is_serving = may_serve();
    status.is_primary = may_write();
    status.is_fenced = is_fenced_;
    status.is_handing_over = handover_since_.has_value();
    if (group_.primary) {
        status.group_term = group_.primary->group_term;
    }
    if (state_) {
        status.position = {status.group_term, state_->position};
    }
    if (failover_) {
        status.failover = failover_->phase();
    }
    status.jobs = jobs_.size();
    status.open_transactions = pins_.size();
    status.waiting_for_second_server = acknowledger_.waiting();
    status.queue = queue_->snapshot();
    status.connections = pool_->counts();
    status.older = older_;
    return status;
}

auto owned_target::schedule_tick() -> void
{
    const auto is_busy = !jobs_.empty() || failover_ || handover_since_ ||
                         !has_terminated_older_ || older_.standing > 0;
    timer_.expires_after(is_busy ? busy_tick_interval : idle_tick_interval);
    timer_.async_wait([self = weak_from_this()](const error_code& error) {
        const auto target = self.lock();
        if (!error && target && !target->is_stopped_) {
            target->tick();
        }
    });
}

auto owned_target::tick() -> void
{
    const auto now = hooks_.now();
    schedule_tick();
    if (may_connect()) {
        monitor_->tick(now);
    }
    const auto waiting =
        static_cast<std::uint32_t>(waiting_for_connection_.size());
    const auto is_older_known = has_terminated_older_ && may_connect();
    pool_->tick(now, waiting,
                is_older_known ? std::optional(older_.standing) : std::nullopt);
    const auto is_poll_due = may_write() && !acknowledger_.is_polling() &&
                             now - last_poll_ >= idle_poll_interval;
    if (is_poll_due) {
        // The acknowledger has to know of every poll: a write that commits
        // while one is underway must wait for the next.
        last_poll_ = now;
        acknowledger_.on_poll_sent();
        monitor_->request_poll();
    }
    expire_jobs(now);
    advance_role();
    watch_older(now);
    learn_timeline(now);
    check_primary(now);
    step_handover(now);
    release_if_gone(now);
    pump();
}

auto owned_target::on_monitor_connected() -> void
{
    // Another server, or the same one with another history, may answer at the
    // address after a restart.
    state_.reset();
    history_term_ = term(0);
    advance_role();
}

auto owned_target::on_state(time_point asked_at, const server_state& state)
    -> void
{
    state_ = state;
    state_asked_at_ = asked_at;
    check_history();
    if (failover_) {
        carry_out(failover_->on_primary_answered());
    }
    retry_position_waiters(hooks_.now());
    advance_role();
}

auto owned_target::on_poll(
    const std::optional<std::pair<server_state, std::vector<replica_state>>>&
        poll) -> void
{
    if (!poll) {
        acknowledger_.on_poll_failed();
        return;
    }
    auto positions = replication_positions{poll->first.position, std::nullopt};
    followers_.clear();
    has_streaming_replica_ = false;
    for (const auto& replica : poll->second) {
        has_streaming_replica_ |= replica.state == "streaming";
        const auto name = target_id(replica.application_name);
        const auto* const known = view_->find_target(name);
        const auto is_member =
            known != nullptr && known->description.group == group_.config.id;
        if (!is_member || replica.state != "streaming") {
            continue;
        }
        followers_.push_back(name);
        positions.highest_replica = std::max(
            positions.highest_replica.value_or(log_offset{}), replica.flushed);
    }
    for (const auto& write : acknowledger_.on_poll_answered(positions)) {
        acknowledge(admission_ticket(write.handle), write.position);
    }
    if (acknowledger_.should_poll()) {
        acknowledger_.on_poll_sent();
        monitor_->request_poll();
    }
}

auto owned_target::make_connection() -> std::unique_ptr<target_connection>
{
    auto options = target_connection_options{};
    options.address = record_.description.address;
    options.port = record_.description.port;
    options.database = group_.config.database;
    options.user = options_.credentials.user;
    options.password = options_.credentials.password;
    options.application_name =
        target_application_name(options_.self.id, record_.epoch);
    options.max_answer_bytes =
        static_cast<std::size_t>(group_.config.limits.session_result_bytes);
    return std::make_unique<target_connection>(strand_, std::move(options));
}

auto owned_target::apply_directory() -> void
{
    const auto* const record = view_->find_target(options_.id);
    if (record == nullptr) {
        return;
    }
    const auto* const group = view_->find_group(record->description.group);
    if (group == nullptr) {
        return;
    }
    const auto had_primary = group_.primary;
    if (record->epoch != record_.epoch) {
        // Each assignment has its own object; this one serves no more.
        is_assignment_over_ = true;
        return;
    }
    record_ = *record;
    group_ = *group;
    if (view_->bundle()) {
        timings_ = view_->bundle()->timings;
    }
    apply_limits();
    const auto has_moved =
        had_primary && (!group_.primary ||
                        group_.primary->group_term != had_primary->group_term);
    if (has_moved) {
        leave_role("the group has another primary");
    }
    if (record_.next_owner && !handover_since_) {
        handover_since_ = hooks_.now();
        queue_->stop_admitting();
    }
    advance_role();
    pump();
}

auto owned_target::apply_limits() -> void
{
    const auto current = limits();
    queue_->set_limits(current);
    queue_->set_options(queue_options(group_, hooks_.random));
    pool_->set_limits(pool_limits(current, group_));
    monitor_->set_options(monitor_options(timings_));
    acknowledger_.set_mode(group_.config.acknowledge,
                           milliseconds(group_.config.acknowledge_wait_ms));
}

auto owned_target::limits() const -> admission_limits
{
    auto result = queue_limits(group_, record_);
    result.previous_owner_connections = older_.standing;
    result.previous_owner_running = older_.running;
    return result;
}

auto owned_target::may_connect() const -> bool
{
    return !is_stopped_ && is_own_assignment() && hooks_.holds_lease();
}

auto owned_target::is_own_assignment() const -> bool
{
    return !is_assignment_over_ && record_.owner &&
           *record_.owner == options_.self;
}

auto owned_target::is_designated_primary() const -> bool
{
    return group_.primary && group_.primary->target == options_.id;
}

auto owned_target::may_serve() const -> bool
{
    return !is_stopped_ && !is_fenced_ && has_terminated_older_ &&
           is_own_assignment() && hooks_.holds_lease();
}

auto owned_target::may_write() const -> bool
{
    return may_serve() && is_designated_primary() &&
           prepared_term_ == group_.primary->group_term;
}

} // namespace rhubarbrun::inline v1
