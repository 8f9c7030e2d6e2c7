#include <rhubarbrun/coordination/admission.hpp>

#include <algorithm>
#include <cmath>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto factor_half_life = duration(std::chrono::seconds(1));
constexpr auto factor_step = 1.0 / 16;
constexpr auto min_factor = 0.5;
constexpr auto max_factor = 32.0;
/// Added to both waits before they are compared, so that short waits do not
/// produce extreme factors.
constexpr auto factor_slack = duration(std::chrono::milliseconds(1));

auto scale(duration value, double factor) -> duration
{
    return duration(static_cast<duration::rep>(
        std::llround(static_cast<double>(value.count()) * factor)));
}

} // namespace

/// Expected slot time of the work of the same class that is served first:
/// callers are served in turn, so another caller's work counts only up to the
/// caller's own.
auto admission_queue::work_ahead(const waiting_statement& statement) const
    -> duration
{
    const auto& group = classes_.at(statement.index);
    const auto& request = statement.request;
    auto own = request.estimate.expected;
    const caller_queue* own_queue = nullptr;
    const auto database = group.databases.find(request.database);
    if (database != group.databases.end()) {
        const auto caller = database->second.callers.find(request.caller);
        if (caller != database->second.callers.end()) {
            own_queue = &caller->second;
            own += own_queue->work;
        }
    }
    auto ahead = own - request.estimate.expected;
    for (const auto& pinned_statement : group.pinned) {
        ahead += pinned_statement.request.estimate.expected;
    }
    for (const auto& [name, other_database] : group.databases) {
        for (const auto& [key, other] : other_database.callers) {
            if (&other != own_queue) {
                ahead += std::min(other.work, own);
            }
        }
    }
    return ahead;
}

auto admission_queue::work_running(time_point now, bool is_long) const
    -> duration
{
    auto work = duration{};
    for (const auto& [ticket, statement] : running_) {
        if ((statement.length == statement_length::long_running) == is_long) {
            const auto left = statement.charged - (now - statement.started);
            work += std::max(left, duration{});
        }
    }
    return work;
}

/// Work ahead of the statement, in its class and in the share of the others,
/// divided by the slots that it may use.
auto admission_queue::expected_wait(time_point now,
                                    const waiting_statement& statement) const
    -> duration
{
    const auto is_long =
        options_.use_priorities &&
        statement.request.estimate.length == statement_length::long_running;
    if (load() < usable_slots() && !is_long) {
        return duration{};
    }
    const auto ahead = work_ahead(statement);
    const auto own = ahead + statement.request.estimate.expected;
    auto total = ahead + work_running(now, is_long);
    for (auto index = std::size_t{0}; index < classes_.size(); ++index) {
        if (index != statement.index && !is_long) {
            const auto ratio = static_cast<double>(options_.weights.at(index)) /
                               options_.weights.at(statement.index);
            total += std::min(classes_.at(index).work, scale(own, ratio));
        }
    }
    const auto slots = usable_slots();
    const auto share = is_long ? std::min(long_limit(), slots)
                               : slots - std::min(slots, running_long_);
    return total / std::max(share, 1U);
}

auto admission_queue::wait_factor(time_point now, std::size_t index) const
    -> double
{
    const auto& group = classes_.at(index);
    const auto elapsed = std::chrono::duration<double>(
        std::max(now - group.wait_factor_at, duration{}));
    const auto half_lives =
        elapsed / std::chrono::duration<double>(factor_half_life);
    return 1 + ((group.wait_factor - 1) * std::exp2(-half_lives));
}

auto admission_queue::update_wait_factor(time_point now,
                                         const waiting_statement& statement)
    -> void
{
    const auto measured = now - statement.since + factor_slack;
    const auto estimated = statement.estimated_wait + factor_slack;
    const auto ratio = static_cast<double>(measured.count()) /
                       static_cast<double>(estimated.count());
    auto& group = classes_.at(statement.index);
    const auto before = wait_factor(now, statement.index);
    group.wait_factor = std::clamp(before + ((ratio - before) * factor_step),
                                   min_factor, max_factor);
    group.wait_factor_at = now;
}

auto admission_queue::is_queue_full(const admission_request& request,
                                    std::size_t index) const -> bool
{
    const auto& group = classes_.at(index);
    const auto free =
        options_.queue_length - std::min(options_.queue_length, group.waiting);
    const auto database = group.databases.find(request.database);
    if (database == group.databases.end()) {
        return free == 0;
    }
    // A caller may hold at most as many entries as are still free, so that one
    // caller fills at most half of the queue.
    const auto share = std::max<std::size_t>(
        options_.queue_length * options_.caller_percent / 100, 1);
    const auto caller = database->second.callers.find(request.caller);
    return caller == database->second.callers.end()
               ? free == 0
               : caller->second.waiting.size() >= std::min(free, share);
}

auto admission_queue::refusal(time_point now,
                              const waiting_statement& statement)
    -> std::optional<request_error>
{
    const auto& request = statement.request;
    if (request.pin) {
        // Transactions wait for one statement each and hold locks, so only
        // their deadline counts.
        if (transactions_.contains(*request.pin)) {
            return std::nullopt;
        }
        return make_error(sqlstate::cannot_connect_now,
                          "the transaction is not open at this proxy", {});
    }
    if (!is_admitting_) {
        return make_error(sqlstate::cannot_connect_now,
                          "the proxy is shutting down",
                          options_.min_retry_hint);
    }
    const auto wait =
        scale(statement.estimated_wait, wait_factor(now, statement.index));
    if (is_queue_full(request, statement.index)) {
        return make_error(sqlstate::too_many_connections,
                          "the queue of the target is full", wait);
    }
    if (options_.use_deadlines && now + wait > statement.latest_start) {
        return make_error(sqlstate::too_many_connections,
                          "the target cannot answer before the deadline", wait);
    }
    return std::nullopt;
}

auto admission_queue::make_error(std::string_view code,
                                 std::string_view message, duration wait)
    -> request_error
{
    auto error = request_error{verdict::not_run, std::string(code),
                               std::string(message), duration{}};
    if (wait <= duration{}) {
        return error;
    }
    const auto base =
        std::clamp(wait, options_.min_retry_hint, options_.max_retry_hint);
    const auto spread =
        options_.random
            ? options_.random() % static_cast<std::uint64_t>(base.count())
            : std::uint64_t{0};
    error.retry_after = base + duration(static_cast<duration::rep>(spread));
    return error;
}

} // namespace rhubarbrun::inline v1
