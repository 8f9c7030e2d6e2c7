#include "pg_client.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rhubarbrun;
using test::client_messages;
using test::session_under_test;
using test::summary;

namespace {

constexpr auto in_transaction = transaction_status::in_transaction;

auto rows_answer() -> std::string
{
    auto bytes = std::string{};
    auto out = pg_writer(bytes);
    out.row_description({column_description{}});
    out.data_row({std::string("1")});
    out.command_complete("SELECT 1");
    return bytes;
}

} // namespace

TEST_CASE("startup answers SSL and GSS requests and gives a real key")
{
    auto protocol = caller_protocol({});
    auto events =
        protocol.feed(std::string_view("\0\0\0\x08\x04\xd2\x16\x2f", 8));
    CHECK(protocol.take_output() == "N");
    CHECK(events.empty());
    session_under_test session;
    CHECK(session.started->database == "orders");
    CHECK(session.startup_output.find(std::string("K\0\0\0\x0c\0\0\0\1", 9)) !=
          std::string::npos);
    CHECK(session.startup_output.find("rhubarbrun.session_token") !=
          std::string::npos);
    CHECK(session.startup_output.ends_with(std::string("Z\0\0\0\5I", 6)));
}

TEST_CASE("a cancel request carries its key and ends the connection")
{
    auto protocol = caller_protocol({});
    const auto events = protocol.feed(
        std::string_view("\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\7\0\0\0\x09", 16));
    REQUIRE(events.size() == 2);
    CHECK(std::get<cancel_received>(events[0]).key == backend_key{7, 9});
    CHECK(protocol.is_ended());
}

TEST_CASE("settings given at startup apply and are validated")
{
    session_under_test session({},
                               {{"options", "-c rhubarbrun.max_age_ms=500 "
                                            "--rhubarbrun.class=long"},
                                {"rhubarbrun.deadline_ms", "250"},
                                {"rhubarbrun.session_token", "orders:1:0/5"}});
    CHECK(session.started->session_token == "orders:1:0/5");
    session.query("SELECT 1");
    REQUIRE(session.requests.size() == 1);
    CHECK(session.requests[0].max_age == std::chrono::milliseconds(500));
    CHECK(session.requests[0].deadline == std::chrono::milliseconds(250));
    CHECK(session.requests[0].hinted_class == work_class::report);

    for (const auto& [name, value, code] :
         {std::tuple{"rhubarbrun.max_age_ms", "-1", "22023"},
          std::tuple{"rhubarbrun.nonsense", "1", "22023"},
          std::tuple{"search_path", "x", "0A000"},
          std::tuple{"client_encoding", "LATIN1", "0A000"},
          std::tuple{"replication", "true", "0A000"},
          std::tuple{"options", "-B 5", "22023"}})
    {
        CAPTURE(name);
        session_under_test refused({}, {{name, value}});
        CHECK(refused.protocol.is_ended());
        CHECK(refused.output() == "E(" + std::string(code) + ")");
    }
}

TEST_CASE("the authentication hook can refuse a caller")
{
    auto options = caller_protocol_options{};
    options.authenticate = [](const session_start&) {
        return std::optional(
            request_error{verdict::ran, "28000", "unknown", {}});
    };
    session_under_test session(options);
    CHECK(session.protocol.is_ended());
    CHECK(session.output() == "E(28000)");
}

TEST_CASE("requests of one session are emitted one at a time, in order")
{
    // Two requests at once could be answered in the wrong order.
    session_under_test session;
    session.send(client_messages().query("SELECT 1").query("SELECT 2"));
    REQUIRE(session.requests.size() == 1);
    session.answer("SELECT 1");
    REQUIRE(session.requests.size() == 2);
    CHECK(session.requests[1].body.text == "SELECT 2");
    session.answer("SELECT 2");
    CHECK(session.output() == "C(SELECT 1)ZIC(SELECT 2)ZI");
}

TEST_CASE("an unmarked statement is a write that must not be repeated")
{
    session_under_test session;
    session.query("SELECT 1");
    CHECK_FALSE(session.requests[0].is_read_only);
    CHECK_FALSE(session.requests[0].is_idempotent);
    session.answer("SELECT 1");
    CHECK(session.query("SET rhubarbrun.idempotent = on").ends_with("ZI"));
    session.query("UPDATE t SET a = 1");
    CHECK(session.requests[1].is_idempotent);
    CHECK_FALSE(session.requests[1].is_read_only);
}

