#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_RUNNER_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_RUNNER_HPP

#include "scenario_file.hpp"
#include "scenario_proxy.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Runs a scenario in virtual time and checks its expectations and the standing
// invariants. Simulates callers, operators, the load balancer and the targets'
// announcements. The checks compare with a map of acknowledged orders, the
// orders that each session has to see, and the log of rolled-out bundles.

namespace rhubarbrun::tests {

/// Behaviour that an experiment replaces; an empty function keeps the default.
struct scenario_policy
{
    /// See `scenario_network::min_delay`.
    std::function<duration(const std::string& from, const std::string& to)>
        min_delay;
    /// See `scenario_owner_hooks::may_start_failover`.
    failover_start_rule may_start_failover;
};

class scenario_runner
{
public:
    explicit scenario_runner(scenario_deployment deployment,
                             scenario_fault fault = scenario_fault::none,
                             scenario_policy policy = {});
    scenario_runner(const scenario_runner&) = delete;
    auto operator=(const scenario_runner&) -> scenario_runner& = delete;

    /// Bootstraps the control group, rolls out bundle 1 and waits until each
    /// group has a primary. Times of steps are relative to the end of the
    /// set-up.
    auto set_up() -> void;
    auto apply(const scenario_step& step) -> void;
    /// Advances virtual time to `at_ms` after the set-up.
    auto run_until(std::int64_t at_ms) -> void;
    /// Checks the conditions that must hold at the end.
    auto check_end() -> void;

    /// Name of the group's primary, of the proxy that owns a server, and of
    /// the control leader; empty if there is none.
    [[nodiscard]] auto primary_of(const std::string& group) const
        -> std::string;
    [[nodiscard]] auto owner_of(const std::string& server) const -> std::string;
    [[nodiscard]] auto leader_name() const -> std::string;
    /// Longest time without an acknowledged write while a write load was
    /// running.
    [[nodiscard]] auto longest_write_gap(const std::string& group) const
        -> duration;

    /// Violated expectations and invariants; empty if all held.
    [[nodiscard]] auto failures() const -> std::vector<std::string>;

private:
    struct caller
    {
        std::string name;
        std::string proxy;
        session_id session;
        group_id group;
        std::string token;
        bool is_open = false;
        bool is_in_transaction = false;
        std::vector<std::string> acknowledged;
        std::vector<std::string> in_transaction;
        /// Attempt that is not answered yet.
        attempt_number running_attempt = 0;
        std::string label;
    };
    struct attempt_record
    {
        scenario_statement body;
        bool is_answered = false;
    };
    struct outcome
    {
        verdict value = verdict::ran;
        std::string code;
        bool is_from_record = false;
        std::string server;
    };
    struct load_item
    {
        std::string order;
        group_id group;
        bool is_read = false;
        time_point offered;
        attempt_number running_attempt = 0;
        std::string proxy;
        session_id session;
    };
    struct answered_item
    {
        time_point offered;
        std::optional<time_point> answered;
    };
    using completion_handler = std::function<void(const caller_reply&)>;

    auto start_process(const std::string& name) -> void;
    auto stop_process(const std::string& name) -> void;
    auto restart(const scenario_step& step) -> void;
    auto schedule_ticks(const std::string& name) -> void;
    auto tick_server(scenario_server& server) -> void;
    auto announce(scenario_server& server) -> void;
    auto on_exit(const std::string& proxy) -> void;
    auto on_acknowledged(const group_id& group, term ran_in, owner_epoch epoch)
        -> void;
    auto on_bundle(const std::string& proxy, bundle_version version) -> void;

    // Callers.
    auto open(caller& who) -> void;
    auto close(caller& who) -> void;
    auto run_statement(const scenario_step& step, statement_kind kind) -> void;
    auto execute(const std::string& proxy, session_id session,
                 const caller_statement& statement, completion_handler done)
        -> void;
    auto on_answer(attempt_number attempt, const caller_reply& reply,
                   const completion_handler& done) -> void;
    auto on_outcome(caller& who, statement_kind kind, const std::string& order,
                    const std::string& label, const caller_reply& reply)
        -> void;
    auto disconnect_callers(const std::string& proxy) -> void;
    auto start_load(const scenario_step& step) -> void;
    auto send_load_item(const std::shared_ptr<load_item>& item) -> void;
    auto acknowledge(const group_id& group, const std::string& order) -> void;

    // Operators.
    auto submit_command(const control_command& command,
                        const std::string& label, bool is_answer_lost) -> void;
    auto submit_command_to(std::size_t member, const control_command& command,
                           const std::string& label,
                           const std::shared_ptr<bool>& is_done,
                           const std::shared_ptr<bool>& is_answer_lost) -> void;
    auto make_changes(std::int64_t count) -> void;

    auto expect(const scenario_step& step) -> void;
    auto check_bundle(const scenario_step& step) -> void;
    auto check_write_gap(const scenario_step& step) -> void;
    auto check_answered_share(const scenario_step& step) -> void;
    auto require(bool condition, const scenario_step& step,
                 const std::string& seen) -> void;
    auto add_failure(const std::string& what) -> void;
    /// State that control has committed, even if members have lost it since.
    [[nodiscard]] auto committed_state() const -> const control_state&
    {
        return committed_state_;
    }
    [[nodiscard]] auto group_of(const scenario_step& step) const -> group_id;
    [[nodiscard]] auto make_bundle(std::int64_t version,
                                   std::int64_t flavour) const -> bundle;
    [[nodiscard]] auto leader() const -> scenario_control*;
    [[nodiscard]] auto elapsed() const -> std::int64_t;

    scenario_deployment deployment_;
    scenario_fault fault_;
    scenario_network network_;
    server_history history_;
    std::map<std::string, std::unique_ptr<scenario_control>> controls_;
    std::map<std::string, std::unique_ptr<scenario_proxy>> proxies_;
    std::map<std::string, std::unique_ptr<scenario_server>> servers_;
    std::map<std::string, std::string> group_names_;
    control_state committed_state_;
    time_point start_{};

    std::map<std::string, caller> callers_;
    std::map<std::string, outcome> outcomes_;
    std::map<attempt_number, attempt_record> attempts_;
    std::vector<attempt_number> not_run_;
    attempt_number last_attempt_ = 0;
    std::uint64_t last_session_ = 0;
    std::uint64_t last_load_ = 0;
    std::vector<std::shared_ptr<load_item>> pending_load_;
    std::vector<std::shared_ptr<answered_item>> answered_load_;

    std::map<group_id, std::set<std::string>> acknowledged_;
    std::map<group_id, std::vector<time_point>> write_times_;
    std::optional<time_point> write_load_start_;
    time_point write_load_end_{};

    std::map<std::string, command_result> operator_answers_;
    std::map<bundle_version, bundle_digest> rolled_bundles_;
    std::map<std::string, bundle_version> bundles_in_force_;
    std::set<std::string> exited_proxies_;
    std::vector<std::string> failures_;
};

/// Runs a whole scenario; returns the failures.
[[nodiscard]] auto run_scenario(const scenario& script,
                                scenario_fault fault = scenario_fault::none)
    -> std::vector<std::string>;

} // namespace rhubarbrun::tests

#endif
