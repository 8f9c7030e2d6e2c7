#include <rhubarbrun/coordination/admission.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Fewer slots cannot be divided into shares for long statements and for
/// statements of unknown length.
constexpr auto min_slots_for_shares = 3U;

constexpr auto long_slots_divisor = 3U;

} // namespace

auto admission_queue::usable_slots() const noexcept -> std::uint32_t
{
    const auto extra =
        options_.fault == admission_fault::one_slot_too_many ? 1U : 0U;
    return limits_.slots -
           std::min(limits_.slots, limits_.previous_owner_running) + extra;
}

auto admission_queue::usable_connections() const noexcept -> std::uint32_t
{
    const auto extra =
        options_.fault == admission_fault::one_connection_too_many ? 1U : 0U;
    // The previous owner left `reserved_connections` unused, so at least these
    // are free at a takeover.
    const auto taken = std::max(limits_.reserved_connections,
                                limits_.previous_owner_connections);
    return limits_.connections - std::min(limits_.connections, taken) + extra;
}

auto admission_queue::connections_in_use() const noexcept -> std::uint32_t
{
    return single_connections_ +
           static_cast<std::uint32_t>(transactions_.size());
}

auto admission_queue::long_limit() const noexcept -> std::uint32_t
{
    if (limits_.long_slots != 0) {
        return limits_.long_slots;
    }
    return std::max(limits_.slots / long_slots_divisor, 1U);
}

auto admission_queue::may_start(const admission_request& request) const -> bool
{
    if (running_.size() >= usable_slots()) {
        return false;
    }
    if (request.pin) {
        // A transaction runs one statement at a time. The limit on long work
        // does not apply, as the transaction holds locks.
        const auto transaction = transactions_.find(*request.pin);
        return transaction != transactions_.end() && !transaction->second;
    }
    return has_connection_for(request) &&
           (!options_.use_priorities ||
            is_length_allowed(request.estimate.length));
}

auto admission_queue::has_connection_for(const admission_request& request) const
    -> bool
{
    const auto usable = usable_connections();
    if (connections_in_use() >= usable) {
        return false;
    }
    if (!request.opens_transaction) {
        return true;
    }
    // Transactions leave connections for single statements, which would
    // otherwise wait for callers that are idle in a transaction.
    const auto reserved = std::min(limits_.slots, usable / 2);
    return transactions_.size() + opening_transactions_ < usable - reserved;
}

auto admission_queue::start_kind(const admission_request& request) noexcept
    -> std::size_t
{
    return static_cast<std::size_t>(request.estimate.length) * 2 +
           (request.opens_transaction ? 1U : 0U);
}

auto admission_queue::has_startable(const class_queue& group) const -> bool
{
    auto request = admission_request{};
    for (const auto length :
         {statement_length::short_running, statement_length::unproven,
          statement_length::long_running})
    {
        for (const auto opens_transaction : {false, true}) {
            request.estimate.length = length;
            request.opens_transaction = opens_transaction;
            if (group.new_waiting.at(start_kind(request)) > 0 &&
                may_start(request)) {
                return true;
            }
        }
    }
    return false;
}

auto admission_queue::is_length_allowed(statement_length length) const -> bool
{
    const auto slots = usable_slots();
    const auto is_shared = slots >= min_slots_for_shares;
    const auto occupied = running_long_ + running_unproven_;
    switch (length) {
    case statement_length::short_running:
        return true;
    case statement_length::unproven: {
        const auto for_long = running_long_ + waiting_long_ > 0
                                  ? std::max(long_limit(), running_long_)
                                  : 0U;
        return !is_shared || running_unproven_ + for_long + 1 < slots;
    }
    case statement_length::long_running:
        return running_long_ < long_limit() &&
               (!is_shared || occupied + 1 < slots);
    }
    return true;
}

