#include <rhubarbrun/coordination/entry_coordinator.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <optional>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);
const auto alice = session_id(1);
const auto group = group_id("g");
const auto primary = target_id("s0");
const auto owner = proxy_identity{proxy_id("p1"), incarnation(1)};
const auto to_owner = link_id(7);

/// One group whose primary is owned by another proxy.
auto directory_of(term group_term) -> directory
{
    auto delta = directory_delta{};
    delta.up_to = log_index(group_term.value());
    delta.is_complete = true;
    auto groups = group_record{};
    groups.config.id = group;
    groups.config.database = "orders";
    groups.primary = primary_record{};
    groups.primary->target = primary;
    groups.primary->group_term = group_term;
    delta.groups.push_back(groups);
    auto target = target_record{};
    target.description.id = primary;
    target.description.group = group;
    target.owner = owner;
    target.epoch = owner_epoch(1);
    delta.targets.push_back(target);
    auto result = directory{};
    REQUIRE(result.apply(delta) == delta_outcome::applied);
    return result;
}

/// A coordinator with one session, and the actions of the last event.
struct fixture
{
    fixture() { coordinator.open_session(now, alice, group, {}); }

    static auto make_options() -> entry_coordinator_options
    {
        auto options = entry_coordinator_options{};
        options.self = proxy_id("p0");
        options.find_link = [](const target_id&, const proxy_id&) {
            return std::optional(to_owner);
        };
        return options;
    }

    [[nodiscard]] auto seen() const -> entry_view { return {now, copy, true}; }

    /// Requests a write and returns its id, which has to be sent at once.
    auto write(bool is_idempotent,
               transaction_step step = transaction_step::single) -> request_id
    {
        auto request = entry_request{};
        request.step = step;
        request.is_idempotent = is_idempotent;
        request.deadline = 1s;
        todo.clear();
        const auto id = coordinator.on_request(seen(), alice, request, todo);
        REQUIRE(id);
        REQUIRE(sent() == 1);
        return *id;
    }

    auto reply(const entry_reply& message) -> void
    {
        todo = coordinator.on_reply(seen(), to_owner, message);
    }

    auto reply_may_have_run(request_id id) -> void
    {
        auto message = entry_reply{};
        message.id = id;
        message.error =
            request_error{verdict::may_have_run,
                          std::string(sqlstate::transaction_resolution_unknown),
                          "no second server confirmed the write in time",
                          {}};
        reply(message);
    }

    auto reply_ran(request_id id,
                   transaction_status status = transaction_status::idle) -> void
    {
        auto message = entry_reply{};
        message.id = id;
        message.status = status;
        message.position = log_position{term(1), log_offset(50)};
        reply(message);
    }

    auto tick_after(duration pause) -> void
    {
        now += pause;
        todo = coordinator.tick(seen());
    }

    [[nodiscard]] auto sent() const -> int
    {
        auto count = 0;
        for (const auto& action : todo) {
            count += std::holds_alternative<send_action>(action) ? 1 : 0;
        }
        return count;
    }

