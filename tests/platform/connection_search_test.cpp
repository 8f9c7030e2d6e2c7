#include "connection_model.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

// Every short order of statements of two or three sessions that share
// connections, with every fate of one or two answers. Guards against answers
// that are taken for those of other statements, and statements that run with
// the values, the prepared statements or in the transaction of another session.

namespace rhubarbrun_tests {

namespace {

/// With a sanitizer, which is for faults of memory, the searches are shorter:
/// it makes each history some fifty times as slow.
#ifdef __SANITIZE_ADDRESS__
constexpr auto is_sanitized = true;
#else
constexpr auto is_sanitized = false;
#endif

struct search_bounds
{
    std::size_t sessions = 2;
    std::size_t length = 3;
    std::size_t faults = 1;
};

class connection_search
{
public:
    connection_search(search_bounds bounds, read_consistency consistency)
        : bounds_(bounds)
    {
        history_.sessions = bounds.sessions;
        history_.consistency = consistency;
        transactions_.resize(bounds.sessions);
        has_left_.resize(bounds.sessions);
    }

    auto run() -> void { extend(); }

    /// The first violation of each rule, with its history.
    std::map<std::string, std::string> violations;
    std::size_t histories = 0;
    std::size_t successes = 0;

private:
    /// Plays all histories that begin with the present entries.
    auto extend() -> void
    {
        if (history_.entries.size() == bounds_.length) {
            for (const auto is_hasty : {false, true}) {
                history_.is_hasty = is_hasty;
                history_.do_values_roll_back = !is_hasty;
                play(0, bounds_.faults);
            }
            return;
        }
        for (auto session = std::size_t{0}; session < bounds_.sessions;
             ++session) {
            for (auto number = 0; number < caller_action_count; ++number) {
                add(session, static_cast<caller_action>(number));
            }
        }
    }

    auto add(std::size_t session, caller_action action) -> void
    {
        const bool is_open = transactions_[session];
        const auto is_end = action == caller_action::commit ||
                            action == caller_action::rollback;
        if (has_left_[session] || (is_end && !is_open) ||
            (action == caller_action::begin && is_open))
        {
            return;
        }
        history_.entries.push_back({session, action});
        transactions_[session] =
            action == caller_action::begin || (is_open && !is_end);
        has_left_[session] = action == caller_action::leave;
        extend();
        has_left_[session] = false;
        transactions_[session] = is_open;
        history_.entries.pop_back();
    }

    /// Plays the history, and with up to `faults` more from the statement with
    /// the number `first` on.
    auto play(std::size_t first, std::size_t faults) -> void
    {
        auto model = connection_model(history_);
        model.run();
        ++histories;
        successes += model.successes;
        for (auto& [rule, what] : model.violations) {
            violations.emplace(rule, what);
        }
        if (faults == 0) {
            return;
        }
        for (auto number = first; number < model.messages; ++number) {
            for (auto fate = 1; fate < answer_fate_count; ++fate) {
                history_.fates[number] = static_cast<answer_fate>(fate);
                play(number + 1, faults - 1);
                history_.fates.erase(number);
            }
        }
    }

    search_bounds bounds_;
    connection_history history_;
    std::vector<bool> transactions_;
    std::vector<bool> has_left_;
};

auto check_all(search_bounds bounds) -> void
{
    for (const auto consistency :
         {read_consistency::primary, read_consistency::read_your_writes})
    {
        auto search = connection_search(bounds, consistency);
        search.run();
        INFO(to_string(consistency));
        for (const auto& [rule, what] : search.violations) {
            INFO(rule, ": ", what);
            CHECK(false);
        }
        MESSAGE(search.histories, " histories, ", search.successes,
                " successes");
        CHECK(search.histories > 1000);
        CHECK(search.successes > search.histories);
    }
}

} // namespace

TEST_CASE("connection search: two sessions, three statements, one fault")
{
    check_all(is_sanitized ? search_bounds{2, 2, 1} : search_bounds{2, 3, 1});
}

TEST_CASE("connection search: three sessions, two statements, one fault")
{
    check_all({3, 2, 1});
}

TEST_CASE("connection search: two sessions, two statements, two faults")
{
    check_all(is_sanitized ? search_bounds{2, 2, 1} : search_bounds{2, 2, 2});
}

// By hand only: --no-skip --test-case="connection search: long run"
TEST_CASE("connection search: long run" * doctest::skip())
{
    check_all({2, 4, 1});
    check_all({3, 3, 2});
}

} // namespace rhubarbrun_tests