TEST_CASE("read-only mode is carried into single statements and transactions")
{
    session_under_test session({}, {{"default_transaction_read_only", "on"}});
    session.query("SELECT 1");
    CHECK(session.requests[0].is_read_only);
    session.answer("SELECT 1");
    // A target that is a primary would not refuse it by itself.
    session.output();
    CHECK(session.query("DELETE FROM t") == "E(25006)ZI");
    session.query("BEGIN");
    CHECK(session.requests[1].body.text == "BEGIN READ ONLY");
    CHECK(session.requests[1].step == transaction_step::begin);
    session.answer("BEGIN", in_transaction);
    session.output();
    CHECK(session.query("SET TRANSACTION READ WRITE") == "E(0A000)ZE");
}

TEST_CASE("transaction steps follow the text and the target's status")
{
    session_under_test session;
    session.query("BEGIN READ ONLY");
    CHECK(session.requests[0].is_read_only);
    session.answer("BEGIN", in_transaction);
    session.query("SELECT 1");
    CHECK(session.requests[1].step == transaction_step::within);
    CHECK(session.requests[1].is_read_only);
    session.answer("SELECT 1", in_transaction);
    session.query("COMMIT");
    CHECK(session.requests[2].step == transaction_step::end);
    session.answer("COMMIT");
    session.query("INSERT INTO t VALUES (1)");
    CHECK(session.requests[3].step == transaction_step::single);
    CHECK_FALSE(session.requests[3].is_read_only);
    session.answer("INSERT 0 1");
    session.output();
    CHECK(session.query("COMMIT") == "NC(COMMIT)ZI");
    CHECK(session.query("SELECT 1; BEGIN; SELECT 2") == "E(0A000)ZI");
    session.query("BEGIN; INSERT INTO t VALUES (1); COMMIT");
    CHECK(session.requests[4].step == transaction_step::begin);
}

TEST_CASE("after a lost transaction nothing runs until the caller ends it")
{
    // A caller that ignores one error would otherwise run the rest of its
    // transaction as single statements.
    session_under_test session;
    session.query("BEGIN");
    session.answer("BEGIN", in_transaction);
    session.query("INSERT INTO t VALUES (1)");
    session.answer_error(verdict::may_have_run, "08007");
    CHECK(session.output() == "E(08007)ZE");
    CHECK(session.query("INSERT INTO t VALUES (2)") == "E(25P02)ZE");
    CHECK(session.requests.size() == 2);
    CHECK(session.query("COMMIT") == "C(ROLLBACK)ZI");
    CHECK(session.requests.size() == 2);
}

TEST_CASE("a refused statement within a transaction ends in a rollback")
{
    session_under_test session;
    session.query("BEGIN");
    session.answer("BEGIN", in_transaction);
    session.query("INSERT INTO t VALUES (1)");
    session.answer_error(verdict::not_run, "53300", in_transaction);
    session.query("COMMIT");
    REQUIRE(session.requests.size() == 3);
    // The transaction lacks a statement, so that COMMIT must not commit it.
    CHECK(session.requests[2].body.text == "ROLLBACK");
    CHECK(session.requests[2].step == transaction_step::end);
    session.answer("ROLLBACK");
    CHECK(session.output() == "C(ROLLBACK)ZI");
}

TEST_CASE("the outcome of a lost COMMIT is reported, not guessed")
{
    session_under_test session;
    session.query("BEGIN");
    session.answer("BEGIN", in_transaction);
    session.query("COMMIT");
    session.answer_error(verdict::may_have_run, "08007");
    CHECK(session.output().ends_with("E(08007)ZI"));
    session.query("BEGIN");
    session.answer("BEGIN", in_transaction);
    session.query("ROLLBACK");
    session.answer_error(verdict::may_have_run, "08007");
    CHECK(session.output().ends_with("C(ROLLBACK)ZI"));
}

TEST_CASE("a request key names one write and is then forgotten")
{
    // A key that stays set would make the next order a repeat of this one.
    session_under_test session;
    session.query("SET rhubarbrun.request_key = 'k-1'");
    session.query("INSERT INTO t VALUES (1)");
    CHECK(session.requests[0].key == request_key("k-1"));
    session.answer("INSERT 0 1");
    session.query("INSERT INTO t VALUES (2)");
    CHECK(session.requests[1].key.is_empty());
    session.answer("INSERT 0 1");
    session.query("SET rhubarbrun.request_key = 'k-2'");
    session.query("BEGIN");
    CHECK(session.requests[2].key == request_key("k-2"));
    session.answer("BEGIN", in_transaction);
    session.query("INSERT INTO t VALUES (3)");
    CHECK(session.requests[3].key.is_empty());
    session.output();
    session.answer("INSERT 0 1", in_transaction);
    CHECK(session.query("SET rhubarbrun.request_key = 'a b'") ==
          "C(INSERT 0 1)ZTE(22023)ZE");
}

