#include <rhubarbrun/coordination/admission.hpp>

#include <doctest/doctest.h>

#include <map>
#include <numeric>
#include <random>
#include <set>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);
constexpr auto limits = admission_limits{3, 12, 3, 0, 0, 0};

auto make_request(std::uint64_t ticket,
                  work_class priority = work_class::order_entry,
                  statement_length length = statement_length::short_running,
                  duration expected = 10ms) -> admission_request
{
    auto request = admission_request{};
    request.ticket = admission_ticket(ticket);
    request.priority = priority;
    request.estimate = {length, expected};
    request.caller = "office";
    request.database = "orders";
    request.deadline = start + 1s;
    return request;
}

auto is_admitted(const admission_result& result) -> bool
{
    return std::holds_alternative<admitted_now>(result);
}

auto is_queued(const admission_result& result) -> bool
{
    return std::holds_alternative<queued>(result);
}

auto error_of(const admission_result& result) -> request_error
{
    REQUIRE(std::holds_alternative<request_error>(result));
    return std::get<request_error>(result);
}

/// A queue whose slots are all used by the tickets from 1 on.
auto busy_queue(admission_options options = {}) -> admission_queue
{
    auto queue = admission_queue(limits, std::move(options));
    for (auto ticket = std::uint64_t{1}; ticket <= limits.slots; ++ticket) {
        REQUIRE(is_admitted(queue.offer(start, make_request(ticket))));
    }
    return queue;
}

/// Keeps all classes, callers and databases backlogged and returns each key's
/// share of the slot time.
auto saturated_shares(admission_options options,
                      const std::vector<admission_request>& kinds)
    -> std::vector<double>
{
    options.use_deadlines = false;
    auto queue = admission_queue(limits, std::move(options));
    auto kind_of = std::map<admission_ticket, std::size_t>{};
    auto ticket = admission_ticket(0);
    auto now = start;
    auto used = std::vector<double>(kinds.size());
    auto running = std::multimap<time_point, admission_ticket>{};
    const auto offer = [&](std::size_t kind) {
        ticket = ticket.next();
        auto request = kinds.at(kind);
        request.ticket = ticket;
        kind_of.emplace(ticket, kind);
        const auto cost = request.estimate.expected;
        if (is_admitted(queue.offer(now, std::move(request)))) {
            running.emplace(now + cost, ticket);
        }
    };
    for (auto round = 0; round < 10; ++round) {
        for (auto kind = std::size_t{0}; kind < kinds.size(); ++kind) {
            offer(kind);
        }
    }
    auto total = 0.0;
    for (auto finished = 0; finished < 5'000; ++finished) {
        while (const auto next = queue.start_next(now)) {
            const auto cost = kinds.at(kind_of.at(*next)).estimate.expected;
            running.emplace(now + cost, *next);
        }
        const auto done = *running.begin();
        running.erase(running.begin());
        now = done.first;
        const auto kind = kind_of.at(done.second);
        const auto cost = kinds.at(kind).estimate.expected;
        queue.on_finished(now, done.second, cost);
        used.at(kind) += static_cast<double>(cost.count());
        total += static_cast<double>(cost.count());
        offer(kind);
    }
    for (auto& share : used) {
        share /= total;
    }
    return used;
}

auto class_kinds() -> std::vector<admission_request>
{
    return {make_request(0, work_class::order_entry),
            make_request(0, work_class::lookup),
            make_request(0, work_class::report, statement_length::long_running,
                         100ms)};
}

} // namespace

TEST_CASE("a statement waits while every slot is taken")
{
    auto queue = busy_queue();
    CHECK(is_queued(queue.offer(start, make_request(4))));
    CHECK_FALSE(queue.start_next(start));
    queue.on_finished(start + 1ms, admission_ticket(2), 1ms);
    CHECK(queue.start_next(start + 1ms) == admission_ticket(4));
    CHECK_FALSE(queue.start_next(start + 1ms));
}

TEST_CASE("an idle transaction holds a connection but no slot")
{
    auto queue = busy_queue();
    queue.on_transaction_opened(admission_ticket(1), pin_id(7));
    queue.on_finished(start, admission_ticket(1), 1ms);
    CHECK(queue.snapshot().connections_in_use == 3);
    CHECK(is_admitted(queue.offer(start, make_request(4))));
    auto within = make_request(5);
    within.pin = pin_id(7);
    CHECK(is_queued(queue.offer(start, within)));
    CHECK(is_queued(queue.offer(start, make_request(6))));
}

