#include <rhubarbrun/coordination/consensus.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

/// Member a of a group of three, as leader of its first term. The test supplies
/// its messages and time.
class hand_driven_leader
{
public:
    hand_driven_leader() : member_(self(), options(), random(), stored(), now)
    {
        now += 500ms;
        member_.tick(now);
        receive(vote_reply{true, true}, 2);
        receive(vote_reply{false, true}, 2);
        receive(append_reply{true, log_index(2), {}, {}}, 2);
        REQUIRE(member_.is_leader());
    }

    auto receive(consensus_message::body_type body, std::uint64_t current)
        -> void
    {
        member_.step(now, {other(), self(), election_term(current), body});
        drain();
    }

    auto drain() -> void
    {
        while (member_.has_ready()) {
            const auto ready = member_.take_ready();
            member_.on_persisted(ready.number);
            for (const auto& message : ready.messages) {
                if (const auto* beat = std::get_if<heartbeat>(&message.body)) {
                    round = beat->round;
                }
            }
            for (const auto& outcome : ready.reads) {
                confirmed += outcome.index ? 1 : 0;
            }
        }
    }

    auto member() -> consensus_member& { return member_; }

    time_point now{1h};
    /// Latest heartbeat round that was sent.
    std::uint64_t round = 0;
    int confirmed = 0;

private:
    static auto self() -> member_identity
    {
        return {member_id("a"), incarnation(1)};
    }
    static auto other() -> member_identity
    {
        return {member_id("b"), incarnation(2)};
    }
    static auto options() -> consensus_options
    {
        auto result = consensus_options{};
        result.members = {member_id("a"), member_id("b"), member_id("c")};
        return result;
    }
    static auto random() -> random_function
    {
        return [] {
            return std::uint64_t{0};
        };
    }
    static auto stored() -> stored_log
    {
        auto configuration = membership{};
        for (const auto& identity :
             {self(), other(), member_identity{member_id("c"), incarnation(3)}})
        {
            configuration = configuration.with({identity, member_role::voter});
        }
        auto result = stored_log{};
        result.state.current = election_term(1);
        result.entries = {{log_index(1), election_term(1),
                           entry_kind::configuration, "", configuration}};
        return result;
    }

    consensus_member member_;
};

} // namespace

TEST_CASE("the lease counts from the sending of a heartbeat, less the margin")
{
    auto leader = hand_driven_leader{};
    CHECK_FALSE(leader.member().has_leader_lease(leader.now));
    leader.now += 100ms;
    leader.member().tick(leader.now);
    leader.drain();
    const auto sent = leader.now;
    leader.now += 300ms;
    leader.receive(heartbeat_reply{leader.round}, 2);
    // 500 ms less 1%; a voter whose clock is 1% fast votes after 495.05 ms.
    CHECK(leader.member().has_leader_lease(sent + 495ms - 1us));
    CHECK_FALSE(leader.member().has_leader_lease(sent + 495ms));
}

// A leader that was suspended took itself for the leader when it woke, and both
// it and its successor gave orders.
TEST_CASE("a lease does not survive a suspension, nor do answers that waited")
{
    auto leader = hand_driven_leader{};
    leader.now += 100ms;
    leader.member().tick(leader.now);
    leader.drain();
    const auto round = leader.round;
    leader.receive(heartbeat_reply{round}, 2);
    REQUIRE(leader.member().has_leader_lease(leader.now));
    REQUIRE(std::holds_alternative<read_ticket>(
        leader.member().read_index(leader.now)));
    // Nothing ran meanwhile, not even a timer.
    leader.now += 3s;
    CHECK_FALSE(leader.member().has_leader_lease(leader.now));
    leader.receive(heartbeat_reply{round}, 2);
    CHECK_FALSE(leader.member().has_leader_lease(leader.now));
    CHECK(leader.confirmed == 0);
    leader.member().tick(leader.now);
    leader.drain();
    CHECK_FALSE(leader.member().is_leader());
    CHECK(leader.confirmed == 0);
}

TEST_CASE(
    "an answer to an earlier heartbeat neither confirms a read nor a lease")
{
    auto leader = hand_driven_leader{};
    const auto earlier = leader.round;
    REQUIRE(std::holds_alternative<read_ticket>(
        leader.member().read_index(leader.now)));
    leader.drain();
    CHECK(leader.round == earlier + 1);
    leader.receive(heartbeat_reply{earlier}, 2);
    CHECK(leader.confirmed == 0);
    leader.receive(heartbeat_reply{earlier + 1}, 2);
    CHECK(leader.confirmed == 1);
    leader.now += 600ms;
    leader.receive(heartbeat_reply{earlier + 1}, 2);
    CHECK_FALSE(leader.member().has_leader_lease(leader.now));
}

TEST_CASE("a new leader refuses reads until an entry of its term is committed")
{
    auto leader = hand_driven_leader{};
    leader.receive(append_reply{}, 3);
    CHECK_FALSE(leader.member().is_leader());
    CHECK(std::holds_alternative<not_leader>(
        leader.member().read_index(leader.now)));
    leader.now += 1s;
    leader.member().tick(leader.now);
    leader.receive(vote_reply{true, true}, 4);
    leader.receive(vote_reply{false, true}, 4);
    REQUIRE(leader.member().is_leader());
    CHECK(std::holds_alternative<not_accepted>(
        leader.member().read_index(leader.now)));
    leader.receive(heartbeat_reply{leader.round}, 4);
    CHECK_FALSE(leader.member().has_leader_lease(leader.now));
}
