#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <doctest/doctest.h>

#include <mutex>
#include <thread>

using namespace rhubarbrun;

TEST_CASE("locks taken in rank order by several threads lose no update")
{
    auto outer = ranked_mutex(lock_rank::directory);
    auto inner = ranked_mutex(lock_rank::metrics);
    auto count = 0;
    constexpr auto rounds = 1000;
    const auto work = [&] {
        for (auto round = 0; round < rounds; ++round) {
            const auto first = std::lock_guard(outer);
            const auto second = std::lock_guard(inner);
            ++count;
        }
    };
    auto other = std::thread(work);
    work();
    other.join();
    CHECK(count == 2 * rounds);
}
