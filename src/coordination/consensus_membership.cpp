#include "consensus_core.hpp"

#include <rhubarbrun/coordination/loss_tolerance.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbrun::detail {

auto consensus_core::is_member() const noexcept -> bool
{
    return log_.configuration().find(self_) != nullptr;
}

auto consensus_core::membership_change_refusal() const -> std::string_view
{
    if (term_start_index_ > log_.committed()) {
        return "the leader has not committed an entry of its term yet";
    }
    if (log_.configuration_index() > log_.committed()) {
        return "another membership change is not committed yet";
    }
    return {};
}

auto consensus_core::propose_removal(time_point now,
                                     const member_identity& identity)
    -> propose_result
{
    now_ = now;
    if (!is_leader()) {
        return not_leader{leader_};
    }
    if (const auto obstacle = membership_change_refusal(); !obstacle.empty()) {
        return not_accepted{std::string(obstacle)};
    }
    const auto& configuration = log_.configuration();
    if (configuration.find(identity) == nullptr) {
        return not_accepted{"there is no such member"};
    }
    if (configuration.is_voter(identity) && configuration.voter_count() == 1) {
        return not_accepted{"the last voter cannot be removed"};
    }
    const auto current = state_.current;
    const auto index =
        propose_configuration(now, configuration.without(identity));
    return proposal{index, current};
}

auto consensus_core::propose_configuration(time_point now, membership next)
    -> log_index
{
    auto entry = log_entry{};
    entry.kind = entry_kind::configuration;
    entry.configuration = std::move(next);
    const auto index = append_own(std::move(entry));
    sync_progress(now);
    send_appends(now);
    return index;
}

auto consensus_core::promote_learners(time_point now) -> void
{
    if (!membership_change_refusal().empty()) {
        return;
    }
    for (const auto& member : log_.configuration().members) {
        const auto found = progress_.find(member.identity);
        if (member.role != member_role::learner || found == progress_.end()) {
            continue;
        }
        if (is_responsive(now, member.identity) &&
            found->second.matched() >= log_.committed() &&
            !leavers_.contains(member.identity))
        {
            static_cast<void>(propose_configuration(
                now, log_.configuration().with(
                         {member.identity, member_role::voter})));
            return;
        }
    }
}

auto consensus_core::is_responsive(time_point now,
                                   const member_identity& identity) const
    -> bool
{
    const auto found = progress_.find(identity);
    return found != progress_.end() && found->second.has_answered() &&
           now - found->second.heard_at() < options_.min_election_timeout;
}

auto consensus_core::has_joiner(time_point now) const -> bool
{
    const auto& configuration = log_.configuration();
    const auto has_asked =
        std::any_of(joiners_.begin(), joiners_.end(), [&](const auto& each) {
            return now - each.second < options_.max_election_timeout &&
                   !configuration.is_voter(each.first);
        });
    return has_asked ||
           std::any_of(configuration.members.begin(),
                       configuration.members.end(), [&](const auto& each) {
                           return each.role == member_role::learner &&
                                  is_responsive(now, each.identity);
                       });
}

auto consensus_core::outlasts_tolerated_losses(time_point now,
                                               std::uint64_t round) -> bool
{
    const auto& configuration = log_.configuration();
    const auto losses = options_.min_voters / 2;
    if (!is_leader() || !membership_change_refusal().empty() ||
        configuration.voter_count() < options_.min_voters)
    {
        return false;
    }
    const auto has_answered = [&](const member_identity& identity) {
        const auto found = progress_.find(identity);
        return identity == self_ || (found != progress_.end() &&
                                     found->second.answered_round() >= round);
    };
    if (outlasts_losses(configuration, has_answered, losses)) {
        return true;
    }
    if (configuration.voter_count() == options_.min_voters && !has_joiner(now))
    {
        // Without a successor, the silent ones count among the lost.
        return true;
    }
    hurried_until_ = now + options_.max_election_timeout;
    return false;
}

