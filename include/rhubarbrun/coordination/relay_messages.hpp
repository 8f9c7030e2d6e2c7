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

/// What a statement asks for.
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
    /// The caller's id of the request; empty for statements of the relay.
    std::string id;
    relay_step step = relay_step::malformed;
    /// `begin`: the transaction only reads. `prepare`: the shape reads.
    bool is_read_only = false;
    /// Name of a session value or of a prepared statement.
    std::string name;
    /// Value, shape, or item with data, as the step needs it.
    std::string text;
    /// The server must refuse unless its log holds this position.
    std::optional<log_position> floor;
};

/// Why a statement failed.
enum class relay_error : std::uint8_t
{
    none,
    /// Nothing ran; it may be sent again.
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
    /// It is not known whether it ran.
    in_doubt,
    timeout,
    /// The server ran it and failed.
    failed,
    /// No such prepared statement; nothing ran.
    unknown_name,
    no_database,
    malformed,
    /// Another code of the server, which is in the text.
    other,
};

/// Name of an error for logs.
[[nodiscard]] auto to_string(relay_error error) noexcept -> std::string_view;

/// The answer to one statement.
struct relay_reply
{
    std::vector<std::string> rows;
    relay_error error = relay_error::none;
    /// The server's signature of a success, or the text of an error.
    std::string detail;
    transaction_status status = transaction_status::idle;
    /// End of the log of the server that answered.
    std::optional<log_position> position;

    [[nodiscard]] auto is_success() const noexcept -> bool
    {
        return error == relay_error::none;
    }
};

} // namespace rhubarbrun::inline v1

#endif
