#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/proxy_node.hpp>
#include <rhubarbrun/transport/settings.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <absl/flags/flag.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <random>

ABSL_FLAG(std::string, caller_listen, "0.0.0.0:6432",
          "Where callers connect with the PostgreSQL protocol");
ABSL_FLAG(std::uint32_t, max_callers, 10'000, "Connections of callers");
ABSL_FLAG(std::string, target_user, "rhubarbrun",
          "Database user for connections to targets");
ABSL_FLAG(std::string, target_password_file, "",
          "File with the password of target_user; none if empty");
ABSL_FLAG(std::uint32_t, not_ready_time, 1000,
          "Time for which a draining proxy still accepts callers");

namespace {

using namespace rhubarbrun;

constexpr auto exit_usage = 2;
constexpr auto exit_failure = 1;

auto proxy_settings_list() -> std::vector<setting>
{
    auto settings = shared_settings();
    settings.push_back(
        {"caller_listen", "address:port", setting_check::endpoint});
    settings.push_back(
        {"max_callers", "connections", setting_check::between(1, 1'000'000)});
    settings.push_back({"target_user", "name", setting_check::not_empty});
    settings.push_back({"target_password_file", "path", {}});
    settings.push_back(
        {"not_ready_time", "ms", setting_check::between(0, 600'000)});
    return settings;
}

auto read_password(const std::string& path) -> std::string
{
    if (path.empty()) {
        return {};
    }
    auto file = std::ifstream(path);
    if (!file) {
        throw settings_error("target_password_file: " + path +
                             " cannot be read");
    }
    auto text = std::string(std::istreambuf_iterator<char>(file), {});
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

auto read_proxy_settings() -> proxy_settings
{
    auto result = proxy_settings{};
    result.process = shared_values();
    result.caller_listen = *parse_endpoint(absl::GetFlag(FLAGS_caller_listen));
    result.max_callers = absl::GetFlag(FLAGS_max_callers);
    result.credentials.user = absl::GetFlag(FLAGS_target_user);
    result.credentials.password =
        read_password(absl::GetFlag(FLAGS_target_password_file));
    result.not_ready_time =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_not_ready_time));
    return result;
}

/// Random numbers for any thread.
auto make_random() -> random_function
{
    struct generator
    {
        std::mutex mutex;
        std::mt19937_64 engine{std::random_device{}()};
    };
    return [shared = std::make_shared<generator>()] {
        const auto lock = std::lock_guard(shared->mutex);
        return shared->engine();
    };
}

auto wait_for_end(asio::io_context& signals_context, proxy_node& node) -> void
{
    auto signals = asio::signal_set(signals_context, SIGTERM, SIGINT);
    auto wait = std::function<void()>{};
    wait = [&] {
        signals.async_wait([&](const error_code& error, int) {
            if (!error) {
                node.shut_down([&] { signals_context.stop(); });
                wait();
            }
        });
    };
    wait();
    signals_context.run();
}

auto run_proxy() -> int
{
    auto settings = read_proxy_settings();
    const auto threads = settings.process.threads;
    const auto key = read_deployment_key(settings.process.deployment_key_file);
    auto pool = worker_pool(threads);
    auto node =
        proxy_node(pool.context(), std::move(settings), key, make_random());
    auto signals_context = asio::io_context();
    node.on_failure([&] { signals_context.stop(); });
    node.start();
    wait_for_end(signals_context, node);
    pool.stop();
    return node.failure().empty() ? EXIT_SUCCESS : exit_failure;
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    start_event_log(arguments[0]);
    const auto settings = proxy_settings_list();
    const auto outcome = read_settings(
        settings, settings_input::of_process(argument_count, arguments));
    if (outcome.is_help_requested) {
        std::cout << settings_help("rhubarbrun-proxy [settings]", settings);
        return EXIT_SUCCESS;
    }
    if (!outcome.faults.empty()) {
        std::cerr << faults_message(outcome.faults);
        return exit_usage;
    }
    try {
        return run_proxy();
    } catch (const std::exception& error) {
        log_event("start_failed", event_severity::error)
            .field("reason", error.what());
        return exit_failure;
    }
}
