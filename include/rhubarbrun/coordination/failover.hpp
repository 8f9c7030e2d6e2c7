#ifndef RHUBARBRUN_COORDINATION_FAILOVER_HPP
#define RHUBARBRUN_COORDINATION_FAILOVER_HPP

#include <rhubarbrun/coordination/write_acknowledger.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/units.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Replication status that a server reports.
struct server_status
{
    bool is_in_recovery = true;
    /// PostgreSQL timeline. A server on a later timeline is never behind one
    /// on an earlier timeline.
    std::uint32_t timeline = 0;
    /// Of a replica, the position received and flushed; of a primary, the end
    /// of its log.
    log_offset position;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(is_in_recovery, timeline, position);
    }
};

/// Position on a timeline; comparable only between servers that share it.
struct timeline_position
{
    std::uint32_t timeline = 0;
    log_offset offset;
};

/// Time limits of a failover.
struct failover_options
{
    /// Time for which a round of other proxies may answer whether they reach
    /// the primary.
    duration confirmation_timeout = std::chrono::milliseconds(300);
    /// Time to wait for further positions once a safe candidate is known.
    duration collection_timeout = std::chrono::milliseconds(100);
    /// Time after which an unanswered proposal or position query is repeated.
    duration retry_interval = std::chrono::milliseconds(250);
    /// Number of other proxies that must confirm that the primary is
    /// unreachable.
    std::size_t min_confirmations = 2;
    /// Time without an answer from any other proxy after which the owner
    /// considers itself isolated: one lease and one renewal, so that proxies
    /// lost together with the primary no longer count as live.
    duration isolation_timeout = std::chrono::milliseconds(1800);
};

/// State of a group at the start of a failover, as known to the owner of its
/// primary.
struct failover_group
{
    group_id id;
    term current_term;
    target_id primary;
    /// All other servers of the group that are known and not gone.
    std::vector<target_id> others;
    /// Those of `others` that must not become primary, such as leaving ones.
    /// Their positions are still compared.
    std::set<target_id> excluded;
    acknowledge_mode acknowledge = acknowledge_mode::second_server;
    /// Highest acknowledged position, if this owner served the whole term.
    std::optional<timeline_position> highest_acknowledged;
};

/// Asks `proxies` whether they reach the primary.
struct ask_confirmation
{
    std::vector<proxy_id> proxies;
};

/// Reads the status of these servers.
struct read_positions
{
    std::vector<target_id> targets;
};

/// Proposes the next term to control.
struct propose_candidate
{
    term expected_term;
    target_id candidate;
};

/// Releases the primary, because this owner cannot reach it or is isolated.
struct release_primary
{
    /// The proxy that reaches the primary. No value if no live proxy answered.
    std::optional<proxy_id> reachable_from;
};

/// Resumes service, because the primary answered before a term was proposed.
struct resume_primary
{
};

using failover_action =
    std::variant<ask_confirmation, read_positions, propose_candidate,
                 release_primary, resume_primary>;

/// Steps of a failover.
enum class failover_phase : std::uint8_t
{
    watching,
    confirming,
    collecting,
    proposing,
    finished,
};

/// Name of a phase for logs and dumps.
[[nodiscard]] auto to_string(failover_phase phase) noexcept -> std::string_view;

/// State machine that replaces a failed primary. The primary's owner has one
/// for each group.
///
/// The owner is fenced from the time at which it proposes a term, because from
/// then on another server may be the primary. This class never lifts the
/// fence: it ends with the answer of control or the loss of the assignment.
class failover
{
public:
    failover(failover_group group, failover_options options);

    [[nodiscard]] auto phase() const noexcept -> failover_phase
    {
        return phase_;
    }

    /// Whether the owner may neither send nor acknowledge writes.
    [[nodiscard]] auto is_fenced() const noexcept -> bool { return is_fenced_; }

    /// Sets the number of other proxies with a live lease according to the
    /// latest grant of the control leader. Call it before `on_suspected` and
    /// `tick`. With 0, the failover continues without confirmation; otherwise
    /// at least one of them must answer. While the number is unknown, the
    /// failover continues without confirmation after all were asked twice.
    auto set_live_others(std::optional<std::size_t> count) noexcept -> void
    {
        live_others_ = count;
    }

    /// Call when the failure detector reports the primary as failed.
    ///
    /// @param live_proxies Other proxies in the directory; those in other
    ///        zones should come first. Some may have crashed minutes ago.
    [[nodiscard]] auto on_suspected(time_point now,
                                    std::vector<proxy_id> live_proxies)
        -> std::vector<failover_action>;

    /// Replaces a working primary that is leaving. The owner must have stopped
    /// accepting writes, and all earlier writes must have been answered. The
    /// owner is fenced from this call on.
    [[nodiscard]] auto start_planned(time_point now)
        -> std::vector<failover_action>;

    /// Call when the primary answered a probe again.
    [[nodiscard]] auto on_primary_answered() -> std::vector<failover_action>;

    /// Call when another proxy answered whether it reaches the primary.
    [[nodiscard]] auto on_confirmation(time_point now, const proxy_id& proxy,
                                       bool is_reachable)
        -> std::vector<failover_action>;

    /// Call when a server of the group answered with its status.
    [[nodiscard]] auto on_status(time_point now, const target_id& target,
                                 const server_status& status)
        -> std::vector<failover_action>;

    /// Call when control answered a proposal.
    ///
    /// After a refusal, the positions are read again and the fence stays,
    /// because an earlier copy of the proposal may still be committed.
    auto on_proposal_answered(bool is_accepted) -> void;

    /// Handles timeouts. Call it at least once per probe interval.
    [[nodiscard]] auto tick(time_point now) -> std::vector<failover_action>;

    /// The most advanced safe candidate among the answers, if one is known.
    [[nodiscard]] auto candidate() const -> std::optional<target_id>;

private:
    [[nodiscard]] auto ask_next_batch(time_point now)
        -> std::vector<failover_action>;
    [[nodiscard]] auto start_collecting(time_point now)
        -> std::vector<failover_action>;
    [[nodiscard]] auto propose(time_point now) -> std::vector<failover_action>;
    [[nodiscard]] auto tick_confirmation(time_point now)
        -> std::vector<failover_action>;
    [[nodiscard]] auto is_confirmed() const noexcept -> bool;
    /// Whether each proxy was asked twice, after which the failover does not
    /// depend on further answers. Control keeps crashed proxies in the
    /// directory for minutes, and with few proxies the failover must not wait
    /// for their answers.
    [[nodiscard]] auto were_all_asked_twice() const noexcept -> bool;
    /// Whether the server is known to hold every acknowledged write. If no
    /// server is, the most advanced of all others is safe, because each
    /// acknowledged write is on the primary and on one of them.
    [[nodiscard]] auto holds_acknowledged(const server_status& status) const
        -> bool;
    [[nodiscard]] auto missing_statuses() const -> std::vector<target_id>;

    failover_group group_;
    failover_options options_;
    failover_phase phase_ = failover_phase::watching;
    bool is_fenced_ = false;
    time_point last_request_at_{};
    std::vector<proxy_id> live_proxies_;
    std::optional<std::size_t> live_others_;
    time_point suspected_at_{};
    std::size_t asked_count_ = 0;
    /// Number of proxies to ask in the next round.
    std::size_t batch_size_ = 0;
    std::set<proxy_id> confirming_proxies_;
    std::map<target_id, server_status> statuses_;
    std::optional<time_point> candidate_since_;
};

} // namespace rhubarbrun::inline v1

#endif
