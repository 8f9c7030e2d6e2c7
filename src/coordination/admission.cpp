#include <rhubarbrun/coordination/admission.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Look-ups that are known to be long are served in the class of reports.
auto class_index(const admission_request& request) noexcept -> std::size_t
{
    const auto is_long =
        request.estimate.length == statement_length::long_running;
    const auto priority = request.priority == work_class::lookup && is_long
                              ? work_class::report
                              : request.priority;
    return static_cast<std::size_t>(priority);
}

/// Time reserved for a statement before its deadline, as a multiple of its
/// mean. With a factor of 1, every second statement at the end of a full queue
/// misses its deadline, which costs a tenth of the goodput at four times
/// capacity.
constexpr auto deadline_reserve_factor = 3;

/// Latest time at which the statement must start to be answered in time.
/// At most half of the time left is reserved; otherwise a wrong estimate could
/// keep a statement from ever running and from being measured again.
auto latest_start(time_point now, const admission_request& request,
                  duration max_wait) -> time_point
{
    const auto time_left = std::max(request.deadline - now, duration{});
    const auto by_deadline =
        request.deadline -
        std::min(deadline_reserve_factor * request.estimate.expected,
                 time_left / 2);
    const auto is_bounded = !request.pin && max_wait < time_left;
    return is_bounded ? std::min(by_deadline, now + max_wait) : by_deadline;
}

} // namespace

admission_queue::admission_queue(admission_limits limits,
                                 admission_options options)
    : limits_(limits), options_(std::move(options))
{
}

auto admission_queue::offer(time_point now, admission_request request)
    -> admission_result
{
    mark_overruns(now);
    refuse_late(now);
    apply_known_overrun(now, request);
    auto statement = waiting_statement{};
    statement.index = class_index(request);
    statement.order = ++arrivals_;
    statement.since = now;
    statement.latest_start = latest_start(now, request, options_.max_wait);
    statement.request = std::move(request);
    statement.estimated_wait = expected_wait(now, statement);
    if (auto error = refusal(now, statement)) {
        ++refused_count_;
        return *std::move(error);
    }
    const auto ticket = statement.request.ticket;
    enqueue(std::move(statement));
    const auto next = pick();
    if (next && at(*next).request.ticket == ticket) {
        start_at(now, *next);
        return admitted_now{};
    }
    return queued{};
}

auto admission_queue::start_next(time_point now)
    -> std::optional<admission_ticket>
{
    mark_overruns(now);
    refuse_late(now);
    const auto next = pick();
    if (!next) {
        return std::nullopt;
    }
    return start_at(now, *next);
}

auto admission_queue::start_at(time_point now, const queue_position& where)
    -> admission_ticket
{
    record_service(where);
    auto statement = remove_waiting(where);
    update_wait_factor(now, statement);
    auto& request = statement.request;
    auto running = running_statement{};
    running.index = statement.index;
    running.caller = std::move(request.caller);
    running.database = std::move(request.database);
    running.shape = std::move(request.shape);
    running.started = now;
    running.charged = request.estimate.expected;
    running.length = request.estimate.length;
    running.pin = request.pin;
    running.holds_connection = !request.pin;
    running.counts_for_caller = !request.pin;
    running.opens_transaction = request.opens_transaction && !request.pin;
    if (running.pin) {
        transactions_[*running.pin] = true;
    } else {
        ++single_connections_;
        opening_transactions_ += running.opens_transaction ? 1U : 0U;
        auto& database = classes_.at(running.index).databases[running.database];
        ++database.running;
        ++database.callers[running.caller].running;
    }
    count_length(running.length, 1);
    charge(running, running.charged);
    ++started_count_;
    running_.emplace(request.ticket, std::move(running));
    return request.ticket;
}

auto admission_queue::on_finished(time_point now, admission_ticket ticket,
                                  duration measured) -> void
{
    mark_overruns(now);
    const auto found = running_.find(ticket);
    if (found == running_.end()) {
        return;
    }
    const auto statement = std::move(found->second);
    running_.erase(found);
    count_length(statement.length, -1);
    charge(statement, measured - statement.charged);
    on_left_slot(statement);
    if (statement.length == statement_length::unproven) {
        update_waiting(statement.shape,
                       {statement_length::short_running, measured});
    }
}

auto admission_queue::on_left_slot(const running_statement& statement) -> void
{
    if (statement.holds_connection) {
        --single_connections_;
        opening_transactions_ -= statement.opens_transaction ? 1U : 0U;
    } else if (statement.pin) {
        const auto transaction = transactions_.find(*statement.pin);
        if (transaction != transactions_.end()) {
            transaction->second = false;
        }
    }
    if (!statement.counts_for_caller) {
        return;
    }
    auto& group = classes_.at(statement.index);
    auto& database = group.databases.at(statement.database);
    --database.running;
    --database.callers.at(statement.caller).running;
    erase_unused(group, statement.database, statement.caller);
}

auto admission_queue::on_transaction_opened(admission_ticket ticket, pin_id pin)
    -> void
{
    const auto found = running_.find(ticket);
    if (found == running_.end() || !found->second.holds_connection) {
        return;
    }
    auto& statement = found->second;
    statement.holds_connection = false;
    statement.pin = pin;
    --single_connections_;
    opening_transactions_ -= statement.opens_transaction ? 1U : 0U;
    transactions_.emplace(pin, true);
}

