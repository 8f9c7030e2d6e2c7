#include "target_session.hpp"

#include "target_replication.hpp"

#include <rhubarbrun/protocol/session_settings.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace rhubarbrun::bench {

namespace {

constexpr auto max_frame_bytes = std::size_t{16} << 20U;
/// After this a wait for a lock counts as a deadlock, as
/// `deadlock_timeout` in PostgreSQL.
constexpr auto lock_timeout = std::chrono::seconds(1);
/// Unsent bytes above which a replica gets no further records for now.
constexpr auto replica_backlog_bytes = std::size_t{1} << 20U;

auto is_write(command_kind kind) -> bool
{
    return kind == command_kind::create_table ||
           kind == command_kind::drop_table || kind == command_kind::insert ||
           kind == command_kind::update || kind == command_kind::remove;
}

/// Time of pg_sleep in a select list.
auto sleep_time(const command& wanted,
                const std::vector<column_value>& parameters)
    -> std::chrono::microseconds
{
    auto total = std::chrono::microseconds(0);
    if (wanted.kind != command_kind::select) {
        return total;
    }
    for (const auto& item : wanted.values[0]) {
        if (item.type != expression::kind::call || item.text != "pg_sleep" ||
            item.arguments.size() != 1)
        {
            continue;
        }
        const auto& argument = item.arguments[0];
        auto text = argument.text;
        if (argument.type == expression::kind::parameter &&
            argument.parameter <= parameters.size())
        {
            text = parameters[argument.parameter - 1].value_or("0");
        }
        constexpr auto microseconds_per_second = 1e6;
        total += std::chrono::microseconds(static_cast<std::int64_t>(
            std::strtod(text.c_str(), nullptr) * microseconds_per_second));
    }
    return total;
}

} // namespace

target_session::target_session(target_server& server,
                               asio::ip::tcp::socket socket, backend_key key)
    : server_(server),
      socket_(std::move(socket)),
      timer_(server.context()),
      idle_timer_(server.context()),
      silence_timer_(server.context()),
      key_(key),
      reader_(max_frame_bytes, true)
{
}

auto target_session::start() -> void
{
    auto failure = error_code{};
    socket_.set_option(asio::ip::tcp::no_delay(true), failure);
    read();
}

auto target_session::close() -> void
{
    if (std::exchange(is_closed_, true)) {
        return;
    }
    timer_.cancel();
    idle_timer_.cancel();
    silence_timer_.cancel();
    auto failure = error_code{};
    socket_.close(failure);
    if (is_timed_) {
        is_timed_ = false;
        server_.end_statement();
    }
    running_.reset();
    server_.statements().rollback(transaction_);
    server_.remove(key_.process);
}

auto target_session::terminate(const std::string& code,
                               const std::string& message) -> void
{
    if (is_closed_) {
        return;
    }
    pg_writer(output_).error("FATAL", code, message);
    is_closing_ = true;
    if (is_muted_) {
        close();
    }
    write();
}

auto target_session::wait_while_silent() -> bool
{
    if (is_muted_) {
        return true;
    }
    const auto until = server_.silent_until();
    if (!until) {
        return false;
    }
    if (!std::exchange(is_waiting_for_silence_, true)) {
        silence_timer_.expires_at(*until);
        silence_timer_.async_wait([self = shared_from_this()](error_code) {
            self->is_waiting_for_silence_ = false;
            if (!self->is_closed_) {
                self->advance();
                self->write();
            }
        });
    }
    return true;
}

auto target_session::read() -> void
{
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code failure, std::size_t count) {
            if (self->is_closed_) {
                return;
            }
            if (failure) {
                self->close();
                return;
            }
            self->reader_.feed({self->chunk_.data(), count});
            self->advance();
            if (!self->is_closed_) {
                self->read();
            }
        });
}

