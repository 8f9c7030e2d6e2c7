#include "soak_run.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, program, "", "Path of rhubarbrun-platform");
ABSL_FLAG(std::string, directory, "", "Folder for logs and disks; emptied");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first soak");
ABSL_FLAG(std::uint64_t, count, 1, "Soaks, with ascending seeds");
ABSL_FLAG(std::uint32_t, base_port, 20000, "First of seven ports");
ABSL_FLAG(std::uint32_t, fault_seconds, 12, "Time in which faults begin");
ABSL_FLAG(std::uint32_t, controls, 3, "Control members, 3 to 9");
ABSL_FLAG(std::uint32_t, proxies, 4, "Proxies, 1 to 150");

namespace {

auto run_all() -> int
{
    auto failed = 0;
    for (auto index = std::uint64_t{0}; index < absl::GetFlag(FLAGS_count);
         ++index) {
        auto options = rhubarbrun_soak::soak_options{};
        options.seed = absl::GetFlag(FLAGS_seed) + index;
        options.program = absl::GetFlag(FLAGS_program);
        options.directory =
            std::filesystem::path(absl::GetFlag(FLAGS_directory)) /
            std::to_string(options.seed);
        options.base_port =
            static_cast<std::uint16_t>(absl::GetFlag(FLAGS_base_port));
        options.faults =
            std::chrono::seconds(absl::GetFlag(FLAGS_fault_seconds));
        options.controls = absl::GetFlag(FLAGS_controls);
        options.proxies = absl::GetFlag(FLAGS_proxies);
        const auto failures = rhubarbrun_soak::soak_run(options).run();
        failed += failures > 0 ? 1 : 0;
    }
    std::cout << "soaks=" << absl::GetFlag(FLAGS_count) << " failed=" << failed
              << std::endl;
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    absl::SetProgramUsageMessage(
        "Runs rhubarbrun-platform as processes under faults that a seed draws "
        "and checks what callers and servers see.");
    absl::ParseCommandLine(argument_count, arguments);
    if (absl::GetFlag(FLAGS_program).empty() ||
        absl::GetFlag(FLAGS_directory).empty())
    {
        std::cerr << "--program and --directory are needed\n";
        return EXIT_FAILURE;
    }
    try {
        return run_all();
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return EXIT_FAILURE;
    }
}
