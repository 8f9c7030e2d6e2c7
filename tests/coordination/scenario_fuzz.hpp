#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_FUZZ_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_FUZZ_HPP

#include "scenario_runner.hpp"

// Generates random scenarios from a seed. The steps inject faults into
// processes, links and disks as the design page allows. At the end all faults
// are repaired, and in addition to the standing invariants a write must
// succeed.

namespace rhubarbrun::tests {

/// Generates the random scenario of a seed.
[[nodiscard]] auto make_random_scenario(std::uint64_t seed) -> scenario;

/// Removes steps as long as the scenario still fails, with at most `runs`
/// runs; returns the shortest failing scenario.
[[nodiscard]] auto shrink(scenario failing, scenario_fault fault, int runs)
    -> scenario;

/// Formats the seed, the failures and the steps for a report.
[[nodiscard]] auto describe(const scenario& script,
                            const std::vector<std::string>& failures)
    -> std::string;

} // namespace rhubarbrun::tests

#endif
