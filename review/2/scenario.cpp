#include "../stand_ins/scene.hpp"

#include <iostream>

// The primary is released as planned. Its order to step down gets no answer and
// is carried out late, so that it goes on acknowledging writes.

namespace {

using namespace review;

auto clerk(scene& world, std::set<std::string>& acknowledged,
           std::size_t number) -> task<>
{
    while (!world.is_over) {
        auto session = consumer(
            world, world.proxies[number % world.proxies.size()].address);
        if (!co_await session.start("orders")) {
            co_await world.sleep(100ms);
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
            co_await world.sleep(20ms);
        }
    }
}

auto script(scene& world, std::set<std::string>& acknowledged, bool has_trouble)
    -> task<>
{
    auto& first = world.add_server("i-c41d09", "almaty-a", 1ms);
    first.is_primary = true;
    // One replica in the primary's region, one in another; the latter has the
    // lower id.
    auto& near = world.add_server("i-90b2e4", "almaty-b", 1ms);
    auto& far = world.add_server("i-17f3a9", "astana-a", 20ms);
    world.start_provider();
    world.start_all();
    for (auto* const each : {&first, &near, &far}) {
        world.run_server(*each);
    }
    co_await world.put_configuration(
        world.document(3, world.route("orders", "primary")));
    co_await world.sleep(5000ms);

    world.are_orders_late = has_trouble;
    if (has_trouble) {
        world.note("trouble: every second order to a server gets no answer and "
                   "is carried out 5 s later");
    }
    world.note("plan: the primary " + first.id + " drains");
    first.state = "draining";
    co_await world.sleep(300ms);
    // Consumers begin to write; before, the databases were at rest.
    for (auto number = std::size_t{0}; number < 10; ++number) {
        world.spawn(clerk(world, acknowledged, number));
    }
    co_await world.sleep(9000ms);
    if (acknowledged.empty()) {
        throw cannot_run("no write was acknowledged");
    }
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
