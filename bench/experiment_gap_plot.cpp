#include "experiment_gap_plot.hpp"

#include "experiment_svg.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <stdexcept>

namespace rhubarbrun::bench {

namespace {

constexpr auto panel_width = 640.0;
constexpr auto plot_left = 210.0;
constexpr auto plot_top = 40.0;
constexpr auto plot_width = 400.0;
constexpr auto row_height = 22.0;
constexpr auto axis_height = 40.0;
constexpr auto most_gap_ms = 6000.0;
constexpr auto default_objective_ms = 2000.0;
constexpr auto most_objective_ms = 5000.0;
constexpr auto median_share = 0.5;

auto x_of(double gap_ms, double left) -> double
{
    const auto shown = std::min(gap_ms, most_gap_ms);
    return left + plot_left + (plot_width * shown / most_gap_ms);
}

auto write_axis(std::ostream& out, double left, double bottom) -> void
{
    constexpr auto label_drop = 15.0;
    constexpr auto name_drop = 30.0;
    constexpr auto step_ms = 1000.0;
    for (auto gap = 0.0; gap <= most_gap_ms; gap += step_ms) {
        const auto is_objective =
            gap == default_objective_ms || gap == most_objective_ms;
        svg::write_segment(out, {x_of(gap, left), plot_top},
                           {x_of(gap, left), bottom},
                           is_objective ? "#27ae60" : "#dddddd");
        svg::write_text(out, x_of(gap, left), bottom + label_drop,
                        svg::format(gap));
    }
    svg::write_text(out, left + plot_left, bottom + name_drop,
                    "write gap in ms; objectives 2,000 and 5,000; thick: "
                    "median");
}

auto write_row(std::ostream& out, const gap_distribution& row, bool is_baseline,
               double left, double top) -> void
{
    constexpr auto label_indent = 10.0;
    constexpr auto margin = 4.0;
    constexpr auto label_rise = 7.0;
    constexpr auto median_width = 3.0;
    const auto colour = std::string_view(is_baseline ? "#c0392b" : "#1b6ca8");
    const auto bottom = top + row_height - margin;
    svg::write_text(out, left + label_indent, top + row_height - label_rise,
                    row.failure + ", " + row.policy);
    out << "<g stroke-opacity=\"0.35\">\n";
    for (const auto gap : row.gaps_ms) {
        svg::write_segment(out, {x_of(gap, left), top + margin},
                           {x_of(gap, left), bottom}, colour);
    }
    out << "</g>\n<rect x=\""
        << svg::format(x_of(quantile(row.gaps_ms, median_share), left) -
                       (median_width / 2))
        << "\" y=\"" << svg::format(top) << "\" width=\""
        << svg::format(median_width) << "\" height=\""
        << svg::format(row_height) << "\" fill=\"" << colour << "\"/>\n";
}

} // namespace

auto quantile(const std::vector<double>& ascending, double share) -> double
{
    if (ascending.empty()) {
        throw std::invalid_argument("a quantile of no values");
    }
    const auto rank = std::ceil(share * static_cast<double>(ascending.size()));
    return ascending.at(static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
}

auto write_gap_plot(std::ostream& out,
                    const std::vector<gap_distribution>& distributions) -> void
{
    constexpr auto title_rise = 15.0;
    const auto panels =
        svg::distinct(distributions, &gap_distribution::deployment);
    const auto rows =
        static_cast<double>(distributions.size()) /
        static_cast<double>(std::max<std::size_t>(panels.size(), 1));
    const auto bottom = plot_top + (row_height * rows);
    svg::open(out, panel_width * static_cast<double>(panels.size()),
              bottom + axis_height);
    auto left = 0.0;
    for (const auto& panel : panels) {
        svg::write_text(out, left + plot_left, plot_top - title_rise, panel);
        write_axis(out, left, bottom);
        auto top = plot_top;
        auto is_baseline = false;
        for (const auto& row : distributions) {
            if (row.deployment == panel) {
                write_row(out, row, is_baseline, left, top);
                is_baseline = !is_baseline;
                top += row_height;
            }
        }
        left += panel_width;
    }
    svg::close(out);
}

} // namespace rhubarbrun::bench
