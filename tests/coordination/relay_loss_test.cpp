#include "relay_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// Connections that break, answers that are lost and servers that refuse, at any
// point of any statement: what ran is never said not to have run, and nothing
// runs twice.

namespace rhubarbrun_tests {

namespace {

auto is_promise(relay_error error) -> bool
{
    switch (error) {
    case relay_error::retry:
    case relay_error::aborted:
    case relay_error::lagging:
    case relay_error::read_only:
    case relay_error::wrong_server:
    case relay_error::connection_limit:
        return true;
    default:
        return false;
    }
}

/// Faults that the check has to find.
enum class planted : std::uint8_t
{
    none,
    /// A broken connection after a write counts as a refusal.
    loss_as_refusal,
};

/// Callers and servers around a relay, with an oracle.
class lossy_relay
{
public:
    lossy_relay(std::uint64_t seed, planted fault)
        : random_(seed), fault_(fault)
    {
        for (const auto* const database :
             {"orders", "stock", "sheets", "reports"}) {
            callers_.push_back({harness_.start(database)});
        }
    }

    auto step() -> void
    {
        const auto action = random_() % 16;
        if (action < 6) {
            ask(callers_[random_() % callers_.size()]);
        } else if (action < (end_at_ ? 8U : 14U)) {
            // Few are served in time while the process ends.
            serve();
        } else {
            harness_.pass(milliseconds(1 + random_() % 60));
        }
        check_replies();
    }

    /// Ends all faults and gives every request the time to be answered.
    auto finish() -> void
    {
        for (auto round = 0; round < 150; ++round) {
            while (!harness_.sent.empty()) {
                carry_out(0, outcome::answer);
                check_replies();
            }
            harness_.pass(milliseconds(100));
            check_replies();
        }
    }

    /// Begins the end of the process, which has to answer every statement.
    auto start_end() -> void
    {
        end_at_ = harness_.now + milliseconds(6000);
        harness_.relay.drain(harness_.now, milliseconds(6000));
    }

    [[nodiscard]] auto is_ending() const -> bool
    {
        return end_at_ && harness_.now + milliseconds(700) >= *end_at_;
    }

    auto check_all_answered() -> void
    {
        check_replies();
        for (const auto& each : callers_) {
            if (each.answered < each.asked.size()) {
                violations.push_back(each.asked.back().id +
                                     " got no answer before the process ended");
            }
        }
    }

    std::vector<std::string> violations;
    std::size_t writes = 0;
    std::size_t promises = 0;
    std::size_t doubts = 0;

private:
    enum class outcome : std::uint8_t
    {
        answer,
        run_and_break,
        break_before,
        refuse,
    };
    struct request
    {
        std::string id;
        relay_step step = relay_step::read;
    };
    struct caller
    {
        session_id id;
        std::vector<request> asked = {};
        std::size_t answered = 0;
        bool is_in_transaction = false;
        /// Writes of the open transaction.
        std::vector<std::string> writes = {};
    };

    auto ask(caller& from) -> void
    {
        const auto is_closed =
            std::find(harness_.closed.begin(), harness_.closed.end(),
                      from.id) != harness_.closed.end();
        if (from.answered < from.asked.size() || is_closed) {
            return;
        }
        auto next = request{"q" + std::to_string(++last_request_)};
        const auto pick = random_() % 10;
        if (from.is_in_transaction && pick < 3) {
            next.step = pick < 2 ? relay_step::commit : relay_step::rollback;
        } else if (!from.is_in_transaction && pick < 2) {
            next.step = relay_step::begin;
        } else {
            next.step = pick < 7 ? relay_step::write : relay_step::read;
        }
        from.asked.push_back(next);
        harness_.ask(from.id, next.step, next.id);
    }

    auto serve() -> void
    {
        if (harness_.sent.empty()) {
            return;
        }
        // Any connection may be the next; statements of one are in order.
        const auto place = random_() % harness_.sent.size();
        const auto connection = harness_.sent[place].connection;
        const auto first = std::find_if(
            harness_.sent.begin(), harness_.sent.end(),
            [&](const auto& each) { return each.connection == connection; });
        const auto pick = random_() % 10;
        const auto what = pick < 6   ? outcome::answer
                          : pick < 8 ? outcome::run_and_break
                          : pick < 9 ? outcome::break_before
                                     : outcome::refuse;
        carry_out(static_cast<std::size_t>(first - harness_.sent.begin()),
                  what);
    }

    auto carry_out(std::size_t place, outcome what) -> void
    {
        auto& sent = harness_.sent;
        std::rotate(sent.begin(),
                    sent.begin() + static_cast<std::ptrdiff_t>(place),
                    sent.begin() + static_cast<std::ptrdiff_t>(place) + 1);
        const auto first = sent.front();
        const auto is_refusable = first.statement.step == relay_step::write ||
                                  first.statement.step == relay_step::read;
        if (what == outcome::refuse && is_refusable) {
            harness_.answer(relay_error::retry);
            return;
        }
        if (what == outcome::break_before) {
            open_.erase(first.connection);
            harness_.lose(first.connection);
            return;
        }
        run(first);
        if (what == outcome::run_and_break) {
            open_.erase(first.connection);
            harness_.lose(first.connection);
        } else {
            harness_.answer();
        }
    }

