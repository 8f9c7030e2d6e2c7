#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_PROXY_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_PROXY_HPP

#include "scenario_control.hpp"
#include "scenario_owner.hpp"

#include <rhubarbrun/coordination/drain.hpp>
#include <rhubarbrun/coordination/entry_coordinator.hpp>
#include <rhubarbrun/coordination/lease_holder.hpp>
#include <rhubarbrun/coordination/target_announcements.hpp>
#include <rhubarbrun/state/session_token.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

// Fake proxy process. It replaces transport's control_client, entry_router and
// proxy_node and makes the same decisions with the real lease holder,
// directory, entry coordinator, announcements and drain.

namespace rhubarbrun::tests {

class scenario_proxy;

/// A statement that a caller sends to an entry proxy.
struct caller_statement
{
    scenario_statement body;
    duration deadline{};
    duration max_age{};
};

/// The reply to a caller; `answer.attempt` identifies the attempt.
struct caller_reply
{
    verdict outcome = verdict::ran;
    std::string code;
    server_answer answer;
    bool is_at_replica = false;
    /// Session token that comes with the answer.
    std::string token;
};

struct scenario_proxy_hooks
{
    std::function<scenario_control*(const std::string&)> control;
    std::function<scenario_proxy*(const std::string&)> proxy;
    std::function<scenario_server&(const target_id&)> server;
    /// See `scenario_owner_hooks::may_start_failover`.
    failover_start_rule may_start_failover;
    std::function<void(const group_id&, term, owner_epoch)> on_acknowledged;
    /// Called when the directory copy has changed to this bundle.
    std::function<void(const std::string&, bundle_version)> on_bundle;
    std::function<void(const std::string&)> on_exit;
    /// Called when the proxy has ended an idle session.
    std::function<void(session_id)> on_session_ended;
};

class scenario_proxy
{
public:
    using caller_function = std::function<void(const caller_reply&)>;

    scenario_proxy(scenario_network& network, std::string name,
                   std::string zone, std::vector<std::string> members,
                   scenario_proxy_hooks hooks, scenario_fault fault);

    /// Starts a new incarnation with an empty state.
    auto start() -> void;
    auto stop() -> void;
    auto tick() -> void;

    // Callers.
    auto open_session(session_id session, const group_id& group,
                      const std::string& token) -> bool;
    auto close_session(session_id session) -> void;
    auto request(session_id session, const caller_statement& statement,
                 caller_function answer) -> void;

    // Platform.
    auto on_announcement(const target_announcement& announcement) -> void;
    auto drain() -> void;
    [[nodiscard]] auto has_contact() const -> bool;
    [[nodiscard]] auto is_ready() const -> bool;

    // Messages.
    auto on_delta(const directory_delta& delta) -> void;
    auto on_execute(const scenario_request& request, link_id link,
                    scenario_owner::reply_function reply) -> void;

    [[nodiscard]] auto view() const -> const directory& { return directory_; }
    [[nodiscard]] auto name() const -> const std::string& { return name_; }
    [[nodiscard]] auto is_running() const -> bool { return is_running_; }
    [[nodiscard]] auto owner_of(const target_id& target) -> scenario_owner*;
    /// Number of requests and transactions that a stop would interrupt.
    [[nodiscard]] auto work_in_flight() const -> std::size_t;

private:
    /// State of a caller's session that the entry coordinator does not keep.
    struct caller_state
    {
        caller_statement statement;
        transaction_step step = transaction_step::single;
        /// Set while a request is unanswered.
        caller_function answer;
        request_id request;
        /// Link over which the request was last sent.
        link_id link;
    };
    struct peer_link
    {
        connection_number connection = 0;
        /// Run number of the peer's process when the link was made.
        std::uint64_t run_number = 0;
        time_point last_heard;
        bool is_lost = false;
    };

    // Control, in scenario_proxy_control.cpp.
    auto tick_control() -> void;
    auto choose_member(std::size_t index) -> void;
    auto send_registration() -> void;
    auto send_renewal() -> void;
    auto on_lease_answer(const lease_answer& answer) -> void;
    auto pull_directory() -> void;
    auto send_report() -> void;
    auto send_command(const control_command& command,
                      const scenario_control::answer_function& done) -> void;
    /// Calls `work` in the control member that the proxy registered with.
    auto send_to_control(std::function<void(scenario_control&)> work) -> void;
    auto update_targets() -> void;
    auto step_drain() -> void;
    auto make_owner(const target_id& target) -> std::shared_ptr<scenario_owner>;
    auto confirm(const proxy_id& asked, const target_id& target) -> void;
    auto tick_links() -> void;
    auto find_link(const std::string& peer) -> link_id;
    auto on_link_down(const std::string& peer, link_id link) -> void;
    auto on_peer_link_lost(link_id link) -> void;

    // Entry, in scenario_proxy_entry.cpp.
    auto make_coordinator() -> void;
    [[nodiscard]] auto current_view() const -> entry_view;
    auto carry_out(const entry_actions& actions,
                   const scenario_reply& reply = {}) -> void;
    auto carry_out(const send_action& action) -> void;
    auto carry_out(const cancel_action& action) -> void;
    auto carry_out(const query_action& action) -> void;
    auto carry_out(const answer_action& action, const scenario_reply& reply)
        -> void;
    auto execute(const scenario_request& request, link_id link,
                 scenario_owner::reply_function reply) -> void;
    auto on_reply(link_id link, const scenario_reply& reply) -> void;
    auto on_position(request_id query, const target_position& answer) -> void;
    [[nodiscard]] auto now() const -> time_point { return network_->now(); }

    scenario_network* network_;
    std::string name_;
    zone_id zone_;
    std::vector<std::string> members_;
    scenario_proxy_hooks hooks_;
    scenario_fault fault_;

    bool is_running_ = false;
    proxy_identity self_;
    directory directory_;
    std::unique_ptr<lease_holder> lease_;
    std::unique_ptr<target_announcements> announcements_;
    std::size_t member_index_ = 0;
    connection_number control_link_ = 0;
    time_point member_since_{};
    bool is_registered_ = false;
    time_point next_registration_{};
    time_point next_renewal_{};
    time_point next_pull_{};
    time_point next_drain_{};
    std::map<target_id, std::shared_ptr<scenario_owner>> owned_;
    std::map<std::string, peer_link> links_;
    rhubarbrun::drain drain_;
    drain_actions drain_actions_;
    bool is_draining_ = false;

    std::unique_ptr<entry_coordinator> entry_;
    std::map<session_id, caller_state> callers_;
    std::size_t executing_count_ = 0;
    /// Sessions of ended requests, for `scenario_fault::accept_late_answer`.
    std::map<request_id, session_id> ended_requests_;
};

} // namespace rhubarbrun::tests

#endif
