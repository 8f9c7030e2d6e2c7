#ifndef RHUBARBRUN_BENCH_LOAD_MAIN_HPP
#define RHUBARBRUN_BENCH_LOAD_MAIN_HPP

/// Sub-command `load`: runs sessions through proxies, or with `--mode=check`
/// compares what they recorded with the table at the primary. Returns the exit
/// code.
auto run_load(int argument_count, char** arguments) -> int;

#endif
