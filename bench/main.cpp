#include "cost_main.hpp"
#include "experiment.hpp"
#include "idle_main.hpp"
#include "load_main.hpp"
#include "target_main.hpp"

#include <rhubarbrun/transport/event_log.hpp>

#include <array>
#include <exception>
#include <iostream>
#include <string_view>

namespace {

/// One sub-command; `run` gets the arguments from the sub-command's name on.
struct sub_command
{
    std::string_view name;
    auto(*run)(int count, char** arguments) -> int;
    std::string_view summary;
};

constexpr auto sub_commands = std::array{
    sub_command{"cost", run_cost,
                "run one decision many times, to count its instructions"},
    sub_command{"experiment", rhubarbrun::bench::run_experiments,
                "measure the decisions of the data path in virtual time"},
    sub_command{"idle", run_idle, "hold idle sessions open at one proxy"},
    sub_command{"load", run_load,
                "run sessions through proxies and check their records"},
    sub_command{"target", run_target,
                "stand in for a database server of a group"},
};

constexpr auto usage_error = 2;

auto print_usage() -> void
{
    std::cerr << "usage: rhubarbrun-bench <command> [options]\n";
    for (const auto& each : sub_commands) {
        std::cerr << "  " << each.name << "  " << each.summary << '\n';
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    rhubarbrun::start_event_log(argv[0]);
    const auto wanted = std::string_view(argc > 1 ? argv[1] : "");
    for (const auto& each : sub_commands) {
        if (each.name != wanted) {
            continue;
        }
        try {
            return each.run(argc - 1, argv + 1);
        } catch (const std::exception& error) {
            std::cerr << "rhubarbrun-bench " << wanted << ": " << error.what()
                      << '\n';
            return 1;
        }
    }
    print_usage();
    return usage_error;
}