    auto run(const relay_harness::sent_statement& each) -> void
    {
        const auto& statement = each.statement;
        const auto open = open_.find(each.connection);
        switch (statement.step) {
        case relay_step::begin:
            open_[each.connection].clear();
            break;
        case relay_step::write:
            if (open == open_.end()) {
                commit(statement.text);
            } else {
                open->second.push_back(statement.text);
            }
            break;
        case relay_step::commit:
            if (open != open_.end()) {
                for (const auto& id : open->second) {
                    commit(id);
                }
                open_.erase(open);
            }
            break;
        case relay_step::rollback:
            open_.erase(each.connection);
            break;
        default:
            break;
        }
    }

    auto commit(const std::string& id) -> void
    {
        ++writes;
        if (!committed_.insert(id).second) {
            violations.push_back(id + " took effect twice");
        }
        if (forbidden_.contains(id)) {
            violations.push_back(id + " took effect after the caller was told "
                                      "that it had not run");
        }
    }

    auto forbid(const std::string& id) -> void
    {
        forbidden_.insert(id);
        if (committed_.contains(id)) {
            violations.push_back(id + " had run, but was said not to have run");
        }
    }

    auto check_replies() -> void
    {
        for (auto& each : callers_) {
            const auto found = harness_.replies.find(each.id);
            const auto count =
                found == harness_.replies.end() ? 0 : found->second.size();
            while (each.answered < count) {
                const auto& asked = each.asked.at(each.answered);
                on_reply(each, asked, found->second.at(each.answered));
                ++each.answered;
            }
        }
    }

    auto on_reply(caller& to, const request& asked, const relay_reply& reply)
        -> void
    {
        auto error = reply.error;
        if (fault_ == planted::loss_as_refusal &&
            error == relay_error::in_doubt) {
            error = relay_error::retry;
        }
        promises += is_promise(error) ? 1 : 0;
        doubts += error == relay_error::in_doubt ? 1 : 0;
        if (asked.step == relay_step::begin) {
            to.is_in_transaction = error == relay_error::none;
            to.writes.clear();
        } else if (asked.step == relay_step::write && !to.is_in_transaction) {
            check_effect({asked.id}, error);
        } else if (asked.step == relay_step::write) {
            to.writes.push_back(asked.id);
        } else if (asked.step == relay_step::commit) {
            check_effect(to.writes, error);
            to.is_in_transaction = false;
        } else if (asked.step == relay_step::rollback) {
            check_effect(to.writes, relay_error::aborted);
            to.is_in_transaction = false;
        }
        if (to.is_in_transaction && is_promise(error)) {
            // The transaction has failed; nothing of it may count.
            check_effect(to.writes, error);
        }
    }

    auto check_effect(const std::vector<std::string>& ids, relay_error error)
        -> void
    {
        for (const auto& id : ids) {
            if (error == relay_error::none && !committed_.contains(id) &&
                !forbidden_.contains(id))
            {
                violations.push_back(id + " was acknowledged without effect");
            }
            if (is_promise(error)) {
                forbid(id);
            }
        }
    }

    std::mt19937_64 random_;
    planted fault_;
    relay_harness harness_;
    std::vector<caller> callers_;
    std::uint64_t last_request_ = 0;
    std::optional<time_point> end_at_;
    /// Writes of the transactions that are open at servers.
    std::map<connection_id, std::vector<std::string>> open_;
    std::set<std::string> committed_;
    std::set<std::string> forbidden_;
};

struct search_result
{
    std::string violation;
    std::size_t writes = 0;
    std::size_t promises = 0;
    std::size_t doubts = 0;
};

auto search(std::size_t histories, planted fault) -> search_result
{
    auto result = search_result{};
    for (auto seed = std::uint64_t{1}; seed <= histories; ++seed) {
        auto relay = lossy_relay(seed, fault);
        for (auto step = 0; step < 120; ++step) {
            relay.step();
        }
        relay.finish();
        result.writes += relay.writes;
        result.promises += relay.promises;
        result.doubts += relay.doubts;
        if (!relay.violations.empty()) {
            result.violation =
                std::to_string(seed) + ": " + relay.violations.front();
            return result;
        }
    }
    return result;
}

/// As `search`, with a process that ends in the middle of each history.
auto search_ends(std::size_t histories) -> search_result
{
    auto result = search_result{};
    for (auto seed = std::uint64_t{1}; seed <= histories; ++seed) {
        auto relay = lossy_relay(seed, planted::none);
        for (auto step = 0; step < 40; ++step) {
            relay.step();
        }
        relay.start_end();
        while (!relay.is_ending()) {
            relay.step();
        }
        relay.check_all_answered();
        result.writes += relay.writes;
        result.promises += relay.promises;
        result.doubts += relay.doubts;
        if (!relay.violations.empty()) {
            result.violation =
                std::to_string(seed) + ": " + relay.violations.front();
            return result;
        }
    }
    return result;
}

} // namespace

TEST_CASE("relay: a process that ends answers every statement, and truly")
{
    const auto result = search_ends(400);
    CHECK(result.violation == "");
    CHECK(result.writes > 1000);
    CHECK(result.promises > 400);
}

TEST_CASE("relay: what ran is never said not to have run, nothing runs twice")
{
    const auto result = search(800, planted::none);
    CHECK(result.violation == "");
    INFO("the histories reach what they are about");
    CHECK(result.writes > 2000);
    CHECK(result.promises > 400);
    CHECK(result.doubts > 400);
}

TEST_CASE("the check of lost answers finds a loss that counts as a refusal")
{
    CHECK(search(40, planted::loss_as_refusal).violation != "");
}

} // namespace rhubarbrun_tests
