#include <rhubarbrun/transport/target_connection.hpp>

#include <rhubarbrun/protocol/pg_writer.hpp>

#include <libpq-fe.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <limits>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

namespace {

using result_pointer = std::unique_ptr<PGresult, decltype(&PQclear)>;
using cancel_pointer = std::unique_ptr<PGcancel, decltype(&PQfreeCancel)>;

/// PQcancel blocks until the target's host responds or `user_timeout` is
/// over, so cancels run on their own threads.
constexpr auto cancel_threads = std::size_t{2};
/// More waiting cancels than this are dropped; deadlines still end the
/// statements.
constexpr auto max_waiting_cancels = 64;
constexpr auto max_parameters = std::size_t{65535};

/// Field codes of an error, which libpq shares with the protocol.
constexpr auto diagnostic_fields =
    std::array{PG_DIAG_SEVERITY,           PG_DIAG_SEVERITY_NONLOCALIZED,
               PG_DIAG_SQLSTATE,           PG_DIAG_MESSAGE_PRIMARY,
               PG_DIAG_MESSAGE_DETAIL,     PG_DIAG_MESSAGE_HINT,
               PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
               PG_DIAG_INTERNAL_QUERY,     PG_DIAG_CONTEXT,
               PG_DIAG_SCHEMA_NAME,        PG_DIAG_TABLE_NAME,
               PG_DIAG_COLUMN_NAME,        PG_DIAG_DATATYPE_NAME,
               PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
               PG_DIAG_SOURCE_LINE,        PG_DIAG_SOURCE_FUNCTION};

auto read_fields(const PGresult* result)
    -> std::vector<std::pair<char, std::string>>
{
    auto fields = std::vector<std::pair<char, std::string>>{};
    for (const auto code : diagnostic_fields) {
        if (const auto* text = PQresultErrorField(result, code)) {
            fields.emplace_back(static_cast<char>(code), text);
        }
    }
    return fields;
}

auto read_columns(const PGresult* result) -> std::vector<column_description>
{
    auto columns = std::vector<column_description>{};
    const auto count = PQnfields(result);
    for (auto index = 0; index < count; ++index) {
        auto column = column_description{};
        column.name = PQfname(result, index);
        column.table = PQftable(result, index);
        column.column = static_cast<std::int16_t>(PQftablecol(result, index));
        column.type = PQftype(result, index);
        column.type_size = static_cast<std::int16_t>(PQfsize(result, index));
        column.type_modifier = PQfmod(result, index);
        column.format = static_cast<std::int16_t>(PQfformat(result, index));
        columns.push_back(std::move(column));
    }
    return columns;
}

auto write_rows(pg_writer& out, const PGresult* result) -> void
{
    const auto rows = PQntuples(result);
    const auto columns = PQnfields(result);
    for (auto row = 0; row < rows; ++row) {
        out.begin(pg::data_row);
        out.put_int16(static_cast<std::int16_t>(columns));
        for (auto column = 0; column < columns; ++column) {
            if (PQgetisnull(result, row, column) != 0) {
                out.put_value(std::nullopt);
                continue;
            }
            const auto length =
                static_cast<std::size_t>(PQgetlength(result, row, column));
            out.put_uint32(static_cast<std::uint32_t>(length));
            out.put_bytes({PQgetvalue(result, row, column), length});
        }
        out.end();
    }
}

auto make_error(verdict outcome, std::string_view code, std::string message)
    -> request_error
{
    auto error = request_error{};
    error.outcome = outcome;
    error.code = code;
    error.message = std::move(message);
    return error;
}

auto server_options(const target_connection_options& options) -> std::string
{
    // Fixed for all sessions that share the connection; see
    // `is_target_setting`.
    return "-c idle_in_transaction_session_timeout=" +
           std::to_string(to_milliseconds(options.idle_in_transaction_limit)) +
           " -c standard_conforming_strings=on -c datestyle=ISO,MDY"
           " -c intervalstyle=postgres -c timezone=UTC"
           " -c bytea_output=hex -c extra_float_digits=1";
}

auto start_connection(const target_connection_options& options) -> PGconn*
{
    const auto parameters = std::vector<std::pair<const char*, std::string>>{
        {"hostaddr", options.address},
        {"port", std::to_string(options.port)},
        {"dbname", options.database},
        {"user", options.user},
        {"password", options.password},
        // The account's own password file is no part of the settings. libpq
        // warns of a file that is not plain, but not of a missing one.
        {"passfile", "/dev/null/none"},
        {"application_name", options.application_name},
        {"client_encoding", "UTF8"},
        {"sslmode", "disable"},
        {"gssencmode", "disable"},
        {"options", server_options(options)},
        {"keepalives", "1"},
        {"keepalives_idle", std::to_string(options.keepalive_idle.count())},
        {"keepalives_interval",
         std::to_string(options.keepalive_interval.count())},
        {"keepalives_count", std::to_string(options.keepalive_count)},
        {"tcp_user_timeout",
         std::to_string(to_milliseconds(options.user_timeout))}};
    auto names = std::vector<const char*>{};
    auto values = std::vector<const char*>{};
    for (const auto& [name, value] : parameters) {
        names.push_back(name);
        values.push_back(value.c_str());
    }
    names.push_back(nullptr);
    values.push_back(nullptr);
    return PQconnectStartParams(names.data(), values.data(), 0);
}

auto cancel_pool() -> asio::thread_pool&
{
    // Never destroyed: the destructor would wait for cancels at exit.
    static auto* pool = new asio::thread_pool(cancel_threads);
    return *pool;
}

auto waiting_cancels() -> std::atomic<int>&
{
    static auto count = std::atomic<int>{0};
    return count;
}

auto send_cancel(PGconn* connection) -> void
{
    auto request =
        std::shared_ptr<PGcancel>(PQgetCancel(connection), &PQfreeCancel);
    if (!request) {
        return;
    }
    if (waiting_cancels().fetch_add(1) >= max_waiting_cancels) {
        waiting_cancels().fetch_sub(1);
        return;
    }
    asio::post(cancel_pool(), [request] {
        auto message = std::array<char, 256>{};
        PQcancel(request.get(), message.data(),
                 static_cast<int>(message.size()));
        waiting_cancels().fetch_sub(1);
    });
}

} // namespace

