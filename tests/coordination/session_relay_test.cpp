#include "relay_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace rhubarbrun_tests {

// A proxy that lacked news denied databases that had been added meanwhile.
TEST_CASE("session relay: a database is denied only by a configuration that is "
          "certain to be the newest")
{
    auto harness = relay_harness();
    const auto added = database_id("added");
    const auto arrived = harness.now;
    const auto judge = [&] {
        return harness.relay.judge_start(harness.now, arrived, added);
    };
    CHECK(judge() == start_verdict::no_database);
    harness.may_deny = false;
    CHECK(judge() == start_verdict::wait);
    CHECK(harness.relay.judge_start(harness.now, arrived,
                                    database_id("orders")) ==
          start_verdict::open);
    harness.pass(milliseconds(1500));
    INFO("callers give up after two seconds");
    CHECK(judge() == start_verdict::retry);

    const auto id = harness.start("added");
    harness.ask(id, relay_step::read, "1a4");
    CHECK(harness.last_reply(id).error == relay_error::retry);
    harness.ask(id, relay_step::begin);
    CHECK(harness.last_reply(id).error == relay_error::retry);
    harness.may_deny = true;
    harness.ask(id, relay_step::begin);
    CHECK(harness.last_reply(id).error == relay_error::no_database);
}

TEST_CASE("session relay: values and names are answered without a server")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::set_value, "v", "n");
    harness.ask(caller, relay_step::prepare, "shape", "s", true);
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::rollback);
    CHECK(harness.replies[caller].size() == 4);
    CHECK(harness.sent.empty());
}

TEST_CASE("session relay: a replaced primary runs no read of a primary route")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::read, "item");
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.server_of(harness.sent.front()) == "p");
    // Only the begin of a transaction is sent before the server has proved that
    // it is the primary.
    CHECK(harness.answer(relay_error::read_only).step == relay_step::begin);
    CHECK(harness.sent.empty());
    harness.announce("r1", server_role::primary);
    harness.pass(milliseconds(50));
    REQUIRE(!harness.sent.empty());
    CHECK(harness.server_of(harness.sent.front()) == "r1");
    harness.answer();
    CHECK(harness.answer().step == relay_step::read);
    CHECK(harness.last_reply(caller).is_success());
}

TEST_CASE("session relay: replicas are told the position that a read needs")
{
    auto harness = relay_harness();
    const auto caller = harness.start("stock");
    harness.ask(caller, relay_step::read, "item");
    // The position of the primary's log is not known yet.
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.sent.front().statement.step == relay_step::begin);
    harness.answer(relay_error::none, 42);
    const auto found = std::find_if(
        harness.sent.begin(), harness.sent.end(), [](const auto& each) {
            return each.statement.step == relay_step::read;
        });
    REQUIRE(found != harness.sent.end());
    REQUIRE(found->statement.floor);
    CHECK(found->statement.floor->offset == log_offset(42));
}

TEST_CASE("session relay: a session reads its own commit at any server")
{
    auto harness = relay_harness();
    const auto caller = harness.start("sheets");
    harness.ask(caller, relay_step::write, "item data");
    harness.answer(relay_error::none, 77);
    REQUIRE(harness.last_reply(caller).is_success());
    harness.ask(caller, relay_step::read, "item");
    REQUIRE(!harness.sent.empty());
    REQUIRE(harness.sent.back().statement.floor);
    CHECK(harness.sent.back().statement.floor->offset == log_offset(77));
    CHECK(harness.answer(relay_error::lagging).step == relay_step::read);
    // The read is retried at another server.
    REQUIRE(!harness.sent.empty());
    harness.answer();
    CHECK(harness.last_reply(caller).is_success());
}

TEST_CASE("session relay: the end of a former log is not required after a "
          "change of primary")
{
    auto harness = relay_harness();
    const auto caller = harness.start("sheets");
    harness.ask(caller, relay_step::write, "item data");
    harness.answer(relay_error::none, 500, 1);
    harness.announce("r1", server_role::primary);
    const auto other = harness.start("sheets");
    harness.ask(other, relay_step::write, "item data");
    REQUIRE(harness.server_of(harness.sent.back()) == "r1");
    harness.answer(relay_error::none, 490, 2);
    harness.ask(caller, relay_step::read, "item");
    REQUIRE(harness.sent.back().statement.floor);
    CHECK(harness.sent.back().statement.floor->group_term == term(2));
    CHECK(harness.sent.back().statement.floor->offset == log_offset(490));
}

TEST_CASE("session relay: a write whose answer is lost stays in doubt")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::write, "item data");
    REQUIRE(harness.sent.size() == 1);
    harness.lose(harness.sent.front().connection);
    CHECK(harness.last_reply(caller).error == relay_error::in_doubt);
    CHECK(harness.sent.empty());
}

TEST_CASE("session relay: a read whose answer is lost runs at another server")
{
    auto harness = relay_harness();
    const auto caller = harness.start("sheets");
    harness.ask(caller, relay_step::write, "item data");
    harness.answer();
    harness.ask(caller, relay_step::read, "item");
    const auto first = harness.server_of(harness.sent.back());
    harness.lose(harness.sent.back().connection);
    REQUIRE(!harness.sent.empty());
    CHECK(harness.server_of(harness.sent.back()) != first);
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
}

