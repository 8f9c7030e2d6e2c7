#include "consensus_core.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbrun::detail {

auto consensus_core::propose(time_point now, std::string command)
    -> propose_result
{
    now_ = now;
    if (!is_leader()) {
        return not_leader{leader_};
    }
    if (command.size() > options_.max_command_bytes) {
        return not_accepted{"command of " + std::to_string(command.size()) +
                            " bytes exceeds the limit of " +
                            std::to_string(options_.max_command_bytes) +
                            " bytes"};
    }
    if (uncommitted_bytes_ + command.size() > options_.max_uncommitted_bytes) {
        return not_accepted{"too many proposed commands are not committed yet"};
    }
    auto entry = log_entry{};
    entry.kind = entry_kind::command;
    entry.command = std::move(command);
    const auto index = append_own(std::move(entry));
    send_appends(now);
    return proposal{index, state_.current};
}

auto consensus_core::append_own(log_entry entry) -> log_index
{
    entry.index = log_.last_index().next();
    entry.elected = state_.current;
    uncommitted_bytes_ += entry.weight();
    const auto index = entry.index;
    log_.append(std::move(entry));
    return index;
}

auto consensus_core::send_appends(time_point now) -> void
{
    for (auto& [identity, progress] : progress_) {
        send_appends(now, identity, progress);
    }
}

auto consensus_core::send_appends(time_point now, const member_identity& to,
                                  member_progress& progress) -> void
{
    // A probe is sent even if it carries no entries.
    while (progress.may_append(options_.max_appends_in_flight) &&
           (progress.mode() == replication_mode::probe ||
            progress.next() <= log_.last_index()))
    {
        send_append(now, to, progress);
    }
}

auto consensus_core::send_append(time_point now, const member_identity& to,
                                 member_progress& progress) -> void
{
    const auto previous = before(progress.next());
    const auto previous_term = log_.term_at(previous);
    if (!previous_term) {
        // The entries were compacted; only the snapshot covers them.
        progress.start_snapshot(log_.snapshot());
        send_snapshot_chunk(now, to, progress);
        return;
    }
    auto entries =
        log_.slice(progress.next(), log_.last_index(),
                   options_.max_append_entries, options_.max_append_bytes);
    progress.on_append_sent(advance(previous, entries.size()), now);
    send(to, append_request{previous, *previous_term, log_.committed(),
                            std::move(entries)});
}

auto consensus_core::on_append_reply(time_point now,
                                     const member_identity& from,
                                     const append_reply& reply) -> void
{
    const auto found = progress_.find(from);
    if (found == progress_.end()) {
        return;
    }
    auto& progress = found->second;
    if (reply.is_accepted) {
        if (reply.index > log_.last_index()) {
            return;
        }
        const auto is_news = reply.index > progress.matched();
        progress.on_accepted(reply.index, now);
        if (is_news) {
            advance_commit();
        }
        // The commit may have ended this member's leadership.
        if (is_leader()) {
            send_appends(now, from, progress);
        }
        return;
    }
    const auto agreed =
        log_.last_within(reply.hint_index, reply.hint_term).first;
    if (progress.on_rejected(reply.index, agreed)) {
        send_appends(now, from, progress);
    }
}

auto consensus_core::advance_commit() -> void
{
    const auto reached = reached_by_quorum<log_index>(
        [&] { return log_.persisted(); },
        [](const member_progress& progress) { return progress.matched(); });
    if (reached <= log_.committed()) {
        return;
    }
    // An entry of an earlier term may still be replaced although a quorum
    // holds it; it is committed only together with one of this term.
    if (log_.term_at(reached) != state_.current &&
        !has_fault(planted_fault::commit_of_earlier_term))
    {
        return;
    }
    uncommitted_bytes_ -= log_.weight(log_.committed().next(), reached);
    log_.commit(reached);
    const auto is_removed = log_.configuration_index() <= log_.committed() &&
                            !log_.configuration().is_voter(self_);
    if (is_removed) {
        become_follower(now_, state_.current, std::nullopt);
    }
}

auto consensus_core::sync_progress(time_point now) -> void
{
    const auto& configuration = log_.configuration();
    std::erase_if(progress_, [&](const auto& item) {
        return configuration.find(item.first) == nullptr;
    });
    for (const auto& member : configuration.members) {
        if (member.identity != self_) {
            progress_.try_emplace(member.identity, log_.last_index(), now,
                                  2 * options_.heartbeat_interval,
                                  options_.max_election_timeout);
        }
    }
}

auto consensus_core::tick_leader(time_point now) -> void
{
    if (!has_quorum_contact(now)) {
        become_follower(now, state_.current, std::nullopt);
        return;
    }
    if (now >= next_heartbeat_) {
        start_round(now);
    }
    for (auto& [identity, progress] : progress_) {
        if (!progress.is_retry_due(now)) {
            continue;
        }
        if (progress.mode() == replication_mode::snapshot) {
            send_snapshot_chunk(now, identity, progress);
        } else {
            send_appends(now, identity, progress);
        }
    }
    promote_learners(now);
    remove_leaver(now);
    remove_silent_voter(now);
}

} // namespace rhubarbrun::detail
