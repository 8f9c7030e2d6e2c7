#include "fake_target.hpp"

#include <rhubarbrun/transport/owned_target.hpp>
#include <rhubarbrun/transport/target_queries.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using test::fake_response;
using test::fake_target;
using test::run_until;

namespace {

const auto self = proxy_identity{proxy_id("vm-1"), incarnation(1)};
const auto primary_id = target_id("a");
const auto replica_id = target_id("b");
const auto group_name = group_id("orders");
constexpr auto entry_link = link_id(1);
/// Nothing listens there.
constexpr auto lost_port = std::uint16_t{1};

auto answer_rows(const std::vector<row_values>& rows, std::string_view tag)
    -> std::string
{
    auto bytes = std::string{};
    auto out = pg_writer(bytes);
    if (!rows.empty()) {
        out.row_description(
            std::vector<column_description>(rows.front().size()));
        for (const auto& row : rows) {
            out.data_row(row);
        }
    }
    out.command_complete(tag);
    return bytes;
}

/// A scripted server with a role, a log position and one follower.
struct scripted_server
{
    bool is_in_recovery = false;
    int timeline = 1;
    std::uint64_t position = 100;
    std::uint64_t follower_position = 100;
    bool is_silent = false;
    bool drops_writes = false;
    int writes = 0;
    int promotions = 0;
    /// What a new owner is told of the backends of earlier ones.
    older_backends older;
    bool counts_older = true;
    /// Requests and statements on their keys, in their order.
    std::vector<std::string> statements;
    bool has_key = false;
    transaction_status status = transaction_status::idle;

    auto respond(const pg_frame& frame) -> fake_response
    {
        if (frame.type == 'P') {
            parsed_ = frame.body.substr(1, frame.body.find('\0', 1) - 1);
        }
        if (frame.type == 'S' && !is_silent) {
            return respond_extended();
        }
        if (is_silent || frame.type != 'Q') {
            return {};
        }
        const auto text = frame.body.substr(0, frame.body.size() - 1);
        auto result = fake_response{};
        if (text.starts_with("INSERT")) {
            ++writes;
            if (drops_writes) {
                result.closes = true;
                return result;
            }
            position += 10;
        }
        if (text.find("rhubarbrun_request") != std::string::npos ||
            text.starts_with("INSERT"))
        {
            statements.push_back(text);
        }
        if (text.starts_with("BEGIN")) {
            status = transaction_status::in_transaction;
        } else if (text.ends_with("COMMIT") || text == "ROLLBACK") {
            status = transaction_status::idle;
        }
        result.is_held = text.starts_with("HOLD");
        result.bytes = answer(text);
        const auto is_own_state =
            text.starts_with("BEGIN") || text.starts_with("COMMIT") ||
            text.starts_with("UPDATE") || text.starts_with("INSERT");
        pg_writer(result.bytes)
            .ready_for_query(is_own_state ? status : transaction_status::idle);
        return result;
    }

private:
    auto respond_extended() -> fake_response
    {
        auto result = fake_response{};
        result.is_held = !counts_older &&
                         parsed_ == terminate_older_query(owner_epoch(1)).text;
        auto out = pg_writer(result.bytes);
        out.empty('1');
        out.empty('2');
        result.bytes += answer(parsed_);
        pg_writer(result.bytes).ready_for_query(status);
        return result;
    }

    std::string parsed_;

    auto answer(const std::string& text) -> std::string
    {
        if (text == server_state_query().text) {
            const auto at = to_string(log_offset(position));
            return answer_rows(
                {{is_in_recovery ? "t" : "f", std::to_string(timeline), at, at,
                  "1", std::nullopt}},
                "SELECT 1");
        }
        if (text == replica_states_query().text) {
            const auto at = to_string(log_offset(follower_position));
            return answer_rows({{replica_id.value(), "streaming", at, at, at}},
                               "SELECT 1");
        }
        if (text == terminate_older_query(owner_epoch(1)).text) {
            return answer_rows(
                {{std::to_string(older.standing), std::to_string(older.running),
                  std::to_string(older.ended)}},
                "SELECT 1");
        }
        if (text == promote_query(3).text) {
            ++promotions;
            is_in_recovery = false;
            ++timeline;
            return answer_rows({{"t"}}, "SELECT 1");
        }
        if (text.starts_with("BEGIN\n; INSERT")) {
            return answer_rows({}, "BEGIN") +
                   answer_rows({}, std::exchange(has_key, true) ? "INSERT 0 0"
                                                                : "INSERT 0 1");
        }
        if (text.starts_with("UPDATE rhubarbrun_request")) {
            return answer_rows({}, "UPDATE 1") + answer_rows({}, "COMMIT");
        }
        if (text.starts_with("SELECT tag FROM")) {
            return answer_rows({{"INSERT 0 1"}}, "SELECT 1");
        }
        if (text.starts_with("ROWS")) {
            return answer_rows({{"0123456789"}}, "SELECT 1");
        }
        if (text.starts_with("INSERT")) {
            return answer_rows({}, "INSERT 0 1");
        }
        return answer_rows({}, text.substr(0, text.find(' ')));
    }
};

/// An owned target before a scripted server, with control played by the test.
struct owner_fixture
{
    owner_fixture() : owner_fixture(primary_id, scripted_server{}) {}

