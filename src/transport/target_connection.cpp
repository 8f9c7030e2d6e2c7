#include <rhubarbrun/transport/target_connection.hpp>

#include "target_answer.hpp"
#include "target_libpq.hpp"

#include <libpq-fe.h>
#include <unistd.h>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// The protocol counts parameters in 16 bits.
constexpr auto max_parameters = std::size_t{65535};

using result_pointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

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
          timer_(strand_),
          answer_(options_.max_answer_bytes)
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
        connection_ = detail::start_connection(options_);
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
            detail::send_cancel(connection_);
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
        answer_.set_max_bytes(limit);
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
        if (state_ == state::running) {
            answer_.add_notice(result);
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
            detail::send_cancel(connection_);
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
            sent = detail::send_parameterized(connection_, body_);
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
        switch (PQresultStatus(result)) {
        case PGRES_SINGLE_TUPLE:
        case PGRES_TUPLES_OK:
            add_rows(result);
            break;
        case PGRES_COMMAND_OK:
            if (body_.form != statement_form::describe) {
                answer_.add_command(result);
            } else if (is_prepared_) {
                answer_.add_description(result);
            }
            break;
        case PGRES_EMPTY_QUERY:
            answer_.add_empty_query();
            break;
        case PGRES_FATAL_ERROR:
            answer_.add_error(result);
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
        const auto was_too_large = answer_.is_too_large();
        answer_.add_rows(result);
        if (answer_.is_too_large() && !was_too_large) {
            // Frees the slot early; the rest of the answer is discarded.
            detail::send_cancel(connection_);
        }
    }

    auto finish_step() -> void
    {
        if (PQstatus(connection_) != CONNECTION_OK) {
            lose("the target closed the connection");
            return;
        }
        if (body_.form == statement_form::describe && !is_prepared_ &&
            !answer_.has_error())
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
        result.has_target_error = answer_.has_error();
        result.target_code = answer_.error_code();
        if (answer_.is_too_large()) {
            result.error =
                make_error(verdict::ran, sqlstate::program_limit_exceeded,
                           "the answer is larger than " +
                               std::to_string(answer_.max_bytes()) + " bytes");
        } else {
            result.answer = answer_.take();
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
        auto result = target_result{};
        result.has_target_error = answer_.has_error();
        result.target_code = answer_.error_code();
        release();
        if (before == state::running) {
            result.error =
                make_error(outcome,
                           outcome == verdict::not_run
                               ? sqlstate::cannot_connect_now
                               : sqlstate::transaction_resolution_unknown,
                           std::move(message));
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
        answer_.clear();
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
    detail::target_answer answer_;
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