// The answer to the end of the transaction that guards a read was taken for the
// answer to the read, so that callers got a success without proof and rows.
TEST_CASE("session relay: a read of a primary route whose answer is lost is "
          "repeated, whatever the next answer says")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::read, "item");
    CHECK(harness.answer().step == relay_step::begin);
    const auto lost = harness.sent.front();
    CHECK(lost.statement.step == relay_step::read);
    harness.sent.pop_front();
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.answer_idle("-").step == relay_step::rollback);
    CHECK(harness.replies[caller].empty());
    REQUIRE(harness.closed_connections.size() == 1);
    CHECK(harness.closed_connections.front() == lost.connection);
    CHECK(harness.relay.counters().mismatched_answers == 1);
    harness.pass(milliseconds(50));
    harness.answer_all();
    REQUIRE(harness.replies[caller].size() == 1);
    CHECK(harness.last_reply(caller).is_success());
    CHECK(harness.last_reply(caller).detail == "signature");
}

TEST_CASE("session relay: a success needs a proof and the state that the "
          "statement leads to")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    SUBCASE("a write without proof stays in doubt")
    {
        harness.ask(caller, relay_step::write, "item data");
        harness.answer_idle("-");
        CHECK(harness.last_reply(caller).error == relay_error::in_doubt);
    }
    SUBCASE("so does a commit")
    {
        harness.ask(caller, relay_step::begin);
        harness.ask(caller, relay_step::write, "item data");
        harness.answer_all();
        harness.ask(caller, relay_step::commit);
        harness.answer_idle("");
        CHECK(harness.last_reply(caller).error == relay_error::in_doubt);
    }
    SUBCASE("a statement whose transaction is not open any more is aborted")
    {
        harness.ask(caller, relay_step::begin);
        harness.ask(caller, relay_step::write, "item data");
        harness.answer_all();
        harness.ask(caller, relay_step::write, "item data");
        harness.answer_idle("signature");
        CHECK(harness.last_reply(caller).error == relay_error::aborted);
    }
    CHECK(harness.closed_connections.size() == 1);
}

// Such a connection went on serving the transaction that held it.
TEST_CASE("session relay: an answer that nobody asked for ends the connection "
          "and its transaction")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::write, "item data");
    const auto connection = harness.sent.front().connection;
    harness.answer_all();
    auto unasked = relay_reply{};
    unasked.detail = "signature";
    harness.relay.on_reply(harness.now, connection, unasked);
    CHECK(harness.closed_connections == std::vector<connection_id>{connection});
    harness.ask(caller, relay_step::commit);
    CHECK(harness.sent.empty());
    CHECK(harness.last_reply(caller).error == relay_error::aborted);
}

TEST_CASE("session relay: a lost connection aborts an open transaction, and "
          "only a sent commit is in doubt")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::write, "item data");
    const auto connection = harness.sent.front().connection;
    harness.answer_all();
    SUBCASE("between statements")
    {
        harness.lose(connection);
        harness.ask(caller, relay_step::write, "item data");
        CHECK(harness.last_reply(caller).error == relay_error::aborted);
        CHECK(harness.last_reply(caller).status == transaction_status::failed);
        harness.ask(caller, relay_step::read, "item");
        CHECK(harness.last_reply(caller).error == relay_error::malformed);
        harness.ask(caller, relay_step::rollback);
        CHECK(harness.last_reply(caller).status == transaction_status::idle);
    }
    SUBCASE("while the commit runs")
    {
        harness.ask(caller, relay_step::commit);
        harness.lose(connection);
        CHECK(harness.last_reply(caller).error == relay_error::in_doubt);
        CHECK(harness.last_reply(caller).status == transaction_status::idle);
    }
}

TEST_CASE("session relay: a connection carries the values of its session only")
{
    auto harness = relay_harness();
    const auto first = harness.start("orders");
    harness.ask(first, relay_step::set_value, "v1", "n1");
    harness.ask(first, relay_step::write, "item data");
    CHECK(harness.sent.front().statement.step == relay_step::set_value);
    harness.answer_all();
    const auto second = harness.start("orders");
    harness.ask(second, relay_step::set_value, "v2", "n2");
    harness.ask(second, relay_step::write, "item data");
    REQUIRE(harness.sent.size() == 2);
    CHECK(harness.sent[0].statement.step == relay_step::discard);
    CHECK(harness.sent[1].statement.name == "n2");
    harness.answer();
    CHECK(harness.sent.size() == 1);
    harness.answer();
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.sent[0].statement.step == relay_step::write);
}

