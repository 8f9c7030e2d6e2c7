#ifndef RHUBARBRUN_BENCH_EXPERIMENT_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_HPP

#include "experiment_deployment.hpp"
#include "experiment_report.hpp"

#include <cstdint>

namespace rhubarbrun::bench {

/// Sub-command `experiment [--name=NAME] [--seed=N] [--report=DIRECTORY]`.
///
/// Prints `name=value` for each figure; with `--report` also writes
/// measures.md, measures.json and the plots. Returns the exit code.
auto run_experiments(int count, char** arguments) -> int;

/// Share of reads served by replicas, and stale reads, which must not occur.
auto measure_replica_reads(const deployment& place, std::uint64_t seed,
                           report& results) -> void;

/// Order-entry goodput during a swing to 1, 2, 4 and 8 times capacity.
auto measure_crest(const deployment& place, std::uint64_t seed, report& results)
    -> void;

/// Latency of short reads next to reports.
auto measure_head_of_line(const deployment& place, std::uint64_t seed,
                          report& results) -> void;

/// One owner against slots leased to proxies and uncoordinated limits.
auto measure_slot_sharing(const deployment& place, std::uint64_t seed,
                          report& results) -> void;

/// Ways to choose a replica by load.
auto measure_load_classes(const deployment& place, std::uint64_t seed,
                          report& results) -> void;

/// Service time, new connections and refusals of sessions with and without
/// values.
auto measure_session_values(const deployment& place, std::uint64_t seed,
                            report& results) -> void;

/// Time without acknowledged writes after failures of the primary, its owner
/// and the control leader.
auto measure_write_gap(const deployment& place, std::uint64_t seed,
                       report& results) -> void;

} // namespace rhubarbrun::bench

#endif
