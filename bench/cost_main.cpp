#include "cost_main.hpp"

#include "cost_decisions.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <stdexcept>
#include <string>

ABSL_FLAG(std::string, decision, "list", "decision to run, or list");
ABSL_FLAG(std::uint64_t, size, 1, "size of what the decision works on");
ABSL_FLAG(std::uint64_t, count, 0, "number of operations");

auto run_cost(int count, char** arguments) -> int
{
    absl::ParseCommandLine(count, arguments);
    const auto name = absl::GetFlag(FLAGS_decision);
    for (const auto& each : rhubarbrun::bench::costed_decisions()) {
        if (name == "list") {
            for (const auto size : each.sizes) {
                std::cout << each.name << ' ' << size << ' ' << each.unit
                          << '\n';
            }
        } else if (name == each.name) {
            const auto run = each.set_up(absl::GetFlag(FLAGS_size));
            for (auto left = absl::GetFlag(FLAGS_count); left > 0; --left) {
                run();
            }
            return 0;
        }
    }
    if (name != "list") {
        throw std::invalid_argument("no decision is named " + name);
    }
    return 0;
}