// A statement went together with the values that it needs, so that it ran with
// those of another session when its server failed to set them.
TEST_CASE("session relay: a statement is sent once its values are acknowledged")
{
    auto harness = relay_harness();
    const auto first = harness.start("stock");
    const auto second = harness.start("stock");
    harness.relay.on_position(harness.now, group_id("g"), harness.now,
                              {term(1), log_offset(10)});
    harness.ask(first, relay_step::set_value, "v1", "n");
    harness.ask(second, relay_step::set_value, "v2", "n");
    harness.ask(first, relay_step::read, "item");
    harness.answer_all();
    harness.ask(second, relay_step::read, "item");
    REQUIRE(harness.sent.size() == 1);
    const auto failing = harness.server_of(harness.sent.front());
    const auto connection = harness.sent.front().connection;
    CHECK(harness.answer(relay_error::failed).step == relay_step::set_value);
    CHECK(harness.replies[second].size() == 1);
    REQUIRE(harness.sent.size() == 1);
    INFO("another server gets the read, and its values first");
    CHECK(harness.server_of(harness.sent.front()) != failing);
    CHECK(harness.answer().step == relay_step::set_value);
    CHECK(harness.answer().step == relay_step::read);
    CHECK(harness.last_reply(second).is_success());
    INFO("the connection is not closed, and its values are set anew");
    CHECK(harness.closed_connections.empty());
    for (auto count = 0; count < 3; ++count) {
        harness.ask(harness.start("stock"), relay_step::read, "item");
    }
    const auto again = std::find_if(
        harness.sent.begin(), harness.sent.end(),
        [&](const auto& each) { return each.connection == connection; });
    REQUIRE(again != harness.sent.end());
    CHECK(again->statement.step == relay_step::discard);
}

TEST_CASE("session relay: a transaction whose values cannot be set is aborted")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    harness.ask(caller, relay_step::set_value, "v", "n");
    harness.ask(caller, relay_step::write, "item data");
    REQUIRE(harness.sent.size() == 1);
    SUBCASE("because the server fails it")
    {
        CHECK(harness.answer(relay_error::failed).step ==
              relay_step::set_value);
        CHECK(harness.last_reply(caller).error == relay_error::aborted);
    }
    SUBCASE("not because the server is full for a moment")
    {
        CHECK(harness.answer(relay_error::retry).step == relay_step::set_value);
        harness.pass(milliseconds(40));
        CHECK(harness.answer().step == relay_step::set_value);
        CHECK(harness.answer().step == relay_step::write);
        CHECK(harness.last_reply(caller).is_success());
    }
}

// A server may take back what was set inside a transaction when that is rolled
// back; the session's next statement would run without it.
TEST_CASE("session relay: values set in a transaction that is rolled back are "
          "set again")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::write, "item data");
    harness.ask(caller, relay_step::set_value, "v", "n");
    harness.answer_all();
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    auto expected = std::vector<relay_step>();
    SUBCASE("rolled back")
    {
        harness.ask(caller, relay_step::rollback);
        harness.answer_all();
        expected = {relay_step::discard, relay_step::set_value,
                    relay_step::write};
    }
    SUBCASE("committed")
    {
        harness.ask(caller, relay_step::commit);
        harness.answer_all();
        expected = {relay_step::write};
    }
    harness.ask(caller, relay_step::write, "item data");
    auto steps = std::vector<relay_step>();
    while (!harness.sent.empty()) {
        steps.push_back(harness.answer().step);
    }
    CHECK(steps == expected);
}

// A statement waited for a lost answer to a preparation until its own time was
// over, although nothing of it had been sent.
TEST_CASE("session relay: a statement whose preparation is not answered is "
          "sent on another connection")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18);
    const auto caller = harness.start("orders");
    auto step = relay_step::write;
    SUBCASE("a write that needs a value")
    {
        harness.ask(caller, relay_step::set_value, "v", "n");
    }
    SUBCASE("a read that needs a transaction")
    {
        step = relay_step::read;
    }
    harness.ask(caller, step, "item data");
    REQUIRE(harness.sent.size() == 1);
    const auto silent = harness.sent.front();
    harness.sent.clear();
    harness.pass(milliseconds(480));
    CHECK(harness.sent.empty());
    harness.pass(milliseconds(120));
    CHECK(harness.closed_connections ==
          std::vector<connection_id>{silent.connection});
    for (auto round = 0; round < 20 && harness.sent.empty(); ++round) {
        harness.pass(milliseconds(10));
    }
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
}

TEST_CASE("session relay: a connection that holds the session's values goes "
          "first")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(4);
    const auto plain = harness.start("orders");
    const auto with_value = harness.start("orders");
    harness.ask(with_value, relay_step::set_value, "v", "n");
    // Both run at the same time, so that each gets a connection.
    harness.ask(plain, relay_step::write, "item data");
    harness.ask(with_value, relay_step::write, "item data");
    harness.answer_all();
    CHECK(harness.opened == 2);
    for (auto round = 0; round < 3; ++round) {
        for (const auto id : {plain, with_value, with_value, plain}) {
            harness.ask(id, relay_step::write, "item data");
            REQUIRE(harness.sent.size() == 1);
            CHECK(harness.answer().step == relay_step::write);
        }
    }
}

TEST_CASE("session relay: sessions share prepared statements by their shape")
{
    auto harness = relay_harness();
    for (const auto* const name : {"s1", "other"}) {
        const auto caller = harness.start("orders");
        harness.ask(caller, relay_step::prepare, "shape", name, false);
        harness.ask(caller, relay_step::execute, "item data", name);
        REQUIRE(harness.sent.size() == 1);
        if (std::string_view(name) == "s1") {
            CHECK(harness.answer().step == relay_step::prepare);
            REQUIRE(harness.sent.size() == 1);
        }
        CHECK(harness.sent.back().statement.step == relay_step::execute);
        CHECK(harness.sent.back().statement.name == "w_shape");
        harness.answer_all();
    }
}

