#ifndef RHUBARBRUN_BENCH_COST_MAIN_HPP
#define RHUBARBRUN_BENCH_COST_MAIN_HPP

/// Sub-command `cost --decision=NAME --size=N --count=N`: sets a decision up
/// for N waiting statements, replicas, proxies, groups or floors, and runs it
/// `count` times. `scripts/decision-costs` counts the instructions.
///
/// `--decision=list` prints the decisions and the sizes to measure. Returns the
/// exit code.
auto run_cost(int count, char** arguments) -> int;

#endif
