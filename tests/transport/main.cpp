#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <rhubarbrun/transport/event_log.hpp>

#include <cstdlib>
#include <ctime>

auto main(int argument_count, char** arguments) -> int
{
    // Without TZ, the C library reads the time zone again for each log line,
    // under a lock that ThreadSanitizer does not see, and it reports a race.
    ::setenv("TZ", "UTC", 0);
    ::tzset();
    rhubarbrun::start_event_log(arguments[0]);
    return doctest::Context(argument_count, arguments).run();
}