auto target_application_name(const proxy_id& vm, owner_epoch epoch)
    -> std::string
{
    return "rhubarbrun/" + vm.value() + "/" + std::to_string(epoch.value());
}

class target_connection::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::any_io_executor strand,
                   target_connection_options options)
        : strand_(std::move(strand)),
          options_(std::move(options)),
          descriptor_(strand_),
          timer_(strand_)
    {
    }

    ~implementation() { release(); }

    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    auto connect(duration timeout, connect_handler handler) -> void
    {
        if (state_ != state::unconnected) {
            post_connect(std::move(handler),
                         make_error(verdict::not_run,
                                    sqlstate::cannot_connect_now,
                                    "the connection was used before"));
            return;
        }
        on_connect_ = std::move(handler);
        state_ = state::connecting;
        connection_ = start_connection(options_);
        if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD ||
            !duplicate_descriptor())
        {
            fail_connect();
            return;
        }
        PQsetNoticeReceiver(connection_, &receive_notice, this);
        start_timer(timeout);
        // As libpq documents: behave as if PQconnectPoll returned WRITING.
        wait(asio::posix::stream_descriptor::wait_write);
    }

    auto run(statement body, duration timeout, run_handler handler) -> void
    {
        if (state_ != state::idle) {
            reject(std::move(handler), "the connection is not ready");
            return;
        }
        // Notices an end that the target sent while the connection was idle,
        // so that the statement is certain not to have run.
        if (PQconsumeInput(connection_) == 0 ||
            PQstatus(connection_) != CONNECTION_OK) {
            reject(std::move(handler), "the target closed the connection");
            lose("closed by the target");
            return;
        }
        if (body.parameters.size() > max_parameters) {
            reject(std::move(handler), "the statement has too many parameters");
            return;
        }
        body_ = std::move(body);
        on_run_ = std::move(handler);
        answer_.clear();
        has_description_ = false;
        is_too_large_ = false;
        has_target_error_ = false;
        target_code_.clear();
        is_flushed_ = false;
        state_ = state::running;
        start_timer(timeout);
        if (!send()) {
            lose("the statement could not be sent");
            return;
        }
        flush();
    }

    auto cancel() -> void
    {
        if (state_ == state::running) {
            send_cancel(connection_);
        }
    }

    auto close() -> void
    {
        on_lost_ = nullptr;
        lose("the connection was closed");
    }

    [[nodiscard]] auto is_ready() const noexcept -> bool
    {
        return state_ == state::idle;
    }

    [[nodiscard]] auto is_closed() const noexcept -> bool
    {
        return state_ == state::closed || state_ == state::unconnected;
    }

    [[nodiscard]] auto status() const noexcept -> transaction_status
    {
        if (connection_ == nullptr) {
            return transaction_status::idle;
        }
        switch (PQtransactionStatus(connection_)) {
        case PQTRANS_INTRANS:
            return transaction_status::in_transaction;
        case PQTRANS_INERROR:
            return transaction_status::failed;
        default:
            return transaction_status::idle;
        }
    }

    [[nodiscard]] auto backend_process() const noexcept -> int
    {
        return connection_ == nullptr ? 0 : PQbackendPID(connection_);
    }

    auto set_max_answer_bytes(std::size_t limit) -> void
    {
        options_.max_answer_bytes = limit;
    }

    auto set_lost_handler(std::function<void()> handler) -> void
    {
        on_lost_ = std::move(handler);
    }

