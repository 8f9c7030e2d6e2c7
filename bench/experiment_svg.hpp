#ifndef RHUBARBRUN_BENCH_EXPERIMENT_SVG_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_SVG_HPP

#include <algorithm>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::bench::svg {

/// A number with four significant digits.
[[nodiscard]] auto format(double value) -> std::string;

/// Starts a picture with a white background; `close` ends it.
auto open(std::ostream& out, double width, double height) -> void;
auto close(std::ostream& out) -> void;

auto write_text(std::ostream& out, double x, double y, const std::string& text)
    -> void;

auto write_segment(std::ostream& out, std::pair<double, double> from,
                   std::pair<double, double> to, std::string_view colour)
    -> void;

/// The values of `projection` in order of their first occurrence.
template <class Items, class Projection>
auto distinct(const Items& items, const Projection& projection)
    -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (const auto& each : items) {
        const auto& name = std::invoke(projection, each);
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace rhubarbrun::bench::svg

#endif
