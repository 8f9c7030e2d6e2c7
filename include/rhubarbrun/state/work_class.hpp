#ifndef RHUBARBRUN_STATE_WORK_CLASS_HPP
#define RHUBARBRUN_STATE_WORK_CLASS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Priority class of a request, in the order in which it is served.
enum class work_class : std::uint8_t
{
    /// Writes and statements of transactions that may write.
    order_entry,
    /// Short reads.
    lookup,
    /// Long reads.
    report,
};

/// Number of values of `work_class`.
inline constexpr std::size_t work_class_count = 3;

/// Name of a class for logs and dumps.
[[nodiscard]] constexpr auto to_string(work_class value) noexcept
    -> std::string_view
{
    switch (value) {
    case work_class::order_entry:
        return "order_entry";
    case work_class::lookup:
        return "lookup";
    case work_class::report:
        return "report";
    }
    return "unknown";
}

} // namespace rhubarbrun::inline v1

#endif
