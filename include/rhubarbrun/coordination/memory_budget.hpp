#ifndef RHUBARBRUN_COORDINATION_MEMORY_BUDGET_HPP
#define RHUBARBRUN_COORDINATION_MEMORY_BUDGET_HPP

#include <rhubarbrun/state/units.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Bytes that one connection makes a process hold, by their use.
struct memory_holding
{
    /// Answers that the peer has not read.
    std::size_t unread = 0;
    /// Input that is no whole message yet, or was not taken yet.
    std::size_t input = 0;
    /// What is kept between requests: statements that wait for their turn,
    /// values and prepared names of a session.
    std::size_t kept = 0;
    /// Requests that are being served, and answers of servers to them.
    std::size_t working = 0;

    [[nodiscard]] auto total() const noexcept -> std::size_t
    {
        return unread + input + kept + working;
    }
};

/// Decides who has to stop reading, and whose connection is closed, when what
/// untrusted input makes a process hold comes near its limit.
///
/// A holder of at most `small_holding` bytes neither pauses nor is evicted, so
/// that callers with small requests are served while others use up the budget.
/// It does no I/O: the owner reports every change of a holding.
class memory_budget
{
public:
    using holder = std::uint64_t;

    struct limits
    {
        /// Bytes; no value if there is no limit.
        std::optional<std::size_t> limit;
        std::size_t small_holding = std::size_t{8} * 1024;
        /// Reading stops above this part of the limit.
        double pause_at = 0.5;
        /// Above that part for this long, the first in the order is evicted:
        /// most messages that have begun are complete sooner.
        duration pause_patience = milliseconds(500);
    };

    explicit memory_budget(limits budget_limits) : limits_(budget_limits) {}

    /// Replaces what the holder is charged for.
    auto charge(time_point now, holder id, const memory_holding& holding)
        -> void;
    auto release(time_point now, holder id) -> void;

    /// Whether the holder must not read more.
    [[nodiscard]] auto must_pause(holder id) const -> bool;

    /// Whether `choose_evictions` would return a holder.
    [[nodiscard]] auto is_eviction_due(time_point now) const -> bool;

    /// Holders whose connections are to be closed now: above the limit as many
    /// as bring it below, after `pause_patience` above the pause mark one.
    /// Those with unread answers come first, then those with incomplete
    /// messages, with idle memory, and with requests that are being served; in
    /// each class those with most bytes. They stay charged until released.
    [[nodiscard]] auto choose_evictions(time_point now) -> std::vector<holder>;

    [[nodiscard]] auto used() const noexcept -> std::size_t { return used_; }
    [[nodiscard]] auto is_short() const noexcept -> bool;

private:
    /// Class of a holder, then the bytes below the largest number, so that the
    /// first element of a set is evicted first.
    struct rank
    {
        int use = 0;
        std::size_t below = 0;
        holder id = 0;

        friend auto operator<=>(const rank&, const rank&)
            -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
        friend auto operator==(const rank&, const rank&) -> bool = default;
    };

    struct entry
    {
        memory_holding holding;
        std::optional<rank> order;
    };

    [[nodiscard]] auto rank_of(holder id, const memory_holding& holding) const
        -> std::optional<rank>;
    auto note_use(time_point now) -> void;

    limits limits_;
    std::map<holder, entry> holders_;
    std::set<rank> large_;
    std::size_t used_ = 0;
    std::optional<time_point> short_since_;
};

} // namespace rhubarbrun::inline v1

#endif
