#include "load_main.hpp"

#include <cstdlib>

auto run_load(int /*argument_count*/, char** /*arguments*/) -> int
{
    return EXIT_FAILURE;
}
