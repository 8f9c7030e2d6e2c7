#include "control_state_helpers.hpp"

#include <rhubarbrun/state/control_state.hpp>

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <iterator>
#include <openssl/sha.h>
#include <rhubarbrun/state/strict_archive.hpp>
#include <stdexcept>
#include <utility>

// Operators and bundles of the control state.

namespace rhubarbrun::inline v1 {

using namespace detail::control_state_helpers;
auto control_state::is_operator(const operator_id& id) const -> bool
{
    return contains(operators_, id);
}

auto control_state::authenticate(const operator_id& name,
                                 std::string_view token) const -> bool
{
    return find_operator(token) == name;
}

auto control_state::find_operator(std::string_view token) const
    -> std::optional<operator_id>
{
    const auto hash = hash_token(token);
    auto found = std::optional<operator_id>();
    // All entries are compared, so that the time does not tell which matches.
    for (const auto* const list : {&former_operators_, &operators_}) {
        for (const auto& entry : *list) {
            if (is_same_hash(entry.hash, hash)) {
                found = entry.id;
            }
        }
    }
    return found;
}

auto control_state::run(const bootstrap_command& command) -> command_result
{
    if (is_bootstrapped()) {
        if (command.operators != bootstrap_operators_) {
            return refuse(command_status::not_empty);
        }
        auto result = command_result{};
        result.effective_at = bootstrapped_at_;
        return result;
    }
    auto probe = bundle{};
    probe.operators = command.operators;
    auto result = command_result{};
    for (const auto& fault : find_bundle_faults(probe)) {
        if (fault.path.starts_with("operators")) {
            result.status = command_status::invalid_bundle;
            result.details.push_back(fault.path + ": " + fault.message);
        }
    }
    if (result.is_ok()) {
        operators_ = command.operators;
        bootstrap_operators_ = command.operators;
        bootstrapped_at_ = applied_;
    }
    return result;
}

auto control_state::run(const propose_bundle_command& command) -> command_result
{
    const auto version = command.content.version;
    const auto* const winner = find_in(records_, version);
    if (winner != nullptr && winner->digest == command.digest &&
        winner->proposer == command.proposer)
    {
        auto repeated = describe(command_status::ok, *winner);
        repeated.effective_at = winner->proposed_at;
        return repeated;
    }
    if (!is_operator(command.proposer)) {
        return refuse(command_status::unknown_operator);
    }
    if (winner != nullptr) {
        return describe(command_status::version_taken, *winner);
    }
    const auto in_force = header_ ? header_->version : bundle_version();
    if (version <= in_force) {
        return refuse(command_status::version_not_higher);
    }
    if (version.value() - in_force.value() > longest_version_step) {
        return refuse(command_status::version_out_of_range);
    }
    if (digest_of(command.content) != command.digest) {
        return refuse(command_status::digest_mismatch);
    }
    auto result = command_result{};
    for (const auto& fault : find_bundle_faults(command.content)) {
        result.status = command_status::invalid_bundle;
        result.details.push_back(fault.path + ": " + fault.message);
    }
    if (!result.is_ok()) {
        return result;
    }
    auto record = bundle_record{};
    record.version = version;
    record.digest = command.digest;
    record.proposer = command.proposer;
    record.proposed_at = applied_;
    record.proposed_ms = command.wall_time_ms;
    record.lease_ms = command.content.timings.lease_ms;
    contents_.insert_or_assign(version, command.content);
    withdraw_surplus_proposals();
    return describe(command_status::ok,
                    records_.insert_or_assign(version, record).first->second);
}

auto control_state::find_step(bundle_version version,
                              const bundle_digest& digest,
                              const operator_id& actor,
                              operator_id bundle_record::*recorded)
    -> bundle_step
{
    auto* const record = find_in(records_, version);
    const auto is_match = record != nullptr && record->digest == digest;
    const auto is_repeat =
        is_match && !actor.is_empty() && record->*recorded == actor;
    auto step = bundle_step{record, is_repeat, std::nullopt};
    if (!is_repeat && !is_operator(actor)) {
        step.refusal = refuse(command_status::unknown_operator);
    } else if (record == nullptr) {
        step.refusal = refuse(command_status::unknown_version);
    } else if (!is_match) {
        step.refusal = describe(command_status::digest_mismatch, *record);
    }
    return step;
}

auto control_state::run(const approve_bundle_command& command) -> command_result
{
    const auto step = find_step(command.version, command.digest,
                                command.approver, &bundle_record::approver);
    if (step.refusal) {
        return *step.refusal;
    }
    auto& record = *step.record;
    if (!step.is_repeat) {
        if (!record.approver.is_empty()) {
            return describe(command_status::already_approved, record,
                            record.approver);
        }
        if (record.stage == bundle_stage::withdrawn) {
            return describe(command_status::withdrawn, record);
        }
        if (record.proposer == command.approver) {
            return describe(command_status::self_approval, record);
        }
        record.stage = bundle_stage::approved;
        record.approver = command.approver;
        record.approved_at = applied_;
        record.approved_ms = command.wall_time_ms;
    }
    auto result = describe(command_status::ok, record, record.approver);
    result.effective_at = record.approved_at;
    return result;
}

auto control_state::run(const roll_bundle_command& command) -> command_result
{
    const auto step = find_step(command.version, command.digest, command.roller,
                                &bundle_record::roller);
    if (step.refusal) {
        return *step.refusal;
    }
    auto& record = *step.record;
    if (!step.is_repeat) {
        switch (record.stage) {
        case bundle_stage::rolled:
            return describe(command_status::already_rolled, record,
                            record.roller);
        case bundle_stage::withdrawn:
            return describe(command_status::withdrawn, record);
        case bundle_stage::proposed:
            return describe(command_status::not_approved, record);
        case bundle_stage::approved:
            break;
        }
        if (header_ && record.version <= header_->version) {
            return describe(command_status::version_not_higher, record);
        }
        record.stage = bundle_stage::rolled;
        record.roller = command.roller;
        record.rolled_at = applied_;
        record.rolled_ms = command.wall_time_ms;
    }
    auto result = describe(command_status::ok, record, record.roller);
    result.effective_at = record.rolled_at;
    if (!step.is_repeat) {
        put_in_force(record);
    }
    return result;
}

auto control_state::put_in_force(const bundle_record& record) -> void
{
    const auto& value = contents_.at(record.version);
    header_ = bundle_header{record.version, record.digest, value.timings};
    touch(record_kind::bundle, "");
    const auto previous = std::exchange(operators_, value.operators);
    // An operator that stays is known by its new token only.
    former_operators_.clear();
    std::copy_if(previous.begin(), previous.end(),
                 std::back_inserter(former_operators_),
                 [this](const auto& entry) { return !is_operator(entry.id); });
    replace_groups(value);
    withdraw_obsolete_proposals();
    trim_records();
}

auto control_state::replace_groups(const bundle& value) -> void
{
    auto kept = std::set<group_id>();
    for (const auto& config : value.groups) {
        kept.insert(config.id);
        const auto [place, is_new] =
            groups_.try_emplace(config.id, group_record{config, std::nullopt});
        if (is_new || place->second.config != config) {
            place->second.config = config;
            touch(record_kind::group, config.id.value());
        }
    }
    for (auto group = groups_.begin(); group != groups_.end();) {
        if (kept.contains(group->first)) {
            ++group;
            continue;
        }
        const auto members = targets_of(group->first);
        for (const auto& target : members) {
            drop_target(targets_.at(target));
        }
        const auto id = group->first;
        group = groups_.erase(group);
        touch(record_kind::group, id.value());
    }
}

/// Erases a target whose group was removed. An owner keeps the record until it
/// releases the target: if the group returned at once, another proxy could
/// become the owner while this one does not know of the removal yet.
auto control_state::drop_target(target_record& record) -> void
{
    if (!record.owner) {
        const auto id = record.description.id;
        erase_target(id);
    } else if (record.presence != target_presence::gone) {
        record.presence = target_presence::gone;
        touch(record_kind::target, record.description.id.value());
    }
}

auto control_state::withdraw(bundle_record& record) -> void
{
    record.stage = bundle_stage::withdrawn;
    contents_.erase(record.version);
}

auto control_state::withdraw_obsolete_proposals() -> void
{
    for (auto& [version, record] : records_) {
        if (record.stage == bundle_stage::rolled) {
            if (version < header_->version) {
                contents_.erase(version);
            }
            continue;
        }
        const auto is_orphaned =
            !is_operator(record.proposer) ||
            (!record.approver.is_empty() && !is_operator(record.approver));
        if (is_open(record.stage) &&
            (version < header_->version || is_orphaned)) {
            withdraw(record);
        }
    }
}

auto control_state::withdraw_surplus_proposals() -> void
{
    auto open = std::size_t{0};
    auto* lowest = static_cast<bundle_record*>(nullptr);
    for (auto& [version, record] : records_) {
        if (!is_open(record.stage)) {
            continue;
        }
        ++open;
        const auto is_better =
            lowest == nullptr || (lowest->stage == bundle_stage::approved &&
                                  record.stage == bundle_stage::proposed);
        if (is_better) {
            lowest = &record;
        }
    }
    if (open >= most_open_proposals) {
        withdraw(*lowest);
    }
}

auto control_state::trim_records() -> void
{
    while (records_.size() > most_bundle_records &&
           records_.begin()->first < header_->version)
    {
        records_.erase(records_.begin());
    }
}

auto control_state::find_bundle(bundle_version version) const -> const bundle*
{
    return find_in(contents_, version);
}

auto control_state::longest_granted_lease() const -> duration
{
    auto longest = std::int64_t{0};
    auto counted = std::size_t{0};
    for (auto record = records_.rbegin();
         record != records_.rend() && counted < recent_rolls; ++record)
    {
        if (record->second.stage == bundle_stage::rolled) {
            longest = std::max(longest, record->second.lease_ms);
            ++counted;
        }
    }
    if (counted < recent_rolls) {
        longest = std::max(longest, bundle_timings{}.lease_ms);
    }
    return std::chrono::milliseconds(longest);
}

// Proxies

} // namespace rhubarbrun::inline v1
