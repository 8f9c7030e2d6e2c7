#include "../stand_ins/scene.hpp"

#include <algorithm>
#include <iostream>

// A replica drains as planned, the other one receives nothing for a while, and
// the primary crashes meanwhile. Only the draining replica holds what was
// acknowledged.

namespace {

using namespace review;

auto clerk(scene& world, std::set<std::string>& acknowledged,
           std::size_t number) -> task<>
{
    while (!world.is_over) {
        auto session = consumer(
            world, world.proxies[number % world.proxies.size()].address);
        if (!co_await session.start("orders")) {
            co_await world.sleep(200ms);
            continue;
        }
        while (!world.is_over) {
            const auto id = next_id();
            const auto lines =
                co_await session.ask(id, "WRITE item" + id + " data", 3000ms);
            if (lines.empty()) {
                break;
            }
            if (lines.front().starts_with("COMPLETE")) {
                acknowledged.insert(id);
            }
            co_await world.sleep(100ms);
        }
    }
}

auto script(scene& world, std::set<std::string>& acknowledged, bool has_trouble)
    -> task<>
{
    auto& first = world.add_server("i-5c1d09", "almaty-a", 1ms);
    first.is_primary = true;
    auto& second = world.add_server("i-7f3a91", "astana-a", 20ms);
    auto& third = world.add_server("i-90b2e4", "aktobe-a", 20ms);
    world.start_provider();
    world.start_all();
    for (auto* const each : {&first, &second, &third}) {
        world.run_server(*each);
    }
    co_await world.put_configuration(
        world.document(3, world.route("orders", "primary")));
    co_await world.sleep(3000ms);
    for (auto number = std::size_t{0}; number < 4; ++number) {
        world.spawn(clerk(world, acknowledged, number));
    }
    co_await world.sleep(4000ms);
    if (acknowledged.empty()) {
        throw cannot_run("no write was acknowledged before the disruption");
    }

    world.note("plan: " + second.id + " drains");
    second.state = "draining";
    if (has_trouble) {
        world.note("trouble: " + third.id + " receives nothing for 6 s");
        third.is_deaf = true;
    }
    co_await world.sleep(2500ms);
    if (has_trouble) {
        world.note("trouble: the primary crashes for 7 s");
        world.crash_server(first);
    }
    co_await world.sleep(3500ms);
    third.is_deaf = false;
    co_await world.sleep(1500ms);
    // Seven seconds after the acknowledgement the drained server leaves; its
    // log goes to a new server at its address.
    world.note("plan: " + second.id + " ends");
    co_await world.http(world.controls[0].address,
                        world.where.port(places::control_port), "DELETE",
                        "/api/instances/" + second.id, {}, 1000ms);
    world.crash_server(second);
    second.id = "i-a8d711";
    second.state = "ready";
    second.drain_acknowledged_at.reset();
    world.run_server(second);
    co_await world.sleep(2000ms);
    if (has_trouble) {
        world.run_server(first);
    }
    co_await world.sleep(4000ms);
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
    options.synchronous_replicas = 1;
    auto world = scene(context, arguments[1], arguments[2], options);
    auto acknowledged = std::set<std::string>();
    world.on_promoted = [&](database_server& server) {
        world.check_promoted(server, acknowledged);
    };
    return world.play(script(world, acknowledged, has_trouble));
} catch (const std::exception& fault) {
    std::cerr << fault.what() << '\n';
    return 2;
}