private:
    enum class state : std::uint8_t
    {
        unconnected,
        connecting,
        idle,
        running,
        closed,
    };
    using wait_kind = asio::posix::stream_descriptor::wait_type;

    static auto receive_notice(void* self, const PGresult* result) -> void
    {
        static_cast<implementation*>(self)->add_notice(result);
    }

    auto add_notice(const PGresult* result) -> void
    {
        if (state_ == state::running && !is_too_large_) {
            pg_writer(answer_).fields(pg::notice_response, read_fields(result));
        }
    }

    auto duplicate_descriptor() -> bool
    {
        // libpq closes its own descriptor, Asio the duplicate.
        const auto copy = ::dup(PQsocket(connection_));
        if (copy < 0) {
            return false;
        }
        auto failure = error_code{};
        descriptor_.assign(copy, failure);
        if (failure) {
            ::close(copy);
        }
        return !failure;
    }

    auto start_timer(duration timeout) -> void
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this(),
                           number = ++timer_number_](error_code failure) {
            // A timer that fired just before it was restarted still calls its
            // handler, so that the number decides.
            if (!failure && number == self->timer_number_) {
                self->on_timeout();
            }
        });
    }

    auto stop_timer() -> void
    {
        ++timer_number_;
        timer_.cancel();
    }

    auto on_timeout() -> void
    {
        if (state_ == state::running) {
            send_cancel(connection_);
            lose("the deadline passed");
        } else if (state_ == state::connecting) {
            fail_connect();
        }
    }

    auto wait(wait_kind kind) -> void
    {
        auto& is_waiting =
            kind == wait_kind::wait_read ? is_waiting_read_ : is_waiting_write_;
        if (is_waiting || !descriptor_.is_open()) {
            return;
        }
        is_waiting = true;
        descriptor_.async_wait(kind, [self = shared_from_this(),
                                      kind](error_code failure) {
            (kind == wait_kind::wait_read ? self->is_waiting_read_
                                          : self->is_waiting_write_) = false;
            if (self->state_ != state::closed) {
                self->on_event(kind, failure);
            }
        });
    }

    auto on_event(wait_kind kind, error_code failure) -> void
    {
        if (state_ == state::connecting) {
            if (failure) {
                fail_connect();
            } else {
                poll_connect();
            }
            return;
        }
        if (failure) {
            lose("waiting for the target failed");
            return;
        }
        if (kind == wait_kind::wait_write) {
            if (state_ == state::running && !is_flushed_) {
                flush();
            }
            return;
        }
        if (PQconsumeInput(connection_) == 0) {
            lose("the target closed the connection");
            return;
        }
        if (state_ == state::running) {
            // Reading may make room for what could not be sent.
            if (!is_flushed_) {
                flush();
            }
            process();
        } else if (PQisBusy(connection_) == 0 &&
                   PQstatus(connection_) != CONNECTION_OK) {
            lose("the target closed the connection");
        }
        if (state_ == state::running || state_ == state::idle) {
            wait(wait_kind::wait_read);
        }
    }

    auto poll_connect() -> void
    {
        switch (PQconnectPoll(connection_)) {
        case PGRES_POLLING_READING:
            wait(wait_kind::wait_read);
            break;
        case PGRES_POLLING_WRITING:
            wait(wait_kind::wait_write);
            break;
        case PGRES_POLLING_OK:
            stop_timer();
            PQsetnonblocking(connection_, 1);
            state_ = state::idle;
            wait(wait_kind::wait_read);
            post_connect(std::exchange(on_connect_, nullptr), std::nullopt);
            break;
        default:
            fail_connect();
            break;
        }
    }

    auto fail_connect() -> void
    {
        // libpq's text may name addresses, but neither statements nor secrets.
        auto message = std::string("cannot connect to the target");
        if (connection_ != nullptr && PQerrorMessage(connection_) != nullptr) {
            message += ": ";
            message += PQerrorMessage(connection_);
            while (message.ends_with('\n')) {
                message.pop_back();
            }
        }
        auto handler = std::exchange(on_connect_, nullptr);
        release();
        post_connect(std::move(handler),
                     make_error(verdict::not_run, sqlstate::cannot_connect_now,
                                std::move(message)));
    }

    auto post_connect(connect_handler handler,
                      std::optional<request_error> error) -> void
    {
        if (handler) {
            asio::post(strand_, [handler = std::move(handler),
                                 error = std::move(error)]() mutable {
                handler(std::move(error));
            });
        }
    }

    auto post_run(run_handler handler, target_result result) -> void
    {
        if (handler) {
            asio::post(strand_, [handler = std::move(handler),
                                 result = std::move(result)]() mutable {
                handler(std::move(result));
            });
        }
    }

    auto reject(run_handler handler, std::string message) -> void
    {
        auto result = target_result{};
        result.error = make_error(
            verdict::not_run, sqlstate::cannot_connect_now, std::move(message));
        result.status = status();
        post_run(std::move(handler), std::move(result));
    }

    auto send() -> bool
    {
        auto sent = 0;
        switch (body_.form) {
        case statement_form::simple:
            sent = PQsendQuery(connection_, body_.text.c_str());
            break;
        case statement_form::parameterized:
            sent = send_parameterized();
            break;
        case statement_form::describe:
            is_prepared_ = false;
            sent = PQsendPrepare(connection_, "", body_.text.c_str(),
                                 static_cast<int>(body_.parameter_types.size()),
                                 body_.parameter_types.data());
            break;
        }
        if (sent != 0 && body_.form != statement_form::describe) {
            PQsetSingleRowMode(connection_);
        }
        return sent != 0;
    }

    auto send_parameterized() -> int
    {
        const auto count = body_.parameters.size();
        auto types = body_.parameter_types;
        types.resize(count, 0);
        auto values = std::vector<const char*>{};
        auto lengths = std::vector<int>{};
        auto formats = std::vector<int>{};
        for (auto index = std::size_t{0}; index < count; ++index) {
            const auto& value = body_.parameters[index];
            values.push_back(value ? value->c_str() : nullptr);
            lengths.push_back(value ? static_cast<int>(value->size()) : 0);
            formats.push_back(index < body_.parameter_formats.size()
                                  ? body_.parameter_formats[index]
                                  : 0);
        }
        return PQsendQueryParams(connection_, body_.text.c_str(),
                                 static_cast<int>(count), types.data(),
                                 values.data(), lengths.data(), formats.data(),
                                 body_.result_format);
    }

    auto flush() -> void
    {
        const auto left = PQflush(connection_);
        if (left < 0) {
            lose("sending to the target failed");
            return;
        }
        is_flushed_ = left == 0;
        if (!is_flushed_) {
            wait(wait_kind::wait_write);
        }
        wait(wait_kind::wait_read);
    }

    auto process() -> void
    {
        while (state_ == state::running && PQisBusy(connection_) == 0) {
            const auto result =
                result_pointer(PQgetResult(connection_), &PQclear);
            if (!result) {
                finish_step();
                return;
            }
            add_result(result.get());
        }
    }

    auto add_result(const PGresult* result) -> void
    {
        auto out = pg_writer(answer_);
        switch (PQresultStatus(result)) {
        case PGRES_SINGLE_TUPLE:
        case PGRES_TUPLES_OK:
            add_rows(result);
            break;
        case PGRES_COMMAND_OK:
            if (body_.form == statement_form::describe) {
                add_description(result);
            } else {
                out.command_complete(
                    PQcmdStatus(const_cast<PGresult*>(result)));
            }
            break;
        case PGRES_EMPTY_QUERY:
            out.empty(pg::empty_query);
            break;
        case PGRES_FATAL_ERROR:
            add_error(result);
            break;
        case PGRES_COPY_IN:
        case PGRES_COPY_OUT:
        case PGRES_COPY_BOTH:
            lose("the target started COPY, which is not carried");
            break;
        default:
            break;
        }
    }

    auto add_rows(const PGresult* result) -> void
    {
        const auto is_last = PQresultStatus(result) == PGRES_TUPLES_OK;
        if (!is_too_large_) {
            auto out = pg_writer(answer_);
            if (!has_description_) {
                out.row_description(read_columns(result));
                has_description_ = true;
            }
            write_rows(out, result);
            if (is_last) {
                out.command_complete(
                    PQcmdStatus(const_cast<PGresult*>(result)));
            }
        }
        if (is_last) {
            has_description_ = false;
        }
        if (!is_too_large_ && answer_.size() > options_.max_answer_bytes) {
            is_too_large_ = true;
            answer_ = {};
            // Frees the slot early; the rest of the answer is discarded.
            send_cancel(connection_);
        }
    }

    auto add_description(const PGresult* result) -> void
    {
        if (!is_prepared_) {
            return;
        }
        auto types = std::vector<std::uint32_t>{};
        for (auto index = 0; index < PQnparams(result); ++index) {
            types.push_back(PQparamtype(result, index));
        }
        auto out = pg_writer(answer_);
        out.parameter_description(types);
        if (PQnfields(result) > 0) {
            out.row_description(read_columns(result));
        } else {
            out.empty(pg::no_data);
        }
    }

    auto add_error(const PGresult* result) -> void
    {
        const auto* code = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        if (code == nullptr) {
            // Made by libpq itself; the connection is lost, which
            // `finish_step` sees.
            return;
        }
        has_target_error_ = true;
        target_code_ = code;
        if (!is_too_large_) {
            pg_writer(answer_).fields(pg::error_response, read_fields(result));
        }
    }

    auto finish_step() -> void
    {
        if (PQstatus(connection_) != CONNECTION_OK) {
            lose("the target closed the connection");
            return;
        }
        if (body_.form == statement_form::describe && !is_prepared_ &&
            !has_target_error_)
        {
            is_prepared_ = true;
            if (PQsendDescribePrepared(connection_, "") == 0) {
                lose("the statement could not be sent");
                return;
            }
            is_flushed_ = false;
            flush();
            return;
        }
        stop_timer();
        state_ = state::idle;
        auto result = target_result{};
        result.status = status();
        result.has_target_error = has_target_error_;
        result.target_code = target_code_;
        if (is_too_large_) {
            result.error = make_error(
                verdict::ran, sqlstate::program_limit_exceeded,
                "the answer is larger than " +
                    std::to_string(options_.max_answer_bytes) + " bytes");
        } else {
            result.answer = std::exchange(answer_, {});
        }
        post_run(std::exchange(on_run_, nullptr), std::move(result));
    }

    /// Whether the target can have received the whole running statement.
    [[nodiscard]] auto lost_verdict() const -> verdict
    {
        // A simple query is one message, which the target runs only once it
        // has arrived whole. Of the messages of a parameterized one, Execute
        // may have arrived although Sync did not.
        const auto is_incomplete =
            body_.form == statement_form::simple && !is_flushed_;
        return is_incomplete || body_.form == statement_form::describe
                   ? verdict::not_run
                   : verdict::may_have_run;
    }

    auto lose(std::string message) -> void
    {
        const auto before = state_;
        if (before == state::closed) {
            return;
        }
        if (before == state::connecting) {
            fail_connect();
            return;
        }
        const auto outcome = lost_verdict();
        release();
        if (before == state::running) {
            auto result = target_result{};
            result.error =
                make_error(outcome,
                           outcome == verdict::not_run
                               ? sqlstate::cannot_connect_now
                               : sqlstate::transaction_resolution_unknown,
                           std::move(message));
            result.has_target_error = has_target_error_;
            result.target_code = target_code_;
            post_run(std::exchange(on_run_, nullptr), std::move(result));
        } else if (before == state::idle && on_lost_) {
            asio::post(strand_, std::exchange(on_lost_, nullptr));
        }
    }

    auto release() -> void
    {
        state_ = state::closed;
        stop_timer();
        auto failure = error_code{};
        descriptor_.close(failure);
        if (connection_ != nullptr) {
            PQfinish(std::exchange(connection_, nullptr));
        }
        answer_ = {};
    }

    asio::any_io_executor strand_;
    target_connection_options options_;
    asio::posix::stream_descriptor descriptor_;
    asio::steady_timer timer_;
    std::uint64_t timer_number_ = 0;
    PGconn* connection_ = nullptr;
    state state_ = state::unconnected;
    bool is_waiting_read_ = false;
    bool is_waiting_write_ = false;
    connect_handler on_connect_;
    run_handler on_run_;
    std::function<void()> on_lost_;
    statement body_;
    std::string answer_;
    std::string target_code_;
    bool has_target_error_ = false;
    /// The present result set has its RowDescription.
    bool has_description_ = false;
    bool is_too_large_ = false;
    /// All bytes of the statement were taken by the kernel.
    bool is_flushed_ = false;
    /// The Parse step of a describe is done.
    bool is_prepared_ = false;
};

