#include "bundle_samples.hpp"

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

TEST_CASE("bootstrap works once, and its repetition gives the same answer")
{
    auto log = test_log{};
    const auto operators = sample_bundle(1).operators;
    CHECK(log(bootstrap_command{{operators[0]}}).status ==
          command_status::invalid_bundle);
    const auto first = log(bootstrap_command{operators});
    CHECK(first.is_ok());
    CHECK(log(bootstrap_command{operators}) == first);
    CHECK(log(bootstrap_command{{operators[0], operators[1]}}).status ==
          command_status::not_empty);
}

TEST_CASE("of two proposals with one version, exactly one wins")
{
    auto log = test_log{};
    log.start();
    const auto winner = sample_bundle(2, 1);
    const auto loser = sample_bundle(2, 2);
    CHECK(log(propose("ann", winner)).is_ok());
    const auto refused = log(propose("bob", loser));
    CHECK(refused.status == command_status::version_taken);
    CHECK(refused.digest == digest_of(winner));
    CHECK(refused.proposer == operator_id("ann"));
    CHECK(log(propose("bob", loser)) == refused);
    // The same content from a second operator does not make it a proposer.
    CHECK(log(propose("bob", winner)).status == command_status::version_taken);
}

TEST_CASE("resent bundle commands give the first answer again")
{
    auto log = test_log{};
    log.start();
    const auto value = sample_bundle(2);
    const auto proposed = log(propose("ann", value));
    const auto approved = log(approve("bob", value));
    CHECK(log(propose("ann", value)) == proposed);
    const auto rolled = log(roll("ann", value));
    CHECK(rolled.is_ok());
    CHECK(log(propose("ann", value)) == proposed);
    CHECK(log(approve("bob", value)) == approved);
    CHECK(log(roll("ann", value)) == rolled);
    // Also after a later version, without going back to the old one.
    const auto next = sample_bundle(3, 1);
    log(propose("ann", next));
    log(approve("bob", next));
    log(roll("ann", next));
    CHECK(log(roll("ann", value)) == rolled);
    CHECK(log.state.bundle_in_force()->version == bundle_version(3));
}

TEST_CASE("approval needs another operator and the right digest")
{
    auto log = test_log{};
    log.start();
    const auto value = sample_bundle(2, 1);
    log(propose("ann", value));
    CHECK(log(approve("ann", value)).status == command_status::self_approval);
    CHECK(log(approve("eve", value)).status ==
          command_status::unknown_operator);
    CHECK(log(approve("", value)).status == command_status::unknown_operator);
    CHECK(log(roll("", value)).status == command_status::unknown_operator);
    const auto mismatch = log(approve("bob", sample_bundle(2, 2)));
    CHECK(mismatch.status == command_status::digest_mismatch);
    CHECK(mismatch.digest == digest_of(value));
    CHECK(log(roll("cy", value)).status == command_status::not_approved);
    CHECK(log(approve("bob", value)).is_ok());
    const auto second = log(approve("cy", value));
    CHECK(second.status == command_status::already_approved);
    CHECK(second.actor == operator_id("bob"));
    CHECK(log(roll("cy", sample_bundle(2, 2))).status ==
          command_status::digest_mismatch);
}

TEST_CASE("a proposal is refused if its digest or content is wrong")
{
    auto log = test_log{};
    log.start();
    const auto value = sample_bundle(2);
    CHECK(log(propose_bundle_command{operator_id("ann"),
                                     digest_of(sample_bundle(2, 9)), value, 0})
              .status == command_status::digest_mismatch);
    const auto lonely = sample_bundle(2, 0, {"ann"});
    const auto refused = log(propose("ann", lonely));
    CHECK(refused.status == command_status::invalid_bundle);
    CHECK(refused.details.size() == 1);
    CHECK(log(propose("ann", sample_bundle(1, 5))).status ==
          command_status::version_taken);
    CHECK(log(propose("ann", sample_bundle(5000))).status ==
          command_status::version_out_of_range);
}