    owner_fixture(target_id current_primary, scripted_server initial)
        : server(std::move(initial)),
          target(
              context,
              [this](const pg_frame& frame) { return server.respond(frame); }),
          replica_target(context, [this](const pg_frame& frame) {
              return replica.respond(frame);
          })
    {
        replica.is_in_recovery = true;
        auto hooks = owned_target_hooks{};
        hooks.now = steady_now;
        hooks.random = [] {
            return std::uint64_t{7};
        };
        hooks.holds_lease = [this] {
            return holds_lease;
        };
        hooks.live_others = [this] {
            return live_others;
        };
        hooks.ask_confirmation = [this](const proxy_id& proxy,
                                        const target_description&) {
            asked.push_back(proxy);
        };
        hooks.propose_primary = [this](const group_id&, term expected,
                                       const target_id& candidate, owner_epoch,
                                       std::uint32_t) {
            proposed.emplace_back(expected, candidate);
        };
        hooks.release = [this](const target_id&, owner_epoch) {
            ++releases;
        };
        group_term = term(4);
        primary = std::move(current_primary);
        owned = std::make_shared<owned_target>(
            context, owned_target_options{self, primary_id, {"proxy", ""}},
            std::move(hooks), view());
        owned->start();
    }
    ~owner_fixture()
    {
        owned->stop();
        context.restart();
        context.poll();
    }
    owner_fixture(const owner_fixture&) = delete;
    auto operator=(const owner_fixture&) -> owner_fixture& = delete;

    /// Directory with two servers, this proxy as owner, and two other proxies.
    auto view() -> directory_view
    {
        auto delta = directory_delta{};
        delta.is_complete = true;
        delta.up_to = log_index(++index);
        delta.bundle = bundle_header{bundle_version(1), {}, {}};
        auto group = group_record{};
        group.config.id = group_name;
        group.config.database = "orders";
        group.config.limits = limits;
        group.primary =
            primary_record{primary, group_term, self, owner_epoch(1), {}};
        delta.groups = {group};
        delta.targets = {record(primary_id, target.port()),
                         record(replica_id, replica_target.port())};
        delta.targets[0].presence = presence;
        if (has_lost_server) {
            delta.targets.push_back(record(target_id("c"), lost_port));
        }
        for (const auto* const name : {"vm-1", "vm-2", "vm-3"}) {
            auto proxy = proxy_record{};
            proxy.identity = {proxy_id(name), incarnation(1)};
            delta.proxies.push_back(proxy);
        }
        auto result = std::make_shared<directory>();
        result->apply(delta);
        return result;
    }

    static auto record(const target_id& id, std::uint16_t port) -> target_record
    {
        auto result = target_record{};
        result.description = {id,           group_name, "127.0.0.1", port,
                              zone_id("z"), 3,          20};
        result.owner = self;
        result.epoch = owner_epoch(1);
        return result;
    }

    auto status() -> owned_target_status
    {
        const auto result =
            std::make_shared<std::optional<owned_target_status>>();
        owned->inspect(
            [result](const owned_target_status& status) { *result = status; });
        REQUIRE(run_until(context, [&] { return result->has_value(); }));
        return **result;
    }

    /// Waits until the queue satisfies `condition`.
    auto wait_for_queue(
        const std::function<bool(const admission_snapshot&)>& condition) -> bool
    {
        const auto is_met = std::make_shared<bool>(false);
        return run_until(context, [&] {
            owned->inspect(
                [is_met, condition](const owned_target_status& status) {
                    *is_met = condition(status.queue);
                });
            return *is_met;
        });
    }

