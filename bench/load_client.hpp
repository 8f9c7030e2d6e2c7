#ifndef RHUBARBRUN_BENCH_LOAD_CLIENT_HPP
#define RHUBARBRUN_BENCH_LOAD_CLIENT_HPP

#include <rhubarbrun/state/verdict.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

struct pg_conn;

namespace rhubarbrun::bench {

/// Outcome of one statement as a caller sees it.
struct load_result
{
    verdict outcome = verdict::not_run;
    /// SQLSTATE; empty for success or a lost connection.
    std::string code;
    /// Values of the first column.
    std::vector<std::string> values;
    /// Wait that a refusal asks for.
    std::chrono::milliseconds retry_after{0};

    [[nodiscard]] auto is_good() const -> bool
    {
        return outcome == verdict::ran && code.empty();
    }
};

/// A blocking libpq session that moves to another proxy when its connection
/// is lost, and takes its session token along.
class load_client
{
public:
    /// @param proxies addresses in the form `address:port`
    /// @param first index of the proxy to start with
    load_client(std::vector<std::string> proxies, std::size_t first,
                std::string database, std::string options);

    /// Connects if needed; returns whether there is a connection.
    auto connect(std::chrono::steady_clock::time_point deadline) -> bool;

    /// Runs `text`; without an answer by `deadline` the connection is closed.
    auto run(const std::string& text,
             std::chrono::steady_clock::time_point deadline) -> load_result;

    /// Times that a connection was opened.
    [[nodiscard]] auto connect_count() const -> std::size_t
    {
        return connect_count_;
    }

private:
    struct closer
    {
        auto operator()(pg_conn* connection) const -> void;
    };

    auto wait(bool for_write, std::chrono::steady_clock::time_point deadline)
        -> bool;
    auto collect(std::chrono::steady_clock::time_point deadline) -> load_result;
    auto disconnect() -> void;

    std::vector<std::string> proxies_;
    std::size_t next_;
    std::string database_;
    std::string options_;
    std::string token_;
    std::unique_ptr<pg_conn, closer> connection_;
    std::size_t connect_count_ = 0;
};

} // namespace rhubarbrun::bench

#endif
