#include <rhubarbrun/state/session_token.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace rhubarbrun;

namespace {

auto error_offset(std::string_view text) -> std::optional<std::size_t>
{
    const auto result = parse_session_token(text);
    if (const auto* error = std::get_if<session_token_error>(&result)) {
        CHECK_FALSE(error->message.empty());
        return error->offset;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a token survives its text form")
{
    auto token = session_token{};
    token.raise(group_id("orders"), {term(3), log_offset(0x16B374D848)});
    token.raise(group_id("depots"), {term(1), log_offset(0)});
    CHECK(to_string(token) == "depots:1:0/0,orders:3:16/B374D848");
    const auto parsed = parse_session_token(to_string(token));
    REQUIRE(std::holds_alternative<session_token>(parsed));
    CHECK(std::get<session_token>(parsed) == token);
    CHECK(std::get<session_token>(parse_session_token("")) == session_token{});
}

TEST_CASE("a floor is never lowered, so reads do not go back in time")
{
    auto token = session_token{};
    const auto group = group_id("orders");
    token.raise(group, {term(2), log_offset(10)});
    token.raise(group, {term(1), log_offset(9)});
    token.raise(group, {term(2), log_offset(9)});
    CHECK(token.floor(group) == log_position{term(2), log_offset(10)});
    // A replica of term 2 may lack an offset of term 1, so both count.
    token.raise(group, {term(1), log_offset(900)});
    CHECK(token.floor(group) == log_position{term(2), log_offset(900)});
    CHECK_FALSE(token.floor(group_id("depots")));
}

TEST_CASE("a malformed token is refused with the place of the fault")
{
    struct example
    {
        std::string_view text;
        std::size_t offset;
    };
    constexpr auto examples = std::array{
        example{":1:0/1", 0},
        example{"a b:1:0/1", 0},
        example{"a", 1},
        example{"a:1", 3},
        example{"a::0/1", 2},
        example{"a:-1:0/1", 2},
        example{"a:01:0/1", 2},
        example{"a:+1:0/1", 2},
        example{"a:1:0", 4},
        example{"a:1:0/01", 4},
        example{"a:1:0/1x", 4},
        example{"a:1:0/1 ", 4},
        example{"a:1:0/1,", 8},
        example{"a:1:0/1,a:2:0/2", 8},
        example{"a:1:0/b", 4},
        example{",a:1:0/1", 0},
        example{"a:18446744073709551616:0/1", 2},
    };
    for (const auto& each : examples) {
        CAPTURE(each.text);
        CHECK(error_offset(each.text) == each.offset);
    }
}

TEST_CASE("a token larger than the limits is refused before it is stored")
{
    CHECK(error_offset(std::string(session_token::longest_text + 1, 'a')));
    CHECK(error_offset(std::string(session_token::longest_group + 1, 'a') +
                       ":1:0/1") == 0);
    auto text = std::string{};
    for (auto group = std::size_t{0}; group < session_token::most_groups;
         ++group) {
        text += "g" + std::to_string(group) + ":1:0/1,";
    }
    CHECK_FALSE(error_offset(text.substr(0, text.size() - 1)));
    CHECK(error_offset(text + "last:1:0/1") == text.size());
}
