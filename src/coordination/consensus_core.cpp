#include "consensus_core.hpp"

#include <algorithm>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace rhubarbrun::detail {

namespace {

auto check_options(const member_identity& self, consensus_options& options)
    -> void
{
    std::sort(options.members.begin(), options.members.end());
    if (options.heartbeat_interval <= duration::zero() ||
        options.min_election_timeout <= options.heartbeat_interval ||
        options.max_election_timeout < options.min_election_timeout)
    {
        throw std::invalid_argument(
            "consensus timings must satisfy 0 < heartbeat interval < minimum "
            "election timeout <= maximum election timeout");
    }
    if (!options.admits_unlisted_members &&
        !std::binary_search(options.members.begin(), options.members.end(),
                            self.id))
    {
        throw std::invalid_argument("member \"" + self.id.value() +
                                    "\" is not in the list of control members");
    }
    if (self.instance == incarnation(0)) {
        throw std::invalid_argument("incarnation 0 is reserved");
    }
}

} // namespace

consensus_core::consensus_core(member_identity self, consensus_options options,
                               random_function random, stored_log stored,
                               time_point now)
    : self_(std::move(self)),
      options_(std::move(options)),
      random_(std::move(random)),
      state_(stored.state),
      saved_state_(stored.state),
      log_(std::move(stored)),
      now_(now),
      ticked_at_(now),
      leader_contact_(now),
      next_join_(now)
{
    check_options(self_, options_);
    reset_election(now);
    if (log_.configuration().voter_count() == 1 &&
        log_.configuration().is_voter(self_))
    {
        // No other voter exists, so an immediate election disrupts none.
        election_deadline_ = now;
    }
}

auto consensus_core::tick(time_point now) -> void
{
    now_ = now;
    const auto pause = now - std::exchange(ticked_at_, now);
    if (is_leader() && pause > options_.max_election_timeout) {
        // This process stood still, and the others may have elected. What they
        // sent before says nothing about who is silent now.
        become_follower(now, state_.current, std::nullopt);
        return;
    }
    if (is_leader()) {
        tick_leader(now);
        return;
    }
    if (log_.configuration().is_voter(self_) && now >= election_deadline_) {
        campaign(now, true);
    }
    if (now >= next_join_) {
        next_join_ = now + (is_leaving() ? options_.heartbeat_interval
                                         : options_.min_election_timeout);
        tick_founding(now);
        tick_joining(now);
        tick_leaving();
    }
}

auto consensus_core::next_tick() const noexcept -> time_point
{
    if (is_leader()) {
        return next_heartbeat_;
    }
    return log_.configuration().is_voter(self_)
               ? std::min(election_deadline_, next_join_)
               : next_join_;
}

auto consensus_core::step(time_point now, consensus_message message) -> void
{
    now_ = now;
    if (!is_for_this_member(message)) {
        return;
    }
    if (const auto* const request = std::get_if<found_request>(&message.body)) {
        on_found_request(message.from, *request);
    } else if (const auto* const reply =
                   std::get_if<found_reply>(&message.body)) {
        on_found_reply(now, message.from, *reply);
    } else if (std::holds_alternative<join_request>(message.body)) {
        on_join_request(now, message.from);
    } else if (std::holds_alternative<leave_request>(message.body)) {
        on_leave_request(now, message.from);
    } else if (std::holds_alternative<leave_reply>(message.body)) {
        is_leave_decided_ = is_leave_wanted_;
    } else if (accept_term(now, message)) {
        dispatch(now, message);
    }
}

auto consensus_core::is_for_this_member(const consensus_message& message) const
    -> bool
{
    if (message.from.id == self_.id) {
        return false;
    }
    if (message.to == self_) {
        return true;
    }
    const auto may_be_open =
        std::holds_alternative<found_request>(message.body) ||
        std::holds_alternative<join_request>(message.body) ||
        std::holds_alternative<leave_request>(message.body);
    return may_be_open && message.to.id == self_.id &&
           message.to.instance == incarnation(0);
}

auto consensus_core::accept_term(time_point now,
                                 const consensus_message& message) -> bool
{
    if (message.current < state_.current) {
        answer_lower_term(message);
        return false;
    }
    if (const auto* const request = std::get_if<vote_request>(&message.body)) {
        // A candidate that receives no messages from the leader must not
        // disrupt members that do, nor invalidate the leader's lease.
        const auto is_repeated = !request->is_pre_vote &&
                                 message.current == state_.current &&
                                 state_.voted_for == message.from;
        if ((is_leader() || is_leader_recent(now)) && !is_repeated &&
            !has_fault(planted_fault::vote_despite_leader))
        {
            return false;
        }
        if (request->is_pre_vote) {
            return true;
        }
    }
    if (message.current == state_.current) {
        return true;
    }
    const auto* const reply = std::get_if<vote_reply>(&message.body);
    if (reply != nullptr && reply->is_pre_vote && reply->is_granted) {
        return true;
    }
    become_follower(now, message.current, std::nullopt);
    return true;
}