auto target_session::write() -> void
{
    if (is_closed_ || is_writing_ || wait_while_silent()) {
        return;
    }
    if (output_.empty()) {
        if (is_closing_) {
            close();
        }
        return;
    }
    is_writing_ = true;
    sending_ = std::exchange(output_, {});
    asio::async_write(
        socket_, asio::buffer(sending_),
        [self = shared_from_this()](error_code failure, std::size_t) {
            self->is_writing_ = false;
            if (self->is_closed_) {
                return;
            }
            if (failure) {
                self->close();
                return;
            }
            if (self->is_streaming_) {
                self->send_records();
            }
            self->write();
        });
}

auto target_session::advance() -> void
{
    try {
        while (!is_closed_ && !is_closing_ && !is_busy_ && !wait_while_silent())
        {
            auto frame = reader_.next();
            if (!frame) {
                break;
            }
            idle_timer_.cancel();
            handle(*frame);
        }
    } catch (const std::exception& error) {
        terminate(std::string(sqlstate::protocol_violation), error.what());
    }
    write();
}

auto target_session::handle(const pg_frame& frame) -> void
{
    if (is_replica_) {
        on_replica_message(frame);
        return;
    }
    if (frame.type == '\0') {
        on_startup(frame.body);
        return;
    }
    if (is_skipping_ && frame.type != pg::sync && frame.type != pg::terminate) {
        return;
    }
    switch (frame.type) {
    case pg::query:
        on_query(frame.body);
        break;
    case pg::parse:
        on_parse(frame.body);
        break;
    case pg::bind:
        on_bind(frame.body);
        break;
    case pg::describe:
        on_describe(frame.body);
        break;
    case pg::execute:
        on_execute(frame.body);
        break;
    case pg::close:
        on_close(frame.body);
        break;
    case pg::sync:
        on_sync();
        break;
    case pg::flush:
        break;
    case pg::terminate:
        close();
        break;
    default:
        throw protocol_error("message type is not known");
    }
}

// Startup

auto target_session::on_startup(const std::string& body) -> void
{
    auto reader = pg_field_reader(body);
    const auto version = reader.read_uint32();
    if (version == pg::ssl_request || version == pg::gssenc_request) {
        output_.push_back('N');
        return;
    }
    if (version == pg::cancel_request) {
        auto key = backend_key{};
        key.process = reader.read_uint32();
        key.secret = reader.read_uint32();
        server_.cancel(key);
        close();
        return;
    }
    for (const auto& [name, value] : parse_startup(body)) {
        if (name == "application_name") {
            application_name_ = value;
        } else if (name == stream::parameter) {
            is_replica_ = true;
        } else if (name == "options") {
            const auto options = parse_startup_options(value);
            for (const auto& [option, text] : options.value_or(
                     std::vector<std::pair<std::string, std::string>>{}))
            {
                if (option == "idle_in_transaction_session_timeout") {
                    idle_limit_ = std::chrono::milliseconds(
                        std::strtoll(text.c_str(), nullptr, 10));
                }
            }
        }
    }
    reader_.end_startup();
    if (is_replica_) {
        start_replica();
    } else if (server_.client_count() > server_.options().connection_limit) {
        terminate(std::string(sqlstate::too_many_connections),
                  "sorry, too many clients already");
    } else {
        start_client();
    }
}

auto target_session::start_client() -> void
{
    is_busy_ = true;
    timer_.expires_after(server_.options().connect_delay);
    timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (failure || self->is_closed_) {
            return;
        }
        auto out = pg_writer(self->output_);
        out.authentication_ok();
        out.parameter_status("server_version", "15.0");
        out.parameter_status("server_encoding", "UTF8");
        out.parameter_status("client_encoding", "UTF8");
        out.parameter_status("DateStyle", "ISO, MDY");
        out.parameter_status("integer_datetimes", "on");
        out.parameter_status("standard_conforming_strings", "on");
        out.backend_key_data(self->key_);
        self->is_busy_ = false;
        self->is_started_ = true;
        self->ready();
        self->advance();
    });
}

// Replication

auto target_session::start_replica() -> void
{
    if (server_.is_partitioned()) {
        close();
        return;
    }
    write_stream_message(
        output_, stream::hello,
        stream_hello{server_.data().history(), server_.data().received()});
    write();
}

