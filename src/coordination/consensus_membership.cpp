#include "consensus_core.hpp"

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
        const auto& progress = found->second;
        const auto is_responsive =
            progress.has_answered() &&
            now - progress.heard_at() < options_.min_election_timeout;
        if (is_responsive && progress.matched() >= log_.committed()) {
            static_cast<void>(propose_configuration(
                now, log_.configuration().with(
                         {member.identity, member_role::voter})));
            return;
        }
    }
}

auto consensus_core::tick_joining(time_point now) -> void
{
    const auto silence = now - leader_contact_;
    const auto is_served = leader_ && is_leader_recent(now);
    if (is_served ||
        (is_member() && silence < 2 * options_.max_election_timeout)) {
        return;
    }
    // A member that was removed without being notified asks as well; the
    // leader ignores requests of members in its configuration.
    auto asked =
        std::set<member_id>(options_.members.begin(), options_.members.end());
    asked.insert(contacts_.begin(), contacts_.end());
    for (const auto& member : log_.configuration().members) {
        asked.insert(member.identity.id);
    }
    asked.erase(self_.id);
    for (const auto& id : asked) {
        send({id, incarnation(0)}, join_request{});
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
    if (silent != nullptr && now - silent_since >= options_.removal_timeout) {
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
    if (!is_leader() || !is_allowed || !membership_change_refusal().empty()) {
        return;
    }
    const auto& configuration = log_.configuration();
    if (configuration.find(from) != nullptr) {
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
