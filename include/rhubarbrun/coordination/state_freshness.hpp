#ifndef RHUBARBRUN_COORDINATION_STATE_FRESHNESS_HPP
#define RHUBARBRUN_COORDINATION_STATE_FRESHNESS_HPP

#include <rhubarbrun/state/consensus_log.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace rhubarbrun::inline v1 {

/// What a member of a replicated log knows of the age of its state.
///
/// It asks the leader how much is committed. Once it has applied that much, its
/// state holds everything that was acknowledged before the question was sent.
/// Messages from the leader alone do not show this: a member may receive
/// heartbeats and lack the entries.
class state_freshness
{
public:
    /// Number of a question to be sent to the leader; no value if none is due.
    [[nodiscard]] auto ask(time_point now) -> std::optional<std::uint64_t>;

    /// The leader, which holds a lease, answered the question; unknown numbers
    /// are ignored.
    auto on_answer(std::uint64_t number, log_index committed) -> void;

    /// All entries up to `applied` are part of the state.
    auto on_applied(log_index applied) -> void;

    /// This member leads, holds a lease and has applied what is committed.
    auto on_leading(time_point now) -> void;

    /// The state holds everything that was acknowledged before this time; no
    /// value if that is not known of any.
    [[nodiscard]] auto covered() const noexcept -> std::optional<time_point>
    {
        return covered_;
    }

private:
    struct question
    {
        std::uint64_t number = 0;
        time_point asked_at;
        /// From the answer.
        std::optional<log_index> committed;
    };

    auto settle() -> void;

    std::deque<question> questions_;
    log_index applied_;
    std::uint64_t last_number_ = 0;
    std::optional<time_point> covered_;
};

} // namespace rhubarbrun::inline v1

#endif
