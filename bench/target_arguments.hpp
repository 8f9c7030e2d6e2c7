#ifndef RHUBARBRUN_BENCH_TARGET_ARGUMENTS_HPP
#define RHUBARBRUN_BENCH_TARGET_ARGUMENTS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::bench {

/// Options of a sub-command in the form `--name=value`.
///
/// Abseil's flags are global to a program, but the sub-commands have different
/// options with the same names.
class argument_list
{
public:
    /// @throws std::invalid_argument on an argument of another form
    argument_list(int count, char** arguments);

    /// The value of `name`, or `fallback`; each name counts as used.
    [[nodiscard]] auto text(const std::string& name,
                            const std::string& fallback) -> std::string;
    /// @throws std::invalid_argument if the value is not a whole number
    [[nodiscard]] auto number(const std::string& name, std::int64_t fallback)
        -> std::int64_t;
    /// A list separated by commas.
    [[nodiscard]] auto list(const std::string& name)
        -> std::vector<std::string>;

    /// @throws std::invalid_argument if an argument was never asked for
    auto expect_all_used() const -> void;

private:
    std::map<std::string, std::string> values_;
    std::map<std::string, bool> is_used_;
};

/// Splits `text` at each `separator`; empty parts are left out.
[[nodiscard]] auto split_list(std::string_view text, char separator)
    -> std::vector<std::string>;

} // namespace rhubarbrun::bench

#endif