TEST_CASE("settings that would stay on a shared connection are refused")
{
    session_under_test session;
    CHECK(session.query("SET search_path = x") == "E(0A000)ZI");
    CHECK(session.query("SET client_encoding = 'utf8'") == "C(SET)ZI");
    CHECK(session.query("SET standard_conforming_strings = off") ==
          "E(0A000)ZI");
    CHECK(session.query("SET a.b = 1; SELECT 1") == "E(0A000)ZI");
    CHECK(session.query("SET extra_float_digits = 3; SET application_name = "
                        "'x'") == "C(SET)C(SET)ZI");
    CHECK(session.query("LISTEN a") == "E(0A000)ZI");
    session.query("BEGIN");
    session.answer("BEGIN", in_transaction);
    session.output();
    session.query("SET LOCAL search_path = x");
    REQUIRE(session.requests.size() == 2);
    session.answer("SET", in_transaction);
    session.output();
    CHECK(session.query("SET search_path = x") == "E(0A000)ZE");
}

TEST_CASE("local settings end with the transaction and SHOW reads them")
{
    session_under_test session;
    session.query("BEGIN");
    session.answer("BEGIN", in_transaction);
    session.query("SET LOCAL rhubarbrun.class = 'long'");
    session.query("SELECT 1");
    CHECK(session.requests[1].hinted_class == work_class::report);
    session.answer("SELECT 1", in_transaction);
    session.query("COMMIT");
    session.answer("COMMIT");
    session.query("SELECT 1");
    CHECK_FALSE(session.requests[3].hinted_class.has_value());
    session.answer("SELECT 1");
    session.output();
    session.send(client_messages().query("SHOW rhubarbrun.session_token"));
    const auto shown = session.protocol.take_output();
    CHECK(summary(shown) == "TDC(SHOW)ZI");
    CHECK(shown.find("orders:1:0/1000000") != std::string::npos);
    session.query("SET rhubarbrun.session_token = 'orders:2:0/7'");
    CHECK(session.presented_token == "orders:2:0/7");
}

TEST_CASE("a new session token is reported before ReadyForQuery")
{
    session_under_test session;
    for (const auto* expected : {"C(INSERT 0 1)SZI", "C(INSERT 0 1)ZI"}) {
        session.query("INSERT INTO t VALUES (1)");
        auto reply = execute_reply{};
        pg_writer(reply.answer).command_complete("INSERT 0 1");
        session.take(session.protocol.complete(reply, "orders:1:0/2000000"));
        CHECK(session.output() == expected);
    }
}

TEST_CASE("Bind and Execute become one parameterized statement")
{
    session_under_test session;
    session.send(client_messages()
                     .parse("s", "SELECT a FROM t WHERE a = $1")
                     .bind("", "s", {std::string("x")}, 1)
                     .describe('P', "")
                     .execute("")
                     .sync());
    REQUIRE(session.requests.size() == 1);
    const auto& body = session.requests[0].body;
    CHECK(body.form == statement_form::parameterized);
    CHECK(body.parameters == std::vector<column_value>{std::string("x")});
    CHECK(body.parameter_formats == std::vector<std::int16_t>{0});
    CHECK(body.result_format == 1);
    auto reply = execute_reply{};
    reply.answer = rows_answer();
    session.take(session.protocol.complete(reply, std::nullopt));
    CHECK(session.output() == "12TDC(SELECT 1)ZI");

    // Without Describe the row description would be a message too many.
    session.send(
        client_messages().bind("", "s", {std::string("y")}).execute("").sync());
    session.take(session.protocol.complete(reply, std::nullopt));
    CHECK(session.output() == "2DC(SELECT 1)ZI");
}

