#include <rhubarbrun/state/log_position.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;

TEST_CASE("a log offset survives its text form")
{
    const auto offset = parse_log_offset("16/B374D848");
    REQUIRE(offset.has_value());
    CHECK(to_string(*offset) == "16/B374D848");
}

TEST_CASE("text that is not a position is refused instead of read as zero")
{
    CHECK_FALSE(parse_log_offset("").has_value());
    CHECK_FALSE(parse_log_offset("/").has_value());
    CHECK_FALSE(parse_log_offset("16").has_value());
    CHECK_FALSE(parse_log_offset("16/XY").has_value());
    CHECK_FALSE(parse_log_offset("1/123456789").has_value());
}

TEST_CASE("a higher term is later than any offset of a lower term")
{
    const auto before = log_position{term(1), log_offset(900)};
    const auto after = log_position{term(2), log_offset(10)};
    CHECK(before < after);
}

TEST_CASE("a replica of a later term may still lack writes of an earlier one")
{
    const auto floor = log_position{term(4), log_offset(1000)};
    CHECK_FALSE(satisfies({term(5), log_offset(900)}, floor));
    CHECK_FALSE(satisfies({term(3), log_offset(2000)}, floor));
    CHECK(satisfies({term(5), log_offset(1000)}, floor));
}
