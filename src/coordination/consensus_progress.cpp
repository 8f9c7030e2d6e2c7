#include "consensus_progress.hpp"

#include <algorithm>
#include <utility>

#include "consensus_entries.hpp"

namespace rhubarbrun::detail {

auto to_string(replication_mode mode) noexcept -> const char*
{
    switch (mode) {
    case replication_mode::probe:
        return "probe";
    case replication_mode::replicate:
        return "replicate";
    case replication_mode::snapshot:
        return "snapshot";
    }
    return "unknown";
}

member_progress::member_progress(log_index next, time_point now, duration retry,
                                 duration longest_retry)
    : next_(next),
      first_retry_(retry),
      longest_retry_(longest_retry),
      retry_(retry),
      heard_at_(now)
{
}

auto member_progress::may_append(std::size_t limit) const noexcept -> bool
{
    switch (mode_) {
    case replication_mode::probe:
        return !is_waiting_;
    case replication_mode::replicate:
        return in_flight_.size() < limit;
    case replication_mode::snapshot:
        break;
    }
    return false;
}

auto member_progress::on_append_sent(log_index last, time_point now) -> void
{
    if (mode_ == replication_mode::probe) {
        is_waiting_ = true;
        waiting_since_ = now;
        return;
    }
    if (in_flight_.empty()) {
        waiting_since_ = now;
    }
    in_flight_.push_back(last);
    next_ = last.next();
}

auto member_progress::on_accepted(log_index index, time_point now) -> void
{
    if (index < matched_) {
        return;
    }
    // An accepted empty probe does not raise the index but ends the probing.
    matched_ = index;
    next_ = std::max(next_, index.next());
    retry_ = first_retry_;
    waiting_since_ = now;
    if (mode_ == replication_mode::snapshot &&
        index < snapshot_->metadata.index) {
        return;
    }
    if (mode_ != replication_mode::replicate) {
        mode_ = replication_mode::replicate;
        next_ = index.next();
        is_waiting_ = false;
        in_flight_.clear();
        snapshot_.reset();
    }
    while (!in_flight_.empty() && in_flight_.front() <= index) {
        in_flight_.pop_front();
    }
}

auto member_progress::on_rejected(log_index rejected, log_index agreed) -> bool
{
    const auto is_stale = mode_ == replication_mode::replicate
                              ? rejected <= matched_
                              : rejected != before(next_);
    if (mode_ == replication_mode::snapshot || is_stale) {
        return false;
    }
    probe_from(std::max(std::min(agreed.next(), rejected), matched_.next()));
    return true;
}

auto member_progress::start_snapshot(shared_snapshot snapshot) -> void
{
    mode_ = replication_mode::snapshot;
    snapshot_ = std::move(snapshot);
    offset_ = 0;
    is_waiting_ = false;
    in_flight_.clear();
}

auto member_progress::on_chunk_sent(time_point now) -> void
{
    is_waiting_ = true;
    waiting_since_ = now;
}

auto member_progress::on_chunk_held(std::uint64_t offset) -> bool
{
    if (offset == offset_) {
        return false;
    }
    offset_ = offset;
    retry_ = first_retry_;
    is_waiting_ = false;
    return true;
}

auto member_progress::is_retry_due(time_point now) -> bool
{
    const auto is_unanswered = is_waiting_ || !in_flight_.empty();
    const auto is_reachable = has_answered_ && now - heard_at_ < longest_retry_;
    if (!is_unanswered || !is_reachable || now - waiting_since_ < retry_) {
        return false;
    }
    retry_ = std::min(retry_ * 2, longest_retry_);
    is_waiting_ = false;
    if (mode_ == replication_mode::replicate) {
        probe_from(matched_.next());
    }
    return true;
}

auto member_progress::on_heard(time_point now) -> void
{
    heard_at_ = now;
    has_answered_ = true;
}

auto member_progress::on_round(std::uint64_t round, time_point sent) -> void
{
    if (round > round_) {
        round_ = round;
        round_sent_ = sent;
    }
}

auto member_progress::probe_from(log_index next) -> void
{
    mode_ = replication_mode::probe;
    next_ = next;
    is_waiting_ = false;
    in_flight_.clear();
}

} // namespace rhubarbrun::detail
