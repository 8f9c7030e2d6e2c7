#include <rhubarbrun/coordination/failover.hpp>

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(10s);
const auto first_peer = proxy_id("p2");
const auto second_peer = proxy_id("p3");
const auto third_peer = proxy_id("p4");
const auto replica_b = target_id("b");
const auto replica_c = target_id("c");

auto group(std::optional<std::uint64_t> acknowledged = std::nullopt)
    -> failover_group
{
    auto result = failover_group{};
    result.id = group_id("orders");
    result.current_term = term(4);
    result.primary = target_id("a");
    result.others = {replica_b, replica_c};
    if (acknowledged) {
        result.highest_acknowledged =
            timeline_position{4, log_offset(*acknowledged)};
    }
    return result;
}

auto replica_at(std::uint64_t position, std::uint32_t timeline = 4)
    -> server_status
{
    return {true, timeline, log_offset(position)};
}

auto confirm(failover& process) -> std::vector<failover_action>
{
    static_cast<void>(
        process.on_suspected(start, {first_peer, second_peer, third_peer}));
    static_cast<void>(process.on_confirmation(start, first_peer, false));
    return process.on_confirmation(start, second_peer, false);
}

template <class Action>
auto find(const std::vector<failover_action>& actions) -> const Action*
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("one confirmation of unreachability does not replace a primary")
{
    auto process = failover(group(), {});
    const auto asked =
        process.on_suspected(start, {first_peer, second_peer, third_peer});
    REQUIRE(find<ask_confirmation>(asked) != nullptr);
    CHECK(process.on_confirmation(start, first_peer, false).empty());
    CHECK(process.on_confirmation(start, first_peer, false).empty());
    CHECK(process.phase() == failover_phase::confirming);
}

TEST_CASE("an isolated owner is moved instead of the primary")
{
    auto process = failover(group(), {});
    static_cast<void>(process.on_suspected(start, {first_peer, second_peer}));
    const auto actions = process.on_confirmation(start, second_peer, true);
    const auto* release = find<release_primary>(actions);
    REQUIRE(release != nullptr);
    CHECK(release->reachable_from == second_peer);
    CHECK_FALSE(process.is_fenced());
}

TEST_CASE("silent peers are replaced by others and confirm nothing")
{
    auto process = failover(group(), {});
    static_cast<void>(process.on_suspected(
        start, {first_peer, second_peer, third_peer, proxy_id("p5")}));
    CHECK(process.tick(start + 299ms).empty());
    const auto again = process.tick(start + 300ms);
    const auto* asked = find<ask_confirmation>(again);
    REQUIRE(asked != nullptr);
    CHECK(asked->proxies.front() == proxy_id("p5"));
    CHECK(process.phase() == failover_phase::confirming);
}

TEST_CASE("without the last acknowledged position every replica must answer")
{
    auto process = failover(group(), {});
    REQUIRE(find<read_positions>(confirm(process)) != nullptr);
    CHECK(process.on_status(start, replica_b, replica_at(900)).empty());
    CHECK(find<propose_candidate>(process.tick(start + 10s)) == nullptr);
    CHECK(process.phase() == failover_phase::collecting);
    const auto actions =
        process.on_status(start + 11s, replica_c, replica_at(950));
    const auto* proposal = find<propose_candidate>(actions);
    REQUIRE(proposal != nullptr);
    CHECK(proposal->candidate == replica_c);
    CHECK(proposal->expected_term == term(4));
    CHECK(process.is_fenced());
}

TEST_CASE("one replica at the acknowledged position is enough after a timeout")
{
    auto process = failover(group(900), {});
    static_cast<void>(confirm(process));
    CHECK(process.on_status(start, replica_b, replica_at(900)).empty());
    const auto actions = process.tick(start + 100ms);
    const auto* proposal = find<propose_candidate>(actions);
    REQUIRE(proposal != nullptr);
    CHECK(proposal->candidate == replica_b);
}

TEST_CASE("a replica that lacks acknowledged writes is not chosen alone")
{
    auto process = failover(group(901), {});
    static_cast<void>(confirm(process));
    CHECK(process.on_status(start, replica_b, replica_at(900)).empty());
    CHECK(find<propose_candidate>(process.tick(start + 5s)) == nullptr);
}

