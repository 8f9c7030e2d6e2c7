#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

#include <time.h> // clock_gettime is POSIX

#include <chrono>
#include <stdexcept>

namespace rhubarbrun::test {

// Leases and ages must end while a machine is suspended, in which the monotonic
// clock stands still.
TEST_CASE("steady_now counts the time in which a machine is suspended")
{
    const auto boot_clock = [] {
        auto now = timespec{};
        REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &now) == 0);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(now.tv_sec) +
            std::chrono::nanoseconds(now.tv_nsec)));
    };
    const auto before = boot_clock();
    const auto now = steady_now();
    const auto after = boot_clock();
    CHECK(before <= now);
    CHECK(now <= after);
}

TEST_CASE("an exception of one handler does not end the others")
{
    auto context = asio::io_context(1);
    auto ran = 0;
    asio::post(context, [&] { ++ran; });
    asio::post(context, [] { throw std::runtime_error("planted"); });
    asio::post(context, [&] {
        ++ran;
        context.stop();
    });
    run_handlers(context);
    CHECK(ran == 2);
}

} // namespace rhubarbrun::test
