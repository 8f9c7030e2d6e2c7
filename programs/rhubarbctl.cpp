#include <rhubarbrun/transport/operator_client.hpp>

#include <iostream>

auto main(int argument_count, char** arguments) -> int
{
    return rhubarbrun::run_operator_client(
        rhubarbrun::settings_input::of_process(argument_count, arguments),
        {std::cout, std::cerr, {}});
}
