#ifndef RHUBARBRUN_BENCH_EXPERIMENT_REPORT_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_REPORT_HPP

#include "experiment_gap_plot.hpp"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::bench {

/// One measured figure with the baseline of the same run.
struct figure
{
    std::string deployment;
    std::string name;
    double value = 0;
    /// Name of the policy that the value is compared with, and its value.
    std::string baseline_name;
    std::optional<double> baseline;
    /// Objective, such as `>= 0.95`; empty if none is set.
    std::string target;
};

/// A point of the plot of goodput against demand.
struct goodput_point
{
    std::string deployment;
    std::string policy;
    double demand = 0;
    double goodput = 0;
};

/// Collects the figures of a run and writes them.
class report
{
public:
    explicit report(std::uint64_t seed) : seed_(seed) {}

    auto add(figure result) -> void;
    auto add(goodput_point point) -> void;
    auto add(gap_distribution distribution) -> void;

    /// One line `deployment.name=value` for each figure, followed by
    /// `deployment.name.baseline_name=value`.
    auto print(std::ostream& out) const -> void;

    /// Writes measures.md, measures.json and, if there are points for them,
    /// goodput.svg and write_gap.svg; throws `std::runtime_error` if a file
    /// cannot be written.
    auto write(const std::string& directory) const -> void;

private:
    auto write_markdown(std::ostream& out) const -> void;
    auto write_json(std::ostream& out) const -> void;
    auto write_plot(std::ostream& out) const -> void;
    auto write_gaps(std::ostream& out) const -> void;
    auto write_panel(std::ostream& out, const std::string& deployment,
                     double left) const -> void;
    auto write_line(std::ostream& out, const std::string& deployment,
                    const std::string& policy, std::size_t index,
                    double left) const -> void;

    std::uint64_t seed_;
    std::vector<figure> figures_;
    std::vector<goodput_point> points_;
    std::vector<gap_distribution> gaps_;
};

} // namespace rhubarbrun::bench

#endif
