#ifndef RHUBARBRUN_SRC_COORDINATION_CONSENSUS_CORE_HPP
#define RHUBARBRUN_SRC_COORDINATION_CONSENSUS_CORE_HPP

#include <rhubarbrun/coordination/consensus.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "consensus_entries.hpp"
#include "consensus_progress.hpp"

namespace rhubarbrun::detail {

/// Implementation of `consensus_member`, which documents the interface.
///
/// The sources are split by task: election, replication (leader's side),
/// following, snapshots, leases and reads, membership.
class consensus_core
{
public:
    consensus_core(member_identity self, consensus_options options,
                   random_function random, stored_log stored, time_point now);

    auto tick(time_point now) -> void;
    [[nodiscard]] auto next_tick() const noexcept -> time_point;
    auto step(time_point now, consensus_message message) -> void;
    [[nodiscard]] auto propose(time_point now, std::string command)
        -> propose_result;
    [[nodiscard]] auto propose_removal(time_point now,
                                       const member_identity& identity)
        -> propose_result;
    auto leave(time_point now) -> void;
    [[nodiscard]] auto is_leaving() const -> bool;
    [[nodiscard]] auto start_contact_round() -> std::uint64_t
    {
        is_round_wanted_ = true;
        return round_ + 1;
    }
    [[nodiscard]] auto outlasts_tolerated_losses(time_point now,
                                                 std::uint64_t round) -> bool;
    [[nodiscard]] auto hears_leader(time_point now) const -> bool
    {
        return is_leader() || (leader_ && is_leader_recent(now));
    }
    [[nodiscard]] auto read_index(time_point now) -> read_result;
    auto set_contacts(std::vector<member_id> contacts) -> void
    {
        contacts_ = std::move(contacts);
    }
    [[nodiscard]] auto has_leader_lease(time_point now) const noexcept -> bool;
    [[nodiscard]] auto is_leader() const noexcept -> bool
    {
        return role_ == consensus_role::leader;
    }
    [[nodiscard]] auto leader() const -> std::optional<member_identity>
    {
        return leader_;
    }
    auto compact(log_index index, std::string data) -> void;
    [[nodiscard]] auto has_ready() const -> bool;
    [[nodiscard]] auto take_ready() -> consensus_ready;
    auto on_persisted(std::uint64_t number) -> void;
    [[nodiscard]] auto status(time_point now) const -> consensus_status;

private:
    /// A batch that `take_ready` returned and that is not durable yet.
    struct outstanding_batch
    {
        std::uint64_t number;
        log_index last_index;
        election_term last_term;
    };
    /// A read that waits until a quorum has answered the heartbeat `round`.
    struct waiting_read
    {
        read_ticket ticket;
        log_index index;
        std::uint64_t round;
    };
    /// A snapshot that is being received.
    struct incoming_snapshot
    {
        member_identity from;
        election_term leader_term;
        log_snapshot snapshot;
    };

    // consensus_core.cpp
    [[nodiscard]] auto
    is_for_this_member(const consensus_message& message) const -> bool;
    [[nodiscard]] auto accept_term(time_point now,
                                   const consensus_message& message) -> bool;
    auto answer_lower_term(const consensus_message& message) -> void;
    auto dispatch(time_point now, consensus_message& message) -> void;
    auto become_follower(time_point now, election_term current,
                         std::optional<member_identity> leader) -> void;
    auto send(const member_identity& to, consensus_message::body_type body)
        -> void;
    auto send_as(const member_identity& to, election_term current,
                 consensus_message::body_type body) -> void;
    [[nodiscard]] auto has_fault(planted_fault fault) const noexcept -> bool
    {
        return options_.fault == fault;
    }
    [[nodiscard]] auto is_state_dirty() const -> bool;

    // consensus_election.cpp
    auto reset_election(time_point now) -> void;
    auto on_leader_contact(time_point now, const member_identity& from) -> void;
    [[nodiscard]] auto is_leader_recent(time_point now) const -> bool;
    auto campaign(time_point now, bool is_pre_vote) -> void;
    auto count_votes(time_point now) -> void;
    auto become_leader(time_point now) -> void;
    auto on_vote_request(time_point now, const consensus_message& message,
                         const vote_request& request) -> void;
    auto on_vote_reply(time_point now, const consensus_message& message,
                       const vote_reply& reply) -> void;

    // consensus_replication.cpp
    auto append_own(log_entry entry) -> log_index;
    auto send_appends(time_point now) -> void;
    auto send_appends(time_point now, const member_identity& to,
                      member_progress& progress) -> void;
    auto send_append(time_point now, const member_identity& to,
                     member_progress& progress) -> void;
    auto advance_commit() -> void;
    auto sync_progress(time_point now) -> void;
    auto on_append_reply(time_point now, const member_identity& from,
                         const append_reply& reply) -> void;
    auto tick_leader(time_point now) -> void;

    // consensus_following.cpp
    auto on_append_request(time_point now, const member_identity& from,
                           append_request& request) -> void;
    auto on_heartbeat(time_point now, const member_identity& from,
                      const heartbeat& beat) -> void;

    // consensus_snapshots.cpp
    auto send_snapshot_chunk(time_point now, const member_identity& to,
                             member_progress& progress) -> void;
    auto on_snapshot_chunk(time_point now, const member_identity& from,
                           snapshot_chunk& chunk) -> void;
    auto on_snapshot_reply(time_point now, const member_identity& from,
                           const snapshot_reply& reply) -> void;
    auto restore(incoming_snapshot incoming) -> void;

