#include <rhubarbrun/coordination/retry_budget.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;

TEST_CASE("retries stay within a tenth of first attempts under lasting failure")
{
    auto budget = retry_budget{};
    auto retries = 0;
    constexpr auto attempts = 10'000;
    for (auto attempt = 0; attempt < attempts; ++attempt) {
        budget.on_first_attempt();
        while (budget.try_take()) {
            ++retries;
        }
    }
    CHECK(retries <= attempts / 10 + retry_budget::max_saved_retries);
    CHECK(retries >= attempts / 10);
}
