#include <rhubarbrun/protocol/document_delta.hpp>
#include <rhubarbrun/protocol/text_compression.hpp>
#include <rhubarbrun/protocol/view_messages.hpp>
#include <rhubarbrun/transport/configuration_node.hpp>
#include <rhubarbrun/transport/json.hpp>
#include <rhubarbrun/transport/view_client.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include "loopback_group.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::test {

TEST_CASE("configuration node: a new member joins although its only seed is a "
          "follower")
{
    auto group = loopback_group();
    auto members = std::vector<configuration_node*>();
    for (const auto& address : founders) {
        members.push_back(&group.start(address, founders, true));
    }
    REQUIRE(group.run_until([&] {
        return std::any_of(members.begin(), members.end(),
                           [](auto* each) { return each->is_leader(); });
    }));
    const auto follower =
        std::find_if(members.begin(), members.end(),
                     [](auto* each) { return !each->is_leader(); }) -
        members.begin();
    auto& joined = group.start(
        "127.0.0.4", {founders.at(static_cast<std::size_t>(follower))}, false);
    CHECK(group.run_until([&] { return loopback_group::voters(joined) == 4; }));
}

// It dialed higher addresses only, and the members with lower ones had
// forgotten it.
TEST_CASE("configuration node: a member that was removed while it was down "
          "comes back")
{
    auto group = loopback_group();
    group.removal_timeout = std::chrono::milliseconds(1500);
    const auto members = start_four(group);
    group.end(*members.back());
    REQUIRE(group.run_until(
        [&] { return loopback_group::voters(*members.front()) == 3; }));
    auto& returned = group.start("127.0.0.4", founders, false);
    CHECK(group.run_until(
        [&] { return loopback_group::voters(*members.front()) == 4; }));
    CHECK(
        group.run_until([&] { return loopback_group::voters(returned) == 4; }));
}

// The group kept the vote of a member that had ended for good as planned.
TEST_CASE("configuration node: a member leaves before it ends, unless the "
          "group needs its vote")
{
    auto group = loopback_group();
    const auto members = start_four(group);
    auto& leaving = *members.at(2);
    leaving.leave();
    CHECK(group.run_until([&] { return !leaving.is_leaving(); }));
    leaving.stop();
    auto& needed = *members.back();
    CHECK(group.run_until([&] { return loopback_group::voters(needed) == 3; }));
    needed.leave();
    CHECK(group.run_until([&] { return !needed.is_leaving(); }));
    CHECK(loopback_group::voters(needed) == 3);
}

TEST_CASE("configuration node: a configuration reaches a proxy, is read back "
          "and stays the newest")
{
    auto group = loopback_group();
    auto members = std::vector<configuration_node*>();
    for (const auto& address : founders) {
        members.push_back(&group.start(address, founders, true));
    }
    auto update = view_update{};
    auto proxy = view_client(group.context,
                             {"127.0.0.9",
                              "region",
                              group.port(),
                              [] { return founders; },
                              link_key(),
                              {}},
                             {[&](const std::string&, view_update received) {
                                  if (received.configuration_version >=
                                      update.configuration_version) {
                                      update = std::move(received);
                                  }
                              },
                              [] { return std::vector<sighting_record>(); },
                              [] {
                                  return std::uint64_t{0};
                              }});
    proxy.start();
    configuration_node* leader = nullptr;
    REQUIRE(group.run_until([&] {
        for (auto* each : members) {
            leader = each->has_lease() ? each : leader;
        }
        return leader != nullptr;
    }));
    auto outcomes = std::vector<submit_outcome>();
    const auto submit = [&](std::uint64_t version, const std::string& text) {
        leader->submit(version, text, [&](submit_outcome outcome) {
            outcomes.push_back(outcome);
        });
    };
    submit(7, "seven");
    submit(7, "other content");
    submit(5, "older");
    REQUIRE(group.run_until([&] { return outcomes.size() == 3; }));
    CHECK(outcomes == std::vector<submit_outcome>(3, submit_outcome::accepted));
    CHECK(group.run_until([&] { return update.configuration_version == 7; }));
    auto newest = std::optional<std::string>();
    leader->read(
        [&](const std::optional<std::string>& text) { newest = text; });
    CHECK(group.run_until([&] { return newest.has_value(); }));
    CHECK(*newest == "seven");
    CHECK(group.run_until([&] { return proxy.is_fresh(steady_now()); }));
    for (auto* each : members) {
        each->stop();
    }
    INFO("nobody can tell whether the view is still the newest");
    CHECK(group.run_until([&] { return !proxy.is_fresh(steady_now()); }));
    proxy.stop();
}

