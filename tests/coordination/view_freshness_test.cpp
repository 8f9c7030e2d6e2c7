#include "consensus_network.hpp"

#include <rhubarbrun/coordination/member_choice.hpp>
#include <rhubarbrun/coordination/state_freshness.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

namespace {

/// The shortest time that a deployment allows between the acknowledgement of a
/// configuration and its effect.
constexpr auto effect_limit = std::chrono::seconds(3);
constexpr auto proxy_count = std::size_t{127};
constexpr auto change_interval = std::chrono::milliseconds(200);
/// One way between regions, and to connect with the handshake.
constexpr auto one_way = std::chrono::milliseconds(20);
constexpr auto connect_time = std::chrono::milliseconds(120);

const auto regions =
    std::array<std::string, 5>{"north", "south", "west", "north", "south"};

/// Five control members in three regions that replicate one change after the
/// other, and proxies that follow them; everything in virtual time.
class followed_group
{
public:
    explicit followed_group(std::uint64_t seed) : network_(settings(seed))
    {
        network_.drop_if([this](const consensus_message& message) {
            return is_lost(message);
        });
        network_.wait_for_leader();
        for (auto index = std::size_t{0}; index < proxy_count; ++index) {
            proxies_.push_back(std::make_unique<proxy>());
            start(index);
        }
    }

    /// Cuts members off from all others; proxies still reach them.
    auto cut(const std::set<std::size_t>& members) -> void
    {
        auto parts = std::vector<std::size_t>(network_.size(), 0);
        for (const auto member : members) {
            parts.at(member) = 1;
        }
        network_.split(parts);
        parts_ = std::move(parts);
    }

    /// What the member sends to other members is lost.
    auto mute(std::size_t member) -> void { muted_.insert(member); }

    /// The member gets heartbeats and answers to its questions, but no entries.
    auto starve(std::size_t member) -> void { starved_.insert(member); }

    /// The member accepts no links and answers nothing.
    auto crash(std::size_t member) -> void
    {
        network_.crash(member);
        for (auto index = std::size_t{0}; index < proxy_count; ++index) {
            if (proxies_[index]->links.erase(member) > 0) {
                proxies_[index]->choice->on_link_down(now(), name(member));
            }
        }
    }

    auto restart(std::size_t member) -> void { network_.restart(member); }
    /// Restarts with an empty disk.
    auto wipe(std::size_t member) -> void
    {
        network_.wipe(member);
        pushed_.at(member) = 0;
    }

    auto run(duration length) -> void
    {
        for (const auto end = now() + length; now() < end;) {
            network_.run(consensus_network::step);
            propose();
            while (!events_.empty() && events_.begin()->first <= now()) {
                const auto event = events_.extract(events_.begin());
                event.mapped()();
            }
            for (auto member = std::size_t{0}; member < regions.size();
                 ++member) {
                refresh(member);
            }
            push();
            for (const auto& each : proxies_) {
                if (now() >= each->choice->next_tick()) {
                    each->choice->tick(now());
                }
                note_lag(*each);
            }
        }
    }

    /// Longest time for which any proxy lacked an acknowledged change.
    [[nodiscard]] auto longest_lag() const -> duration { return longest_lag_; }
    auto forget_lag() -> void { longest_lag_ = duration::zero(); }

    /// Proxies with a link to a member of another region only.
    [[nodiscard]] auto proxies_elsewhere() const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            proxies_.begin(), proxies_.end(), [](const auto& each) {
                return std::none_of(each->links.begin(), each->links.end(),
                                    [&](std::size_t member) {
                                        return regions.at(member) ==
                                               each->region;
                                    });
            }));
    }

