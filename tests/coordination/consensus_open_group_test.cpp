#include <rhubarbrun/coordination/consensus.hpp>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

/// Simulates members without a fixed list in virtual time. Disks and links do
/// not fail, and a stopped member receives no messages.
class open_group
{
public:
    auto start(const std::string& name,
               const std::vector<std::string>& contacts,
               bool is_founding = false) -> void
    {
        auto options = consensus_options{};
        if (is_founding) {
            for (const auto& each : contacts) {
                options.members.emplace_back(each);
            }
        }
        options.is_founding = is_founding;
        options.admits_unlisted_members = true;
        options.removal_timeout = std::chrono::seconds(2);
        options.min_voters = 3;
        auto& member = members_[name];
        member = std::make_unique<consensus_member>(
            member_identity{member_id(name), incarnation(++last_incarnation_)},
            options, [this] { return random_(); }, stored_log{}, now_);
        auto known = std::vector<member_id>();
        for (const auto& each : contacts) {
            known.emplace_back(each);
        }
        member->set_contacts(std::move(known));
    }

    auto stop(const std::string& name) -> void { members_.erase(name); }

    auto run(duration length) -> void
    {
        for (const auto end = now_ + length; now_ < end;) {
            now_ += milliseconds(10);
            for (auto& [name, member] : members_) {
                member->tick(now_);
            }
            for (auto round = 0; round < 4; ++round) {
                deliver();
            }
        }
    }

    /// Names of the voters as the leader knows them; empty without a leader.
    auto voters() -> std::set<std::string>
    {
        auto names = std::set<std::string>();
        for (auto& [name, member] : members_) {
            if (!member->is_leader()) {
                continue;
            }
            for (const auto& each : member->status(now_).configuration.members)
            {
                if (each.role == member_role::voter) {
                    names.insert(each.identity.id.value());
                }
            }
        }
        return names;
    }

    auto a_follower() -> std::string
    {
        for (auto& [name, member] : members_) {
            if (!member->is_leader()) {
                return name;
            }
        }
        return {};
    }

private:
    auto deliver() -> void
    {
        auto messages = std::vector<consensus_message>();
        for (auto& [name, member] : members_) {
            while (member->has_ready()) {
                auto ready = member->take_ready();
                member->on_persisted(ready.number);
                messages.insert(messages.end(), ready.messages.begin(),
                                ready.messages.end());
            }
        }
        for (auto& message : messages) {
            const auto to = members_.find(message.to.id.value());
            if (to != members_.end()) {
                to->second->step(now_, std::move(message));
            }
        }
    }

    std::map<std::string, std::unique_ptr<consensus_member>> members_;
    std::mt19937_64 random_{5};
    time_point now_ = time_point(std::chrono::seconds(1));
    std::uint64_t last_incarnation_ = 0;
};

const auto seeds = std::vector<std::string>{"a", "b", "c"};

auto founded_group() -> open_group
{
    auto group = open_group();
    for (const auto& name : seeds) {
        group.start(name, seeds, true);
    }
    group.run(std::chrono::seconds(4));
    return group;
}

} // namespace

TEST_CASE("open group: seeds found it and others join by themselves")
{
    auto group = founded_group();
    CHECK(group.voters() == std::set<std::string>{"a", "b", "c"});
    group.start("d", seeds);
    group.start("e", seeds);
    group.run(std::chrono::seconds(3));
    CHECK(group.voters() == std::set<std::string>{"a", "b", "c", "d", "e"});
}

TEST_CASE("open group: a silent voter is removed, but not below the number "
          "that is kept")
{
    auto group = founded_group();
    group.start("d", seeds);
    group.run(std::chrono::seconds(3));
    const auto first = group.a_follower();
    group.stop(first);
    group.run(std::chrono::seconds(6));
    CHECK(group.voters().size() == 3);
    CHECK(!group.voters().contains(first));
    const auto second = group.a_follower();
    group.stop(second);
    group.run(std::chrono::seconds(6));
    CHECK(group.voters().size() == 3);
    CHECK(group.voters().contains(second));
    // A replacement at another address joins before the member is removed.
    group.start("f", seeds);
    group.run(std::chrono::seconds(6));
    CHECK(group.voters().size() == 3);
    CHECK(group.voters().contains("f"));
    CHECK(!group.voters().contains(second));
}

TEST_CASE("open group: a wiped member comes back as another incarnation")
{
    auto group = founded_group();
    const auto wiped = group.a_follower();
    group.stop(wiped);
    group.start(wiped, seeds);
    group.run(std::chrono::seconds(5));
    CHECK(group.voters() == std::set<std::string>{"a", "b", "c"});
}

} // namespace rhubarbrun_tests
