#include "../stand_ins/scene.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

// A proxy gets SIGTERM while reports wait for one of its connections to the
// primary.

namespace {

using namespace review;

/// Bounds of the deployment.
constexpr auto grace = 6000ms;
constexpr auto loss_slack = 200ms;

struct state
{
    std::optional<clock::time_point> signalled_at;
    std::size_t served = 0;
};

auto judge(scene& world, const state& now, const std::string& id,
           clock::time_point sent) -> void
{
    const auto end = clock::now();
    if (!now.signalled_at || end > *now.signalled_at + grace + 1000ms) {
        world.note("cut outside of planned work: " + id);
        return;
    }
    if (end - sent <= loss_slack) {
        return;
    }
    if (world.arrived.contains(id)) {
        // The server was at work on it, which excuses the cut.
        world.note("cut while the server was at work: " + id);
        return;
    }
    world.broken(
        "LOST: " + id + " was sent " +
        std::to_string(
            std::chrono::duration_cast<milliseconds>(end - sent).count()) +
        " ms before its connection ended, reached no server and got no answer");
}

auto reporter(scene& world, state& now, std::size_t proxy) -> task<>
{
    while (!world.is_over && !now.signalled_at) {
        auto session = consumer(world, world.proxies[proxy].address);
        if (!co_await session.start("reports")) {
            co_await world.sleep(200ms);
            continue;
        }
        while (!world.is_over) {
            const auto id = next_id();
            const auto sent = clock::now();
            const auto lines =
                co_await session.ask(id, "READ report" + id, 11000ms);
            if (world.is_over) {
                co_return;
            }
            if (lines.empty()) {
                // A session that is closed between requests loses none: then
                // the request was not read.
                judge(world, now, id, sent);
                break;
            }
            now.served += lines.front().starts_with("DATAROW") ? 1 : 0;
        }
    }
}

auto script(scene& world, state& now, bool has_trouble) -> task<>
{
    auto& first = world.add_server("i-c41d09", "almaty-a", 1ms);
    first.is_primary = true;
    auto& second = world.add_server("i-90b2e4", "astana-a", 20ms);
    auto& third = world.add_server("i-17f3a9", "aktobe-a", 20ms);
    world.start_provider();
    world.start_all();
    for (auto* const each : {&first, &second, &third}) {
        world.run_server(*each);
    }
    co_await world.put_configuration(
        world.document(3, world.route("reports", "primary")));
    co_await world.sleep(3000ms);
    world.statement_time = 2000ms;
    for (auto number = 0; number < 14; ++number) {
        world.spawn(reporter(world, now, 0));
    }
    co_await world.sleep(16000ms);
    if (now.served < 10) {
        throw cannot_run("the reports were not served before the SIGTERM");
    }
    if (has_trouble) {
        world.signal(world.proxies[0], SIGTERM);
        now.signalled_at = clock::now();
    }
    for (auto waited = 0; waited < 80; ++waited) {
        co_await world.sleep(100ms);
        static_cast<void>(world.is_running(world.proxies[0]));
    }
    world.note("served " + std::to_string(now.served));
}

} // namespace

auto main(int count, char** arguments) -> int
try {
    if (count != 4) {
        return 2;
    }
    const auto has_trouble = std::string_view(arguments[3]) != "0";
    auto context = asio::io_context(1);
    auto options = deployment_options{};
    options.connections_per_server = 8;
    options.statement_timeout = 10000;
    options.latency_objective = 10000;
    auto world = scene(context, arguments[1], arguments[2], options);
    auto now = state{};
    return world.play(script(world, now, has_trouble));
} catch (const std::exception& fault) {
    std::cerr << fault.what() << '\n';
    return 2;
}
