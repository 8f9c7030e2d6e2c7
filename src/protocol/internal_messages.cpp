#include <rhubarbrun/protocol/internal_messages.hpp>

#include <algorithm>

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

auto is_id(const std::string& text) noexcept -> bool
{
    return !text.empty() && text.size() <= longest_id;
}

auto is_well_formed_target(const reported_target& target) noexcept -> bool
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
           is_at_most(value.priority, work_class::report) &&
           value.max_age_us >= 0;
}

auto is_well_formed(const execute_reply& value) noexcept -> bool
{
    const auto is_status = value.status == transaction_status::idle ||
                           value.status == transaction_status::in_transaction ||
                           value.status == transaction_status::failed;
    return is_status && (!value.error || is_at_most(value.error->outcome,
                                                    verdict::may_have_run));
}

auto is_well_formed(const register_proxy& value) noexcept -> bool
{
    return is_id(value.id.value()) && is_id(value.zone.value()) &&
           !value.address.empty() && value.address.size() <= longest_address &&
           value.peer_port != 0;
}

auto is_well_formed(const target_report& value) noexcept -> bool
{
    return is_id(value.reporter.value()) &&
           std::all_of(value.changes.begin(), value.changes.end(),
                       is_well_formed_target);
}

auto is_well_formed(const propose_primary_answer& value) noexcept -> bool
{
    return is_at_most(value.outcome, command_outcome::busy);
}

auto is_well_formed(const command_answer& value) noexcept -> bool
{
    return is_at_most(value.outcome, command_outcome::busy);
}

} // namespace rhubarbrun::inline v1