    auto wait_until_serving() -> void
    {
        // Shared, because an answer may arrive after the wait.
        const auto is_serving = std::make_shared<bool>(false);
        REQUIRE(run_until(context, [&] {
            owned->inspect([is_serving](const owned_target_status& status) {
                *is_serving = status.is_primary;
            });
            return *is_serving;
        }));
    }

    auto submit(std::string text,
                transaction_step step = transaction_step::single) -> void
    {
        auto request = execute_request{};
        request.step = step;
        submit(std::move(request), std::move(text));
    }

    auto submit_read(std::string text, std::string shape) -> void
    {
        auto request = execute_request{};
        request.is_read_only = true;
        request.shape = std::move(shape);
        submit(std::move(request), std::move(text));
    }

    auto submit_keyed(std::string text,
                      transaction_step step = transaction_step::single) -> void
    {
        auto request = execute_request{};
        request.step = step;
        request.key = request_key("it's \\ 1");
        submit(std::move(request), std::move(text));
    }

    auto submit_short_read(std::string text) -> void
    {
        auto request = execute_request{};
        request.is_read_only = true;
        request.hinted_class = work_class::lookup;
        submit(std::move(request), std::move(text));
    }

    auto submit(execute_request request, std::string text) -> void
    {
        request.id = request_id(++last_request);
        if (request.session == session_id(0)) {
            request.session = session_id(1);
        }
        request.target = primary_id;
        request.epoch = epoch;
        request.group_term = group_term;
        request.body.text = std::move(text);
        request.time_left_us = duration(limit).count();
        owned->submit(std::move(request), entry_link, [this](execute_reply r) {
            replies.push_back(std::move(r));
        });
    }

    auto wait_for_replies(std::size_t count) -> void
    {
        REQUIRE(run_until(context, [&] { return replies.size() >= count; }));
    }

    asio::io_context context;
    scripted_server server;
    scripted_server replica;
    fake_target target;
    fake_target replica_target;
    std::shared_ptr<owned_target> owned;
    bool holds_lease = true;
    std::optional<std::size_t> live_others;
    term group_term;
    target_id primary;
    target_presence presence = target_presence::present;
    bool has_lost_server = false;
    group_limits limits;
    owner_epoch epoch{1};
    duration limit = std::chrono::seconds(5);
    std::uint64_t index = 0;
    std::uint64_t last_request = 0;
    std::vector<execute_reply> replies;
    std::vector<proxy_id> asked;
    std::vector<std::pair<term, target_id>> proposed;
    int releases = 0;
};

auto outcome_of(const execute_reply& reply) -> verdict
{
    return reply.error ? reply.error->outcome : verdict::ran;
}

} // namespace

TEST_CASE("a write is answered only after a second server holds it")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.submit("INSERT 1");
    REQUIRE(run_until(test.context, [&] { return test.server.writes == 1; }));
    test.context.restart();
    test.context.run_for(std::chrono::milliseconds(50));
    CHECK(test.replies.empty());
    test.server.follower_position = test.server.position;
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::ran);
    REQUIRE(test.replies[0].position.has_value());
    CHECK(test.replies[0].position->offset == log_offset(110));
}

TEST_CASE("a write that commits after the lease ended is not acknowledged")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.submit("INSERT 1");
    REQUIRE(run_until(test.context, [&] { return test.server.writes == 1; }));
    test.holds_lease = false;
    test.server.follower_position = test.server.position;
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::may_have_run);
}

TEST_CASE("a write without a lease is refused before it is sent")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.holds_lease = false;
    test.submit("INSERT 1");
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::not_run);
    CHECK(test.replies[0].reroute == reroute_hint::try_again);
    CHECK(test.server.writes == 0);
}

TEST_CASE("a request for an earlier epoch is not run by the next owner")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.epoch = owner_epoch(0);
    test.submit("INSERT 1");
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::not_run);
    CHECK(test.server.writes == 0);
}

TEST_CASE("a connection lost during a write gives one verdict: may have run")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.server.drops_writes = true;
    test.submit("INSERT 1");
    test.wait_for_replies(1);
    test.context.restart();
    test.context.run_for(std::chrono::milliseconds(50));
    REQUIRE(test.replies.size() == 1);
    CHECK(outcome_of(test.replies[0]) == verdict::may_have_run);
    CHECK(test.server.writes == 1);
}

