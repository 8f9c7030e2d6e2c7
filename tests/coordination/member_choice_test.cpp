#include <rhubarbrun/coordination/member_choice.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

/// A `member_choice` with three seeds, of which those in `running` accept links
/// and answer.
class starting_proxy
{
public:
    starting_proxy()
        : choice_({"proxy", "north",
                   [] {
                       return std::vector<std::string>{"a", "b", "c"};
                   }},
                  make_hooks())
    {
    }

    auto start() -> void { choice_.start(now_); }

    auto pass(duration length) -> void
    {
        for (const auto end = now_ + length; now_ < end;
             now_ += milliseconds(5)) {
            for (const auto& each : std::set<std::string>(wanted_)) {
                if (running.contains(each) && linked_.insert(each).second) {
                    choice_.on_link_up(each);
                }
            }
            for (const auto& each : std::exchange(asked_, {})) {
                choice_.on_answer(now_, each, covered(each));
            }
            choice_.tick(now_);
        }
    }

    [[nodiscard]] auto followed() const -> std::string
    {
        return choice_.followed();
    }
    [[nodiscard]] auto wanted() const -> const std::set<std::string>&
    {
        return wanted_;
    }
    [[nodiscard]] auto most_wanted() const -> std::size_t
    {
        return most_wanted_;
    }
    [[nodiscard]] auto tried() const -> const std::vector<std::string>&
    {
        return tried_;
    }
    auto lose(const std::string& member) -> void
    {
        running.erase(member);
        linked_.erase(member);
        choice_.on_link_down(now_, member);
    }

    std::set<std::string> running;
    /// Members that answer with a fresh view.
    std::set<std::string> fresh;

private:
    auto covered(const std::string& member) const -> std::optional<time_point>
    {
        return fresh.contains(member) ? std::optional(now_) : std::nullopt;
    }

    auto make_hooks() -> member_choice_hooks
    {
        auto hooks = member_choice_hooks{};
        hooks.connect = [this](const std::string& member) {
            tried_.push_back(member);
            wanted_.insert(member);
            most_wanted_ = std::max(most_wanted_, wanted_.size());
        };
        hooks.forget = [this](const std::string& member) {
            wanted_.erase(member);
            linked_.erase(member);
        };
        hooks.request = [this](const std::string& member) {
            if (linked_.contains(member)) {
                asked_.push_back(member);
            }
        };
        hooks.log_left = [](const std::string&, std::string_view) {
        };
        return hooks;
    }

    time_point now_ = time_point(std::chrono::seconds(100));
    std::set<std::string> wanted_;
    std::set<std::string> linked_;
    std::vector<std::string> asked_;
    std::vector<std::string> tried_;
    std::size_t most_wanted_ = 0;
    member_choice choice_;
};

} // namespace

// After a loss of all power a proxy waited 350 ms for each member that was not
// back yet, without a configuration.
TEST_CASE("member choice: a proxy that starts does not wait for members that "
          "are down")
{
    auto proxy = starting_proxy();
    proxy.start();
    REQUIRE(proxy.tried().size() == 1);
    auto others = std::set<std::string>{"a", "b", "c"};
    others.erase(proxy.tried().front());
    proxy.running = {*others.rbegin()};
    proxy.pass(milliseconds(340));
    CHECK(proxy.followed() == *others.rbegin());
}

TEST_CASE("member choice: a proxy that starts follows the member that comes up "
          "first, and leaves the others once its view is fresh")
{
    auto proxy = starting_proxy();
    proxy.start();
    proxy.pass(milliseconds(310));
    CHECK(proxy.wanted().size() == 3);
    const auto first = proxy.tried().front();
    proxy.running = {first};
    proxy.fresh = {first};
    proxy.pass(milliseconds(30));
    CHECK(proxy.followed() == first);
    CHECK(proxy.wanted() == std::set<std::string>{first});
}

TEST_CASE("member choice: a proxy that follows a member tries the others one "
          "after the other")
{
    auto proxy = starting_proxy();
    proxy.running = {"a", "b", "c"};
    proxy.fresh = {"a", "b", "c"};
    proxy.start();
    proxy.pass(milliseconds(50));
    REQUIRE(!proxy.followed().empty());
    CHECK(proxy.most_wanted() == 1);
    proxy.fresh.clear();
    const auto followed = proxy.followed();
    proxy.running = {followed};
    proxy.pass(std::chrono::seconds(10));
    CHECK(proxy.followed() == followed);
    CHECK(proxy.most_wanted() == 2);
    proxy.lose(followed);
    proxy.pass(std::chrono::seconds(2));
    CHECK(proxy.most_wanted() <= 3);
}

} // namespace rhubarbrun_tests