auto consensus_core::tick_joining(time_point now) -> void
{
    const auto silence = now - leader_contact_;
    const auto is_served = leader_ && is_leader_recent(now);
    if (is_served || is_leave_wanted_ ||
        (is_member() && silence < 2 * options_.max_election_timeout))
    {
        return;
    }
    // A member that was removed without being notified asks as well; the
    // leader ignores requests of members in its configuration.
    ask_contacts(join_request{});
}

auto consensus_core::ask_contacts(const consensus_message::body_type& body)
    -> void
{
    auto asked =
        std::set<member_id>(options_.members.begin(), options_.members.end());
    asked.insert(contacts_.begin(), contacts_.end());
    for (const auto& member : log_.configuration().members) {
        asked.insert(member.identity.id);
    }
    asked.erase(self_.id);
    for (const auto& id : asked) {
        send({id, incarnation(0)}, body);
    }
}

auto consensus_core::leave(time_point now) -> void
{
    is_leave_wanted_ = true;
    next_join_ = now;
    if (is_leader()) {
        is_leave_decided_ = !may_spare(now, self_);
        leavers_[self_] = now;
        remove_leaver(now);
    }
}

auto consensus_core::is_leaving() const -> bool
{
    if (!is_leave_wanted_ || is_leave_decided_) {
        return false;
    }
    // A leader leads until its removal is committed. Without more members than
    // are kept, it would refuse.
    return is_leader() || (is_member() && log_.configuration().members.size() >
                                              options_.min_voters);
}

auto consensus_core::tick_leaving() -> void
{
    if (is_leaving()) {
        ask_contacts(leave_request{});
    }
}

auto consensus_core::may_spare(time_point now,
                               const member_identity& identity) const -> bool
{
    const auto& configuration = log_.configuration();
    return !configuration.is_voter(identity) ||
           configuration.voter_count() > options_.min_voters || has_joiner(now);
}

auto consensus_core::on_leave_request(time_point now,
                                      const member_identity& from) -> void
{
    if (!is_leader()) {
        return;
    }
    const auto is_in_group = log_.configuration().find(from) != nullptr;
    if (!is_in_group && log_.configuration_index() <= log_.committed()) {
        send(from, leave_reply{true});
    } else if (is_in_group && !may_spare(now, from)) {
        leavers_.erase(from);
        send(from, leave_reply{false});
    } else {
        leavers_[from] = now;
        remove_leaver(now);
    }
}

auto consensus_core::remove_leaver(time_point now) -> void
{
    std::erase_if(leavers_, [&](const auto& each) {
        return each.first != self_ &&
               now - each.second >= options_.max_election_timeout;
    });
    const auto& configuration = log_.configuration();
    if (!membership_change_refusal().empty()) {
        return;
    }
    for (const auto& [identity, asked_at] : leavers_) {
        const auto is_spare = !configuration.is_voter(identity) ||
                              configuration.voter_count() > options_.min_voters;
        if (configuration.find(identity) != nullptr && is_spare) {
            static_cast<void>(
                propose_configuration(now, configuration.without(identity)));
            return;
        }
    }
}

auto consensus_core::remove_silent_voter(time_point now) -> void
{
    const auto& configuration = log_.configuration();
    if (options_.removal_timeout <= duration::zero() ||
        configuration.voter_count() <= options_.min_voters ||
        !membership_change_refusal().empty())
    {
        return;
    }
    // Nobody can tell whether a silent voter is down or gone for good. The one
    // that has been silent for longest goes; if it was down it joins again, and
    // then the next one is one too many.
    const auto* silent = static_cast<const member_identity*>(nullptr);
    auto silent_since = now;
    for (const auto& member : configuration.members) {
        const auto found = progress_.find(member.identity);
        if (member.role != member_role::voter || found == progress_.end()) {
            continue;
        }
        const auto heard = std::max(found->second.heard_at(), leading_since_);
        if (heard < silent_since) {
            silent = &member.identity;
            silent_since = heard;
        }
    }
    const auto timeout = now < hurried_until_ ? options_.min_election_timeout
                                              : options_.removal_timeout;
    if (silent != nullptr && now - silent_since >= timeout) {
        static_cast<void>(
            propose_configuration(now, configuration.without(*silent)));
    }
}

