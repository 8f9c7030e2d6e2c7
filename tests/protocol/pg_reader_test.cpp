#include "pg_client.hpp"

#include <rhubarbrun/protocol/pg_reader.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rhubarbrun;
using test::client_messages;

namespace {

/// Each parser must refuse or accept any body, but never read past its end.
auto parse_any(const pg_frame& frame) -> void
{
    const auto attempt = [&](auto parser) {
        try {
            static_cast<void>(parser(frame.body));
        } catch (const protocol_error&) {
        }
    };
    attempt(&parse_startup);
    attempt(&parse_query);
    attempt(&parse_parse);
    attempt(&parse_bind);
    attempt(&parse_object);
    attempt(&parse_execute);
    attempt(&parse_error);
    attempt(&parse_row_description);
    attempt(&decode_answer);
}

} // namespace

TEST_CASE("a frame is returned only when it is whole")
{
    const auto bytes = client_messages().query("SELECT 1").sync().bytes();
    auto reader = pg_frame_reader(1000, false);
    auto types = std::string{};
    for (const auto byte : bytes) {
        reader.feed({&byte, 1});
        while (const auto frame = reader.next()) {
            types.push_back(frame->type);
        }
    }
    CHECK(types == "QS");
    CHECK(reader.buffered_bytes() == 0);
}

TEST_CASE("a length is refused before its body is buffered")
{
    // Otherwise one header of 2 GiB would make the proxy wait for, and hold,
    // that many bytes.
    for (const auto* header : {"Q\x7f\xff\xff\xff", "Q\xff\xff\xff\xff"}) {
        auto reader = pg_frame_reader(1000, false);
        reader.feed({header, 5});
        CHECK_THROWS_AS(static_cast<void>(reader.next()), protocol_error);
    }
    auto reader = pg_frame_reader(1000, false);
    reader.feed(std::string_view("Q\0\0\0\3", 5));
    CHECK_THROWS_AS(static_cast<void>(reader.next()), protocol_error);
    auto startup = pg_frame_reader(1 << 20, true);
    startup.feed(std::string_view("\0\1\0\0", 4));
    CHECK_THROWS_AS(static_cast<void>(startup.next()), protocol_error);
}

TEST_CASE("counts and lengths inside a message are checked")
{
    auto bytes = std::string{};
    auto out = pg_writer(bytes);
    out.put_text("");
    out.put_text("");
    out.put_int16(0);
    out.put_int16(2);
    out.put_uint32(0x7fffffffU);
    CHECK_THROWS_AS(static_cast<void>(parse_bind(bytes)), protocol_error);
    CHECK_THROWS_AS(static_cast<void>(parse_query("no zero byte")),
                    protocol_error);
    CHECK_THROWS_AS(static_cast<void>(parse_object(std::string("Xa\0", 3))),
                    protocol_error);
}

TEST_CASE("an answer survives encoding and decoding")
{
    auto bytes = std::string{};
    auto out = pg_writer(bytes);
    auto column = column_description{};
    column.name = "id";
    out.row_description({column});
    out.data_row({std::string("a\0b", 3)});
    out.data_row({std::nullopt});
    out.command_complete("SELECT 2");
    const auto decoded = decode_answer(bytes);
    REQUIRE(decoded.rows.size() == 2);
    CHECK(decoded.columns[0].name == "id");
    CHECK(decoded.rows[0][0] == std::string("a\0b", 3));
    CHECK_FALSE(decoded.rows[1][0].has_value());
    CHECK(decoded.tags == std::vector<std::string>{"SELECT 2"});
    CHECK_THROWS_AS(static_cast<void>(decode_answer(
                        std::string_view(bytes).substr(0, bytes.size() - 1))),
                    protocol_error);
}

TEST_CASE("the code of an error tells whether the request ran")
{
    // A caller that reads another code as "did not run" sends an order twice.
    const auto code = [](verdict outcome, std::string text) {
        return std::string(
            code_for_caller(request_error{outcome, std::move(text), "", {}}));
    };
    CHECK(code(verdict::may_have_run, "57P03") == "08007");
    CHECK(code(verdict::may_have_run, "54000") == "08007");
    CHECK(code(verdict::not_run, "08007") == "57P03");
    CHECK(code(verdict::not_run, "XX000") == "57P03");
    CHECK(code(verdict::not_run, "53300") == "53300");
    CHECK(code(verdict::not_run, "0A000") == "0A000");
    CHECK(code(verdict::ran, "54000") == "54000");
    auto bytes = std::string{};
    auto out = pg_writer(bytes);
    auto error = request_error{verdict::not_run, "53300", "queue is full",
                               std::chrono::microseconds(1500)};
    write_request_error(out, error);
    CHECK(decode_answer(bytes).error->detail == "retry_after_ms=2");
}

TEST_CASE("no mutated message makes a parser read past its end")
{
    rc::check([] {
        auto bytes = client_messages()
                         .parse("s", "SELECT $1")
                         .bind("p", "s", {std::string("x"), std::nullopt})
                         .describe('P', "p")
                         .execute("p")
                         .sync()
                         .bytes();
        const auto changes = *rc::gen::inRange(1, 6);
        for (auto index = 0; index < changes; ++index) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        auto reader = pg_frame_reader(1000, false);
        reader.feed(bytes);
        try {
            while (const auto frame = reader.next()) {
                parse_any(*frame);
            }
        } catch (const protocol_error&) {
        }
        RC_ASSERT(reader.buffered_bytes() <= bytes.size());
    });
}
