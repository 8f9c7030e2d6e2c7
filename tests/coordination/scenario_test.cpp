#include "scenario_runner.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

auto join(const std::vector<std::string>& lines) -> std::string
{
    auto out = std::string{};
    for (const auto& line : lines) {
        out += line + "\n";
    }
    return out;
}

} // namespace

TEST_CASE("scenarios: all expectations and invariants hold")
{
    auto files = std::vector<std::filesystem::path>{};
    for (const auto& entry : std::filesystem::directory_iterator(
             std::string(RHUBARBRUN_TEST_DATA) + "/scenarios"))
    {
        files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    REQUIRE(!files.empty());
    for (const auto& file : files) {
        SUBCASE(file.stem().c_str())
        {
            const auto script = load_scenario(file.string());
            CHECK(join(run_scenario(script)) == "");
        }
    }
}
