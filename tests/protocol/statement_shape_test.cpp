#include <rhubarbrun/protocol/statement_shape.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace rhubarbrun;

namespace {

auto kind_of(std::string_view text) -> statement_kind
{
    const auto parts = split_statements(text);
    REQUIRE(parts.size() == 1);
    return parts[0].kind;
}

} // namespace

TEST_CASE("a semicolon in quotes or comments does not split a statement")
{
    // A statement hidden in text, or text taken for a statement, would be
    // carried under the rules of another one.
    CHECK(split_statements("SELECT ';'").size() == 1);
    CHECK(split_statements("SELECT 'it''s; fine'").size() == 1);
    CHECK(split_statements("SELECT E'\\';' ; LISTEN a").size() == 2);
    CHECK(split_statements("SELECT E'a'\n '\\';' ; LISTEN a").size() == 2);
    CHECK(split_statements("SELECT '\\'; LISTEN a").size() == 2);
    CHECK(split_statements("SELECT \"a;b\"").size() == 1);
    CHECK(split_statements("SELECT $x$ ; $y$ ; $x$").size() == 1);
    CHECK(split_statements("SELECT 1$x$;$x$").size() == 1);
    CHECK(split_statements("SELECT 1 -- ; x\n; SELECT 2").size() == 2);
    CHECK(split_statements("/* ; /* ; */ ; */ SELECT 1").size() == 1);
    CHECK(split_statements(" ; ;; ").empty());
    CHECK(split_statements("SELECT 'open ; text").size() == 1);
}

TEST_CASE("transaction control is recognised in all its spellings")
{
    // A BEGIN taken for a plain statement would leave an open transaction on
    // a shared connection.
    const auto begin = split_statements("START TRANSACTION ISOLATION LEVEL "
                                        "SERIALIZABLE, READ ONLY");
    REQUIRE(begin.size() == 1);
    CHECK(begin[0].kind == statement_kind::begin);
    CHECK(begin[0].mode == access_mode::read_only);
    CHECK(kind_of("/* x */ bEgIn") == statement_kind::begin);
    CHECK(kind_of("END") == statement_kind::commit);
    CHECK(kind_of("COMMIT AND NO CHAIN") == statement_kind::commit);
    CHECK(kind_of("abort") == statement_kind::rollback);
    CHECK(kind_of("ROLLBACK TO SAVEPOINT a") == statement_kind::savepoint);
    CHECK(kind_of("RELEASE a") == statement_kind::savepoint);
    CHECK(kind_of("COMMIT AND CHAIN") == statement_kind::not_carried);
    CHECK(kind_of("COMMIT PREPARED 'x'") == statement_kind::not_carried);
}

TEST_CASE("statements that leave state on a connection are not carried")
{
    for (const auto* text : {"LISTEN a",
                             "UNLISTEN *",
                             "COPY t FROM STDIN",
                             "PREPARE a AS SELECT 1",
                             "PREPARE TRANSACTION 'x'",
                             "EXECUTE a",
                             "LOAD 'x'",
                             "CREATE TEMP TABLE t (a int)",
                             "CREATE LOCAL TEMPORARY TABLE t ()",
                             "CREATE OR REPLACE TEMP VIEW v AS SELECT 1",
                             "SELECT 1 INTO TEMP t",
                             "SELECT pg_advisory_lock(1)",
                             "SELECT \"pg_advisory_lock\"(1)",
                             "SELECT set_config('a.b', 'x', false)",
                             "SET ROLE admin",
                             "SET SESSION AUTHORIZATION a",
                             "RESET ROLE",
                             "DISCARD TEMP",
                             "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
                             "CREATE TABLE pg_temp.t (a int)"})
    {
        CAPTURE(text);
        CHECK(kind_of(text) == statement_kind::not_carried);
    }
    CHECK(kind_of("SELECT pg_advisory_xact_lock(1)") == statement_kind::read);
    CHECK(kind_of("SELECT set_config('a.b', f(1, 2), true)") ==
          statement_kind::read);
    CHECK(kind_of("INSERT INTO temp VALUES (1)") == statement_kind::write);
}

TEST_CASE("only statements that cannot change data count as reads")
{
    CHECK(kind_of("SELECT 1") == statement_kind::read);
    CHECK(kind_of("(SELECT 1) UNION VALUES (2)") == statement_kind::read);
    CHECK(kind_of("EXPLAIN SELECT 1") == statement_kind::read);
    CHECK(kind_of("SELECT * FROM t FOR UPDATE") == statement_kind::write);
    // A lock clause behind another FOR must not send the query to a replica.
    CHECK(kind_of("SELECT substring(a FOR 3) FROM t FOR SHARE") ==
          statement_kind::write);
    CHECK(kind_of("SELECT * FROM t FOR NO KEY UPDATE") ==
          statement_kind::write);
    CHECK(kind_of("WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x") ==
          statement_kind::write);
    CHECK(kind_of("SELECT 1 INTO t") == statement_kind::write);
    CHECK(kind_of("EXPLAIN ANALYZE DELETE FROM t") == statement_kind::write);
    CHECK(kind_of("CALL p()") == statement_kind::write);
}

TEST_CASE("SET gives name and value in its different forms")
{
    const auto set = [](std::string_view text) {
        const auto parts = split_statements(text);
        REQUIRE(parts.size() == 1);
        REQUIRE(parts[0].kind == statement_kind::set);
        return parts[0];
    };
    CHECK(set("SET rhubarbrun.max_age_ms = 500").name ==
          "rhubarbrun.max_age_ms");
    CHECK(set("SET rhubarbrun.max_age_ms TO '5'").value == "5");
    CHECK(set("set local A.b = -1").is_local);
    CHECK(set("set a.b = -1").value == "-1");
    CHECK(set("SET DateStyle = ISO, MDY").value == "ISO, MDY");
    CHECK(set("SET NAMES 'UTF8'").name == "client_encoding");
    CHECK(set("SET TIME ZONE 'UTC'").name == "timezone");
    CHECK_FALSE(set("SET a.b TO DEFAULT").value.has_value());
    CHECK(set("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY").value ==
          "on");
    CHECK(kind_of("SET a.b") == statement_kind::not_carried);
    CHECK(kind_of("SET LOCAL SESSION AUTHORIZATION x") ==
          statement_kind::not_carried);
}

TEST_CASE("statements that differ only in values have one shape")
{
    // Otherwise each order would be learned as a class of its own.
    const auto shape = statement_shape("SELECT * FROM t WHERE a IN (1, 2, 3)");
    CHECK(shape == "select * from t where a in ( ? )");
    CHECK(statement_shape("select *  from T where A in ('x') /* y */;") ==
          shape);
    CHECK(statement_shape("SELECT * FROM t WHERE a IN ($1, $2)") == shape);
    CHECK(statement_shape("SELECT \"A\"") != statement_shape("SELECT a"));
    const auto wide = "SELECT " + std::string(1000, 'a');
    CHECK(statement_shape(wide).size() == max_shape_length);
    CHECK(statement_shape(wide + "b") != statement_shape(wide + "c"));
}