auto consensus_core::answer_lower_term(const consensus_message& message) -> void
{
    // The answer carries the current term, so that a leader or candidate of an
    // earlier term steps down.
    if (const auto* const request = std::get_if<vote_request>(&message.body)) {
        send(message.from, vote_reply{request->is_pre_vote, false});
    } else if (std::holds_alternative<append_request>(message.body) ||
               std::holds_alternative<heartbeat>(message.body) ||
               std::holds_alternative<snapshot_chunk>(message.body))
    {
        send(message.from, append_reply{});
    }
}

auto consensus_core::dispatch(time_point now, consensus_message& message)
    -> void
{
    const auto& from = message.from;
    if (const auto found = progress_.find(from);
        found != progress_.end() && message.current == state_.current)
    {
        found->second.on_heard(now);
    }
    std::visit(
        [&](auto& body) {
            using type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<type, vote_request>) {
                on_vote_request(now, message, body);
            } else if constexpr (std::is_same_v<type, vote_reply>) {
                on_vote_reply(now, message, body);
            } else if constexpr (std::is_same_v<type, append_request>) {
                on_append_request(now, from, body);
            } else if constexpr (std::is_same_v<type, append_reply>) {
                on_append_reply(now, from, body);
            } else if constexpr (std::is_same_v<type, heartbeat>) {
                on_heartbeat(now, from, body);
            } else if constexpr (std::is_same_v<type, heartbeat_reply>) {
                on_heartbeat_reply(now, from, body);
            } else if constexpr (std::is_same_v<type, snapshot_chunk>) {
                on_snapshot_chunk(now, from, body);
            } else if constexpr (std::is_same_v<type, snapshot_reply>) {
                on_snapshot_reply(now, from, body);
            }
        },
        message.body);
}

auto consensus_core::become_follower(time_point now, election_term current,
                                     std::optional<member_identity> leader)
    -> void
{
    if (current > state_.current) {
        state_.current = current;
        state_.voted_for.reset();
    }
    role_ = consensus_role::follower;
    leader_ = std::move(leader);
    granted_.clear();
    progress_.clear();
    rounds_.clear();
    is_round_wanted_ = false;
    fail_reads();
    reset_election(now);
}

auto consensus_core::send(const member_identity& to,
                          consensus_message::body_type body) -> void
{
    send_as(to, state_.current, std::move(body));
}

auto consensus_core::send_as(const member_identity& to, election_term current,
                             consensus_message::body_type body) -> void
{
    outbox_.push_back({self_, to, current, std::move(body)});
}

auto consensus_core::is_state_dirty() const -> bool
{
    // The commit index alone needs no write, as a leader sends it again.
    return state_.current != saved_state_.current ||
           state_.voted_for != saved_state_.voted_for ||
           state_.founder != saved_state_.founder;
}

auto consensus_core::has_ready() const -> bool
{
    return is_state_dirty() || log_.has_unstored() || log_.has_unapplied() ||
           unsaved_snapshot_ || !outbox_.empty() || !outcomes_.empty() ||
           is_round_wanted_;
}

auto consensus_core::take_ready() -> consensus_ready
{
    if (is_round_wanted_) {
        start_round(now_);
    }
    auto ready = consensus_ready{};
    ready.number = ++last_batch_;
    ready.snapshot = std::exchange(unsaved_snapshot_, nullptr);
    ready.is_restore = std::exchange(is_restoring_, false);
    ready.entries = log_.take_unstored();
    if (is_state_dirty() || ready.snapshot || !ready.entries.empty()) {
        state_.committed = log_.committed();
        if (state_ != saved_state_) {
            ready.state = saved_state_ = state_;
        }
    }
    ready.messages = std::exchange(outbox_, {});
    ready.committed = log_.take_committed(options_.max_apply_bytes);
    ready.reads = std::exchange(outcomes_, {});
    if (!ready.needs_no_storage()) {
        outstanding_.push_back(
            {ready.number, log_.stored(),
             log_.term_at(log_.stored()).value_or(election_term(0))});
    }
    return ready;
}

auto consensus_core::on_persisted(std::uint64_t number) -> void
{
    while (!outstanding_.empty() && outstanding_.front().number <= number) {
        const auto& batch = outstanding_.front();
        log_.on_persisted(batch.last_index, batch.last_term);
        outstanding_.pop_front();
    }
    if (is_leader()) {
        advance_commit();
    }
}

auto consensus_core::status(time_point now) const -> consensus_status
{
    auto result = consensus_status{};
    result.self = self_;
    result.role = is_member() ? role_ : consensus_role::outsider;
    result.current = state_.current;
    result.leader = leader_;
    result.committed = log_.committed();
    result.applied = log_.applied();
    result.last = log_.last_index();
    result.snapshot = log_.snapshot_index();
    result.configuration = log_.configuration();
    for (const auto& member : log_.configuration().members) {
        const auto found = progress_.find(member.identity);
        if (found == progress_.end()) {
            continue;
        }
        const auto& progress = found->second;
        auto other = member_status{member, progress.matched(),
                                   to_string(progress.mode()), std::nullopt};
        if (progress.has_answered()) {
            other.silent_for = now - progress.heard_at();
        }
        result.others.push_back(std::move(other));
    }
    for (const auto& [id, reason] : refusals_) {
        result.founding_obstacle +=
            (result.founding_obstacle.empty() ? "" : "; ") + id.value() + ": " +
            reason;
    }
    return result;
}

} // namespace rhubarbrun::detail
