#include "bundle_samples.hpp"

#include <rhubarbrun/state/directory.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

/// Draws commands of all kinds over few names, so that many of them collide.
class command_source
{
public:
    explicit command_source(std::uint32_t seed) : random_(seed) {}

    auto next(const control_state& state) -> control_command
    {
        const auto version = 1 + pick(40);
        const auto value = pick(6) == 0
                               ? sample_bundle(version, pick(2), {"ann", "bob"})
                               : sample_bundle(version, pick(2));
        const auto name = std::vector{"ann", "bob", "cy"}[pick(3)];
        const auto target = "t" + std::to_string(pick(12));
        const auto* const known = state.find_target(target_id(target));
        const auto epoch = known != nullptr ? known->epoch : owner_epoch();
        const auto proxy =
            sample_proxy("p" + std::to_string(pick(5)), 1 + pick(3));
        const auto owner =
            known != nullptr && known->owner ? *known->owner : proxy.identity;
        switch (pick(14)) {
        case 0:
            return propose(name, value);
        case 1:
            return approve(name, value);
        case 2:
            return roll(name, value);
        case 3:
        case 4:
            return register_proxy_command{proxy};
        case 5:
            return remove_proxy_command{proxy.identity};
        case 6:
            return pick(4) == 0
                       ? control_command(drain_proxy_command{proxy.identity})
                       : control_command(register_proxy_command{proxy});
        case 7:
        case 8:
            return report_targets_command{
                {{static_cast<target_change_kind>(pick(4)),
                  sample_target(target, "g" + std::to_string(pick(3)))}}};
        case 9:
            return announce(sample_target(target, "g0"));
        case 10:
            return assign_target_command{target_id(target), epoch,
                                         proxy.identity};
        case 11:
            return begin_handover_command{target_id(target), epoch,
                                          proxy.identity};
        case 12:
            return release_target_command{target_id(target), owner, epoch};
        default:
            return claim(state, target, owner, epoch);
        }
    }

    auto pick(std::uint32_t bound) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(random_() % bound);
    }

private:
    static auto claim(const control_state& state, const std::string& target,
                      const proxy_identity& owner, owner_epoch epoch)
        -> control_command
    {
        const auto* const group = state.find_group(group_id("g0"));
        const auto current = group != nullptr && group->primary
                                 ? group->primary->group_term
                                 : term();
        return set_primary_command{group_id("g0"), current, target_id(target),
                                   owner,          epoch,   term(1)};
    }

    std::mt19937 random_;
};

/// Replaces the checksum of a saved state by one that fits.
auto with_checksum(std::string bytes) -> std::string
{
    constexpr auto hash_size = std::size_t{32};
    bytes.resize(bytes.size() - hash_size);
    const auto hex = hash_token(bytes).value();
    for (auto i = std::size_t{0}; i < hash_size; ++i) {
        bytes += static_cast<char>(std::stoi(hex.substr(2 * i, 2), {}, 16));
    }
    return bytes;
}

/// The directory must hold what the state holds.
auto is_same(const directory& copy, const control_state& state) -> bool
{
    auto owned = std::size_t{0};
    for (const auto& [id, record] : state.targets()) {
        if (record.owner) {
            owned += copy.targets_owned_by(*record.owner).count(id);
        }
        if (!copy.targets_of(record.description.group).contains(id)) {
            return false;
        }
    }
    for (const auto& [id, record] : state.groups()) {
        const auto* const found = copy.find_by_database(record.config.database);
        if (found == nullptr || *found != record) {
            return false;
        }
    }
    const auto expected = std::count_if(
        state.targets().begin(), state.targets().end(),
        [](const auto& entry) { return entry.second.owner.has_value(); });
    return owned == static_cast<std::size_t>(expected) &&
           copy.index() == state.applied() &&
           copy.bundle() == state.bundle_in_force() &&
           copy.groups() == state.groups() &&
           copy.targets() == state.targets() &&
           copy.proxies() == state.proxies();
}

} // namespace

TEST_CASE("replay of 1,000 commands gives equal states, saved or not")
{
    for (auto seed = std::uint32_t{1}; seed <= 5; ++seed) {
        auto source = command_source(seed);
        auto log = test_log{};
        log.start();
        auto restored = control_state::load(log.state.save());
        auto accepted = 0;
        for (auto i = 0; i < 1000; ++i) {
            const auto command =
                decode_command(encode_command(source.next(log.state)));
            const auto result = log(command);
            accepted += result.is_ok() ? 1 : 0;
            REQUIRE(restored.apply(log.index, command) == result);
            if (i % 100 == 50) {
                restored = control_state::load(restored.save());
            }
        }
        CHECK(accepted > 300);
        CHECK(restored == log.state);
        CHECK(restored.delta_since(log_index(500)) ==
              log.state.delta_since(log_index(500)));
    }
}