auto target_session::on_replica_message(const pg_frame& frame) -> void
{
    if (frame.type == stream::start) {
        next_position_ = read_stream_message<std::uint64_t>(frame.body);
        is_streaming_ = true;
        send_records();
    } else if (frame.type == stream::status) {
        const auto status = read_stream_message<stream_status>(frame.body);
        received_ = status.received;
        replayed_ = status.replayed;
    }
}

auto target_session::send_records() -> void
{
    while (output_.size() < replica_backlog_bytes) {
        const auto* record = server_.data().record_at(next_position_);
        if (record == nullptr) {
            break;
        }
        write_stream_message(output_, stream::record, *record);
        next_position_ = record->end;
    }
    write();
}

// Queries

auto target_session::status() const -> transaction_status
{
    if (!transaction_.is_explicit) {
        return transaction_status::idle;
    }
    return transaction_.is_failed ? transaction_status::failed
                                  : transaction_status::in_transaction;
}

auto target_session::ready() -> void
{
    pg_writer(output_).ready_for_query(status());
    if (status() != transaction_status::idle && idle_limit_.count() > 0) {
        idle_timer_.expires_after(idle_limit_);
        idle_timer_.async_wait([self = shared_from_this()](error_code failure) {
            if (!failure) {
                self->terminate("25P03", "terminating connection due to "
                                         "idle-in-transaction timeout");
            }
        });
    }
}

auto target_session::end_implicit(bool is_good) -> void
{
    if (transaction_.is_explicit) {
        return;
    }
    if (is_good) {
        server_.statements().commit(transaction_, system_time_us());
        server_.wake_replicas();
    } else {
        server_.statements().rollback(transaction_);
    }
}

auto target_session::on_query(const std::string& body) -> void
{
    const auto text = parse_query(body);
    pending_.clear();
    for (const auto part : split_commands(text)) {
        pending_.emplace_back(part);
    }
    if (pending_.empty()) {
        pg_writer(output_).empty(pg::empty_query);
        ready();
        return;
    }
    run_next();
}

auto target_session::run_next() -> void
{
    auto text = std::move(pending_.front());
    pending_.pop_front();
    run(std::move(text), {}, true, [this](bool is_good) {
        if (is_good && !pending_.empty()) {
            run_next();
            return;
        }
        pending_.clear();
        end_implicit(is_good);
        ready();
    });
}

auto target_session::on_parse(const std::string& body) -> void
{
    auto message = parse_parse(body);
    auto types = message.parameter_types;
    prepared_[message.statement] =
        prepared{std::move(message.text), std::move(types)};
    pg_writer(output_).empty(pg::parse_complete);
}

auto target_session::on_bind(const std::string& body) -> void
{
    auto message = parse_bind(body);
    const auto found = prepared_.find(message.statement);
    if (found == prepared_.end()) {
        fail("26000", "prepared statement does not exist");
        return;
    }
    const auto& formats = message.parameter_formats;
    if (std::find(formats.begin(), formats.end(), 1) != formats.end()) {
        fail("0A000", "binary parameters are not supported");
        return;
    }
    portals_[message.portal] =
        portal{found->second.text, std::move(message.parameters)};
    pg_writer(output_).empty(pg::bind_complete);
}

auto target_session::on_close(const std::string& body) -> void
{
    const auto message = parse_object(body);
    if (message.kind == 'S') {
        prepared_.erase(message.name);
    } else {
        portals_.erase(message.name);
    }
    pg_writer(output_).empty(pg::close_complete);
}

