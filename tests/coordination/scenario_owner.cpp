#include "scenario_owner.hpp"

#include <rhubarbrun/coordination/failover_plan.hpp>
#include <rhubarbrun/state/overloaded.hpp>

#include <algorithm>

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

// Timeouts and intervals that correspond to those of owned_target.
constexpr auto command_timeout = duration(1s);
constexpr auto promotion_timeout = duration(3s);
constexpr auto status_timeout = duration(300ms);
constexpr auto retry_interval = duration(500ms);
constexpr auto role_retry_interval = duration(100ms);
constexpr auto idle_poll_interval = duration(250ms);
/// Time that a server needs for a promotion.
constexpr auto promotion_duration = duration(200ms);

auto detector_options(const bundle_timings& timings) -> failure_detector_options
{
    return {milliseconds(timings.probe_interval_ms),
            milliseconds(timings.probe_silence_ms),
            static_cast<int>(timings.probe_failures)};
}

auto limits_of(const group_record& group, const target_record& record)
    -> admission_limits
{
    auto out = admission_limits{};
    out.slots = std::min(static_cast<std::uint32_t>(group.config.limits.slots),
                         record.description.slots);
    out.connections =
        std::min(static_cast<std::uint32_t>(group.config.limits.connections),
                 record.description.connection_limit);
    return out;
}

} // namespace

scenario_owner::scenario_owner(scenario_network& network, proxy_identity self,
                               target_id target, scenario_owner_hooks hooks,
                               scenario_fault fault)
    : network_(&network),
      self_(std::move(self)),
      id_(std::move(target)),
      hooks_(std::move(hooks)),
      fault_(fault),
      record_(*hooks_.view().find_target(id_)),
      group_(*hooks_.view().find_group(record_.description.group)),
      timings_(hooks_.view().bundle()->timings),
      queue_(limits_of(group_, record_)),
      acknowledger_(group_.config.acknowledge,
                    milliseconds(group_.config.acknowledge_wait_ms)),
      detector_(detector_options(timings_))
{
}

auto scenario_owner::run_role_command(std::function<void(scenario_server&)> run,
                                      duration limit,
                                      std::function<void()> done) -> void
{
    is_role_command_running_ = true;
    ask<bool>(
        monitor_, limit,
        [run = std::move(run)](scenario_server& server) {
            run(server);
            return true;
        },
        [this, done = std::move(done)](const bool* value, failure_reason) {
            is_role_command_running_ = false;
            if (value != nullptr) {
                done();
            } else {
                next_role_command_ = now() + role_retry_interval;
                monitor_ = 0;
            }
        });
}

auto scenario_owner::tick() -> void
{
    if (is_stopped_) {
        return;
    }
    const auto is_due = is_poll_requested_ || detector_.is_probe_due(now());
    if (!is_probing_ && is_due) {
        probe(is_poll_requested_);
    }
    if (may_write() && now() - last_poll_ >= idle_poll_interval) {
        last_poll_ = now();
        if (fault_ == scenario_fault::count_earlier_poll) {
            request_poll();
        } else if (!acknowledger_.is_polling()) {
            acknowledger_.on_poll_sent();
            request_poll();
        }
    }
    for (const auto& action : silence_.tick(now())) {
        const auto is_idle =
            std::erase(idle_connections_, action.connection) > 0;
        if (is_idle) {
            drop(action.connection);
        }
    }
    expire_jobs();
    advance_role();
    check_primary();
    step_handover();
    start_admitted_jobs();
}

auto scenario_owner::probe(bool is_poll) -> void
{
    is_probing_ = true;
    is_poll_requested_ = is_poll_requested_ && !is_poll;
    const auto asked_at = now();
    detector_.on_probe_sent(asked_at);
    if (monitor_ == 0) {
        monitor_ = network_->connect(self_.id.value(), id_.value());
    }
    ask<server_report>(
        monitor_, milliseconds(timings_.probe_silence_ms),
        [](scenario_server& server) { return server.report(); },
        [this, asked_at, is_poll](const server_report* report, failure_reason) {
            if (report != nullptr && is_poll) {
                poll_replicas(asked_at, *report);
            } else {
                on_probe_ended(asked_at, report, is_poll);
            }
        });
}

