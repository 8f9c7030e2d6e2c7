#include "scenario_runner.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

auto scenario_path(const std::string& name) -> std::string
{
    return std::string(RHUBARBRUN_TEST_DATA) + "/scenarios/" + name + ".toml";
}

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

// Each injected fault disables one safeguard. The scenario that covers the
// invariant must then fail, which shows that its checks detect the fault.
TEST_CASE("scenarios: injected faults are detected")
{
    struct planted
    {
        const char* file;
        scenario_fault fault;
        const char* seen;
    };
    const auto all = std::vector<planted>{
        {"read_your_writes", scenario_fault::skip_floor_check, "invariant 1"},
        {"lagging_replica_of_new_term", scenario_fault::skip_floor_check,
         "invariant 1"},
        {"owner_isolated", scenario_fault::acknowledge_without_check,
         "invariant 2"},
        {"transactions", scenario_fault::reuse_open_connection, "invariant 3"},
        {"late_answer", scenario_fault::accept_late_answer, "invariant 4"},
        {"link_lost_write", scenario_fault::claim_not_run, "invariant 5"},
        {"link_lost_write", scenario_fault::resend_non_idempotent,
         "invariant 6"},
        {"replica_leaves", scenario_fault::ignore_leaving, "invariant 7"},
        {"owner_isolated_from_proxies", scenario_fault::trust_silence,
         "expect = \"term\""},
        {"proxy_drained", scenario_fault::exit_at_once, "invariant 8"},
        {"bundle_rolled", scenario_fault::lose_log, "invariant 9"},
        {"poll_race", scenario_fault::count_earlier_poll,
         "was acknowledged and is lost"},
    };
    for (const auto& each : all) {
        const auto name = std::string(each.file) + ", " + each.seen;
        SUBCASE(name.c_str())
        {
            const auto script = load_scenario(scenario_path(each.file));
            CHECK(join(run_scenario(script)) == "");
            const auto failures = join(run_scenario(script, each.fault));
            INFO(std::string(each.file), ": ", failures);
            CHECK(failures.find(each.seen) != std::string::npos);
        }
    }
}

TEST_CASE(
    "scenarios: docs/scenarios.md lists all steps, expectations and files")
{
    auto file = std::ifstream(std::string(RHUBARBRUN_TEST_DATA) +
                              "/../docs/scenarios.md");
    auto text = std::ostringstream{};
    text << file.rdbuf();
    const auto page = text.str();
    for (const auto& line : scenario_vocabulary()) {
        const auto verb = line.substr(0, line.find(' '));
        INFO(verb);
        CHECK(page.find("`" + verb + "`") != std::string::npos);
    }
    for (const auto& entry : std::filesystem::directory_iterator(
             std::string(RHUBARBRUN_TEST_DATA) + "/scenarios"))
    {
        const auto name = entry.path().stem().string();
        INFO(name);
        CHECK(page.find(name) != std::string::npos);
    }
}

TEST_CASE("scenarios: runs with the same seed are identical")
{
    const auto script = load_scenario(scenario_path("proxy_drained"));
    const auto fault = scenario_fault::exit_at_once;
    CHECK(run_scenario(script, fault) == run_scenario(script, fault));
}

TEST_CASE("scenarios: an invalid file is rejected with line and column")
{
    const auto header = std::string(
        "name = \"n\"\ncovers = []\n[deployment]\ncontrol = 3\nseed = 1\n"
        "groups = [\"g0\"]\n"
        "proxies = [{ name = \"p0\", zone = \"z0\" }]\n"
        "servers = [{ name = \"s0\", zone = \"z0\", group = \"g0\" }]\n"
        "[[step]]\n");
    const auto error_of = [&](const std::string& step) -> std::string {
        try {
            static_cast<void>(parse_scenario(header + step, "file"));
        } catch (const scenario_error& error) {
            return error.what();
        }
        return "";
    };
    const auto starts = [](const std::string& text, const std::string& begin) {
        INFO(text);
        CHECK(text.rfind(begin, 0) == 0);
    };
    CHECK(error_of("at = 1\ndo = \"heal\"\n") == "");
    starts(error_of("at = 1\ndo = \"kil\"\n"),
           "file:11:6: unknown do \"kil\"; expected one of cut, heal, kill");
    starts(error_of("at = 1\nexpect = \"x\"\n"),
           "file:11:10: unknown expect \"x\"; expected one of verdict");
    starts(error_of("at = 1\ndo = \"kill\"\n"),
           "file:9:1: expected key \"who\" of \"kill\"");
    starts(error_of("at = 1\ndo = \"kill\"\nwho = \"p9\"\n"),
           "file:12:7: unknown process or zone \"p9\"; expected one of *, c0");
    starts(error_of("at = 1\ndo = \"kill\"\nwho = \"p0\"\nx = 1\n"),
           "file:13:1: unknown key \"x\"; expected one of at, do, who");
    starts(error_of("at = \"1\"\ndo = \"heal\"\n"),
           "file:10:6: expected a number of at least 0");
    starts(error_of("at = 5\ndo = \"heal\"\n[[step]]\nat = 4\n"),
           "file:13:6: expected a time of at least 5");
    starts(error_of("at = 5\n"), "file:9:1: expected either \"do\" or");
    starts(error_of("at = = 5\n"), "file:10:6: ");
}