auto target_session::on_describe(const std::string& body) -> void
{
    const auto message = parse_object(body);
    auto text = std::string{};
    auto types = std::vector<std::uint32_t>{};
    if (message.kind == 'S') {
        const auto found = prepared_.find(message.name);
        if (found == prepared_.end()) {
            fail("26000", "prepared statement does not exist");
            return;
        }
        text = found->second.text;
        types = found->second.types;
    } else {
        const auto found = portals_.find(message.name);
        if (found == portals_.end()) {
            fail("34000", "portal does not exist");
            return;
        }
        text = found->second.text;
    }
    auto out = pg_writer(output_);
    try {
        const auto parts = split_commands(text);
        auto wanted = command{};
        auto columns = std::vector<column_description>{};
        auto answer = std::string{};
        if (!parts.empty() &&
            !server_.run_known(text, {std::string("0")}, true, answer))
        {
            wanted = parse_command(parts[0]);
            columns = server_.statements().describe(wanted);
        } else if (!answer.empty()) {
            wanted.parameters = 1;
            columns.resize(3);
            for (auto& column : columns) {
                column.name = "count";
            }
        }
        if (message.kind == 'S') {
            types.resize(wanted.parameters, pg::text_type);
            std::replace(types.begin(), types.end(), 0U, pg::text_type);
            out.parameter_description(types);
        }
        if (columns.empty()) {
            out.empty(pg::no_data);
        } else {
            out.row_description(columns);
        }
    } catch (const sql_error& error) {
        fail(error.code(), error.what());
    }
}

auto target_session::on_execute(const std::string& body) -> void
{
    const auto message = parse_execute(body);
    const auto found = portals_.find(message.portal);
    if (found == portals_.end()) {
        fail("34000", "portal does not exist");
        return;
    }
    const auto parts = split_commands(found->second.text);
    if (parts.empty()) {
        pg_writer(output_).empty(pg::empty_query);
        return;
    }
    run(std::string(parts[0]), found->second.parameters, false,
        [this](bool is_good) { is_skipping_ = !is_good; });
}

auto target_session::on_sync() -> void
{
    end_implicit(!is_skipping_);
    is_skipping_ = false;
    portals_.clear();
    ready();
}

auto target_session::fail(const std::string& code, const std::string& message)
    -> void
{
    pg_writer(output_).error("ERROR", code, message);
    if (transaction_.is_explicit) {
        transaction_.is_failed = true;
    } else {
        server_.statements().rollback(transaction_);
    }
    // Within a simple query `finish` sees the failure; there is no Sync.
    is_skipping_ = !running_;
}

// Statements

auto target_session::run(std::string text, std::vector<column_value> parameters,
                         bool has_description, done_handler done) -> void
{
    is_busy_ = true;
    running_ =
        running_statement{std::move(text), std::move(parameters),
                          has_description, std::move(done), std::nullopt};
    auto answer = std::string{};
    if (!server_.run_known(running_->text, running_->parameters,
                           has_description, answer))
    {
        try {
            running_->parsed = parse_command(running_->text);
        } catch (const sql_error& error) {
            fail(error.code(), error.what());
            finish(false);
            return;
        }
    }
    const auto running = server_.start_statement();
    is_timed_ = true;
    // Beyond the slots the statements share the processors of the server.
    const auto share = std::max(running, server_.options().slots) * 1000U /
                       std::max<std::size_t>(server_.options().slots, 1);
    const auto delay =
        service_time(*running_) * static_cast<std::int64_t>(share) / 1000;
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (self->is_closed_ || !self->is_timed_) {
            return;
        }
        self->is_timed_ = false;
        self->server_.end_statement();
        if (failure) {
            self->fail(std::string(sqlstate::query_canceled),
                       "canceling statement due to user request");
            self->finish(false);
        } else {
            self->execute_now();
        }
        self->advance();
    });
}

auto target_session::service_time(const running_statement& statement) const
    -> std::chrono::microseconds
{
    const auto& options = server_.options();
    if (!statement.parsed) {
        return options.read_time;
    }
    const auto& wanted = *statement.parsed;
    if (is_write(wanted.kind)) {
        return options.write_time;
    }
    if (wanted.kind == command_kind::commit) {
        return options.commit_time;
    }
    if (wanted.kind != command_kind::select) {
        return std::chrono::microseconds(0);
    }
    const auto is_scan = !wanted.table.empty() && wanted.conditions.empty() &&
                         server_.data().find(wanted.table) != nullptr;
    return (is_scan ? options.scan_time : options.read_time) +
           sleep_time(wanted, statement.parameters);
}