TEST_CASE("idle transactions leave connections for single statements")
{
    auto queue = admission_queue(limits);
    auto opened = 0U;
    for (auto ticket = std::uint64_t{1}; ticket <= 12; ++ticket) {
        auto request = make_request(ticket);
        request.opens_transaction = true;
        if (!is_admitted(queue.offer(start, request))) {
            break;
        }
        queue.on_transaction_opened(admission_ticket(ticket), pin_id(ticket));
        queue.on_finished(start, admission_ticket(ticket), 1ms);
        ++opened;
    }
    CHECK(opened == 6);
    CHECK(is_admitted(queue.offer(start, make_request(20))));
}

TEST_CASE("a transaction's statement goes first, but does not starve new work")
{
    auto options = admission_options{};
    options.max_consecutive_pinned = 2;
    auto queue = busy_queue(options);
    for (auto pin = std::uint64_t{1}; pin <= 3; ++pin) {
        queue.on_transaction_opened(admission_ticket(pin), pin_id(pin));
    }
    REQUIRE(is_queued(queue.offer(start, make_request(10))));
    for (auto pin = std::uint64_t{1}; pin <= 3; ++pin) {
        auto within = make_request(10 + pin);
        within.pin = pin_id(pin);
        REQUIRE(is_queued(queue.offer(start, within)));
    }
    auto order = std::vector<std::uint64_t>{};
    for (auto pin = std::uint64_t{1}; pin <= 3; ++pin) {
        queue.on_finished(start, admission_ticket(pin), 1ms);
    }
    while (const auto next = queue.start_next(start)) {
        order.push_back(next->value());
    }
    CHECK(order == std::vector<std::uint64_t>{11, 12, 10});
}

TEST_CASE("statements of one transaction run one at a time")
{
    auto queue = admission_queue(limits);
    REQUIRE(is_admitted(queue.offer(start, make_request(1))));
    queue.on_transaction_opened(admission_ticket(1), pin_id(1));
    auto within = make_request(2);
    within.pin = pin_id(1);
    CHECK(is_queued(queue.offer(start, within)));
    queue.on_finished(start, admission_ticket(1), 1ms);
    CHECK(queue.start_next(start) == admission_ticket(2));
}

TEST_CASE("a statement of a closed transaction is refused, not forgotten")
{
    auto queue = admission_queue(limits);
    REQUIRE(is_admitted(queue.offer(start, make_request(1))));
    queue.on_transaction_opened(admission_ticket(1), pin_id(1));
    auto within = make_request(2);
    within.pin = pin_id(1);
    REQUIRE(is_queued(queue.offer(start, within)));
    queue.on_transaction_closed(pin_id(1));
    const auto refused = queue.expire(start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().ticket == admission_ticket(2));
    CHECK(refused.front().error.outcome == verdict::not_run);
    within.ticket = admission_ticket(3);
    CHECK(error_of(queue.offer(start, within)).outcome == verdict::not_run);
    CHECK(queue.snapshot().connections_in_use == 1);
    queue.on_finished(start, admission_ticket(1), 1ms);
    CHECK(queue.snapshot().connections_in_use == 0);
}

TEST_CASE("work that cannot meet its deadline is refused at once with a hint")
{
    auto random = std::mt19937_64(1);
    auto options = admission_options{};
    options.random = [&random] {
        return random();
    };
    auto queue = busy_queue(options);
    auto hints = std::set<duration>{};
    auto accepted = 0;
    for (auto ticket = std::uint64_t{10}; ticket < 110; ++ticket) {
        auto request = make_request(ticket);
        request.caller = std::to_string(ticket);
        request.deadline = start + 100ms;
        const auto result = queue.offer(start, request);
        if (is_queued(result)) {
            ++accepted;
            continue;
        }
        const auto error = error_of(result);
        CHECK(error.outcome == verdict::not_run);
        CHECK(error.code == sqlstate::too_many_connections);
        CHECK(error.retry_after >= options.min_retry_hint);
        hints.insert(error.retry_after);
    }
    // 100 ms, less a reserve of three times the mean, hold seven statements of
    // 10 ms in each of three slots, of which the first are running.
    CHECK(accepted >= 18);
    CHECK(accepted <= 21);
    // Callers with the same hint would retry at the same time.
    CHECK(hints.size() > 60);
}

TEST_CASE("a full queue refuses, and one caller takes at most half of it")
{
    auto options = admission_options{};
    options.queue_length = 20;
    auto queue = busy_queue(options);
    auto accepted = 0;
    for (auto ticket = std::uint64_t{10}; ticket < 40; ++ticket) {
        accepted +=
            is_queued(queue.offer(start, make_request(ticket, {}, {}, 1ms)))
                ? 1
                : 0;
    }
    CHECK(accepted == 10);
    auto other = make_request(50, {}, {}, 1ms);
    other.caller = "driver";
    CHECK(is_queued(queue.offer(start, other)));
}