    /// The answer among the actions; null if there is none.
    [[nodiscard]] auto answer() const -> const answer_action*
    {
        for (const auto& action : todo) {
            if (const auto* const found = std::get_if<answer_action>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    [[nodiscard]] auto is_answered_may_have_run() const -> bool
    {
        return answer() != nullptr && answer()->error &&
               answer()->error->outcome == verdict::may_have_run;
    }

    time_point now = start;
    directory copy = directory_of(term(1));
    entry_coordinator coordinator{make_options()};
    entry_actions todo;
};

} // namespace

// Guards against an answer of 08007 to a request that was safe to repeat.
TEST_CASE("an idempotent write that an owner may have run is sent again")
{
    auto entry = fixture();
    const auto id = entry.write(true);
    entry.reply_may_have_run(id);
    CHECK(entry.answer() == nullptr);
    entry.tick_after(20ms);
    REQUIRE(entry.sent() == 1);
    entry.reply_ran(id);
    REQUIRE(entry.answer() != nullptr);
    CHECK(entry.answer()->id == id);
    CHECK_FALSE(entry.answer()->error);
    // The floor of the session moves to the acknowledged position.
    CHECK(entry.answer()->token == "g:1:0/32");
}

// Guards against a write that runs twice, such as a duplicate order.
TEST_CASE("a write that is not idempotent is answered as may-have-run at once")
{
    auto entry = fixture();
    entry.reply_may_have_run(entry.write(false));
    CHECK(entry.is_answered_may_have_run());
    entry.tick_after(20ms);
    CHECK(entry.todo.empty());
}

TEST_CASE("retries after may-have-run end at the deadline with that verdict")
{
    auto entry = fixture();
    const auto id = entry.write(true);
    entry.reply_may_have_run(id);
    entry.tick_after(20ms);
    REQUIRE(entry.sent() == 1);
    // The first attempt may have run although a retry was refused.
    auto refusal = entry_reply{};
    refusal.id = id;
    refusal.error = request_error{verdict::not_run, "57P03", "not ready", {}};
    refusal.reroute = reroute_hint::try_again;
    entry.reply(refusal);
    CHECK(entry.answer() == nullptr);
    entry.tick_after(1s);
    CHECK(entry.is_answered_may_have_run());
    CHECK(entry.sent() == 0);
}

TEST_CASE("retries after may-have-run take from the retry budget")
{
    auto entry = fixture();
    const auto id = entry.write(true);
    auto attempts = 0;
    for (auto round = 0; round < 2 * retry_budget::max_saved_retries; ++round) {
        entry.reply_may_have_run(id);
        entry.tick_after(20ms);
        attempts += entry.sent();
    }
    CHECK(attempts == retry_budget::max_saved_retries);
}

// Guards against a statement that runs without those before it.
TEST_CASE("a statement of an open transaction is not sent again on its own")
{
    auto entry = fixture();
    entry.reply_ran(entry.write(true, transaction_step::begin),
                    transaction_status::in_transaction);
    entry.reply_may_have_run(entry.write(true, transaction_step::within));
    CHECK(entry.is_answered_may_have_run());
    CHECK_FALSE(entry.coordinator.is_in_transaction(alice));
}

TEST_CASE("a cancelled request is not sent again")
{
    auto entry = fixture();
    const auto id = entry.write(true);
    entry.todo = entry.coordinator.on_cancel(entry.seen(), alice);
    REQUIRE(entry.todo.size() == 1);
    CHECK(std::get<cancel_action>(entry.todo.front()).id == id);
    SUBCASE("after the owner's answer")
    {
        entry.reply_may_have_run(id);
    }
    SUBCASE("after the link was lost")
    {
        entry.todo = entry.coordinator.on_link_down(entry.seen(), to_owner);
    }
    CHECK(entry.is_answered_may_have_run());
    CHECK(entry.sent() == 0);
}

// Guards against an acknowledgement by a replaced primary.
TEST_CASE("an answer of a replaced primary is not passed on as ran")
{
    auto entry = fixture();
    const auto id = entry.write(false);
    entry.copy = directory_of(term(2));
    entry.reply_ran(id);
    CHECK(entry.is_answered_may_have_run());
    CHECK_FALSE(entry.answer()->token);
}

namespace {

const auto replica = target_id("s1");
const auto second_replica = target_id("s2");

/// The group of `directory_of` with two replicas, all owned by `owner`.
auto directory_with_replicas() -> directory
{
    auto result = directory_of(term(1));
    auto delta = directory_delta{};
    delta.since = result.index();
    delta.up_to = log_index(2);
    for (const auto& id : {replica, second_replica}) {
        auto target = target_record{};
        target.description.id = id;
        target.description.group = group;
        target.description.slots = 3;
        target.owner = owner;
        target.epoch = owner_epoch(1);
        delta.targets.push_back(target);
    }
    REQUIRE(result.apply(delta) == delta_outcome::applied);
    return result;
}

/// A fixture whose session reads from a group with two replicas.
struct read_fixture : fixture
{
    read_fixture() { copy = directory_with_replicas(); }

    auto read() -> void
    {
        auto request = entry_request{};
        request.is_read_only = true;
        request.deadline = 1s;
        todo.clear();
        id = coordinator.on_request(seen(), alice, request, todo).value();
        for (const auto& action : todo) {
            if (const auto* const query = std::get_if<query_action>(&action)) {
                questions[query->target] = query->id;
            }
        }
    }

    auto answer_position(const target_id& target, bool is_primary) -> void
    {
        auto position = target_position{};
        position.target = target;
        position.position = log_position{term(1), log_offset(50)};
        if (is_primary) {
            position.log_end = position.position;
            position.followers = {replica, second_replica};
        }
        coordinator.on_position(seen(), questions.at(target), position);
        now += 4ms;
        todo = coordinator.retry(seen());
    }

    [[nodiscard]] auto sent_to() const -> std::optional<target_id>
    {
        for (const auto& action : todo) {
            if (const auto* const send = std::get_if<send_action>(&action)) {
                return send->target;
            }
        }
        return std::nullopt;
    }

    request_id id;
    std::map<target_id, request_id> questions;
};

} // namespace

// Guards against reads at the primary whenever its position arrives first.
TEST_CASE("a read waits for the replicas' answers, not for the primary's only")
{
    auto entry = read_fixture();
    entry.read();
    REQUIRE(entry.questions.size() == 3);
    entry.answer_position(primary, true);
    CHECK_FALSE(entry.sent_to());
    entry.answer_position(replica, false);
    CHECK(entry.sent_to() == replica);
}

// Guards against a replica's answer that is lost because it came first.
TEST_CASE("a replica's answer counts although it arrives before the primary's")
{
    auto entry = read_fixture();
    entry.read();
    entry.answer_position(replica, false);
    CHECK_FALSE(entry.sent_to());
    entry.answer_position(primary, true);
    CHECK(entry.sent_to() == replica);
}

// Guards against a wait for a replica that will not answer.
TEST_CASE("a read goes to the primary if no replica answers")
{
    auto entry = read_fixture();
    entry.read();
    entry.answer_position(primary, true);
    CHECK_FALSE(entry.sent_to());
    entry.tick_after(60ms);
    CHECK(entry.sent_to() == primary);
}

// Guards against a replica that counts as busy because of lost reads.
TEST_CASE("a read that leaves a replica unanswered no longer counts there")
{
    auto entry = read_fixture();
    entry.read();
    entry.answer_position(replica, false);
    entry.answer_position(primary, true);
    REQUIRE(entry.sent_to() == replica);
    // The link is lost again and again while the read is at the replica.
    for (auto times = 0; times < 3; ++times) {
        entry.todo = entry.coordinator.on_link_down(entry.seen(), to_owner);
        entry.tick_after(5ms);
    }
    CHECK(entry.answer() == nullptr);
    static_cast<void>(entry.coordinator.on_closed(alice));
    entry.coordinator.open_session(entry.now, alice, group, {});
    entry.now += 20ms;
    entry.read();
    entry.answer_position(replica, false);
    entry.answer_position(second_replica, false);
    entry.answer_position(primary, true);
    entry.tick_after(20ms);
    // Both are idle, so the order of their names decides.
    CHECK(entry.sent_to() == replica);
}

// Guards against reads that stay at the primary after the reports of the
// replicas have expired.
TEST_CASE("outdated reports of the replicas are renewed")
{
    auto entry = read_fixture();
    entry.read();
    entry.answer_position(replica, false);
    entry.answer_position(second_replica, false);
    entry.answer_position(primary, true);
    entry.tick_after(200ms);
    REQUIRE(entry.sent_to());
    auto answered = entry_reply{};
    answered.id = entry.id;
    entry.reply(answered);
    REQUIRE(entry.answer() != nullptr);
    // The primary's position is younger than the accepted age of 5 s, but the
    // reports are older than their TTL of 3 s.
    entry.now += 4s;
    entry.questions.clear();
    entry.read();
    CHECK_FALSE(entry.sent_to());
    REQUIRE(entry.questions.size() == 3);
    entry.answer_position(replica, false);
    CHECK(entry.sent_to() == replica);
}
