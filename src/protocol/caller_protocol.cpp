#include <rhubarbrun/protocol/caller_protocol.hpp>

#include <rhubarbrun/protocol/pg_writer.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto token_setting = std::string_view("rhubarbrun.session_token");
constexpr auto failed_transaction = std::string_view("25P02");
constexpr auto failed_transaction_message =
    std::string_view("current transaction is aborted, commands ignored until "
                     "end of transaction block");
constexpr auto read_only_transaction = std::string_view("25006");
constexpr auto no_active_transaction = std::string_view("25P01");
constexpr auto active_transaction = std::string_view("25001");
constexpr auto syntax_error = std::string_view("42601");
constexpr auto invalid_statement_name = std::string_view("26000");
constexpr auto duplicate_statement = std::string_view("42P05");
constexpr auto invalid_cursor_name = std::string_view("34000");
constexpr auto duplicate_cursor = std::string_view("42P03");
constexpr auto invalid_authorization = std::string_view("28000");
constexpr auto internal_error = std::string_view("XX000");

constexpr auto frame_header_bytes = std::size_t{5};

/// Calls `visit(type, whole message, body)` for each message of `answer`.
///
/// @throws protocol_error on a length that does not fit
template <class Visitor>
auto for_each_frame(std::string_view answer, const Visitor& visit) -> void
{
    while (!answer.empty()) {
        auto reader = pg_field_reader(answer);
        const auto type = reader.read_byte();
        const auto length = std::size_t{reader.read_uint32()};
        if (length + 1 < frame_header_bytes || length + 1 > answer.size()) {
            throw protocol_error("answer ends within a message");
        }
        const auto whole = answer.substr(0, length + 1);
        visit(type, whole, whole.substr(frame_header_bytes));
        answer.remove_prefix(length + 1);
    }
}

auto lower(std::string_view text) -> std::string
{
    auto result = std::string(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) {
                       return static_cast<char>(std::tolower(letter));
                   });
    return result;
}

auto is_transaction_end(const statement_info& info) -> bool
{
    return info.kind == statement_kind::commit ||
           info.kind == statement_kind::rollback;
}

auto is_transaction_control(const statement_info& info) -> bool
{
    return info.kind == statement_kind::begin || is_transaction_end(info) ||
           info.kind == statement_kind::savepoint;
}

/// Transaction control is carried at the ends of a query string only, so that
/// a string belongs to one transaction at most.
auto is_control_misplaced(const std::vector<statement_info>& parts) -> bool
{
    for (auto index = std::size_t{0}; index < parts.size(); ++index) {
        const auto kind = parts[index].kind;
        if ((kind == statement_kind::begin && index != 0) ||
            (is_transaction_end(parts[index]) && index + 1 != parts.size()))
        {
            return true;
        }
    }
    return false;
}

/// Adds READ ONLY to the BEGIN at the start of `text`.
auto with_read_only(const std::string& text, std::string_view begin)
    -> std::string
{
    const auto end = text.find(begin) + begin.size();
    return text.substr(0, end) + " READ ONLY" + text.substr(end);
}

auto show_columns(std::string_view name) -> std::vector<column_description>
{
    auto column = column_description{};
    column.name = name;
    return {column};
}

} // namespace

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
    end_if_drained();
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

auto caller_protocol::end_if_drained() -> void
{
    // Messages that have arrived are answered first, so that 57P01 is never
    // the answer to a request.
    if (!is_draining_ || phase_ != phase::ready || running_ ||
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
    request.deadline = values.deadline > duration::zero()
                           ? values.deadline
                           : options_.default_deadline;
    running_ = running;
    events_.emplace_back(std::move(request));
    return handling::running;
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
