#ifndef RHUBARBRUN_BENCH_COST_DECISIONS_HPP
#define RHUBARBRUN_BENCH_COST_DECISIONS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace rhubarbrun::bench {

/// A decision that is set up; each call is one operation.
using operation = std::function<void()>;

/// A decision whose cost is measured at several sizes.
struct costed_decision
{
    std::string_view name;
    /// What `size` counts.
    std::string_view unit;
    std::vector<std::size_t> sizes;
    std::function<operation(std::size_t size)> set_up;
};

/// All decisions; those of the data path first.
[[nodiscard]] auto costed_decisions() -> std::vector<costed_decision>;

[[nodiscard]] auto data_path_decisions() -> std::vector<costed_decision>;
[[nodiscard]] auto control_decisions() -> std::vector<costed_decision>;

} // namespace rhubarbrun::bench

#endif