TEST_CASE("work whose deadline passes in the queue is refused as not run")
{
    auto queue = busy_queue();
    REQUIRE(is_queued(queue.offer(start, make_request(4))));
    CHECK(queue.expire(start + 900ms).empty());
    REQUIRE(queue.next_deadline().has_value());
    CHECK(*queue.next_deadline() <= start + 1s);
    queue.on_finished(start + 2s, admission_ticket(1), 2s);
    CHECK_FALSE(queue.start_next(start + 2s));
    const auto refused = queue.expire(start + 2s);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().error.outcome == verdict::not_run);
    CHECK(queue.expire(start + 2s).empty());
}

TEST_CASE("an estimate beyond the deadline does not exclude a shape forever")
{
    auto queue = admission_queue(limits);
    CHECK(is_admitted(queue.offer(
        start, make_request(1, work_class::lookup,
                            statement_length::short_running, 10s))));
}

/// Whether each class got at least nine tenths of its configured share.
auto is_no_class_starved(const std::vector<double>& shares) -> bool
{
    const auto weights = admission_options{}.weights;
    const auto sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    auto result = true;
    for (auto index = std::size_t{0}; index < weights.size(); ++index) {
        const auto configured = weights.at(index) / sum;
        result = result && shares.at(index) >= 0.9 * configured;
    }
    return result;
}

TEST_CASE("order entry goes first, and no class starves")
{
    const auto shares = saturated_shares({}, class_kinds());
    CHECK(shares.at(0) > 0.95);
    CHECK(is_no_class_starved(shares));
}

TEST_CASE("the share check detects strict priority")
{
    auto options = admission_options{};
    options.fault = admission_fault::strict_priority;
    CHECK_FALSE(is_no_class_starved(saturated_shares(options, class_kinds())));
}

TEST_CASE("neither a caller nor a database takes all slot time")
{
    auto kinds = std::vector<admission_request>(4, make_request(0));
    kinds.at(1).caller = "driver";
    kinds.at(2).caller = "driver";
    kinds.at(2).estimate.expected = 40ms;
    kinds.at(3).database = "depots";
    kinds.at(3).caller = "driver";
    const auto shares = saturated_shares({}, kinds);
    // Half for each database, and in "orders" half for each caller.
    CHECK(shares.at(3) == doctest::Approx(0.5).epsilon(0.05));
    CHECK(shares.at(0) == doctest::Approx(0.25).epsilon(0.05));
    CHECK(shares.at(1) + shares.at(2) == doctest::Approx(0.25).epsilon(0.05));
}

TEST_CASE("long work never holds all slots, and is not kept out by short work")
{
    auto queue = admission_queue(limits);
    const auto offer_long = [&](std::uint64_t ticket) {
        return queue.offer(start, make_request(ticket, work_class::lookup,
                                               statement_length::long_running));
    };
    CHECK(is_admitted(offer_long(1)));
    CHECK(is_queued(offer_long(2)));
    CHECK(is_admitted(queue.offer(start, make_request(3))));
    CHECK(is_admitted(queue.offer(start, make_request(4))));
    CHECK(is_queued(queue.offer(start, make_request(5))));
    queue.on_finished(start, admission_ticket(1), 1s);
    queue.on_finished(start, admission_ticket(3), 1ms);
    auto started = std::set<std::uint64_t>{};
    while (const auto next = queue.start_next(start)) {
        started.insert(next->value());
    }
    CHECK(started == std::set<std::uint64_t>{2, 5});
}

TEST_CASE("unproven shapes leave a slot free and one for long work")
{
    auto queue = admission_queue(limits);
    const auto offer = [&](std::uint64_t ticket, statement_length length) {
        return queue.offer(start,
                           make_request(ticket, work_class::lookup, length));
    };
    CHECK(is_admitted(offer(1, statement_length::unproven)));
    CHECK(is_admitted(offer(2, statement_length::unproven)));
    CHECK(is_queued(offer(3, statement_length::unproven)));
    CHECK(is_queued(offer(4, statement_length::long_running)));
    CHECK(is_admitted(offer(5, statement_length::short_running)));
    queue.on_finished(start, admission_ticket(1), 1ms);
    CHECK(queue.start_next(start) == admission_ticket(4));
    CHECK_FALSE(queue.start_next(start));
}

TEST_CASE("a running statement past the threshold counts as long")
{
    auto queue = admission_queue(limits);
    REQUIRE(is_admitted(queue.offer(start, make_request(1))));
    CHECK(is_queued(queue.offer(
        start + 200ms,
        make_request(2, work_class::lookup, statement_length::long_running))));
    CHECK(queue.snapshot().running_long == 1);
}

