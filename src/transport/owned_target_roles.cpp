#include <rhubarbrun/coordination/failover_plan.hpp>
#include <rhubarbrun/state/overloaded.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/owned_target.hpp>
#include <rhubarbrun/transport/target_probe.hpp>

#include <algorithm>
#include <utility>

// The part of owned_target that makes a server primary or replica, and that
// replaces a failed primary.

namespace rhubarbrun::inline v1 {

namespace {

/// Time for one of the owner's commands other than a promotion.
constexpr auto command_limit = std::chrono::seconds(1);
/// Whole seconds that a server has to finish its promotion.
constexpr auto promotion_seconds = std::uint32_t{3};
/// Time to read the status of another server during a failover.
constexpr auto status_limit = std::chrono::milliseconds(300);
/// A claim or a release that control has not answered is repeated.
constexpr auto control_repeat_interval = std::chrono::milliseconds(500);
/// A role command that failed is repeated after this.
constexpr auto role_retry_interval = std::chrono::milliseconds(100);
/// Backends of earlier owners are counted this often while some stand.
constexpr auto older_count_interval = std::chrono::milliseconds(20);
/// An attempt to connect that the previous owner began with its lease may take
/// a second to appear, so they are counted for longer even if none stands.
constexpr auto older_check_interval = std::chrono::milliseconds(250);
constexpr auto older_watch_time = std::chrono::seconds(2);

auto log_status(const target_id& target,
                const std::optional<server_state>& state) -> void
{
    auto line = log_event("failover_status_read");
    line.field("target", target).field("reached", state.has_value());
    if (state) {
        line.field("in_recovery", state->is_in_recovery)
            .field("timeline", state->timeline)
            .field("position", to_string(state->received));
    }
}

} // namespace

auto owned_target::advance_role() -> void
{
    const auto now = hooks_.now();
    const auto can_act = !is_stopped_ && !is_role_command_running_ &&
                         is_own_assignment() && hooks_.holds_lease() &&
                         monitor_->is_connected() && now >= next_role_command_;
    if (!can_act) {
        return;
    }
    if (!has_terminated_older_) {
        terminate_older();
        return;
    }
    if (!state_) {
        return;
    }
    if (!group_.primary) {
        claim_primary();
        return;
    }
    const auto group_term = group_.primary->group_term;
    if (!is_designated_primary()) {
        if (followed_term_ != group_term) {
            follow_primary();
        }
        return;
    }
    if (state_->is_in_recovery) {
        promote();
    } else if (prepared_term_ != group_term) {
        prepare_primary();
    }
}

auto owned_target::start_role_command(
    statement body, duration limit,
    std::function<void(const target_result&)> handler) -> void
{
    is_role_command_running_ = true;
    monitor_->run(std::move(body), limit,
                  [weak = weak_from_this(),
                   handler = std::move(handler)](const target_result& result) {
                      const auto self = weak.lock();
                      if (!self || self->is_stopped_) {
                          return;
                      }
                      self->is_role_command_running_ = false;
                      if (result.error || result.has_target_error) {
                          self->next_role_command_ =
                              self->hooks_.now() + role_retry_interval;
                          log_event("role_command_failed",
                                    event_severity::warning)
                              .field("target", self->options_.id)
                              .field("code", result.error ? result.error->code
                                                          : result.target_code);
                          return;
                      }
                      handler(result);
                  });
}

auto owned_target::log_role(std::string_view event) const -> void
{
    log_event(event)
        .field("target", options_.id)
        .field("group", group_.config.id)
        .field("epoch", record_.epoch)
        .field("term", group_.primary ? group_.primary->group_term : term(0));
}

auto owned_target::terminate_older() -> void
{
    // Backends of an earlier owner may still run its statements. None of
    // theirs may commit once this owner has started to serve.
    start_role_command(terminate_older_query(record_.epoch), command_limit,
                       [this](const target_result& result) {
                           const auto counts =
                               parse_older_backends(result.answer);
                           if (counts) {
                               on_older_counted(*counts);
                               return;
                           }
                           next_role_command_ =
                               hooks_.now() + role_retry_interval;
                       });
}

auto owned_target::on_older_counted(const older_backends& counts) -> void
{
    const auto now = hooks_.now();
    const auto is_first = !has_terminated_older_;
    const auto is_changed = counts.standing != older_.standing;
    if (is_first || is_changed) {
        log_event("older_backends_terminated")
            .field("target", options_.id)
            .field("count", counts.ended)
            .field("standing", counts.standing)
            .field("running", counts.running);
    }
    older_ = counts;
    next_older_count_ = now + (older_.standing > 0 ? older_count_interval
                                                   : older_check_interval);
    queue_->set_limits(limits());
    if (is_first) {
        has_terminated_older_ = true;
        watch_older_until_ = now + older_watch_time;
        state_.reset();
        advance_role();
    }
    pump();
}

auto owned_target::watch_older(time_point now) -> void
{
    const auto is_due = has_terminated_older_ && now >= next_older_count_ &&
                        (older_.standing > 0 || now < watch_older_until_);
    const auto can_ask = may_connect() && !is_role_command_running_ &&
                         monitor_->is_connected() && now >= next_role_command_;
    if (is_due && can_ask) {
        terminate_older();
    }
}

auto owned_target::promote() -> void
{
    log_role("promotion_ordered");
    start_role_command(promote_query(promotion_seconds),
                       std::chrono::seconds(promotion_seconds) + command_limit,
                       [this](const target_result&) {
                           // The next state shows whether the server left
                           // recovery.
                           state_.reset();
                       });
}

auto owned_target::prepare_primary() -> void
{
    const auto prepared = group_.primary->group_term;
    start_role_command(
        create_request_table_query(), command_limit,
        [this, prepared](const target_result&) {
            const auto is_current = is_designated_primary() && state_ &&
                                    group_.primary->group_term == prepared;
            if (!is_current) {
                return;
            }
            // A session that arrives now may have seen anything
            // up to here.
            acknowledger_.raise_highest_acknowledged(state_->position);
            prepared_term_ = prepared;
            prepared_timeline_ = state_->timeline;
            log_role("primary_ready");
            pump();
        });
}

auto owned_target::follow_primary() -> void
{
    const auto* const primary = view_->find_target(group_.primary->target);
    if (primary == nullptr) {
        return;
    }
    const auto& where = primary->description;
    log_role("follow_ordered");
    run_follow_step(follow_queries(where.address, where.port,
                                   options_.credentials.user, options_.id),
                    0);
}

auto owned_target::run_follow_step(std::vector<statement> steps,
                                   std::size_t index) -> void
{
    if (index == steps.size()) {
        followed_term_ = group_.primary ? group_.primary->group_term : term(0);
        return;
    }
    auto step = steps[index];
    start_role_command(
        std::move(step), command_limit,
        [this, steps = std::move(steps), index](const target_result&) mutable {
            run_follow_step(std::move(steps), index + 1);
        });
}

auto owned_target::learn_timeline(time_point now) -> void
{
    const auto is_needed = may_serve() && group_.primary &&
                           !is_designated_primary() &&
                           timeline_term_ != group_.primary->group_term;
    if (!is_needed || now < next_timeline_read_) {
        return;
    }
    next_timeline_read_ = now + status_limit;
    const auto asked = group_.primary->group_term;
    probe_other(group_.primary->target, [this, asked](const auto& state) {
        // Until it is promoted it has the timeline of the term before.
        const auto is_usable = state && !state->is_in_recovery &&
                               group_.primary &&
                               group_.primary->group_term == asked;
        if (is_usable) {
            timeline_term_ = asked;
            term_timeline_ = state->timeline;
            check_history();
        } else {
            next_timeline_read_ = hooks_.now() + role_retry_interval;
        }
    });
}

auto owned_target::check_history() -> void
{
    const auto is_on_timeline = group_.primary && state_ &&
                                state_->is_in_recovery &&
                                timeline_term_ == group_.primary->group_term &&
                                state_->timeline == term_timeline_;
    if (is_on_timeline && history_term_ != timeline_term_) {
        history_term_ = timeline_term_;
        log_role("replica_follows_term");
    }
}

auto owned_target::follows_term() const -> bool
{
    return group_.primary && (is_designated_primary() ||
                              history_term_ == group_.primary->group_term);
}

auto owned_target::claim_primary() -> void
{
    const auto now = hooks_.now();
    if (state_->is_in_recovery || now < next_claim_) {
        return;
    }
    // A former primary that came back is not in recovery either, but no
    // replica streams from it. Replicas have the names that the proxy knows
    // only after they were told to follow a primary, so any name counts here.
    const auto is_alone = view_->targets_of(group_.config.id).size() < 2;
    if (!is_alone && !has_streaming_replica_) {
        monitor_->request_poll();
        return;
    }
    next_claim_ = now + control_repeat_interval;
    log_role("primary_claimed");
    hooks_.propose_primary(group_.config.id, term(0), options_.id,
                           record_.epoch, state_->timeline);
}

auto owned_target::leave_role(std::string_view reason) -> void
{
    if (prepared_term_ != term(0)) {
        log_event("primary_role_ended")
            .field("target", options_.id)
            .field("term", prepared_term_)
            .field("reason", reason);
    }
    prepared_term_ = term(0);
    failover_.reset();
    leaving_since_.reset();
    is_fenced_ = false;
    followers_.clear();
    for (const auto handle : acknowledger_.abandon()) {
        fail(admission_ticket(handle),
             {verdict::may_have_run,
              std::string(sqlstate::transaction_resolution_unknown),
              "the primary was replaced before the write was acknowledged"});
    }
    refuse_all_waiting();
    pool_->close_all();
}

auto owned_target::check_primary(time_point now) -> void
{
    const auto is_watched = !is_stopped_ && is_designated_primary() &&
                            is_own_assignment() && hooks_.holds_lease() &&
                            !handover_since_;
    if (!is_watched) {
        failover_.reset();
        return;
    }
    if (failover_) {
        failover_->set_live_others(hooks_.live_others());
        carry_out(failover_->tick(now));
    } else if (monitor_->has_failed(now)) {
        log_role("primary_suspected");
        failover_ = make_failover(false);
        failover_->set_live_others(hooks_.live_others());
        carry_out(failover_->on_suspected(
            now, confirmation_order(*view_, options_.self.id)));
    } else if (record_.presence != target_presence::present) {
        replace_leaving_primary(now);
    }
}

auto owned_target::replace_leaving_primary(time_point now) -> void
{
    if (!leaving_since_) {
        leaving_since_ = now;
    }
    if (now - *leaving_since_ >= leaving_primary_wait(timings_)) {
        for (const auto& pin : pins_.expire(now, duration::zero())) {
            release(pin);
        }
    }
    // New work is refused already; what was taken is answered first.
    const auto is_idle = jobs_.empty() && pins_.size() == 0;
    if (!is_idle || !may_write()) {
        return;
    }
    auto process = make_failover(true);
    if (!process) {
        return;
    }
    log_role("primary_leaving");
    failover_ = std::move(process);
    is_fenced_ = true;
    carry_out(failover_->start_planned(now));
}

auto owned_target::make_failover(bool is_planned) const
    -> std::unique_ptr<failover>
{
    auto plan = plan_failover(*view_, group_, is_planned);
    if (!plan) {
        return nullptr;
    }
    if (prepared_term_ == plan->current_term) {
        plan->highest_acknowledged = timeline_position{
            prepared_timeline_, acknowledger_.highest_acknowledged()};
    }
    return std::make_unique<failover>(std::move(*plan),
                                      failover_options_for(timings_));
}

auto owned_target::carry_out(const std::vector<failover_action>& actions)
    -> void
{
    const auto handlers = overloaded{
        [this](const ask_confirmation& action) {
            for (const auto& proxy : action.proxies) {
                hooks_.ask_confirmation(proxy, record_.description);
            }
        },
        [this](const read_positions& action) {
            for (const auto& target : action.targets) {
                read_status_of(target);
            }
        },
        [this](const propose_candidate& action) {
            is_fenced_ = true;
            log_event("primary_replacement_proposed")
                .field("group", group_.config.id)
                .field("expected_term", action.expected_term)
                .field("candidate", action.candidate);
            hooks_.propose_primary(group_.config.id, action.expected_term,
                                   action.candidate, record_.epoch, 0);
        },
        [this](const release_primary& action) {
            log_event("primary_unreachable_from_here", event_severity::warning)
                .field("target", options_.id)
                .field("reachable_from", action.reachable_from
                                             ? action.reachable_from->value()
                                             : "no_answer");
            hooks_.release(options_.id, record_.epoch);
        },
        [this](const resume_primary&) {
            log_role("primary_answers_again");
        }};
    for (const auto& action : actions) {
        std::visit(handlers, action);
    }
    const auto is_over =
        failover_ && failover_->phase() == failover_phase::watching;
    if (is_over) {
        failover_.reset();
    }
}

auto owned_target::read_status_of(const target_id& target) -> void
{
    probe_other(target, [this, target](const auto& state) {
        if (!failover_) {
            return;
        }
        log_status(target, state);
        if (!state) {
            return;
        }
        const auto status = server_status{state->is_in_recovery,
                                          state->timeline, state->received};
        carry_out(failover_->on_status(hooks_.now(), target, status));
    });
}

auto owned_target::probe_other(
    const target_id& target,
    const std::function<void(const std::optional<server_state>&)>& done) -> void
{
    const auto* const other = view_->find_target(target);
    if (other == nullptr) {
        return;
    }
    auto options = target_connection_options{};
    options.address = other->description.address;
    options.port = other->description.port;
    options.database = group_.config.database;
    options.user = options_.credentials.user;
    options.password = options_.credentials.password;
    options.application_name =
        target_application_name(options_.self.id, other->epoch);
    probe_target(strand_, std::move(options), status_limit,
                 [weak = weak_from_this(), done](const auto& state) {
                     const auto self = weak.lock();
                     if (self && !self->is_stopped_) {
                         done(state);
                     }
                 });
}

auto owned_target::on_confirmation(const proxy_id& proxy, bool is_reachable)
    -> void
{
    asio::post(strand_, [self = shared_from_this(), proxy, is_reachable] {
        if (self->failover_) {
            self->carry_out(self->failover_->on_confirmation(
                self->hooks_.now(), proxy, is_reachable));
        }
    });
}

auto owned_target::on_proposal_answered(bool is_accepted) -> void
{
    asio::post(strand_, [self = shared_from_this(), is_accepted] {
        log_event("primary_proposal_answered")
            .field("group", self->group_.config.id)
            .field("accepted", is_accepted);
        if (self->failover_) {
            self->failover_->on_proposal_answered(is_accepted);
        }
    });
}

auto owned_target::release_if_gone(time_point now) -> void
{
    // A gone primary keeps its owner, which is the one to replace it.
    const auto is_of_no_use = record_.presence == target_presence::gone &&
                              !is_designated_primary() && !handover_since_;
    if (is_of_no_use && jobs_.empty() && now >= next_release_) {
        next_release_ = now + control_repeat_interval;
        hooks_.release(options_.id, record_.epoch);
    }
}

auto owned_target::step_handover(time_point now) -> void
{
    if (!handover_since_ || now < next_release_) {
        return;
    }
    const auto has_waited =
        now - *handover_since_ >=
        std::chrono::milliseconds(timings_.handover_wait_ms);
    if (has_waited && pins_.size() > 0) {
        for (const auto& pin : pins_.expire(now, duration::zero())) {
            release(pin);
        }
    }
    const auto is_idle = jobs_.empty() && pins_.size() == 0;
    if (!is_idle) {
        return;
    }
    // From here on this owner sends nothing, so the next one need not wait
    // for the lease.
    is_fenced_ = true;
    next_release_ = now + control_repeat_interval;
    hooks_.release(options_.id, record_.epoch);
}

} // namespace rhubarbrun::inline v1