private:
    struct proxy
    {
        std::string region;
        std::unique_ptr<member_choice> choice;
        /// Members to which it has or opens a link.
        std::set<std::string> wanted;
        std::set<std::size_t> links;
        std::uint64_t held = 0;
    };

    static auto settings(std::uint64_t seed) -> network_settings
    {
        auto result = network_settings{};
        result.members = regions.size();
        result.seed = seed;
        result.longest_delay = one_way;
        result.disk_delay = std::chrono::milliseconds(2);
        result.entries_kept = 64;
        result.has_clock_drift = false;
        return result;
    }

    auto now() const -> time_point { return network_.now(); }

    static auto name(std::size_t member) -> std::string
    {
        return {static_cast<char>('a' + member)};
    }

    static auto number(const std::string& name) -> std::size_t
    {
        return static_cast<std::size_t>(name.front() - 'a');
    }

    auto later(duration delay, std::function<void()> then) -> void
    {
        events_.emplace(now() + delay, std::move(then));
    }

    auto start(std::size_t index) -> void
    {
        auto& self = *proxies_[index];
        self.region = regions.at(index % 3);
        auto options = member_choice_options{};
        options.address = "p" + std::to_string(index);
        options.region = self.region;
        options.seeds = [] {
            return std::vector<std::string>{name(0), name(1), name(2)};
        };
        auto hooks = member_choice_hooks{};
        hooks.connect = [this, &self](const std::string& member) {
            self.wanted.insert(member);
            later(connect_time, [this, &self, member] {
                if (network_.is_running(number(member)) &&
                    self.wanted.contains(member)) {
                    self.links.insert(number(member));
                    self.choice->on_link_up(member);
                }
            });
        };
        hooks.forget = [&self](const std::string& member) {
            self.wanted.erase(member);
            self.links.erase(number(member));
        };
        hooks.request = [this, &self](const std::string& member) {
            request(self, number(member));
        };
        hooks.log_left = [](const std::string&, std::string_view) {
        };
        self.choice = std::make_unique<member_choice>(std::move(options),
                                                      std::move(hooks));
        self.choice->start(now());
    }

    auto request(proxy& from, std::size_t to) -> void
    {
        later(one_way, [this, &from, to, asked = now()] {
            if (!network_.is_running(to)) {
                return;
            }
            // The age is counted back from when the request was sent.
            auto covered = freshness_.at(to).covered();
            if (covered) {
                covered = asked - (now() - *covered);
            }
            const auto version = network_.applied(to);
            later(one_way, [this, &from, to, covered, version] {
                if (!from.links.contains(to)) {
                    return;
                }
                from.held = std::max(from.held, version);
                auto members = std::vector<member_location>();
                for (auto each = std::size_t{0}; each < regions.size(); ++each)
                {
                    members.push_back({name(each), regions.at(each)});
                }
                from.choice->set_members(std::move(members));
                from.choice->on_answer(now(), name(to), covered);
            });
        });
    }

    /// As a control process: the leader knows that its state is the newest,
    /// the others ask it.
    auto refresh(std::size_t member) -> void
    {
        if (!network_.is_running(member)) {
            freshness_.at(member) = state_freshness();
            return;
        }
        auto& freshness = freshness_.at(member);
        freshness.on_applied(log_index(network_.applied(member)));
        if (network_.has_lease(member)) {
            freshness.on_leading(now());
        }
        const auto leader = network_.member(member).leader();
        if (!leader || network_.member(member).is_leader()) {
            return;
        }
        const auto to = number(leader->id.value());
        if (const auto asked = freshness.ask(now())) {
            later(one_way, [this, member, to, question = *asked] {
                answer_freshness(member, to, question);
            });
        }
    }

    auto answer_freshness(std::size_t from, std::size_t leader,
                          std::uint64_t question) -> void
    {
        if (!has_path(from, leader) || !network_.is_running(leader) ||
            !network_.has_lease(leader))
        {
            return;
        }
        const auto committed = log_index(network_.applied(leader));
        later(one_way, [this, from, leader, question, committed] {
            if (has_path(leader, from)) {
                freshness_.at(from).on_answer(question, committed);
            }
        });
    }

    auto has_path(std::size_t from, std::size_t to) const -> bool
    {
        return !muted_.contains(from) && parts_.at(from) == parts_.at(to);
    }

    auto is_lost(const consensus_message& message) -> bool
    {
        const auto from = number(message.from.id.value());
        const auto has_entries =
            std::holds_alternative<append_request>(message.body) ||
            std::holds_alternative<snapshot_chunk>(message.body);
        return muted_.contains(from) ||
               (has_entries &&
                starved_.contains(number(message.to.id.value())));
    }

    /// Lets the leader add a change, and records what is acknowledged.
    auto propose() -> void
    {
        const auto leader = network_.leader();
        if (leader == network_.size() || !network_.has_lease(leader)) {
            return;
        }
        if (now() >= next_change_) {
            next_change_ = now() + change_interval;
            static_cast<void>(
                network_.propose(leader, "c" + std::to_string(++changes_)));
        }
        const auto applied = network_.applied(leader);
        if (applied > acknowledged_) {
            acknowledged_ = applied;
            acknowledged_at_[applied] = now();
        }
    }

    /// Members send what is new to the proxies that are linked.
    auto push() -> void
    {
        for (auto member = std::size_t{0}; member < regions.size(); ++member) {
            const auto version = network_.applied(member);
            if (version <= pushed_.at(member)) {
                continue;
            }
            pushed_.at(member) = version;
            for (const auto& each : proxies_) {
                if (each->links.contains(member)) {
                    later(one_way, [&to = *each, member, version] {
                        if (to.links.contains(member)) {
                            to.held = std::max(to.held, version);
                        }
                    });
                }
            }
        }
    }

    auto note_lag(const proxy& each) -> void
    {
        const auto oldest = acknowledged_at_.upper_bound(each.held);
        if (oldest != acknowledged_at_.end()) {
            longest_lag_ = std::max(longest_lag_, now() - oldest->second);
        }
    }

    consensus_network network_;
    std::vector<std::unique_ptr<proxy>> proxies_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::size_t> parts_ = std::vector<std::size_t>(5, 0);
    std::set<std::size_t> muted_;
    std::set<std::size_t> starved_;
    std::array<state_freshness, 5> freshness_;
    std::array<std::uint64_t, 5> pushed_{};
    std::map<std::uint64_t, time_point> acknowledged_at_;
    std::uint64_t acknowledged_ = 0;
    std::size_t changes_ = 0;
    time_point next_change_;
    duration longest_lag_ = duration::zero();
};

} // namespace

