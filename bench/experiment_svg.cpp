#include "experiment_svg.hpp"

#include <array>
#include <cstddef>
#include <cstdio>

namespace rhubarbrun::bench::svg {

auto format(double value) -> std::string
{
    auto buffer = std::array<char, 32>{};
    const auto length =
        std::snprintf(buffer.data(), buffer.size(), "%.4g", value);
    return {buffer.data(), static_cast<std::size_t>(length)};
}

auto open(std::ostream& out, double width, double height) -> void
{
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << format(width)
        << "\" height=\"" << format(height)
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
}

auto close(std::ostream& out) -> void
{
    out << "</svg>\n";
}

auto write_text(std::ostream& out, double x, double y, const std::string& text)
    -> void
{
    out << "<text x=\"" << format(x) << "\" y=\"" << format(y) << "\">" << text
        << "</text>\n";
}

auto write_segment(std::ostream& out, std::pair<double, double> from,
                   std::pair<double, double> to, std::string_view colour)
    -> void
{
    out << "<line x1=\"" << format(from.first) << "\" y1=\""
        << format(from.second) << "\" x2=\"" << format(to.first) << "\" y2=\""
        << format(to.second) << "\" stroke=\"" << colour << "\"/>\n";
}

} // namespace rhubarbrun::bench::svg
