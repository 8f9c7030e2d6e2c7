#include "fake_target.hpp"

#include <rhubarbrun/transport/caller_server.hpp>
#include <rhubarbrun/transport/target_connection.hpp>

#include <doctest/doctest.h>
#include <libpq-fe.h>

#include <array>
#include <map>
#include <set>
#include <vector>

using namespace rhubarbrun;
using test::run_until;

namespace {

constexpr auto timeout = std::chrono::seconds(5);

/// A server whose hooks record what they are called with.
struct fixture
{
    explicit fixture(std::size_t max_connections = 10,
                     duration startup_timeout = std::chrono::seconds(10))
    {
        auto options = caller_server_options{};
        options.listen = {asio::ip::make_address("127.0.0.1"), 0};
        options.max_connections = max_connections;
        options.startup_timeout = startup_timeout;
        options.random = [] {
            return std::uint64_t{42};
        };
        auto hooks = caller_server_hooks{};
        hooks.on_session = [this](session_id id, const session_start&) {
            opened.push_back(id);
            server->accept(id, "");
        };
        hooks.on_request = [this](session_id id, caller_request request) {
            requests.emplace_back(id, std::move(request));
            if (on_request) {
                on_request(id, requests.back().second);
            }
        };
        hooks.on_cancel = [this](const backend_key&,
                                 std::optional<session_id> id) {
            cancelled.push_back(id);
        };
        hooks.on_closed = [this](session_id id) {
            closed.push_back(id);
        };
        server.emplace(context, options, hooks);
        server->start();
    }

    ~fixture()
    {
        server->stop();
        run_until(context, [&] { return server->connection_count() == 0; });
    }

    fixture(const fixture&) = delete;
    auto operator=(const fixture&) -> fixture& = delete;

    auto answer(session_id id, const std::string& tag) -> void
    {
        auto reply = execute_reply{};
        pg_writer(reply.answer).command_complete(tag);
        server->complete(id, reply, std::nullopt);
    }

    asio::io_context context;
    std::optional<caller_server> server;
    std::vector<session_id> opened;
    std::vector<session_id> closed;
    std::vector<std::pair<session_id, caller_request>> requests;
    std::vector<std::optional<session_id>> cancelled;
    std::function<void(session_id, const caller_request&)> on_request;
};

/// A libpq client that is driven together with the server.
class client
{
public:
    explicit client(fixture& server, const std::string& more = {})
        : server_(server),
          connection_(PQconnectStart(
              ("hostaddr=127.0.0.1 user=clerk dbname=orders gssencmode=disable "
               "sslmode=prefer passfile=/dev/null/none port=" +
               std::to_string(server.server->port()) + more)
                  .c_str()))
    {
        auto state = PGRES_POLLING_WRITING;
        run_until(server_.context, [&] {
            state = PQconnectPoll(connection_);
            return state == PGRES_POLLING_OK || state == PGRES_POLLING_FAILED;
        });
    }
    client(const client&) = delete;
    auto operator=(const client&) -> client& = delete;
    ~client() { PQfinish(connection_); }

    [[nodiscard]] auto is_open() const -> bool
    {
        return PQstatus(connection_) == CONNECTION_OK;
    }
    [[nodiscard]] auto error() const -> std::string
    {
        return PQerrorMessage(connection_);
    }
    [[nodiscard]] auto raw() const -> PGconn* { return connection_; }

    auto send(const std::string& text) -> void
    {
        REQUIRE(PQsendQuery(connection_, text.c_str()) == 1);
    }

    /// Status, value of the first column and SQLSTATE of the last result.
    struct outcome
    {
        ExecStatusType status = PGRES_EMPTY_QUERY;
        std::string value;
        std::string code;
    };

