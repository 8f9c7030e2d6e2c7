#ifndef RHUBARBRUN_TESTS_SOAK_SOAK_RUN_HPP
#define RHUBARBRUN_TESTS_SOAK_SOAK_RUN_HPP

#include "soak_cluster.hpp"
#include "soak_platform.hpp"
#include "soak_prober.hpp"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun_soak {

/// Settings of a soak.
struct soak_options
{
    std::filesystem::path program;
    /// Logs and disks of the processes.
    std::filesystem::path directory;
    std::uint16_t base_port = 20000;
    std::uint64_t seed = 1;
    /// Time in which faults begin.
    duration faults = std::chrono::seconds(12);
    std::size_t controls = 3;
    std::size_t proxies = 4;
};

/// One soak: the system as processes, callers, and a schedule of faults that
/// the seed draws.
class soak_run
{
public:
    explicit soak_run(soak_options options);

    /// Returns the number of broken promises.
    auto run() -> std::size_t;

private:
    auto script() -> asio::awaitable<void>;
    auto wait(duration length) -> asio::awaitable<void>;
    /// Waits until most operations are served.
    auto wait_for_service(duration limit, const std::string& phase)
        -> asio::awaitable<void>;
    auto drain_one_proxy() -> asio::awaitable<void>;
    auto add_callers() -> void;

    /// Begins one fault of a kind that the seed draws.
    auto begin_fault() -> void;
    auto harm_proxy(std::uint64_t draw) -> void;
    auto harm_control(std::uint64_t draw) -> void;
    auto harm_server(std::uint64_t draw) -> void;
    auto harm_connections(std::uint64_t draw) -> void;
    auto kill_many() -> void;
    /// Sends series of signals to nodes, which overlap with each other and with
    /// the other faults, and lets changes of the configuration come in series.
    auto run_series() -> asio::awaitable<void>;
    /// Fills the disk of one control member after the other.
    auto run_full_disks() -> asio::awaitable<void>;
    auto signal_in_series(soak_node& node) -> asio::awaitable<void>;
    auto restart_later(soak_node& node, duration length) -> void;
    auto later(duration length, std::function<void()> then) -> void;
    auto heal_all() -> void;
    [[nodiscard]] auto draw(std::uint64_t limit) -> std::uint64_t;
    [[nodiscard]] auto draw_time(int from_ms, int to_ms) -> duration;
    [[nodiscard]] auto pick_proxy() -> soak_node&;
    [[nodiscard]] auto pick_control() -> soak_node&;

    soak_options options_;
    std::mt19937_64 random_;
    /// Its own, so that series leave the other faults of a seed as they are.
    std::mt19937_64 series_random_;
    std::mt19937_64 disk_random_;
    asio::io_context context_{1};
    soak_ledger ledger_;
    service_counts counts_;
    std::vector<std::unique_ptr<stand_in_group>> groups_;
    std::vector<std::unique_ptr<fault_relay>> server_relays_;
    std::unique_ptr<soak_cluster> cluster_;
    std::unique_ptr<soak_platform> platform_;
    std::unique_ptr<soak_prober> prober_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::set<std::string> cut_proxies_;
    /// When a disk was lost, or a series of signals to a member began.
    time_point last_control_loss_;
    bool is_draining_only_ = false;
    bool are_faults_over_ = false;
    bool is_over_ = false;
};

} // namespace rhubarbrun_soak

#endif
