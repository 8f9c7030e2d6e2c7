#include "target_libpq.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun::detail {

namespace {

/// PQcancel blocks until the target's host responds or `user_timeout` is
/// over, so cancels run on their own threads.
constexpr auto cancel_threads = std::size_t{2};
/// More waiting cancels than this are dropped; deadlines still end the
/// statements.
constexpr auto max_waiting_cancels = 64;

auto server_options(const target_connection_options& options) -> std::string
{
    // Fixed for all sessions that share the connection; see
    // `is_target_setting`.
    return "-c idle_in_transaction_session_timeout=" +
           std::to_string(to_milliseconds(options.idle_in_transaction_limit)) +
           " -c standard_conforming_strings=on -c datestyle=ISO,MDY"
           " -c intervalstyle=postgres -c timezone=UTC"
           " -c bytea_output=hex -c extra_float_digits=1";
}

auto cancel_pool() -> asio::thread_pool&
{
    // Never destroyed: the destructor would wait for cancels at exit.
    static auto* pool = new asio::thread_pool(cancel_threads);
    return *pool;
}

auto waiting_cancels() -> std::atomic<int>&
{
    static auto count = std::atomic<int>{0};
    return count;
}

} // namespace

auto start_connection(const target_connection_options& options) -> PGconn*
{
    const auto parameters = std::vector<std::pair<const char*, std::string>>{
        {"hostaddr", options.address},
        {"port", std::to_string(options.port)},
        {"dbname", options.database},
        {"user", options.user},
        {"password", options.password},
        // The account's own password file is no part of the settings. libpq
        // warns of a file that is not plain, but not of a missing one.
        {"passfile", "/dev/null/none"},
        {"application_name", options.application_name},
        {"client_encoding", "UTF8"},
        {"sslmode", "disable"},
        {"gssencmode", "disable"},
        {"options", server_options(options)},
        {"keepalives", "1"},
        {"keepalives_idle", std::to_string(options.keepalive_idle.count())},
        {"keepalives_interval",
         std::to_string(options.keepalive_interval.count())},
        {"keepalives_count", std::to_string(options.keepalive_count)},
        {"tcp_user_timeout",
         std::to_string(to_milliseconds(options.user_timeout))}};
    auto names = std::vector<const char*>{};
    auto values = std::vector<const char*>{};
    for (const auto& [name, value] : parameters) {
        names.push_back(name);
        values.push_back(value.c_str());
    }
    names.push_back(nullptr);
    values.push_back(nullptr);
    return PQconnectStartParams(names.data(), values.data(), 0);
}

auto send_cancel(PGconn* connection) -> void
{
    auto request =
        std::shared_ptr<PGcancel>(PQgetCancel(connection), &PQfreeCancel);
    if (!request) {
        return;
    }
    if (waiting_cancels().fetch_add(1) >= max_waiting_cancels) {
        waiting_cancels().fetch_sub(1);
        return;
    }
    asio::post(cancel_pool(), [request] {
        auto message = std::array<char, 256>{};
        PQcancel(request.get(), message.data(),
                 static_cast<int>(message.size()));
        waiting_cancels().fetch_sub(1);
    });
}

auto send_parameterized(PGconn* connection, const statement& body) -> int
{
    const auto count = body.parameters.size();
    auto types = body.parameter_types;
    types.resize(count, 0);
    auto values = std::vector<const char*>{};
    auto lengths = std::vector<int>{};
    auto formats = std::vector<int>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        const auto& value = body.parameters[index];
        values.push_back(value ? value->c_str() : nullptr);
        lengths.push_back(value ? static_cast<int>(value->size()) : 0);
        formats.push_back(index < body.parameter_formats.size()
                              ? body.parameter_formats[index]
                              : 0);
    }
    return PQsendQueryParams(
        connection, body.text.c_str(), static_cast<int>(count), types.data(),
        values.data(), lengths.data(), formats.data(), body.result_format);
}

} // namespace rhubarbrun::detail
