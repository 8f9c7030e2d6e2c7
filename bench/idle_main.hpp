#ifndef RHUBARBRUN_BENCH_IDLE_MAIN_HPP
#define RHUBARBRUN_BENCH_IDLE_MAIN_HPP

/// Sub-command `idle`: opens sessions through one proxy, prints how many are
/// open, and keeps them until its standard input ends. Returns the exit code.
auto run_idle(int argument_count, char** arguments) -> int;

#endif