auto admission_queue::at(const queue_position& where) -> waiting_statement&
{
    auto& waiting =
        where.caller == nullptr ? where.group->pinned : where.caller->waiting;
    return waiting.at(where.offset);
}

auto admission_queue::first_startable(
    const std::deque<waiting_statement>& waiting) const
    -> std::optional<std::size_t>
{
    const auto found = std::find_if(
        waiting.begin(), waiting.end(),
        [this](const auto& statement) { return may_start(statement.request); });
    if (found == waiting.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(waiting.begin(), found));
}

auto admission_queue::pick() -> std::optional<queue_position>
{
    if (running_.size() >= usable_slots()) {
        return std::nullopt;
    }
    if (!options_.use_priorities) {
        return pick_oldest();
    }
    auto best = std::optional<queue_position>{};
    for (auto& group : classes_) {
        if (group.waiting == 0 || (best && best->group->used <= group.used)) {
            continue;
        }
        if (auto candidate = pick_in(group)) {
            best = candidate;
            if (options_.fault == admission_fault::strict_priority) {
                break;
            }
        }
    }
    return best;
}

auto admission_queue::pick_oldest() -> std::optional<queue_position>
{
    auto best = std::optional<queue_position>{};
    const auto consider =
        [&best](const std::optional<queue_position>& candidate) {
            if (candidate && (!best || at(*candidate).order < at(*best).order))
            {
                best = candidate;
            }
        };
    for (auto& group : classes_) {
        consider(pick_pinned(group));
        for (auto& [name, database] : group.databases) {
            for (auto& [key, caller] : database.callers) {
                if (const auto offset = first_startable(caller.waiting)) {
                    consider(
                        queue_position{&group, &database, &caller, *offset});
                }
            }
        }
    }
    return best;
}

auto admission_queue::pick_in(class_queue& group)
    -> std::optional<queue_position>
{
    const auto pinned = pick_pinned(group);
    if (pinned && group.pinned_served < options_.max_consecutive_pinned) {
        return pinned;
    }
    const auto fresh = pick_new(group);
    return fresh ? fresh : pinned;
}

auto admission_queue::pick_pinned(class_queue& group)
    -> std::optional<queue_position>
{
    const auto offset = first_startable(group.pinned);
    if (!offset) {
        return std::nullopt;
    }
    return queue_position{&group, nullptr, nullptr, *offset};
}

auto admission_queue::pick_new(class_queue& group)
    -> std::optional<queue_position>
{
    // This runs for every arrival and every tick, so a full queue must not be
    // searched if nothing may start.
    if (!has_startable(group)) {
        return std::nullopt;
    }
    auto best = std::optional<queue_position>{};
    for (auto& [name, database] : group.databases) {
        if (database.waiting == 0 ||
            (best && best->database->used <= database.used)) {
            continue;
        }
        if (auto candidate = pick_caller(group, database)) {
            best = candidate;
        }
    }
    return best;
}

auto admission_queue::pick_caller(class_queue& group, database_queue& database)
    -> std::optional<queue_position>
{
    auto best = std::optional<queue_position>{};
    for (auto& [key, caller] : database.callers) {
        if (best && best->caller->used <= caller.used) {
            continue;
        }
        if (const auto offset = first_startable(caller.waiting)) {
            best = queue_position{&group, &database, &caller, *offset};
        }
    }
    return best;
}

auto admission_queue::record_service(const queue_position& where) -> void
{
    last_served_usage_ = std::max(last_served_usage_, where.group->used);
    if (where.caller == nullptr) {
        ++where.group->pinned_served;
        return;
    }
    where.group->pinned_served = 0;
    where.group->last_served_usage =
        std::max(where.group->last_served_usage, where.database->used);
    where.database->last_served_usage =
        std::max(where.database->last_served_usage, where.caller->used);
}

