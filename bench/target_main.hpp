#ifndef RHUBARBRUN_BENCH_TARGET_MAIN_HPP
#define RHUBARBRUN_BENCH_TARGET_MAIN_HPP

/// Sub-command `target`: runs one stand-in database server until SIGTERM.
/// Returns the exit code.
auto run_target(int argument_count, char** arguments) -> int;

#endif
