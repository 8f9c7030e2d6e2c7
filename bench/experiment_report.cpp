#include "experiment_report.hpp"

#include "experiment_svg.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace rhubarbrun::bench {

using svg::format;
using svg::write_segment;
using svg::write_text;

namespace {

constexpr auto panel_width = 420.0;
constexpr auto plot_left = 50.0;
constexpr auto plot_top = 40.0;
constexpr auto plot_width = 300.0;
constexpr auto plot_height = 220.0;
constexpr auto picture_height = 340.0;
constexpr auto most_demand = 8.0;
constexpr auto most_goodput = 1.1;
constexpr auto colours =
    std::array<std::string_view, 4>{"#1b6ca8", "#c0392b", "#7f8c8d", "#27ae60"};

auto x_of(double demand, double left) -> double
{
    return left + plot_left + (plot_width * demand / most_demand);
}

auto y_of(double goodput) -> double
{
    const auto shown = std::min(goodput, most_goodput);
    return plot_top + (plot_height * (1 - (shown / most_goodput)));
}

} // namespace

auto report::add(figure result) -> void
{
    figures_.push_back(std::move(result));
}

auto report::add(goodput_point point) -> void
{
    points_.push_back(std::move(point));
}

auto report::add(gap_distribution distribution) -> void
{
    gaps_.push_back(std::move(distribution));
}

auto report::print(std::ostream& out) const -> void
{
    for (const auto& each : figures_) {
        const auto name = each.deployment + "." + each.name;
        out << name << '=' << format(each.value) << '\n';
        if (each.baseline) {
            out << name << '.' << each.baseline_name << '='
                << format(*each.baseline) << '\n';
        }
    }
}

auto report::write(const std::string& directory) const -> void
{
    using writer = void (report::*)(std::ostream&) const;
    const auto files = std::array<std::pair<const char*, writer>, 4>{
        {{"measures.md", &report::write_markdown},
         {"measures.json", &report::write_json},
         {"goodput.svg", &report::write_plot},
         {"write_gap.svg", &report::write_gaps}}};
    std::filesystem::create_directories(directory);
    for (const auto& [name, write_file] : files) {
        const auto has_no_content =
            (write_file == &report::write_plot && points_.empty()) ||
            (write_file == &report::write_gaps && gaps_.empty());
        if (has_no_content) {
            continue;
        }
        const auto path = std::filesystem::path(directory) / name;
        auto out = std::ofstream(path);
        (this->*write_file)(out);
        out.flush();
        if (!out) {
            throw std::runtime_error("cannot write " + path.string());
        }
    }
}

auto report::write_markdown(std::ostream& out) const -> void
{
    out << "Seed " << seed_ << ".\n\n"
        << "| deployment | measure | target | result | baseline |\n"
        << "| --- | --- | --- | --- | --- |\n";
    for (const auto& each : figures_) {
        out << "| " << each.deployment << " | `" << each.name << "` | "
            << each.target << " | " << format(each.value) << " | ";
        if (each.baseline) {
            out << format(*each.baseline) << " (" << each.baseline_name << ")";
        }
        out << " |\n";
    }
}

auto report::write_json(std::ostream& out) const -> void
{
    out << "{\n  \"seed\": " << seed_ << ",\n  \"figures\": [";
    auto separator = "\n";
    for (const auto& each : figures_) {
        out << separator << "    {\"deployment\": \"" << each.deployment
            << "\", \"name\": \"" << each.name
            << "\", \"value\": " << format(each.value);
        if (each.baseline) {
            out << ", \"baseline_name\": \"" << each.baseline_name
                << "\", \"baseline\": " << format(*each.baseline);
        }
        if (!each.target.empty()) {
            out << ", \"target\": \"" << each.target << "\"";
        }
        out << "}";
        separator = ",\n";
    }
    out << "\n  ]\n}\n";
}

auto report::write_plot(std::ostream& out) const -> void
{
    const auto panels = svg::distinct(points_, &goodput_point::deployment);
    svg::open(out, panel_width * static_cast<double>(panels.size()),
              picture_height);
    auto left = 0.0;
    for (const auto& panel : panels) {
        write_panel(out, panel, left);
        left += panel_width;
    }
    svg::close(out);
}

auto report::write_gaps(std::ostream& out) const -> void
{
    write_gap_plot(out, gaps_);
}

auto report::write_panel(std::ostream& out, const std::string& deployment,
                         double left) const -> void
{
    constexpr auto title_rise = 15.0;
    constexpr auto label_drop = 15.0;
    constexpr auto label_indent = 30.0;
    constexpr auto axis_drop = 30.0;
    write_text(out, left + plot_left, plot_top - title_rise,
               deployment + ": order-entry goodput / capacity");
    write_text(out, left + plot_left, plot_top + plot_height + axis_drop,
               "demand / capacity");
    write_segment(out, {x_of(0, left), y_of(0)},
                  {x_of(most_demand, left), y_of(0)}, "black");
    write_segment(out, {x_of(0, left), y_of(0)}, {x_of(0, left), y_of(1)},
                  "black");
    for (const auto demand : {1.0, 2.0, 4.0, 8.0}) {
        write_text(out, x_of(demand, left), y_of(0) + label_drop,
                   format(demand));
    }
    for (const auto goodput : {0.0, 0.5, 1.0}) {
        write_text(out, left + plot_left - label_indent, y_of(goodput),
                   format(goodput));
        write_segment(out, {x_of(0, left), y_of(goodput)},
                      {x_of(most_demand, left), y_of(goodput)}, "#dddddd");
    }
    const auto policies = svg::distinct(points_, &goodput_point::policy);
    for (auto index = std::size_t{0}; index < policies.size(); ++index) {
        write_line(out, deployment, policies.at(index), index, left);
    }
}

auto report::write_line(std::ostream& out, const std::string& deployment,
                        const std::string& policy, std::size_t index,
                        double left) const -> void
{
    constexpr auto key_top = 285.0;
    constexpr auto key_step = 14.0;
    constexpr auto key_length = 25.0;
    constexpr auto key_drop = 4.0;
    const auto colour = colours.at(index % colours.size());
    out << "<polyline fill=\"none\" stroke=\"" << colour
        << "\" stroke-width=\"2\" points=\"";
    for (const auto& point : points_) {
        if (point.deployment == deployment && point.policy == policy) {
            out << format(x_of(point.demand, left)) << ','
                << format(y_of(point.goodput)) << ' ';
        }
    }
    out << "\"/>\n";
    const auto key_left = left + plot_left + (plot_width / 2);
    const auto key = key_top + (key_step * static_cast<double>(index));
    write_segment(out, {key_left, key}, {key_left + key_length, key}, colour);
    write_text(out, key_left + key_length + key_drop, key + key_drop, policy);
}

} // namespace rhubarbrun::bench
