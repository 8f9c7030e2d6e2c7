#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_PROXY_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_PROXY_HPP

#include "scenario_control.hpp"
#include "scenario_owner.hpp"

#include <rhubarbrun/coordination/drain.hpp>
#include <rhubarbrun/coordination/lease_holder.hpp>
#include <rhubarbrun/coordination/pending_requests.hpp>
#include <rhubarbrun/coordination/replica_choice.hpp>
#include <rhubarbrun/coordination/target_announcements.hpp>
#include <rhubarbrun/state/session_token.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

// Stands in for a proxy process: transport's control_client, entry_router and
// proxy_node, with the same decisions around the real lease holder, directory,
// pending requests, replica choice, announcements and drain.

namespace rhubarbrun::tests {

class scenario_proxy;

/// What a caller asks an entry proxy to do.
struct caller_statement
{
    scenario_statement body;
    duration deadline{};
    duration max_age{};
};

/// What a caller gets; `attempt` is the one that the answer is for.
struct caller_reply
{
    verdict outcome = verdict::ran;
    std::string code;
    server_answer answer;
    bool is_at_replica = false;
    /// Session token, as reported with the answer.
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
    /// The directory copy went to this bundle.
    std::function<void(const std::string&, bundle_version)> on_bundle;
    std::function<void(const std::string&)> on_exit;
    /// The proxy ended an idle session.
    std::function<void(session_id)> on_session_ended;
};

class scenario_proxy
{
public:
    using caller_function = std::function<void(const caller_reply&)>;

    scenario_proxy(scenario_network& network, std::string name,
                   std::string zone, std::vector<std::string> members,
                   scenario_proxy_hooks hooks, scenario_fault fault);

    /// Starts a new incarnation with nothing in memory.
    auto start() -> void;
    auto stop() -> void;
    auto tick() -> void;

    // Callers.
    auto open_session(session_id session, const std::string& name,
                      const group_id& group, const std::string& token) -> bool;
    auto close_session(session_id session) -> void;
    auto request(session_id session, const caller_statement& statement,
                 caller_function answer) -> void;

    // Platform.
    auto hear(const target_announcement& announcement) -> void;
    auto drain() -> void;
    [[nodiscard]] auto has_contact() const -> bool;
    [[nodiscard]] auto is_ready() const -> bool;

    // Messages.
    auto on_delta(const directory_delta& delta) -> void;
    auto on_execute(const scenario_request& request, link_id link,
                    scenario_owner::reply_function reply) -> void;

    [[nodiscard]] auto view() const -> const directory& { return copy_; }
    [[nodiscard]] auto name() const -> const std::string& { return name_; }
    [[nodiscard]] auto is_running() const -> bool { return is_running_; }
    [[nodiscard]] auto owner_of(const target_id& target) -> scenario_owner*;
    /// Requests and transactions that a stop would interrupt.
    [[nodiscard]] auto work_in_flight() const -> std::size_t;

private:
    struct open_transaction
    {
        target_id target;
        owner_epoch epoch;
        link_id link;
    };
    struct running_request
    {
        request_id id;
        caller_statement statement;
        caller_function answer;
        time_point deadline;
        bool is_parked = false;
        time_point not_before{};
        unsigned parkings = 0;
        time_point position_limit{};
        bool must_use_primary = false;
        bool is_at_replica = false;
        target_id target;
        owner_epoch epoch;
        link_id link;
    };
    struct session_state
    {
        std::string name;
        group_id group;
        session_token token;
        bool has_floor = false;
        time_point arrived;
        std::optional<open_transaction> transaction;
        std::optional<running_request> running;
    };
    struct group_view
    {
        explicit group_view(replica_choice_options options)
            : choice(std::move(options))
        {
        }
        replica_choice choice;
        std::optional<log_position> acknowledged;
        time_point acknowledged_at{};
        std::set<target_id> followers;
        time_point queried_at{};
    };
    struct route
    {
        enum class result : std::uint8_t
        {
            park,
            send,
            refuse,
        };
        result kind = result::park;
        target_id target;
        std::optional<log_position> floor;
        bool is_replica = false;
        std::string code;
    };
    struct peer_link
    {
        connection_number connection = 0;
        /// The peer's process when the link was made.
        std::uint64_t run = 0;
        time_point heard;
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
                      scenario_control::answer_function done) -> void;
    /// Calls `work` at the control member that the proxy registered with.
    auto to_control(std::function<void(scenario_control&)> work) -> void;
    auto update_targets() -> void;
    auto step_drain() -> void;
    auto make_owner(const target_id& target) -> std::shared_ptr<scenario_owner>;
    auto confirm(const proxy_id& asked, const target_id& target) -> void;
    auto tick_links() -> void;
    auto find_link(const std::string& peer) -> link_id;
    auto on_link_down(const std::string& peer, link_id link) -> void;
    auto on_peer_link_lost(link_id link) -> void;

    // Entry, in scenario_proxy_entry.cpp.
    auto dispatch(session_id id) -> void;
    auto choose_route(session_state& caller) -> route;
    auto route_to_primary(const session_state& caller) const -> route;
    auto route_read(session_state& caller) -> route;
    auto send(session_id id, session_state& caller, const route& where) -> void;
    auto park_until(session_id id, session_state& caller, time_point when)
        -> void;
    auto park(session_id id, session_state& caller) -> void;
    auto retry_parked() -> void;
    auto on_reply(link_id link, const scenario_reply& reply) -> void;
    auto finish(session_id id, scenario_reply reply) -> void;
    auto finish_with_error(session_id id, std::string_view code) -> void;
    auto refresh(const group_id& id, group_view& group) -> void;
    auto on_position(const group_id& id, time_point asked_at,
                     const scenario_position& answer) -> void;
    auto group_state(const group_id& id) -> group_view&;
    auto end_at_owner(session_id id, const target_id& target, link_id link)
        -> void;
    auto tick_entry() -> void;
    [[nodiscard]] auto now() const -> time_point { return network_->now(); }

    scenario_network* network_;
    std::string name_;
    zone_id zone_;
    std::vector<std::string> members_;
    scenario_proxy_hooks hooks_;
    scenario_fault fault_;

    bool is_running_ = false;
    proxy_identity self_;
    directory copy_;
    std::unique_ptr<lease_holder> lease_;
    std::unique_ptr<target_announcements> announcements_;
    std::size_t member_ = 0;
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
    drain_orders orders_;
    bool is_draining_ = false;

    std::map<session_id, session_state> sessions_;
    std::map<request_id, session_id> by_request_;
    std::unique_ptr<pending_requests> pending_;
    std::map<group_id, group_view> groups_;
    request_id last_request_;
    std::size_t executing_ = 0;
    /// Sessions of ended requests, for `scenario_fault::accept_late_answer`.
    std::map<request_id, session_id> ended_;
};

} // namespace rhubarbrun::tests

#endif
