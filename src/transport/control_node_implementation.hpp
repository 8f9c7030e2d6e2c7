#ifndef RHUBARBRUN_SRC_TRANSPORT_CONTROL_NODE_IMPLEMENTATION_HPP
#define RHUBARBRUN_SRC_TRANSPORT_CONTROL_NODE_IMPLEMENTATION_HPP

#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/coordination/storage_gate.hpp>
#include <rhubarbrun/protocol/internal_messages.hpp>
#include <rhubarbrun/state/control_state.hpp>
#include <rhubarbrun/transport/control_node.hpp>
#include <rhubarbrun/transport/datagrams.hpp>
#include <rhubarbrun/transport/json.hpp>
#include <rhubarbrun/transport/log_files.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Count, mean and maximum of a length of time in microseconds.
using time_statistics = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::mean,
                                       boost::accumulators::tag::max>>;

/// Everything below runs on `strand_` unless said otherwise.
class control_node::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, control_node_options options,
                   failure_hook on_failure);

    // Called from outside the strand.
    auto listen() -> void;
    auto start(const std::vector<control_address>& members) -> void;
    auto stop() -> void;
    auto stop_links() -> void;

    asio::ip::tcp::endpoint peer_endpoint;
    asio::ip::tcp::endpoint http_endpoint;

private:
    using command_callback =
        std::function<void(command_outcome, const command_result&)>;
    using response_callback = std::function<void(http_response)>;

    struct pending_command
    {
        election_term elected;
        time_point since;
        command_callback done;
    };

    struct pending_forward
    {
        time_point since;
        response_callback reply;
    };

    struct subscriber
    {
        link_info link;
        /// Index of the newest delta that was sent.
        log_index sent;
    };

    // control_node.cpp: the log.
    auto run(const std::function<void()>& work) -> void;
    auto fail(const std::string& reason) -> void;
    auto pump() -> void;
    /// Saves and carries out everything that the member has ready; returns
    /// false if the disk has no room for it.
    auto carry_out_all() -> bool;
    /// Carries out a batch that is durable.
    auto complete(const consensus_ready& ready) -> void;
    /// Tries again to save a batch for which there was no room; returns whether
    /// the member may go on.
    auto resume_storage(time_point now) -> bool;
    auto apply(const log_entry& entry) -> void;
    auto follow_leadership(const log_entry& entry) -> void;
    auto propose(const control_command& command, command_callback done) -> void;
    auto give_up_pending(time_point now) -> void;
    auto save_snapshot() -> void;
    auto arm_timer() -> void;
    [[nodiscard]] auto is_leading() const -> bool
    {
        return coordinator_->is_leading();
    }

    // control_node_proxies.cpp: members and proxies.
    auto on_message(const link_info& link, message_type type,
                    const std::string& payload) -> void;
    auto on_link_down(const link_info& link) -> void;
    auto on_register(const link_info& link, const register_proxy& message)
        -> void;
    auto subscribe(const link_info& link, const register_proxy& message)
        -> void;
    auto on_lease(const link_info& link, const lease_request& request)
        -> lease_answer;
    auto on_proxy_command(const link_info& link, std::uint64_t request,
                          const proxy_identity& sender,
                          const control_command& command) -> void;
    auto answer(link_id link, std::uint64_t request, command_outcome outcome,
                const command_result& result) -> void;
    auto send_redirect(link_id link, std::uint64_t request) -> void;
    auto push_deltas() -> void;
    auto send_delta(subscriber& to) -> void;
    [[nodiscard]] auto leader_name() const -> std::optional<member_id>;

    // control_node_http.cpp: operators and platform.
    auto add_routes() -> void;
    auto on_http(http_request request, response_callback reply) -> void;
    auto handle_http(const http_request& request,
                     const response_callback& reply) -> void;
    auto handle_bundle_request(const http_request& request,
                               const response_callback& reply) -> void;
    auto forward(const http_request& request, response_callback reply) -> void;
    auto on_forward(link_id link, const forward_request& message) -> void;
    auto on_forward_answer(const forward_answer& message) -> void;
    auto reply_when_done(response_callback reply) -> command_callback;
    [[nodiscard]] auto status_json(time_point now) const -> json_value;
    [[nodiscard]] auto log_json() const -> json_value;
    [[nodiscard]] auto dump_json(time_point now) const -> json_value;
    [[nodiscard]] auto member_json(time_point now) const -> json_value;
    [[nodiscard]] auto health(time_point now) const -> http_response;
    [[nodiscard]] auto metrics() const -> std::string;

    control_node_options options_;
    failure_hook on_failure_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer timer_;
    log_files files_;
    storage_gate gate_;
    consensus_member member_;
    control_state state_;
    std::unique_ptr<control_coordinator> coordinator_;
    election_term leading_term_;
    bool is_stopped_ = false;
    bool has_bootstrap_proposal_ = false;
    log_index snapshot_index_;
    std::multimap<log_index, pending_command> pending_;
    std::map<std::uint64_t, pending_forward> forwards_;
    std::uint64_t last_forward_ = 0;
    std::map<link_id, subscriber> subscribers_;
    /// Directory index that each proxy reported with its last lease request.
    std::map<proxy_id, log_index> directory_indexes_;
    time_statistics save_times_;
    std::uint64_t applied_entries_ = 0;
    std::uint64_t lease_requests_ = 0;
    std::uint64_t http_requests_ = 0;

    peer_links links_;
    datagrams datagrams_;
    http_server http_;
};

/// A command or forwarded request that takes longer is answered as unknown.
inline constexpr auto command_patience = std::chrono::seconds(5);

} // namespace rhubarbrun::inline v1

#endif