auto scenario_owner::poll_replicas(time_point asked_at,
                                   const server_report& first) -> void
{
    // A poll consists of two queries: the log end first, then the replicas.
    ask<server_report>(
        monitor_, milliseconds(timings_.probe_silence_ms),
        [](scenario_server& server) { return server.report(); },
        [this, asked_at, first](const server_report* report, failure_reason) {
            auto both = first;
            if (report != nullptr) {
                both.followers = report->followers;
            }
            on_probe_ended(asked_at, report == nullptr ? nullptr : &both, true);
        });
}

auto scenario_owner::on_probe_ended(time_point asked_at,
                                    const server_report* report, bool is_poll)
    -> void
{
    is_probing_ = false;
    if (report == nullptr) {
        detector_.on_probe_failed(now());
        monitor_ = 0;
        if (is_poll) {
            acknowledger_.on_poll_failed();
        }
        return;
    }
    detector_.on_probe_answered(now());
    on_report(asked_at, *report, is_poll);
    if (is_poll_requested_ && !is_probing_) {
        probe(true);
    }
}

auto scenario_owner::request_poll() -> void
{
    is_poll_requested_ = true;
    if (!is_probing_) {
        probe(true);
    }
}

auto scenario_owner::on_report(time_point asked_at, const server_report& report,
                               bool is_poll) -> void
{
    status_ = report.status;
    status_requested_at_ = asked_at;
    if (failover_) {
        carry_out(failover_->on_primary_answered());
    }
    if (is_poll) {
        on_poll(report);
    }
    expire_jobs();
    advance_role();
}

auto scenario_owner::on_poll(const server_report& report) -> void
{
    auto positions =
        replication_positions{report.status.position, std::nullopt};
    followers_.clear();
    has_streaming_replica_ = !report.followers.empty();
    for (const auto& [name, position] : report.followers) {
        followers_.insert(target_id(name));
        positions.highest_replica =
            std::max(positions.highest_replica.value_or(log_offset{}),
                     log_offset(position));
    }
    for (const auto& write : acknowledger_.on_poll_answered(positions)) {
        const auto ticket = admission_ticket(write.handle);
        const auto found = jobs_.find(ticket);
        if (found == jobs_.end()) {
            continue;
        }
        const auto& work = found->second;
        const auto is_current =
            fault_ == scenario_fault::acknowledge_without_check ||
            (may_write() && group_.primary->group_term == work.ran_in);
        if (!is_current) {
            fail(ticket, verdict::may_have_run,
                 sqlstate::transaction_resolution_unknown);
            continue;
        }
        hooks_.on_acknowledged(group_.config.id, work.ran_in, record_.epoch);
        auto reply = scenario_reply{};
        reply.answer = work.answer;
        reply.position = log_position{work.ran_in, write.position};
        finish(ticket, std::move(reply));
    }
    if (acknowledger_.should_poll()) {
        acknowledger_.on_poll_sent();
        request_poll();
    }
}

auto scenario_owner::advance_role() -> void
{
    const auto can_act = !is_stopped_ && !is_role_command_running_ &&
                         is_own_assignment() && hooks_.holds_lease() &&
                         monitor_ != 0 && status_ &&
                         now() >= next_role_command_;
    if (!can_act) {
        return;
    }
    if (!has_terminated_older_) {
        run_role_command(
            [epoch = record_.epoch](scenario_server& server) {
                server.terminate_older(epoch.value());
            },
            command_timeout, [this] { has_terminated_older_ = true; });
        return;
    }
    if (!group_.primary) {
        claim_primary();
        return;
    }
    const auto group_term = group_.primary->group_term;
    if (!is_designated_primary()) {
        if (followed_term_ != group_term) {
            const auto upstream = group_.primary->target.value();
            run_role_command(
                [upstream](scenario_server& server) {
                    server.upstream = upstream;
                },
                command_timeout,
                [this, group_term] { followed_term_ = group_term; });
        }
        return;
    }
    if (status_->is_in_recovery) {
        run_role_command(
            [this](scenario_server& server) {
                network_->schedule_after(server.name(), promotion_duration,
                                         [&server] { server.promote(); });
            },
            promotion_timeout,
            [this] {
                status_.reset();
                next_role_command_ = now() + promotion_duration;
            });
    } else if (prepared_term_ != group_term) {
        prepare_primary();
    }
}