TEST_CASE("statements of a lost entry's transaction are not run any more")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.server.follower_position = 10'000;
    test.submit("BEGIN", transaction_step::begin);
    test.wait_for_replies(1);
    CHECK(test.replies[0].status == transaction_status::in_transaction);
    test.owned->on_link_lost(entry_link);
    test.submit("INSERT 1", transaction_step::within);
    test.wait_for_replies(2);
    CHECK(outcome_of(test.replies[1]) == verdict::not_run);
    CHECK(test.server.writes == 0);
}

TEST_CASE("a silent primary is replaced by the replica that has its writes")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.replica.position = 100;
    test.server.is_silent = true;
    REQUIRE(run_until(test.context, [&] { return test.asked.size() >= 2; }));
    CHECK(test.proposed.empty());
    test.owned->on_confirmation(proxy_id("vm-2"), false);
    test.owned->on_confirmation(proxy_id("vm-3"), false);
    REQUIRE(run_until(test.context, [&] { return !test.proposed.empty(); }));
    CHECK(test.proposed[0] == std::pair(term(4), replica_id));
    test.server.is_silent = false;
    test.submit("INSERT 1");
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::not_run);
    CHECK(test.server.writes == 0);
}

TEST_CASE("a lost replica does not hold up a failover to one that is safe")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.has_lost_server = true;
    test.owned->set_directory(test.view());
    test.replica.position = 100;
    test.server.is_silent = true;
    REQUIRE(run_until(test.context, [&] { return test.asked.size() >= 2; }));
    test.owned->on_confirmation(proxy_id("vm-2"), false);
    test.owned->on_confirmation(proxy_id("vm-3"), false);
    REQUIRE(run_until(test.context, [&] { return !test.proposed.empty(); }));
    CHECK(test.proposed[0] == std::pair(term(4), replica_id));
}

TEST_CASE("a primary that another proxy reaches is given up, not replaced")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.server.is_silent = true;
    REQUIRE(run_until(test.context, [&] { return !test.asked.empty(); }));
    test.owned->on_confirmation(proxy_id("vm-2"), true);
    REQUIRE(run_until(test.context, [&] { return test.releases > 0; }));
    CHECK(test.proposed.empty());
}

TEST_CASE("work in flight gets its verdict when the primary is replaced")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.submit("INSERT 1");
    REQUIRE(run_until(test.context, [&] { return test.server.writes == 1; }));
    test.group_term = term(5);
    test.primary = replica_id;
    test.owned->set_directory(test.view());
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::may_have_run);
}

TEST_CASE("a replica that becomes primary is promoted before it takes writes")
{
    auto initial = scripted_server{};
    initial.is_in_recovery = true;
    auto test = owner_fixture(replica_id, initial);
    test.submit("INSERT 1");
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::not_run);
    test.group_term = term(5);
    test.primary = primary_id;
    test.owned->set_directory(test.view());
    test.wait_until_serving();
    CHECK(test.server.promotions == 1);
    CHECK_FALSE(test.server.is_in_recovery);
}

TEST_CASE("a leaving primary is replaced after its last write was answered")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.submit("INSERT 1");
    REQUIRE(run_until(test.context, [&] { return test.server.writes == 1; }));
    test.presence = target_presence::leaving;
    test.owned->set_directory(test.view());
    test.submit("INSERT 2");
    test.wait_for_replies(1);
    CHECK(test.replies[0].reroute == reroute_hint::try_again);
    CHECK(test.proposed.empty());
    test.replica.position = test.server.position;
    test.server.follower_position = test.server.position;
    REQUIRE(run_until(test.context, [&] { return !test.proposed.empty(); }));
    CHECK(test.proposed[0] == std::pair(term(4), replica_id));
    REQUIRE(test.replies.size() == 2);
    CHECK(outcome_of(test.replies[1]) == verdict::ran);
    CHECK(test.asked.empty());
}

TEST_CASE("a handover gives the target back only after its work has ended")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.submit("INSERT 1");
    REQUIRE(run_until(test.context, [&] { return test.server.writes == 1; }));
    auto delta = directory_delta{};
    delta.since = log_index(test.index);
    delta.up_to = log_index(test.index + 1);
    auto record = owner_fixture::record(primary_id, test.target.port());
    record.next_owner = proxy_identity{proxy_id("vm-2"), incarnation(1)};
    delta.targets = {record};
    auto changed = std::make_shared<directory>(*test.view());
    delta.since = changed->index();
    delta.up_to = changed->index().next();
    changed->apply(delta);
    test.owned->set_directory(changed);
    test.context.restart();
    test.context.run_for(std::chrono::milliseconds(50));
    CHECK(test.releases == 0);
    test.server.follower_position = test.server.position;
    REQUIRE(run_until(test.context, [&] { return test.releases > 0; }));
    REQUIRE(test.replies.size() == 1);
    CHECK(outcome_of(test.replies[0]) == verdict::ran);
}