TEST_CASE("a diverged replica with a longer log on an old timeline is rejected")
{
    auto process = failover(group(900), {});
    static_cast<void>(confirm(process));
    CHECK(process.on_status(start, replica_b, replica_at(5000, 3)).empty());
    CHECK_FALSE(process.candidate().has_value());
    const auto actions = process.on_status(start, replica_c, replica_at(900));
    const auto* proposal = find<propose_candidate>(actions);
    REQUIRE(proposal != nullptr);
    CHECK(proposal->candidate == replica_c);
}

TEST_CASE("a server that is not in recovery is never a candidate")
{
    auto process = failover(group(), {});
    static_cast<void>(confirm(process));
    const auto stray = server_status{false, 9, log_offset(9999)};
    CHECK(process.on_status(start, replica_b, stray).empty());
    const auto actions = process.on_status(start, replica_c, replica_at(10));
    const auto* proposal = find<propose_candidate>(actions);
    REQUIRE(proposal != nullptr);
    CHECK(proposal->candidate == replica_c);
}

TEST_CASE("a primary that answers before the proposal keeps its role")
{
    auto process = failover(group(), {});
    static_cast<void>(confirm(process));
    CHECK(find<resume_primary>(process.on_primary_answered()) != nullptr);
    CHECK(process.phase() == failover_phase::watching);
}

TEST_CASE("the fence holds after the proposal whatever the primary answers")
{
    auto process = failover(group(900), {});
    static_cast<void>(confirm(process));
    static_cast<void>(process.on_status(start, replica_b, replica_at(900)));
    static_cast<void>(process.on_status(start, replica_c, replica_at(900)));
    REQUIRE(process.is_fenced());
    CHECK(process.on_primary_answered().empty());
    CHECK(process.is_fenced());
    CHECK(find<propose_candidate>(process.tick(start + 250ms)) != nullptr);
    process.on_proposal_answered(false);
    CHECK(process.is_fenced());
}

TEST_CASE("a refused candidate does not leave the group without a primary")
{
    auto process = failover(group(900), {});
    static_cast<void>(confirm(process));
    static_cast<void>(process.on_status(start, replica_b, replica_at(900)));
    static_cast<void>(process.on_status(start, replica_c, replica_at(950)));
    process.on_proposal_answered(false);
    CHECK(process.is_fenced());
    CHECK(process.on_primary_answered().empty());
    const auto actions = process.tick(start + 300ms);
    REQUIRE(find<read_positions>(actions) != nullptr);
    static_cast<void>(
        process.on_status(start + 300ms, replica_b, replica_at(960)));
    const auto again = process.tick(start + 400ms);
    const auto* proposal = find<propose_candidate>(again);
    REQUIRE(proposal != nullptr);
    CHECK(proposal->candidate == replica_b);
}

TEST_CASE("an excluded server is passed over only if another one is safe")
{
    auto members = group();
    members.excluded = {replica_c};
    auto process = failover(members, {});
    static_cast<void>(confirm(process));
    static_cast<void>(process.on_status(start, replica_b, replica_at(900)));
    static_cast<void>(process.on_status(start, replica_c, replica_at(950)));
    // Only the excluded server may hold the last acknowledged writes.
    CHECK_FALSE(process.candidate().has_value());
    static_cast<void>(process.on_status(start, replica_b, replica_at(950)));
    CHECK(process.candidate() == replica_b);
}

TEST_CASE("a planned change of primary keeps every acknowledged write")
{
    auto members = group(900);
    members.excluded = {replica_c};
    auto process = failover(members, {});
    CHECK(find<read_positions>(process.start_planned(start)) != nullptr);
    CHECK(process.is_fenced());
    // The primary still answers, which must not cancel the change.
    CHECK(process.on_primary_answered().empty());
    static_cast<void>(process.on_status(start, replica_b, replica_at(899)));
    static_cast<void>(process.on_status(start, replica_c, replica_at(900)));
    CHECK(find<propose_candidate>(process.tick(start + 200ms)) == nullptr);
    const auto actions =
        process.on_status(start + 300ms, replica_b, replica_at(900));
    const auto* proposal = find<propose_candidate>(actions);
    REQUIRE(proposal != nullptr);
    CHECK(proposal->candidate == replica_b);
}

TEST_CASE("the only proxy replaces a failed primary without confirmation")
{
    auto process = failover(group(), {});
    const auto actions = process.on_suspected(start, {});
    CHECK(find<read_positions>(actions) != nullptr);
}