TEST_CASE("Describe of a portal without Execute asks the target")
{
    session_under_test session;
    session.send(client_messages().parse("", "SELECT 1").bind("", "", {}, 1));
    session.send(client_messages().describe('P', ""));
    CHECK(session.requests.empty());
    session.send(client_messages().empty(pg::flush));
    REQUIRE(session.requests.size() == 1);
    CHECK(session.requests[0].body.form == statement_form::describe);
    CHECK(session.requests[0].is_idempotent);
    auto reply = execute_reply{};
    auto out = pg_writer(reply.answer);
    out.parameter_description({});
    out.row_description({column_description{}});
    session.take(session.protocol.complete(reply, std::nullopt));
    const auto bytes = session.protocol.take_output();
    CHECK(summary(bytes) == "12T");
    // The portal's result format, not that of the statement.
    CHECK(bytes.ends_with(std::string("\0\1", 2)));
}

TEST_CASE("an error skips the messages up to Sync and no further")
{
    session_under_test session;
    session.send(client_messages()
                     .bind("", "missing", {})
                     .execute("")
                     .sync()
                     .parse("", "SELECT 1")
                     .sync());
    CHECK(session.output() == "E(26000)ZI1ZI");
    CHECK(session.requests.empty());
    session.send(client_messages()
                     .parse("a", "BEGIN")
                     .bind("", "a", {})
                     .execute("")
                     .parse("b", "SELECT 1")
                     .bind("", "b", {})
                     .execute("")
                     .sync());
    session.answer("BEGIN", in_transaction);
    REQUIRE(session.requests.size() == 2);
    session.answer_error(verdict::not_run, "57P03", in_transaction);
    CHECK(session.output() == "12C(BEGIN)12E(57P03)ZE");
}

TEST_CASE("what the extended protocol does not carry is refused with a reason")
{
    session_under_test session;
    const auto one = [&](client_messages& messages) {
        session.send(messages.sync());
        return session.output();
    };
    CHECK(one(client_messages()
                  .parse("", "SELECT 1")
                  .bind("", "", {})
                  .execute("", 5)) == "12E(0A000)ZI");
    CHECK(one(client_messages().parse("", "SELECT 1; SELECT 2")) ==
          "E(42601)ZI");
    CHECK(one(client_messages().parse("", "COPY t FROM STDIN")) ==
          "E(0A000)ZI");
    CHECK(one(client_messages().parse("x", "SELECT 1").parse("x", "")) ==
          "1E(42P05)ZI");
    CHECK(one(client_messages().close('S', "x").close('S', "x")) == "33ZI");
    CHECK(one(client_messages()
                  .parse("", "SHOW rhubarbrun.class")
                  .bind("", "", {})
                  .describe('P', "")
                  .execute("")) == "12TDC(SHOW)ZI");
    CHECK(session.requests.empty());
}

TEST_CASE("several statements before Sync need a transaction")
{
    // Run one by one, a failure of the second would leave the first committed.
    session_under_test session;
    session.send(client_messages()
                     .parse("", "INSERT INTO t VALUES (1)")
                     .bind("a", "", {})
                     .bind("b", "", {})
                     .execute("a"));
    CHECK(session.requests.empty());
    session.send(client_messages().execute("b").sync());
    CHECK(session.requests.empty());
    CHECK(session.output() == "122E(0A000)ZI");
}

TEST_CASE("queued messages and prepared statements are bounded")
{
    auto options = caller_protocol_options{};
    options.max_queued_messages = 8;
    options.max_prepared = 3;
    session_under_test session(options);
    session.send(client_messages().query("SELECT 1"));
    while (session.protocol.wants_input()) {
        session.send(client_messages().query("SELECT 2"));
    }
    CHECK(session.requests.size() == 1);
    for (auto index = 0; index < 9; ++index) {
        session.answer("SELECT 1");
    }
    CHECK(session.protocol.wants_input());
    session.output();
    session.send(client_messages()
                     .parse("a", "SELECT 1")
                     .parse("b", "SELECT 1")
                     .parse("c", "SELECT 1")
                     .parse("d", "SELECT 1")
                     .sync());
    CHECK(session.output() == "111E(54000)ZI");
    // A batch that never ends must not fill the memory.
    session.send(client_messages().close('S', "a").close('S', "b").sync());
    auto endless = client_messages();
    endless.parse("e", "SELECT 1").bind("", "e", {}).execute("");
    for (auto index = 0; index < 20; ++index) {
        endless.bind("", "e", {});
    }
    session.send(endless);
    CHECK(session.end_reason == "protocol_error");
}