TEST_CASE("a rolled bundle changes the limits of a running owner")
{
    // Without it new limits would wait for the next owner of the target.
    auto test = owner_fixture{};
    test.limits.slots = 2;
    test.wait_until_serving();
    test.owned->set_directory(test.view());
    for (auto count = 0; count < 4; ++count) {
        test.submit_read("HOLD", "held");
    }
    REQUIRE(run_until(test.context, [&] { return test.target.held() == 2; }));
    test.limits.slots = 3;
    test.limits.queue_length = 1;
    test.owned->set_directory(test.view());
    REQUIRE(test.wait_for_queue([](const admission_snapshot& queue) {
        return queue.usable_slots == 3;
    }));
    // Two wait, so that the queue is full by the new limit.
    test.submit_read("HOLD", "held");
    test.wait_for_replies(1);
    CHECK(test.replies[0].id == request_id(5));
    CHECK(outcome_of(test.replies[0]) == verdict::not_run);
    CHECK(test.replies[0].error->code == sqlstate::too_many_connections);
}

TEST_CASE("a larger result than a newly rolled bundle allows is refused")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.submit_read("ROWS", "rows");
    test.wait_for_replies(1);
    CHECK(outcome_of(test.replies[0]) == verdict::ran);
    CHECK_FALSE(test.replies[0].error.has_value());
    test.limits.session_result_bytes = 4;
    test.owned->set_directory(test.view());
    test.submit_read("ROWS", "rows");
    test.wait_for_replies(2);
    REQUIRE(test.replies[1].error.has_value());
    CHECK(test.replies[1].error->code == sqlstate::program_limit_exceeded);
}

TEST_CASE("a report without a hint is learned as long while it runs")
{
    // Reports of one shape would otherwise take the slots of short reads.
    constexpr auto reports = static_cast<std::size_t>(work_class::report);
    auto test = owner_fixture{};
    test.limits.slots = 3;
    test.wait_until_serving();
    for (auto count = 0; count < 3; ++count) {
        test.submit_read("HOLD", "report");
    }
    CHECK(test.wait_for_queue([](const admission_snapshot& queue) {
        return queue.running == 2 && queue.waiting.at(reports) == 1;
    }));
    test.target.release_held();
    REQUIRE(run_until(test.context, [&] { return test.target.held() == 1; }));
    // What was measured decides about the next ones before they start.
    test.submit_read("HOLD", "report");
    CHECK(test.wait_for_queue([](const admission_snapshot& queue) {
        return queue.running_long == 1 && queue.waiting.at(reports) == 1;
    }));
}

TEST_CASE("work of an earlier owner counts until its backends are gone")
{
    // A backend that was told to end may run on for a while. Together with the
    // new owner's work it would exceed the slots and the connections.
    auto initial = scripted_server{};
    initial.older = {18, 2, 18};
    auto test = owner_fixture(primary_id, initial);
    test.wait_until_serving();
    for (auto count = 0; count < 3; ++count) {
        test.submit_short_read("HOLD");
    }
    REQUIRE(run_until(test.context, [&] { return test.target.held() == 1; }));
    auto now = test.status();
    CHECK(now.queue.usable_slots == 1);
    CHECK(now.queue.usable_connections == 1);
    // 18, the probes' own and this one are the limit of 20.
    CHECK(now.connections.opened == 1);
    test.server.older = {4, 1, 4};
    REQUIRE(run_until(test.context, [&] { return test.target.held() == 2; }));
    CHECK(test.status().queue.usable_slots == 2);
    test.server.older = {};
    REQUIRE(run_until(test.context, [&] { return test.target.held() == 3; }));
    now = test.status();
    CHECK(now.queue.usable_slots == 3);
    CHECK(now.queue.usable_connections == 15);
}

TEST_CASE("no connection is opened before those of earlier owners are known")
{
    auto initial = scripted_server{};
    initial.counts_older = false;
    auto test = owner_fixture(primary_id, initial);
    REQUIRE(run_until(test.context, [&] { return test.target.held() == 1; }));
    test.context.restart();
    test.context.run_for(std::chrono::milliseconds(100));
    auto counts = test.status().connections;
    CHECK(counts.opening + counts.opened == 0);
    test.server.counts_older = true;
    test.target.release_held();
    test.wait_until_serving();
}

