#include <rhubarbrun/coordination/primary_supervisor.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

/// A leading supervisor of one group with a primary "p" and two replicas.
class supervised_servers
{
public:
    supervised_servers() : supervisor(make_hooks())
    {
        supervisor.supervise(group_id("g"), 0);
        supervisor.start_leading(now);
        announce("p", server_role::primary);
        announce("r1", server_role::replica);
        announce("r2", server_role::replica);
    }

    auto announce(const std::string& name, server_role role,
                  server_availability state = server_availability::ready)
        -> void
    {
        auto record = server_record{};
        record.id = target_id(name);
        record.group = group_id("g");
        record.address = name;
        record.role = role;
        record.state = state;
        record.sequence = ++sequence_;
        directory.merge(now, record);
    }

    /// Advances time; the servers in `alive` announce themselves.
    auto pass(duration length, const std::vector<std::string>& alive = {})
        -> void
    {
        for (const auto end = now + length; now < end;) {
            now += milliseconds(50);
            for (const auto& name : alive) {
                announce(name, name == "p" ? server_role::primary
                                           : server_role::replica);
            }
            supervisor.tick(now, directory);
        }
    }

    /// Replies to all open calls to the server.
    auto tell(const std::string& server, std::uint64_t received,
              server_role role = server_role::replica,
              std::uint64_t paused_by = 0) -> void
    {
        auto status = server_log_status{};
        status.paused_by = term(paused_by);
        status.role = role;
        status.newest = term(1);
        status.received = {term(1), log_offset(received)};
        for (const auto number : std::exchange(open_[server], {})) {
            supervisor.on_status(now, number, status);
        }
    }

    /// Replies to the oldest open call to the server.
    auto tell_oldest(const std::string& server, std::uint64_t received) -> void
    {
        auto& open = open_.at(server);
        auto later = std::vector(open.begin() + 1, open.end());
        open.resize(1);
        tell(server, received);
        open_[server] = std::move(later);
    }

    /// Replies to the newest open call to the server.
    auto tell_last(const std::string& server, std::uint64_t received) -> void
    {
        auto earlier = open_.at(server);
        auto last = std::vector{earlier.back()};
        earlier.pop_back();
        open_[server] = std::move(last);
        tell(server, received);
        open_[server] = std::move(earlier);
    }

    auto sight(const std::string& proxy, bool is_answering) -> void
    {
        auto sighting = server_sighting{};
        sighting.server = target_id("p");
        if (is_answering) {
            sighting.answered_ago = milliseconds(100);
        } else {
            sighting.failing_for = milliseconds(600);
        }
        supervisor.on_sightings(now, proxy, {sighting});
    }

    time_point now = time_point(std::chrono::seconds(100));
    server_directory directory;
    std::vector<std::string> asked;
    std::vector<std::string> stepped_down;
    std::vector<std::string> paused;
    std::vector<std::string> resumed;
    std::vector<std::string> promoted;
    primary_supervisor supervisor;

private:
    auto make_hooks() -> primary_supervisor_hooks
    {
        auto hooks = primary_supervisor_hooks{};
        hooks.call_server = [this](const server_call& call) {
            const auto& server = call.server.id.value();
            open_[server].push_back(call.number);
            if (call.order == server_order::report) {
                asked.push_back(server);
            } else if (call.order == server_order::step_down) {
                stepped_down.push_back(server);
            } else if (call.order == server_order::pause) {
                paused.push_back(server);
            } else {
                resumed.push_back(server);
            }
        };
        hooks.promote = [this](const group_id&, const target_id& server) {
            promoted.push_back(server.value());
        };
        hooks.log = [](std::string_view, const group_id&, const target_id&,
                       const std::string&) {
        };
        return hooks;
    }

    std::uint64_t sequence_ = 0;
    std::map<std::string, std::vector<server_call_number>> open_;
};

const auto all = std::vector<std::string>{"p", "r1", "r2"};
const auto replicas = std::vector<std::string>{"r1", "r2"};

} // namespace

TEST_CASE("primary supervisor: a healthy primary is not replaced")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(20), all);
    CHECK(servers.asked.empty());
}

TEST_CASE("primary supervisor: a silent primary is replaced by the replica "
          "that received most")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(2), all);
    servers.pass(std::chrono::seconds(4), replicas);
    REQUIRE(servers.asked.size() >= 3);
    servers.pass(milliseconds(650), replicas);
    servers.asked.clear();
    servers.promoted.clear();
    servers.pass(std::chrono::seconds(1), replicas);
    servers.tell("r1", 10);
    servers.tell("r2", 20);
    servers.pass(std::chrono::seconds(1), replicas);
    CHECK(servers.promoted == std::vector<std::string>{"r2"});
}

TEST_CASE("primary supervisor: a primary that proxies reach stays, even if its "
          "announcements are lost")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(2), all);
    for (auto round = 0; round < 20; ++round) {
        servers.sight("a", true);
        servers.sight("b", false);
        servers.pass(milliseconds(400), replicas);
    }
    CHECK(servers.asked.empty());
}

TEST_CASE("primary supervisor: a primary that replies to the survey is alive")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(2), all);
    for (auto round = 0; round < 5; ++round) {
        servers.sight("a", false);
        servers.pass(milliseconds(200), all);
        servers.tell("r1", 10);
        servers.tell("r2", 10);
        servers.tell("p", 10, server_role::primary);
    }
    CHECK(!servers.asked.empty());
    CHECK(servers.promoted.empty());
}

