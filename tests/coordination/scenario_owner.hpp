#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_OWNER_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_OWNER_HPP

#include "scenario_server.hpp"

#include <rhubarbrun/coordination/admission.hpp>
#include <rhubarbrun/coordination/failover.hpp>
#include <rhubarbrun/coordination/failure_detector.hpp>
#include <rhubarbrun/coordination/group_positions.hpp>
#include <rhubarbrun/coordination/silence_detector.hpp>
#include <rhubarbrun/coordination/transaction_pins.hpp>
#include <rhubarbrun/coordination/write_acknowledger.hpp>
#include <rhubarbrun/state/control_command.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/reroute_hint.hpp>

#include <memory>

// Fake of transport's owned_target. It makes the same decisions in the same
// order with the real queue, pins, acknowledger, failure detector and failover,
// and sends messages to a fake server instead of using libpq.

namespace rhubarbrun::tests {

/// Faults that tests inject to show that the scenarios detect them. Each one
/// disables a check in the fakes, or in a decision class through its own hook.
enum class scenario_fault : std::uint8_t
{
    none,
    /// Invariant 1: reads ignore the session's floor.
    skip_floor_check,
    /// Invariant 2: writes are acknowledged without a check of the lease and
    /// the term.
    acknowledge_without_check,
    /// Invariant 3: a connection with an open transaction is reused.
    reuse_open_connection,
    /// Invariant 4: a late answer is delivered to the session's current
    /// request.
    accept_late_answer,
    /// Invariant 5: a request that may have run is reported as not run.
    claim_not_run,
    /// Invariant 6: a non-idempotent request is sent again.
    resend_non_idempotent,
    /// Invariant 7: a leaving target is treated as present.
    ignore_leaving,
    /// Invariant 8: a proxy exits at the first signal.
    exit_at_once,
    /// Invariant 9: a restarted control member has lost its log.
    lose_log,
    /// Lost write: the answer of a poll that was sent before a commit counts
    /// for that commit.
    count_earlier_poll,
    /// Healthy primary replaced: the owner does not know how many other proxies
    /// are alive and counts a missing answer as agreement.
    trust_silence,
};

struct scenario_request
{
    request_id id;
    session_id session;
    scenario_statement body;
    target_id target;
    owner_epoch epoch;
    term group_term;
    bool is_read_only = false;
    bool is_in_transaction = false;
    time_point deadline;
    std::optional<log_position> floor;
};

struct scenario_reply
{
    request_id id;
    std::optional<request_error> error;
    reroute_hint reroute = reroute_hint::none;
    server_answer answer;
    std::optional<log_position> position;
    std::uint32_t load = 0;
};

/// Decides whether the owner of a failed primary may start a failover;
/// `answered` is the time of the last probe that the primary answered, if any.
using failover_start_rule =
    std::function<bool(std::optional<time_point> answered, time_point now)>;

struct scenario_owner_hooks
{
    std::function<bool()> holds_lease;
    std::function<std::optional<std::size_t>()> live_others;
    std::function<const directory&()> view;
    std::function<scenario_server&(const target_id&)> server;
    std::function<void(const proxy_id&, const target_id&)> ask_confirmation;
    std::function<void(const set_primary_command&)> propose_primary;
    std::function<void(const target_id&, owner_epoch)> release;
    /// Additional condition to the failure detector; empty for none.
    failover_start_rule may_start_failover;
    /// Called when the owner acknowledges a write that ran in term `ran_in`.
    std::function<void(const group_id&, term ran_in, owner_epoch)>
        on_acknowledged;
};

class scenario_owner : public std::enable_shared_from_this<scenario_owner>
{
public:
    using reply_function = std::function<void(scenario_reply)>;

    scenario_owner(scenario_network& network, proxy_identity self,
                   target_id target, scenario_owner_hooks hooks,
                   scenario_fault fault);

    auto tick() -> void;
    auto submit(const scenario_request& request, link_id link,
                reply_function reply) -> void;
    auto end_session(const entry_session& session) -> void;
    auto on_link_lost(link_id link) -> void;
    auto on_directory() -> void;
    auto on_confirmation(const proxy_id& proxy, bool is_reachable) -> void;
    auto on_proposal_answered(bool is_accepted) -> void;
    [[nodiscard]] auto query() -> target_position;
    auto stop() -> void;

    [[nodiscard]] auto epoch() const -> owner_epoch { return record_.epoch; }
    [[nodiscard]] auto is_assignment_over() const -> bool
    {
        return is_assignment_over_;
    }
    [[nodiscard]] auto may_write() const -> bool;
    [[nodiscard]] auto job_count() const -> std::size_t { return jobs_.size(); }

private:
    enum class stage : std::uint8_t
    {
        waiting_for_position,
        waiting_for_slot,
        running,
        waiting_for_second_server,
    };

    struct job
    {
        scenario_request request;
        entry_session session;
        reply_function reply;
        stage current_stage = stage::waiting_for_slot;
        std::optional<pin_id> pin;
        std::optional<connection_id> connection;
        time_point started;
        time_point position_deadline;
        term ran_in;
        bool is_abandoned = false;
        server_answer answer;
    };