TEST_CASE("a rolled version withdraws lower ones and those of lost operators")
{
    auto log = test_log{};
    log.start();
    const auto low = sample_bundle(2, 1);
    const auto high = sample_bundle(9, 1);
    log(propose("ann", low));
    log(approve("bob", low));
    log(propose("cy", high));
    log(approve("bob", high));
    const auto rolled = sample_bundle(3, 0, {"ann", "bob"});
    log(propose("ann", rolled));
    log(approve("cy", rolled));
    const auto answer = log(roll("cy", rolled));
    CHECK(answer.is_ok());
    CHECK(log(roll("ann", low)).status == command_status::withdrawn);
    CHECK(log(roll("ann", high)).status == command_status::withdrawn);
    CHECK(log(propose("ann", sample_bundle(2, 7))).status ==
          command_status::version_taken);
    // The operator that removed itself can still repeat the lost request.
    CHECK(log.state.authenticate(operator_id("cy"), "token-cy"));
    CHECK(log(roll("cy", rolled)) == answer);
    CHECK(log(propose("cy", sample_bundle(4))).status ==
          command_status::unknown_operator);
}

TEST_CASE("a replaced token stops working at the roll")
{
    auto log = test_log{};
    log.start();
    auto value = sample_bundle(2);
    value.operators[0].hash = hash_token("new");
    log(propose("bob", value));
    log(approve("cy", value));
    log(roll("bob", value));
    CHECK(log.state.find_operator("new") == operator_id("ann"));
    CHECK_FALSE(log.state.find_operator("token-ann").has_value());
}

// A process that starts proposes the first operators of its settings file, and
// a snapshot may be all that it has.
TEST_CASE("a withdrawn token stays withdrawn after a restart")
{
    auto log = test_log{};
    log.start();
    const auto first_operators = sample_bundle(1).operators;
    auto value = sample_bundle(2);
    value.operators[0].hash = hash_token("new");
    value.operators.pop_back();
    const auto removed = first_operators.back().id;
    const auto removed_token = "token-" + removed.value();
    log(propose("ann", value));
    log(approve("bob", value));
    log(roll("ann", value));
    log.state = control_state::load(log.state.save());
    CHECK(log(bootstrap_command{first_operators}).is_ok());
    CHECK_FALSE(log.state.find_operator("token-ann").has_value());
    CHECK(log(propose(removed.value(), sample_bundle(3))).status ==
          command_status::unknown_operator);
    // The next bundle ends also the repetition of requests by operators that
    // the last one removed.
    value.version = bundle_version(3);
    log(propose("bob", value));
    log(approve("ann", value));
    log(roll("bob", value));
    log.state = control_state::load(log.state.save());
    CHECK_FALSE(log.state.find_operator(removed_token).has_value());
}

TEST_CASE("open proposals are bounded without freeing their versions")
{
    auto log = test_log{};
    log.start();
    for (auto version = std::uint64_t{2}; version < 40; ++version) {
        CHECK(log(propose("ann", sample_bundle(version))).is_ok());
    }
    CHECK(log(approve("bob", sample_bundle(2))).status ==
          command_status::withdrawn);
    CHECK(log(propose("bob", sample_bundle(2, 1))).status ==
          command_status::version_taken);
    CHECK(log(approve("bob", sample_bundle(39))).is_ok());
}

TEST_CASE("a late registration does not replace a newer incarnation")
{
    auto log = test_log{};
    CHECK(log(register_proxy_command{sample_proxy("p", 1)}).is_ok());
    CHECK(log(register_proxy_command{sample_proxy("p", 2)}).is_ok());
    CHECK(log(register_proxy_command{sample_proxy("p", 1)}).status ==
          command_status::stale_incarnation);
    CHECK(log.state.is_superseded({proxy_id("p"), incarnation(1)}));
}

TEST_CASE("owners change only by the expected epoch, and epochs only rise")
{
    auto log = test_log{};
    log.start();
    const auto p = sample_proxy("p").identity;
    const auto q = sample_proxy("q").identity;
    log(register_proxy_command{sample_proxy("p")});
    log(register_proxy_command{sample_proxy("q")});
    log(announce(sample_target("t", "g0")));
    const auto t = target_id("t");
    const auto first = log(assign_target_command{t, owner_epoch(0), p});
    REQUIRE(first.is_ok());
    CHECK(log(assign_target_command{t, owner_epoch(0), q}).status ==
          command_status::stale_epoch);
    CHECK(log(begin_handover_command{t, first.epoch, q}).is_ok());
    CHECK(log(release_target_command{t, q, first.epoch}).status ==
          command_status::not_owner);
    const auto second = log(release_target_command{t, p, first.epoch});
    CHECK(second.is_ok());
    CHECK(second.epoch > first.epoch);
    CHECK(log.state.find_target(t)->owner == q);
    CHECK(log(remove_proxy_command{q}).status ==
          command_status::proxy_owns_targets);
    // Forgotten and announced again, the epoch does not start anew.
    log(release_target_command{t, q, second.epoch});
    const auto gone =
        target_change{target_change_kind::gone, sample_target("t", "g0")};
    auto forgotten = gone;
    forgotten.kind = target_change_kind::forgotten;
    log(report_targets_command{{gone, forgotten}});
    CHECK(log.state.find_target(t) == nullptr);
    log(announce(sample_target("t", "g0")));
    CHECK(log(assign_target_command{t, owner_epoch(0), p}).epoch >
          second.epoch);
    log(drain_proxy_command{q});
    CHECK(log(assign_target_command{t, log.state.find_target(t)->epoch, q})
              .status == command_status::proxy_draining);
}

