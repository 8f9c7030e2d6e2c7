#include <rhubarbrun/coordination/drain.hpp>

namespace rhubarbrun::inline v1 {

drain::drain(drain_options options) : options_(options) {}

auto drain::set_handover_timeout(duration wait) noexcept -> void
{
    options_.handover_timeout = wait;
}

auto drain::on_signal(time_point now) -> void
{
    if (phase_ == drain_phase::serving) {
        phase_ = drain_phase::handing_over;
        started_ = now;
        return;
    }
    phase_ = drain_phase::ended;
}

auto drain::is_handed_over(time_point now,
                           const drain_view& view) const noexcept -> bool
{
    const auto elapsed = now - started_;
    return elapsed >= options_.not_ready_time &&
           (view.targets == 0 || elapsed >= options_.handover_timeout);
}

auto drain::advance(time_point now, const drain_view& view) -> void
{
    if (phase_ == drain_phase::handing_over && is_handed_over(now, view)) {
        phase_ = drain_phase::finishing;
        finishing_since_ = now;
    }
    if (phase_ == drain_phase::finishing &&
        (view.sessions_in_transaction == 0 ||
         now - finishing_since_ >= options_.transaction_timeout))
    {
        phase_ = drain_phase::closing;
    }
    // A request in flight has a deadline, so no further limit is needed here.
    if (phase_ == drain_phase::closing && view.sessions == 0 &&
        view.requests_in_flight == 0)
    {
        phase_ = drain_phase::ended;
    }
}

auto drain::step(time_point now, const drain_view& view) -> drain_actions
{
    last_step_ = now;
    advance(now, view);
    const auto is_draining = phase_ != drain_phase::serving;
    const auto is_past_handover = phase_ >= drain_phase::finishing;
    auto orders = drain_actions{};
    orders.is_ready = !is_draining;
    orders.hand_over_targets = is_draining;
    orders.accept_sessions = !is_past_handover;
    orders.close_idle_sessions = is_past_handover;
    orders.close_idle_transactions = phase_ >= drain_phase::closing;
    orders.exit = phase_ == drain_phase::ended;
    return orders;
}

auto drain::phase() const noexcept -> drain_phase
{
    return phase_;
}

auto drain::next_time() const -> std::optional<time_point>
{
    switch (phase_) {
    case drain_phase::handing_over:
        return last_step_ < started_ + options_.not_ready_time
                   ? started_ + options_.not_ready_time
                   : started_ + options_.handover_timeout;
    case drain_phase::finishing:
        return finishing_since_ + options_.transaction_timeout;
    case drain_phase::serving:
    case drain_phase::closing:
    case drain_phase::ended:
        break;
    }
    return std::nullopt;
}

} // namespace rhubarbrun::inline v1