TEST_CASE(
    "primary supervisor: a primary that shuts down hands over its whole log")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(2), all);
    servers.announce("p", server_role::primary, server_availability::draining);
    servers.pass(milliseconds(100));
    REQUIRE(servers.asked.size() == 3);
    servers.tell("p", 30, server_role::primary);
    servers.tell("r1", 10);
    servers.tell("r2", 30);
    servers.pass(milliseconds(100));
    CHECK(servers.stepped_down == std::vector<std::string>{"p"});
    CHECK(servers.promoted.empty());
    servers.tell("p", 31, server_role::replica);
    servers.pass(milliseconds(100));
    CHECK(servers.promoted.empty());
    servers.tell("r2", 31);
    servers.pass(milliseconds(100));
    CHECK(servers.promoted == std::vector<std::string>{"r2"});
}

TEST_CASE("primary supervisor: with synchronous replicas, a silent one may be "
          "the only holder of a commit")
{
    auto servers = supervised_servers();
    servers.supervisor.supervise(group_id("g"), 1);
    servers.pass(std::chrono::seconds(2), all);
    for (auto round = 0; round < 6; ++round) {
        servers.pass(std::chrono::seconds(1), replicas);
        servers.tell("r1", 10);
    }
    CHECK(servers.promoted.empty());
}

// An order to receive again could be carried out after one to pause.
TEST_CASE(
    "primary supervisor: nobody is paused while an order to receive again "
    "is open")
{
    auto servers = supervised_servers();
    servers.supervisor.supervise(group_id("g"), 1);
    servers.pass(std::chrono::seconds(2), all);
    servers.tell("p", 10, server_role::primary);
    servers.tell("r1", 10, server_role::replica, 2);
    servers.pass(milliseconds(100), all);
    servers.tell("p", 10, server_role::primary);
    servers.tell("r1", 10, server_role::replica, 2);
    servers.tell("r2", 10);
    servers.pass(milliseconds(100), all);
    REQUIRE(servers.promoted == std::vector<std::string>{"p"});
    servers.supervisor.on_promotion(servers.now, group_id("g"),
                                    promotion_outcome::accepted);
    servers.pass(milliseconds(1200), all);
    REQUIRE(servers.resumed == std::vector<std::string>{"r1"});
    servers.pass(milliseconds(2800), replicas);
    servers.tell_last("r1", 10);
    servers.tell("r2", 10);
    servers.pass(milliseconds(800), replicas);
    CHECK(servers.paused.empty());
    for (auto round = 0; round < 4; ++round) {
        servers.tell("r1", 10);
        servers.tell("r2", 10);
        servers.pass(milliseconds(800), replicas);
    }
    CHECK(!servers.paused.empty());
}

// A server that had become primary meanwhile was counted as a paused replica.
TEST_CASE("primary supervisor: a server that leads ends a change")
{
    auto servers = supervised_servers();
    servers.supervisor.supervise(group_id("g"), 1);
    servers.pass(std::chrono::seconds(2), all);
    servers.pass(milliseconds(2700), replicas);
    servers.tell("r1", 10);
    servers.tell("r2", 10);
    servers.pass(milliseconds(650), replicas);
    REQUIRE(servers.paused == replicas);
    SUBCASE("by its reply")
    {
        servers.tell("r1", 10, server_role::primary);
    }
    SUBCASE("by its announcement")
    {
        servers.announce("r1", server_role::primary);
        servers.pass(milliseconds(50));
        servers.tell("r1", 10);
    }
    servers.tell("r2", 10);
    servers.pass(milliseconds(200));
    CHECK(servers.promoted.empty());
}

// A reply to an earlier survey counted for a later one.
TEST_CASE("primary supervisor: a late reply says nothing about a later survey")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(2), all);
    servers.pass(milliseconds(2700), replicas);
    REQUIRE(!servers.asked.empty());
    servers.pass(milliseconds(1100), replicas);
    servers.tell_oldest("r1", 90);
    servers.tell("r2", 20);
    servers.pass(std::chrono::seconds(1), replicas);
    CHECK(servers.promoted == std::vector<std::string>{"r2"});
}

// Of two equal replicas the one that an earlier call without an answer named is
// promoted, so that its late execution changes nothing.
TEST_CASE("primary supervisor: the server of an open order is preferred")
{
    auto servers = supervised_servers();
    servers.pass(std::chrono::seconds(2), all);
    servers.pass(milliseconds(2700), replicas);
    servers.tell("r1", 10);
    servers.tell("r2", 20);
    servers.pass(milliseconds(650), replicas);
    REQUIRE(servers.promoted == std::vector<std::string>{"r2"});
    servers.supervisor.on_promotion(servers.now, group_id("g"),
                                    promotion_outcome::unknown);
    servers.pass(milliseconds(300), replicas);
    servers.tell("r1", 20);
    servers.tell("r2", 20);
    servers.pass(milliseconds(650), replicas);
    CHECK(servers.promoted == std::vector<std::string>{"r2", "r2"});
}

TEST_CASE("primary supervisor: announcements of unknown groups are ignored")
{
    auto servers = supervised_servers();
    auto foreign = server_record{};
    foreign.id = target_id("x");
    foreign.group = group_id("foreign");
    foreign.address = "x";
    foreign.sequence = 1;
    servers.directory.merge(servers.now, foreign);
    servers.pass(std::chrono::seconds(8), all);
    CHECK(servers.asked.empty());
}

TEST_CASE("primary supervisor: a member that does not lead orders nothing")
{
    auto servers = supervised_servers();
    servers.supervisor.stop_leading();
    servers.pass(std::chrono::seconds(10));
    CHECK(servers.asked.empty());
    CHECK(servers.promoted.empty());
}

} // namespace rhubarbrun_tests