    auto wait() -> outcome
    {
        auto last = outcome{};
        auto is_done = false;
        run_until(server_.context, [&] {
            PQconsumeInput(connection_);
            while (!is_done && PQisBusy(connection_) == 0) {
                auto* result = PQgetResult(connection_);
                is_done = result == nullptr;
                if (result != nullptr) {
                    last.status = PQresultStatus(result);
                    const auto* code =
                        PQresultErrorField(result, PG_DIAG_SQLSTATE);
                    // libpq adds an error of its own, without a code, when
                    // the connection ends after an error of the server.
                    const auto is_own_error =
                        code == nullptr && last.status == PGRES_FATAL_ERROR;
                    if (!is_own_error) {
                        last.code = code == nullptr ? "" : code;
                    }
                    if (PQntuples(result) > 0) {
                        last.value = PQgetvalue(result, 0, 0);
                    }
                    PQclear(result);
                }
            }
            return is_done;
        });
        REQUIRE(is_done);
        return last;
    }

private:
    fixture& server_;
    PGconn* connection_;
};

} // namespace

TEST_CASE("a libpq client reaches a target through server and connection")
{
    fixture one;
    test::fake_target target(one.context, [](const pg_frame& frame) {
        auto response = test::fake_response{};
        auto out = pg_writer(response.bytes);
        if (frame.type == pg::parse) {
            out.empty(pg::parse_complete);
        } else if (frame.type == pg::bind) {
            out.empty(pg::bind_complete);
        } else if (frame.type == pg::describe || frame.type == pg::query) {
            out.row_description({column_description{}});
        }
        if (frame.type == pg::execute || frame.type == pg::query) {
            out.data_row({std::string("salt")});
            out.command_complete("SELECT 1");
        }
        if (frame.type == pg::sync || frame.type == pg::query) {
            out.ready_for_query(transaction_status::idle);
        }
        return response;
    });
    auto options = target_connection_options{};
    options.address = "127.0.0.1";
    options.port = target.port();
    target_connection connection(one.context.get_executor(), options);
    connection.connect(timeout, [](std::optional<request_error>) {});
    REQUIRE(run_until(one.context, [&] { return connection.is_ready(); }));
    one.on_request = [&](session_id id, const caller_request& request) {
        connection.run(request.body, timeout, [&, id](target_result result) {
            auto reply = execute_reply{};
            reply.error = result.error;
            reply.answer = result.answer;
            reply.status = result.status;
            one.server->complete(id, reply, "orders:1:0/2");
        });
    };
    client caller(one);
    REQUIRE(caller.is_open());
    caller.send("SELECT 1");
    CHECK(caller.wait().value == "salt");
    CHECK(std::string(PQparameterStatus(
              caller.raw(), "rhubarbrun.session_token")) == "orders:1:0/2");
    const auto values = std::array<const char*, 1>{"x"};
    REQUIRE(PQsendQueryParams(caller.raw(), "SELECT $1", 1, nullptr,
                              values.data(), nullptr, nullptr, 0) == 1);
    CHECK(caller.wait().value == "salt");
    CHECK(one.requests[1].second.body.parameters[0] == std::string("x"));
}

TEST_CASE("a cancel request finds its session by its key only")
{
    fixture one;
    client caller(one);
    caller.send("SELECT 1");
    REQUIRE(run_until(one.context, [&] { return !one.requests.empty(); }));
    auto send_key = [&](std::uint32_t process, std::uint32_t secret) {
        auto bytes = std::string{};
        auto out = pg_writer(bytes);
        out.put_uint32(16);
        out.put_uint32(pg::cancel_request);
        out.put_uint32(process);
        out.put_uint32(secret);
        asio::ip::tcp::socket socket(one.context);
        socket.connect(
            {asio::ip::make_address("127.0.0.1"), one.server->port()});
        asio::write(socket, asio::buffer(bytes));
        const auto before = one.cancelled.size();
        REQUIRE(run_until(one.context,
                          [&] { return one.cancelled.size() > before; }));
    };
    const auto process = static_cast<std::uint32_t>(PQbackendPID(caller.raw()));
    send_key(process, 41);
    CHECK_FALSE(one.cancelled[0].has_value());
    send_key(process, 42);
    CHECK(one.cancelled[1] == one.opened[0]);
}

