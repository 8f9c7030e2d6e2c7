#ifndef RHUBARBRUN_COORDINATION_DRAIN_HPP
#define RHUBARBRUN_COORDINATION_DRAIN_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Phase of a proxy's graceful shutdown.
enum class drain_phase : std::uint8_t
{
    serving,
    /// Not ready; targets are handed over; sessions are still served.
    handing_over,
    /// No new session. Each session is closed once its request is answered and
    /// its transaction has ended.
    finishing,
    /// As `finishing`, but sessions idle in a transaction are closed too.
    closing,
    ended,
};

/// Input of the drain: counts at one moment.
struct drain_view
{
    /// Targets whose lease this proxy still holds.
    std::size_t targets = 0;
    /// Requests accepted from callers or other proxies and not yet answered.
    std::size_t requests_in_flight = 0;
    /// Sessions of this proxy's callers.
    std::size_t sessions = 0;
    /// Sessions with an open transaction, at any target.
    std::size_t sessions_in_transaction = 0;
};

/// Actions of the proxy in the current phase. A flag that was changed from its
/// initial value does not change back.
struct drain_actions
{
    bool is_ready = true;
    bool hand_over_targets = false;
    bool accept_sessions = true;
    /// Close sessions that have neither a request nor a transaction, with
    /// 57P01.
    bool close_idle_sessions = false;
    /// Also close sessions that are idle in a transaction.
    bool close_idle_transactions = false;
    bool exit = false;
};

/// Delays and timeouts of a `drain`.
struct drain_options
{
    /// Time that the load balancer needs to detect that the proxy is not ready;
    /// sessions are accepted during this time.
    duration not_ready_time = std::chrono::seconds(1);
    /// Longest wait for open transactions.
    duration transaction_timeout = std::chrono::seconds(2);
    /// Longest wait for targets to be handed over.
    duration handover_timeout = std::chrono::seconds(5);
};

/// State machine of a proxy's graceful shutdown.
class drain
{
public:
    explicit drain(drain_options options = {});

    /// Changes `drain_options::handover_timeout`.
    auto set_handover_timeout(duration wait) noexcept -> void;

    /// The first signal starts the drain; the second ends it at once.
    auto on_signal(time_point now) -> void;

    /// Returns the current actions; call after each change and at `next_time`.
    [[nodiscard]] auto step(time_point now, const drain_view& view)
        -> drain_actions;

    [[nodiscard]] auto phase() const noexcept -> drain_phase;

    /// Next time at which `step` may decide by time alone.
    [[nodiscard]] auto next_time() const -> std::optional<time_point>;

private:
    auto advance(time_point now, const drain_view& view) -> void;
    [[nodiscard]] auto is_handed_over(time_point now,
                                      const drain_view& view) const noexcept
        -> bool;

    drain_options options_;
    drain_phase phase_ = drain_phase::serving;
    time_point started_;
    time_point last_step_;
    time_point finishing_since_;
};

} // namespace rhubarbrun::inline v1

#endif