auto scenario_owner::claim_primary() -> void
{
    if (status_->is_in_recovery || now() < next_claim_) {
        return;
    }
    const auto is_alone = hooks_.view().targets_of(group_.config.id).size() < 2;
    if (!is_alone && !has_streaming_replica_) {
        request_poll();
        next_claim_ = now() + 10ms;
        return;
    }
    next_claim_ = now() + retry_interval;
    hooks_.propose_primary({group_.config.id, term(0), id_, self_,
                            record_.epoch, term(status_->timeline)});
}

auto scenario_owner::prepare_primary() -> void
{
    const auto prepared = group_.primary->group_term;
    run_role_command(
        [](scenario_server&) {}, command_timeout,
        [this, prepared] {
            const auto is_current = is_designated_primary() && status_ &&
                                    group_.primary->group_term == prepared;
            if (is_current) {
                acknowledger_.raise_highest_acknowledged(status_->position);
                prepared_term_ = prepared;
                start_admitted_jobs();
            }
        });
}

auto scenario_owner::leave_role() -> void
{
    prepared_term_ = term(0);
    failover_.reset();
    leaving_since_.reset();
    is_fenced_ = false;
    followers_.clear();
    for (const auto handle : acknowledger_.abandon()) {
        fail(admission_ticket(handle), verdict::may_have_run,
             sqlstate::transaction_resolution_unknown);
    }
    refuse_waiting();
    for (const auto connection : std::exchange(idle_connections_, {})) {
        drop(connection);
    }
    auto running = std::vector<admission_ticket>{};
    for (const auto& [ticket, work] : jobs_) {
        if (work.current_stage == stage::running) {
            running.push_back(ticket);
        }
    }
    for (const auto ticket : running) {
        on_result(ticket, nullptr, failure_reason::timed_out);
    }
}

auto scenario_owner::check_primary() -> void
{
    const auto is_watched = is_designated_primary() && is_own_assignment() &&
                            hooks_.holds_lease() && !handover_since_;
    if (!is_watched) {
        failover_.reset();
    } else if (failover_) {
        failover_->set_live_others(hooks_.live_others());
        carry_out(failover_->tick(now()));
    } else if (detector_.has_failed(now()) && may_start_failover()) {
        failover_ = make_failover(false);
        failover_->set_live_others(hooks_.live_others());
        carry_out(failover_->on_suspected(
            now(), confirmation_order(hooks_.view(), self_.id)));
    } else if (record_.presence != target_presence::present) {
        replace_leaving_primary();
    }
}

auto scenario_owner::may_start_failover() const -> bool
{
    return !hooks_.may_start_failover ||
           hooks_.may_start_failover(
               status_ ? std::optional(status_requested_at_) : std::nullopt,
               now());
}

auto scenario_owner::replace_leaving_primary() -> void
{
    if (!leaving_since_) {
        leaving_since_ = now();
    }
    if (now() - *leaving_since_ >= leaving_primary_wait(timings_)) {
        for (const auto& pin : pins_.expire(now(), duration::zero())) {
            release(pin);
        }
    }
    const auto is_idle = jobs_.empty() && pins_.size() == 0;
    if (!is_idle || !may_write()) {
        return;
    }
    auto process = make_failover(true);
    if (process) {
        failover_ = std::move(process);
        is_fenced_ = true;
        carry_out(failover_->start_planned(now()));
    }
}

auto scenario_owner::make_failover(bool is_planned) const
    -> std::unique_ptr<failover>
{
    auto plan = plan_failover(hooks_.view(), group_, is_planned);
    if (!plan) {
        return nullptr;
    }
    if (prepared_term_ == plan->current_term && status_) {
        plan->highest_acknowledged = timeline_position{
            status_->timeline, acknowledger_.highest_acknowledged()};
    }
    return std::make_unique<failover>(std::move(*plan),
                                      failover_options_for(timings_));
}

