#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_CONTROL_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_CONTROL_HPP

#include "scenario_network.hpp"

#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/coordination/control_coordinator.hpp>

#include <memory>
#include <string>
#include <vector>

// Fake process of a control member. It runs the real consensus, control state
// and coordinator, and simulates a disk that keeps only what was synced and the
// messages to other members and proxies.

namespace rhubarbrun::tests {

/// Result of a command as the member reports it to the sender.
struct control_answer
{
    /// The member is not the leader; `leader` names the one it knows of.
    bool is_redirect = false;
    std::string leader;
    command_result result;
};

class scenario_control
{
public:
    using answer_function = std::function<void(const control_answer&)>;

    struct hooks_type
    {
        /// Sends a consensus message to another member.
        std::function<void(const consensus_message&)> send;
        /// Sends a directory delta to a proxy.
        std::function<void(const proxy_id&, const directory_delta&)> push;
        /// Called when this member has applied a committed command.
        std::function<void(log_index, const control_command&)> on_applied;
    };

    scenario_control(scenario_network& network, std::string name,
                     std::vector<member_id> names, hooks_type hooks);

    /// Starts with the state stored on the disk.
    auto start() -> void;
    auto stop() -> void;
    auto wipe() -> void;

    auto tick() -> void;
    auto on_message(const consensus_message& message) -> void;
    auto on_lease_request(const lease_request& request) -> lease_answer;
    auto on_report(const announcement_report& report) -> void;
    /// Proposes a command; `answer` is called once it is applied or refused.
    auto on_command(const control_command& command, answer_function answer)
        -> void;

    [[nodiscard]] auto is_running() const -> bool { return member_ != nullptr; }
    [[nodiscard]] auto is_leading() -> bool;
    [[nodiscard]] auto status() -> consensus_status;
    [[nodiscard]] auto state() const -> const control_state& { return state_; }
    [[nodiscard]] auto delta_since(log_index since) const -> directory_delta
    {
        return state_.delta_since(since);
    }

private:
    auto drain() -> void;
    auto persist(const consensus_ready& ready) -> void;
    auto apply(const log_entry& entry) -> void;
    auto redirect(const answer_function& answer) -> void;
    auto push_changes() -> void;

    struct waiting_command
    {
        election_term elected;
        answer_function answer;
    };

    scenario_network* network_;
    std::string name_;
    std::vector<member_id> member_ids_;
    hooks_type hooks_;
    member_identity identity_;
    stored_log disk_;
    std::unique_ptr<consensus_member> member_;
    control_state state_;
    std::unique_ptr<control_coordinator> coordinator_;
    std::multimap<log_index, waiting_command> waiting_;
    std::map<proxy_id, log_index> pushed_index_;
    log_index compacted_index_;
};

} // namespace rhubarbrun::tests

#endif
