#ifndef RHUBARBRUN_TESTS_COORDINATION_CONSENSUS_NETWORK_HPP
#define RHUBARBRUN_TESTS_COORDINATION_CONSENSUS_NETWORK_HPP

#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/coordination/storage_gate.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

/// Point at which a member crashes while it processes a batch.
enum class crash_point : std::uint8_t
{
    none,
    before_persisting,
    after_persisting,
    after_sending,
};

/// Settings of a simulated group.
struct network_settings
{
    std::size_t members = 3;
    std::uint64_t seed = 1;
    planted_fault fault = planted_fault::none;
    /// Messages lost and duplicated, in percent.
    unsigned loss = 0;
    unsigned duplication = 0;
    duration longest_delay = std::chrono::milliseconds(3);
    /// Time until the disk has written a batch; several may be outstanding.
    duration disk_delay = {};
    std::size_t entries_kept = 10;
    std::size_t append_entries = 16;
    /// Injects a fault: a member that lost its disk keeps its incarnation.
    bool keeps_incarnation = false;
    bool is_founding = true;
    bool has_clock_drift = true;
    /// Injects a fault: what a full disk refused counts as saved.
    bool forgets_refused_batches = false;
};

/// A group of members in virtual time, with disks that lose what was not
/// persisted, and an oracle that records every broken invariant.
class consensus_network
{
public:
    explicit consensus_network(network_settings settings);

    /// Advances the virtual time by `length`.
    auto run(duration length) -> void;
    /// Runs until `condition` holds; returns false if it does not in time.
    template <class Condition>
    auto run_until(Condition condition,
                   duration limit = std::chrono::seconds(20)) -> bool
    {
        for (const auto end = now_ + limit; now_ < end;) {
            if (condition()) {
                return true;
            }
            run(step);
        }
        return condition();
    }

    auto size() const -> std::size_t { return nodes_.size(); }
    auto now() const -> time_point { return now_; }
    /// The leader of the highest term among running members, or `size()`.
    auto leader() const -> std::size_t;
    auto wait_for_leader() -> std::size_t;
    auto is_running(std::size_t node) const -> bool;
    auto member(std::size_t node) -> consensus_member&;
    auto status(std::size_t node) -> consensus_status;
    auto has_lease(std::size_t node) const -> bool;

    auto crash(std::size_t node) -> void;
    auto crash_at(std::size_t node, crash_point point) -> void;
    auto restart(std::size_t node) -> void;
    /// Restarts with an empty disk and a new incarnation.
    auto wipe(std::size_t node) -> void;
    /// While the disk is full, it refuses every batch; the process goes on.
    auto set_disk_full(std::size_t node, bool is_full) -> void
    {
        nodes_[node].is_disk_full = is_full;
    }
    /// Whether the member waits for room on its disk.
    auto is_blocked(std::size_t node) const -> bool
    {
        return nodes_[node].gate && nodes_[node].gate->is_blocked();
    }
    auto set_founding(bool value) -> void { settings_.is_founding = value; }
    auto set_loss(unsigned percent) -> void { settings_.loss = percent; }

    /// Members of different parts cannot exchange messages.
    auto split(std::vector<std::size_t> part_of_node) -> void;
    auto isolate(std::size_t node) -> void;
    auto heal() -> void;

    /// Proposes at a node; returns whether it was accepted.
    auto propose(std::size_t node, std::string command) -> bool;
    /// Proposes at the leader and waits until all running members of the
    /// leader's part applied it.
    auto commit(const std::string& command) -> bool;
    auto read(std::size_t node) -> bool;
    auto compact(std::size_t node) -> void;
    /// Messages for which `drop` is true are lost; null drops none.
    auto drop_if(std::function<bool(const consensus_message&)> drop) -> void
    {
        drop_ = std::move(drop);
    }

    auto applied(std::size_t node) const -> std::uint64_t;
    auto committed_count() const -> std::size_t { return history_.size(); }
    auto confirmed_reads() const -> std::size_t { return confirmed_reads_; }
    auto restores(std::size_t node) const -> std::size_t;
    /// Whether all members run, are voters and have applied the same entries.
    auto is_whole() -> bool;
    /// Whether all members run and are voters by a committed configuration.
    auto is_repaired() -> bool;
    auto messages_sent(const std::string& name) const -> std::size_t;
    auto largest_append() const -> std::size_t { return largest_append_; }

    /// Descriptions of broken invariants; empty if all held.
    auto violations() const -> const std::vector<std::string>&
    {
        return violations_;
    }

    static constexpr auto step = duration(std::chrono::milliseconds(5));

private:
    struct slot
    {
        member_identity identity;
        std::unique_ptr<consensus_member> member;
        stored_log disk;
        bool is_disk_full = false;
        std::unique_ptr<storage_gate> gate;
        std::uint64_t applied = 0;
        std::uint64_t digest = 0;
        std::size_t part = 0;
        std::size_t restores = 0;
        crash_point crash = crash_point::none;
        /// Batches that the disk has not written yet, and when it will have.
        std::deque<std::pair<time_point, consensus_ready>> pending;
        /// Committed entries in the whole group when a read was asked for.
        std::map<read_ticket, std::uint64_t> reads;
    };
    struct record
    {
        log_entry entry;
        std::uint64_t digest;
    };

    auto local_time(std::size_t index) const -> time_point;
    auto start(std::size_t index) -> void;
    auto tick() -> void;
    /// Time of the earliest delivery or timer; idle time is skipped.
    auto next_event() const -> time_point;
    auto drain(std::size_t index) -> void;
    auto finish(std::size_t index, consensus_ready& ready) -> void;
    /// Carries out a batch that is durable.
    auto complete(std::size_t index, const consensus_ready& ready) -> void;
    auto persist(slot& node, const consensus_ready& ready) -> void;
    auto apply(slot& node, const consensus_ready& ready) -> void;
    auto record_entry(slot& node, const log_entry& entry) -> void;
    auto post(std::size_t from, const consensus_message& message) -> void;
    auto deliver() -> void;
    auto check_leaders() -> void;
    auto fail(std::string what) -> void;

    network_settings settings_;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<slot> nodes_;
    std::vector<member_id> names_;
    std::multimap<time_point, consensus_message> in_flight_;
    std::map<std::uint64_t, record> history_;
    std::map<election_term, member_identity> leaders_;
    std::map<std::string, std::size_t> sent_;
    std::function<bool(const consensus_message&)> drop_;
    std::size_t confirmed_reads_ = 0;
    std::size_t largest_append_ = 0;
    std::vector<std::string> violations_;
};

} // namespace rhubarbrun_tests

#endif
