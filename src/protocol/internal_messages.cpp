#include <rhubarbrun/protocol/internal_messages.hpp>

#include <algorithm>
#include <variant>

namespace rhubarbrun::inline v1 {

namespace {

template <class Enumeration>
auto is_at_most(Enumeration value, Enumeration last) noexcept -> bool
{
    return value <= last;
}

/// Ids become parts of application names, logs and file contents.
constexpr auto longest_id = std::size_t{64};
constexpr auto longest_address = std::size_t{45};
/// First version in which a lease answer counts the other live proxies.
constexpr auto lease_count_version = std::uint8_t{2};

auto is_id(const std::string& text) noexcept -> bool
{
    return !text.empty() && text.size() <= longest_id;
}

/// A lease answer as version 1 of the protocol has it.
struct lease_answer_without_count
{
    lease_answer value;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(value.proxy, value.status, value.sent_at_us, value.duration_us,
                value.required_index, value.directory_index);
    }
};

auto is_well_formed(const lease_answer_without_count& answer) noexcept -> bool
{
    return rhubarbrun::is_well_formed(answer.value);
}

auto is_well_formed_target(const target_description& target) noexcept -> bool
{
    return is_id(target.id.value()) && is_id(target.group.value()) &&
           target.zone.value().size() <= longest_id &&
           target.address.size() <= longest_address;
}

} // namespace

auto is_well_formed(const statement& value) noexcept -> bool
{
    return is_at_most(value.form, statement_form::describe) &&
           (value.result_format == 0 || value.result_format == 1) &&
           value.parameter_formats.size() == value.parameters.size();
}

auto is_well_formed(const execute_request& value) noexcept -> bool
{
    return is_well_formed(value.body) &&
           is_at_most(value.step, transaction_step::end) &&
           (!value.hinted_class ||
            is_at_most(*value.hinted_class, work_class::report));
}

auto is_well_formed(const execute_reply& value) noexcept -> bool
{
    const auto is_status = value.status == transaction_status::idle ||
                           value.status == transaction_status::in_transaction ||
                           value.status == transaction_status::failed;
    return is_status && (!value.error || is_at_most(value.error->outcome,
                                                    verdict::may_have_run));
}

auto is_well_formed(const lease_answer& value) noexcept -> bool
{
    return is_at_most(value.status, lease_status::reassigning) &&
           value.duration_us >= 0;
}

auto encode_lease_answer(const lease_answer& value, std::uint8_t version)
    -> std::string
{
    return version >= lease_count_version
               ? encode(value)
               : encode(lease_answer_without_count{value});
}

auto decode_lease_answer(const std::string& payload, std::uint8_t version)
    -> std::optional<lease_answer>
{
    if (version >= lease_count_version) {
        return decode<lease_answer>(payload);
    }
    const auto answer = decode<lease_answer_without_count>(payload);
    return answer ? std::optional(answer->value) : std::nullopt;
}

auto is_well_formed(const directory_delta& value) noexcept -> bool
{
    const auto has_mode = [](const group_record& group) {
        return is_at_most(group.config.acknowledge,
                          acknowledge_mode::second_server);
    };
    const auto has_presence = [](const target_record& target) {
        return is_at_most(target.presence, target_presence::gone);
    };
    return value.since <= value.up_to &&
           std::all_of(value.groups.begin(), value.groups.end(), has_mode) &&
           std::all_of(value.targets.begin(), value.targets.end(),
                       has_presence);
}

auto is_well_formed(const announcement_report& value) noexcept -> bool
{
    const auto is_heard = [](const reported_target& heard) {
        return is_id(heard.id.value()) &&
               (!heard.description ||
                (is_well_formed_target(*heard.description) &&
                 heard.description->id == heard.id));
    };
    return is_id(value.reporter.id.value()) &&
           std::all_of(value.targets.begin(), value.targets.end(), is_heard);
}

auto is_well_formed(const register_proxy& value) noexcept -> bool
{
    const auto& proxy = value.proxy;
    return is_id(proxy.identity.id.value()) && is_id(proxy.zone.value()) &&
           !proxy.address.empty() && proxy.address.size() <= longest_address &&
           proxy.http_address.size() <= longest_address &&
           proxy.tcp_port != 0 && proxy.udp_port != 0;
}

auto is_well_formed(const command_answer& value) noexcept -> bool
{
    return is_at_most(value.outcome, command_outcome::forbidden) &&
           is_at_most(value.result.status, command_status::unsuitable_target);
}

auto is_well_formed(const consensus_message& value) noexcept -> bool
{
    const auto is_known = [](const group_member& member) {
        return is_at_most(member.role, member_role::voter);
    };
    const auto is_valid = [&](const membership& group) {
        return std::all_of(group.members.begin(), group.members.end(),
                           is_known);
    };
    if (const auto* append = std::get_if<append_request>(&value.body)) {
        return std::all_of(
            append->entries.begin(), append->entries.end(),
            [&](const log_entry& entry) {
                return is_at_most(entry.kind, entry_kind::configuration) &&
                       (!entry.configuration || is_valid(*entry.configuration));
            });
    }
    if (const auto* chunk = std::get_if<snapshot_chunk>(&value.body)) {
        return is_valid(chunk->metadata.configuration);
    }
    return true;
}

auto to_string(command_outcome outcome) noexcept -> std::string_view
{
    switch (outcome) {
    case command_outcome::applied:
        return "applied";
    case command_outcome::not_accepted:
        return "not_accepted";
    case command_outcome::unknown:
        return "unknown";
    case command_outcome::forbidden:
        return "forbidden";
    }
    return "invalid";
}

} // namespace rhubarbrun::inline v1
