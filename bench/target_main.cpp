#include "target_main.hpp"

#include "target_arguments.hpp"
#include "target_server.hpp"

#include <cstdlib>
#include <iostream>

namespace rhubarbrun::bench {

namespace {

auto read_options(argument_list& arguments) -> target_options
{
    auto options = target_options{};
    const auto microseconds = [&](const char* name,
                                  std::chrono::microseconds fallback) {
        return std::chrono::microseconds(
            arguments.number(name, fallback.count()));
    };
    options.address = arguments.text("address", options.address);
    options.port = static_cast<std::uint16_t>(arguments.number("port", 0));
    options.database = arguments.text("database", "orders");
    options.server = arguments.text("server", "server-1");
    options.zone = arguments.text("zone", "zone-1");
    options.slots = static_cast<std::size_t>(arguments.number("slots", 3));
    options.connection_limit =
        static_cast<std::size_t>(arguments.number("connection_limit", 90));
    options.connect_delay =
        microseconds("connect_delay_us", options.connect_delay);
    options.read_time = microseconds("read_us", options.read_time);
    options.scan_time = microseconds("scan_us", options.scan_time);
    options.write_time = microseconds("write_us", options.write_time);
    options.commit_time = microseconds("commit_us", options.commit_time);
    options.primary = arguments.text("primary", "");
    options.lag = std::chrono::milliseconds(arguments.number("lag_ms", 0));
    options.announce_to = arguments.list("announce_to");
    options.leave_time = std::chrono::milliseconds(
        arguments.number("leave_ms", options.leave_time.count()));
    arguments.expect_all_used();
    return options;
}

} // namespace

} // namespace rhubarbrun::bench

auto run_target(int argument_count, char** arguments) -> int
{
    using namespace rhubarbrun;
    try {
        auto list = bench::argument_list(argument_count, arguments);
        auto context = asio::io_context(1);
        const auto server =
            bench::target_server(context, bench::read_options(list));
        // A process that starts this one with port 0 reads the port here.
        std::cout << "port=" << server.options().port << std::endl;
        context.run();
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << "rhubarbrun-bench target: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
