#ifndef RHUBARBRUN_COORDINATION_COMMIT_OBSERVATIONS_HPP
#define RHUBARBRUN_COORDINATION_COMMIT_OBSERVATIONS_HPP

#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/units.hpp>

#include <deque>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Log positions of a group's primary that this process has observed.
///
/// An observation states that `position` covers every commit acknowledged
/// before `asked_at`. It must come from a reply that proves that the server was
/// the primary, to a request sent at `asked_at`.
class commit_observations
{
public:
    /// Records an observation. An observation of an earlier term than the
    /// latest is ignored.
    auto observe(time_point asked_at, log_position position) -> void;

    /// The lowest known position that covers all commits acknowledged before
    /// `limit`; no value if every observation is older.
    [[nodiscard]] auto covering(time_point limit) const
        -> std::optional<log_position>;

    /// Returns the position to require for what a session saw at `seen`. A
    /// change of primary may lose the end of the former log; the first position
    /// of the new term covers what survived.
    [[nodiscard]] auto translate(log_position seen) const -> log_position;

    /// Time of the request that gave the latest observation.
    [[nodiscard]] auto latest() const noexcept -> std::optional<time_point>
    {
        return observed_.empty()
                   ? std::nullopt
                   : std::optional<time_point>(observed_.back().asked_at);
    }

    /// Term of the latest observation; 0 if there is none.
    [[nodiscard]] auto current() const noexcept -> term
    {
        return first_of_term_.group_term;
    }

private:
    struct observation
    {
        time_point asked_at;
        log_position position;
    };

    /// Ascending in time and position, all of one term.
    std::deque<observation> observed_;
    log_position first_of_term_;
};

} // namespace rhubarbrun::inline v1

#endif
