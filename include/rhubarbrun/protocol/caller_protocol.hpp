#ifndef RHUBARBRUN_PROTOCOL_CALLER_PROTOCOL_HPP
#define RHUBARBRUN_PROTOCOL_CALLER_PROTOCOL_HPP

#include <rhubarbrun/protocol/caller_request.hpp>
#include <rhubarbrun/protocol/pg_messages.hpp>
#include <rhubarbrun/protocol/pg_reader.hpp>
#include <rhubarbrun/protocol/session_settings.hpp>
#include <rhubarbrun/protocol/statement_shape.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// The caller presented another session token with SET.
struct session_token_presented
{
    std::string token;
};

/// The connection is a CancelRequest; it ends with this event.
struct cancel_received
{
    backend_key key;
};

/// The connection must be closed once the output is sent.
struct session_ended
{
    /// Short reason for the log, such as `terminate` or `protocol_error`.
    std::string reason;
};

using caller_event =
    std::variant<session_start, caller_request, session_token_presented,
                 cancel_received, session_ended>;
using caller_events = std::vector<caller_event>;

/// Limits and hooks of one caller connection.
struct caller_protocol_options
{
    /// Largest message from a caller.
    std::size_t max_frame_bytes = std::size_t{1} << 20U;
    /// Messages that may wait behind the running request; see `wants_input`.
    std::size_t max_queued_messages = 1024;
    /// Bytes that may wait behind the running request.
    std::size_t max_queued_bytes = std::size_t{2} << 20U;
    /// Output above which no further request is started.
    std::size_t max_buffered_output = std::size_t{1} << 20U;
    /// Prepared statements and portals of a session, and their bytes.
    std::size_t max_prepared = 256;
    std::size_t max_prepared_bytes = std::size_t{2} << 20U;
    /// Deadline of a request of a session on `database` that sets none; asked
    /// for each request, so that a new bundle applies to open sessions.
    /// Without it the default of `group_limits` applies.
    std::function<duration(const std::string& database)> default_deadline;
    /// Returns an error to refuse the caller; the default trusts everyone.
    std::function<std::optional<request_error>(const session_start&)>
        authenticate;
    /// Whether a presented token is well formed; the default accepts all.
    std::function<bool(std::string_view)> is_valid_token;
    /// Version that callers are told; decides on the dialect of some drivers.
    std::string server_version = "15.0";
};

/// State machine of one caller connection; performs no I/O.
///
/// Feed received bytes, carry out the returned events, and send what
/// `take_output` returns. After `session_start` the owner of the connection
/// calls `accept` or `refuse`, and after each `caller_request` exactly one
/// `complete`. No function throws on what a caller sends.
class caller_protocol
{
public:
    explicit caller_protocol(caller_protocol_options options);

    /// Takes bytes from the caller. Must not be called while `wants_input` is
    /// false, or the memory of the queue is not bounded.
    [[nodiscard]] auto feed(std::string_view bytes) -> caller_events;

    /// Whether the queue has room for more bytes.
    [[nodiscard]] auto wants_input() const noexcept -> bool;

    /// Lets the session start; `token` is reported as ParameterStatus unless
    /// it is empty.
    [[nodiscard]] auto accept(const backend_key& key, std::string token)
        -> caller_events;

    /// Ends the connection during startup with `error`.
    [[nodiscard]] auto refuse(const request_error& error) -> caller_events;

    /// Answers the running request. `new_token` is reported to the caller if
    /// it differs from the last one.
    [[nodiscard]] auto complete(const execute_reply& reply,
                                std::optional<std::string> new_token)
        -> caller_events;

    /// Ends the session with 57P01 if no request runs or waits and no
    /// transaction is open; otherwise nothing happens.
    ///
    /// Not to be called right after an answer was sent: libpq takes an error
    /// that it reads together with ReadyForQuery for a notice, and the next
    /// request then fails without an SQLSTATE.
    [[nodiscard]] auto end_if_idle() -> caller_events;

    /// Ends the session with 57P01 as soon as no request runs or waits and no
    /// transaction is open, also right after an answer.
    [[nodiscard]] auto drain() -> caller_events;

    /// Continues after output was taken; see `max_buffered_output`.
    [[nodiscard]] auto resume() -> caller_events;

    /// Moves out the bytes to send.
    [[nodiscard]] auto take_output() -> std::string;
    [[nodiscard]] auto has_output() const noexcept -> bool
    {
        return !output_.empty();
    }

