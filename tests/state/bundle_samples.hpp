#ifndef RHUBARBRUN_TESTS_STATE_BUNDLE_SAMPLES_HPP
#define RHUBARBRUN_TESTS_STATE_BUNDLE_SAMPLES_HPP

#include <rhubarbrun/state/control_state.hpp>

#include <string>
#include <vector>

namespace rhubarbrun::tests {

inline auto sample_operator(const std::string& name) -> operator_entry
{
    return {operator_id(name), hash_token("token-" + name)};
}

inline auto sample_group(const std::string& name) -> group_config
{
    auto group = group_config{};
    group.id = group_id(name);
    group.database = "db_" + name;
    return group;
}

/// A valid bundle; `flavour` makes bundles with one version differ.
inline auto sample_bundle(std::uint64_t version, std::int64_t flavour = 0,
                          const std::vector<std::string>& operators = {
                              "ann", "bob", "cy"}) -> bundle
{
    auto value = bundle{};
    value.version = bundle_version(version);
    for (const auto& name : operators) {
        value.operators.push_back(sample_operator(name));
    }
    value.groups = {sample_group("g0"), sample_group("g1")};
    value.groups[0].limits.queue_length = 100 + flavour;
    return value;
}

inline auto propose(const std::string& name, const bundle& value)
    -> control_command
{
    return propose_bundle_command{operator_id(name), digest_of(value), value,
                                  0};
}

inline auto approve(const std::string& name, const bundle& value)
    -> control_command
{
    return approve_bundle_command{operator_id(name), value.version,
                                  digest_of(value), 0};
}

inline auto roll(const std::string& name, const bundle& value)
    -> control_command
{
    return roll_bundle_command{operator_id(name), value.version,
                               digest_of(value), 0};
}

inline auto sample_proxy(const std::string& name, std::uint64_t run = 1,
                         const std::string& zone = "z0") -> proxy_record
{
    auto proxy = proxy_record{};
    proxy.identity = {proxy_id(name), incarnation(run)};
    proxy.address = "10.0.0.1";
    proxy.zone = zone_id(zone);
    return proxy;
}

inline auto sample_target(const std::string& name, const std::string& group,
                          const std::string& zone = "z0") -> target_description
{
    return {target_id(name),
            group_id(group),
            "10.0.1.1",
            5432,
            zone_id(zone),
            3,
            70};
}

inline auto announce(const target_description& description) -> control_command
{
    return report_targets_command{
        {{target_change_kind::announced, description}}};
}

/// A state with a log, for tests that apply one command after another.
class test_log
{
public:
    auto operator()(const control_command& command) -> command_result
    {
        return state.apply(index = index.next(), command);
    }

    /// Bootstraps and rolls the sample bundle of version 1.
    auto start() -> void
    {
        const auto first = sample_bundle(1);
        (*this)(bootstrap_command{first.operators});
        (*this)(propose("ann", first));
        (*this)(approve("bob", first));
        (*this)(roll("ann", first));
    }

    control_state state;
    log_index index;
};

} // namespace rhubarbrun::tests

#endif
