#include <rhubarbrun/coordination/fencing_sequence.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

/// Where orders are carried out: refuses a number below the highest it saw.
class fenced_service
{
public:
    auto carry_out(std::uint64_t number, const std::string& order) -> bool
    {
        if (number < highest_) {
            return false;
        }
        highest_ = number;
        last = order;
        return true;
    }

    std::string last;

private:
    std::uint64_t highest_ = 0;
};

} // namespace

// An order without an answer was carried out seconds later, after a newer one
// of the same leader, and undid it.
TEST_CASE("fencing: a late order of the same leader does not undo a newer one")
{
    auto sequence = fencing_sequence();
    auto service = fenced_service();
    const auto late = sequence.next(election_term(5));
    const auto newer = sequence.next(election_term(5));
    CHECK(service.carry_out(newer, "promote b"));
    CHECK_FALSE(service.carry_out(late, "promote a"));
    CHECK(service.last == "promote b");
}

TEST_CASE(
    "fencing: a later leader's first order is above all of an earlier one")
{
    auto first = fencing_sequence();
    auto second = fencing_sequence();
    auto highest = std::uint64_t{0};
    for (auto order = 0; order < (1 << 20) + 10; ++order) {
        const auto number = first.next(election_term(7));
        CHECK_FALSE(number < highest);
        highest = number;
    }
    CHECK(second.next(election_term(8)) > highest);
    // A number of a term that comes again continues above the former ones only
    // if the process that leads is the same, which the election ensures.
    CHECK(first.next(election_term(9)) > second.next(election_term(8)));
}

} // namespace rhubarbrun_tests