// Proxies denied databases that had been added four seconds before.
TEST_CASE("view freshness: each proxy takes each change in time while any two "
          "members are cut off")
{
    for (auto first = std::size_t{0}; first < regions.size(); ++first) {
        for (auto second = first + 1; second < regions.size(); ++second) {
            auto group = followed_group(first * 5 + second);
            group.run(std::chrono::seconds(4));
            group.forget_lag();
            group.cut({first, second});
            group.run(std::chrono::seconds(16));
            CAPTURE(first);
            CAPTURE(second);
            CHECK(group.longest_lag() < effect_limit);
        }
    }
}

// A member that gets heartbeats but no entries passed its old state on as the
// newest.
TEST_CASE("view freshness: a member that hears the leader but is not heard "
          "holds no proxy back")
{
    for (auto muted = std::size_t{0}; muted < regions.size(); ++muted) {
        auto group = followed_group(muted + 1);
        group.run(std::chrono::seconds(4));
        group.forget_lag();
        group.mute(muted);
        group.run(std::chrono::seconds(14));
        CAPTURE(muted);
        CHECK(group.longest_lag() < effect_limit);
    }
}

// A member may be told how much is committed before it has that much.
TEST_CASE("view freshness: a member that lacks entries holds no proxy back")
{
    for (auto starved = std::size_t{0}; starved < regions.size(); ++starved) {
        auto group = followed_group(starved + 1);
        group.run(std::chrono::seconds(4));
        group.forget_lag();
        group.starve(starved);
        group.run(std::chrono::seconds(14));
        CAPTURE(starved);
        CHECK(group.longest_lag() < effect_limit);
    }
}

// A proxy whose members ended lost time with those that do not answer.
TEST_CASE("view freshness: each proxy takes each change in time while any two "
          "members are down")
{
    for (auto first = std::size_t{0}; first < regions.size(); ++first) {
        for (auto second = first + 1; second < regions.size(); ++second) {
            auto group = followed_group(first * 5 + second + 100);
            group.run(std::chrono::seconds(4));
            group.forget_lag();
            group.crash(first);
            group.run(std::chrono::seconds(3));
            group.crash(second);
            group.run(std::chrono::seconds(9));
            CAPTURE(first);
            CAPTURE(second);
            CHECK(group.longest_lag() < effect_limit);
        }
    }
}

// A member that had not caught up yet passed its state on as the newest.
TEST_CASE("view freshness: members that return with old state or none hold no "
          "proxy back")
{
    for (auto first = std::size_t{0}; first < regions.size(); ++first) {
        const auto second = (first + 2) % regions.size();
        auto group = followed_group(first + 1);
        group.run(std::chrono::seconds(4));
        group.forget_lag();
        group.crash(first);
        group.crash(second);
        group.run(std::chrono::seconds(12));
        group.restart(first);
        group.wipe(second);
        group.run(std::chrono::seconds(14));
        CAPTURE(first);
        CHECK(group.longest_lag() < effect_limit);
    }
}

// Proxies that stay with members of other regions cost traffic between them.
TEST_CASE("view freshness: proxies return to their region once its members are "
          "in touch again")
{
    auto group = followed_group(1);
    group.run(std::chrono::seconds(12));
    CHECK(group.proxies_elsewhere() == 0);
    group.cut({0, 3});
    group.run(std::chrono::seconds(4));
    CHECK(group.proxies_elsewhere() > 0);
    group.cut({});
    group.run(std::chrono::seconds(12));
    CHECK(group.proxies_elsewhere() == 0);
}

} // namespace rhubarbrun_tests