TEST_CASE("session relay: a transaction whose caller left is rolled back "
          "before its connection is used again")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    harness.relay.end_session(harness.now, caller);
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.sent.front().statement.step == relay_step::rollback);
}

TEST_CASE("session relay: an idle transaction is ended after its limit")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::begin);
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    harness.pass(milliseconds(4000));
    REQUIRE(!harness.sent.empty());
    CHECK(harness.sent.front().statement.step == relay_step::rollback);
    harness.answer_all();
    harness.ask(caller, relay_step::commit);
    CHECK(harness.last_reply(caller).error == relay_error::aborted);
}

TEST_CASE("session relay: a statement that no server accepted is reported as "
          "not run")
{
    auto harness = relay_harness();
    harness.refusals["p"] = connect_failure::refused;
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::write, "item data");
    harness.pass(milliseconds(1100));
    CHECK(harness.last_reply(caller).error == relay_error::retry);
    CHECK(harness.sent.empty());
}

TEST_CASE("session relay: a drain closes idle sessions and lets requests end")
{
    auto harness = relay_harness();
    const auto idle = harness.start("orders");
    const auto busy = harness.start("orders");
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(2000));
    CHECK(harness.closed.empty());
    harness.ask(busy, relay_step::write, "item data");
    harness.pass(milliseconds(500));
    CHECK(harness.closed == std::vector<session_id>{idle});
    harness.answer_all();
    CHECK(harness.last_reply(busy).is_success());
    harness.pass(milliseconds(200));
    CHECK(harness.closed.size() == 2);
}

// Guards against closing the session of a busy caller while its next request is
// in transit. The caller cannot know whether that request ran.
TEST_CASE("session relay: a drain closes a busy session right after an answer")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.relay.drain(harness.now, milliseconds(6000));
    for (auto round = 0; round < 23; ++round) {
        harness.pass(milliseconds(95));
        harness.ask(caller, relay_step::write, "item data");
        harness.pass(milliseconds(5));
        CHECK(harness.closed.empty());
        harness.answer_all();
        CHECK(harness.last_reply(caller).is_success());
    }
    // The last reply came after the load balancer detected the drain.
    CHECK(harness.relay.next_due(harness.now) == harness.now);
    harness.pass(milliseconds(1));
    CHECK(harness.closed == std::vector<session_id>{caller});
}

// Guards against closing a session with an unread request, which resets its
// connection. This happens if a process gets no processor time while it shuts
// down.
TEST_CASE("session relay: a drain closes no session whose request is unread")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.unread.insert(caller);
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(3200));
    CHECK(harness.closed.empty());
    harness.unread.clear();
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
    harness.pass(milliseconds(5));
    CHECK(harness.closed == std::vector<session_id>{caller});
}

TEST_CASE(
    "session relay: a drain spares a session that has just begun until its "
    "request came")
{
    auto harness = relay_harness();
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(2250));
    const auto late = harness.start("orders");
    harness.pass(milliseconds(300));
    CHECK(harness.closed.empty());
    harness.ask(late, relay_step::write, "item data");
    harness.answer_all();
    CHECK(harness.last_reply(late).is_success());
    harness.pass(milliseconds(5));
    CHECK(harness.closed == std::vector<session_id>{late});
}

// A blank in a shape became part of the name at the server, which then read
// another name and other fields.
TEST_CASE("session relay: the name at the server is one word for every shape")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    auto names = std::set<std::string>();
    for (const auto* const shape : {"a", "a b", "a\nb", " ", "x_6120"}) {
        harness.ask(caller, relay_step::prepare, shape, "s");
        harness.ask(caller, relay_step::execute, "item data", "s");
        REQUIRE(!harness.sent.empty());
        const auto name = harness.sent.back().statement.name;
        CHECK(name.find_first_of(" \n") == std::string::npos);
        CHECK(names.insert(name).second);
        harness.answer_all();
        CHECK(harness.last_reply(caller).is_success());
    }
}

// A connection kept the names of all statements that were ever prepared on it,
// each as long as its shape, and no budget knew of them.
TEST_CASE("session relay: what a connection holds is bounded and counted")
{
    constexpr auto names = std::size_t{256};
    constexpr auto most_bytes = names * 200;
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    const auto run_shape = [&](std::size_t number) {
        const auto shape = std::to_string(number) + std::string(1000, 'x');
        harness.ask(caller, relay_step::prepare, shape, "s");
        harness.ask(caller, relay_step::execute, "item data", "s");
    };
    auto held = std::set<std::string>();
    auto is_in_transaction = false;
    SUBCASE("outside of transactions") {}
    SUBCASE("in a transaction")
    {
        is_in_transaction = true;
        harness.ask(caller, relay_step::begin);
    }
    for (auto number = std::size_t{0}; number < 2 * names + 10; ++number) {
        run_shape(number);
        REQUIRE(!harness.sent.empty());
        const auto connection = harness.sent.front().connection;
        while (!harness.sent.empty()) {
            const auto statement = harness.answer();
            CHECK(statement.name.size() <= 70);
            if (statement.step == relay_step::prepare) {
                held.insert(statement.name);
            } else if (statement.step == relay_step::deallocate) {
                CHECK(held.erase(statement.name) == 1);
            }
        }
        REQUIRE(harness.last_reply(caller).is_success());
        CHECK(harness.relay.state_bytes_of(connection) >= held.size());
        CHECK(harness.relay.state_bytes_of(connection) <= most_bytes);
    }
    CHECK(held.size() == names);
    CHECK(harness.opened == 1);
    CHECK(is_in_transaction == (harness.last_reply(caller).status ==
                                transaction_status::in_transaction));
}

