#include <rhubarbrun/state/control_state.hpp>
#include <rhubarbrun/state/strict_archive.hpp>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Incremented when the saved form changes.
constexpr auto state_format = std::uint32_t{1};
constexpr auto state_magic = std::uint32_t{0x53435252};

template <class Map, class Key>
auto find_in(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

const auto no_targets = std::set<target_id>();

template <class Map, class Key>
auto set_in(const Map& map, const Key& key) -> const std::set<target_id>&
{
    const auto* const found = find_in(map, key);
    return found == nullptr ? no_targets : *found;
}

template <class Map, class Key>
auto erase_member(Map& map, const Key& key, const target_id& target) -> void
{
    const auto found = map.find(key);
    if (found != map.end()) {
        found->second.erase(target);
        if (found->second.empty()) {
            map.erase(found);
        }
    }
}

auto refuse(command_status status) -> command_result
{
    auto result = command_result{};
    result.status = status;
    return result;
}

/// A result that names the bundle which holds the version.
auto describe(command_status status, const bundle_record& record)
    -> command_result
{
    auto result = refuse(status);
    result.version = record.version;
    result.digest = record.digest;
    result.proposer = record.proposer;
    return result;
}

auto checksum(std::string_view bytes) -> std::string
{
    auto hash = std::string(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           reinterpret_cast<unsigned char*>(hash.data()));
    return hash;
}

auto is_open(bundle_stage stage) -> bool
{
    return stage == bundle_stage::proposed || stage == bundle_stage::approved;
}

auto contains(const std::vector<operator_entry>& operators,
              const operator_id& id) -> bool
{
    return std::any_of(operators.begin(), operators.end(),
                       [&](const auto& entry) { return entry.id == id; });
}

} // namespace

