#ifndef RHUBARBRUN_COORDINATION_ALLOWANCE_RESERVE_HPP
#define RHUBARBRUN_COORDINATION_ALLOWANCE_RESERVE_HPP

#include <rhubarbrun/coordination/allowance_limits.hpp>
#include <rhubarbrun/coordination/allowance_messages.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Whether an operation may begin.
enum class admission_verdict : std::uint8_t
{
    /// A token was taken, or the organisation needs none.
    admitted,
    /// Tokens were asked for and may come soon.
    waiting,
    /// The ledger has none.
    refused,
};

/// The tokens that a proxy holds for the operations of organisations.
///
/// It asks the ledger for tokens before they run out, in proportion to what the
/// organisation used lately, and gives idle ones back. Tokens expire
/// `token_lifetime` after the proxy sent the last report that the ledger
/// answered.
///
/// It does no I/O: the caller passes time and messages, and sends the reports.
class allowance_reserve
{
public:
    /// `proxy` is the name of this process, and `first_run` a number that none
    /// of its earlier runs used.
    allowance_reserve(std::string proxy, std::uint64_t first_run);

    /// Applies the allowances of a newer configuration.
    auto set_allowances(allowance_table allowances) -> void;

    /// Takes a token for an operation that can wait for `max_wait`. `is_first`
    /// is false if the operation has asked before.
    [[nodiscard]] auto take(time_point now, const organisation_id& organisation,
                            bool is_first, duration max_wait)
        -> admission_verdict;
    /// Counts an operation that waits for a token as long as the result lives.
    [[nodiscard]] auto wait(const organisation_id& organisation)
        -> std::shared_ptr<void>;
    /// Gives back the token that was taken last. No report may have been made
    /// since.
    auto refund(const organisation_id& organisation) -> void;
    /// Time until the ledger may have tokens for the organisation again.
    [[nodiscard]] auto retry_after(time_point now,
                                   const organisation_id& organisation) const
        -> duration;

    /// When the next report is due; `time_point::max()` if none is needed.
    [[nodiscard]] auto next_report(time_point now) const -> time_point;
    /// The report, which is sent now.
    [[nodiscard]] auto make_report(time_point now) -> allowance_report;
    auto on_grant(time_point now, const allowance_grant& grant) -> void;

    /// Tokens held at present.
    [[nodiscard]] auto held() const -> std::uint64_t;

private:
    struct totals
    {
        std::uint64_t granted = 0;
        std::uint64_t used = 0;
        std::uint64_t returned = 0;
        std::uint64_t exchanged = 0;

        [[nodiscard]] auto left() const noexcept -> std::uint64_t
        {
            return granted - used - returned;
        }
        /// What the ledger has to be told of.
        [[nodiscard]] auto settled() const noexcept -> std::uint64_t
        {
            return used + returned + exchanged;
        }
    };
    /// Tokens of one ledger.
    struct pool
    {
        std::uint64_t ledger = 0;
        time_point expires;
        std::map<organisation_id, totals> tokens;
    };
    struct demand
    {
        /// Operations in about the last second.
        double recent = 0;
        time_point counted_at;
        /// Operations that wait for a token; shared with their marks.
        std::shared_ptr<std::uint32_t> waiting =
            std::make_shared<std::uint32_t>(0);
        bool is_scarce = false;
        /// When tokens for all that wait are expected.
        time_point expected_at;
        /// Totals of the ledger that it has confirmed to have booked.
        std::uint64_t confirmed = 0;
    };

    auto expire(time_point now) -> void;
    [[nodiscard]] auto find_next_report(time_point now) const -> time_point;
    [[nodiscard]] auto left(const organisation_id& organisation) const
        -> std::uint64_t;
    [[nodiscard]] static auto decayed(time_point now, const demand& of)
        -> double;
    /// Tokens that the organisation should have here.
    [[nodiscard]] static auto target(time_point now, const demand& of)
        -> std::uint64_t;
    /// Whether the ledger has to be told of what was used or returned, or that
    /// tokens are still held.
    [[nodiscard]] auto is_report_needed(const organisation_id& organisation,
                                        const demand& of) const -> bool;
    /// Goes over to a later ledger, for whose tokens those that are held are
    /// exchanged.
    auto exchange(pool next) -> void;
    auto return_idle(time_point now, const organisation_id& organisation,
                     const demand& of) -> void;

    std::string proxy_;
    std::uint64_t run_;
    allowance_table allowances_;
    pool current_;
    std::map<organisation_id, demand> demands_;
    std::uint64_t last_report_ = 0;
    time_point last_report_at_;
    /// When the latest reports were sent, by number.
    std::map<std::uint64_t, time_point> sent_at_;
    /// The last report, whose totals its answer confirms.
    std::vector<allowance_use> last_uses_;
    /// Reports since the last answer that brought what was asked for.
    std::uint32_t unanswered_ = 0;
    /// Tokens of the ledger before are to be exchanged.
    bool is_exchanging_ = false;
    mutable bool is_due_known_ = false;
    mutable time_point due_;
    mutable time_point due_found_at_;
};

} // namespace rhubarbrun::inline v1

#endif
