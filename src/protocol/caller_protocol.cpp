#include "caller_protocol_helpers.hpp"

#include <rhubarbrun/protocol/caller_protocol.hpp>

#include <algorithm>
#include <cctype>
#include <rhubarbrun/protocol/pg_writer.hpp>
#include <utility>

namespace rhubarbrun::inline v1 {

using namespace detail::caller_protocol_helpers;

caller_protocol::caller_protocol(caller_protocol_options options)
    : options_(std::move(options)), reader_(options_.max_frame_bytes, true)
{
    // A whole message must fit, or the queue could never make progress.
    options_.max_queued_bytes =
        std::max(options_.max_queued_bytes,
                 2 * (options_.max_frame_bytes + frame_header_bytes));
}

auto caller_protocol::wants_input() const noexcept -> bool
{
    return phase_ != phase::ended &&
           queue_.size() < options_.max_queued_messages &&
           queued_bytes_ + reader_.buffered_bytes() < options_.max_queued_bytes;
}

auto caller_protocol::feed(std::string_view bytes) -> caller_events
{
    if (phase_ == phase::ended) {
        return {};
    }
    reader_.feed(bytes);
    return advance();
}

auto caller_protocol::resume() -> caller_events
{
    return advance();
}

auto caller_protocol::take_output() -> std::string
{
    return std::exchange(output_, {});
}

auto caller_protocol::queue_frames() -> void
{
    while (phase_ != phase::ended) {
        auto frame = reader_.next();
        if (!frame) {
            return;
        }
        if (phase_ == phase::startup) {
            on_startup(frame->body);
        } else if (phase_ == phase::waiting_for_accept) {
            throw protocol_error("message before the end of startup");
        } else {
            queued_bytes_ += frame->body.size() + frame_header_bytes;
            queue_.push_back(std::move(*frame));
        }
    }
}

auto caller_protocol::advance() -> caller_events
{
    try {
        queue_frames();
        while (phase_ == phase::ready && !running_ && !queue_.empty() &&
               output_.size() <= options_.max_buffered_output)
        {
            // The frame stays in the queue, as the handlers look at those
            // behind it.
            const auto result = on_message(queue_.front());
            if (result == handling::wait_for_more) {
                if (!wants_input()) {
                    throw protocol_error("too many messages without Sync");
                }
                break;
            }
            if (phase_ != phase::ended) {
                queued_bytes_ -=
                    queue_.front().body.size() + frame_header_bytes;
                queue_.pop_front();
            }
        }
    } catch (const protocol_error& error) {
        fail_protocol(error.what());
    }
    if (is_draining_) {
        end_between_statements();
    }
    return std::exchange(events_, {});
}

auto caller_protocol::end_session(std::string reason) -> void
{
    phase_ = phase::ended;
    queue_.clear();
    queued_bytes_ = 0;
    events_.emplace_back(session_ended{std::move(reason)});
}

auto caller_protocol::fail_protocol(std::string_view message) -> void
{
    if (phase_ == phase::ended) {
        return;
    }
    pg_writer(output_).error("FATAL", sqlstate::protocol_violation, message);
    end_session("protocol_error");
}

// Startup

auto caller_protocol::on_startup(std::string_view body) -> void
{
    auto reader = pg_field_reader(body);
    const auto version = reader.read_uint32();
    if (version == pg::ssl_request || version == pg::gssenc_request) {
        reader.expect_end();
        output_.push_back('N');
        return;
    }
    if (version == pg::cancel_request) {
        auto key = backend_key{};
        key.process = reader.read_uint32();
        key.secret = reader.read_uint32();
        reader.expect_end();
        events_.emplace_back(cancel_received{key});
        end_session("cancel_request");
        return;
    }
    if ((version >> 16U) != (pg::version_3_0 >> 16U)) {
        refuse_start(sqlstate::feature_not_supported,
                     "only protocol 3.0 is carried");
        return;
    }
    if (version != pg::version_3_0) {
        auto out = pg_writer(output_);
        out.begin('v');
        out.put_uint32(0);
        out.put_uint32(0);
        out.end();
    }
    start_session(body);
}

auto caller_protocol::refuse_start(std::string_view code,
                                   std::string_view message) -> void
{
    pg_writer(output_).error("FATAL", code, message);
    end_session("refused");
}

auto caller_protocol::set_at_start(const std::string& name,
                                   const std::string& value,
                                   session_start& start) -> bool
{
    if (name == token_setting) {
        if (options_.is_valid_token && !options_.is_valid_token(value)) {
            refuse_start(sqlstate::invalid_parameter_value,
                         "rhubarbrun.session_token is not valid");
            return false;
        }
        start.session_token = value;
        return true;
    }
    if (session_settings::is_own(name)) {
        const auto fault = settings_.set(name, value, false);
        if (fault) {
            refuse_start(sqlstate::invalid_parameter_value, *fault);
        }
        return !fault;
    }
    if (name == "application_name") {
        start.application_name = value;
        return true;
    }
    if (name.starts_with("_pq_.") || is_target_setting(name, value) ||
        (name == "replication" &&
         (value == "false" || value == "off" || value == "0")))
    {
        return true;
    }
    refuse_start(sqlstate::feature_not_supported,
                 "startup parameter " + name +
                     " cannot have this value on pooled connections");
    return false;
}

auto caller_protocol::start_session(std::string_view body) -> void
{
    auto start = session_start{};
    for (const auto& [name, value] : parse_startup(body)) {
        if (name == "user") {
            start.user = value;
        } else if (name == "database") {
            start.database = value;
        } else if (name == "options") {
            const auto pairs = parse_startup_options(value);
            if (!pairs) {
                refuse_start(sqlstate::invalid_parameter_value,
                             "startup options must be -c name=value");
                return;
            }
            for (const auto& [option, text] : *pairs) {
                if (!set_at_start(option, text, start)) {
                    return;
                }
            }
        } else if (!set_at_start(lower(name), value, start)) {
            return;
        }
    }
    if (start.user.empty()) {
        refuse_start(invalid_authorization, "no user name was given");
        return;
    }
    if (start.database.empty()) {
        start.database = start.user;
    }
    settings_.keep_as_start_values();
    if (options_.authenticate) {
        if (const auto refusal = options_.authenticate(start)) {
            refuse_start(refusal->code, refusal->message);
            return;
        }
    }
    reader_.end_startup();
    phase_ = phase::waiting_for_accept;
    user_ = start.user;
    database_ = start.database;
    application_name_ = start.application_name;
    events_.emplace_back(std::move(start));
}

auto caller_protocol::accept(const backend_key& key, std::string token)
    -> caller_events
{
    if (phase_ != phase::waiting_for_accept) {
        return {};
    }
    auto out = pg_writer(output_);
    out.authentication_ok();
    out.parameter_status("server_version", options_.server_version);
    out.parameter_status("server_encoding", "UTF8");
    out.parameter_status("client_encoding", "UTF8");
    out.parameter_status("DateStyle", "ISO, MDY");
    out.parameter_status("IntervalStyle", "postgres");
    out.parameter_status("TimeZone", "UTC");
    out.parameter_status("integer_datetimes", "on");
    out.parameter_status("standard_conforming_strings", "on");
    out.parameter_status("is_superuser", "off");
    out.parameter_status("session_authorization", user_);
    out.parameter_status("application_name", application_name_);
    report_token(std::move(token));
    out.backend_key_data(key);
    out.ready_for_query(status_);
    phase_ = phase::ready;
    return advance();
}

auto caller_protocol::refuse(const request_error& error) -> caller_events
{
    if (phase_ == phase::waiting_for_accept) {
        auto detail = std::string{};
        if (error.retry_after > duration::zero()) {
            detail = "retry_after_ms=" +
                     std::to_string(to_milliseconds(error.retry_after));
        }
        pg_writer(output_).error("FATAL", code_for_caller(error), error.message,
                                 detail);
        end_session("refused");
    }
    return std::exchange(events_, {});
}

auto caller_protocol::drain() -> caller_events
{
    is_draining_ = true;
    return advance();
}

auto caller_protocol::end_if_idle() -> caller_events
{
    end_between_statements();
    return std::exchange(events_, {});
}

auto caller_protocol::end_between_statements() -> void
{
    // Messages that have arrived are answered first, so that 57P01 is never
    // the answer to a request.
    if (phase_ != phase::ready || running_ ||
        status_ != transaction_status::idle || is_in_batch_ ||
        !queue_.empty() || reader_.buffered_bytes() > 0)
    {
        return;
    }
    pg_writer(output_).error("FATAL", sqlstate::admin_shutdown,
                             "the proxy is shutting down; connect again");
    end_session("drained");
}

auto caller_protocol::report_token(std::string token) -> void
{
    if (token.empty() || token == token_) {
        return;
    }
    token_ = std::move(token);
    pg_writer(output_).parameter_status(token_setting, token_);
}

// Messages

auto caller_protocol::on_message(const pg_frame& frame) -> handling
{
    const auto is_extended =
        std::string_view("PBDEC").find(frame.type) != std::string_view::npos;
    is_in_batch_ = is_in_batch_ || is_extended;
    if (is_skipping_to_sync_ && frame.type != pg::sync &&
        frame.type != pg::terminate)
    {
        return handling::done;
    }
    switch (frame.type) {
    case pg::query:
        return on_query(frame.body);
    case pg::parse:
        on_parse(frame.body);
        return handling::done;
    case pg::bind:
        on_bind(frame.body);
        return handling::done;
    case pg::describe:
        return on_describe(frame.body);
    case pg::execute:
        return on_execute(frame.body);
    case pg::close:
        on_close(frame.body);
        return handling::done;
    case pg::sync:
        on_sync();
        return handling::done;
    case pg::flush:
    case pg::copy_data:
    case pg::copy_done:
    case pg::copy_fail:
        // Output is never held back; COPY messages may still arrive after
        // COPY was refused.
        return handling::done;
    case pg::terminate:
        end_session("terminate");
        return handling::done;
    case pg::function_call:
        pg_writer(output_).error("ERROR", sqlstate::feature_not_supported,
                                 "function calls are not carried");
        finish_simple();
        return handling::done;
    default:
        throw protocol_error("message type is not known");
    }
}

auto caller_protocol::fail(std::string_view code, std::string_view message)
    -> bool
{
    pg_writer(output_).error("ERROR", code, message);
    is_skipping_to_sync_ = is_in_batch_;
    is_described_ = false;
    // As in PostgreSQL, an error ends the use of the transaction. The target
    // does not know of it, so its transaction stays open until ROLLBACK.
    if (status_ == transaction_status::in_transaction) {
        status_ = transaction_status::failed;
        is_transaction_lost_ = true;
        is_open_at_target_ = true;
    }
    return false;
}

auto caller_protocol::finish_simple() -> void
{
    is_in_batch_ = false;
    is_skipping_to_sync_ = false;
    has_run_since_sync_ = false;
    pg_writer(output_).ready_for_query(status_);
}

auto caller_protocol::on_sync() -> void
{
    is_described_ = false;
    if (status_ == transaction_status::idle) {
        forget_portals();
    }
    finish_simple();
}

auto caller_protocol::on_query(std::string_view body) -> handling
{
    auto text = parse_query(body);
    is_in_batch_ = false;
    const auto parts = split_statements(text);
    auto result = handling::done;
    if (parts.empty()) {
        pg_writer(output_).empty(pg::empty_query);
    } else {
        auto simple = statement{};
        simple.text = text;
        result = run(parts, std::move(simple), answer_form::simple_query);
    }
    if (result == handling::done) {
        finish_simple();
    }
    return result;
}

auto caller_protocol::complete(const execute_reply& reply,
                               std::optional<std::string> new_token)
    -> caller_events
{
    if (!running_ || phase_ == phase::ended) {
        return {};
    }
    const auto is_simple = running_->form == answer_form::simple_query;
    auto is_good = false;
    if (reply.error) {
        is_good =
            running_->is_rollback && reply.status == transaction_status::idle;
        auto out = pg_writer(output_);
        if (is_good) {
            out.command_complete("ROLLBACK");
        } else {
            write_request_error(out, *reply.error);
        }
    } else {
        is_good = append_answer(reply);
    }
    apply_status(reply);
    running_.reset();
    is_skipping_to_sync_ = !is_simple && !is_good;
    if (new_token) {
        report_token(std::move(*new_token));
    }
    if (is_simple) {
        finish_simple();
    }
    return advance();
}

auto caller_protocol::append_answer(const execute_reply& reply) -> bool
{
    const auto form = running_->form;
    const auto is_describe = form == answer_form::describe_statement ||
                             form == answer_form::describe_portal;
    auto has_error = false;
    auto has_description = false;
    auto body = std::string{};
    try {
        for_each_frame(reply.answer, [&](char type, std::string_view whole,
                                         std::string_view fields) {
            has_error = has_error || type == pg::error_response;
            has_description = has_description || type == pg::row_description;
            const auto is_left_out =
                (form == answer_form::execute && type == pg::row_description) ||
                (form == answer_form::describe_portal &&
                 type == pg::parameter_description) ||
                (is_describe && type == pg::command_complete);
            if (is_left_out) {
                return;
            }
            if (form == answer_form::describe_portal &&
                type == pg::row_description) {
                auto columns = parse_row_description(fields);
                for (auto& column : columns) {
                    column.format = running_->result_format;
                }
                pg_writer(body).row_description(columns);
                return;
            }
            body += whole;
        });
    } catch (const protocol_error&) {
        pg_writer(output_).error("ERROR", internal_error,
                                 "the answer of the target is malformed");
        return false;
    }
    if (form == answer_form::execute_described && !has_description &&
        !has_error) {
        pg_writer(output_).empty(pg::no_data);
    }
    output_ += body;
    return !has_error;
}

auto caller_protocol::end_transaction() -> void
{
    status_ = transaction_status::idle;
    is_transaction_lost_ = false;
    is_open_at_target_ = false;
    is_transaction_read_only_ = false;
    settings_.end_transaction();
}

auto caller_protocol::apply_status(const execute_reply& reply) -> void
{
    const auto is_open = reply.status != transaction_status::idle;
    const auto was_open = status_ != transaction_status::idle;
    const auto is_end = running_->step == transaction_step::end;
    if (running_->step == transaction_step::begin && is_open) {
        is_transaction_read_only_ = running_->is_read_only;
    }
    if (!reply.error) {
        status_ = reply.status;
        is_transaction_lost_ = false;
        if (!is_open) {
            end_transaction();
        }
        return;
    }
    if (is_open || (was_open && !is_end)) {
        // The caller must end the transaction itself, or its next statement
        // would run outside of it.
        status_ = transaction_status::failed;
        is_transaction_lost_ = true;
        is_open_at_target_ = is_open;
        return;
    }
    end_transaction();
}

} // namespace rhubarbrun::inline v1
