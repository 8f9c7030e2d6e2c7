#ifndef RHUBARBRUN_COORDINATION_CONNECTION_BUDGET_HPP
#define RHUBARBRUN_COORDINATION_CONNECTION_BUDGET_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstdint>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Limits of a `connection_budget`.
struct connection_budget_options
{
    /// Connections that the target accepts from all owners together.
    std::uint32_t limit = 1;
    std::uint32_t slots = 1;
    /// Connections left unused; `default_reserved_connections` if not set.
    std::optional<std::uint32_t> reserved_connections;
    /// Connections opened at once. Opening takes about 12 ms, so four at once
    /// give over 300 new connections a second.
    std::uint32_t max_concurrent_opens = 4;
    /// Period after which peak use expires and spare connections are closed.
    duration idle_time = std::chrono::seconds(30);
    /// Delay after the first failed attempt; doubles up to `max_backoff`.
    duration initial_backoff = std::chrono::milliseconds(50);
    duration max_backoff = std::chrono::seconds(2);
    /// Adds jitter to the delays of owners that lost their targets together.
    random_function random;
};

/// Connections to a target at one moment.
struct connection_use
{
    /// Ready connections, in use or idle.
    std::uint32_t open = 0;
    std::uint32_t opening = 0;
    std::uint32_t in_use = 0;
    /// Statements waiting for a connection.
    std::uint32_t waiting = 0;
    /// Connections of a previous owner that are still open.
    std::uint32_t previous_owner = 0;
};

/// What to do next; at most one of the counts is above zero.
struct connection_plan
{
    std::uint32_t open = 0;
    std::uint32_t close_idle = 0;
};

/// Connections that an owner leaves unused, so that the next owner can fill
/// all slots while the connections of this one are still open.
[[nodiscard]] auto default_reserved_connections(std::uint32_t limit,
                                                std::uint32_t slots) noexcept
    -> std::uint32_t;

/// Decides how many connections to open ahead of demand and to close.
///
/// Call `plan` after each change and at `next_time`.
class connection_budget
{
public:
    explicit connection_budget(connection_budget_options options);

    /// The new limits apply from the next plan on. Spare connections above them
    /// are closed; connections in use are closed once they are idle.
    auto set_limits(std::uint32_t limit, std::uint32_t slots,
                    std::uint32_t reserved_connections) noexcept -> void;

    [[nodiscard]] auto plan(time_point now, const connection_use& use)
        -> connection_plan;

    /// An attempt succeeded; resets the backoff.
    auto on_opened(time_point now) -> void;

    /// An attempt failed: attempts are made one at a time, with exponential
    /// backoff, until one succeeds.
    auto on_open_failed(time_point now) -> void;

    /// An open connection was lost; the next ones are opened one at a time
    /// until one succeeds.
    auto on_lost(time_point now) -> void;

    /// Time by which `plan` should be called again even if nothing changes.
    [[nodiscard]] auto next_time() const noexcept -> time_point;

    /// Connections that this owner may hold, opening ones included.
    [[nodiscard]] auto
    usable(std::uint32_t previous_owner_connections) const noexcept
        -> std::uint32_t;

private:
    auto record_demand(time_point now, std::uint32_t need) -> void;
    [[nodiscard]] auto spread(duration base) const -> duration;

    connection_budget_options options_;
    /// Peak demand in the current and the previous period of `idle_time`.
    std::uint32_t peak_ = 0;
    std::uint32_t previous_peak_ = 0;
    time_point peak_since_;
    time_point not_before_;
    time_point last_plan_;
    std::uint32_t failures_ = 0;
    bool is_last_open_successful_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
