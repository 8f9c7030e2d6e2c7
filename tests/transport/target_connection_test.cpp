#include "fake_target.hpp"

#include <rhubarbrun/transport/target_connection.hpp>
#include <rhubarbrun/transport/target_queries.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

using namespace rhubarbrun;
using test::fake_response;
using test::fake_target;
using test::run_until;

namespace {

constexpr auto timeout = std::chrono::seconds(5);

/// A connection to a fake target, with the outcome of the last statement.
struct fixture
{
    explicit fixture(fake_target::script respond,
                     std::size_t max_answer_bytes = 1 << 20)
        : target(context, std::move(respond))
    {
        auto options = target_connection_options{};
        options.address = "127.0.0.1";
        options.port = target.port();
        options.database = "orders";
        options.user = "proxy";
        options.application_name =
            target_application_name(proxy_id("vm-1"), owner_epoch(4));
        options.max_answer_bytes = max_answer_bytes;
        connection.emplace(context.get_executor(), options);
    }

    auto connect(duration limit = timeout) -> std::optional<request_error>
    {
        auto outcome = std::optional<std::optional<request_error>>{};
        connection->connect(limit, [&](std::optional<request_error> error) {
            outcome = std::move(error);
        });
        REQUIRE(run_until(context, [&] { return outcome.has_value(); }));
        return *outcome;
    }

    auto start(statement body, duration limit = timeout) -> void
    {
        result.reset();
        connection->run(std::move(body), limit, [this](target_result given) {
            result = std::move(given);
        });
    }

    auto wait() -> const target_result&
    {
        REQUIRE(run_until(context, [&] { return result.has_value(); }));
        return *result;
    }

    auto run(statement body, duration limit = timeout) -> const target_result&
    {
        start(std::move(body), limit);
        return wait();
    }

    asio::io_context context;
    fake_target target;
    std::optional<target_connection> connection;
    std::optional<target_result> result;
};

auto query(std::string text) -> statement
{
    auto body = statement{};
    body.text = std::move(text);
    return body;
}

auto types_of(const std::string& answer) -> std::string
{
    auto reader = pg_frame_reader(std::size_t{64} << 20U, false);
    reader.feed(answer);
    auto types = std::string{};
    while (const auto frame = reader.next()) {
        types.push_back(frame->type);
    }
    return types;
}

auto write_rows(pg_writer& out, int count) -> void
{
    out.row_description({column_description{}});
    for (auto index = 0; index < count; ++index) {
        out.data_row({std::string(100, 'x')});
    }
    out.command_complete("SELECT " + std::to_string(count));
}

} // namespace

TEST_CASE("a connection names its owner and its epoch")
{
    // Without them a later owner could not end the backends of this one.
    fixture one([](const pg_frame&) { return fake_response{}; });
    CHECK_FALSE(one.connect().has_value());
    CHECK(one.connection->is_ready());
    CHECK(one.connection->backend_process() == 7);
    const auto& pairs = one.target.started;
    CHECK(std::find(pairs.begin(), pairs.end(),
                    std::pair<std::string, std::string>("application_name",
                                                        "rhubarbrun/vm-1/4")) !=
          pairs.end());
}

TEST_CASE("a failed connection attempt never counts as run")
{
    fixture silent([](const pg_frame&) { return fake_response{}; });
    silent.target.answers_startup = false;
    const auto late = silent.connect(std::chrono::milliseconds(20));
    REQUIRE(late.has_value());
    CHECK(late->outcome == verdict::not_run);
    CHECK(silent.connection->is_closed());
    CHECK(silent.run(query("SELECT 1")).error->outcome == verdict::not_run);

    asio::io_context context;
    auto options = target_connection_options{};
    options.address = "127.0.0.1";
    {
        auto free = asio::ip::tcp::acceptor(
            context, {asio::ip::make_address("127.0.0.1"), std::uint16_t{0}});
        options.port = free.local_endpoint().port();
    }
    target_connection refused(context.get_executor(), options);
    auto result = std::optional<request_error>{};
    refused.connect(timeout, [&](std::optional<request_error> error) {
        result = std::move(error);
    });
    REQUIRE(run_until(context, [&] { return result.has_value(); }));
    CHECK(result->outcome == verdict::not_run);
}