TEST_CASE("no request starts while the caller does not read its answers")
{
    auto options = caller_protocol_options{};
    options.max_buffered_output = 10;
    session_under_test session(options);
    session.send(client_messages().query("SELECT 1").query("SELECT 2"));
    session.answer("SELECT 1");
    CHECK(session.requests.size() == 1);
    session.output();
    session.take(session.protocol.resume());
    CHECK(session.requests.size() == 2);
}

TEST_CASE("a drain ends a session only between statements")
{
    session_under_test session;
    session.query("BEGIN");
    session.take(session.protocol.drain());
    session.answer("BEGIN", in_transaction);
    CHECK(session.end_reason.empty());
    session.send(client_messages().query("COMMIT").query("SELECT 1"));
    session.answer("COMMIT");
    // It had arrived before the session was idle.
    CHECK(session.end_reason.empty());
    REQUIRE(session.requests.size() == 3);
    session.answer("SELECT 1");
    CHECK(session.end_reason == "drained");
    CHECK(session.output().ends_with("C(SELECT 1)ZIE(57P01)"));
}

TEST_CASE("an idle session ends apart from its last answer")
{
    // libpq takes an error in the same segment as ReadyForQuery for a notice,
    // so that its next request would fail without a verdict.
    session_under_test session;
    session.query("BEGIN");
    session.take(session.protocol.end_if_idle());
    session.answer("BEGIN", in_transaction);
    session.take(session.protocol.end_if_idle());
    CHECK(session.end_reason.empty());
    session.query("COMMIT");
    session.take(session.protocol.end_if_idle());
    session.answer("COMMIT");
    CHECK(session.end_reason.empty());
    CHECK(session.output().ends_with("C(COMMIT)ZI"));
    session.take(session.protocol.end_if_idle());
    CHECK(session.end_reason == "drained");
    CHECK(session.output() == "E(57P01)");
}

TEST_CASE("a broken message ends the session with a protocol error")
{
    session_under_test session;
    session.take(session.protocol.feed("!\0\0\0\4"));
    session.take(session.protocol.feed(std::string_view("!\0\0\0\4", 5)));
    CHECK(session.end_reason == "protocol_error");
    CHECK(session.output() == "E(08P01)");
    CHECK(session.protocol.feed("more").empty());
}

TEST_CASE("no mutated byte stream breaks the state machine")
{
    rc::check([] {
        auto bytes = client_messages()
                         .query("BEGIN; SELECT 'x'")
                         .parse("s", "SELECT $1")
                         .bind("p", "s", {std::string("x")})
                         .describe('S', "s")
                         .describe('P', "p")
                         .execute("p")
                         .sync()
                         .query("SET rhubarbrun.class = 'long'")
                         .close('S', "s")
                         .sync()
                         .bytes();
        const auto changes = *rc::gen::inRange(0, 4);
        for (auto index = 0; index < changes; ++index) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        session_under_test session;
        const auto split = *rc::gen::inRange<std::size_t>(0, bytes.size());
        session.take(session.protocol.feed(bytes.substr(0, split)));
        auto answered = std::size_t{0};
        const auto answer_all = [&] {
            while (answered < session.requests.size()) {
                RC_ASSERT(session.requests.size() == answered + 1);
                ++answered;
                session.answer("SELECT 1",
                               *rc::gen::element(transaction_status::idle,
                                                 in_transaction,
                                                 transaction_status::failed));
            }
        };
        answer_all();
        session.take(session.protocol.feed(bytes.substr(split)));
        answer_all();
        RC_ASSERT(!session.protocol.is_running());
        // Whatever was sent, the output is a valid stream of messages.
        static_cast<void>(summary(session.protocol.take_output()));
    });
}

TEST_CASE("a bundle's deadline applies to open sessions that set none")
{
    auto limit = std::chrono::milliseconds(700);
    auto options = caller_protocol_options{};
    options.default_deadline = [&limit](const std::string& database) {
        CHECK(database == "orders");
        return duration(limit);
    };
    session_under_test session(options);
    session.send(client_messages().query("SELECT 1"));
    CHECK(session.requests[0].deadline == limit);
    session.answer("SELECT 1");
    limit = std::chrono::milliseconds(900);
    session.send(client_messages().query("SELECT 1"));
    CHECK(session.requests[1].deadline == limit);
    session.answer("SELECT 1");
    session.query("SET rhubarbrun.deadline_ms = 50");
    session.send(client_messages().query("SELECT 1"));
    CHECK(session.requests[2].deadline == std::chrono::milliseconds(50));
}