TEST_CASE("connections beyond the limit are told so, and others go on")
{
    fixture one(1);
    client first(one);
    REQUIRE(first.is_open());
    client second(one);
    CHECK_FALSE(second.is_open());
    CHECK(second.error().find("too many connections") != std::string::npos);
    one.on_request = [&](session_id id, const caller_request&) {
        one.answer(id, "UPDATE 1");
    };
    first.send("UPDATE t SET a = 1");
    CHECK(first.wait().status == PGRES_COMMAND_OK);
    // The refused connection was never announced to the proxy.
    CHECK(one.opened.size() == 1);
}

TEST_CASE("each announced session is closed once, also with a request open")
{
    fixture one;
    {
        client caller(one);
        caller.send("SELECT 1");
        REQUIRE(run_until(one.context, [&] { return !one.requests.empty(); }));
    }
    REQUIRE(run_until(one.context, [&] { return !one.closed.empty(); }));
    CHECK(one.closed == one.opened);
    // A late answer for a session that is gone is dropped.
    one.answer(one.opened[0], "SELECT 1");
    CHECK(run_until(one.context,
                    [&] { return one.server->connection_count() == 0; }));
}

TEST_CASE("a connection that never sends its startup packet is closed")
{
    // Half-open connections would otherwise use up the limit.
    fixture one(10, std::chrono::milliseconds(20));
    asio::ip::tcp::socket socket(one.context);
    socket.connect({asio::ip::make_address("127.0.0.1"), one.server->port()});
    REQUIRE(run_until(one.context,
                      [&] { return one.server->connection_count() == 1; }));
    CHECK(run_until(one.context,
                    [&] { return one.server->connection_count() == 0; }));
}

TEST_CASE("a drain ends idle sessions and lets a running one finish")
{
    fixture one;
    client idle(one);
    client busy(one);
    busy.send("UPDATE t SET a = 1");
    REQUIRE(run_until(one.context, [&] { return !one.requests.empty(); }));
    one.server->drain();
    REQUIRE(run_until(one.context, [&] { return one.closed.size() == 1; }));
    CHECK(one.closed[0] == one.opened[0]);
    one.answer(one.opened[1], "UPDATE 1");
    CHECK(busy.wait().status == PGRES_COMMAND_OK);
    CHECK(run_until(one.context, [&] { return one.closed.size() == 2; }));
    // 57P01 is the answer to the next request, which has not run. Read
    // together with the last answer it would be lost as a notice.
    busy.send("UPDATE t SET a = 2");
    const auto refused = busy.wait();
    CHECK(refused.status == PGRES_FATAL_ERROR);
    CHECK(refused.code == "57P01");
    CHECK(one.requests.size() == 1);
    client late(one);
    CHECK_FALSE(late.is_open());
}

TEST_CASE("a caller that does not read its answers is not read from either")
{
    // Otherwise its answers would pile up in the proxy's memory.
    fixture one;
    auto answered = 0;
    one.on_request = [&](session_id id, const caller_request&) {
        ++answered;
        auto reply = execute_reply{};
        auto out = pg_writer(reply.answer);
        out.row_description({column_description{}});
        out.data_row({std::string(1U << 20U, 'x')});
        out.command_complete("SELECT 1");
        one.server->complete(id, reply, std::nullopt);
    };
    client caller(one);
    auto queries = std::string{};
    auto out = pg_writer(queries);
    constexpr auto sent = 200;
    for (auto index = 0; index < sent; ++index) {
        out.begin(pg::query);
        out.put_text("SELECT 1");
        out.end();
    }
    // Written past libpq, which never pipelines simple queries.
    REQUIRE(::send(PQsocket(caller.raw()), queries.data(), queries.size(), 0) ==
            static_cast<ssize_t>(queries.size()));
    // Runs until nothing happens any more: all buffers are full.
    auto before = -1;
    run_until(one.context, [&] {
        const auto is_still = answered > 0 && answered == before;
        before = answered;
        return is_still && one.context.poll() == 0;
    });
    CHECK(answered > 0);
    CHECK(answered < sent);
}