auto admission_queue::on_transaction_closed(pin_id pin) -> void
{
    const auto transaction = transactions_.find(pin);
    if (transaction == transactions_.end()) {
        return;
    }
    const auto is_running = transaction->second;
    transactions_.erase(transaction);
    if (is_running) {
        // The connection stays in use until the statement has finished.
        for (auto& [ticket, statement] : running_) {
            if (statement.pin == pin) {
                statement.pin.reset();
                statement.holds_connection = true;
                statement.opens_transaction = false;
                ++single_connections_;
            }
        }
    }
    for (const auto& statement :
         remove_waiting_if([pin](const auto& statement) {
             return statement.request.pin == pin;
         }))
    {
        ++refused_count_;
        refused_.push_back({statement.request.ticket,
                            make_error(sqlstate::cannot_connect_now,
                                       "the transaction has ended", {})});
    }
}

auto admission_queue::cancel(admission_ticket ticket) -> bool
{
    return !remove_waiting_if([ticket](const auto& statement) {
                return statement.request.ticket == ticket;
            }).empty();
}

auto admission_queue::expire(time_point now) -> std::vector<refused_statement>
{
    mark_overruns(now);
    refuse_late(now);
    return std::exchange(refused_, {});
}

auto admission_queue::next_deadline() const -> std::optional<time_point>
{
    if (!options_.use_deadlines || earliest_refusal_ == time_point::max()) {
        return std::nullopt;
    }
    return earliest_refusal_;
}

auto admission_queue::set_limits(admission_limits limits) -> void
{
    limits_ = limits;
}

auto admission_queue::set_options(admission_options options) -> void
{
    options_ = std::move(options);
}

auto admission_queue::stop_admitting() -> void
{
    is_admitting_ = false;
}

auto admission_queue::refuse_waiting(request_error error) -> void
{
    error.outcome = verdict::not_run;
    for (const auto& statement :
         remove_waiting_if([](const auto&) { return true; }))
    {
        ++refused_count_;
        refused_.push_back({statement.request.ticket, error});
    }
}

auto admission_queue::refuse_late(time_point now) -> void
{
    if (!options_.use_deadlines || now <= earliest_refusal_) {
        return;
    }
    const auto late = remove_waiting_if(
        [now](const auto& statement) { return statement.latest_start < now; });
    earliest_refusal_ = time_point::max();
    for (auto& group : classes_) {
        for (const auto& statement : group.pinned) {
            earliest_refusal_ =
                std::min(earliest_refusal_, statement.latest_start);
        }
        for (const auto& [name, database] : group.databases) {
            for (const auto& [key, caller] : database.callers) {
                for (const auto& statement : caller.waiting) {
                    earliest_refusal_ =
                        std::min(earliest_refusal_, statement.latest_start);
                }
            }
        }
    }
    if (options_.fault == admission_fault::forget_expired) {
        return;
    }
    for (const auto& statement : late) {
        update_wait_factor(now, statement);
        ++refused_count_;
        refused_.push_back(
            {statement.request.ticket,
             make_error(sqlstate::too_many_connections,
                        "the statement waited too long in the queue of the "
                        "target",
                        now - statement.since)});
    }
}

/// The classifier records a shape when its first run ends, so it still returns
/// `unproven` for a shape whose running statement exceeds the threshold.
auto admission_queue::apply_known_overrun(time_point now,
                                          admission_request& request) const
    -> void
{
    if (request.estimate.length != statement_length::unproven ||
        request.shape.empty())
    {
        return;
    }
    for (const auto& [ticket, statement] : running_) {
        if (statement.length == statement_length::long_running &&
            statement.shape == request.shape)
        {
            request.estimate = {
                statement_length::long_running,
                std::max(now - statement.started, options_.long_threshold)};
        }
    }
}

auto admission_queue::update_waiting(const std::string& shape,
                                     statement_estimate estimate) -> void
{
    if (shape.empty()) {
        return;
    }
    auto changed = remove_waiting_if([&shape](const auto& statement) {
        return statement.request.shape == shape &&
               statement.request.estimate.length == statement_length::unproven;
    });
    for (auto& statement : changed) {
        statement.request.estimate = estimate;
        statement.index = class_index(statement.request);
        enqueue(std::move(statement));
    }
}

auto admission_queue::mark_overruns(time_point now) -> void
{
    auto overruns = std::vector<std::string>{};
    for (auto& [ticket, statement] : running_) {
        if (statement.length != statement_length::long_running &&
            now - statement.started > options_.long_threshold)
        {
            if (statement.length == statement_length::unproven) {
                overruns.push_back(statement.shape);
            }
            count_length(statement.length, -1);
            statement.length = statement_length::long_running;
            count_length(statement.length, 1);
        }
    }
    for (const auto& shape : overruns) {
        update_waiting(
            shape, {statement_length::long_running, options_.long_threshold});
    }
}

auto admission_queue::load() const noexcept -> std::uint32_t
{
    auto count = running_.size();
    for (const auto& group : classes_) {
        count += group.waiting;
    }
    return static_cast<std::uint32_t>(count);
}

auto admission_queue::snapshot() const -> admission_snapshot
{
    auto result = admission_snapshot{};
    result.usable_slots = usable_slots();
    result.usable_connections = usable_connections();
    result.running = static_cast<std::uint32_t>(running_.size());
    result.running_long = running_long_;
    result.connections_in_use = connections_in_use();
    result.open_transactions = static_cast<std::uint32_t>(transactions_.size());
    for (auto index = std::size_t{0}; index < classes_.size(); ++index) {
        result.waiting.at(index) = classes_.at(index).waiting;
        result.expected_work.at(index) = classes_.at(index).work;
    }
    result.started = started_count_;
    result.refused = refused_count_;
    result.is_admitting = is_admitting_;
    return result;
}

} // namespace rhubarbrun::inline v1