auto to_string(bundle_stage stage) noexcept -> std::string_view
{
    switch (stage) {
    case bundle_stage::proposed:
        return "proposed";
    case bundle_stage::approved:
        return "approved";
    case bundle_stage::rolled:
        return "rolled";
    case bundle_stage::withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

auto control_state::apply(log_index index, const control_command& command)
    -> command_result
{
    skip(index);
    auto result = std::visit(
        [this](const auto& specific) { return run(specific); }, command);
    if (result.is_ok() && result.effective_at == log_index()) {
        result.effective_at = index;
    }
    return result;
}

auto control_state::skip(log_index index) -> void
{
    if (index <= applied_) {
        throw std::logic_error("log index " + std::to_string(index.value()) +
                               " was applied before");
    }
    applied_ = index;
}

// Operators and bundles

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

auto control_state::run(const approve_bundle_command& command) -> command_result
{
    const auto found = records_.find(command.version);
    const auto is_match =
        found != records_.end() && found->second.digest == command.digest;
    const auto is_repeat = is_match && !command.approver.is_empty() &&
                           found->second.approver == command.approver;
    if (!is_repeat && !is_operator(command.approver)) {
        return refuse(command_status::unknown_operator);
    }
    if (found == records_.end()) {
        return refuse(command_status::unknown_version);
    }
    auto& record = found->second;
    if (!is_match) {
        return describe(command_status::digest_mismatch, record);
    }
    if (!is_repeat) {
        if (!record.approver.is_empty()) {
            auto result = describe(command_status::already_approved, record);
            result.actor = record.approver;
            return result;
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
    auto result = describe(command_status::ok, record);
    result.actor = record.approver;
    result.effective_at = record.approved_at;
    return result;
}

auto control_state::run(const roll_bundle_command& command) -> command_result
{
    const auto found = records_.find(command.version);
    const auto is_match =
        found != records_.end() && found->second.digest == command.digest;
    const auto is_repeat = is_match && !command.roller.is_empty() &&
                           found->second.roller == command.roller;
    if (!is_repeat && !is_operator(command.roller)) {
        return refuse(command_status::unknown_operator);
    }
    if (found == records_.end()) {
        return refuse(command_status::unknown_version);
    }
    auto& record = found->second;
    if (!is_match) {
        return describe(command_status::digest_mismatch, record);
    }
    if (!is_repeat) {
        switch (record.stage) {
        case bundle_stage::rolled: {
            auto result = describe(command_status::already_rolled, record);
            result.actor = record.roller;
            return result;
        }
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
    auto result = describe(command_status::ok, record);
    result.actor = record.roller;
    result.effective_at = record.rolled_at;
    if (!is_repeat) {
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

auto control_state::run(const register_proxy_command& command) -> command_result
{
    const auto& proxy = command.proxy;
    const auto& id = proxy.identity.id;
    if (id.is_empty()) {
        return refuse(command_status::unknown_proxy);
    }
    const auto found = proxies_.find(id);
    if (found == proxies_.end()) {
        proxies_.emplace(id, proxy);
        touch(record_kind::proxy, id.value());
        return {};
    }
    auto& known = found->second;
    auto registered = proxy;
    if (known.identity == proxy.identity) {
        registered.is_draining = known.is_draining || proxy.is_draining;
    } else {
        if (is_superseded(proxy.identity)) {
            return refuse(command_status::stale_incarnation);
        }
        auto& former = former_runs_[id];
        former.push_back(known.identity.run);
        if (former.size() > most_former_runs) {
            former.erase(former.begin());
        }
    }
    if (known != registered) {
        known = registered;
        touch(record_kind::proxy, id.value());
    }
    return {};
}

auto control_state::run(const remove_proxy_command& command) -> command_result
{
    const auto& id = command.proxy.id;
    const auto found = proxies_.find(id);
    if (found == proxies_.end()) {
        return {};
    }
    if (found->second.identity != command.proxy) {
        return refuse(command_status::stale_incarnation);
    }
    if (!targets_held_by(id).empty()) {
        return refuse(command_status::proxy_owns_targets);
    }
    proxies_.erase(found);
    former_runs_.erase(id);
    touch(record_kind::proxy, id.value());
    return {};
}

auto control_state::run(const drain_proxy_command& command) -> command_result
{
    const auto found = proxies_.find(command.proxy.id);
    if (found == proxies_.end()) {
        return refuse(command_status::unknown_proxy);
    }
    auto& proxy = found->second;
    if (proxy.identity != command.proxy) {
        return refuse(command_status::stale_incarnation);
    }
    if (!proxy.is_draining) {
        proxy.is_draining = true;
        touch(record_kind::proxy, command.proxy.id.value());
    }
    return {};
}

auto control_state::is_superseded(const proxy_identity& proxy) const -> bool
{
    const auto* const former = find_in(former_runs_, proxy.id);
    return former != nullptr && std::find(former->begin(), former->end(),
                                          proxy.run) != former->end();
}

auto control_state::check_assignable(const proxy_identity& proxy) const
    -> command_status
{
    const auto* const known = find_proxy(proxy.id);
    if (known == nullptr) {
        return command_status::unknown_proxy;
    }
    if (known->identity != proxy) {
        return command_status::stale_incarnation;
    }
    return known->is_draining ? command_status::proxy_draining
                              : command_status::ok;
}

// Targets

auto control_state::run(const report_targets_command& command) -> command_result
{
    for (const auto& change : command.changes) {
        apply_change(change);
    }
    return {};
}

auto control_state::apply_change(const target_change& change) -> void
{
    if (change.kind == target_change_kind::announced) {
        announce(change.description);
        return;
    }
    const auto found = targets_.find(change.description.id);
    if (found == targets_.end()) {
        return;
    }
    auto& record = found->second;
    if (change.kind == target_change_kind::forgotten) {
        forget_target(record);
        return;
    }
    const auto presence = change.kind == target_change_kind::leaving
                              ? target_presence::leaving
                              : target_presence::gone;
    // Only an announcement brings a target back that is gone.
    if (record.presence != presence && record.presence != target_presence::gone)
    {
        record.presence = presence;
        touch(record_kind::target, found->first.value());
    }
}

auto control_state::announce(const target_description& description) -> void
{
    const auto& id = description.id;
    if (id.is_empty() || !groups_.contains(description.group)) {
        return;
    }
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        if (targets_.size() < most_targets) {
            auto record = target_record{};
            record.description = description;
            members_[description.group].insert(id);
            targets_.emplace(id, std::move(record));
            touch(record_kind::target, id.value());
        }
        return;
    }
    auto& record = found->second;
    // A server moves to another group only after it was forgotten: its owner
    // and its role as a primary belong to the old group.
    if (record.description.group != description.group) {
        return;
    }
    if (record.presence != target_presence::present ||
        record.description != description)
    {
        record.presence = target_presence::present;
        record.description = description;
        touch(record_kind::target, id.value());
    }
}

auto control_state::is_primary(const target_record& record) const -> bool
{
    const auto* const group = find_group(record.description.group);
    return group != nullptr && group->primary &&
           group->primary->target == record.description.id;
}

auto control_state::forget_target(const target_record& record) -> void
{
    if (record.presence == target_presence::gone && !record.owner &&
        !is_primary(record))
    {
        const auto id = record.description.id;
        erase_target(id);
    }
}

auto control_state::erase_target(const target_id& id) -> void
{
    const auto found = targets_.find(id);
    unindex_holder(found->second);
    erase_member(members_, found->second.description.group, id);
    targets_.erase(found);
    touch(record_kind::target, id.value());
}

// Assignments

auto control_state::run(const assign_target_command& command) -> command_result
{
    const auto found = targets_.find(command.target);
    if (found == targets_.end()) {
        return refuse(command_status::unknown_target);
    }
    auto& record = found->second;
    auto result = command_result{};
    result.epoch = record.epoch;
    if (record.epoch != command.expected_epoch) {
        result.status = command_status::stale_epoch;
        return result;
    }
    if (command.owner) {
        result.status = check_assignable(*command.owner);
    }
    if (result.is_ok() && record.owner != command.owner) {
        set_holders(record, command.owner, std::nullopt);
        result.epoch = record.epoch;
    }
    return result;
}

auto control_state::run(const begin_handover_command& command) -> command_result
{
    const auto found = targets_.find(command.target);
    if (found == targets_.end()) {
        return refuse(command_status::unknown_target);
    }
    auto& record = found->second;
    auto result = command_result{};
    result.epoch = record.epoch;
    if (record.epoch != command.expected_epoch) {
        result.status = command_status::stale_epoch;
    } else if (!record.owner) {
        result.status = command_status::not_owner;
    } else if (command.next_owner) {
        result.status = check_assignable(*command.next_owner);
    }
    if (result.is_ok()) {
        const auto next = command.next_owner == record.owner
                              ? std::nullopt
                              : command.next_owner;
        set_holders(record, record.owner, next);
    }
    return result;
}

auto control_state::run(const release_target_command& command) -> command_result
{
    const auto found = targets_.find(command.target);
    if (found == targets_.end()) {
        return refuse(command_status::unknown_target);
    }
    auto& record = found->second;
    auto result = command_result{};
    result.epoch = record.epoch;
    if (record.epoch != command.epoch) {
        result.status = command_status::stale_epoch;
    } else if (record.owner != command.owner) {
        result.status = command_status::not_owner;
    }
    if (result.is_ok()) {
        const auto can_pass_on =
            record.next_owner &&
            check_assignable(*record.next_owner) == command_status::ok;
        set_holders(record, can_pass_on ? record.next_owner : std::nullopt,
                    std::nullopt);
        result.epoch = record.epoch;
    }
    return result;
}

auto control_state::set_holders(target_record& record,
                                const std::optional<proxy_identity>& owner,
                                const std::optional<proxy_identity>& next)
    -> void
{
    if (record.owner == owner && record.next_owner == next) {
        return;
    }
    unindex_holder(record);
    if (record.owner != owner) {
        last_epoch_ = last_epoch_.next();
        record.epoch = last_epoch_;
        record.owner = owner;
    }
    record.next_owner = next;
    index_holder(record);
    touch(record_kind::target, record.description.id.value());
}

auto control_state::index_holder(const target_record& record) -> void
{
    for (const auto* const holder : {&record.owner, &record.next_owner}) {
        if (*holder) {
            held_[(*holder)->id].insert(record.description.id);
        }
    }
}

auto control_state::unindex_holder(const target_record& record) -> void
{
    for (const auto* const holder : {&record.owner, &record.next_owner}) {
        if (*holder) {
            erase_member(held_, (*holder)->id, record.description.id);
        }
    }
}

// Primaries

auto control_state::run(const set_primary_command& command) -> command_result
{
    const auto found = groups_.find(command.group);
    if (found == groups_.end()) {
        return refuse(command_status::unknown_group);
    }
    auto& group = found->second;
    auto& primary = group.primary;
    const auto current = primary ? primary->group_term : term();
    auto result = command_result{};
    result.group_term = current;
    const auto next = current == term() ? command.first_term : current.next();
    if (primary && primary->target == command.primary &&
        primary->claimant == command.claimant &&
        primary->claimant_epoch == command.claimant_epoch &&
        current == (command.expected_term == term()
                        ? command.first_term
                        : command.expected_term.next()))
    {
        result.effective_at = primary->set_at;
        return result;
    }
    const auto* const target = find_target(command.primary);
    if (command.expected_term != current) {
        result.status = command_status::stale_term;
    } else if (target == nullptr ||
               target->description.group != command.group ||
               target->presence == target_presence::gone || next == term())
    {
        result.status = command_status::unsuitable_target;
    } else {
        result.status = check_claim(group, command);
    }
    if (result.is_ok()) {
        primary = primary_record{command.primary, next, command.claimant,
                                 command.claimant_epoch, applied_};
        touch(record_kind::group, command.group.value());
        result.group_term = next;
    }
    return result;
}

auto control_state::check_claim(const group_record& group,
                                const set_primary_command& command) const
    -> command_status
{
    const auto* const primary =
        group.primary ? find_target(group.primary->target) : nullptr;
    if (primary != nullptr) {
        if (primary->owner != command.claimant) {
            return command_status::not_owner;
        }
        return primary->epoch == command.claimant_epoch
                   ? command_status::ok
                   : command_status::stale_epoch;
    }
    for (const auto& id : targets_of(group.config.id)) {
        const auto& member = targets_.at(id);
        if (member.owner == command.claimant &&
            member.epoch == command.claimant_epoch) {
            return command_status::ok;
        }
    }
    return command_status::not_owner;
}

// Look-up

auto control_state::find_group(const group_id& id) const -> const group_record*
{
    return find_in(groups_, id);
}

auto control_state::find_target(const target_id& id) const
    -> const target_record*
{
    return find_in(targets_, id);
}

auto control_state::find_proxy(const proxy_id& id) const -> const proxy_record*
{
    return find_in(proxies_, id);
}

auto control_state::targets_held_by(const proxy_id& id) const
    -> const std::set<target_id>&
{
    return set_in(held_, id);
}

auto control_state::targets_of(const group_id& id) const
    -> const std::set<target_id>&
{
    return set_in(members_, id);
}

// Deltas

auto control_state::touch(record_kind kind, const std::string& name) -> void
{
    auto key = change_key{kind, name};
    const auto [place, is_new] = changed_at_.try_emplace(key, applied_);
    if (!is_new) {
        changes_.erase({place->second, key});
        removals_.erase({place->second, key});
        place->second = applied_;
    }
    changes_.emplace(applied_, key);
    if (!is_present(key)) {
        removals_.emplace(applied_, key);
        trim_removals();
    }
}

auto control_state::is_present(const change_key& key) const -> bool
{
    switch (key.kind) {
    case record_kind::bundle:
        return header_.has_value();
    case record_kind::group:
        return groups_.contains(group_id(key.name));
    case record_kind::target:
        return targets_.contains(target_id(key.name));
    case record_kind::proxy:
        return proxies_.contains(proxy_id(key.name));
    }
    return false;
}

auto control_state::trim_removals() -> void
{
    while (removals_.size() > most_removals) {
        const auto oldest = *removals_.begin();
        oldest_delta_ = oldest.first;
        changed_at_.erase(oldest.second);
        changes_.erase(oldest);
        removals_.erase(removals_.begin());
    }
}

auto control_state::delta_since(log_index since) const -> directory_delta
{
    if (since == log_index() || since < oldest_delta_) {
        return complete_delta();
    }
    auto delta = directory_delta{};
    delta.since = since;
    delta.up_to = applied_;
    const auto first = changes_.lower_bound({since.next(), change_key{}});
    for (auto change = first; change != changes_.end(); ++change) {
        add_change(delta, change->second);
    }
    return delta;
}

auto control_state::add_change(directory_delta& delta,
                               const change_key& key) const -> void
{
    const auto add = [&](const auto& records, const auto& id, auto& changed,
                         auto& removed) {
        if (const auto* const record = find_in(records, id)) {
            changed.push_back(*record);
        } else {
            removed.push_back(id);
        }
    };
    switch (key.kind) {
    case record_kind::bundle:
        delta.bundle = header_;
        break;
    case record_kind::group:
        add(groups_, group_id(key.name), delta.groups, delta.removed_groups);
        break;
    case record_kind::target:
        add(targets_, target_id(key.name), delta.targets,
            delta.removed_targets);
        break;
    case record_kind::proxy:
        add(proxies_, proxy_id(key.name), delta.proxies, delta.removed_proxies);
        break;
    }
}

auto control_state::complete_delta() const -> directory_delta
{
    auto delta = directory_delta{};
    delta.up_to = applied_;
    delta.is_complete = true;
    delta.bundle = header_;
    for (const auto& [id, record] : groups_) {
        delta.groups.push_back(record);
    }
    for (const auto& [id, record] : targets_) {
        delta.targets.push_back(record);
    }
    for (const auto& [id, record] : proxies_) {
        delta.proxies.push_back(record);
    }
    return delta;
}

// Saved form: magic, format, members, SHA-256 of everything before

template <class Archive, class Self>
auto control_state::archive_members(Archive& archive, Self& self) -> void
{
    archive(self.applied_, self.operators_, self.former_operators_,
            self.bootstrap_operators_, self.bootstrapped_at_, self.header_,
            self.contents_, self.records_, self.groups_, self.targets_,
            self.proxies_, self.former_runs_, self.last_epoch_,
            self.changed_at_, self.oldest_delta_);
}

auto control_state::save() const -> std::string
{
    auto archive = strict_output_archive();
    archive(state_magic, state_format);
    archive_members(archive, *this);
    auto bytes = archive.take();
    bytes += checksum(bytes);
    return bytes;
}

auto control_state::load(std::string_view bytes) -> control_state
{
    if (bytes.size() < SHA256_DIGEST_LENGTH) {
        throw decode_error("the saved state is too short");
    }
    const auto payload = bytes.substr(0, bytes.size() - SHA256_DIGEST_LENGTH);
    if (checksum(payload) != bytes.substr(payload.size())) {
        throw decode_error("the saved state does not match its checksum");
    }
    auto archive = strict_input_archive(payload);
    auto magic = std::uint32_t{};
    auto format = std::uint32_t{};
    archive(magic, format);
    if (magic != state_magic || format != state_format) {
        throw decode_error("the saved state has format " +
                           std::to_string(format) + ", not " +
                           std::to_string(state_format));
    }
    auto state = control_state();
    archive_members(archive, state);
    if (archive.left() != 0) {
        throw decode_error("the saved state is followed by other bytes");
    }
    state.rebuild_indexes();
    return state;
}

auto control_state::rebuild_indexes() -> void
{
    for (const auto& [key, index] : changed_at_) {
        changes_.emplace(index, key);
        if (!is_present(key)) {
            removals_.emplace(index, key);
        }
    }
    for (const auto& [id, record] : targets_) {
        members_[record.description.group].insert(id);
        index_holder(record);
    }
}

} // namespace rhubarbrun::inline v1
