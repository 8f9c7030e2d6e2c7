#ifndef RHUBARBRUN_COORDINATION_ALLOWANCE_LEDGER_HPP
#define RHUBARBRUN_COORDINATION_ALLOWANCE_LEDGER_HPP

#include <rhubarbrun/coordination/allowance_limits.hpp>
#include <rhubarbrun/coordination/allowance_messages.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace rhubarbrun::inline v1 {

/// The control leader's account of the tokens of all organisations.
///
/// For every span up to the window, the tokens that were used in it and those
/// that proxies hold never exceed `max_tokens` + rate x span, so that the bound
/// on operations holds whichever proxies are partitioned, and whenever a new
/// ledger begins. Tokens of a proxy that is not heard of count as held until
/// they have expired there.
///
/// A new ledger does not know what its predecessor granted and what was used.
/// For the length of a window it grants no more than what accrued since it
/// began, and what proxies exchange. Until the tokens of its predecessor have
/// expired or were exchanged they count as held.
///
/// It does no I/O: the caller passes time and reports.
class allowance_ledger
{
public:
    explicit allowance_ledger(allowance_terms terms);

    /// Begins to grant under a number that is higher than those of all earlier
    /// ledgers. Until `earlier_expired_at`, tokens of more than one of them may
    /// be valid, and none is granted.
    auto begin(time_point now, std::uint64_t number,
               time_point earlier_expired_at) -> void;
    auto end() -> void;
    /// Applies the allowances of a newer configuration.
    auto set_allowances(time_point now, allowance_table allowances) -> void;

    /// Books a report; returns the answer, or no value if this ledger does not
    /// grant.
    [[nodiscard]] auto on_report(time_point now, const allowance_report& report)
        -> std::optional<allowance_grant>;

    /// The number of the ledger; 0 while it does not grant.
    [[nodiscard]] auto number() const noexcept -> std::uint64_t
    {
        return number_;
    }
    /// Tokens granted since the ledger was created.
    [[nodiscard]] auto granted_total() const noexcept -> std::uint64_t
    {
        return granted_total_;
    }
    /// Requests for tokens to which less was granted than was asked for.
    [[nodiscard]] auto shortages() const noexcept -> std::uint64_t
    {
        return shortages_;
    }

private:
    /// Tokens that were reported as used in one `use_interval_length`.
    struct use_interval
    {
        time_point begin;
        std::uint64_t used = 0;
    };
    struct former_allowance
    {
        operation_allowance allowance;
        time_point until;
    };
    struct account
    {
        operation_allowance allowance;
        /// Set while the configuration has no allowance for it.
        std::optional<time_point> removed_at;
        /// Allowances that were in force in the last window, oldest first.
        std::deque<former_allowance> former;
        /// What is known of its use begins here.
        time_point known_since;
        /// Tokens of the ledger before that were exchanged since then.
        double exchanged = 0;
        std::uint64_t used = 0;
        /// Tokens used in the last window, oldest first.
        std::deque<use_interval> recent;
        /// Tokens granted and not reported as used or returned.
        std::uint64_t outstanding = 0;
        /// Operations that wait for tokens, by the latest reports.
        std::uint64_t waiting = 0;
        /// Most tokens of the ledger before that may still be held.
        double earlier = 0;
    };
    struct totals
    {
        std::uint64_t granted = 0;
        std::uint64_t used = 0;
        std::uint64_t returned = 0;
        std::uint64_t exchanged = 0;
        std::uint32_t waiting = 0;

        [[nodiscard]] auto left() const noexcept -> std::uint64_t
        {
            return granted - used - returned;
        }
    };
    struct holder
    {
        time_point expires;
        std::map<organisation_id, totals> tokens;
    };
    /// Name and run of a proxy.
    using holder_key = std::pair<std::string, std::uint64_t>;

    /// Tokens that may be granted now; negative after a limit was lowered.
    [[nodiscard]] auto room_of(time_point now, const account& of) const
        -> double;
    auto expire_holders(time_point now) -> void;
    auto book(time_point now, account& of, totals& held,
              const allowance_use& use) const -> void;
    auto note_use(time_point now, account& of, std::uint64_t count) const
        -> void;
    /// Counts the tokens of the ledger before as used once they have expired.
    auto expire_earlier(time_point now, account& of) const -> void;
    /// Time until tokens for all operations that wait have accrued, in
    /// milliseconds; -1 if there are enough.
    [[nodiscard]] auto wait_of(time_point now, const account& of) const
        -> std::int64_t;
    [[nodiscard]] auto grant(time_point now, account& of, totals& held,
                             const allowance_use& use) -> granted_tokens;

    allowance_terms terms_;
    std::uint64_t number_ = 0;
    time_point began_at_;
    time_point earlier_expired_at_;
    time_point next_expiry_check_;
    std::map<organisation_id, account> accounts_;
    std::map<holder_key, holder> holders_;
    std::uint64_t granted_total_ = 0;
    std::uint64_t shortages_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
