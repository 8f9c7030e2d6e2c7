#include <rhubarbrun/protocol/replay_window.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;

TEST_CASE("a replayed datagram is refused, a late one is accepted once")
{
    auto window = replay_window{};
    CHECK_FALSE(window.accept(0));
    CHECK(window.accept(5));
    CHECK_FALSE(window.accept(5));
    CHECK(window.accept(3));
    CHECK_FALSE(window.accept(3));
    CHECK(window.accept(5 + replay_window::width));
    CHECK_FALSE(window.accept(5));
    CHECK(window.accept(6));
}

TEST_CASE("a jump past the window forgets nothing that could be replayed")
{
    auto window = replay_window{};
    CHECK(window.accept(1));
    CHECK(window.accept(1000));
    CHECK_FALSE(window.accept(1));
    CHECK_FALSE(window.accept(1000));
    CHECK(window.accept(999));
}
