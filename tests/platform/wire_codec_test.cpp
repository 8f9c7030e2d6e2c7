#include "wire_codec.hpp"

#include <doctest/doctest.h>

#include <random>

namespace rhubarbrun_tests {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

TEST_CASE("wire codec: requests are forwarded with id and text unchanged")
{
    for (const auto* const line :
         {"QUERY 5c0e READ 1a4", "QUERY 5c0e WRITE 1a4 two words",
          "QUERY 5c0e EXECUTE s1 1a4 xkq", "QUERY 5c0e EXECUTE s1 1a4",
          "QUERY 5c0e COMMIT", "QUERY 5c0e BEGIN", "QUERY 5c0e BEGIN READ",
          "QUERY 5c0e SET name a value", "QUERY 5c0e PREPARE s1 WRITE q2c"})
    {
        const auto statement = parse_request(line);
        REQUIRE(statement);
        CHECK(statement->step != relay_step::malformed);
        CHECK(format_statement(*statement) == std::string(line) + "\r\n");
    }
}

TEST_CASE("wire codec: a required position precedes the statement")
{
    auto statement = parse_request("QUERY 5c0e READ 1a4");
    statement->floor = log_position{term(3), log_offset(1207)};
    CHECK(format_statement(*statement) ==
          "QUERY 5c0e WAITLSN 3.1207 READ 1a4\r\n");
    auto begin = relay_statement{};
    begin.step = relay_step::begin;
    CHECK(format_statement(begin) == "QUERY - BEGIN\r\n");
}

TEST_CASE("wire codec: statements that cannot be read are malformed")
{
    for (const auto* const line :
         {"QUERY 1 ", "QUERY 1 READ", "QUERY 1 WAITLSN 3.1 READ a",
          "QUERY 1 STATUS", "QUERY 1 PREPARE s OTHER q", "QUERY 1 BEGIN NOW",
          "QUERY 1 COMMIT x", "QUERY 1 DISCARD", "QUERY 1 STEPDOWN 9"})
    {
        const auto statement = parse_request(line);
        REQUIRE(statement);
        CHECK(statement->step == relay_step::malformed);
    }
    CHECK(!parse_request("STARTUP a b"));
    CHECK(!parse_request("QUERY"));
    CHECK(!parse_request(""));
}

TEST_CASE("wire codec: an answer is complete with its last message")
{
    auto parser = reply_parser();
    CHECK(parser.add("DATAROW a b") == reply_parser::result::incomplete);
    CHECK(parser.add("COMPLETE 7.1f3.c") == reply_parser::result::incomplete);
    CHECK(parser.add("READY T 3.1209") == reply_parser::result::complete);
    const auto reply = parser.take();
    CHECK(reply.is_success());
    CHECK(reply.status == transaction_status::in_transaction);
    REQUIRE(reply.position);
    CHECK(reply.position->offset == log_offset(1209));
    CHECK(format_reply(reply) ==
          "DATAROW a b\r\nCOMPLETE 7.1f3.c\r\nREADY T 3.1209\r\n");
}

TEST_CASE("wire codec: an unlisted error code is passed on")
{
    auto parser = reply_parser();
    parser.add("ERROR STRANGE some text");
    CHECK(parser.add("READY I -") == reply_parser::result::complete);
    CHECK(format_reply(parser.take()) ==
          "ERROR STRANGE some text\r\nREADY I -\r\n");
    CHECK(parser.add("READY I -") == reply_parser::result::malformed);
    CHECK(parser.add("NONSENSE") == reply_parser::result::malformed);
    CHECK(parser.add("READY X -") == reply_parser::result::malformed);
}

// The end of an answer that was cut off and the beginning of the next one were
// read as one answer, with the rows of the first and the outcome of the second.
TEST_CASE("wire codec: an answer that is cut off anywhere and the next one are "
          "never one answer")
{
    const auto first = std::string("DATAROW a\r\nCOMPLETE 7.1f3.c\r\n"
                                   "READY T 3.1209\r\n");
    for (const auto* const next :
         {"COMPLETE -\r\nREADY I 3.1209\r\n",
          "ERROR FAILED i-1\r\nREADY I 3.1209\r\n",
          "ERROR RETRY i-1\r\nREADY T 3.1209\r\n",
          "DATAROW b\r\nCOMPLETE 7.1f4.c\r\nREADY I 3.1209\r\n"})
    {
        for (auto cut = std::size_t{0}; cut < first.size(); ++cut) {
            auto lines = line_splitter();
            auto parser = reply_parser();
            lines.append(first.substr(0, cut) + next);
            auto is_over = false;
            while (const auto line = is_over ? std::nullopt : lines.next()) {
                const auto result = parser.add(*line);
                is_over = result != reply_parser::result::incomplete;
                if (result != reply_parser::result::complete) {
                    continue;
                }
                // What is left is no success inside the transaction.
                const auto reply = parser.take();
                const auto is_first_taken =
                    reply.is_success() &&
                    reply.status == transaction_status::in_transaction;
                INFO(cut);
                CHECK_FALSE(is_first_taken);
            }
            CHECK(is_over);
        }
    }
}

TEST_CASE("wire codec: the last message of an answer has a state and a "
          "position")
{
    for (const auto* const line :
         {"READY", "READY I", "READY I ", "READY I 3", "READY I 3.12x",
          "READY T 3.12COMPLETE -", "READY I -COMPLETE", "READY X -"})
    {
        auto parser = reply_parser();
        parser.add("COMPLETE -");
        CHECK(parser.add(line) == reply_parser::result::malformed);
    }
}

TEST_CASE("wire codec: lines arrive in any pieces, and an endless one is "
          "refused")
{
    auto lines = line_splitter();
    lines.append("QUE");
    CHECK(!lines.next());
    lines.append("RY 1\r\nTERM");
    CHECK(*lines.next() == "QUERY 1");
    CHECK(!lines.next());
    lines.append("INATE\r");
    CHECK(!lines.next());
    lines.append("\n");
    CHECK(is_terminate(*lines.next()));
    lines.append(std::string(longest_line + 1, 'x'));
    CHECK(!lines.next());
    CHECK(lines.is_overlong());
}

// A line feed in a caller's data ended the line: a server ran a shortened text,
// and a statement that nobody had sent.
TEST_CASE("wire codec: a line ends with CR LF and nothing else")
{
    auto lines = line_splitter();
    lines.append("QUERY 1 WRITE item a\nQUERY 2 WRITE item b\rc\r");
    CHECK(!lines.next());
    lines.append("\r\nTERMINATE\r\n");
    const auto line = lines.next();
    REQUIRE(line);
    const auto statement = parse_request(*line);
    REQUIRE(statement);
    CHECK(statement->id == "1");
    CHECK(format_statement(*statement) ==
          "QUERY 1 WRITE item a\nQUERY 2 WRITE item b\rc\r\r\n");
    CHECK(is_terminate(*lines.next()));
    CHECK(!lines.next());
}

TEST_CASE("wire codec: the state of a server's log")
{
    const auto status = parse_log_status("replica 3 3.1209 0 12 2 17");
    REQUIRE(status);
    CHECK(status->role == server_role::replica);
    CHECK(status->newest == term(3));
    CHECK(status->received.offset == log_offset(1209));
    CHECK(status->paused_by == term(0));
    CHECK(parse_log_status("replica 3 3.1209 4 12 2 17")->paused_by == term(4));
    CHECK(!parse_log_status("replica x 3.1209"));
    CHECK(!parse_log_status("replica 3 -"));
    CHECK(!parse_log_status("other 3 3.1"));
}

TEST_CASE("wire codec: damaged bytes are refused or read, and crash nothing")
{
    const auto original = std::string(
        "STARTUP db who\r\nQUERY 1 PREPARE s READ q\r\nDATAROW x\r\n"
        "COMPLETE p\r\nERROR RETRY later\r\nREADY I 3.1\r\n");
    auto random = std::mt19937_64(1);
    for (auto round = 0; round < 20'000; ++round) {
        auto bytes = original;
        for (auto change = 0; change < 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        auto lines = line_splitter();
        auto parser = reply_parser();
        lines.append(bytes);
        while (const auto line = lines.next()) {
            static_cast<void>(parse_caller_start(*line));
            static_cast<void>(parse_request(*line));
            static_cast<void>(parse_log_status(*line));
            if (parser.add(*line) == reply_parser::result::complete) {
                static_cast<void>(parser.take());
            }
        }
    }
}

} // namespace rhubarbrun_tests
