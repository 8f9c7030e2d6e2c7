#include <rhubarbrun/coordination/storage_gate.hpp>

#include "consensus_network.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace rhubarbrun_tests;
using namespace std::chrono_literals;

namespace {

/// Time in which a group of healthy members replaces a leader.
constexpr auto replacement_time = 5s;

auto make_batch(std::uint64_t number) -> consensus_ready
{
    auto ready = consensus_ready{};
    ready.number = number;
    ready.state = hard_state{};
    ready.messages.emplace_back();
    return ready;
}

} // namespace

TEST_CASE("a batch without room is kept, tried again, and loses its messages")
{
    auto is_full = true;
    auto saved = std::vector<std::uint64_t>();
    auto gate = storage_gate([&](const consensus_ready& ready) {
        if (!is_full) {
            saved.push_back(ready.number);
        }
        return !is_full;
    });
    auto now = time_point(1h);
    auto batch = make_batch(1);
    CHECK_FALSE(gate.save(now, batch));
    CHECK(gate.is_blocked());
    CHECK(gate.blocked_since() == now);
    CHECK_FALSE(gate.retry(now));
    for (; now < time_point(1h) + 2s; now += 10ms) {
        CHECK_FALSE(gate.retry(now));
    }
    is_full = false;
    auto kept = std::optional<consensus_ready>();
    for (const auto end = now + 500ms; now < end && !kept; now += 10ms) {
        kept = gate.retry(now);
    }
    REQUIRE(kept);
    CHECK(kept->number == 1);
    CHECK(kept->messages.empty());
    CHECK_FALSE(gate.is_blocked());
    CHECK(gate.refusals() == 1);
    CHECK(saved == std::vector<std::uint64_t>{1});
}

TEST_CASE("a batch that needs no storage passes while the disk is full")
{
    auto gate = storage_gate([](const consensus_ready&) { return false; });
    auto batch = consensus_ready{};
    batch.number = 3;
    CHECK(gate.save(time_point(1h), batch));
    CHECK_FALSE(gate.is_blocked());
}

TEST_CASE("full disk: a leader is replaced, and takes part again by itself")
{
    auto network = consensus_network({.members = 5});
    REQUIRE(network.commit("before"));
    const auto full = network.leader();
    network.set_disk_full(full, true);
    // The entry makes it write.
    CHECK(network.propose(full, "not durable here"));
    CHECK(network.is_blocked(full));
    CHECK(network.run_until(
        [&] {
            const auto now = network.leader();
            return now != full && now != network.size() &&
                   network.has_lease(now) && !network.has_lease(full);
        },
        replacement_time));
    CHECK(network.is_running(full));
    const auto held = network.applied(full);
    const auto other = network.leader();
    CHECK(network.propose(other, "while full"));
    network.run(2s);
    CHECK(network.applied(full) == held);
    CHECK(network.applied(other) > held);
    network.set_disk_full(full, false);
    CHECK(network.run_until([&] { return network.is_whole(); },
                            replacement_time));
    CHECK(network.commit("after"));
    CHECK(network.violations().empty());
}

TEST_CASE("full disk: two members of five stop nothing, in any roles")
{
    for (auto first = std::size_t{0}; first < 5; ++first) {
        for (auto second = first + 1; second < 5; ++second) {
            auto network =
                consensus_network({.members = 5, .seed = 7 * first + second});
            REQUIRE(network.commit("before"));
            network.set_disk_full(first, true);
            network.set_disk_full(second, true);
            static_cast<void>(network.propose(network.leader(), "makes write"));
            network.run(replacement_time);
            const auto leader = network.leader();
            REQUIRE(leader != network.size());
            CHECK(network.propose(leader, "served"));
            network.run(1s);
            CHECK(network.applied(leader) > network.applied(first));
            // Lost right afterwards, they held nothing that counted.
            network.wipe(first);
            network.set_disk_full(first, false);
            network.set_disk_full(second, false);
            CHECK(network.run_until([&] { return network.is_whole(); }));
            CHECK(network.violations().empty());
        }
    }
}

TEST_CASE("full disk: a member that joins waits as a learner until it has room")
{
    auto network = consensus_network({.members = 3});
    REQUIRE(network.commit("before"));
    const auto joining = (network.leader() + 1) % 3;
    network.wipe(joining);
    network.set_disk_full(joining, true);
    network.run(4s);
    const auto leader = network.leader();
    REQUIRE(leader != network.size());
    const auto state = network.status(leader).configuration;
    CHECK_FALSE(state.is_voter(network.status(joining).self));
    network.set_disk_full(joining, false);
    CHECK(network.run_until([&] { return network.is_whole(); }));
    CHECK(network.violations().empty());
}

TEST_CASE("full disk: a snapshot without room is saved later, not skipped")
{
    auto network = consensus_network({.members = 3, .entries_kept = 2});
    for (auto index = 0; index < 20; ++index) {
        REQUIRE(network.commit(std::to_string(index)));
    }
    const auto full = (network.leader() + 1) % 3;
    network.set_disk_full(full, true);
    network.compact(full);
    CHECK(network.is_blocked(full));
    network.run(2s);
    network.set_disk_full(full, false);
    CHECK(network.run_until([&] { return network.is_whole(); }));
    network.restart(full);
    CHECK(network.run_until([&] { return network.is_whole(); }));
    CHECK(network.commit("after"));
    CHECK(network.violations().empty());
}
