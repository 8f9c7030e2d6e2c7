#ifndef RHUBARBRUN_BENCH_EXPERIMENT_GAP_PLOT_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_GAP_PLOT_HPP

#include <ostream>
#include <string>
#include <vector>

namespace rhubarbrun::bench {

/// The write gaps that one failure caused under one policy, ascending.
struct gap_distribution
{
    std::string deployment;
    std::string failure;
    std::string policy;
    std::vector<double> gaps_ms;
};

/// Value that a share of the distribution does not exceed (nearest rank);
/// throws `std::invalid_argument` if the distribution is empty.
[[nodiscard]] auto quantile(const std::vector<double>& ascending, double share)
    -> double;

/// Plots each gap, the median and the objectives; one panel per deployment,
/// one row per failure and policy.
auto write_gap_plot(std::ostream& out,
                    const std::vector<gap_distribution>& distributions) -> void;

} // namespace rhubarbrun::bench

#endif