    /// Whether a request was emitted and not yet completed.
    [[nodiscard]] auto is_running() const noexcept -> bool
    {
        return running_.has_value();
    }
    [[nodiscard]] auto is_in_transaction() const noexcept -> bool
    {
        return status_ != transaction_status::idle;
    }
    [[nodiscard]] auto is_ended() const noexcept -> bool
    {
        return phase_ == phase::ended;
    }

private:
    enum class phase : std::uint8_t
    {
        startup,
        waiting_for_accept,
        ready,
        ended,
    };
    /// Which bytes the answer of the running request turns into.
    enum class answer_form : std::uint8_t
    {
        simple_query,
        execute,
        execute_described,
        describe_statement,
        describe_portal,
    };
    struct prepared
    {
        std::string text;
        std::vector<std::uint32_t> types;
        std::size_t bytes = 0;
    };
    struct portal
    {
        statement body;
        std::size_t bytes = 0;
    };
    struct running_request
    {
        answer_form form = answer_form::simple_query;
        transaction_step step = transaction_step::single;
        bool is_read_only = false;
        /// A lost connection ends the transaction as ROLLBACK does.
        bool is_rollback = false;
        std::int16_t result_format = 0;
    };

    /// What became of a message.
    enum class handling : std::uint8_t
    {
        done,
        /// Emitted as a request, whose answer is awaited.
        running,
        /// Depends on messages that have not arrived yet.
        wait_for_more,
    };

    auto advance() -> caller_events;
    auto queue_frames() -> void;
    auto end_between_statements() -> void;
    auto end_session(std::string reason) -> void;
    auto fail_protocol(std::string_view message) -> void;

    auto on_startup(std::string_view body) -> void;
    auto start_session(std::string_view body) -> void;
    auto set_at_start(const std::string& name, const std::string& value,
                      session_start& start) -> bool;
    auto refuse_start(std::string_view code, std::string_view message) -> void;

    auto on_message(const pg_frame& frame) -> handling;
    auto on_query(std::string_view body) -> handling;
    auto on_parse(std::string_view body) -> void;
    auto on_bind(std::string_view body) -> void;
    auto on_describe(std::string_view body) -> handling;
    auto on_execute(std::string_view body) -> handling;
    auto on_close(std::string_view body) -> void;
    auto on_sync() -> void;

    auto run(const std::vector<statement_info>& parts, statement body,
             answer_form form) -> handling;
    auto run_at_target(const std::vector<statement_info>& parts, statement body,
                       answer_form form) -> handling;
    auto run_in_lost_transaction(const std::vector<statement_info>& parts,
                                 answer_form form) -> handling;
    auto check_batch() -> std::optional<handling>;
    auto emit(caller_request request, running_request running) -> handling;
    auto emit_describe(statement body, answer_form form) -> handling;

    [[nodiscard]] auto is_local(const statement_info& info,
                                bool is_in_block) const -> bool;
    auto run_local(const statement_info& info, answer_form form) -> bool;
    auto run_set(const statement_info& info) -> bool;
    auto run_reset(const statement_info& info) -> bool;
    [[nodiscard]] auto default_deadline() const -> duration;
    auto run_show(const statement_info& info, answer_form form) -> bool;
    auto run_deallocate(const statement_info& info) -> bool;
    auto forget_statement(std::string_view name) -> void;
    auto forget_portal(std::string_view name) -> void;
    auto forget_portals() -> void;
    [[nodiscard]] auto has_room(std::size_t bytes) const noexcept -> bool;

    auto append_answer(const execute_reply& reply) -> bool;
    auto apply_status(const execute_reply& reply) -> void;
    auto end_transaction() -> void;
    auto finish_simple() -> void;
    /// Sends an ErrorResponse and always returns false.
    auto fail(std::string_view code, std::string_view message) -> bool;
    auto report_token(std::string token) -> void;

    caller_protocol_options options_;
    pg_frame_reader reader_;
    phase phase_ = phase::startup;
    std::deque<pg_frame> queue_;
    std::size_t queued_bytes_ = 0;
    std::string output_;
    caller_events events_;
    session_settings settings_;
    std::string user_;
    std::string database_;
    std::string application_name_;
    std::string token_;
    std::map<std::string, prepared, std::less<>> prepared_;
    std::map<std::string, portal, std::less<>> portals_;
    std::size_t prepared_bytes_ = 0;
    std::optional<running_request> running_;
    transaction_status status_ = transaction_status::idle;
    bool is_transaction_read_only_ = false;
    /// The proxy, not the target, ended the transaction with an error.
    bool is_transaction_lost_ = false;
    /// A transaction that the proxy failed is still open at the target.
    bool is_open_at_target_ = false;
    /// An extended query message came since the last Sync.
    bool is_in_batch_ = false;
    bool is_skipping_to_sync_ = false;
    bool is_draining_ = false;
    /// A statement outside a transaction ran since the last Sync.
    bool has_run_since_sync_ = false;
    /// The next Execute also answers the Describe of its portal.
    bool is_described_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