TEST_CASE("an owner without a lease opens no connections")
{
    // The next owner would end them, and this one open them again.
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.holds_lease = false;
    const auto starts = test.target.starts;
    test.target.drop();
    test.context.restart();
    test.context.run_for(std::chrono::milliseconds(300));
    CHECK(test.target.starts == starts);
    test.holds_lease = true;
    CHECK(run_until(test.context, [&] { return test.target.starts > starts; }));
}

TEST_CASE("a replica that has diverged satisfies no floor of the new term")
{
    // Its log runs past the point where the new term begins, so that its
    // position alone would pass for one that holds the session's write.
    auto diverged = scripted_server{};
    diverged.is_in_recovery = true;
    diverged.position = 150;
    auto test = owner_fixture(replica_id, diverged);
    test.replica.is_in_recovery = false;
    test.replica.timeline = 2;
    test.group_term = term(5);
    test.owned->set_directory(test.view());
    const auto read_at_floor = [&test] {
        auto request = execute_request{};
        request.is_read_only = true;
        request.floor = log_position{term(5), log_offset(140)};
        const auto count = test.replies.size() + 1;
        test.submit(std::move(request), "ROWS");
        test.wait_for_replies(count);
        return test.replies.back();
    };
    const auto asked_position = [&test] {
        auto answer = std::make_shared<std::optional<position_answer>>();
        test.owned->query(
            [answer](const position_answer& given) { *answer = given; });
        REQUIRE(run_until(test.context, [&] { return answer->has_value(); }));
        return (*answer)->position;
    };
    REQUIRE(run_until(test.context, [&] { return test.status().is_serving; }));
    test.context.restart();
    test.context.run_for(std::chrono::milliseconds(500));
    const auto refused = read_at_floor();
    CHECK(outcome_of(refused) == verdict::not_run);
    CHECK(refused.reroute == reroute_hint::use_primary);
    CHECK_FALSE(asked_position().has_value());
    // Once it has the timeline of the new primary it serves reads again.
    test.server.timeline = 2;
    REQUIRE(
        run_until(test.context, [&] { return asked_position().has_value(); }));
    CHECK_FALSE(read_at_floor().error.has_value());
}

TEST_CASE("a key costs two round trips, and its repeat does not run")
{
    auto test = owner_fixture{};
    test.server.follower_position = 10'000;
    test.wait_until_serving();
    test.server.statements.clear();
    test.submit_keyed("INSERT 1");
    test.wait_for_replies(1);
    CHECK_FALSE(test.replies[0].error.has_value());
    CHECK(decode_answer(test.replies[0].answer).tags ==
          std::vector<std::string>{"INSERT 0 1"});
    const auto& sent = test.server.statements;
    REQUIRE(sent.size() == 3);
    // The key is one literal, whatever standard_conforming_strings is.
    CHECK(sent[0].find("(E'it''s \\\\ 1')") != std::string::npos);
    CHECK(sent[1] == "INSERT 1");
    CHECK(sent[2].ends_with("; COMMIT"));
    test.submit_keyed("INSERT 1");
    test.wait_for_replies(2);
    CHECK(test.server.writes == 1);
    CHECK(decode_answer(test.replies[1].answer).tags ==
          std::vector<std::string>{"INSERT 0 1"});
}

TEST_CASE("the answer to a transaction's BEGIN does not show the key's record")
{
    auto test = owner_fixture{};
    test.wait_until_serving();
    test.server.statements.clear();
    test.submit_keyed("BEGIN", transaction_step::begin);
    test.wait_for_replies(1);
    CHECK(test.replies[0].status == transaction_status::in_transaction);
    CHECK(decode_answer(test.replies[0].answer).tags ==
          std::vector<std::string>{"BEGIN"});
    CHECK(test.server.statements.size() == 1);
    // A second transaction under the key is refused before it does anything.
    auto request = execute_request{};
    request.step = transaction_step::begin;
    request.key = request_key("1");
    request.session = session_id(2);
    test.submit(std::move(request), "BEGIN");
    test.wait_for_replies(2);
    CHECK(decode_answer(test.replies[1].answer).error.has_value());
    CHECK(test.replies[1].status == transaction_status::idle);
}
