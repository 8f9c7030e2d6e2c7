#include <rhubarbrun/coordination/connection_budget.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);

auto make_options() -> connection_budget_options
{
    auto options = connection_budget_options{};
    options.limit = 70;
    options.slots = 5;
    return options;
}

/// Follows the plans for `length` with attempts of 12 ms; returns the time of
/// each attempt.
auto follow(connection_budget& budget, connection_use& use, time_point from,
            duration length, bool is_accepting) -> std::vector<time_point>
{
    auto attempts = std::vector<time_point>{};
    auto due = std::vector<time_point>{};
    for (auto now = from; now < from + length; now += 1ms) {
        while (!due.empty() && due.front() <= now) {
            due.erase(due.begin());
            --use.opening;
            if (is_accepting) {
                ++use.open;
                budget.on_opened(now);
            } else {
                budget.on_open_failed(now);
            }
        }
        const auto plan = budget.plan(now, use);
        use.open -= plan.close_idle;
        for (auto count = plan.open; count > 0; --count) {
            ++use.opening;
            due.push_back(now + 12ms);
            attempts.push_back(now);
        }
    }
    return attempts;
}

} // namespace

TEST_CASE("connections are ready before they are needed")
{
    auto budget = connection_budget(make_options());
    auto use = connection_use{};
    use.in_use = 0;
    follow(budget, use, start, 100ms, true);
    CHECK(use.open == 5);
    use.in_use = 5;
    follow(budget, use, start + 100ms, 100ms, true);
    CHECK(use.open == 10);
}

TEST_CASE("the reserved connections are never opened")
{
    CHECK(default_reserved_connections(70, 5) == 8);
    CHECK(default_reserved_connections(90, 3) == 11);
    CHECK(default_reserved_connections(4, 5) == 2);
    auto budget = connection_budget(make_options());
    auto use = connection_use{};
    use.waiting = 1'000;
    follow(budget, use, start, 2s, true);
    CHECK(use.open == 62);
    CHECK(budget.usable(62) == 8);
}

TEST_CASE("owners back off from a target that refuses connections")
{
    auto total_at = std::vector<time_point>{};
    for (auto owner = 0U; owner < 18; ++owner) {
        auto random = std::mt19937_64(owner);
        auto options = make_options();
        options.random = [&random] {
            return random();
        };
        auto budget = connection_budget(options);
        auto use = connection_use{};
        use.waiting = 50;
        const auto attempts = follow(budget, use, start, 10s, false);
        CHECK(attempts.size() <= 12);
        CHECK(attempts.size() >= 4);
        total_at.insert(total_at.end(), attempts.begin() + 2, attempts.end());
    }
    // Later attempts of different owners have different delays.
    std::sort(total_at.begin(), total_at.end());
    auto most = std::ptrdiff_t{0};
    for (auto at = start; at < start + 10s; at += 20ms) {
        most = std::max(
            most,
            std::lower_bound(total_at.begin(), total_at.end(), at + 20ms) -
                std::lower_bound(total_at.begin(), total_at.end(), at));
    }
    CHECK(most <= 9);
}

TEST_CASE("after a loss one connection is tried before the others")
{
    auto budget = connection_budget(make_options());
    auto use = connection_use{};
    use.in_use = 20;
    use.open = 20;
    budget.on_opened(start);
    CHECK(budget.plan(start, use).open == 4);
    budget.on_lost(start);
    CHECK(budget.plan(start, use).open == 1);
    budget.on_opened(start);
    CHECK(budget.plan(start, use).open == 4);
}

TEST_CASE("idle connections are closed only after the peak expires")
{
    auto budget = connection_budget(make_options());
    auto use = connection_use{};
    use.in_use = 30;
    follow(budget, use, start, 1s, true);
    CHECK(use.open == 35);
    use.in_use = 2;
    follow(budget, use, start + 1s, 20s, true);
    CHECK(use.open == 35);
    follow(budget, use, start + 21s, 60s, true);
    CHECK(use.open == 7);
}

TEST_CASE("the number of reserved connections can be set and changed")
{
    auto budget = connection_budget(make_options());
    auto use = connection_use{};
    use.waiting = 1'000;
    budget.set_limits(40, 5, 10);
    follow(budget, use, start, 2s, true);
    CHECK(use.open == 30);
    budget.set_limits(40, 5, 30);
    CHECK(budget.plan(start + 2s, use).close_idle == 20);
}
