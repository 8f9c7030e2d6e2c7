#include "load_main.hpp"
#include "target_main.hpp"

#include <rhubarbrun/transport/event_log.hpp>

#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

struct sub_command
{
    std::string_view name;
    int (*run)(int, char**);
};

constexpr auto sub_commands = std::array{
    sub_command{"load", run_load},
    sub_command{"target", run_target},
};

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    rhubarbrun::start_event_log(arguments[0]);
    const auto name = std::string_view(argument_count > 1 ? arguments[1] : "");
    for (const auto& command : sub_commands) {
        if (command.name == name) {
            return command.run(argument_count - 1, arguments + 1);
        }
    }
    std::cerr << "usage: rhubarbrun-bench";
    for (const auto& command : sub_commands) {
        std::cerr << (&command == sub_commands.data() ? " " : "|")
                  << command.name;
    }
    std::cerr << " [--name=value...]\n";
    return EXIT_FAILURE;
}