TEST_CASE("all results of a simple query arrive in order")
{
    fixture one([](const pg_frame&) {
        auto response = fake_response{};
        auto out = pg_writer(response.bytes);
        write_rows(out, 2);
        out.fields(
            pg::notice_response,
            {{'S', "NOTICE"}, {'V', "NOTICE"}, {'C', "00000"}, {'M', "note"}});
        out.command_complete("UPDATE 3");
        out.row_description({column_description{}});
        out.command_complete("SELECT 0");
        out.empty(pg::empty_query);
        out.ready_for_query(transaction_status::in_transaction);
        return response;
    });
    one.connect();
    const auto& result = one.run(query("..."));
    CHECK_FALSE(result.error.has_value());
    // libpq delivers a notice before a result that is still to be fetched, so
    // that its place among the results is not fixed.
    auto types = types_of(result.answer);
    CHECK(std::erase(types, 'N') == 1);
    CHECK(types == "TDDCCTCI");
    CHECK(result.status == transaction_status::in_transaction);
    const auto decoded = decode_answer(result.answer);
    CHECK(decoded.tags ==
          std::vector<std::string>{"SELECT 2", "UPDATE 3", "SELECT 0"});
}

TEST_CASE("the target's own error is an answer, and the connection stays")
{
    fixture one([](const pg_frame&) {
        auto response = fake_response{};
        auto out = pg_writer(response.bytes);
        out.error("ERROR", "23505", "duplicate", "key");
        out.ready_for_query(transaction_status::failed);
        return response;
    });
    one.connect();
    const auto& result = one.run(query("INSERT"));
    CHECK_FALSE(result.error.has_value());
    CHECK(result.has_target_error);
    CHECK(result.target_code == "23505");
    CHECK(decode_answer(result.answer).error->detail == "key");
    CHECK(result.status == transaction_status::failed);
    CHECK(one.connection->is_ready());
}

TEST_CASE("parameters and describe use the extended protocol")
{
    fixture one([](const pg_frame& frame) {
        auto response = fake_response{};
        auto out = pg_writer(response.bytes);
        if (frame.type == pg::parse) {
            out.empty(pg::parse_complete);
        } else if (frame.type == pg::bind) {
            CHECK(parse_bind(frame.body).parameters[0] == std::string("k"));
            out.empty(pg::bind_complete);
        } else if (frame.type == pg::describe) {
            if (parse_object(frame.body).kind == 'S') {
                out.parameter_description({pg::text_type});
            }
            out.row_description({column_description{}});
        } else if (frame.type == pg::execute) {
            out.data_row({std::string("v")});
            out.command_complete("SELECT 1");
        } else if (frame.type == pg::sync) {
            out.ready_for_query(transaction_status::idle);
        }
        return response;
    });
    one.connect();
    auto body = query("SELECT $1");
    body.form = statement_form::parameterized;
    body.parameters = {std::string("k")};
    body.parameter_formats = {0};
    CHECK(types_of(one.run(body).answer) == "TDC");
    body.form = statement_form::describe;
    CHECK(types_of(one.run(body).answer) == "tT");
}

TEST_CASE("a connection lost after sending may have run the statement")
{
    // Reported as not run, an order would be entered twice.
    fixture one([](const pg_frame&) { return fake_response{"", true}; });
    one.connect();
    const auto& result = one.run(query("INSERT"));
    REQUIRE(result.error.has_value());
    CHECK(result.error->outcome == verdict::may_have_run);
    CHECK(one.connection->is_closed());
}

TEST_CASE("a connection that was closed while idle has not run the statement")
{
    // Reported as possibly run, every restart of a target would leave orders
    // in doubt that were never sent.
    fixture one([](const pg_frame&) { return fake_response{}; });
    one.connect();
    auto is_lost = false;
    one.connection->set_lost_handler([&] { is_lost = true; });
    one.target.drop();
    const auto& result = one.run(query("INSERT"));
    REQUIRE(result.error.has_value());
    CHECK(result.error->outcome == verdict::not_run);
    CHECK(one.target.received.empty());
    CHECK(run_until(one.context, [&] { return is_lost; }));
}

