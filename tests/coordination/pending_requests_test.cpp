#include "property_check.hpp"

#include <rhubarbrun/coordination/pending_requests.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);
const auto alice = session_id(1);

auto request(std::uint64_t id, bool is_idempotent = false) -> pending_request
{
    return {request_id(id), alice, start + 1s, is_idempotent};
}

auto sent(pending_requests& pending, std::uint64_t id, std::uint64_t link)
    -> bool
{
    return pending.try_send(start, request_id(id), link_id(link)) ==
           send_permission::granted;
}

struct step
{
    int kind = 0;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

auto operator<<(std::ostream& out, const step& value) -> std::ostream&
{
    return out << value.kind << '/' << value.first << '/' << value.second;
}

/// Actual history of one request, recorded over all links.
struct request_history
{
    pending_request request;
    std::optional<link_id> link;
    /// Sends that were not answered as not run.
    int unresolved_sends = 0;
    bool has_ended = false;
};

/// Runs the table and a reference model of sends and endings.
class pending_model
{
public:
    explicit pending_model(pending_fault fault) : pending_(fault) {}

    auto apply(const step& action) -> void
    {
        const auto link = link_id(action.second % 3);
        switch (action.kind) {
        case 0:
        case 1:
            add(action.first, action.second);
            break;
        case 2:
        case 3:
            send(action.first, link);
            break;
        case 4:
            answer(action.first, link);
            break;
        case 5:
            answer_not_run(action.first, link);
            break;
        case 10:
            answer_may_have_run(action.first, link);
            break;
        case 6:
            lose(link);
            break;
        case 7:
            give_up(action.first);
            break;
        case 8:
            now_ += std::chrono::milliseconds(action.first);
            end_all(pending_.expire(now_));
            break;
        default:
            close(session_id(action.second % 5));
        }
    }

    auto finish_all() -> void
    {
        now_ += 1h;
        end_all(pending_.expire(now_));
        for (const auto& [id, history] : histories_) {
            RC_ASSERT(history.has_ended);
        }
        RC_ASSERT(pending_.size() == 0U);
    }

private:
    auto pick(std::uint32_t index) -> request_history*
    {
        if (histories_.empty()) {
            return nullptr;
        }
        const auto steps =
            static_cast<std::ptrdiff_t>(index % histories_.size());
        return &std::next(histories_.begin(), steps)->second;
    }

    auto add(std::uint32_t first, std::uint32_t second) -> void
    {
        const auto id = request_id(histories_.size() + 1);
        const auto request = pending_request{
            id, session_id(second % 5),
            now_ + std::chrono::milliseconds(1 + first), first % 2 == 0};
        RC_ASSERT(pending_.add(request));
        RC_ASSERT(!pending_.add(request));
        histories_.emplace(id, request_history{request, {}, 0, false});
    }

    auto send(std::uint32_t index, link_id link) -> void
    {
        auto* const history = pick(index);
        if (history == nullptr ||
            pending_.try_send(now_, history->request.id, link) !=
                send_permission::granted)
        {
            return;
        }
        RC_ASSERT(!history->has_ended);
        RC_ASSERT(now_ < history->request.deadline);
        RC_ASSERT(history->request.is_idempotent ||
                  history->unresolved_sends == 0);
        ++history->unresolved_sends;
        history->link = link;
    }

    auto answer(std::uint32_t index, link_id link) -> void
    {
        auto* const history = pick(index);
        if (history == nullptr) {
            return;
        }
        const auto receiver = pending_.on_answer(history->request.id, link);
        const auto is_due = !history->has_ended && history->link == link;
        RC_ASSERT(receiver.has_value() == is_due);
        if (receiver) {
            RC_ASSERT(*receiver == history->request.session);
            history->has_ended = true;
        }
    }

    auto answer_not_run(std::uint32_t index, link_id link) -> void
    {
        auto* const history = pick(index);
        if (history == nullptr) {
            return;
        }
        const auto is_due = !history->has_ended && history->link == link;
        RC_ASSERT(pending_.on_not_run(history->request.id, link) == is_due);
        if (is_due) {
            --history->unresolved_sends;
            history->link.reset();
        }
    }

