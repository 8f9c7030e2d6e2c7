#ifndef RHUBARBRUN_BENCH_EXPERIMENT_DEPLOYMENT_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_DEPLOYMENT_HPP

#include <rhubarbrun/state/units.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace rhubarbrun::bench {

/// The figures of section 1.5 of docs/design.md that the experiments use.
struct deployment
{
    std::string_view name;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    /// One way.
    duration zone_delay{};
    duration region_delay{};
    std::uint32_t proxies = 16;
};

inline constexpr auto deployments = std::array{
    deployment{"salt_trust", 5, 70, std::chrono::microseconds(1000),
               std::chrono::milliseconds(20), 16},
    deployment{"association", 3, 90, std::chrono::microseconds(500),
               std::chrono::milliseconds(12), 16},
};

} // namespace rhubarbrun::bench

#endif
