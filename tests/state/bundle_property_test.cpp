#include "bundle_samples.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>

namespace rhubarbrun::detail {

/// Plants faults that the oracle must notice.
struct state_test_access
{
    /// As if `approve` did not check who approves.
    static auto skip_approval(control_state& state) -> void
    {
        for (auto& [version, record] : state.records_) {
            if (record.stage == bundle_stage::proposed) {
                record.stage = bundle_stage::approved;
            }
        }
    }

    /// As if `roll` accepted lower versions.
    static auto forget_version_in_force(control_state& state) -> void
    {
        state.header_->version = bundle_version(1);
    }
};

} // namespace rhubarbrun::detail

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

enum class step_kind : std::uint8_t
{
    propose,
    approve,
    roll,
};

struct step
{
    step_kind kind;
    std::uint64_t version;
    std::int64_t flavour;
    std::string operator_name;
    /// Sent twice, as after a lost response.
    bool is_resent;
};

auto show(const step& value, std::ostream& out) -> void
{
    out << static_cast<int>(value.kind) << " v" << value.version << "/"
        << value.flavour << " by " << value.operator_name
        << (value.is_resent ? " twice" : "");
}

auto any_step() -> rc::Gen<step>
{
    return rc::gen::construct<step>(
        rc::gen::element(step_kind::propose, step_kind::approve,
                         step_kind::roll),
        rc::gen::inRange<std::uint64_t>(1, 8),
        rc::gen::inRange<std::int64_t>(0, 2),
        rc::gen::element<std::string>("ann", "bob", "cy", "eve"),
        rc::gen::arbitrary<bool>());
}

auto command_of(const step& value) -> control_command
{
    const auto content = sample_bundle(value.version, value.flavour);
    switch (value.kind) {
    case step_kind::propose:
        return propose(value.operator_name, content);
    case step_kind::approve:
        return approve(value.operator_name, content);
    case step_kind::roll:
        break;
    }
    return roll(value.operator_name, content);
}

/// What the accepted commands must look like, kept as plain logs.
class oracle
{
public:
    /// Whether the result is one that the rules allow.
    auto allows(const step& value, const command_result& result) -> bool
    {
        if (!result.is_ok()) {
            return true;
        }
        const auto digest =
            digest_of(sample_bundle(value.version, value.flavour));
        const auto proposed =
            proposals_.try_emplace(value.version, digest, value.operator_name)
                .first->second;
        if (value.operator_name == "eve" || proposed.first != digest) {
            return false;
        }
        switch (value.kind) {
        case step_kind::propose:
            return proposed.second == value.operator_name;
        case step_kind::approve:
            return approvers_.try_emplace(value.version, value.operator_name)
                           .first->second == value.operator_name &&
                   proposed.second != value.operator_name;
        case step_kind::roll:
            break;
        }
        return allows_roll(value);
    }

    /// Last entry of the log of rolled versions.
    [[nodiscard]] auto in_force() const -> std::uint64_t
    {
        return rolled_.back();
    }

private:
    auto allows_roll(const step& value) -> bool
    {
        const auto is_repeat = std::find(rolled_.begin(), rolled_.end(),
                                         value.version) != rolled_.end();
        if (is_repeat) {
            return true;
        }
        if (!approvers_.contains(value.version) ||
            value.version <= rolled_.back()) {
            return false;
        }
        rolled_.push_back(value.version);
        return true;
    }

    std::map<std::uint64_t, std::pair<bundle_digest, std::string>> proposals_{
        {1, {digest_of(sample_bundle(1)), "ann"}}};
    std::map<std::uint64_t, std::string> approvers_{{1, "bob"}};
    std::vector<std::uint64_t> rolled_{1};
};

/// Returns whether all results and the version in force agree with the
/// oracle; `fault` is applied to the state before each step.
auto agrees(const std::vector<step>& steps,
            const std::function<void(control_state&)>& fault = {},
            std::uint64_t* last_version = nullptr) -> bool
{
    auto log = test_log{};
    log.start();
    auto model = oracle();
    for (const auto& value : steps) {
        if (fault) {
            fault(log.state);
        }
        const auto result = log(command_of(value));
        if (!model.allows(value, result) ||
            (value.is_resent && result.is_ok() &&
             log(command_of(value)) != result) ||
            log.state.bundle_in_force()->version !=
                bundle_version(model.in_force()))
        {
            return false;
        }
    }
    if (last_version != nullptr) {
        *last_version = model.in_force();
    }
    return true;
}

auto any_steps() -> std::vector<step>
{
    return *rc::gen::container<std::vector<step>>(60, any_step());
}

/// A course of events that rolls versions 3 and 5, with 4 approved between.
auto rolling_steps() -> std::vector<step>
{
    auto steps = std::vector<step>();
    const auto add = [&](step_kind kind, std::uint64_t version,
                         const char* name) {
        steps.push_back({kind, version, 0, name, true});
    };
    for (const auto version :
         {std::uint64_t{3}, std::uint64_t{4}, std::uint64_t{5}})
    {
        add(step_kind::propose, version, "ann");
        add(step_kind::roll, version, "cy");
        add(step_kind::approve, version, "ann");
        add(step_kind::approve, version, "bob");
    }
    add(step_kind::roll, 3, "cy");
    add(step_kind::roll, 5, "cy");
    add(step_kind::roll, 4, "cy");
    return steps;
}

} // namespace

TEST_CASE("any interleaving of operators agrees with the log of rolls")
{
    auto runs_with_rolls = 0;
    CHECK(rc::check([&] {
        auto last = std::uint64_t{1};
        RC_ASSERT(agrees(any_steps(), {}, &last));
        runs_with_rolls += last > 1 ? 1 : 0;
    }));
    // Otherwise the steps were too few to test anything.
    CHECK(runs_with_rolls > 20);
    CHECK(agrees(rolling_steps()));
}

TEST_CASE("the oracle notices a missing approval and a reverted version")
{
    using access = rhubarbrun::detail::state_test_access;
    CHECK_FALSE(agrees(rolling_steps(), access::skip_approval));
    CHECK_FALSE(agrees(rolling_steps(), access::forget_version_in_force));
}
