#ifndef RHUBARBRUN_STATE_BUNDLE_PARSE_HPP
#define RHUBARBRUN_STATE_BUNDLE_PARSE_HPP

#include <rhubarbrun/state/bundle.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Position in a text; lines and columns start at 1.
struct source_position
{
    std::uint32_t line = 1;
    std::uint32_t column = 1;

    friend auto operator<=>(const source_position& left,
                            const source_position& right)
        -> std::strong_ordering
    {
        return std::tie(left.line, left.column) <=>
               std::tie(right.line, right.column);
    }

    friend auto operator==(const source_position& left,
                           const source_position& right) -> bool = default;
};

/// A fault in the text of a bundle.
struct bundle_problem
{
    source_position where;
    std::string message;
};

/// Prints `line:column: message`.
[[nodiscard]] auto to_string(const bundle_problem& problem) -> std::string;

/// Either a valid bundle or the problems that were found, in text order.
struct bundle_parse_result
{
    std::optional<bundle> value;
    std::vector<bundle_problem> problems;

    /// Whether there is a valid bundle.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return value.has_value();
    }
};

/// Parses and checks a whole bundle.
///
/// A syntax error ends the parse and is the only problem reported; otherwise
/// all unknown keys, wrong types and invalid values are reported.
[[nodiscard]] auto parse_bundle(std::string_view text) -> bundle_parse_result;

} // namespace rhubarbrun::inline v1

#endif
