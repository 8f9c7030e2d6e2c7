#include "experiment_server.hpp"

#include <limits>
#include <utility>

namespace rhubarbrun::bench {

namespace {

/// A tenth of the delay between zones; the owner is in the target's zone.
constexpr auto same_zone_divisor = 10;

auto make_limits(const deployment& place) -> admission_limits
{
    auto limits = admission_limits{};
    limits.slots = place.slots;
    limits.connections = place.connections;
    return limits;
}

} // namespace

auto first_come_options() -> admission_options
{
    auto options = admission_options{};
    options.use_priorities = false;
    options.use_deadlines = false;
    options.queue_length = std::numeric_limits<std::size_t>::max();
    return options;
}

served_target::served_target(simulation& events, const deployment& place,
                             admission_options options)
    : events_(events),
      queue_(make_limits(place), std::move(options)),
      overhead_(2 * (place.zone_delay / same_zone_divisor))
{
}

auto served_target::submit(job work) -> void
{
    last_ticket_ = last_ticket_.next();
    const auto ticket = last_ticket_;
    auto request = admission_request{};
    request.ticket = ticket;
    request.priority = work.priority;
    request.estimate = classes_.estimate(work.shape, work.hint);
    request.caller = work.caller;
    request.database = "database";
    request.deadline = events_.now() + work.time_left;
    jobs_.emplace(ticket, live_job{std::move(work), events_.now(), {}});
    const auto result = queue_.offer(events_.now(), std::move(request));
    if (std::holds_alternative<admitted_now>(result)) {
        run(ticket);
    } else if (const auto* error = std::get_if<request_error>(&result)) {
        refuse(ticket, *error);
    }
    pump();
}

auto served_target::pump() -> void
{
    while (const auto ticket = queue_.start_next(events_.now())) {
        run(*ticket);
    }
    for (const auto& each : queue_.expire(events_.now())) {
        refuse(each.ticket, each.error);
    }
    set_timer();
}

auto served_target::set_timer() -> void
{
    const auto deadline = queue_.next_deadline();
    if (!deadline || (timer_ && *timer_ <= *deadline)) {
        return;
    }
    timer_ = deadline;
    events_.at(*deadline + duration(1), [this, due = *deadline] {
        if (timer_ == due) {
            timer_.reset();
        }
        pump();
    });
}

auto served_target::run(admission_ticket ticket) -> void
{
    auto& running = jobs_.at(ticket);
    running.started = events_.now();
    events_.after(running.work.service + overhead_,
                  [this, ticket] { finish(ticket); });
}

auto served_target::finish(admission_ticket ticket) -> void
{
    const auto node = jobs_.extract(ticket);
    const auto& finished = node.mapped();
    auto result = job_result{};
    result.has_run = true;
    result.elapsed = events_.now() - finished.arrived;
    result.waited = finished.started - finished.arrived;
    result.held = events_.now() - finished.started;
    classes_.on_finished(finished.work.shape, result.held);
    queue_.on_finished(events_.now(), ticket, result.held);
    finished.work.done(result);
    pump();
}

auto served_target::refuse(admission_ticket ticket, const request_error& error)
    -> void
{
    const auto node = jobs_.extract(ticket);
    auto result = job_result{};
    result.elapsed = events_.now() - node.mapped().arrived;
    result.waited = result.elapsed;
    result.retry_after = error.retry_after;
    node.mapped().work.done(result);
}

} // namespace rhubarbrun::bench