target_connection::target_connection(asio::any_io_executor strand,
                                     target_connection_options options)
    : implementation_(std::make_shared<implementation>(std::move(strand),
                                                       std::move(options)))
{
}

target_connection::~target_connection()
{
    implementation_->close();
}

auto target_connection::connect(duration timeout, connect_handler handler)
    -> void
{
    implementation_->connect(timeout, std::move(handler));
}

auto target_connection::run(statement body, duration timeout,
                            run_handler handler) -> void
{
    implementation_->run(std::move(body), timeout, std::move(handler));
}

auto target_connection::cancel() -> void
{
    implementation_->cancel();
}

auto target_connection::close() -> void
{
    implementation_->close();
}

auto target_connection::is_ready() const noexcept -> bool
{
    return implementation_->is_ready();
}

auto target_connection::is_closed() const noexcept -> bool
{
    return implementation_->is_closed();
}

auto target_connection::status() const noexcept -> transaction_status
{
    return implementation_->status();
}

auto target_connection::backend_process() const noexcept -> int
{
    return implementation_->backend_process();
}

auto target_connection::set_max_answer_bytes(std::size_t limit) -> void
{
    implementation_->set_max_answer_bytes(limit);
}

auto target_connection::set_lost_handler(std::function<void()> handler) -> void
{
    implementation_->set_lost_handler(std::move(handler));
}

} // namespace rhubarbrun::inline v1