TEST_CASE("waiting statements get the measured length of their shape")
{
    auto queue = admission_queue(limits);
    const auto offer = [&](std::uint64_t ticket, time_point now) {
        auto request = make_request(ticket, work_class::lookup,
                                    statement_length::unproven);
        request.shape = "report";
        request.deadline = start + 1min;
        return queue.offer(now, request);
    };
    REQUIRE(is_admitted(offer(1, start)));
    REQUIRE(is_admitted(offer(2, start)));
    REQUIRE(is_queued(offer(3, start)));
    // Both overran; neither the one that waits nor a new one may join them.
    CHECK(queue.expire(start + 200ms).empty());
    CHECK(is_queued(offer(4, start + 200ms)));
    queue.on_finished(start + 1s, admission_ticket(1), 1s);
    CHECK_FALSE(queue.start_next(start + 1s));
    CHECK(queue.snapshot().waiting.at(2) == 2);
    queue.on_finished(start + 2s, admission_ticket(2), 2s);
    CHECK(queue.start_next(start + 2s) == admission_ticket(3));
    CHECK_FALSE(queue.start_next(start + 2s));
}

TEST_CASE("a cancelled statement is not started")
{
    auto queue = busy_queue();
    REQUIRE(is_queued(queue.offer(start, make_request(4))));
    CHECK(queue.cancel(admission_ticket(4)));
    CHECK_FALSE(queue.cancel(admission_ticket(1)));
    queue.on_finished(start, admission_ticket(1), 1ms);
    CHECK_FALSE(queue.start_next(start));
}

TEST_CASE("a drain refuses new work but serves waiting statements")
{
    auto queue = busy_queue();
    queue.on_transaction_opened(admission_ticket(1), pin_id(1));
    REQUIRE(is_queued(queue.offer(start, make_request(4))));
    queue.stop_admitting();
    const auto error = error_of(queue.offer(start, make_request(5)));
    CHECK(error.code == sqlstate::cannot_connect_now);
    auto within = make_request(6);
    within.pin = pin_id(1);
    CHECK(is_queued(queue.offer(start, within)));
    queue.on_finished(start, admission_ticket(2), 1ms);
    CHECK(queue.start_next(start) == admission_ticket(4));
}

TEST_CASE("a lost lease refuses waiting statements and keeps running ones")
{
    auto queue = busy_queue();
    REQUIRE(is_queued(queue.offer(start, make_request(4))));
    queue.refuse_waiting({verdict::may_have_run, "57P03", "lost", {}});
    const auto refused = queue.expire(start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().error.outcome == verdict::not_run);
    CHECK(queue.load() == 3);
}

TEST_CASE("a takeover uses only what the previous owner left")
{
    auto takeover = limits;
    takeover.previous_owner_connections = 10;
    takeover.previous_owner_running = 2;
    auto queue = admission_queue(takeover);
    CHECK(queue.snapshot().usable_connections == 2);
    CHECK(is_admitted(queue.offer(start, make_request(1))));
    CHECK(is_queued(queue.offer(start, make_request(2))));
    queue.set_limits(limits);
    CHECK(queue.snapshot().usable_connections == 9);
    CHECK(queue.start_next(start) == admission_ticket(2));
}

TEST_CASE("one caller fills at most its share of the queue")
{
    auto options = admission_options{};
    options.queue_length = 20;
    options.caller_percent = 25;
    auto queue = busy_queue(options);
    const auto offer_many = [&queue](std::uint64_t first) {
        auto accepted = 0;
        for (auto ticket = first; ticket < first + 20; ++ticket) {
            const auto result =
                queue.offer(start, make_request(ticket, {}, {}, 1ms));
            accepted += is_queued(result) ? 1 : 0;
        }
        return accepted;
    };
    CHECK(offer_many(10) == 5);
    options.caller_percent = 40;
    queue.set_options(options);
    CHECK(offer_many(50) == 3);
}

TEST_CASE("a statement waits no longer than the limit of the queue")
{
    auto options = admission_options{};
    options.max_wait = 200ms;
    auto queue = busy_queue(options);
    REQUIRE(is_queued(queue.offer(start, make_request(4))));
    CHECK(queue.expire(start + 200ms).empty());
    const auto refused = queue.expire(start + 201ms);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.outcome == verdict::not_run);
}

TEST_CASE("the limit of the queue does not end waiting transactions")
{
    // Transactions hold locks that other statements wait for.
    auto options = admission_options{};
    options.max_wait = 200ms;
    auto queue = busy_queue(options);
    queue.on_transaction_opened(admission_ticket(1), pin_id(1));
    queue.on_finished(start, admission_ticket(1), 10ms);
    REQUIRE(is_admitted(queue.offer(start, make_request(4))));
    auto request = make_request(5);
    request.pin = pin_id(1);
    REQUIRE(is_queued(queue.offer(start, request)));
    CHECK(queue.expire(start + 500ms).empty());
}