// Requests that waited for a connection got no answer when their process ended.
TEST_CASE("session relay: a process that ends answers what waits")
{
    auto harness = relay_harness();
    harness.is_holding = true;
    const auto reader = harness.start("reports");
    const auto writer = harness.start("reports");
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(2000));
    harness.ask(reader, relay_step::read, "item");
    harness.ask(writer, relay_step::write, "item data");
    harness.ask(writer, relay_step::write, "item data");
    harness.pass(milliseconds(3300));
    REQUIRE(harness.replies.contains(reader));
    CHECK(harness.last_reply(reader).error == relay_error::retry);
    REQUIRE(harness.replies[writer].size() == 2);
    CHECK(harness.replies[writer][0].error == relay_error::retry);
    CHECK(harness.replies[writer][1].error == relay_error::retry);
    CHECK(harness.closed.size() == 2);
    CHECK(harness.relay.session_count() == 0);
}

// Each answer started the next statement from within, so that a long queue
// exhausted the stack.
TEST_CASE("session relay: a long queue is answered at the end")
{
    constexpr auto count = std::size_t{50'000};
    auto harness = relay_harness();
    harness.is_holding = true;
    const auto caller = harness.start("reports");
    for (auto number = std::size_t{0}; number < count; ++number) {
        harness.ask(caller, relay_step::write, "item data");
    }
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(5300));
    CHECK(harness.replies[caller].size() == count);
    CHECK(harness.last_reply(caller).error == relay_error::retry);
}

TEST_CASE("session relay: a process that ends says of running statements what "
          "is certain")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(1);
    const auto reader = harness.start("reports");
    const auto writer = harness.start("reports");
    const auto in_transaction = harness.start("reports");
    const auto committing = harness.start("reports");
    for (const auto& each : {in_transaction, committing}) {
        harness.ask(each, relay_step::begin);
        harness.ask(each, relay_step::write, "item data");
        harness.answer_all();
    }
    harness.ask(reader, relay_step::read, "item");
    harness.answer(); // The begin that only a primary accepts.
    harness.ask(writer, relay_step::write, "item data");
    harness.ask(in_transaction, relay_step::write, "item data");
    harness.ask(committing, relay_step::commit);
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(5100));
    CHECK(!harness.replies.contains(writer));
    harness.pass(milliseconds(200));
    CHECK(harness.last_reply(reader).error == relay_error::retry);
    CHECK(harness.last_reply(writer).error == relay_error::in_doubt);
    CHECK(harness.last_reply(in_transaction).error == relay_error::aborted);
    CHECK(harness.last_reply(committing).error == relay_error::in_doubt);
    CHECK(harness.closed.size() == 4);
}

TEST_CASE(
    "session relay: a process that ends refuses what takes longer at once")
{
    auto harness = relay_harness();
    const auto first = harness.start("reports");
    harness.ask(first, relay_step::write, "item data");
    harness.pass(milliseconds(2000));
    harness.answer_all();
    harness.relay.drain(harness.now, milliseconds(6000));
    harness.pass(milliseconds(2000));
    harness.ask(first, relay_step::write, "item data");
    CHECK(harness.sent.size() == 1);
    harness.pass(milliseconds(1500));
    const auto second = harness.start("reports");
    harness.ask(second, relay_step::write, "item data");
    CHECK(harness.sent.size() == 1);
    REQUIRE(harness.replies.contains(second));
    CHECK(harness.last_reply(second).error == relay_error::retry);
    harness.answer_all();
    CHECK(harness.last_reply(first).is_success());
}

// Guards against processes that keep more than their share of a primary's
// connections after a burst, so that other processes are refused.
TEST_CASE("session relay: connections beyond the share are given back")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18); // 90 connections: a share of 2
    auto callers = std::vector<session_id>();
    for (auto count = 0; count < 10; ++count) {
        callers.push_back(harness.start("orders"));
        harness.ask(callers.back(), relay_step::write, "item data");
    }
    CHECK(harness.opened > 2);
    harness.answer_all();
    harness.pass(milliseconds(600));
    CHECK(harness.opened - harness.closed_connections.size() == 2);
}

// Guards against starvation if there are more processes than connections at a
// server: the first processes each keep an idle connection permanently, and the
// others get none.
TEST_CASE("session relay: an idle connection is given back where processes "
          "outnumber the connections")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(120); // 90 connections
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    harness.pass(milliseconds(300));
    CHECK(harness.closed_connections.empty());
    harness.pass(milliseconds(1200));
    CHECK(harness.opened == harness.closed_connections.size());
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
}