    // consensus_leases.cpp
    auto start_round(time_point now) -> void;
    auto on_heartbeat_reply(time_point now, const member_identity& from,
                            const heartbeat_reply& reply) -> void;
    [[nodiscard]] auto confirmed_round() const -> std::uint64_t;
    auto confirm_reads() -> void;
    auto fail_reads() -> void;
    [[nodiscard]] auto has_quorum_contact(time_point now) const -> bool;

    // consensus_membership.cpp
    [[nodiscard]] auto is_member() const noexcept -> bool;
    [[nodiscard]] auto membership_change_refusal() const -> std::string_view;
    [[nodiscard]] auto propose_configuration(time_point now, membership next)
        -> log_index;
    auto promote_learners(time_point now) -> void;
    /// Whether the member answered within the minimum election timeout.
    [[nodiscard]] auto is_responsive(time_point now,
                                     const member_identity& identity) const
        -> bool;
    /// Whether a member is about to get a vote.
    [[nodiscard]] auto has_joiner(time_point now) const -> bool;
    auto remove_silent_voter(time_point now) -> void;
    /// Removes a member that asked for it, if it is not needed.
    auto remove_leaver(time_point now) -> void;
    /// Whether the group keeps its tolerance without the member, now or once
    /// one that is joining has its vote.
    [[nodiscard]] auto may_spare(time_point now,
                                 const member_identity& identity) const -> bool;
    auto tick_joining(time_point now) -> void;
    auto tick_leaving() -> void;
    auto ask_contacts(const consensus_message::body_type& body) -> void;
    auto tick_founding(time_point now) -> void;
    auto found_group(time_point now) -> void;
    [[nodiscard]] auto is_uninitialized() const -> bool;
    [[nodiscard]] auto founding_refusal(const member_identity& founder,
                                        const found_request& request) const
        -> std::string;
    auto on_found_request(const member_identity& from,
                          const found_request& request) -> void;
    auto on_found_reply(time_point now, const member_identity& from,
                        const found_reply& reply) -> void;
    auto on_join_request(time_point now, const member_identity& from) -> void;
    auto on_leave_request(time_point now, const member_identity& from) -> void;

    /// Returns the highest value that a quorum of voters reaches. `own` returns
    /// this member's value, `other` that of another voter.
    template <class Value, class Own, class Other>
    [[nodiscard]] auto reached_by_quorum(Own own, Other other) const -> Value;

    member_identity self_;
    consensus_options options_;
    random_function random_;
    hard_state state_;
    /// State that `take_ready` returned last.
    hard_state saved_state_;
    entry_log log_;

    consensus_role role_ = consensus_role::follower;
    std::optional<member_identity> leader_;
    /// Latest time passed in.
    time_point now_;
    /// When timers were last looked at.
    time_point ticked_at_;
    time_point election_deadline_;
    /// Last message from a leader. A restart counts as one, because this member
    /// may have answered a heartbeat right before.
    time_point leader_contact_;
    std::set<member_identity> granted_;

    // Leader only.
    std::map<member_identity, member_progress> progress_;
    /// Index of the entry that the leader appended when it was elected.
    log_index term_start_index_;
    std::size_t uncommitted_bytes_ = 0;
    time_point next_heartbeat_;
    time_point leading_since_;
    std::uint64_t round_ = 0;
    /// Heartbeat rounds that may still be answered, and when they were sent.
    std::map<std::uint64_t, time_point> rounds_;
    bool is_round_wanted_ = false;
    /// When members asked last to join and to leave.
    std::map<member_identity, time_point> joiners_;
    std::map<member_identity, time_point> leavers_;
    /// Until then a silent voter is removed after the minimum election timeout,
    /// as an acknowledgement waits for it.
    time_point hurried_until_;
    std::uint64_t last_ticket_ = 0;
    std::deque<waiting_read> reads_;

    // Outside a configuration or without a leader.
    /// When this member asks next to join or to leave.
    time_point next_join_;
    /// Whether `leave` was called, and whether the leader has decided.
    bool is_leave_wanted_ = false;
    bool is_leave_decided_ = false;
    std::vector<member_id> contacts_;
    std::map<member_id, member_identity> agreed_;
    std::map<member_id, std::string> refusals_;

    std::optional<incoming_snapshot> incoming_;

    // For the next batch.
    std::uint64_t last_batch_ = 0;
    std::deque<outstanding_batch> outstanding_;
    std::vector<consensus_message> outbox_;
    std::vector<read_outcome> outcomes_;
    shared_snapshot unsaved_snapshot_;
    bool is_restoring_ = false;
};

template <class Value, class Own, class Other>
auto consensus_core::reached_by_quorum(Own own, Other other) const -> Value
{
    auto values = std::vector<Value>{};
    for (const auto& member : log_.configuration().members) {
        if (member.role != member_role::voter) {
            continue;
        }
        if (member.identity == self_) {
            values.push_back(own());
            continue;
        }
        const auto found = progress_.find(member.identity);
        values.push_back(found == progress_.end() ? Value{}
                                                  : other(found->second));
    }
    const auto quorum = log_.configuration().quorum();
    if (quorum == 0) {
        return Value{};
    }
    std::sort(values.begin(), values.end(),
              [](const auto& left, const auto& right) { return right < left; });
    return values[quorum - 1];
}

} // namespace rhubarbrun::detail

#endif
