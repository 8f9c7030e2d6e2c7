#include "control_adapter.hpp"
#include "proxy_adapter.hpp"

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/log_files.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

constexpr auto exit_usage = 2;
/// Pause before a member that found no room on its disk at its start tries
/// again.
constexpr auto disk_retry_interval = std::chrono::milliseconds(500);
/// Variable with the path of the platform's settings file.
constexpr auto settings_variable = "RHUBARBRUN_NODE_FILE";

constexpr auto usage =
    "usage: rhubarbrun-platform proxy|control\n"
    "Runs a proxy or a control member on the platform. The variable\n"
    "RHUBARBRUN_NODE_FILE names its settings file.\n";

/// Logs changes of the settings; seeds are read again whenever they are needed.
auto watch_reload(asio::signal_set& signals) -> void
{
    signals.async_wait([&](error_code error, int) {
        if (!error) {
            log_event("settings_changed").field("signal", "SIGHUP");
            watch_reload(signals);
        }
    });
}

auto run_proxy(node_settings settings, seed_reader seeds) -> int
{
    auto context = asio::io_context(1);
    auto reload = asio::signal_set(context, SIGHUP);
    watch_reload(reload);
    auto node = proxy_adapter(context, std::move(settings), std::move(seeds));
    auto signals = asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code error, int) {
        if (!error) {
            node.drain([&] { context.stop(); });
        }
    });
    node.start();
    run_handlers(context);
    return EXIT_SUCCESS;
}

/// Waits until the disk has room for what a start has to write, which is little
/// and rarely anything. Returns null if the process is to end before.
auto open_control(asio::io_context& context, asio::signal_set& signals,
                  const node_settings& settings, const seed_reader& seeds,
                  const std::function<void()>& on_failure)
    -> std::unique_ptr<control_adapter>
{
    auto is_ending = false;
    auto is_logged = false;
    signals.async_wait(
        [&](error_code error, int) { is_ending = is_ending || !error; });
    auto opened = std::unique_ptr<control_adapter>();
    while (!opened && !is_ending) {
        try {
            opened = std::make_unique<control_adapter>(
                context, settings, seeds,
                [on_failure](const std::string&) { on_failure(); });
        } catch (const log_full_error& fault) {
            if (!std::exchange(is_logged, true)) {
                log_event("disk_full", event_severity::error)
                    .field("reason", fault.what());
            }
            context.run_for(disk_retry_interval);
        }
    }
    signals.cancel();
    context.restart();
    context.poll();
    context.restart();
    return is_ending ? nullptr : std::move(opened);
}

auto run_control(const node_settings& settings, const seed_reader& seeds) -> int
{
    auto context = asio::io_context(1);
    auto code = EXIT_SUCCESS;
    auto reload = asio::signal_set(context, SIGHUP);
    watch_reload(reload);
    auto signals = asio::signal_set(context, SIGTERM, SIGINT);
    const auto opened = open_control(context, signals, settings, seeds, [&] {
        code = EXIT_FAILURE;
        context.stop();
    });
    if (!opened) {
        return EXIT_SUCCESS;
    }
    auto& node = *opened;
    signals.async_wait([&](error_code error, int number) {
        if (!error) {
            log_event("stopping").field("signal", number);
            node.drain([&] { context.stop(); });
        }
    });
    node.start();
    run_handlers(context);
    node.stop();
    return code;
}

auto run(std::string_view role) -> int
{
    // Read once at start, before other threads could change the environment.
    const auto* const path = std::getenv(settings_variable); // NOLINT
    if (path == nullptr) {
        std::cerr << settings_variable << " is not set\n";
        return exit_usage;
    }
    auto settings = read_node_settings(path);
    auto seeds = seed_reader(path, settings.seeds);
    log_event("process_started")
        .field("role", role)
        .field("name", settings.name)
        .field("address", settings.address)
        .field("zone", settings.zone)
        .field("first_start", settings.is_first_start);
    const auto code = role == "proxy"
                          ? run_proxy(std::move(settings), std::move(seeds))
                          : run_control(settings, seeds);
    log_event("process_stopped").field("exit_code", code);
    return code;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    // Settings are read below; until changes are watched, a signal that they
    // changed must not end the process, which is what it does by default.
    // A write beyond a limit of file sizes is refused like one to a full disk.
    if (std::signal(SIGHUP, SIG_IGN) == SIG_ERR ||
        std::signal(SIGXFSZ, SIG_IGN) == SIG_ERR)
    {
        return EXIT_FAILURE;
    }
    const auto role = std::string_view(argument_count == 2 ? arguments[1] : "");
    if (role != "proxy" && role != "control") {
        std::cerr << usage;
        return exit_usage;
    }
    start_event_log(arguments[0], event_log_output::standard_output);
    try {
        return run(role);
    } catch (const node_settings_error& fault) {
        std::cerr << fault.what() << '\n';
        return exit_usage;
    } catch (const std::exception& fault) {
        log_event("process_failed", event_severity::error)
            .field("reason", fault.what());
        return EXIT_FAILURE;
    }
}