// Guards against a statement that waits for a connection until its timeout
// although another process could run it. This happens if there are more
// processes than connections and all are in use.
TEST_CASE("session relay: a statement is refused soon where the primary takes "
          "no more connections")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(120);
    harness.refusals["p"] = connect_failure::connection_limit;
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::write, "item data");
    harness.pass(milliseconds(250));
    CHECK(harness.replies[caller].empty());
    harness.pass(milliseconds(250));
    REQUIRE(harness.replies[caller].size() == 1);
    CHECK(harness.last_reply(caller).error == relay_error::retry);
    // Later statements still try, so that a freed connection is found.
    harness.refusals.clear();
    harness.pass(milliseconds(200));
    harness.ask(caller, relay_step::write, "item data");
    harness.answer_all();
    CHECK(harness.last_reply(caller).is_success());
}

// Guards against callers that use up their few retries within milliseconds.
// After a power loss, dead connections fill the limit of the servers for
// seconds.
TEST_CASE("session relay: a statement that comes while connections are refused "
          "waits for one")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(120);
    harness.refusals["p"] = connect_failure::connection_limit;
    const auto first = harness.start("orders");
    const auto second = harness.start("orders");
    harness.ask(first, relay_step::write, "item data");
    harness.pass(milliseconds(350));
    REQUIRE(harness.replies[first].size() == 1);
    harness.ask(second, relay_step::write, "item data");
    harness.pass(milliseconds(200));
    CHECK(harness.replies[second].empty());
    harness.refusals.clear();
    harness.pass(milliseconds(150));
    harness.answer_all();
    CHECK(harness.last_reply(second).is_success());
}

// Guards against processes whose idle connections starve others after a power
// loss.
TEST_CASE(
    "session relay: idle connections are given back sooner after a server "
    "refused some")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(120);
    const auto first = harness.start("orders");
    const auto second = harness.start("orders");
    harness.ask(first, relay_step::write, "item data");
    harness.answer_all();
    harness.refusals["p"] = connect_failure::connection_limit;
    harness.ask(first, relay_step::write, "item data");
    harness.ask(second, relay_step::write, "item data");
    harness.pass(milliseconds(400));
    harness.answer_all();
    harness.pass(milliseconds(600));
    CHECK(harness.closed_connections.size() == 1);
}

// Guards against proxies that keep a connection to every primary only to query
// its position.
TEST_CASE("session relay: reads need no query to the primary while control "
          "reports its position")
{
    auto harness = relay_harness();
    const auto caller = harness.start("stock");
    for (auto round = 0; round < 40; ++round) {
        harness.relay.on_position(
            harness.now, group_id("g"), harness.now - milliseconds(500),
            {term(1), log_offset(static_cast<std::uint64_t>(100 + round))});
        harness.ask(caller, relay_step::read, "item");
        harness.answer_all();
        CHECK(harness.last_reply(caller).is_success());
        harness.pass(milliseconds(500));
    }
    CHECK(harness.relay.counters().probes == 0);
    // Without newer positions the proxy queries the primary itself, before the
    // limit of 1500 ms.
    harness.pass(milliseconds(700));
    harness.ask(caller, relay_step::read, "item");
    CHECK(harness.relay.counters().probes == 1);
}

// Guards against opening ever more connections to a full server. They add no
// capacity but starve other processes.
TEST_CASE("session relay: a full server gets no connections beyond the share")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18);
    const auto first = harness.start("orders");
    harness.ask(first, relay_step::write, "item data");
    harness.answer(relay_error::retry);
    harness.pass(milliseconds(30));
    for (auto count = 0; count < 40; ++count) {
        harness.ask(harness.start("orders"), relay_step::write, "item data");
    }
    // Each reply raises the limit of concurrent statements.
    for (auto round = 0; round < 5; ++round) {
        harness.pass(milliseconds(20));
        CHECK(harness.opened <= 2);
        harness.answer_all();
    }
    CHECK(harness.opened == 2);
}

// Guards against reads sent to replicas that lag by more than the staleness
// limit. They must refuse these reads, and each refusal costs a round trip.
TEST_CASE("session relay: a replica that lacks old commits gets no reads for a "
          "while")
{
    auto harness = relay_harness();
    const auto writer = harness.start("sheets");
    harness.ask(writer, relay_step::write, "item data");
    harness.answer(relay_error::none, 50);
    const auto caller = harness.start("stock");
    auto refusals = 0;
    for (auto round = 0; round < 10; ++round) {
        harness.ask(caller, relay_step::read, "item");
        while (!harness.sent.empty()) {
            const auto is_replica =
                harness.server_of(harness.sent.front()) != "p" &&
                harness.sent.front().statement.step == relay_step::read;
            refusals += is_replica ? 1 : 0;
            harness.answer(
                is_replica ? relay_error::lagging : relay_error::none, 50);
        }
        CHECK(harness.last_reply(caller).is_success());
        harness.pass(milliseconds(10));
    }
    CHECK(refusals == 2);
}