TEST_CASE("configuration node: a proxy learns a primary's position, no younger "
          "than it is")
{
    auto group = loopback_group();
    auto members = std::vector<configuration_node*>();
    for (const auto& address : founders) {
        members.push_back(&group.start(address, founders, true));
        members.back()->supervise(group_id("g"), 0);
    }
    auto primary = server_record{};
    primary.id = target_id("p");
    primary.group = group_id("g");
    primary.address = "127.0.0.8:5432";
    primary.role = server_role::primary;
    primary.sequence = 1;
    auto learned = std::optional<log_position>();
    auto proxy = view_client(group.context,
                             {"127.0.0.9",
                              "region",
                              group.port(),
                              [] { return founders; },
                              link_key(),
                              {}},
                             {[](const std::string&, const view_update&) {},
                              [] { return std::vector<sighting_record>(); },
                              [] { return std::uint64_t{0}; },
                              [&](const group_id& about, time_point asked_at,
                                  const log_position& position) {
                                  CHECK(about == group_id("g"));
                                  CHECK(asked_at < steady_now());
                                  learned = position;
                              }});
    proxy.start();
    REQUIRE(group.run_until([&] {
        ++primary.sequence;
        members.front()->announce(primary);
        return learned.has_value();
    }));
    CHECK(*learned == log_position{term(1), log_offset(100)});
    proxy.stop();
}

// An entry of another writer that cannot name a server displaced the others.
TEST_CASE("configuration node: an odd entry among those of the servers changes "
          "nothing")
{
    auto group = loopback_group();
    auto& member = group.start("127.0.0.1", {"127.0.0.1"}, true);
    auto primary = server_record{};
    primary.id = target_id("i-1");
    primary.group = group_id("g");
    primary.address = "127.0.0.9:5432";
    primary.role = server_role::primary;
    primary.started_at = 1;
    primary.sequence = 1;
    CHECK(member.announce(primary));
    for (const auto* const address :
         {"127.0.0.9:65536", "127.0.0.9:0", "127.0.0.9:-1", "127.0.0.9",
          "127.0.0.256:5432", "127.0.0.9:5432\r\nX", "", "host:5432"})
    {
        auto odd = primary;
        odd.address = address;
        ++odd.sequence;
        CHECK_FALSE(member.announce(odd));
        odd.id = target_id("i-2");
        CHECK_FALSE(member.announce(odd));
    }
    auto odd = primary;
    odd.id = target_id("i 2");
    CHECK_FALSE(member.announce(odd));
    const auto state = parse_json(member.dump());
    REQUIRE(state);
    const auto& known = (*state)["servers"].elements();
    REQUIRE(known.size() == 1);
    CHECK(known[0]["id"].text() == "i-1");
    CHECK(known[0]["group"].text() == "g");
    CHECK(known[0]["primary"].truth());
    CHECK(known[0]["state"].number() == 0);
    member.supervise(group_id("g"), 0);
    odd = primary;
    odd.group = group_id("unknown");
    odd.started_at = 2;
    CHECK_FALSE(member.announce(odd));
    odd.id = target_id("i-2");
    member.announce(odd);
    INFO("the record of i-1 is not ended");
    ++primary.sequence;
    CHECK(member.announce(primary));
}

TEST_CASE("configuration node: a member whose disk is full goes on running, "
          "acknowledges nothing, and takes part again without a restart")
{
    auto group = loopback_group();
    auto members = std::vector<configuration_node*>();
    for (const auto& address : founders) {
        members.push_back(&group.start(address, founders, true));
    }
    const auto leader_but = [&](const configuration_node* other) {
        configuration_node* found = nullptr;
        group.run_until([&] {
            for (auto* each : members) {
                found = each != other && each->has_lease() ? each : found;
            }
            return found != nullptr &&
                   loopback_group::voters(*found) == founders.size();
        });
        return found;
    };
    const auto submit = [&](configuration_node& to, std::uint64_t version) {
        auto outcome = std::make_shared<std::optional<submit_outcome>>();
        to.submit(version, "text " + std::to_string(version),
                  [outcome](submit_outcome known) { *outcome = known; });
        group.run_until([&] { return outcome->has_value(); });
        return *outcome;
    };
    auto* const full = leader_but(nullptr);
    REQUIRE(full != nullptr);
    REQUIRE(submit(*full, 1) == submit_outcome::accepted);
    const auto index =
        std::find(members.begin(), members.end(), full) - members.begin();
    group.full_disks.insert(founders.at(static_cast<std::size_t>(index)));

    CHECK(submit(*full, 2) == submit_outcome::unknown);
    CHECK(full->storage().is_blocked());
    CHECK_FALSE(full->is_leader());
    CHECK_FALSE(full->has_lease());
    CHECK_FALSE(full->next_fencing_token());
    auto* const other = leader_but(full);
    REQUIRE(other != nullptr);
    CHECK(submit(*other, 3) == submit_outcome::accepted);
    CHECK(submit(*full, 4) == submit_outcome::not_leader);
    CHECK_FALSE(full->leader());
    CHECK(full->configuration_version() < 3);

    group.full_disks.clear();
    CHECK(group.run_until([&] { return full->configuration_version() == 3; }));
    CHECK_FALSE(full->storage().is_blocked());
    CHECK(full->storage().refusals() >= 1);
}

