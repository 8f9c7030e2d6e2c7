#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_FILE_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_FILE_HPP

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Reads scenario files: a header with the deployment, and steps at virtual
// times. docs/scenarios.md lists the steps and expectations.

namespace rhubarbrun::tests {

/// An error in a scenario file; `what()` is `file:line:column: message`.
class scenario_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct scenario_process
{
    std::string name;
    std::string zone;
    /// Group that a server belongs to.
    std::string group;
};

struct scenario_deployment
{
    std::int64_t control = 3;
    std::uint64_t seed = 1;
    /// Resolution of the processes' timers; long scenarios use a coarser one.
    std::int64_t tick_ms = 10;
    std::vector<std::string> groups;
    std::vector<scenario_process> proxies;
    std::vector<scenario_process> servers;
};

/// One step or expectation; its keys have been checked against its verb.
struct scenario_step
{
    using value_type = std::variant<std::string, std::int64_t, bool>;

    std::int64_t at_ms = 0;
    std::string verb;
    bool is_expectation = false;
    std::uint32_t line = 0;
    std::map<std::string, value_type> values;

    [[nodiscard]] auto has(const std::string& key) const -> bool
    {
        return values.contains(key);
    }
    [[nodiscard]] auto text(const std::string& key,
                            std::string otherwise = "") const -> std::string
    {
        return has(key) ? std::get<std::string>(values.at(key)) : otherwise;
    }
    [[nodiscard]] auto number(const std::string& key,
                              std::int64_t otherwise = 0) const -> std::int64_t
    {
        return has(key) ? std::get<std::int64_t>(values.at(key)) : otherwise;
    }
    [[nodiscard]] auto flag(const std::string& key,
                            bool otherwise = false) const -> bool
    {
        return has(key) ? std::get<bool>(values.at(key)) : otherwise;
    }
};

struct scenario
{
    std::string name;
    /// Invariants and failures of the design page that the scenario covers.
    std::vector<std::string> covers;
    scenario_deployment deployment;
    std::vector<scenario_step> steps;
};

/// Parses and checks a scenario; throws `scenario_error`.
[[nodiscard]] auto parse_scenario(std::string_view text,
                                  const std::string& file) -> scenario;

/// Reads the file at `path`; throws `scenario_error`.
[[nodiscard]] auto load_scenario(const std::string& path) -> scenario;

/// Formats a step in the syntax of a scenario file, on one line.
[[nodiscard]] auto to_string(const scenario_step& step) -> std::string;

/// All steps and expectations with their keys, as `verb key key?`; the table
/// of docs/scenarios.md is checked against it.
[[nodiscard]] auto scenario_vocabulary() -> std::vector<std::string>;

} // namespace rhubarbrun::tests

#endif