TEST_CASE("session relay: a replica that lacks only a session's own commit "
          "goes on serving others")
{
    auto harness = relay_harness();
    const auto caller = harness.start("sheets");
    const auto other = harness.start("stock");
    harness.ask(caller, relay_step::write, "item data");
    harness.answer(relay_error::none, 50);
    harness.pass(milliseconds(100));
    harness.ask(caller, relay_step::write, "item data");
    harness.answer(relay_error::none, 60);
    harness.ask(caller, relay_step::read, "item");
    harness.answer_all(60);
    harness.ask(caller, relay_step::read, "item");
    REQUIRE(harness.server_of(harness.sent.front()) != "p");
    harness.answer(relay_error::lagging, 50);
    harness.answer_all(60);
    harness.ask(other, relay_step::read, "item");
    CHECK(harness.server_of(harness.sent.front()) != "p");
}

// Guards against a connection storm after a power loss, when all processes
// connect at once before they know their number.
TEST_CASE("session relay: one connection to a server is opened before the "
          "number of processes is known")
{
    auto harness = relay_harness();
    for (auto count = 0; count < 12; ++count) {
        harness.ask(harness.start("orders"), relay_step::write, "item data");
    }
    harness.pass(milliseconds(50));
    CHECK(harness.opened == 1);
}

// Guards against callers that wait for a server that has been down for long.
TEST_CASE("session relay: in a long outage requests are refused at once, with "
          "a retry delay")
{
    auto harness = relay_harness();
    harness.refusals["p"] = connect_failure::refused;
    const auto early = harness.start("orders");
    harness.ask(early, relay_step::write, "item data");
    CHECK(harness.replies[early].empty());
    for (auto round = 0; round < 5; ++round) {
        const auto caller = harness.start("orders");
        harness.ask(caller, relay_step::write, "item data");
        harness.pass(milliseconds(1000));
    }
    const auto late = harness.start("orders");
    harness.ask(late, relay_step::write, "item data");
    REQUIRE(!harness.replies[late].empty());
    CHECK(harness.last_reply(late).error == relay_error::retry);
    CHECK(harness.last_reply(late).detail ==
          "did not run; retry after 1000 ms");
    CHECK(harness.sent.empty());
}

// In a long outage no connection was opened any more, so that a group whose
// servers had come back without a restart was refused for ever.
TEST_CASE("session relay: a group is served again after a long outage")
{
    auto harness = relay_harness();
    harness.refusals["p"] = connect_failure::refused;
    const auto ask = [&] {
        const auto caller = harness.start("orders");
        harness.ask(caller, relay_step::write, "item data");
        harness.answer_all();
        harness.pass(milliseconds(1000));
        return caller;
    };
    for (auto round = 0; round < 7; ++round) {
        REQUIRE(!harness.last_reply(ask()).is_success());
    }
    harness.refusals.clear();
    auto caller = ask();
    for (auto round = 0; round < 2 && !harness.last_reply(caller).is_success();
         ++round)
    {
        caller = ask();
    }
    CHECK(harness.last_reply(caller).is_success());
}

TEST_CASE("session relay: only a connection without a waiting session is "
          "closed if its reply is overdue")
{
    auto harness = relay_harness();
    auto slow = service_configuration{};
    slow.version = 2;
    slow.groups[group_id("g")] = {90, 0};
    relay_harness::add(slow, "reports", read_consistency::primary);
    slow.routes.at(database_id("reports")).statement_timeout =
        std::chrono::seconds(8);
    harness.relay.set_configuration(
        harness.now, std::make_shared<const service_configuration>(slow));
    const auto caller = harness.start("reports");
    harness.ask(caller, relay_step::write, "item data");
    harness.pass(std::chrono::seconds(7));
    CHECK(harness.closed_connections.empty());
    CHECK(harness.replies[caller].empty());
    harness.pass(std::chrono::seconds(2));
    CHECK(harness.last_reply(caller).error == relay_error::timeout);
    CHECK(harness.closed_connections.size() == 1);
}

// Guards against a synchronized reconnect: if many processes start together,
// connection set-up takes the slots that their callers' statements need.
TEST_CASE("session relay: few connections to a server are opened at a time")
{
    auto harness = relay_harness();
    harness.is_holding = true;
    const auto press = [&] {
        for (auto count = 0; count < 12; ++count) {
            harness.ask(harness.start("orders"), relay_step::write,
                        "item data");
        }
        harness.pass(milliseconds(30));
    };
    SUBCASE("one before the number of processes is known")
    {
        press();
        CHECK(harness.opening_count() == 1);
    }
    SUBCASE("three to a server that is not full")
    {
        harness.relay.set_process_count(4);
        press();
        CHECK(harness.opening_count() == 3);
    }
}

// A control member that started with the servers that it had known before told
// its proxies of one that had left since.
TEST_CASE("relay: an outdated record does not bring a server back")
{
    auto harness = relay_harness();
    auto record = server_record{};
    record.id = target_id("s");
    record.group = group_id("g");
    record.address = "127.0.0.1:9";
    record.zone = zone_id("a");
    record.started_at = 5;
    record.sequence = 7;
    auto other = record;
    harness.relay.update_server(harness.now, record);
    record.state = server_availability::gone;
    record.sequence = 8;
    harness.relay.update_server(harness.now, record);
    CHECK_FALSE(harness.relay.pool().has_server_at("127.0.0.1:9"));
    harness.relay.update_server(harness.now, other);
    CHECK_FALSE(harness.relay.pool().has_server_at("127.0.0.1:9"));
    INFO("a later start under the same id counts");
    other.started_at = 6;
    other.sequence = 1;
    harness.relay.update_server(harness.now, other);
    CHECK(harness.relay.pool().has_server_at("127.0.0.1:9"));
}

