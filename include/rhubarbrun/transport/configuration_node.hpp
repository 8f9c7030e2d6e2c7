#ifndef RHUBARBRUN_TRANSPORT_CONFIGURATION_NODE_HPP
#define RHUBARBRUN_TRANSPORT_CONFIGURATION_NODE_HPP

#include <rhubarbrun/coordination/allowance_limits.hpp>
#include <rhubarbrun/coordination/consensus_options.hpp>
#include <rhubarbrun/coordination/position_watch.hpp>
#include <rhubarbrun/coordination/primary_supervisor.hpp>
#include <rhubarbrun/coordination/server_directory.hpp>
#include <rhubarbrun/coordination/storage_gate.hpp>
#include <rhubarbrun/protocol/secret_key.hpp>
#include <rhubarbrun/state/configuration_history.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/file_hooks.hpp>
#include <rhubarbrun/transport/peer_links.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of a `configuration_node`.
struct configuration_node_options
{
    /// IP address of this member, which is also its name.
    std::string address;
    std::string region;
    /// Port for links between processes, the same at all of them.
    std::uint16_t peer_port = 0;
    std::filesystem::path data_directory;
    /// Whether this is the first start of a new deployment.
    bool is_founding = false;
    /// Disks that may be lost at a time.
    std::size_t tolerated_losses = 0;
    /// IP addresses of some control members, read again whenever this member
    /// looks for the group.
    std::function<std::vector<std::string>()> seeds;
    secret_key link_key;
    peer_link_limits links;
    consensus_options consensus;
    /// No value if the operations of organisations are not limited.
    std::optional<allowance_terms> allowances = std::nullopt;
    file_hooks files = system_file_hooks();
};

/// What a `configuration_node` needs from its surroundings. Every hook is
/// called on the thread of the io_context.
struct configuration_node_hooks
{
    primary_supervisor_hooks supervisor;
    /// Asks a primary for its log position; `on_position` follows.
    position_watch::query_function ask_position;
    /// A configuration is in force; `text` is its document.
    std::function<void(std::uint64_t version, const std::string& text)>
        on_configuration;
    /// The node cannot go on; called once.
    std::function<void(const std::string& reason)> on_failure;
};

/// How a submitted configuration ended.
enum class submit_outcome : std::uint8_t
{
    /// It is durable, or overtaken by a higher version.
    accepted,
    /// Another member leads; see `configuration_node::leader`.
    not_leader,
    /// No statement can be made; submit it again.
    unknown,
};

/// One control member: a replica of the configuration, and a view of the
/// servers that it shares with the other members and with proxies.
///
/// The io_context must run on one thread.
class configuration_node
{
public:
    using submit_callback = std::function<void(submit_outcome)>;
    /// Receives the document of the newest configuration, which is empty if
    /// there is none yet; no value if it is not certain which is the newest.
    using read_callback =
        std::function<void(const std::optional<std::string>&)>;

    configuration_node(asio::io_context& context,
                       configuration_node_options options,
                       configuration_node_hooks hooks);
    ~configuration_node();
    configuration_node(const configuration_node&) = delete;
    auto operator=(const configuration_node&) -> configuration_node& = delete;

    /// Listens for other processes and joins the group.
    /// @throws boost::system::system_error if the port cannot be used.
    auto start() -> void;
    auto stop() -> void;

    /// Submits a valid document under its version.
    auto submit(std::uint64_t version, const std::string& text,
                submit_callback done) -> void;
    auto read(read_callback done) -> void;
    /// Takes an announcement in; returns false if it is outdated.
    auto announce(const server_record& record) -> bool;
    auto withdraw(const target_id& server) -> void;

    /// Asks the group to go on without this member, which is about to stop.
    /// The group refuses if too few members would remain.
    auto leave() -> void;
    /// Whether the group has not decided yet about `leave`.
    [[nodiscard]] auto is_leaving() const -> bool;

    /// To be called with the outcome of a hook of the supervisor.
    auto on_status(server_call_number number,
                   const std::optional<server_log_status>& status) -> void;
    auto on_promotion(const group_id& group, promotion_outcome outcome) -> void;
    auto on_position(const group_id& group, time_point asked_at,
                     const std::optional<log_position>& position) -> void;
    auto supervise(const group_id& group, std::uint32_t count) -> void;
    /// Applies the allowances of the configuration in force.
    auto set_allowances(allowance_table allowances) -> void;

    /// Whether this member certainly leads now.
    [[nodiscard]] auto has_lease() const -> bool;
    /// Number for this leader's next order, above those of all its earlier ones
    /// and of all earlier leaders; no value unless this member certainly leads
    /// now.
    [[nodiscard]] auto next_fencing_token() -> std::optional<std::uint64_t>;
    /// Address of the leader as far as it is known.
    [[nodiscard]] auto leader() const -> std::optional<std::string>;
    /// Whether this member may lead.
    [[nodiscard]] auto is_leader() const -> bool;
    /// Version of the configuration in force here; 0 if there is none.
    [[nodiscard]] auto configuration_version() const -> std::uint64_t;
    /// Whether and since when the disk has had no room for the log.
    [[nodiscard]] auto storage() const -> const storage_gate&;
    /// Lines for the metrics about tokens of organisations.
    [[nodiscard]] auto allowance_metrics() const -> std::string;
    /// Messages of the links to other processes.
    [[nodiscard]] auto traffic() const -> const link_traffic&;
    /// State on one line of JSON.
    [[nodiscard]] auto dump() const -> std::string;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
