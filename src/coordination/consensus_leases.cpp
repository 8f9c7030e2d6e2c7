#include "consensus_core.hpp"

#include <algorithm>

namespace rhubarbrun::detail {

namespace {

constexpr auto hundred_percent = std::int64_t{100};

} // namespace

auto consensus_core::start_round(time_point now) -> void
{
    ++round_;
    is_round_wanted_ = false;
    next_heartbeat_ = now + options_.heartbeat_interval;
    rounds_.emplace(round_, now);
    // An answer to an older round can no longer extend the leader lease.
    std::erase_if(rounds_, [&](const auto& item) {
        return now - item.second > options_.max_election_timeout;
    });
    for (const auto& [identity, progress] : progress_) {
        // A member must not commit entries that it is not known to hold.
        send(identity,
             heartbeat{round_, std::min(progress.matched(), log_.committed())});
    }
    confirm_reads();
}

auto consensus_core::on_heartbeat_reply(time_point now,
                                        const member_identity& from,
                                        const heartbeat_reply& reply) -> void
{
    const auto found = progress_.find(from);
    const auto round = rounds_.find(reply.round);
    if (found == progress_.end() || round == rounds_.end()) {
        return;
    }
    auto& progress = found->second;
    progress.on_round(round->first, round->second);
    if (progress.is_retry_due(now) &&
        progress.mode() != replication_mode::snapshot) {
        send_appends(now, from, progress);
    }
    confirm_reads();
}

auto consensus_core::read_index(time_point now) -> read_result
{
    now_ = now;
    if (!is_leader()) {
        return not_leader{leader_};
    }
    if (term_start_index_ > log_.committed()) {
        return not_accepted{
            "the leader has not committed an entry of its term yet"};
    }
    // Only a heartbeat sent after this call proves that no later leader has
    // committed an entry before it.
    const auto ticket = read_ticket(++last_ticket_);
    reads_.push_back({ticket, log_.committed(), round_ + 1});
    is_round_wanted_ = true;
    return ticket;
}

auto consensus_core::confirmed_round() const -> std::uint64_t
{
    return reached_by_quorum<std::uint64_t>(
        [&] { return round_; },
        [](const member_progress& progress) {
            return progress.answered_round();
        });
}

auto consensus_core::confirm_reads() -> void
{
    if (reads_.empty()) {
        return;
    }
    const auto confirmed = confirmed_round();
    while (!reads_.empty() && reads_.front().round <= confirmed) {
        outcomes_.push_back({reads_.front().ticket, reads_.front().index});
        reads_.pop_front();
    }
}

auto consensus_core::fail_reads() -> void
{
    for (const auto& read : reads_) {
        outcomes_.push_back({read.ticket, std::nullopt});
    }
    reads_.clear();
}

auto consensus_core::has_leader_lease(time_point now) const noexcept -> bool
{
    if (!is_leader() || term_start_index_ > log_.committed()) {
        return false;
    }
    const auto answered = reached_by_quorum<std::optional<time_point>>(
        [&] { return std::optional(now); },
        [](const member_progress& progress) { return progress.round_sent(); });
    const auto length = options_.min_election_timeout *
                        (hundred_percent - options_.clock_margin_percent) /
                        hundred_percent;
    return answered && now < *answered + length;
}

auto consensus_core::has_quorum_contact(time_point now) const -> bool
{
    const auto heard = reached_by_quorum<time_point>(
        [&] { return now; },
        [](const member_progress& progress) { return progress.heard_at(); });
    return now - heard <= options_.max_election_timeout;
}

} // namespace rhubarbrun::detail