    enum class failure_reason : std::uint8_t
    {
        refused,
        timed_out,
    };

    template <class Value>
    auto ask(connection_number connection, duration limit,
             std::function<Value(scenario_server&)> run,
             std::function<void(const Value*, failure_reason)> done) -> void;
    auto run_role_command(std::function<void(scenario_server&)> run,
                          duration limit, std::function<void()> done) -> void;
    auto probe(bool is_poll) -> void;
    auto poll_replicas(time_point asked_at, const server_report& first) -> void;
    auto on_probe_ended(time_point asked_at, const server_report* report,
                        bool is_poll) -> void;
    auto on_report(time_point asked_at, const server_report& report,
                   bool is_poll) -> void;
    auto advance_role() -> void;
    auto claim_primary() -> void;
    auto prepare_primary() -> void;
    auto leave_role() -> void;
    auto check_primary() -> void;
    auto replace_leaving_primary() -> void;
    [[nodiscard]] auto make_failover(bool is_planned) const
        -> std::unique_ptr<failover>;
    [[nodiscard]] auto may_start_failover() const -> bool;
    auto carry_out(const std::vector<failover_action>& actions) -> void;
    auto read_status_of(const target_id& target) -> void;
    auto step_handover() -> void;
    [[nodiscard]] auto refusal(const scenario_request& request,
                               const entry_session& session) const
        -> std::optional<scenario_reply>;
    auto admit(job work) -> void;
    auto start_admitted_jobs() -> void;
    auto start_job(admission_ticket ticket) -> void;
    auto on_result(admission_ticket ticket, const server_answer* answer,
                   failure_reason how) -> void;
    auto settle_connection(admission_ticket ticket, job& work, bool is_lost)
        -> void;
    auto on_poll(const server_report& report) -> void;
    auto request_poll() -> void;
    auto expire_jobs() -> void;
    auto refuse_waiting() -> void;
    auto finish(admission_ticket ticket, scenario_reply reply) -> void;
    auto fail(admission_ticket ticket, verdict outcome, std::string_view code,
              reroute_hint reroute = reroute_hint::none) -> void;
    auto drop(connection_id connection) -> void;
    auto release(const released_connection& released) -> void;
    [[nodiscard]] auto take_connection() -> connection_id;
    [[nodiscard]] auto is_own_assignment() const -> bool;
    [[nodiscard]] auto is_designated_primary() const -> bool;
    [[nodiscard]] auto may_serve() const -> bool;
    [[nodiscard]] auto now() const -> time_point { return network_->now(); }

    scenario_network* network_;
    proxy_identity self_;
    target_id id_;
    scenario_owner_hooks hooks_;
    scenario_fault fault_;
    target_record record_;
    group_record group_;
    bundle_timings timings_;
    admission_queue queue_;
    statement_classifier classifier_;
    transaction_pins pins_;
    write_acknowledger acknowledger_;
    failure_detector detector_;
    silence_detector silence_;
    std::unique_ptr<failover> failover_;
    std::map<admission_ticket, job> jobs_;
    admission_ticket last_ticket_;
    std::vector<connection_id> idle_connections_;
    connection_number monitor_ = 0;
    bool is_probing_ = false;
    bool is_poll_requested_ = false;
    std::optional<server_status> status_;
    time_point status_requested_at_{};
    std::set<target_id> followers_;
    bool has_streaming_replica_ = false;
    time_point last_poll_{};
    bool has_terminated_older_ = false;
    bool is_role_command_running_ = false;
    time_point next_role_command_{};
    time_point next_claim_{};
    term prepared_term_;
    term followed_term_;
    std::optional<time_point> leaving_since_;
    bool is_fenced_ = false;
    std::optional<time_point> handover_since_;
    time_point next_release_{};
    bool is_assignment_over_ = false;
    bool is_stopped_ = false;
};

template <class Value>
auto scenario_owner::ask(connection_number connection, duration limit,
                         std::function<Value(scenario_server&)> run,
                         std::function<void(const Value*, failure_reason)> done)
    -> void
{
    const auto self = shared_from_this();
    const auto is_done = std::make_shared<bool>(false);
    const auto end = [self, is_done, done = std::move(done)](
                         const Value* value, failure_reason how) {
        if (!std::exchange(*is_done, true) && !self->is_stopped_) {
            done(value, how);
        }
    };
    const auto& proxy = self_.id.value();
    const auto& server = id_.value();
    network_->send(
        connection, proxy, server,
        [self, connection, run = std::move(run), end] {
            auto& at = self->hooks_.server(self->id_);
            auto value = run(at);
            self->network_->schedule_after(
                at.name(), at.template time_for<Value>(),
                [self, connection, end, value = std::move(value)] {
                    self->network_->send(connection, self->id_.value(),
                                         self->self_.id.value(), [end, value] {
                                             end(&value,
                                                 failure_reason::timed_out);
                                         });
                });
        },
        [end] { end(nullptr, failure_reason::refused); });
    network_->schedule_after(
        proxy, limit, [end] { end(nullptr, failure_reason::timed_out); });
}

} // namespace rhubarbrun::tests

#endif