TEST_CASE("copies fed by deltas at different paces equal the full state")
{
    for (auto seed = std::uint32_t{1}; seed <= 5; ++seed) {
        auto source = command_source(seed);
        auto log = test_log{};
        log.start();
        auto copies = std::vector<directory>(4);
        for (auto i = 0; i < 1000; ++i) {
            log(source.next(log.state));
            auto& copy = copies[source.pick(4)];
            const auto delta = log.state.delta_since(copy.index());
            REQUIRE(copy.apply(delta) == delta_outcome::applied);
            REQUIRE(is_same(copy, log.state));
        }
        auto fresh = directory();
        fresh.apply(log.state.delta_since(log_index()));
        CHECK(is_same(fresh, log.state));
    }
}

TEST_CASE("a delta holds only what changed")
{
    auto log = test_log{};
    log.start();
    for (auto i = 0; i < 1000; ++i) {
        log(announce(sample_target("t" + std::to_string(i), "g0")));
    }
    const auto before = log.index;
    log(announce(sample_target("t5", "g0", "other-zone")));
    log(report_targets_command{
        {{target_change_kind::leaving, sample_target("t6", "g0")}}});
    const auto delta = log.state.delta_since(before);
    CHECK(delta.targets.size() == 2);
    CHECK(delta.groups.empty());
    CHECK_FALSE(delta.bundle.has_value());
    // A roll that changes one group sends that group.
    const auto changed = sample_bundle(2, 1);
    const auto rolled_after = log.index;
    log(propose("ann", changed));
    log(approve("bob", changed));
    log(roll("ann", changed));
    CHECK(log.state.delta_since(rolled_after).groups.size() == 1);
    CHECK(log.state.delta_since(rolled_after).targets.empty());
}

TEST_CASE("a copy older than the remembered removals is replaced")
{
    auto log = test_log{};
    log.start();
    auto copy = directory();
    log(register_proxy_command{sample_proxy("kept")});
    log(register_proxy_command{sample_proxy("lost")});
    copy.apply(log.state.delta_since(log_index()));
    log(remove_proxy_command{sample_proxy("lost").identity});
    for (auto i = std::size_t{0}; i < control_state::most_removals; ++i) {
        const auto proxy = sample_proxy("p" + std::to_string(i));
        log(register_proxy_command{proxy});
        log(remove_proxy_command{proxy.identity});
    }
    const auto delta = log.state.delta_since(copy.index());
    CHECK(delta.is_complete);
    CHECK(copy.apply(delta) == delta_outcome::applied);
    CHECK(copy.proxies().size() == 1);
    CHECK(log.state.delta_since(log_index(log.index.value() - 10))
              .removed_proxies.size() == 5);
}

TEST_CASE("a directory never goes back or skips changes")
{
    auto log = test_log{};
    log.start();
    auto copy = directory();
    const auto old = log.state.delta_since(log_index());
    log(register_proxy_command{sample_proxy("p")});
    copy.apply(log.state.delta_since(log_index()));
    CHECK(copy.apply(old) == delta_outcome::stale);
    auto gap = directory_delta{};
    gap.since = log.index.next();
    gap.up_to = gap.since.next();
    CHECK(copy.apply(gap) == delta_outcome::gap);
    auto reverting = directory_delta{};
    reverting.since = copy.index();
    reverting.up_to = log.index.next();
    reverting.bundle = copy.bundle();
    reverting.bundle->version = bundle_version(0);
    CHECK(copy.apply(reverting) == delta_outcome::regressed);
    auto empty = directory_delta{};
    empty.up_to = log.index.next();
    empty.is_complete = true;
    CHECK(copy.apply(empty) == delta_outcome::regressed);
    CHECK(is_same(copy, log.state));
}

TEST_CASE("mutated saved states and commands are refused, not read")
{
    auto source = command_source(7);
    auto log = test_log{};
    log.start();
    for (auto i = 0; i < 200; ++i) {
        log(source.next(log.state));
    }
    const auto saved = log.state.save();
    const auto command = encode_command(propose("ann", sample_bundle(3)));
    REQUIRE(with_checksum(saved) == saved);
    CHECK(rc::check([&] {
        auto bytes = saved;
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto flip = *rc::gen::inRange(1, 256);
        bytes[at] = static_cast<char>(bytes[at] ^ flip);
        RC_ASSERT_THROWS_AS(control_state::load(bytes), std::runtime_error);
        RC_ASSERT_THROWS_AS(control_state::load(saved.substr(0, at)),
                            std::runtime_error);
        // A checksum that fits, as from a faulty writer: any outcome but a
        // crash or a huge allocation.
        try {
            auto state = control_state::load(with_checksum(bytes));
            (void)state.delta_since(log_index(1));
        } catch (const std::exception&) {
        }
        // Commands have no checksum of their own: any outcome but a crash.
        auto mutated = command;
        auto& byte = mutated[at % mutated.size()];
        byte = static_cast<char>(byte ^ flip);
        try {
            auto state = log.state;
            state.apply(log.index.next(), decode_command(mutated));
        } catch (const std::exception&) {
        }
    }));
}
