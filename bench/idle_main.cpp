#include "idle_main.hpp"

#include "target_arguments.hpp"

#include <libpq-fe.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;

auto open_sessions(const std::string& target, std::size_t count)
    -> std::vector<connection>
{
    auto sessions = std::vector<connection>{};
    for (auto number = std::size_t{0}; number < count; ++number) {
        sessions.emplace_back(PQconnectdb(target.c_str()), &PQfinish);
        if (PQstatus(sessions.back().get()) != CONNECTION_OK) {
            throw std::runtime_error(PQerrorMessage(sessions.back().get()));
        }
    }
    return sessions;
}

} // namespace

auto run_idle(int argument_count, char** arguments) -> int
{
    try {
        auto list = rhubarbrun::bench::argument_list(argument_count, arguments);
        const auto target = "host=" + list.text("address", "127.0.0.1") +
                            " port=" + list.text("port", "6432") +
                            " dbname=" + list.text("database", "orders") +
                            " user=idle sslmode=disable gssencmode=disable";
        const auto count = list.number("sessions", 100);
        list.expect_all_used();
        const auto sessions =
            open_sessions(target, static_cast<std::size_t>(count));
        std::cout << "open=" << sessions.size() << std::endl;
        auto line = std::string{};
        while (std::getline(std::cin, line)) {
        }
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << "rhubarbrun-bench idle: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