    auto answer_may_have_run(std::uint32_t index, link_id link) -> void
    {
        auto* const history = pick(index);
        if (history == nullptr) {
            return;
        }
        const auto is_kept =
            pending_.on_may_have_run(now_, history->request.id, link);
        const auto is_due = !history->has_ended && history->link == link;
        RC_ASSERT(!is_kept || is_due);
        RC_ASSERT(!is_due || is_kept == (history->request.is_idempotent &&
                                         now_ < history->request.deadline));
        if (is_kept) {
            history->link.reset();
        }
    }

    auto lose(link_id link) -> void
    {
        const auto loss = pending_.on_link_lost(now_, link);
        for (const auto id : loss.retries) {
            auto& history = histories_.at(id);
            RC_ASSERT(history.link == link);
            history.link.reset();
        }
        end_all(loss.endings);
        for (const auto& [id, history] : histories_) {
            RC_ASSERT(history.has_ended || history.link != link);
        }
    }

    auto give_up(std::uint32_t index) -> void
    {
        auto* const history = pick(index);
        if (history == nullptr) {
            return;
        }
        const auto ending = pending_.give_up(
            history->request.id, {verdict::not_run, "57P03", "no owner", {}});
        RC_ASSERT(ending.has_value() ==
                  (!history->has_ended && !history->link));
        if (ending) {
            end_all({*ending});
        }
    }

    auto close(session_id session) -> void
    {
        for (const auto& [id, link] : pending_.on_session_closed(session)) {
            auto& history = histories_.at(id);
            RC_ASSERT(!history.has_ended);
            RC_ASSERT(history.request.session == session);
            RC_ASSERT(history.link == link);
            history.has_ended = true;
        }
    }

    auto end_all(const std::vector<request_ending>& endings) -> void
    {
        for (const auto& ending : endings) {
            auto& history = histories_.at(ending.id);
            RC_ASSERT(!history.has_ended);
            RC_ASSERT(ending.session == history.request.session);
            const auto expected = history.unresolved_sends > 0
                                      ? verdict::may_have_run
                                      : verdict::not_run;
            RC_ASSERT(ending.error.outcome == expected);
            history.has_ended = true;
        }
    }

    pending_requests pending_;
    time_point now_ = start;
    std::map<request_id, request_history> histories_;
};

auto failure_with(pending_fault fault) -> std::string
{
    return tests::find_failure([fault] {
        const auto steps =
            *rc::gen::container<std::vector<step>>(rc::gen::build<step>(
                rc::gen::set(&step::kind, rc::gen::inRange(0, 11)),
                rc::gen::set(&step::first, rc::gen::inRange(0U, 1000U)),
                rc::gen::set(&step::second, rc::gen::inRange(0U, 1000U))));
        auto model = pending_model(fault);
        for (const auto& action : steps) {
            model.apply(action);
        }
        model.finish_all();
    });
}

} // namespace

TEST_CASE("an answer reaches only the session that waits for it, once")
{
    auto pending = pending_requests();
    REQUIRE(pending.add(request(1)));
    CHECK_FALSE(pending.on_answer(request_id(1), link_id(1)));
    REQUIRE(sent(pending, 1, 1));
    CHECK_FALSE(pending.on_answer(request_id(2), link_id(1)));
    CHECK_FALSE(pending.on_answer(request_id(1), link_id(2)));
    CHECK(pending.on_answer(request_id(1), link_id(1)) == alice);
    CHECK_FALSE(pending.on_answer(request_id(1), link_id(1)));
}

TEST_CASE("an answer after the deadline reaches nobody")
{
    auto pending = pending_requests();
    REQUIRE(pending.add(request(1)));
    REQUIRE(sent(pending, 1, 1));
    CHECK(pending.next_deadline() == start + 1s);
    const auto endings = pending.expire(start + 1s);
    REQUIRE(endings.size() == 1);
    CHECK(endings.front().error.outcome == verdict::may_have_run);
    CHECK(endings.front().error.code ==
          sqlstate::transaction_resolution_unknown);
    CHECK_FALSE(pending.on_answer(request_id(1), link_id(1)));
}