auto scenario_owner::carry_out(const std::vector<failover_action>& actions)
    -> void
{
    const auto handlers = overloaded{
        [this](const ask_confirmation& action) {
            for (const auto& proxy : action.proxies) {
                hooks_.ask_confirmation(proxy, id_);
            }
        },
        [this](const read_positions& action) {
            for (const auto& target : action.targets) {
                read_status_of(target);
            }
        },
        [this](const propose_candidate& action) {
            is_fenced_ = true;
            hooks_.propose_primary({group_.config.id, action.expected_term,
                                    action.candidate, self_, record_.epoch,
                                    term(0)});
        },
        [this](const release_primary&) { hooks_.release(id_, record_.epoch); },
        [](const resume_primary&) {
        }};
    for (const auto& action : actions) {
        std::visit(handlers, action);
    }
    if (failover_ && failover_->phase() == failover_phase::watching) {
        failover_.reset();
    }
}

auto scenario_owner::read_status_of(const target_id& target) -> void
{
    const auto self = shared_from_this();
    const auto& proxy = self_.id.value();
    const auto connection = network_->connect(proxy, target.value());
    const auto until = now() + status_timeout;
    network_->send(connection, proxy, target.value(), [=] {
        const auto status = self->hooks_.server(target).report().status;
        self->network_->send(connection, target.value(), self->self_.id.value(),
                             [=] {
                                 if (self->failover_ && self->now() < until) {
                                     self->carry_out(self->failover_->on_status(
                                         self->now(), target, status));
                                 }
                             });
    });
}

auto scenario_owner::on_confirmation(const proxy_id& proxy, bool is_reachable)
    -> void
{
    if (failover_) {
        carry_out(failover_->on_confirmation(now(), proxy, is_reachable));
    }
}

auto scenario_owner::on_proposal_answered(bool is_accepted) -> void
{
    if (failover_) {
        failover_->on_proposal_answered(is_accepted);
    }
}

auto scenario_owner::step_handover() -> void
{
    if (!handover_since_ || now() < next_release_) {
        return;
    }
    const auto has_waited =
        now() - *handover_since_ >= milliseconds(timings_.handover_wait_ms);
    if (has_waited) {
        for (const auto& pin : pins_.expire(now(), duration::zero())) {
            release(pin);
        }
    }
    if (!jobs_.empty() || pins_.size() > 0) {
        return;
    }
    is_fenced_ = true;
    next_release_ = now() + retry_interval;
    hooks_.release(id_, record_.epoch);
}

auto scenario_owner::on_directory() -> void
{
    const auto* const record = hooks_.view().find_target(id_);
    const auto* const group =
        record == nullptr ? nullptr
                          : hooks_.view().find_group(record->description.group);
    if (group == nullptr || record->epoch != record_.epoch) {
        is_assignment_over_ = true;
        return;
    }
    const auto former = group_.primary;
    record_ = *record;
    group_ = *group;
    timings_ = hooks_.view().bundle()->timings;
    queue_.set_limits(limits_of(group_, record_));
    const auto has_moved =
        former &&
        (!group_.primary || group_.primary->group_term != former->group_term);
    if (has_moved) {
        leave_role();
    }
    if (record_.next_owner && !handover_since_) {
        handover_since_ = now();
        queue_.stop_admitting();
    }
    advance_role();
    start_admitted_jobs();
}

auto scenario_owner::is_own_assignment() const -> bool
{
    return !is_assignment_over_ && record_.owner == self_;
}

auto scenario_owner::is_designated_primary() const -> bool
{
    return group_.primary && group_.primary->target == id_;
}

auto scenario_owner::may_serve() const -> bool
{
    return !is_stopped_ && !is_fenced_ && has_terminated_older_ &&
           is_own_assignment() && hooks_.holds_lease();
}

auto scenario_owner::may_write() const -> bool
{
    return may_serve() && is_designated_primary() &&
           prepared_term_ == group_.primary->group_term;
}

auto scenario_owner::query() -> target_position
{
    auto answer = target_position{};
    answer.target = id_;
    answer.load = queue_.load();
    if (!may_serve() || !status_ || !group_.primary) {
        return answer;
    }
    const auto group_term = group_.primary->group_term;
    answer.age = now() - status_requested_at_;
    if (may_write()) {
        answer.position =
            log_position{group_term, acknowledger_.highest_acknowledged()};
        answer.log_end = log_position{group_term, status_->position};
        answer.followers = followers_;
    } else if (status_->is_in_recovery) {
        answer.position = log_position{group_term, status_->position};
    }
    return answer;
}

auto scenario_owner::stop() -> void
{
    if (!is_stopped_) {
        leave_role();
        is_stopped_ = true;
    }
}

} // namespace rhubarbrun::tests
