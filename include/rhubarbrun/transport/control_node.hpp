#ifndef RHUBARBRUN_TRANSPORT_CONTROL_NODE_HPP
#define RHUBARBRUN_TRANSPORT_CONTROL_NODE_HPP

#include <rhubarbrun/coordination/consensus_options.hpp>
#include <rhubarbrun/coordination/control_coordinator.hpp>
#include <rhubarbrun/protocol/secret_key.hpp>
#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/file_hooks.hpp>
#include <rhubarbrun/transport/http_server.hpp>
#include <rhubarbrun/transport/peer_links.hpp>
#include <rhubarbrun/transport/settings.hpp>

#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of one control member.
struct control_node_options
{
    member_id name;
    std::filesystem::path data_directory;
    secret_key deployment_key;
    /// Endpoint for TCP and, with the same port, UDP.
    asio::ip::tcp::endpoint peer_listen;
    asio::ip::tcp::endpoint http_listen;
    /// First operators, proposed while the group has none.
    std::vector<operator_entry> first_operators;
    /// A snapshot is saved after this many applied entries.
    std::size_t snapshot_entries = 10'000;
    /// `members` and `is_founding` included.
    consensus_options consensus;
    coordinator_options coordinator;
    peer_link_limits links;
    http_server_limits http;
    file_hooks files = system_file_hooks();
};

/// One control member: replicated log, control state, the leader's decisions,
/// links to members and proxies, and HTTP for operators.
///
/// All state belongs to one strand, which also saves to disk: nothing is sent
/// or applied before it is durable.
class control_node
{
public:
    /// Called once, on a thread of the io_context, if the member can no
    /// longer take part, as after a failed disk.
    using failure_hook = std::function<void(const std::string& reason)>;

    /// Opens the data directory.
    ///
    /// @throws log_locked_error, log_corrupt_error, log_storage_error or
    /// std::runtime_error if the stored state cannot be used.
    control_node(asio::io_context& context, control_node_options options,
                 failure_hook on_failure);
    /// The io_context must not run any more.
    ~control_node();
    control_node(const control_node&) = delete;
    auto operator=(const control_node&) -> control_node& = delete;

    /// Binds the endpoints; call once.
    /// @throws boost::system::system_error if an endpoint cannot be bound.
    auto listen() -> void;

    /// Links to the other members and starts to take part; call once, after
    /// `listen`.
    auto start(const std::vector<control_address>& members) -> void;

    [[nodiscard]] auto peer_endpoint() const -> asio::ip::tcp::endpoint;
    [[nodiscard]] auto http_endpoint() const -> asio::ip::tcp::endpoint;

    /// Ends all links and timers, and waits for a save that is going on.
    auto stop() -> void;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
