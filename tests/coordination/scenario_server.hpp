#ifndef RHUBARBRUN_TESTS_COORDINATION_SCENARIO_SERVER_HPP
#define RHUBARBRUN_TESTS_COORDINATION_SCENARIO_SERVER_HPP

#include "scenario_network.hpp"

#include <rhubarbrun/coordination/failover.hpp>
#include <rhubarbrun/state/request_error.hpp>
#include <rhubarbrun/state/transaction_status.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

// Fake database server: a log with one record per committed write, timelines,
// asynchronous replication, backends with transactions, and the table of
// request keys, which is a part of the log.

namespace rhubarbrun::tests {

/// Identifies one execution that a caller requested; a retry by the caller is
/// a new attempt.
using attempt_number = std::uint64_t;

enum class statement_kind : std::uint8_t
{
    write,
    read,
    begin,
    commit,
};

/// A statement with the data that the checks need.
struct scenario_statement
{
    statement_kind kind = statement_kind::read;
    attempt_number attempt = 0;
    std::string session;
    std::string order;
    std::string key;
    bool is_idempotent = false;
    /// Acknowledged orders of the session, which a read has to see.
    std::vector<std::string> expected_orders;
};

struct server_answer
{
    attempt_number attempt = 0;
    transaction_status status = transaction_status::idle;
    bool is_from_record = false;
    bool has_target_error = false;
    std::string server;
};

/// Result of a status poll of a server.
struct server_report
{
    server_status status;
    /// Streaming replicas and their flushed positions.
    std::map<std::string, std::uint64_t> followers;
};

struct log_record
{
    std::string order;
    std::string key;
    attempt_number attempt = 0;
    time_point committed;
};

/// Events at the servers, recorded for the checks.
struct server_history
{
    std::vector<std::string> violations;
    /// Number of executions by attempt.
    std::map<attempt_number, int> execution_counts;
};

class scenario_server
{
public:
    scenario_server(scenario_network& network, server_history& history,
                    std::string name);

    /// Time that the server takes to answer a statement (`statement_time`),
    /// and a status query or command (`query_time`).
    duration statement_time = std::chrono::milliseconds(1);
    duration query_time = std::chrono::milliseconds(1);
    duration replication_lag{};
    std::string upstream;
    bool is_in_recovery = true;
    std::uint32_t timeline = 1;
    std::vector<log_record> log;
    bool is_announcing = true;
    bool is_leaving = false;
    time_point leaving_since;
    /// Start time of the last statement of a caller.
    std::optional<time_point> last_statement_at;

    [[nodiscard]] auto name() const -> const std::string& { return name_; }
    template <class Answer>
    [[nodiscard]] auto time_for() const -> duration
    {
        return std::is_same_v<Answer, server_answer> ? statement_time
                                                     : query_time;
    }
    [[nodiscard]] auto report() const -> server_report;
    [[nodiscard]] auto execute(connection_number connection,
                               std::uint64_t epoch,
                               const scenario_statement& statement)
        -> server_answer;
    auto close(connection_number connection) -> void;
    /// Rolls back the transactions of connections that are closed.
    auto close_disconnected() -> void;
    /// Terminates backends of owners with an epoch before `epoch`.
    auto terminate_older(std::uint64_t epoch) -> void;
    auto promote() -> void;
    /// Discards all state that is not in the log.
    auto crash() -> void;
    /// Copies the records of `source` that this server may have received by
    /// now; returns false if the histories differ, as streaming is impossible
    /// then.
    auto follow(const scenario_server& source) -> bool;
    /// Records the position that a replica has flushed.
    auto on_flushed(const std::string& replica, std::uint64_t position) -> void;
    [[nodiscard]] auto has_order(const std::string& order) const -> bool
    {
        return orders_.contains(order);
    }
    [[nodiscard]] auto order_count(const std::string& order) const -> int;
    auto copy_from(const scenario_server& source) -> void;

private:
    struct backend
    {
        std::uint64_t epoch = 0;
        std::optional<std::string> transaction;
        std::vector<log_record> written;
    };

    auto append(log_record record) -> void;
    auto check_transaction(const backend& at,
                           const scenario_statement& statement) -> void;
    auto check_leaving(const backend& at, const scenario_statement& statement)
        -> void;
    auto check_read(const scenario_statement& statement) -> void;

    scenario_network* network_;
    server_history* history_;
    std::string name_;
    std::map<connection_number, backend> backends_;
    std::multiset<std::string> orders_;
    std::set<std::string> keys_;
    std::map<std::string, std::pair<std::uint64_t, time_point>> flushed_;
};

} // namespace rhubarbrun::tests

#endif
