#ifndef RHUBARBRUN_TESTS_SOAK_SOAK_CLUSTER_HPP
#define RHUBARBRUN_TESTS_SOAK_SOAK_CLUSTER_HPP

#include "fault_relay.hpp"
#include "managed_process.hpp"
#include "soak_ledger.hpp"

#include <rhubarbrun/transport/asio.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbrun_soak {

/// Ports of a run; the same on every address.
struct soak_ports
{
    std::uint16_t base = 0;

    [[nodiscard]] auto control() const { return at(0); }
    [[nodiscard]] auto callers() const { return at(1); }
    [[nodiscard]] auto health() const { return at(2); }
    [[nodiscard]] auto peers() const { return at(3); }
    [[nodiscard]] auto servers() const { return at(4); }
    /// Relay in front of a server or of a proxy's callers.
    [[nodiscard]] auto relays() const { return at(5); }
    [[nodiscard]] auto promotions() const { return at(6); }

private:
    [[nodiscard]] auto at(int offset) const -> std::uint16_t
    {
        return static_cast<std::uint16_t>(base + offset);
    }
};

/// One process of the system, on an address of its own.
struct soak_node
{
    std::string address;
    std::string name;
    bool is_control = false;
    /// Whether the disk was ever used.
    bool is_founding = true;
    /// It was told to end, so that its end is no finding.
    bool is_ending = false;
    bool is_paused = false;
    std::filesystem::path settings;
    std::filesystem::path data;
    std::unique_ptr<managed_process> process;
    /// Before a proxy's port for callers.
    std::unique_ptr<fault_relay> relay;
};

/// The system's processes: control members and proxies.
class soak_cluster
{
public:
    soak_cluster(asio::io_context& context, soak_ledger& ledger,
                 std::filesystem::path program, std::filesystem::path directory,
                 soak_ports ports, std::size_t controls, std::size_t proxies);

    auto start_all() -> void;
    /// Ends of processes that nobody asked for are findings.
    auto watch() -> void;

    auto start(soak_node& node) -> void;
    auto kill(soak_node& node) -> void;
    /// Ends it in an orderly way.
    auto terminate(soak_node& node) -> void;
    auto pause(soak_node& node) -> void;
    auto resume(soak_node& node) -> void;
    /// Writes its settings again and tells it so.
    auto reload(soak_node& node) -> void;
    /// Removes what a control member stored; it must not run.
    auto wipe(soak_node& node) -> void;
    /// Appends bytes to the last file of a control member's log, as a write
    /// that a loss of power cut off; it must not run.
    auto tear_log(soak_node& node, std::uint64_t random) -> void;
    /// Writes settings whose seeds begin with another member.
    auto exchange_seeds(std::size_t first) -> void;

    [[nodiscard]] auto nodes() -> std::vector<soak_node>& { return nodes_; }
    [[nodiscard]] auto controls() const noexcept -> std::size_t
    {
        return controls_;
    }
    [[nodiscard]] auto ports() const noexcept -> const soak_ports&
    {
        return ports_;
    }

private:
    auto write_settings(const soak_node& node) const -> void;

    soak_ledger& ledger_;
    soak_ports ports_;
    std::size_t controls_;
    std::size_t first_seed_ = 0;
    std::vector<soak_node> nodes_;
    asio::steady_timer timer_;
};

/// IP address of the numbered control member, proxy or server.
[[nodiscard]] auto control_address(std::size_t index) -> std::string;
[[nodiscard]] auto proxy_address(std::size_t index) -> std::string;
[[nodiscard]] auto server_address(std::size_t index) -> std::string;

} // namespace rhubarbrun_soak

#endif
