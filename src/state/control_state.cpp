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

namespace rhubarbrun::inline v1 {

using namespace detail::control_state_helpers;

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
