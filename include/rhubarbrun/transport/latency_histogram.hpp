#ifndef RHUBARBRUN_TRANSPORT_LATENCY_HISTOGRAM_HPP
#define RHUBARBRUN_TRANSPORT_LATENCY_HISTOGRAM_HPP

#include <rhubarbrun/state/units.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace rhubarbrun::inline v1 {

/// Counts latencies in fixed ranges since the start of the process.
class latency_histogram
{
public:
    auto add(duration latency) -> void
    {
        const auto found = std::lower_bound(bounds_ms.begin(), bounds_ms.end(),
                                            to_milliseconds(latency));
        ++counts_.at(static_cast<std::size_t>(found - bounds_ms.begin()));
    }

    /// Lines `name_bucket{...,le="ms"} count`, each with all lower latencies;
    /// `labels` is empty or ends with a comma.
    [[nodiscard]] auto print(const std::string& name,
                             const std::string& labels) const -> std::string
    {
        auto out = std::string();
        auto total = std::uint64_t{0};
        for (auto index = std::size_t{0}; index < counts_.size(); ++index) {
            total += counts_.at(index);
            const auto bound = index < bounds_ms.size()
                                   ? std::to_string(bounds_ms.at(index))
                                   : std::string("+Inf");
            out.append(name).append("_bucket{").append(labels);
            out.append("le=\"").append(bound).append("\"} ");
            out.append(std::to_string(total)).append("\n");
        }
        return out;
    }

private:
    /// Upper bounds in milliseconds, around the latency objectives in use.
    static constexpr auto bounds_ms = std::array<std::int64_t, 10>{
        5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};

    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
};

} // namespace rhubarbrun::inline v1

#endif
