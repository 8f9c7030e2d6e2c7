#ifndef RHUBARBRUN_TESTS_PLATFORM_CONNECTION_MODEL_HPP
#define RHUBARBRUN_TESTS_PLATFORM_CONNECTION_MODEL_HPP

#include "wire_codec.hpp"

#include <rhubarbrun/coordination/session_relay.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

/// What becomes of a statement at a server and of its answer. The connection
/// lives on.
enum class answer_fate : std::uint8_t
{
    given,
    /// It ran, and nothing of the answer arrives.
    lost,
    /// It failed while it ran.
    failed,
    /// It did not run.
    refused,
    /// It ran, and the answer ends after the given part.
    cut_in_outcome,
    cut_before_state,
    cut_in_state,
    /// It ran, and the answer arrives after the statement's time is over, as do
    /// the answers that follow on the connection.
    late,
};
inline constexpr auto answer_fate_count = 8;

/// What a caller does.
enum class caller_action : std::uint8_t
{
    read,
    /// Of a prepared statement, whose name all callers use for different ones.
    execute,
    write,
    set_value,
    begin,
    commit,
    rollback,
    /// Ends the session.
    leave,
};
inline constexpr auto caller_action_count = 8;

/// Orders of statements of a few sessions that share connections, and what
/// becomes of them.
struct connection_history
{
    struct entry
    {
        std::size_t session = 0;
        caller_action action = caller_action::read;
    };
    std::vector<entry> entries;
    std::size_t sessions = 2;
    /// Of every session.
    read_consistency consistency = read_consistency::primary;
    /// Each entry follows at once, not only after the answer to the one before.
    bool is_hasty = false;
    /// Servers take values back with the transaction that set them.
    bool do_values_roll_back = false;
    /// By the number of the statement at all servers; others are given.
    std::map<std::size_t, answer_fate> fates;
};

/// A `session_relay` and the codec of the platform before one primary and one
/// replica with one connection each. Bytes that servers send are cut off or
/// held back as the history says. An oracle compares what runs at the servers
/// with what callers were told.
class connection_model
{
public:
    explicit connection_model(connection_history history);

    auto run() -> void;

    /// Rule and description of each violation.
    std::vector<std::pair<std::string, std::string>> violations;
    /// Statements that arrived at servers.
    std::size_t messages = 0;
    std::size_t successes = 0;

private:
    struct run_record
    {
        std::string proof;
        std::vector<std::string> rows;
    };
    struct request
    {
        std::string id;
        std::size_t session = 0;
        caller_action action = caller_action::read;
        std::string text;
        std::vector<run_record> runs;
    };
    struct prepared_shape
    {
        bool is_read = false;
        std::string shape;
        auto operator==(const prepared_shape&) const -> bool = default;
    };
    /// A caller and what was acknowledged to it.
    struct caller
    {
        session_id id;
        std::deque<std::string> unanswered;
        std::map<std::string, std::string> values;
        prepared_shape prepared;
        bool is_in_transaction = false;
        bool has_left = false;
        /// Of the open transaction.
        std::vector<std::string> writes;
        std::optional<connection_id> connection;
    };
    /// One session of a server.
    struct server_session
    {
        bool is_primary = false;
        bool is_open = true;
        char state = 'I';
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_shape> prepared;
        std::map<std::string, std::string> values_at_begin;
        std::vector<std::string> writes;
        /// The caller whose transaction is open.
        std::optional<std::size_t> owner;
        /// An answer was lost or cut off.
        bool is_doubtful = false;
        time_point silent_until;
        std::string held_back;
        line_splitter lines;
        reply_parser parser;
    };
    struct message
    {
        connection_id connection;
        std::string line;
    };

    auto make_hooks() -> relay_hooks;
    auto start_callers() -> void;
    auto act(const connection_history::entry& entry) -> void;
    auto ask(std::size_t session, caller_action action, relay_statement what)
        -> void;
    /// Lets servers and time work until every statement is answered.
    auto settle() -> void;
    auto advance() -> void;
    auto open_connections() -> void;
    auto serve() -> void;
    /// The answer without its last message; changes the state of the session.
    auto carry_out(server_session& at, connection_id id, request* of,
                   std::string_view text) -> std::string;
    auto run_data(server_session& at, request& of, bool is_read) -> std::string;
    auto check_place(server_session& at, connection_id id, const request& of,
                     bool is_write) -> void;
    auto deliver(connection_id id, server_session& at, std::string_view bytes)
        -> void;
    auto commit(const std::string& id) -> void;
    auto forbid(const std::vector<std::string>& ids) -> void;
    auto on_reply(caller& to, const relay_reply& reply) -> void;
    auto violate(std::string rule, const std::string& what) -> void;

    connection_history history_;
    time_point now_ = time_point(std::chrono::seconds(100));
    std::vector<caller> callers_;
    std::map<std::string, request> requests_;
    std::map<connection_id, server_session> servers_;
    std::deque<connection_id> opening_;
    std::deque<message> sent_;
    std::set<std::string> committed_;
    std::set<std::string> forbidden_;
    std::size_t last_request_ = 0;
    std::size_t last_run_ = 0;
    std::size_t last_value_ = 0;
    session_relay relay_;
};

} // namespace rhubarbrun_tests

#endif
