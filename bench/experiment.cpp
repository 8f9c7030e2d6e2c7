#include "experiment.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <iostream>
#include <stdexcept>
#include <string>
#include <string_view>

ABSL_FLAG(std::string, name, "all",
          "experiment: all, replica_reads, crest, head_of_line, "
          "slot_sharing, load_classes, session_values or write_gap");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random numbers");
ABSL_FLAG(std::string, report, "",
          "directory for measures.md, measures.json, goodput.svg and "
          "write_gap.svg");

namespace rhubarbrun::bench {

namespace {

struct experiment
{
    std::string_view name;
    void (*run)(const deployment&, std::uint64_t, report&);
};

constexpr auto experiments = std::array{
    experiment{"replica_reads", measure_replica_reads},
    experiment{"crest", measure_crest},
    experiment{"head_of_line", measure_head_of_line},
    experiment{"slot_sharing", measure_slot_sharing},
    experiment{"load_classes", measure_load_classes},
    experiment{"session_values", measure_session_values},
    experiment{"write_gap", measure_write_gap},
};

} // namespace

auto run_experiments(int count, char** arguments) -> int
{
    absl::ParseCommandLine(count, arguments);
    const auto name = absl::GetFlag(FLAGS_name);
    const auto seed = absl::GetFlag(FLAGS_seed);
    auto results = report(seed);
    auto is_known = false;
    for (const auto& place : deployments) {
        for (const auto& each : experiments) {
            if (name == "all" || name == each.name) {
                is_known = true;
                each.run(place, seed, results);
            }
        }
    }
    if (!is_known) {
        throw std::invalid_argument("no experiment is named " + name);
    }
    results.print(std::cout);
    const auto directory = absl::GetFlag(FLAGS_report);
    if (!directory.empty()) {
        results.write(directory);
    }
    return 0;
}

} // namespace rhubarbrun::bench