auto admission_queue::enqueue(waiting_statement statement) -> void
{
    auto& group = classes_.at(statement.index);
    const auto& request = statement.request;
    const auto work = request.estimate.expected;
    if (group.waiting == 0) {
        group.used = std::max(group.used, last_served_usage_);
    }
    ++group.waiting;
    group.work += work;
    waiting_long_ +=
        request.estimate.length == statement_length::long_running ? 1U : 0U;
    earliest_refusal_ = std::min(earliest_refusal_, statement.latest_start);
    if (request.pin) {
        group.pinned.push_back(std::move(statement));
        return;
    }
    auto& database = group.databases[request.database];
    if (database.waiting == 0) {
        database.used = std::max(database.used, group.last_served_usage);
    }
    ++database.waiting;
    ++group.new_waiting.at(start_kind(request));
    auto& caller = database.callers[request.caller];
    if (caller.waiting.empty()) {
        caller.used = std::max(caller.used, database.last_served_usage);
    }
    caller.work += work;
    caller.waiting.push_back(std::move(statement));
}

auto admission_queue::remove_waiting(const queue_position& where)
    -> waiting_statement
{
    auto& waiting =
        where.caller == nullptr ? where.group->pinned : where.caller->waiting;
    auto statement = std::move(waiting.at(where.offset));
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(where.offset));
    const auto& estimate = statement.request.estimate;
    --where.group->waiting;
    where.group->work -= estimate.expected;
    waiting_long_ -=
        estimate.length == statement_length::long_running ? 1U : 0U;
    if (where.caller != nullptr) {
        --where.database->waiting;
        --where.group->new_waiting.at(start_kind(statement.request));
        where.caller->work -= estimate.expected;
    }
    return statement;
}

auto admission_queue::remove_waiting_if(const statement_filter& filter)
    -> std::vector<waiting_statement>
{
    auto taken = std::vector<waiting_statement>{};
    const auto take_from = [&](queue_position where,
                               const std::deque<waiting_statement>& waiting) {
        while (where.offset < waiting.size()) {
            if (filter(waiting.at(where.offset))) {
                taken.push_back(remove_waiting(where));
            } else {
                ++where.offset;
            }
        }
    };
    for (auto& group : classes_) {
        take_from(queue_position{&group, nullptr, nullptr, 0}, group.pinned);
        for (auto& [name, database] : group.databases) {
            for (auto& [key, caller] : database.callers) {
                take_from(queue_position{&group, &database, &caller, 0},
                          caller.waiting);
            }
        }
    }
    for (const auto& statement : taken) {
        if (!statement.request.pin) {
            erase_unused(classes_.at(statement.index),
                         statement.request.database, statement.request.caller);
        }
    }
    return taken;
}

auto admission_queue::erase_unused(class_queue& group,
                                   const std::string& database,
                                   const std::string& caller) -> void
{
    const auto found = group.databases.find(database);
    if (found == group.databases.end()) {
        return;
    }
    auto& callers = found->second.callers;
    const auto entry = callers.find(caller);
    if (entry != callers.end() && entry->second.waiting.empty() &&
        entry->second.running == 0)
    {
        callers.erase(entry);
    }
    if (callers.empty()) {
        group.databases.erase(found);
    }
}

auto admission_queue::charge(const running_statement& statement,
                             duration amount) -> void
{
    const auto micros = static_cast<double>(amount.count());
    auto& group = classes_.at(statement.index);
    group.used += micros / options_.weights.at(statement.index);
    if (!statement.counts_for_caller) {
        return;
    }
    auto& database = group.databases.at(statement.database);
    database.used += micros;
    database.callers.at(statement.caller).used += micros;
}

auto admission_queue::count_length(statement_length length, std::int32_t change)
    -> void
{
    const auto difference = static_cast<std::uint32_t>(change);
    if (length == statement_length::long_running) {
        running_long_ += difference;
    } else if (length == statement_length::unproven) {
        running_unproven_ += difference;
    }
}

} // namespace rhubarbrun::inline v1
