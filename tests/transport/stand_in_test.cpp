#include "fake_target.hpp"

#include <target_server.hpp>

#include <rhubarbrun/transport/target_connection.hpp>
#include <rhubarbrun/transport/target_queries.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace rhubarbrun;
using bench::target_options;
using bench::target_server;
using test::run_until;

namespace {

constexpr auto timeout = std::chrono::seconds(5);

auto query(std::string text) -> statement
{
    auto body = statement{};
    body.text = std::move(text);
    return body;
}

/// A connection to one stand-in target.
class session
{
public:
    session(asio::io_context& context, const target_server& server,
            std::uint64_t epoch = 1)
        : context_(context)
    {
        auto options = target_connection_options{};
        options.address = "127.0.0.1";
        options.port = server.options().port;
        options.database = "orders";
        options.user = "proxy";
        options.application_name =
            target_application_name(proxy_id("vm-1"), owner_epoch(epoch));
        connection = std::make_unique<target_connection>(context.get_executor(),
                                                         options);
        connection->connect(timeout, [](std::optional<request_error>) {});
        REQUIRE(run_until(context_, [&] { return connection->is_ready(); }));
    }

    auto start(const statement& body) -> void
    {
        result.reset();
        connection->run(body, timeout, [this](target_result given) {
            result = std::move(given);
        });
    }

    auto wait() -> const target_result&
    {
        REQUIRE(run_until(context_, [&] { return result.has_value(); }));
        return *result;
    }

    auto run(const statement& body) -> const target_result&
    {
        start(body);
        return wait();
    }

    /// Value of the first column of the first row.
    auto value(const std::string& text) -> std::string
    {
        const auto decoded = decode_answer(run(query(text)).answer);
        return decoded.rows.empty() ? "" : decoded.rows[0][0].value_or("NULL");
    }

    auto state() -> server_state
    {
        const auto parsed =
            parse_server_state(run(server_state_query()).answer);
        REQUIRE(parsed.has_value());
        return *parsed;
    }

    std::unique_ptr<target_connection> connection;
    std::optional<target_result> result;

private:
    asio::io_context& context_;
};

/// A primary and a replica of it.
struct fixture
{
    fixture()
    {
        primary = make("server-1", "");
        replica = make("server-2",
                       "127.0.0.1:" + std::to_string(primary->options().port));
    }

    auto make(const std::string& name, const std::string& follows)
        -> std::unique_ptr<target_server>
    {
        auto options = target_options{};
        options.server = name;
        options.primary = follows;
        options.connect_delay = std::chrono::microseconds(0);
        options.read_time = std::chrono::microseconds(0);
        options.scan_time = std::chrono::microseconds(0);
        options.write_time = std::chrono::microseconds(0);
        options.commit_time = std::chrono::microseconds(0);
        return std::make_unique<target_server>(context, options);
    }

    auto wait_for_replay() -> void
    {
        REQUIRE(run_until(context, [&] {
            return replica->data().replayed() == primary->data().replayed();
        }));
    }

    asio::io_context context;
    std::unique_ptr<target_server> primary;
    std::unique_ptr<target_server> replica;
};

} // namespace

TEST_CASE("positions and roles are read from primary and replica")
{
    fixture group;
    session primary(group.context, *group.primary);
    session replica(group.context, *group.replica);
    primary.run(query("CREATE TABLE t (id text PRIMARY KEY, n bigint)"));
    primary.run(query("INSERT INTO t VALUES ('a', 1)"));
    group.wait_for_replay();
    CHECK_FALSE(primary.state().is_in_recovery);
    CHECK(replica.state().is_in_recovery);
    CHECK(replica.state().position == primary.state().position);
    CHECK(replica.state().last_replayed_at_us.has_value());
    auto seen = std::vector<replica_state>{};
    REQUIRE(run_until(group.context, [&] {
        seen = parse_replica_states(primary.run(replica_states_query()).answer)
                   .value();
        return seen.size() == 1 && seen[0].flushed == primary.state().position;
    }));
    CHECK(seen[0].application_name == "server-2");
    CHECK(replica.value("SELECT n FROM t WHERE id = 'a'") == "1");
    CHECK(replica.run(query("INSERT INTO t VALUES ('b', 1)")).target_code ==
          "25006");
}

