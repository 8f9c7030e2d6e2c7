#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_FUZZ_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_FUZZ_HPP

#include "scenario_runner.hpp"

// Random scenarios from a seed. The steps break processes, links and disks as
// the design page allows; at the end everything is repaired, and besides the
// standing invariants a write has to succeed.

namespace rhubarbrun::tests {

/// The random scenario of a seed.
[[nodiscard]] auto make_random_scenario(std::uint64_t seed) -> scenario;

/// Leaves out steps as long as the scenario still fails, with at most `runs`
/// runs; returns the shortest failing one.
[[nodiscard]] auto shrink(scenario failing, scenario_fault fault, int runs)
    -> scenario;

/// Seed, failures and steps, for a report.
[[nodiscard]] auto describe(const scenario& script,
                            const std::vector<std::string>& failures)
    -> std::string;

} // namespace rhubarbrun::tests

#endif
