#include "caller_protocol_helpers.hpp"

#include <rhubarbrun/protocol/caller_protocol.hpp>

#include <algorithm>
#include <cctype>
#include <rhubarbrun/protocol/pg_writer.hpp>
#include <utility>

// The extended query protocol of a caller connection.

namespace rhubarbrun::inline v1 {

using namespace detail::caller_protocol_helpers;
auto caller_protocol::has_room(std::size_t bytes) const noexcept -> bool
{
    return prepared_.size() + portals_.size() < options_.max_prepared &&
           prepared_bytes_ + bytes <= options_.max_prepared_bytes;
}

auto caller_protocol::on_parse(std::string_view body) -> void
{
    auto message = parse_parse(body);
    const auto parts = split_statements(message.text);
    if (parts.size() > 1) {
        fail(syntax_error,
             "cannot insert multiple commands into a prepared statement");
        return;
    }
    if (!parts.empty() && parts[0].kind == statement_kind::not_carried) {
        fail(sqlstate::feature_not_supported, parts[0].reason);
        return;
    }
    if (message.statement.empty()) {
        forget_statement("");
    } else if (prepared_.contains(message.statement)) {
        fail(duplicate_statement, "prepared statement already exists");
        return;
    }
    const auto bytes = message.text.size() + message.statement.size() +
                       message.parameter_types.size() * sizeof(std::uint32_t);
    if (!has_room(bytes)) {
        fail(sqlstate::program_limit_exceeded,
             "too many prepared statements and portals in the session");
        return;
    }
    prepared_bytes_ += bytes;
    prepared_[std::move(message.statement)] = prepared{
        std::move(message.text), std::move(message.parameter_types), bytes};
    pg_writer(output_).empty(pg::parse_complete);
}

auto caller_protocol::forget_statement(std::string_view name) -> void
{
    const auto found = prepared_.find(name);
    if (found != prepared_.end()) {
        prepared_bytes_ -= found->second.bytes;
        prepared_.erase(found);
    }
}

auto caller_protocol::forget_portal(std::string_view name) -> void
{
    const auto found = portals_.find(name);
    if (found != portals_.end()) {
        prepared_bytes_ -= found->second.bytes;
        portals_.erase(found);
    }
}

auto caller_protocol::forget_portals() -> void
{
    while (!portals_.empty()) {
        forget_portal(portals_.begin()->first);
    }
}

auto caller_protocol::on_bind(std::string_view body) -> void
{
    auto message = parse_bind(body);
    const auto found = prepared_.find(message.statement);
    if (found == prepared_.end()) {
        fail(invalid_statement_name, "prepared statement does not exist");
        return;
    }
    if (message.portal.empty()) {
        forget_portal("");
    } else if (portals_.contains(message.portal)) {
        fail(duplicate_cursor, "portal already exists");
        return;
    }
    const auto& formats = message.result_formats;
    if (std::adjacent_find(formats.begin(), formats.end(),
                           std::not_equal_to<>()) != formats.end())
    {
        fail(sqlstate::feature_not_supported,
             "result columns in different formats are not carried");
        return;
    }
    auto made = portal{};
    made.bytes = found->second.bytes + body.size();
    if (!has_room(made.bytes)) {
        fail(sqlstate::program_limit_exceeded,
             "too many prepared statements and portals in the session");
        return;
    }
    made.body.form = statement_form::parameterized;
    made.body.text = found->second.text;
    made.body.parameter_types = found->second.types;
    made.body.result_format = formats.empty() ? std::int16_t{0} : formats[0];
    made.body.parameter_formats = std::move(message.parameter_formats);
    made.body.parameter_formats.resize(message.parameters.size(),
                                       made.body.parameter_formats.empty()
                                           ? std::int16_t{0}
                                           : made.body.parameter_formats[0]);
    made.body.parameters = std::move(message.parameters);
    prepared_bytes_ += made.bytes;
    portals_[std::move(message.portal)] = std::move(made);
    pg_writer(output_).empty(pg::bind_complete);
}

auto caller_protocol::on_close(std::string_view body) -> void
{
    const auto message = parse_object(body);
    if (message.kind == 'S') {
        forget_statement(message.name);
    } else {
        forget_portal(message.name);
    }
    pg_writer(output_).empty(pg::close_complete);
}

auto caller_protocol::on_describe(std::string_view body) -> handling
{
    const auto message = parse_object(body);
    const auto is_portal = message.kind == 'P';
    auto wanted = statement{};
    if (is_portal) {
        const auto found = portals_.find(message.name);
        if (found == portals_.end()) {
            fail(invalid_cursor_name, "portal does not exist");
            return handling::done;
        }
        wanted.text = found->second.body.text;
        wanted.parameter_types = found->second.body.parameter_types;
        wanted.result_format = found->second.body.result_format;
    } else {
        const auto found = prepared_.find(message.name);
        if (found == prepared_.end()) {
            fail(invalid_statement_name, "prepared statement does not exist");
            return handling::done;
        }
        wanted.text = found->second.text;
        wanted.parameter_types = found->second.types;
    }
    const auto parts = split_statements(wanted.text);
    if (parts.empty() || is_transaction_control(parts[0]) ||
        is_local(parts[0], is_in_transaction()))
    {
        auto out = pg_writer(output_);
        if (!is_portal) {
            out.parameter_description({});
        }
        if (!parts.empty() && parts[0].kind == statement_kind::show) {
            out.row_description(show_columns(parts[0].name));
        } else {
            out.empty(pg::no_data);
        }
        return handling::done;
    }
    if (!is_portal) {
        return emit_describe(std::move(wanted),
                             answer_form::describe_statement);
    }
    // Drivers send Describe and Execute of a portal together; the result of
    // Execute then describes itself, which saves a round trip to the target.
    if (queue_.size() < 2) {
        return handling::wait_for_more;
    }
    if (queue_[1].type == pg::execute) {
        const auto next = parse_execute(queue_[1].body);
        if (next.portal == message.name && next.row_limit == 0) {
            is_described_ = true;
            return handling::done;
        }
    }
    return emit_describe(std::move(wanted), answer_form::describe_portal);
}

auto caller_protocol::emit_describe(statement body, answer_form form)
    -> handling
{
    if (is_transaction_lost_) {
        fail(failed_transaction, failed_transaction_message);
        return handling::done;
    }
    auto request = caller_request{};
    request.shape = statement_shape(body.text);
    request.body = std::move(body);
    request.body.form = statement_form::describe;
    request.step = is_in_transaction() ? transaction_step::within
                                       : transaction_step::single;
    request.is_read_only = is_in_transaction()
                               ? is_transaction_read_only_
                               : settings_.values().is_read_only;
    request.is_idempotent = true;
    auto running = running_request{};
    running.form = form;
    running.result_format = request.body.result_format;
    return emit(std::move(request), running);
}

auto caller_protocol::on_execute(std::string_view body) -> handling
{
    const auto message = parse_execute(body);
    const auto found = portals_.find(message.portal);
    if (found == portals_.end()) {
        fail(invalid_cursor_name, "portal does not exist");
        return handling::done;
    }
    if (message.row_limit != 0) {
        fail(sqlstate::feature_not_supported,
             "row limits of Execute are not carried");
        return handling::done;
    }
    const auto& wanted = found->second.body;
    const auto parts = split_statements(wanted.text);
    if (parts.empty()) {
        pg_writer(output_).empty(pg::empty_query);
        return handling::done;
    }
    const auto is_alone = !is_in_transaction() &&
                          !is_transaction_control(parts[0]) &&
                          !is_local(parts[0], false);
    if (is_alone) {
        if (const auto decided = check_batch()) {
            return *decided;
        }
        has_run_since_sync_ = true;
    }
    const auto form = std::exchange(is_described_, false)
                          ? answer_form::execute_described
                          : answer_form::execute;
    return run(parts, wanted, form);
}

auto caller_protocol::check_batch() -> std::optional<handling>
{
    // PostgreSQL runs all statements up to Sync as one transaction. Here each
    // would commit on its own, so that a later failure would leave a part.
    constexpr auto message = std::string_view(
        "several statements before Sync need an explicit transaction");
    if (has_run_since_sync_) {
        fail(sqlstate::feature_not_supported, message);
        return handling::done;
    }
    for (auto index = std::size_t{1}; index < queue_.size(); ++index) {
        const auto type = queue_[index].type;
        if (type == pg::sync || type == pg::flush || type == pg::query ||
            type == pg::terminate)
        {
            return std::nullopt;
        }
        if (type == pg::execute) {
            fail(sqlstate::feature_not_supported, message);
            return handling::done;
        }
    }
    return handling::wait_for_more;
}

// Statements

} // namespace rhubarbrun::inline v1