TEST_CASE("a lost link ends sent writes as may-have-run and no others")
{
    auto pending = pending_requests();
    for (auto id = std::uint64_t{1}; id <= 3; ++id) {
        REQUIRE(pending.add(request(id)));
    }
    REQUIRE(sent(pending, 1, 1));
    REQUIRE(sent(pending, 2, 2));
    const auto loss = pending.on_link_lost(start, link_id(1));
    CHECK(loss.retries.empty());
    REQUIRE(loss.endings.size() == 1);
    CHECK(loss.endings.front().id == request_id(1));
    CHECK(loss.endings.front().error.outcome == verdict::may_have_run);
    CHECK_FALSE(sent(pending, 1, 2));
    const auto ending = pending.give_up(request_id(3), {});
    REQUIRE(ending);
    CHECK(ending->error.outcome == verdict::not_run);
}

TEST_CASE("a write is sent again only if its owner says that it did not run")
{
    auto pending = pending_requests();
    REQUIRE(pending.add(request(1)));
    REQUIRE(sent(pending, 1, 1));
    CHECK_FALSE(sent(pending, 1, 2));
    CHECK_FALSE(pending.on_not_run(request_id(1), link_id(2)));
    CHECK(pending.on_not_run(request_id(1), link_id(1)));
    CHECK(sent(pending, 1, 2));
}

TEST_CASE("an idempotent request is retried within deadline and budget")
{
    auto pending = pending_requests();
    auto granted = 0;
    for (auto id = std::uint64_t{1}; id <= 100; ++id) {
        REQUIRE(pending.add(request(id, true)));
        REQUIRE(sent(pending, id, 1));
    }
    CHECK(pending.on_link_lost(start, link_id(1)).retries.size() == 100);
    for (auto id = std::uint64_t{1}; id <= 100; ++id) {
        granted += sent(pending, id, 2) ? 1 : 0;
    }
    CHECK(granted == retry_budget::max_saved_retries);
    CHECK(pending.try_send(start, request_id(100), link_id(2)) ==
          send_permission::no_budget);
    CHECK(pending.try_send(start + 1s, request_id(100), link_id(2)) ==
          send_permission::past_deadline);
    // The first attempt may have run, so the ending must report that.
    CHECK(pending.give_up(request_id(100), {})->error.outcome ==
          verdict::may_have_run);
}

TEST_CASE("a refused retry keeps the verdict of an attempt that may have run")
{
    auto pending = pending_requests{};
    REQUIRE(pending.add(request(1, true)));
    REQUIRE(sent(pending, 1, 1));
    REQUIRE(pending.on_link_lost(start, link_id(1)).retries.size() == 1);
    REQUIRE(sent(pending, 1, 2));
    REQUIRE(pending.on_not_run(request_id(1), link_id(2)));
    const auto ending = pending.give_up(request_id(1), {});
    REQUIRE(ending.has_value());
    CHECK(ending->error.outcome == verdict::may_have_run);
}

TEST_CASE("refusals of owners during a failover use up no retry budget")
{
    auto pending = pending_requests{};
    constexpr auto refusals = 10 * retry_budget::max_saved_retries;
    REQUIRE(pending.add(request(1)));
    for (auto refusal = 0; refusal < refusals; ++refusal) {
        REQUIRE(sent(pending, 1, 1));
        REQUIRE(pending.on_not_run(request_id(1), link_id(1)));
    }
    CHECK(sent(pending, 1, 2));
}

TEST_CASE("a closed session gets no answer and its requests are cancelled")
{
    auto pending = pending_requests();
    REQUIRE(pending.add(request(1)));
    REQUIRE(pending.add(request(2)));
    REQUIRE(sent(pending, 1, 1));
    CHECK(pending.on_session_closed(alice).size() == 2);
    CHECK_FALSE(pending.on_answer(request_id(1), link_id(1)));
    CHECK(pending.expire(start + 1s).empty());
}

TEST_CASE("random events give one true verdict and one send per write")
{
    CHECK(failure_with(pending_fault::none) == "");
}

TEST_CASE("the model detects a write that is sent twice")
{
    CHECK(failure_with(pending_fault::resend_non_idempotent) != "");
}

TEST_CASE("the model detects a late answer that reaches a session")
{
    CHECK(failure_with(pending_fault::accept_late_answer) != "");
}

TEST_CASE("the model detects a false claim that a request did not run")
{
    CHECK(failure_with(pending_fault::claim_not_run) != "");
}