TEST_CASE("a target whose group is removed keeps its owner until released")
{
    auto log = test_log{};
    log.start();
    const auto p = sample_proxy("p").identity;
    log(register_proxy_command{sample_proxy("p")});
    log(announce(sample_target("owned", "g1")));
    log(announce(sample_target("free", "g1")));
    const auto owned = target_id("owned");
    const auto epoch = log(assign_target_command{owned, {}, p}).epoch;
    auto smaller = sample_bundle(2);
    smaller.groups.pop_back();
    log(propose("ann", smaller));
    log(approve("bob", smaller));
    log(roll("ann", smaller));
    CHECK(log.state.find_target(target_id("free")) == nullptr);
    REQUIRE(log.state.find_target(owned) != nullptr);
    CHECK(log.state.find_target(owned)->presence == target_presence::gone);
    // The group returns before the owner has noticed.
    const auto restored = sample_bundle(3);
    log(propose("ann", restored));
    log(approve("bob", restored));
    log(roll("ann", restored));
    log(announce(sample_target("owned", "g1")));
    CHECK(log.state.find_target(owned)->owner == p);
    CHECK(log(release_target_command{owned, p, epoch}).is_ok());
}

TEST_CASE("a primary is set only by the owner of the current one")
{
    auto log = test_log{};
    log.start();
    const auto p = sample_proxy("p").identity;
    const auto q = sample_proxy("q").identity;
    log(register_proxy_command{sample_proxy("p")});
    log(register_proxy_command{sample_proxy("q")});
    log(announce(sample_target("a", "g0")));
    log(announce(sample_target("b", "g0")));
    const auto a = target_id("a");
    const auto b = target_id("b");
    const auto pa = log(assign_target_command{a, owner_epoch(0), p}).epoch;
    const auto qb = log(assign_target_command{b, owner_epoch(0), q}).epoch;
    const auto g = group_id("g0");
    const auto claim = [&](std::uint64_t expected, const target_id& target,
                           const proxy_identity& by, owner_epoch epoch) {
        return log(
            set_primary_command{g, term(expected), target, by, epoch, term(4)});
    };
    CHECK(claim(0, a, p, qb).status == command_status::not_owner);
    const auto first = claim(0, a, p, pa);
    CHECK(first.is_ok());
    CHECK(first.group_term == term(4));
    CHECK(claim(0, a, p, pa) == first);
    CHECK(claim(4, b, q, qb).status == command_status::not_owner);
    CHECK(claim(3, b, p, pa).status == command_status::stale_term);
    CHECK(claim(4, target_id("x"), p, pa).status ==
          command_status::unsuitable_target);
    CHECK(claim(4, b, p, qb).status == command_status::stale_epoch);
    const auto second = claim(4, b, p, pa);
    CHECK(second.group_term == term(5));
    CHECK(claim(4, b, p, pa) == second);
    CHECK(claim(0, a, p, pa).status == command_status::stale_term);
    CHECK(claim(5, a, p, pa).status == command_status::not_owner);
}

TEST_CASE("leases under earlier bundles count until enough later rolls")
{
    auto log = test_log{};
    log.start();
    auto value = sample_bundle(2);
    value.timings.lease_ms = 2500;
    log(propose("ann", value));
    log(approve("bob", value));
    log(roll("ann", value));
    const auto shorter = sample_bundle(3);
    log(propose("ann", shorter));
    log(approve("bob", shorter));
    log(roll("ann", shorter));
    CHECK(log.state.longest_granted_lease() == std::chrono::milliseconds(2500));
}

TEST_CASE("an index is applied once")
{
    auto log = test_log{};
    log.start();
    CHECK_THROWS_AS(log.state.apply(log.index, bootstrap_command{}),
                    std::logic_error);
}
