#include "scenario_fuzz.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

constexpr auto max_shrink_runs = 400;
// A random scenario takes 0.2 s in an optimised build and 4 s in a debug build
// with sanitizers.
#ifdef NDEBUG
constexpr auto fixed_seeds = std::uint64_t{6};
#else
constexpr auto fixed_seeds = std::uint64_t{1};
#endif

/// Returns a report of the first seed that fails, or an empty string.
auto find_failing_seed(std::uint64_t first, std::uint64_t count,
                       scenario_fault fault) -> std::string
{
    for (auto seed = first; seed < first + count; ++seed) {
        const auto script = make_random_scenario(seed);
        if (!run_scenario(script, fault).empty()) {
            const auto shortest = shrink(script, fault, max_shrink_runs);
            return describe(shortest, run_scenario(shortest, fault));
        }
    }
    return "";
}

auto number_from_environment(const char* name, std::uint64_t otherwise)
    -> std::uint64_t
{
    const auto* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

} // namespace

TEST_CASE("scenario fuzz: invariants hold in random scenarios of fixed seeds")
{
    CHECK(find_failing_seed(1, fixed_seeds, scenario_fault::none) == "");
}

// Takes over a minute in a debug build with sanitizers.
#ifdef NDEBUG
TEST_CASE("scenario fuzz: an injected fault is found and its scenario shrunk")
{
    auto found = false;
    for (auto seed = std::uint64_t{1}; seed <= 30 && !found; ++seed) {
        const auto script = make_random_scenario(seed);
        const auto fault = scenario_fault::skip_floor_check;
        if (!run_scenario(script, fault).empty()) {
            found = true;
            const auto shortest = shrink(script, fault, 40);
            CHECK(shortest.steps.size() < script.steps.size());
            CHECK(!run_scenario(shortest, fault).empty());
        }
    }
    CHECK(found);
}
#endif

// Run by scripts/fuzz.
TEST_CASE("scenario fuzz: long run" * doctest::skip())
{
    const auto count = number_from_environment("RHUBARBRUN_FUZZ_COUNT", 100);
    const auto first = number_from_environment("RHUBARBRUN_FUZZ_SEED", 1);
    std::cout << count << " runs from seed " << first << '\n';
    const auto report = find_failing_seed(first, count, scenario_fault::none);
    std::cout << report;
    CHECK(report == "");
}