// Guards against a primary that is never replaced because a proxy that crashed
// with it is still in the directory and too few other proxies remain.
TEST_CASE("proxies that stay silent twice do not block the replacement")
{
    auto process = failover(group(), {});
    static_cast<void>(process.on_suspected(start, {first_peer, second_peer}));
    CHECK(process.on_confirmation(start, first_peer, false).empty());
    const auto again = process.tick(start + 300ms);
    CHECK(find<ask_confirmation>(again) != nullptr);
    CHECK(process.tick(start + 500ms).empty());
    const auto after = process.tick(start + 600ms);
    CHECK(find<read_positions>(after) != nullptr);
    CHECK(process.phase() == failover_phase::collecting);
}

TEST_CASE("a late answer that the primary is reachable keeps the primary")
{
    auto process = failover(group(), {});
    static_cast<void>(process.on_suspected(start, {first_peer, second_peer}));
    static_cast<void>(process.on_confirmation(start, first_peer, false));
    static_cast<void>(process.tick(start + 300ms));
    const auto saved =
        process.on_confirmation(start + 400ms, second_peer, true);
    CHECK(find<release_primary>(saved) != nullptr);
}

// Guards against the replacement of a healthy primary by an owner that reaches
// control and the replicas, but none of the other proxies.
TEST_CASE("an owner that no live proxy answers releases the primary")
{
    auto process = failover(group(900), {});
    process.set_live_others(2);
    static_cast<void>(process.on_suspected(start, {first_peer, second_peer}));
    for (auto at = 10ms; at < 1800ms; at += 10ms) {
        const auto actions = process.tick(start + at);
        CHECK(find<read_positions>(actions) == nullptr);
        CHECK(find<release_primary>(actions) == nullptr);
    }
    const auto actions = process.tick(start + 1800ms);
    const auto* release = find<release_primary>(actions);
    REQUIRE(release != nullptr);
    CHECK_FALSE(release->reachable_from.has_value());
    CHECK_FALSE(process.is_fenced());
}

TEST_CASE("crashed proxies of the directory are not waited for")
{
    auto process = failover(group(), {});
    process.set_live_others(0);
    const auto actions =
        process.on_suspected(start, {first_peer, second_peer, third_peer});
    CHECK(find<read_positions>(actions) != nullptr);
}

// Guards against a group without a primary after the loss of a zone that has
// the primary and all other proxies, whose leases are still live at first.
TEST_CASE("the failover needs no confirmation after the other leases expired")
{
    auto process = failover(group(), {});
    process.set_live_others(2);
    static_cast<void>(process.on_suspected(start, {first_peer, second_peer}));
    CHECK(find<read_positions>(process.tick(start + 1200ms)) == nullptr);
    process.set_live_others(0);
    CHECK(find<read_positions>(process.tick(start + 1210ms)) != nullptr);
}

TEST_CASE("the only other live proxy confirms alone")
{
    auto process = failover(group(), {});
    process.set_live_others(1);
    static_cast<void>(
        process.on_suspected(start, {first_peer, second_peer, third_peer}));
    const auto actions = process.on_confirmation(start, second_peer, false);
    CHECK(find<read_positions>(actions) != nullptr);
}

TEST_CASE("two confirmations are needed while two others live")
{
    auto process = failover(group(), {});
    process.set_live_others(2);
    static_cast<void>(process.on_suspected(start, {first_peer, second_peer}));
    CHECK(process.on_confirmation(start, first_peer, false).empty());
    // The other proxy fails as well, and its lease expires.
    process.set_live_others(1);
    CHECK(find<read_positions>(process.tick(start + 10ms)) != nullptr);
}

// Guards against confirmation rounds that exceed the limit on the time without
// writes if a zone is lost with the proxies that are asked first.
TEST_CASE("every one of 17 other proxies is asked within 600 ms")
{
    auto process = failover(group(), {});
    process.set_live_others(17);
    auto peers = std::vector<proxy_id>{};
    for (auto number = 0; number < 17; ++number) {
        peers.emplace_back("q" + std::to_string(number));
    }
    auto asked = std::set<proxy_id>{};
    const auto note = [&](const std::vector<failover_action>& actions) {
        if (const auto* ask = find<ask_confirmation>(actions)) {
            asked.insert(ask->proxies.begin(), ask->proxies.end());
        }
    };
    note(process.on_suspected(start, peers));
    CHECK(asked.size() == 3);
    for (auto at = 10ms; at <= 600ms; at += 10ms) {
        note(process.tick(start + at));
    }
    CHECK(asked.size() == 17);
}