auto target_session::execute_now() -> void
{
    auto answer = std::string{};
    server_.set_current(this);
    try {
        if (transaction_.is_failed &&
            (!running_->parsed ||
             (running_->parsed->kind != command_kind::commit &&
              running_->parsed->kind != command_kind::rollback)))
        {
            throw sql_error("25P02",
                            "current transaction is aborted, commands ignored "
                            "until end of transaction block");
        }
        if (running_->parsed) {
            execute_command(*running_->parsed, answer);
        } else {
            static_cast<void>(
                server_.run_known(running_->text, running_->parameters,
                                  running_->has_description, answer));
        }
    } catch (const lock_conflict& conflict) {
        server_.set_current(nullptr);
        if (!std::exchange(is_waiting_for_lock_, true)) {
            timer_.expires_after(lock_timeout);
            timer_.async_wait([self = shared_from_this()](error_code failure) {
                if (self->is_closed_ ||
                    !std::exchange(self->is_waiting_for_lock_, false)) {
                    return;
                }
                self->fail(failure ? std::string(sqlstate::query_canceled)
                                   : std::string("40P01"),
                           failure ? "canceling statement due to user request"
                                   : "deadlock detected");
                self->finish(false);
                self->advance();
            });
        }
        server_.wait_for_lock(conflict.lock, weak_from_this());
        return;
    } catch (const sql_error& error) {
        server_.set_current(nullptr);
        fail(error.code(), error.what());
        finish(false);
        return;
    }
    server_.set_current(nullptr);
    output_ += answer;
    finish(true);
}

auto target_session::retry() -> void
{
    if (is_closed_ || !is_waiting_for_lock_) {
        return;
    }
    is_waiting_for_lock_ = false;
    timer_.cancel();
    execute_now();
    advance();
}

auto target_session::finish(bool is_good) -> void
{
    is_busy_ = false;
    const auto done = std::move(running_->done);
    running_.reset();
    done(is_good);
}

auto target_session::execute_command(const command& wanted, std::string& answer)
    -> void
{
    auto out = pg_writer(answer);
    switch (wanted.kind) {
    case command_kind::begin:
        transaction_.is_explicit = true;
        transaction_.is_read_only = wanted.is_read_only;
        out.command_complete("BEGIN");
        return;
    case command_kind::commit: {
        const auto is_failed = transaction_.is_failed;
        server_.statements().commit(transaction_, system_time_us());
        server_.wake_replicas();
        out.command_complete(is_failed ? "ROLLBACK" : "COMMIT");
        return;
    }
    case command_kind::rollback:
        server_.statements().rollback(transaction_);
        out.command_complete("ROLLBACK");
        return;
    case command_kind::set:
        out.command_complete("SET");
        return;
    case command_kind::show: {
        const auto value = server_.show(wanted.table);
        if (!value) {
            throw sql_error("42704", "unrecognized configuration parameter \"" +
                                         wanted.table + "\"");
        }
        if (running_->has_description) {
            out.row_description(server_.statements().describe(wanted));
        }
        out.data_row({*value});
        out.command_complete("SHOW");
        return;
    }
    case command_kind::alter_system:
        server_.set_system(wanted.table, wanted.values[0][0].text);
        out.command_complete("ALTER SYSTEM");
        return;
    default:
        break;
    }
    const auto is_read_only = transaction_.is_read_only;
    transaction_.is_read_only = is_read_only || server_.is_in_recovery();
    server_.statements().execute(transaction_, wanted, running_->parameters,
                                 running_->has_description, answer);
    transaction_.is_read_only = is_read_only;
}

auto target_session::activity() const -> std::string
{
    if (is_busy_) {
        return "active";
    }
    return transaction_.is_explicit ? "idle in transaction" : "idle";
}

auto target_session::cancel() -> void
{
    if (is_timed_ || is_waiting_for_lock_) {
        timer_.cancel();
    }
}

} // namespace rhubarbrun::bench