// An address that is none came out of a handler as an exception and ended the
// process.
TEST_CASE("view client: names that are no addresses are ignored")
{
    auto group = loopback_group();
    auto links = std::unique_ptr<peer_links>();
    auto answers = 0;
    auto records = server_announcements{};
    records.records.resize(2);
    records.records[0].id = target_id("i-1");
    records.records[0].address = "127.0.0.9:5432";
    records.records[1].id = target_id("i-2");
    records.records[1].address = "127.0.0.9:65536";
    auto learned = std::set<target_id>();
    links = std::make_unique<peer_links>(
        group.context, link_key(),
        peer_identity{{peer_role::control, "127.0.0.1"}, incarnation(1)},
        peer_link_hooks{
            [](const link_info&) {},
            [&](const link_info& link, message_type type,
                const std::string& payload) {
                const auto request = decode<view_request>(payload);
                if (type != message_type::view_request || !request) {
                    return;
                }
                ++answers;
                auto update = view_update{};
                update.answers = request->number;
                update.age_ms = 5000;
                update.control_members = {{"nowhere", "region"},
                                          {"", "region"},
                                          {"127.0.0.1", "region"}};
                links->send(link.id, message_type::view_update, encode(update));
                links->send(link.id, message_type::server_changes, "damaged");
                links->send(link.id, message_type::configuration_delta, "x");
                auto changes = server_changes{};
                changes.packed = compress_text(encode(records));
                links->send(link.id, message_type::server_changes,
                            encode(changes));
            },
            [](const link_info&, std::string_view) {
            }});
    links->listen({asio::ip::make_address("127.0.0.1"), group.port()});
    // The first search finds nothing else.
    auto searches = 0;
    const auto seeds = [&] {
        return std::vector<std::string>{++searches == 1 ? "not an address"
                                                        : "127.0.0.1"};
    };
    auto proxy = view_client(
        group.context,
        {"127.0.0.9", "region", group.port(), seeds, link_key(), {}},
        {[&](const std::string&, const view_update& update) {
             for (const auto& each : update.servers) {
                 learned.insert(each.id);
             }
         },
         [] { return std::vector<sighting_record>(); },
         [] {
             return std::uint64_t{0};
         }});
    proxy.start();
    CHECK(group.run_until([&] { return answers > 2 && !learned.empty(); }));
    CHECK(learned == std::set{target_id("i-1")});
    proxy.stop();
    links->stop();
}

// The age that comes with a delta that cannot be used must not make the view
// fresh: the configuration that goes with it is missing.
TEST_CASE(
    "view client: a delta that does not fit leaves the view old until the "
    "whole configuration comes")
{
    auto group = loopback_group();
    auto links = std::unique_ptr<peer_links>();
    auto is_whole_sent = false;
    auto wanted = std::vector<std::uint64_t>();
    links = std::make_unique<peer_links>(
        group.context, link_key(),
        peer_identity{{peer_role::control, "127.0.0.1"}, incarnation(1)},
        peer_link_hooks{
            [](const link_info&) {},
            [&](const link_info& link, message_type type,
                const std::string& payload) {
                const auto request = decode<view_request>(payload);
                if (type != message_type::view_request || !request) {
                    return;
                }
                wanted.push_back(request->configuration_version);
                auto update = view_update{};
                update.answers = request->number;
                update.age_ms = 1;
                update.configuration_version = 9;
                update.control_members = {{"127.0.0.1", "region"}};
                if (is_whole_sent) {
                    update.configuration = compress_text("nine");
                } else {
                    links->send(link.id, message_type::configuration_delta,
                                encode(configuration_delta{
                                    7, 9, make_delta("seven", "nine")}));
                }
                links->send(link.id, message_type::view_update, encode(update));
            },
            [](const link_info&, std::string_view) {
            }});
    links->listen({asio::ip::make_address("127.0.0.1"), group.port()});
    auto held = std::uint64_t{7};
    auto proxy =
        view_client(group.context,
                    {"127.0.0.9",
                     "region",
                     group.port(),
                     [] { return std::vector<std::string>{"127.0.0.1"}; },
                     link_key(),
                     {}},
                    {[](const std::string&, const view_update&) {},
                     [] { return std::vector<sighting_record>(); },
                     [&] { return held; },
                     {},
                     {},
                     [&](const std::string&, const std::string& text) {
                         held = text == "nine" ? 9 : held;
                     }});
    proxy.start();
    REQUIRE(group.run_until([&] { return wanted.size() > 2; }));
    CHECK_FALSE(proxy.is_fresh(steady_now()));
    CHECK(wanted.front() == 7);
    CHECK(wanted.back() == 0);
    is_whole_sent = true;
    CHECK(group.run_until([&] { return held == 9; }));
    CHECK(group.run_until([&] { return proxy.is_fresh(steady_now()); }));
    proxy.stop();
    links->stop();
}

} // namespace rhubarbrun::test
