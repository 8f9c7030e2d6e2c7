#ifndef RHUBARBRUN_BENCH_TARGET_SESSION_HPP
#define RHUBARBRUN_BENCH_TARGET_SESSION_HPP

#include "target_server.hpp"

#include <rhubarbrun/protocol/pg_reader.hpp>
#include <rhubarbrun/protocol/pg_writer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::bench {

/// One connection to the stand-in target: a client or a replica.
class target_session : public std::enable_shared_from_this<target_session>
{
public:
    target_session(target_server& server, asio::ip::tcp::socket socket,
                   backend_key key);

    auto start() -> void;
    auto close() -> void;
    /// Ends the session with a FATAL error.
    auto terminate(const std::string& code, const std::string& message) -> void;
    auto cancel() -> void;
    /// Makes this connection silent for good.
    auto mute() -> void { is_muted_ = true; }
    /// A lock that this session waits for was released.
    auto retry() -> void;
    /// Sends log records to a replica.
    auto send_records() -> void;

    [[nodiscard]] auto key() const -> const backend_key& { return key_; }
    [[nodiscard]] auto application_name() const -> const std::string&
    {
        return application_name_;
    }
    /// As in column `state` of `pg_stat_activity`.
    [[nodiscard]] auto activity() const -> std::string;
    [[nodiscard]] auto is_replica() const -> bool { return is_replica_; }
    [[nodiscard]] auto is_streaming() const -> bool { return is_streaming_; }
    [[nodiscard]] auto is_started() const -> bool { return is_started_; }
    [[nodiscard]] auto sent() const -> std::uint64_t { return next_position_; }
    [[nodiscard]] auto received() const -> std::uint64_t { return received_; }
    [[nodiscard]] auto replayed() const -> std::uint64_t { return replayed_; }

private:
    struct prepared
    {
        std::string text;
        std::vector<std::uint32_t> types;
    };
    struct portal
    {
        std::string text;
        std::vector<column_value> parameters;
    };
    using done_handler = std::function<void(bool)>;
    /// A statement between its start and its answer.
    struct running_statement
    {
        std::string text;
        std::vector<column_value> parameters;
        bool has_description = false;
        done_handler done;
        std::optional<command> parsed;
    };

    auto read() -> void;
    auto write() -> void;
    [[nodiscard]] auto wait_while_silent() -> bool;
    auto advance() -> void;
    auto handle(const pg_frame& frame) -> void;

    auto on_startup(const std::string& body) -> void;
    auto start_client() -> void;
    auto start_replica() -> void;
    auto on_replica_message(const pg_frame& frame) -> void;
    auto on_query(const std::string& body) -> void;
    auto run_next() -> void;
    auto on_parse(const std::string& body) -> void;
    auto on_bind(const std::string& body) -> void;
    auto on_describe(const std::string& body) -> void;
    auto on_execute(const std::string& body) -> void;
    auto on_close(const std::string& body) -> void;
    auto on_sync() -> void;
    auto ready() -> void;

    auto run(std::string text, std::vector<column_value> parameters,
             bool has_description, done_handler done) -> void;
    [[nodiscard]] auto service_time(const running_statement& statement) const
        -> std::chrono::microseconds;
    auto execute_now() -> void;
    auto execute_command(const command& wanted, std::string& answer) -> void;
    auto finish(bool is_good) -> void;
    auto fail(const std::string& code, const std::string& message) -> void;
    auto end_implicit(bool is_good) -> void;
    [[nodiscard]] auto status() const -> transaction_status;

    target_server& server_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer idle_timer_;
    asio::steady_timer silence_timer_;
    backend_key key_;
    pg_frame_reader reader_;
    std::array<char, 16384> chunk_{};
    std::deque<pg_frame> frames_;
    std::string output_;
    std::string sending_;
    std::string application_name_;
    std::chrono::milliseconds idle_limit_{0};
    std::map<std::string, prepared> prepared_;
    std::map<std::string, portal> portals_;
    transaction transaction_;
    std::optional<running_statement> running_;
    std::deque<std::string> pending_;
    bool is_started_ = false;
    bool is_busy_ = false;
    bool is_timed_ = false;
    bool is_waiting_for_lock_ = false;
    bool is_writing_ = false;
    bool is_closed_ = false;
    bool is_closing_ = false;
    bool is_muted_ = false;
    bool is_skipping_ = false;
    bool is_waiting_for_silence_ = false;
    bool is_replica_ = false;
    bool is_streaming_ = false;
    std::uint64_t next_position_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t replayed_ = 0;
};

} // namespace rhubarbrun::bench

#endif
