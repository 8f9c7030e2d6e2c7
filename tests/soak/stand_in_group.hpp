#ifndef RHUBARBRUN_TESTS_SOAK_STAND_IN_GROUP_HPP
#define RHUBARBRUN_TESTS_SOAK_STAND_IN_GROUP_HPP

#include "soak_ledger.hpp"

#include <rhubarbrun/transport/asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rhubarbrun_soak {

/// One database server of a group that speaks the platform's wire protocol.
///
/// It runs in the soak's own process, so that the ledger sees every statement
/// at the moment at which it takes effect.
struct stand_in_server
{
    std::string id;
    std::string zone;
    asio::ip::tcp::endpoint listens_at;
    /// Where callers reach it, which is a relay.
    std::string address;
    bool is_running = true;
    bool is_primary = false;
    std::uint64_t term = 1;
    std::vector<std::shared_ptr<commit>> log;
    /// Commits of the log that reads see.
    std::size_t applied = 0;
    /// How far it is behind the primary.
    duration lag = milliseconds(10);
    std::uint64_t sequence = 0;
    std::int64_t started_ms = 0;
    /// Raised at each crash; connections of a former run end.
    std::uint64_t run = 0;
    std::size_t connections = 0;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
};

/// A primary and its replicas, with asynchronous replication.
class stand_in_group
{
public:
    stand_in_group(asio::io_context& context, soak_ledger& ledger,
                   std::string name, std::uint64_t seed);

    auto add(std::string id, std::string zone,
             asio::ip::tcp::endpoint listens_at, std::string address) -> void;
    auto start() -> void;

    /// Makes the server lead the next term; false if it does not run.
    auto promote(const std::string& id) -> bool;
    auto crash(std::size_t index) -> void;
    auto restart(std::size_t index) -> void;

    [[nodiscard]] auto name() const noexcept -> const std::string&
    {
        return name_;
    }
    [[nodiscard]] auto servers() -> std::vector<stand_in_server>&
    {
        return servers_;
    }

    /// Chance that an answer is lost after its statement ran, in percent.
    int lost_answers = 0;

private:
    struct session;

    auto accept(std::size_t index) -> void;
    auto serve(asio::ip::tcp::socket socket, std::size_t index)
        -> asio::awaitable<void>;
    /// The answer to a query; empty if it is lost.
    auto answer(session& caller, std::string_view line) -> std::string;
    auto run(session& caller, const std::string& id, std::string_view text)
        -> std::string;
    auto run_data(session& caller, const std::string& id, std::string_view text,
                  bool is_read, const std::string& shape) -> std::string;
    auto commit_writes(session& caller, const std::string& id) -> void;
    auto status_row(const stand_in_server& server) const -> std::string;
    auto ready(const session& caller) const -> std::string;
    auto replicate() -> void;
    auto lead(std::size_t index) -> void;
    auto follow_primary(stand_in_server& server) -> void;

    asio::io_context& context_;
    soak_ledger& ledger_;
    std::string name_;
    std::mt19937_64 random_;
    std::vector<stand_in_server> servers_;
    asio::steady_timer timer_;
    std::uint64_t last_connection_ = 0;
};

} // namespace rhubarbrun_soak

#endif
