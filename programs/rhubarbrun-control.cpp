#include <rhubarbrun/transport/control_node.hpp>
#include <rhubarbrun/transport/control_settings.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <future>
#include <iostream>
#include <mutex>
#include <string>
#include <utility>

namespace {

using namespace rhubarbrun;

constexpr auto exit_usage = 2;

/// Runs the member until a signal or a failure; returns the exit code.
auto run(const control_settings& settings) -> int
{
    auto options = control_options(settings);
    auto pool = worker_pool(settings.process.threads);
    auto ended = std::promise<int>();
    auto exit_code = ended.get_future();
    auto once = std::once_flag();
    const auto end_with = [&](int code) {
        std::call_once(once, [&] { ended.set_value(code); });
    };
    auto signals = asio::signal_set(pool.context(), SIGTERM, SIGINT);
    signals.async_wait([&](error_code error, int number) {
        if (!error) {
            log_event("stopping").field("signal", number);
            end_with(EXIT_SUCCESS);
        }
    });
    auto node =
        control_node(pool.context(), std::move(options),
                     [&](const std::string&) { end_with(EXIT_FAILURE); });
    node.listen();
    node.start(settings.process.control_members);
    const auto code = exit_code.get();
    node.stop();
    pool.stop();
    log_event("stopped").field("exit_code", code);
    return code;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    start_event_log(arguments[0]);
    const auto list = control_settings_list();
    const auto outcome = read_settings(
        list, settings_input::of_process(argument_count, arguments));
    if (outcome.is_help_requested) {
        std::cout << settings_help(
            "rhubarbrun-control: a member of the replicated control state",
            list);
        return EXIT_SUCCESS;
    }
    auto faults = outcome.faults;
    for (const auto& word : outcome.words) {
        faults.push_back("unexpected argument " + word);
    }
    if (!faults.empty()) {
        std::cerr << faults_message(faults) << '\n';
        return exit_usage;
    }
    try {
        return run(control_settings_values());
    } catch (const settings_error& fault) {
        std::cerr << faults_message({fault.what()}) << '\n';
        return exit_usage;
    } catch (const std::exception& fault) {
        log_event("control_start_failed", event_severity::error)
            .field("reason", fault.what());
        return EXIT_FAILURE;
    }
}
