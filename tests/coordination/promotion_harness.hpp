#ifndef RHUBARBRUN_TESTS_COORDINATION_PROMOTION_HARNESS_HPP
#define RHUBARBRUN_TESTS_COORDINATION_PROMOTION_HARNESS_HPP

#include <rhubarbrun/coordination/primary_supervisor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

/// A group of three servers with one synchronous replica, a caller that writes
/// all the time, the provider that promotes, and the supervisor of the control
/// leader, in virtual time.
class promotion_harness
{
public:
    static constexpr auto step = milliseconds(20);

    struct server
    {
        std::string id;
        std::string address;
        bool is_running = true;
        bool is_primary = false;
        server_availability state = server_availability::ready;
        std::uint64_t newest = 1;
        std::uint64_t paused_by = 0;
        /// Receives nothing from the primary.
        bool is_deaf = false;
        /// Not reachable for control.
        bool is_cut = false;
        /// Does not announce itself.
        bool is_mute = false;
        /// Not reachable for proxies that report to control; the caller reaches
        /// it through another one.
        bool is_hidden = false;
        /// Time for a commit to get here.
        duration distance = milliseconds(20);
        std::vector<std::uint64_t> log;
        std::uint64_t started_at = 1;
        std::uint64_t sequence = 0;
        time_point announced_at;
    };

    explicit promotion_harness(std::uint32_t synchronous_replicas = 1);
    promotion_harness(const promotion_harness&) = delete;
    auto operator=(const promotion_harness&) -> promotion_harness& = delete;

    auto run(duration length) -> void;
    /// Calls `action` after `delay`.
    auto later(duration delay, std::function<void()> action) -> void;

    auto crash(server& which, duration length) -> void;
    auto deafen(server& which, duration length) -> void;
    /// Drains the server, which leaves after 7 s; 1 s later another one with
    /// its log starts at its address.
    auto release(server& which, bool has_successor = true) -> void;
    /// The same, but the server comes back under its id.
    auto leave(server& which) -> void;
    duration drain_time = std::chrono::seconds(7);
    /// From the end of a server to the start of the next one with its log.
    duration succession_time = std::chrono::seconds(1);
    /// Another member of control leads, which knows nothing of earlier orders.
    auto change_leader() -> void;
    /// A record of servers that orders may make primary is committed.
    auto apply_record(std::set<target_id> named) -> void;

    [[nodiscard]] auto primary() -> server*;
    /// The server whose log replicas receive: the primary, or the last one if
    /// none leads.
    [[nodiscard]] auto source() -> server*;
    [[nodiscard]] auto is_accepting() const -> bool;

    /// The primary, a replica in another region, and one in its own, in the
    /// order of their ids.
    std::vector<server> servers;
    /// Whether the caller writes now.
    bool is_writing = true;
    /// Every second order to a server, the first among them, gets no reply and
    /// is carried out 5 s later.
    bool are_orders_late = false;
    /// The next call to promote gets no reply and is carried out late.
    bool is_promotion_late = false;
    duration promotion_delay = std::chrono::seconds(5);
    /// The next orders of a kind that get no reply and are carried out late.
    std::map<server_order, unsigned> late_orders;
    duration late_order_delay = milliseconds(2200);
    /// The next calls to promote get no reply and are carried out that much
    /// later.
    std::vector<duration> late_promotions;
    /// The next call to promote gets no reply and is never carried out.
    bool is_promotion_lost = false;
    /// What the leader records is not committed.
    bool are_records_lost = false;
    /// An injected fault: servers confirm orders to pause and go on receiving.
    bool is_pause_ignored = false;

    /// Servers do not report that they are paused.
    bool is_pause_hidden = false;

    /// Acknowledged commits that a promoted server lacked.
    std::size_t lost = 0;
    std::size_t acknowledged = 0;
    std::vector<std::string> promoted;
    /// What the supervisor and the servers did, with times in milliseconds.
    std::vector<std::string> events;
    std::size_t step_downs = 0;
    std::size_t orders_to_promote = 0;
    /// Longest time in which the caller wrote and no commit was acknowledged.
    duration longest_gap = duration::zero();

private:
    struct commit
    {
        std::uint64_t number = 0;
        time_point at;
        bool is_acknowledged = false;
    };

    auto make_supervisor() -> std::unique_ptr<primary_supervisor>;
    auto write() -> void;
    auto replicate() -> void;
    auto acknowledge() -> void;
    auto announce() -> void;
    auto report_sightings() -> void;
    auto on_call(const server_call& call) -> void;
    auto carry_out(const server_call& call) -> std::optional<server_log_status>;
    auto on_promote(const target_id& candidate) -> void;
    auto start_promotion(const std::string& candidate, std::uint64_t token)
        -> bool;
    auto lead(const std::string& candidate) -> void;
    auto note(const std::string& event) -> void;
    [[nodiscard]] auto find(const std::string& id) -> server*;

    std::uint32_t synchronous_replicas_;
    time_point now_ = time_point(std::chrono::seconds(100));
    std::multimap<time_point, std::function<void()>> actions_;
    server_directory directory_;
    std::unique_ptr<primary_supervisor> supervisor_;
    /// Replicated: servers that orders may make primary.
    std::set<target_id> recorded_;
    /// Raised with each leader; replies to an earlier one are dropped.
    std::uint64_t leader_ = 0;
    std::uint64_t last_token_ = 0;
    std::uint64_t highest_token_ = 0;
    std::size_t orders_ = 0;
    std::vector<commit> commits_;
    std::size_t first_open_ = 0;
    time_point acknowledged_at_ = now_;
    time_point sighted_at_;
    std::optional<time_point> failing_since_;
    std::string last_primary_ = "a";
};

} // namespace rhubarbrun_tests

#endif