auto consensus_core::on_join_request(time_point now,
                                     const member_identity& from) -> void
{
    const auto is_allowed = options_.admits_unlisted_members ||
                            std::binary_search(options_.members.begin(),
                                               options_.members.end(), from.id);
    const auto& configuration = log_.configuration();
    if (!is_leader() || !is_allowed || configuration.find(from) != nullptr) {
        return;
    }
    if (const auto* const former = configuration.find(from.id);
        former != nullptr) {
        // Two processes use one name; the one that still answers remains.
        const auto& progress = progress_.at(former->identity);
        if (now - progress.heard_at() < options_.max_election_timeout) {
            return;
        }
    }
    std::erase_if(joiners_, [&](const auto& each) {
        return now - each.second >= options_.max_election_timeout;
    });
    joiners_[from] = now;
    if (!membership_change_refusal().empty()) {
        return;
    }
    // Replacing the former incarnation by the new one as a learner changes a
    // single voter.
    static_cast<void>(propose_configuration(
        now, configuration.with({from, member_role::learner})));
}

auto consensus_core::is_uninitialized() const -> bool
{
    return state_.current == election_term(0) && log_.is_empty();
}

auto consensus_core::tick_founding(time_point now) -> void
{
    if (!options_.is_founding || !is_uninitialized() ||
        options_.members.empty() || options_.members.front() != self_.id)
    {
        return;
    }
    if (state_.founder && state_.founder != self_) {
        refusals_[self_.id] = "agreed earlier to found the group with " +
                              state_.founder->id.value();
        return;
    }
    state_.founder = self_;
    if (agreed_.size() + 1 == options_.members.size() ||
        has_fault(planted_fault::found_alone))
    {
        found_group(now);
        return;
    }
    for (const auto& id : options_.members) {
        if (id != self_.id && !agreed_.contains(id)) {
            send({id, incarnation(0)}, found_request{options_.members});
        }
    }
}

auto consensus_core::found_group(time_point now) -> void
{
    auto initial = membership{};
    initial = initial.with({self_, member_role::voter});
    for (const auto& [id, identity] : agreed_) {
        initial = initial.with({identity, member_role::voter});
    }
    state_.current = election_term(1);
    auto entry = log_entry{};
    entry.kind = entry_kind::configuration;
    entry.configuration = std::move(initial);
    append_own(std::move(entry));
    agreed_.clear();
    refusals_.clear();
    election_deadline_ = now;
}

auto consensus_core::founding_refusal(const member_identity& founder,
                                      const found_request& request) const
    -> std::string
{
    if (!options_.is_founding) {
        return "not told to found a group";
    }
    if (!is_uninitialized()) {
        return "holds state of a group";
    }
    if (request.members != options_.members ||
        options_.members.front() != founder.id)
    {
        return "has another list of initial members";
    }
    if (state_.founder && state_.founder != founder) {
        return "agreed earlier to found the group with another incarnation "
               "of " +
               state_.founder->id.value();
    }
    return {};
}

auto consensus_core::on_found_request(const member_identity& from,
                                      const found_request& request) -> void
{
    auto reason = founding_refusal(from, request);
    const auto is_agreed = reason.empty();
    if (is_agreed) {
        // This is durable before the reply is sent, so this member never takes
        // part in another founding, even if the founder loses its disk.
        state_.founder = from;
    }
    send(from, found_reply{is_agreed, std::move(reason)});
}

auto consensus_core::on_found_reply(time_point now, const member_identity& from,
                                    const found_reply& reply) -> void
{
    const auto is_expected =
        options_.is_founding && is_uninitialized() && state_.founder == self_ &&
        std::binary_search(options_.members.begin(), options_.members.end(),
                           from.id);
    if (!is_expected) {
        return;
    }
    if (!reply.is_agreed) {
        if (!agreed_.contains(from.id)) {
            refusals_[from.id] = reply.reason;
        }
        return;
    }
    refusals_.erase(from.id);
    agreed_.insert_or_assign(from.id, from);
    if (agreed_.size() + 1 == options_.members.size()) {
        found_group(now);
    }
}

} // namespace rhubarbrun::detail
