#ifndef RHUBARBRUN_SRC_COORDINATION_CONSENSUS_PROGRESS_HPP
#define RHUBARBRUN_SRC_COORDINATION_CONSENSUS_PROGRESS_HPP

#include <rhubarbrun/state/consensus_log.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace rhubarbrun::detail {

/// How the leader sends the log to a member.
enum class replication_mode : std::uint8_t
{
    /// One append at a time, until the point is found where the logs agree.
    probe,
    /// Several appends may be in flight.
    replicate,
    /// Snapshot chunks, one at a time.
    snapshot,
};

[[nodiscard]] auto to_string(replication_mode mode) noexcept -> const char*;

/// Replication progress of another member, as known to the leader of the term.
class member_progress
{
public:
    /// `retry` is the initial delay after which unanswered data is sent again.
    /// The delay doubles up to `longest_retry` while no answer arrives.
    member_progress(log_index next, time_point now, duration retry,
                    duration longest_retry);

    [[nodiscard]] auto mode() const noexcept { return mode_; }
    [[nodiscard]] auto matched() const noexcept { return matched_; }
    [[nodiscard]] auto next() const noexcept { return next_; }

    /// Whether an append may be sent now, given the limit of appends in
    /// flight.
    [[nodiscard]] auto may_append(std::size_t limit) const noexcept -> bool;
    /// An append of entries up to `last` was sent at `now`.
    auto on_append_sent(log_index last, time_point now) -> void;
    /// The member's log matches up to `index`.
    auto on_accepted(log_index index, time_point now) -> void;
    /// The member refused entries after `rejected`. Returns whether the
    /// refusal is current, in which case the next append starts after
    /// `agreed`.
    [[nodiscard]] auto on_rejected(log_index rejected, log_index agreed)
        -> bool;

    auto start_snapshot(shared_snapshot snapshot) -> void;
    [[nodiscard]] auto snapshot() const noexcept -> const shared_snapshot&
    {
        return snapshot_;
    }
    [[nodiscard]] auto snapshot_offset() const noexcept { return offset_; }
    auto on_chunk_sent(time_point now) -> void;
    /// Records that the member holds `offset` bytes. Returns whether the offset
    /// has changed.
    [[nodiscard]] auto on_chunk_held(std::uint64_t offset) -> bool;

    /// Stops waiting for an answer to sent data if the retry delay has elapsed
    /// and the member is reachable. Returns whether to send again.
    [[nodiscard]] auto is_retry_due(time_point now) -> bool;

    /// Any message of the term arrived from the member.
    auto on_heard(time_point now) -> void;
    /// Time of the last message, or of the start of the term.
    [[nodiscard]] auto heard_at() const noexcept { return heard_at_; }
    [[nodiscard]] auto has_answered() const noexcept { return has_answered_; }

    /// The member answered the heartbeat `round`, sent at `sent`.
    auto on_round(std::uint64_t round, time_point sent) -> void;
    [[nodiscard]] auto answered_round() const noexcept { return round_; }
    /// When the latest answered heartbeat was sent.
    [[nodiscard]] auto round_sent() const noexcept { return round_sent_; }

private:
    auto probe_from(log_index next) -> void;

    replication_mode mode_ = replication_mode::probe;
    log_index matched_;
    log_index next_;
    bool is_waiting_ = false;
    /// Last index of each unanswered append.
    std::deque<log_index> in_flight_;
    time_point waiting_since_;
    duration first_retry_;
    duration longest_retry_;
    duration retry_;
    time_point heard_at_;
    bool has_answered_ = false;
    std::uint64_t round_ = 0;
    std::optional<time_point> round_sent_;
    shared_snapshot snapshot_;
    std::uint64_t offset_ = 0;
};

} // namespace rhubarbrun::detail

#endif
