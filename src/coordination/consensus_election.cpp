#include "consensus_core.hpp"

namespace rhubarbrun::detail {

auto consensus_core::reset_election(time_point now) -> void
{
    const auto spread = static_cast<std::uint64_t>(
        (options_.max_election_timeout - options_.min_election_timeout)
            .count());
    election_deadline_ =
        now + options_.min_election_timeout +
        duration(static_cast<duration::rep>(random_() % (spread + 1)));
}

auto consensus_core::on_leader_contact(time_point now,
                                       const member_identity& from) -> void
{
    if (role_ != consensus_role::follower) {
        become_follower(now, state_.current, from);
    }
    leader_ = from;
    leader_contact_ = now;
    reset_election(now);
}

auto consensus_core::is_leader_recent(time_point now) const -> bool
{
    return now - leader_contact_ < options_.min_election_timeout;
}

auto consensus_core::campaign(time_point now, bool is_pre_vote) -> void
{
    leader_.reset();
    reset_election(now);
    granted_ = {self_};
    if (is_pre_vote) {
        role_ = consensus_role::pre_candidate;
    } else {
        role_ = consensus_role::candidate;
        state_.current = state_.current.next();
        state_.voted_for = self_;
    }
    // A pre-vote is sent under the term of the election that would follow.
    const auto current = is_pre_vote ? state_.current.next() : state_.current;
    for (const auto& member : log_.configuration().members) {
        if (member.role == member_role::voter && member.identity != self_) {
            send_as(
                member.identity, current,
                vote_request{is_pre_vote, log_.last_index(), log_.last_term()});
        }
    }
    count_votes(now);
}

auto consensus_core::count_votes(time_point now) -> void
{
    const auto& configuration = log_.configuration();
    auto votes = std::size_t{0};
    for (const auto& identity : granted_) {
        votes += configuration.is_voter(identity) ? 1 : 0;
    }
    if (votes < configuration.quorum()) {
        return;
    }
    if (role_ == consensus_role::pre_candidate) {
        campaign(now, false);
    } else {
        become_leader(now);
    }
}

auto consensus_core::become_leader(time_point now) -> void
{
    role_ = consensus_role::leader;
    leader_ = self_;
    leading_since_ = ticked_at_ = now;
    granted_.clear();
    progress_.clear();
    rounds_.clear();
    agreed_.clear();
    refusals_.clear();
    joiners_.clear();
    leavers_.clear();
    if (is_leave_wanted_ && !is_leave_decided_) {
        leavers_[self_] = now;
    }
    hurried_until_ = now;
    incoming_.reset();
    uncommitted_bytes_ =
        log_.weight(log_.committed().next(), log_.last_index());
    term_start_index_ = append_own({});
    sync_progress(now);
    start_round(now);
    send_appends(now);
    advance_commit();
}

auto consensus_core::on_vote_request(time_point now,
                                     const consensus_message& message,
                                     const vote_request& request) -> void
{
    const auto is_free = !state_.voted_for && !leader_;
    const auto may_vote =
        state_.voted_for == message.from || is_free ||
        (request.is_pre_vote && message.current > state_.current) ||
        has_fault(planted_fault::double_vote);
    const auto is_up_to_date = request.last_term > log_.last_term() ||
                               (request.last_term == log_.last_term() &&
                                request.last_index >= log_.last_index());
    const auto is_granted = may_vote && is_up_to_date;
    if (is_granted && !request.is_pre_vote) {
        state_.voted_for = message.from;
        reset_election(now);
    }
    // A granted pre-vote is answered under the term that was asked for.
    const auto current =
        is_granted && request.is_pre_vote ? message.current : state_.current;
    send_as(message.from, current, vote_reply{request.is_pre_vote, is_granted});
}

auto consensus_core::on_vote_reply(time_point now,
                                   const consensus_message& message,
                                   const vote_reply& reply) -> void
{
    const auto expected = reply.is_pre_vote ? consensus_role::pre_candidate
                                            : consensus_role::candidate;
    if (role_ != expected || !reply.is_granted) {
        return;
    }
    if (reply.is_pre_vote && message.current != state_.current.next()) {
        return;
    }
    granted_.insert(message.from);
    count_votes(now);
}

} // namespace rhubarbrun::detail
