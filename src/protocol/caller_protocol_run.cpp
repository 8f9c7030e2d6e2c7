#include "caller_protocol_helpers.hpp"

#include <rhubarbrun/protocol/caller_protocol.hpp>

#include <algorithm>
#include <cctype>
#include <rhubarbrun/protocol/pg_writer.hpp>
#include <rhubarbrun/state/bundle.hpp>
#include <utility>

// How the statements of a caller are run, locally or at a target.

namespace rhubarbrun::inline v1 {

using namespace detail::caller_protocol_helpers;
auto caller_protocol::run(const std::vector<statement_info>& parts,
                          statement body, answer_form form) -> handling
{
    for (const auto& part : parts) {
        if (part.kind == statement_kind::not_carried) {
            fail(sqlstate::feature_not_supported, part.reason);
            return handling::done;
        }
    }
    if (is_transaction_lost_) {
        return run_in_lost_transaction(parts, form);
    }
    if (parts.size() == 1 && is_transaction_end(parts[0]) &&
        !is_in_transaction()) {
        auto out = pg_writer(output_);
        out.fields(pg::notice_response,
                   {{'S', "WARNING"},
                    {'V', "WARNING"},
                    {'C', std::string(no_active_transaction)},
                    {'M', "there is no transaction in progress"}});
        out.command_complete(
            parts[0].kind == statement_kind::commit ? "COMMIT" : "ROLLBACK");
        return handling::done;
    }
    const auto is_in_block =
        is_in_transaction() || parts[0].kind == statement_kind::begin;
    const auto local = std::count_if(parts.begin(), parts.end(),
                                     [&](const statement_info& part) {
                                         return is_local(part, is_in_block);
                                     });
    if (local == 0) {
        return run_at_target(parts, std::move(body), form);
    }
    if (static_cast<std::size_t>(local) != parts.size()) {
        fail(sqlstate::feature_not_supported,
             "settings of the proxy cannot be used in one string with "
             "statements for the target");
        return handling::done;
    }
    for (const auto& part : parts) {
        if (!run_local(part, form)) {
            break;
        }
    }
    return handling::done;
}

auto caller_protocol::run_in_lost_transaction(
    const std::vector<statement_info>& parts, answer_form form) -> handling
{
    if (parts.size() != 1 || !is_transaction_end(parts[0])) {
        fail(failed_transaction, failed_transaction_message);
        return handling::done;
    }
    if (!is_open_at_target_) {
        end_transaction();
        pg_writer(output_).command_complete("ROLLBACK");
        return handling::done;
    }
    auto request = caller_request{};
    request.body.text = "ROLLBACK";
    request.step = transaction_step::end;
    request.is_read_only = is_transaction_read_only_;
    request.shape = "rollback";
    auto running = running_request{};
    running.form = form;
    running.step = transaction_step::end;
    running.is_rollback = true;
    return emit(std::move(request), running);
}

auto caller_protocol::run_at_target(const std::vector<statement_info>& parts,
                                    statement body, answer_form form)
    -> handling
{
    if (is_control_misplaced(parts)) {
        fail(sqlstate::feature_not_supported,
             "a query string may begin or end one transaction only");
        return handling::done;
    }
    const auto& first = parts.front();
    const auto& last = parts.back();
    const auto& values = settings_.values();
    auto request = caller_request{};
    request.is_read_only = values.is_read_only;
    if (is_in_transaction()) {
        request.step = is_transaction_end(last) ? transaction_step::end
                                                : transaction_step::within;
        request.is_read_only = is_transaction_read_only_;
    } else if (first.kind == statement_kind::begin) {
        request.step = transaction_step::begin;
        if (first.mode != access_mode::unspecified) {
            request.is_read_only = first.mode == access_mode::read_only;
        } else if (request.is_read_only) {
            body.text = with_read_only(body.text, first.text);
        }
    }
    for (const auto& part : parts) {
        if (!request.is_read_only) {
            break;
        }
        if (part.kind == statement_kind::set_transaction &&
            part.mode == access_mode::read_write)
        {
            fail(sqlstate::feature_not_supported,
                 "a read-only transaction cannot become read-write");
            return handling::done;
        }
        // Within a transaction the target itself refuses writes.
        if (part.kind == statement_kind::write &&
            request.step == transaction_step::single)
        {
            fail(read_only_transaction,
                 "cannot execute a write in a read-only transaction");
            return handling::done;
        }
    }
    request.is_idempotent = values.is_idempotent || request.is_read_only;
    if (!request.is_read_only && (request.step == transaction_step::single ||
                                  request.step == transaction_step::begin))
    {
        request.key = settings_.use_key();
    }
    request.shape = statement_shape(body.text);
    auto running = running_request{};
    running.form = form;
    running.step = request.step;
    running.is_read_only = request.is_read_only;
    running.is_rollback = last.kind == statement_kind::rollback &&
                          request.step == transaction_step::end;
    running.result_format = body.result_format;
    request.body = std::move(body);
    return emit(std::move(request), running);
}

auto caller_protocol::emit(caller_request request, running_request running)
    -> handling
{
    const auto& values = settings_.values();
    request.hinted_class = values.hinted_class;
    request.max_age = values.max_age;
    request.deadline = values.deadline > duration::zero() ? values.deadline
                                                          : default_deadline();
    running_ = running;
    events_.emplace_back(std::move(request));
    return handling::running;
}

auto caller_protocol::default_deadline() const -> duration
{
    return options_.default_deadline
               ? options_.default_deadline(database_)
               : std::chrono::milliseconds(group_limits{}.deadline_ms);
}

auto caller_protocol::is_local(const statement_info& info,
                               bool is_in_block) const -> bool
{
    switch (info.kind) {
    case statement_kind::set:
        return session_settings::is_own(info.name) || !info.is_local ||
               !is_in_block || info.name == "transaction_read_only" ||
               info.name == "standard_conforming_strings";
    case statement_kind::set_transaction:
        return !is_in_block;
    case statement_kind::show:
        return session_settings::is_own(info.name);
    case statement_kind::reset:
    case statement_kind::discard_all:
    case statement_kind::deallocate:
        return true;
    default:
        return false;
    }
}

auto caller_protocol::run_local(const statement_info& info, answer_form form)
    -> bool
{
    if (status_ == transaction_status::failed) {
        return fail(failed_transaction, failed_transaction_message);
    }
    switch (info.kind) {
    case statement_kind::set:
        return run_set(info);
    case statement_kind::reset:
        return run_reset(info);
    case statement_kind::show:
        return run_show(info, form);
    case statement_kind::deallocate:
        return run_deallocate(info);
    case statement_kind::discard_all:
        if (is_in_transaction()) {
            return fail(active_transaction, "DISCARD ALL cannot run inside a "
                                            "transaction block");
        }
        settings_.reset_all();
        forget_portals();
        while (!prepared_.empty()) {
            forget_statement(prepared_.begin()->first);
        }
        pg_writer(output_).command_complete("DISCARD ALL");
        return true;
    default:
        // SET TRANSACTION outside a transaction has no effect.
        pg_writer(output_).command_complete("SET");
        return true;
    }
}

auto caller_protocol::run_set(const statement_info& info) -> bool
{
    if (info.name == token_setting) {
        const auto token = info.value.value_or("");
        if (options_.is_valid_token && !options_.is_valid_token(token)) {
            return fail(sqlstate::invalid_parameter_value,
                        "rhubarbrun.session_token is not valid");
        }
        token_ = token;
        events_.emplace_back(session_token_presented{token});
    } else if (session_settings::is_own(info.name)) {
        if (info.is_local && !is_in_transaction()) {
            // Without a transaction SET LOCAL has no effect.
            pg_writer(output_).command_complete("SET");
            return true;
        }
        if (const auto fault =
                settings_.set(info.name, info.value, info.is_local)) {
            return fail(sqlstate::invalid_parameter_value, *fault);
        }
    } else if (is_in_transaction() && !info.is_local) {
        return fail(sqlstate::feature_not_supported,
                    "SET inside a transaction must be SET LOCAL");
    } else if (info.value && !is_target_setting(info.name, *info.value)) {
        return fail(sqlstate::feature_not_supported,
                    "setting " + info.name +
                        " cannot have this value, as connections to targets "
                        "are shared; use SET LOCAL in a transaction");
    }
    pg_writer(output_).command_complete("SET");
    return true;
}

auto caller_protocol::run_reset(const statement_info& info) -> bool
{
    if (info.name == "all") {
        settings_.reset_all();
    } else if (session_settings::is_own(info.name) &&
               info.name != token_setting) {
        if (const auto fault = settings_.set(info.name, {}, false)) {
            return fail(sqlstate::invalid_parameter_value, *fault);
        }
    } else if (is_in_transaction()) {
        return fail(sqlstate::feature_not_supported,
                    "RESET inside a transaction is not carried");
    }
    pg_writer(output_).command_complete("RESET");
    return true;
}

auto caller_protocol::run_show(const statement_info& info, answer_form form)
    -> bool
{
    const auto value = info.name == token_setting ? std::optional(token_)
                                                  : settings_.show(info.name);
    if (!value) {
        return fail(sqlstate::invalid_parameter_value,
                    "setting " + info.name + " does not exist");
    }
    auto out = pg_writer(output_);
    if (form == answer_form::simple_query) {
        out.row_description(show_columns(info.name));
    }
    out.data_row({*value});
    out.command_complete("SHOW");
    return true;
}

auto caller_protocol::run_deallocate(const statement_info& info) -> bool
{
    if (info.name == "all") {
        while (!prepared_.empty()) {
            forget_statement(prepared_.begin()->first);
        }
        pg_writer(output_).command_complete("DEALLOCATE ALL");
        return true;
    }
    if (!prepared_.contains(info.name)) {
        return fail(invalid_statement_name,
                    "prepared statement does not exist");
    }
    forget_statement(info.name);
    pg_writer(output_).command_complete("DEALLOCATE");
    return true;
}

// Answers

} // namespace rhubarbrun::inline v1