TEST_CASE("a former primary follows the promoted replica without its tail")
{
    // A write that only the old primary had must not come back, or two
    // servers of one group would differ for good.
    fixture group;
    session old_primary(group.context, *group.primary);
    session promoted(group.context, *group.replica);
    old_primary.run(query("CREATE TABLE t (id text PRIMARY KEY, n bigint)"));
    group.wait_for_replay();
    old_primary.run(query("SELECT standin_partition(on)"));
    old_primary.run(query("INSERT INTO t VALUES ('lost', 1)"));
    CHECK(parse_promote(promoted.run(promote_query(5)).answer) == true);
    CHECK(promoted.state().timeline == 2);
    CHECK_FALSE(promoted.state().is_in_recovery);
    promoted.run(query("INSERT INTO t VALUES ('kept', 1)"));
    old_primary.run(query("SELECT standin_partition(off)"));
    for (const auto& body :
         follow_queries("127.0.0.1", group.replica->options().port,
                        "replicator", target_id("server-1")))
    {
        CHECK_FALSE(old_primary.run(body).has_target_error);
    }
    REQUIRE(run_until(group.context, [&] {
        return old_primary.state().position == promoted.state().position;
    }));
    CHECK(old_primary.state().timeline == 2);
    CHECK(old_primary.value("SELECT count(*) FROM t") == "1");
    CHECK(old_primary.value("SELECT id FROM t") == "kept");
}

TEST_CASE("a new owner ends the connections of older epochs only")
{
    fixture group;
    session older(group.context, *group.primary, 3);
    session same(group.context, *group.primary, 4);
    session owner(group.context, *group.primary, 4);
    session busy(group.context, *group.primary, 2);
    older.run(query("BEGIN"));
    busy.start(query("SELECT pg_sleep(5)"));
    REQUIRE(run_until(group.context, [&] {
        return owner.value("SELECT state FROM pg_stat_activity WHERE "
                           "application_name = 'rhubarbrun/vm-1/2'") ==
               "active";
    }));
    const auto ended = parse_older_backends(
        owner.run(terminate_older_query(owner_epoch(4))).answer);
    REQUIRE(ended.has_value());
    CHECK(ended->standing == 2);
    CHECK(ended->running == 1);
    CHECK(ended->ended == 2);
    REQUIRE(run_until(group.context, [&] {
        return parse_older_backends(
                   owner.run(terminate_older_query(owner_epoch(4))).answer)
                   ->standing == 0;
    }));
    CHECK(run_until(group.context,
                    [&] { return older.connection->is_closed(); }));
    CHECK(same.value("SELECT 1") == "1");
}

TEST_CASE("a request key is taken once, also by attempts at the same time")
{
    // Two proxies that retry one order must not both write it.
    fixture group;
    const auto key = request_key("order-1");
    session first(group.context, *group.primary);
    session second(group.context, *group.primary);
    first.run(create_request_table_query());
    CHECK(parse_begin_request(
              first.run(begin_request_query("BEGIN", key)).answer) == true);
    CHECK(first.result->status == transaction_status::in_transaction);
    second.start(begin_request_query("BEGIN -- retry", key));
    first.run(query("SELECT 1"));
    CHECK_FALSE(second.result.has_value());
    CHECK(first.run(commit_request_query(key, "INSERT 0 1")).status ==
          transaction_status::idle);
    CHECK(parse_begin_request(second.wait().answer) == false);
    const auto found =
        parse_find_request(second.run(find_request_query(key)).answer);
    REQUIRE(found.has_value());
    REQUIRE(found->has_value());
    CHECK((*found)->tag == "INSERT 0 1");

    // An attempt that was rolled back leaves the key free.
    const auto other = request_key("order-2");
    second.run(query("ROLLBACK"));
    first.run(begin_request_query("BEGIN", other));
    first.run(query("ROLLBACK"));
    CHECK(parse_begin_request(
              second.run(begin_request_query("BEGIN", other)).answer) == true);
}

TEST_CASE("an implicit transaction is undone as a whole")
{
    fixture group;
    session one(group.context, *group.primary);
    one.run(query("CREATE TABLE t (id text PRIMARY KEY, n bigint)"));
    const auto& failed = one.run(query("INSERT INTO t VALUES ('a', 1); "
                                       "INSERT INTO t VALUES ('a', 2)"));
    CHECK(failed.target_code == "23505");
    CHECK(failed.status == transaction_status::idle);
    CHECK(one.value("SELECT count(*) FROM t") == "0");
    const auto& described = [&]() -> const target_result& {
        auto body = query("SELECT n FROM t WHERE id = $1");
        body.form = statement_form::describe;
        return one.run(body);
    }();
    CHECK_FALSE(described.has_target_error);
    CHECK(decode_answer(described.answer).columns[0].type == pg::int8_type);
}
