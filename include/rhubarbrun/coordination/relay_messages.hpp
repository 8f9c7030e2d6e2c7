#ifndef RHUBARBRUN_COORDINATION_RELAY_MESSAGES_HPP
#define RHUBARBRUN_COORDINATION_RELAY_MESSAGES_HPP

#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/transaction_status.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Kind of a statement.
enum class relay_step : std::uint8_t
{
    begin,
    commit,
    rollback,
    read,
    write,
    /// Sets a session value.
    set_value,
    prepare,
    execute,
    /// Removes a prepared statement.
    deallocate,
    /// Clears session values and prepared statements; only sent to servers.
    discard,
    /// Not a statement of the protocol.
    malformed,
};

/// One statement, from a caller or to a server.
struct relay_statement
{
    /// The caller's request id; empty for statements that the relay sends
    /// itself.
    std::string id;
    relay_step step = relay_step::malformed;
    /// `begin`: the transaction is read-only. `prepare`: the shape is a read.
    bool is_read_only = false;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// Value, shape, or item with data, depending on the step.
    std::string text;
    /// Position that the server's log must have reached; otherwise the server
    /// refuses the statement.
    std::optional<log_position> floor;
};

/// Why a statement failed.
enum class relay_error : std::uint8_t
{
    none,
    /// Nothing ran; the statement may be retried.
    retry,
    /// The transaction is rolled back; nothing of it is kept.
    aborted,
    /// The server's log lacks the required position; nothing ran.
    lagging,
    /// The server is not the primary; nothing ran.
    read_only,
    /// The connection reached another server than expected.
    wrong_server,
    /// The server has no free connection.
    connection_limit,
    /// It is unknown whether the statement ran.
    in_doubt,
    timeout,
    /// The statement failed while the server ran it.
    failed,
    /// No such prepared statement; nothing ran.
    unknown_name,
    no_database,
    /// The caller's key is not known; nothing ran.
    denied,
    malformed,
    /// Another server error; the text has its code.
    other,
};

/// Name of an error for logs.
[[nodiscard]] auto to_string(relay_error error) noexcept -> std::string_view;

/// The answer to one statement.
struct relay_reply
{
    std::vector<std::string> rows;
    relay_error error = relay_error::none;
    /// The server's signature on success, the text of the error otherwise.
    std::string detail;
    transaction_status status = transaction_status::idle;
    /// End of the log of the server that replied.
    std::optional<log_position> position;

    [[nodiscard]] auto is_success() const noexcept -> bool
    {
        return error == relay_error::none;
    }
};

} // namespace rhubarbrun::inline v1

#endif