// A single failed attempt was reported for as long as the proxy had nothing to
// do with the server, so that control went on looking at a primary that was
// well.
TEST_CASE("relay: what was seen of a server seconds ago is not reported")
{
    auto harness = relay_harness();
    harness.refusals["p"] = connect_failure::unreachable;
    const auto id = harness.start("orders");
    harness.ask(id, relay_step::write, "w");
    const auto failing = [&] {
        const auto seen = harness.relay.pool().recent_health(harness.now);
        return std::count_if(seen.begin(), seen.end(), [](const auto& each) {
            return each.failing_since.has_value();
        });
    };
    CHECK(failing() == 1);
    harness.relay.end_session(harness.now, id);
    harness.pass(std::chrono::seconds(3));
    CHECK(failing() == 0);
    CHECK(harness.relay.pool().health().front().failing_since);
}

// After an outage, statements that had waited for most of their time were sent
// to servers that were well, which were then avoided, and lost their idle
// connections, because the answer did not come in the rest.
TEST_CASE("session relay: a statement that is sent just before its time is "
          "over does not make its server fail")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18);
    harness.is_holding = true;
    const auto waiting = harness.start("orders");
    harness.ask(waiting, relay_step::write, "item data");
    harness.pass(milliseconds(900));
    harness.is_holding = false;
    harness.settle();
    REQUIRE(harness.sent.size() == 1);
    harness.pass(milliseconds(150));
    CHECK(harness.last_reply(waiting).error == relay_error::timeout);
    const auto seen = harness.relay.pool().health();
    CHECK(std::none_of(seen.begin(), seen.end(), [](const auto& each) {
        return each.failing_since.has_value();
    }));
    harness.sent.clear();
    const auto next = harness.start("orders");
    harness.ask(next, relay_step::write, "item data");
    CHECK(harness.sent.size() == 1);
}

// Only reads counted as signs of life, so that a primary that refused or
// committed was taken for silent.
TEST_CASE("session relay: any answer shows that a server is alive")
{
    auto harness = relay_harness();
    harness.relay.set_process_count(18);
    const auto slow = harness.start("orders");
    const auto other = harness.start("orders");
    harness.ask(slow, relay_step::write, "item data");
    harness.ask(other, relay_step::write, "item data");
    REQUIRE(harness.sent.size() == 2);
    harness.answer_all();
    harness.pass(milliseconds(5));
    harness.ask(slow, relay_step::write, "item data");
    const auto unanswered = harness.sent.front();
    harness.sent.clear();
    harness.pass(milliseconds(600));
    harness.ask(other, relay_step::write, "item data");
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.opened == 2);
    harness.answer(relay_error::failed);
    harness.pass(milliseconds(500));
    CHECK(harness.last_reply(slow).error == relay_error::timeout);
    const auto seen = harness.relay.pool().health();
    CHECK(std::none_of(seen.begin(), seen.end(), [](const auto& each) {
        return each.failing_since.has_value();
    }));
    CHECK(harness.server_of(unanswered) == "p");
}

TEST_CASE("session relay: a server that is silent for the time of a statement "
          "fails")
{
    auto harness = relay_harness();
    const auto caller = harness.start("orders");
    harness.ask(caller, relay_step::write, "item data");
    harness.pass(milliseconds(1050));
    CHECK(harness.last_reply(caller).error == relay_error::timeout);
    const auto seen = harness.relay.pool().health();
    CHECK(std::any_of(seen.begin(), seen.end(), [](const auto& each) {
        return each.id == target_id("p") && each.failing_since.has_value();
    }));
}

// Every position of every group came with every view.
TEST_CASE("relay: control is asked for positions, and the primary only if "
          "control is late")
{
    auto harness = relay_harness();
    harness.is_control_asked = true;
    const auto id = harness.start("stock");
    CHECK(harness.asked_control == std::vector<std::string>{"g"});
    CHECK(harness.relay.groups_of_interest(harness.now) ==
          std::vector{group_id("g")});
    harness.ask(id, relay_step::read, "1");
    CHECK(harness.sent.empty());
    CHECK(harness.asked_control.size() == 1);
    harness.relay.on_position(harness.now, group_id("g"), harness.now,
                              {term(1), log_offset(10)});
    harness.pass(milliseconds(20));
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.sent.front().statement.step == relay_step::read);
    harness.answer_all();

    harness.pass(std::chrono::seconds(5));
    harness.ask(id, relay_step::read, "2");
    CHECK(harness.asked_control.size() == 2);
    CHECK(harness.sent.empty());
    harness.pass(milliseconds(150));
    INFO("control did not answer");
    REQUIRE_FALSE(harness.sent.empty());
    CHECK(harness.sent.front().statement.step == relay_step::begin);
    harness.answer_all();
    CHECK(harness.replies.at(id).size() == 2);
    harness.pass(std::chrono::seconds(20));
    CHECK(harness.relay.groups_of_interest(harness.now).empty());
}

} // namespace rhubarbrun_tests
