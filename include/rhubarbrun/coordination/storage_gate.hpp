#ifndef RHUBARBRUN_COORDINATION_STORAGE_GATE_HPP
#define RHUBARBRUN_COORDINATION_STORAGE_GATE_HPP

#include <rhubarbrun/coordination/consensus_ready.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Passes the batches of a `consensus_member` to storage, in order, and keeps a
/// batch for which there is no room until there is.
///
/// While a batch is kept, the member must be left alone: no ticks, messages,
/// proposals or reads. For the group it is then like a process that is
/// suspended, and it takes part again as one that wakes up. Nothing that is
/// not durable is sent, so that neither a vote, nor a term, nor an entry counts
/// before it is.
///
/// It does no I/O.
class storage_gate
{
public:
    /// Makes a batch durable; returns false if there is no room for it. Any
    /// other failure is thrown and passed on.
    using save_function = std::function<bool(const consensus_ready&)>;

    explicit storage_gate(save_function save);

    /// Makes a batch durable. If there is no room, the batch is kept, and the
    /// result is false.
    [[nodiscard]] auto save(time_point now, consensus_ready& ready) -> bool;

    /// Tries the kept batch again if that is due, and returns it once it is
    /// durable. It has no messages any more, as they are outdated.
    [[nodiscard]] auto retry(time_point now) -> std::optional<consensus_ready>;

    [[nodiscard]] auto is_blocked() const noexcept -> bool
    {
        return kept_.has_value();
    }
    /// Time since which a batch has been kept; only while one is.
    [[nodiscard]] auto blocked_since() const noexcept -> time_point
    {
        return blocked_since_;
    }
    /// When `retry` is due; only while a batch is kept.
    [[nodiscard]] auto next_retry() const noexcept -> time_point
    {
        return next_retry_;
    }
    /// Number of batches that were kept so far.
    [[nodiscard]] auto refusals() const noexcept -> std::uint64_t
    {
        return refusals_;
    }

private:
    save_function save_;
    std::optional<consensus_ready> kept_;
    time_point blocked_since_;
    time_point next_retry_;
    std::uint64_t refusals_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
