#include <rhubarbrun/coordination/connection_budget.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// One connection in eight is reserved, but at least one for each slot.
constexpr auto reserved_divisor = 8U;
constexpr auto max_doublings = 16U;

} // namespace

auto default_reserved_connections(std::uint32_t limit,
                                  std::uint32_t slots) noexcept -> std::uint32_t
{
    // At most half, so that a target with few connections can be used at all.
    return std::min(std::max(limit / reserved_divisor, slots), limit / 2);
}

connection_budget::connection_budget(connection_budget_options options)
    : options_(std::move(options))
{
}

auto connection_budget::usable(
    std::uint32_t previous_owner_connections) const noexcept -> std::uint32_t
{
    const auto reserved_connections = options_.reserved_connections.value_or(
        default_reserved_connections(options_.limit, options_.slots));
    const auto taken =
        std::max(reserved_connections, previous_owner_connections);
    return options_.limit - std::min(options_.limit, taken);
}

auto connection_budget::set_limits(std::uint32_t limit, std::uint32_t slots,
                                   std::uint32_t reserved_connections) noexcept
    -> void
{
    options_.limit = limit;
    options_.slots = slots;
    options_.reserved_connections = reserved_connections;
}

auto connection_budget::record_demand(time_point now, std::uint32_t need)
    -> void
{
    if (now - peak_since_ >= options_.idle_time) {
        previous_peak_ = std::exchange(peak_, 0);
        peak_since_ = now;
    }
    peak_ = std::max(peak_, need);
}

auto connection_budget::plan(time_point now, const connection_use& use)
    -> connection_plan
{
    last_plan_ = now;
    record_demand(now, use.in_use + use.waiting);
    const auto most = usable(use.previous_owner);
    // One more statement per slot can start while a connection is opened.
    const auto wanted =
        std::min(std::max(peak_, previous_peak_) + options_.slots, most);
    const auto held = use.open + use.opening;
    auto result = connection_plan{};
    if (held > wanted) {
        const auto idle = use.open - std::min(use.open, use.in_use);
        result.close_idle = std::min(held - wanted, idle);
        return result;
    }
    const auto at_once =
        is_last_open_successful_ ? options_.max_concurrent_opens : 1U;
    if (now >= not_before_ && use.opening < at_once) {
        result.open = std::min(wanted - held, at_once - use.opening);
    }
    return result;
}

auto connection_budget::spread(duration base) const -> duration
{
    if (!options_.random || base <= duration{}) {
        return duration{};
    }
    return duration(static_cast<duration::rep>(
        options_.random() % static_cast<std::uint64_t>(base.count())));
}

auto connection_budget::on_opened(time_point now) -> void
{
    is_last_open_successful_ = true;
    failures_ = 0;
    not_before_ = now;
}

auto connection_budget::on_open_failed(time_point now) -> void
{
    is_last_open_successful_ = false;
    const auto doublings = std::min(failures_, max_doublings);
    const auto base = std::min(options_.initial_backoff * (1U << doublings),
                               options_.max_backoff);
    ++failures_;
    not_before_ = now + base + spread(base);
}

auto connection_budget::on_lost(time_point now) -> void
{
    if (!is_last_open_successful_) {
        return;
    }
    is_last_open_successful_ = false;
    not_before_ = now + spread(options_.initial_backoff);
}

auto connection_budget::next_time() const noexcept -> time_point
{
    const auto period_end = peak_since_ + options_.idle_time;
    return not_before_ > last_plan_ ? std::min(not_before_, period_end)
                                    : period_end;
}

} // namespace rhubarbrun::inline v1
