#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_NETWORK_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_NETWORK_HPP

#include <rhubarbrun/state/units.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Simulates the machines and the network: virtual time with one event queue,
// processes that crash and freeze, messages with delay and loss, and
// connections that stop delivering without being closed.

namespace rhubarbrun::tests {

/// Identifies one connection between two processes.
using connection_number = std::uint64_t;

class scenario_network
{
public:
    using action = std::function<void()>;

    explicit scenario_network(std::uint64_t seed) : random_(seed) {}

    [[nodiscard]] auto now() const -> time_point { return now_; }
    [[nodiscard]] auto random() -> std::uint64_t { return random_(); }

    auto add(const std::string& process, const std::string& zone) -> void;
    auto start(const std::string& process) -> void;
    auto stop(const std::string& process) -> void;
    auto freeze(const std::string& process) -> void;
    /// Runs the work that became due while the process was frozen.
    auto thaw(const std::string& process) -> void;
    [[nodiscard]] auto is_alive(const std::string& process) const -> bool;
    [[nodiscard]] auto is_frozen(const std::string& process) const -> bool;
    [[nodiscard]] auto zone_of(const std::string& process) const
        -> const std::string&;

    /// Returns the processes that a name in a scenario refers to: one process,
    /// those of a zone, all control members, or with `*` all processes.
    [[nodiscard]] auto expand(const std::string& party) const
        -> std::vector<std::string>;

    auto cut(const std::string& a, const std::string& b, bool is_one_way)
        -> void;
    auto heal(const std::string& a, const std::string& b) -> void;
    auto heal_all() -> void;
    [[nodiscard]] auto is_reachable(const std::string& from,
                                    const std::string& to) const -> bool;

    /// Opens a connection; it closes when either process stops.
    [[nodiscard]] auto connect(const std::string& a, const std::string& b)
        -> connection_number;
    /// Whether the process at one end has stopped.
    [[nodiscard]] auto is_closed(connection_number connection) const -> bool
    {
        const auto found = connections_.find(connection);
        return found != connections_.end() && found->second.is_closed;
    }
    /// Makes the established connections drop all messages, also those in
    /// flight.
    auto silence(const std::string& a, const std::string& b) -> void;

    /// Calls `work` in `process` after `delay` unless the process stops first.
    auto schedule_after(const std::string& process, duration delay, action work)
        -> void;
    /// Calls `work` at the given time, outside of any process.
    auto schedule_at(time_point when, action work) -> void;
    /// Sends a datagram, which may be lost.
    auto send_datagram(const std::string& from, const std::string& to,
                       action work) -> void;
    /// Sends a message over a connection, in order; it arrives unless the
    /// connection is silent or cut. Calls `refused` at the sender if the
    /// receiving process is not running.
    auto send(connection_number connection, const std::string& from,
              const std::string& to, action work, action refused = {}) -> void;

    auto run_until(time_point end) -> void;

    /// Minimum one-way delay between two processes; a random part adds up to
    /// the same amount. Empty for the default delays.
    std::function<duration(const std::string& from, const std::string& to)>
        min_delay;

    /// Share of datagrams that are lost, in percent.
    unsigned datagram_loss_percent = 1;

private:
    struct process_state
    {
        std::string name;
        std::string zone;
        std::uint64_t run_number = 0;
        bool is_alive = false;
        bool is_frozen = false;
        std::vector<action> deferred;
    };
    struct event
    {
        /// Null for work that runs outside of any process.
        process_state* process = nullptr;
        std::uint64_t run_number = 0;
        action work;
    };
    struct connection_state
    {
        std::string a;
        std::string b;
        bool is_silent = false;
        /// One of the processes has stopped.
        bool is_closed = false;
        /// Latest delivery time at each end; keeps messages in order.
        time_point last_delivery_to_a{};
        time_point last_delivery_to_b{};
    };

    [[nodiscard]] auto delay(const process_state& from, const process_state& to)
        -> duration;
    auto deliver(process_state& state, std::uint64_t run, action work) -> void;
    auto schedule(process_state& state, duration delay, action work) -> void;

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::map<std::string, process_state> processes_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<connection_number, connection_state> connections_;
    connection_number last_connection_ = 0;
    std::multimap<time_point, event> events_;
};

} // namespace rhubarbrun::tests

#endif
