#ifndef RHUBARBRUN_BENCH_TARGET_SERVER_HPP
#define RHUBARBRUN_BENCH_TARGET_SERVER_HPP

#include "target_engine.hpp"

#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/target_queries.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::bench {

struct target_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string database;
    std::string server;
    std::string zone;
    std::size_t slots = 3;
    std::size_t connection_limit = 90;
    std::chrono::microseconds connect_delay{12000};
    /// Service times: SELECT by key, SELECT of many rows, a write, the end of
    /// a transaction.
    std::chrono::microseconds read_time{1000};
    std::chrono::microseconds scan_time{20000};
    std::chrono::microseconds write_time{2000};
    std::chrono::microseconds commit_time{500};
    /// Address and port of the primary; empty for a primary.
    std::string primary;
    /// Delay between receiving and replaying a log record.
    std::chrono::milliseconds lag{0};
    /// HTTP addresses of proxies, asked in turn; empty for no announcements.
    std::vector<std::string> announce_to;
    /// Time between SIGTERM, from which on the server announces that it
    /// leaves, and its end.
    std::chrono::milliseconds leave_time{3000};
};

class target_session;
class log_receiver;
class target_announcer;

/// A stand-in for one PostgreSQL server, on one thread.
///
/// Differs from PostgreSQL where tests need it: data is in memory; statements
/// beyond the slots run slower and are counted; a former primary follows
/// another server after `ALTER SYSTEM SET primary_conninfo` and
/// `pg_reload_conf()`, dropping the part of its log that the other server does
/// not have, for which PostgreSQL needs pg_rewind.
class target_server
{
public:
    target_server(asio::io_context& context, target_options options);
    ~target_server();
    target_server(const target_server&) = delete;
    auto operator=(const target_server&) -> target_server& = delete;

    [[nodiscard]] auto options() const -> const target_options&
    {
        return options_;
    }
    [[nodiscard]] auto context() -> asio::io_context& { return context_; }
    [[nodiscard]] auto data() -> store& { return store_; }
    [[nodiscard]] auto statements() -> engine& { return engine_; }
    [[nodiscard]] auto is_in_recovery() const -> bool
    {
        return receiver_ != nullptr;
    }
    [[nodiscard]] auto is_partitioned() const -> bool
    {
        return is_partitioned_;
    }
    [[nodiscard]] auto is_leaving() const -> bool { return is_leaving_; }
    [[nodiscard]] auto lag() const -> std::chrono::milliseconds { return lag_; }

    /// End of the silence that tests ordered; no value outside of one.
    [[nodiscard]] auto silent_until() const
        -> std::optional<std::chrono::steady_clock::time_point>;

    /// Counts a statement that starts and returns how many run.
    auto start_statement() -> std::size_t;
    auto end_statement() -> void { --running_; }

    /// Calls `retry` once `lock` is released.
    auto wait_for_lock(const row_lock& lock,
                       const std::weak_ptr<target_session>& session) -> void;

    /// Answers the statements that are known by their whole text.
    [[nodiscard]] auto run_known(std::string_view text,
                                 const std::vector<column_value>& parameters,
                                 bool has_description, std::string& out)
        -> bool;
    [[nodiscard]] auto show(const std::string& name) const
        -> std::optional<std::string>;
    auto set_system(const std::string& name, const std::string& value) -> void;

    auto set_current(target_session* session) -> void { current_ = session; }
    auto cancel(const backend_key& key) -> void;
    auto remove(std::uint32_t process) -> void;
    [[nodiscard]] auto client_count() const -> std::size_t;

    /// Sends new log records to the replicas.
    auto wake_replicas() -> void;
    auto leave() -> void;

private:
    auto accept_next() -> void;
    [[nodiscard]] auto call(const std::string& name,
                            const std::vector<column_value>& arguments)
        -> std::optional<column_value>;
    [[nodiscard]] auto call_control(const std::string& name,
                                    const std::vector<column_value>& arguments)
        -> std::optional<column_value>;
    [[nodiscard]] auto view(const std::string& name) const
        -> std::optional<table>;
    auto terminate(std::uint32_t process) -> bool;
    [[nodiscard]] auto terminate_older(std::uint64_t epoch) -> older_backends;
    auto promote() -> void;
    auto reload() -> void;
    auto drop_replicas() -> void;

    asio::io_context& context_;
    target_options options_;
    asio::ip::tcp::acceptor acceptor_;
    asio::signal_set signals_;
    asio::steady_timer leave_timer_;
    store store_;
    engine engine_;
    std::map<std::uint32_t, std::shared_ptr<target_session>> sessions_;
    std::map<row_lock, std::deque<std::weak_ptr<target_session>>> waiters_;
    std::shared_ptr<log_receiver> receiver_;
    std::shared_ptr<target_announcer> announcer_;
    std::string primary_;
    std::uint32_t last_process_ = 0;
    std::uint32_t secret_ = 0;
    target_session* current_ = nullptr;
    std::size_t running_ = 0;
    std::size_t most_running_ = 0;
    std::size_t overruns_ = 0;
    std::chrono::milliseconds lag_{0};
    std::optional<std::chrono::steady_clock::time_point> silent_until_;
    bool is_partitioned_ = false;
    bool is_leaving_ = false;
};

/// Microseconds since 1970 by the system's clock.
[[nodiscard]] auto system_time_us() -> std::int64_t;

/// Splits `address:port`.
///
/// @throws std::invalid_argument if the text has another form
[[nodiscard]] auto parse_endpoint(const std::string& text)
    -> asio::ip::tcp::endpoint;

} // namespace rhubarbrun::bench

#endif