TEST_CASE("a statement that was sent in part only has not run")
{
    // The target stops reading, so that the kernel's buffers fill up.
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(
        context, {asio::ip::make_address("127.0.0.1"), std::uint16_t{0}});
    auto options = target_connection_options{};
    options.address = "127.0.0.1";
    options.port = acceptor.local_endpoint().port();
    target_connection connection(context.get_executor(), options);
    auto is_connected = false;
    connection.connect(timeout, [&](std::optional<request_error> error) {
        is_connected = !error.has_value();
    });
    auto peer = asio::ip::tcp::socket(context);
    acceptor.async_accept(peer, [&](error_code) {
        auto bytes = std::string{};
        auto out = pg_writer(bytes);
        out.authentication_ok();
        out.ready_for_query(transaction_status::idle);
        asio::write(peer, asio::buffer(bytes));
    });
    REQUIRE(run_until(context, [&] { return is_connected; }));
    auto result = std::optional<target_result>{};
    connection.run(query("SELECT '" + std::string(64U << 20U, 'x') + "'"),
                   std::chrono::milliseconds(50),
                   [&](target_result given) { result = std::move(given); });
    REQUIRE(run_until(context, [&] { return result.has_value(); }));
    CHECK(result->error->outcome == verdict::not_run);
}

TEST_CASE("a deadline closes the connection and asks the target to cancel")
{
    fixture one([](const pg_frame&) { return fake_response{}; });
    one.connect();
    const auto& result =
        one.run(query("SELECT 1"), std::chrono::milliseconds(20));
    REQUIRE(result.error.has_value());
    CHECK(result.error->outcome == verdict::may_have_run);
    CHECK(one.connection->is_closed());
    REQUIRE(
        run_until(one.context, [&] { return !one.target.cancelled.empty(); }));
    CHECK(one.target.cancelled[0] == backend_key{7, 9});
}

TEST_CASE("an answer beyond the cap is cut off without losing the connection")
{
    fixture one(
        [](const pg_frame&) {
            auto response = fake_response{};
            auto out = pg_writer(response.bytes);
            write_rows(out, 1000);
            out.ready_for_query(transaction_status::idle);
            return response;
        },
        10'000);
    one.connect();
    const auto& result = one.run(query("SELECT"));
    REQUIRE(result.error.has_value());
    CHECK(result.error->outcome == verdict::ran);
    CHECK(result.error->code == sqlstate::program_limit_exceeded);
    CHECK(result.answer.empty());
    CHECK(one.connection->is_ready());
    REQUIRE(
        run_until(one.context, [&] { return !one.target.cancelled.empty(); }));
}

TEST_CASE("a released connection answers the statement that waits")
{
    fixture one([](const pg_frame&) { return fake_response{}; });
    one.connect();
    one.start(query("INSERT"));
    one.connection.reset();
    CHECK(one.wait().error->outcome == verdict::may_have_run);
}

TEST_CASE("the proxy's own queries are decoded, and odd answers refused")
{
    auto answer = std::string{};
    auto out = pg_writer(answer);
    out.data_row({std::string("t"), std::string("3"), std::string("0/20"),
                  std::string("0/30"), std::string("5"), std::nullopt});
    out.command_complete("SELECT 1");
    const auto state = parse_server_state(answer);
    REQUIRE(state.has_value());
    CHECK(state->is_in_recovery);
    CHECK(state->timeline == 3);
    CHECK(state->position == log_offset(0x20));
    CHECK(state->received == log_offset(0x30));
    CHECK_FALSE(state->last_replayed_at_us.has_value());
    CHECK_FALSE(parse_server_state("").has_value());
    CHECK_FALSE(parse_server_state(answer.substr(0, 20)).has_value());

    const auto tag = [](std::string text) {
        auto bytes = std::string{};
        pg_writer(bytes).command_complete(text);
        return bytes;
    };
    const auto begin = tag("BEGIN");
    CHECK(parse_begin_request(begin + tag("INSERT 0 1")) == true);
    CHECK(parse_begin_request(begin + tag("INSERT 0 0")) == false);
    CHECK_FALSE(parse_begin_request(begin + tag("UPDATE 1")).has_value());
    CHECK_FALSE(parse_begin_request(begin).has_value());
    CHECK_FALSE(parse_begin_request(tag("INSERT 0 1")).has_value());
    auto error = std::string{};
    pg_writer(error).error("ERROR", "42P01", "missing");
    CHECK_FALSE(parse_find_request(error).has_value());
    CHECK(parse_find_request(tag("SELECT 0")).value() == std::nullopt);
}

TEST_CASE("names in primary_conninfo cannot break out of their quotes")
{
    const auto statements =
        follow_queries("10.0.0.1", 5432, "r", target_id("a'b\\c"));
    REQUIRE(statements.size() == 2);
    CHECK(statements[0].text ==
          "ALTER SYSTEM SET primary_conninfo = 'host=''10.0.0.1'' port=5432 "
          "user=''r'' application_name=''a\\''b\\\\c'''");
}
