#include "target_server.hpp"

#include "target_announcer.hpp"
#include "target_replication.hpp"
#include "target_session.hpp"

#include <rhubarbrun/protocol/pg_writer.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/target_queries.hpp>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <random>
#include <stdexcept>
#include <unistd.h>

namespace rhubarbrun::bench {

namespace {

constexpr auto owner_prefix = std::string_view("rhubarbrun/");

auto offset_text(std::uint64_t position) -> std::string
{
    return to_string(log_offset(position));
}

auto truth(bool value) -> std::string
{
    return value ? "t" : "f";
}

auto number_argument(const std::vector<column_value>& arguments) -> std::int64_t
{
    if (arguments.empty() || !arguments[0]) {
        throw sql_error("22023", "a number is expected");
    }
    return std::strtoll(arguments[0]->c_str(), nullptr, 10);
}

auto switch_argument(const std::vector<column_value>& arguments) -> bool
{
    if (arguments.empty() || !arguments[0]) {
        throw sql_error("22023", "on or off is expected");
    }
    return *arguments[0] == "t" || *arguments[0] == "on" ||
           *arguments[0] == "true";
}

auto timestamp_text(std::int64_t now_us) -> std::string
{
    constexpr auto us_per_second = std::int64_t{1'000'000};
    const auto seconds = static_cast<std::time_t>(now_us / us_per_second);
    auto parts = std::tm{};
    ::gmtime_r(&seconds, &parts);
    auto text = std::array<char, 64>{};
    const auto size =
        std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    auto fraction = std::to_string(us_per_second + now_us % us_per_second);
    fraction[0] = '.';
    return std::string(text.data(), size) + fraction + "+00";
}

/// Value of `name` in a connection string with quoted values.
auto connection_value(const std::string& text, const std::string& name)
    -> std::string
{
    const auto start = text.find(name + "=");
    if (start == std::string::npos) {
        return {};
    }
    auto value = std::string{};
    auto index = start + name.size() + 1;
    const auto is_quoted = index < text.size() && text[index] == '\'';
    for (index += is_quoted ? 1 : 0; index < text.size(); ++index) {
        if (is_quoted ? text[index] == '\'' : text[index] == ' ') {
            break;
        }
        if (text[index] == '\\' && index + 1 < text.size()) {
            ++index;
        }
        value.push_back(text[index]);
    }
    return value;
}

auto write_row(std::string& out, bool has_description,
               const std::vector<std::string>& names, const row_values& row)
    -> void
{
    auto writer = pg_writer(out);
    if (has_description) {
        auto columns = std::vector<column_description>{};
        for (const auto& name : names) {
            columns.emplace_back().name = name;
        }
        writer.row_description(columns);
    }
    writer.data_row(row);
    writer.command_complete("SELECT 1");
}

} // namespace

auto system_time_us() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto parse_endpoint(const std::string& text) -> asio::ip::tcp::endpoint
{
    const auto colon = text.rfind(':');
    auto port = std::uint16_t{0};
    auto failure = error_code{};
    const auto address = asio::ip::make_address(text.substr(0, colon), failure);
    if (colon != std::string::npos && !failure) {
        const auto* end = text.data() + text.size();
        const auto [parsed, wrong] =
            std::from_chars(text.data() + colon + 1, end, port);
        if (wrong == std::errc{} && parsed == end) {
            return {address, port};
        }
    }
    throw std::invalid_argument("address " + text +
                                " has not the form address:port");
}

target_server::target_server(asio::io_context& context, target_options options)
    : context_(context),
      options_(std::move(options)),
      acceptor_(context),
      signals_(context, SIGTERM, SIGINT),
      leave_timer_(context),
      engine_(
          store_,
          [this](const std::string& name,
                 const std::vector<column_value>& arguments) {
              return call(name, arguments);
          },
          [this](const std::string& name) { return view(name); }),
      secret_(std::random_device{}()),
      lag_(options_.lag)
{
    engine_.on_release = [this](const row_lock& lock) {
        const auto found = waiters_.find(lock);
        if (found == waiters_.end()) {
            return;
        }
        for (const auto& waiter : found->second) {
            asio::post(context_, [waiter] {
                if (const auto session = waiter.lock()) {
                    session->retry();
                }
            });
        }
        waiters_.erase(found);
    };
    const auto endpoint = asio::ip::tcp::endpoint(
        asio::ip::make_address(options_.address), options_.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    options_.port = acceptor_.local_endpoint().port();
    if (!options_.primary.empty()) {
        primary_ = options_.primary;
        reload();
    }
    announcer_ = std::make_shared<target_announcer>(*this);
    announcer_->start();
    signals_.async_wait([this](error_code failure, int) {
        if (!failure) {
            leave();
        }
    });
    accept_next();
}

target_server::~target_server() = default;

auto target_server::accept_next() -> void
{
    acceptor_.async_accept([this](error_code failure,
                                  asio::ip::tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            const auto key =
                backend_key{++last_process_, secret_ + last_process_ * 7919U};
            const auto session =
                std::make_shared<target_session>(*this, std::move(socket), key);
            sessions_[key.process] = session;
            session->start();
        }
        accept_next();
    });
}

auto target_server::leave() -> void
{
    is_leaving_ = true;
    announcer_->announce();
    leave_timer_.expires_after(options_.leave_time);
    leave_timer_.async_wait([this](error_code) { context_.stop(); });
    signals_.async_wait([this](error_code, int) { context_.stop(); });
}

auto target_server::silent_until() const
    -> std::optional<std::chrono::steady_clock::time_point>
{
    if (silent_until_ && *silent_until_ > std::chrono::steady_clock::now()) {
        return silent_until_;
    }
    return std::nullopt;
}

auto target_server::start_statement() -> std::size_t
{
    ++running_;
    most_running_ = std::max(most_running_, running_);
    overruns_ += running_ > options_.slots ? 1 : 0;
    return running_;
}

auto target_server::wait_for_lock(const row_lock& lock,
                                  const std::weak_ptr<target_session>& session)
    -> void
{
    waiters_[lock].push_back(session);
}

auto target_server::wake_replicas() -> void
{
    for (const auto& [process, session] : sessions_) {
        if (session->is_streaming()) {
            session->send_records();
        }
    }
}

auto target_server::remove(std::uint32_t process) -> void
{
    // Posted, as the session may be in a loop over all sessions.
    asio::post(context_, [this, process] { sessions_.erase(process); });
}

auto target_server::client_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(),
        [](const auto& entry) { return !entry.second->is_replica(); }));
}

auto target_server::cancel(const backend_key& key) -> void
{
    const auto found = sessions_.find(key.process);
    if (found != sessions_.end() && found->second->key() == key) {
        found->second->cancel();
    }
}

auto target_server::terminate(std::uint32_t process) -> bool
{
    const auto found = sessions_.find(process);
    if (found == sessions_.end()) {
        return false;
    }
    found->second->terminate(
        std::string(sqlstate::admin_shutdown),
        "terminating connection due to administrator command");
    return true;
}

auto target_server::terminate_older(std::uint64_t epoch) -> older_backends
{
    auto counts = older_backends{};
    for (const auto& [process, session] : sessions_) {
        const auto& name = session->application_name();
        const auto slash = name.rfind('/');
        if (session.get() == current_ || !name.starts_with(owner_prefix) ||
            slash < owner_prefix.size())
        {
            continue;
        }
        const auto other = std::strtoull(name.c_str() + slash + 1, nullptr, 10);
        if (other < epoch) {
            ++counts.standing;
            counts.running += session->activity() == "active" ? 1U : 0U;
            counts.ended += terminate(process) ? 1U : 0U;
        }
    }
    return counts;
}

auto target_server::drop_replicas() -> void
{
    for (const auto& [process, session] : sessions_) {
        if (session->is_replica()) {
            asio::post(context_, [session = session] { session->close(); });
        }
    }
}

auto target_server::promote() -> void
{
    if (!receiver_) {
        throw sql_error("55000", "recovery is not in progress");
    }
    receiver_->stop();
    receiver_.reset();
    store_.promote();
    // Replicas of this server must learn of the new timeline.
    drop_replicas();
    log_event("promoted")
        .field("server", options_.server)
        .field("timeline", store_.timeline())
        .field("position", offset_text(store_.replayed()));
}

auto target_server::set_system(const std::string& name,
                               const std::string& value) -> void
{
    if (name == "primary_conninfo") {
        primary_ = value.empty() ? ""
                                 : connection_value(value, "host") + ":" +
                                       connection_value(value, "port");
    }
}

auto target_server::reload() -> void
{
    if (primary_.empty()) {
        return;
    }
    auto endpoint = asio::ip::tcp::endpoint{};
    try {
        endpoint = parse_endpoint(primary_);
    } catch (const std::invalid_argument& error) {
        throw sql_error("22023", error.what());
    }
    if (receiver_) {
        receiver_->stop();
    } else {
        // The sessions of a former primary may have begun to write.
        for (const auto& [process, session] : sessions_) {
            if (session.get() != current_ && !session->is_replica()) {
                terminate(process);
            }
        }
    }
    drop_replicas();
    receiver_ =
        std::make_shared<log_receiver>(*this, endpoint, options_.server);
    receiver_->start();
    log_event("following")
        .field("server", options_.server)
        .field("primary", primary_);
}

auto target_server::call(const std::string& name,
                         const std::vector<column_value>& arguments)
    -> std::optional<column_value>
{
    const auto is_replica = is_in_recovery();
    if (name == "pg_is_in_recovery") {
        return truth(is_replica);
    }
    if (name == "pg_current_wal_lsn" || name == "pg_current_wal_flush_lsn" ||
        name == "pg_current_wal_insert_lsn")
    {
        if (is_replica) {
            throw sql_error("55000", "recovery is in progress");
        }
        return offset_text(store_.received());
    }
    if (name == "pg_last_wal_replay_lsn") {
        return is_replica ? column_value(offset_text(store_.replayed()))
                          : column_value();
    }
    if (name == "pg_last_wal_receive_lsn") {
        return is_replica ? column_value(offset_text(store_.received()))
                          : column_value();
    }
    if (name == "pg_backend_pid") {
        return std::to_string(current_ == nullptr ? 0
                                                  : current_->key().process);
    }
    if (name == "pg_sleep") {
        return column_value("");
    }
    if (name == "now" || name == "clock_timestamp") {
        return timestamp_text(system_time_us());
    }
    if (name == "version") {
        return column_value("PostgreSQL 15.0 (stand-in)");
    }
    return call_control(name, arguments);
}

auto target_server::call_control(const std::string& name,
                                 const std::vector<column_value>& arguments)
    -> std::optional<column_value>
{
    if (name == "pg_promote") {
        promote();
        return column_value("t");
    }
    if (name == "pg_reload_conf") {
        reload();
        return column_value("t");
    }
    if (name == "pg_terminate_backend") {
        return truth(
            terminate(static_cast<std::uint32_t>(number_argument(arguments))));
    }
    if (name == "pg_cancel_backend") {
        const auto found = sessions_.find(
            static_cast<std::uint32_t>(number_argument(arguments)));
        if (found != sessions_.end()) {
            found->second->cancel();
        }
        return truth(found != sessions_.end());
    }
    if (name == "standin_silence") {
        // Starts after the answer to this statement is on its way.
        const auto time = std::chrono::milliseconds(number_argument(arguments));
        const auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_after(std::chrono::milliseconds(5));
        timer->async_wait([this, timer, time](error_code) {
            silent_until_ = std::chrono::steady_clock::now() + time;
        });
        return column_value("t");
    }
    if (name == "standin_mute") {
        for (const auto& [process, session] : sessions_) {
            if (session.get() != current_) {
                session->mute();
            }
        }
        return column_value("t");
    }
    if (name == "standin_partition") {
        is_partitioned_ = switch_argument(arguments);
        if (is_partitioned_) {
            drop_replicas();
            if (receiver_) {
                receiver_->disconnect();
            }
        }
        return truth(is_partitioned_);
    }
    if (name == "standin_lag") {
        lag_ = std::chrono::milliseconds(number_argument(arguments));
        return std::to_string(lag_.count());
    }
    if (name == "standin_leave") {
        is_leaving_ = switch_argument(arguments);
        announcer_->announce();
        return truth(is_leaving_);
    }
    if (name == "standin_crash") {
        ::_exit(EXIT_FAILURE);
    }
    return std::nullopt;
}

auto target_server::view(const std::string& name) const -> std::optional<table>
{
    auto result = table{};
    auto& columns = result.definition.columns;
    if (name == "pg_stat_replication") {
        columns = {"pid",       "application_name", "state",     "sent_lsn",
                   "write_lsn", "flush_lsn",        "replay_lsn"};
        for (const auto& [process, session] : sessions_) {
            if (session->is_streaming()) {
                const auto received = offset_text(session->received());
                result.rows[std::to_string(process)] = {
                    std::to_string(process),
                    session->application_name(),
                    "streaming",
                    offset_text(session->sent()),
                    received,
                    received,
                    offset_text(session->replayed())};
            }
        }
    } else if (name == "pg_stat_activity") {
        columns = {"pid", "application_name", "datname", "state"};
        for (const auto& [process, session] : sessions_) {
            if (session->is_started()) {
                result.rows[std::to_string(process)] = {
                    std::to_string(process), session->application_name(),
                    options_.database, session->activity()};
            }
        }
    } else if (name == "pg_control_checkpoint") {
        columns = {"timeline_id"};
        result.rows["1"] = {std::to_string(store_.timeline())};
    } else {
        return std::nullopt;
    }
    result.definition.types.assign(columns.size(), "text");
    return result;
}

auto target_server::run_known(std::string_view text,
                              const std::vector<column_value>& parameters,
                              bool has_description, std::string& out) -> bool
{
    static const auto state_text = server_state_query().text;
    static const auto terminate_text =
        terminate_older_query(owner_epoch(0)).text;
    if (text == state_text) {
        const auto last = store_.last_replayed_at_us();
        auto row = row_values{
            truth(is_in_recovery()), std::to_string(store_.timeline()),
            offset_text(store_.replayed()), offset_text(store_.received()),
            std::to_string(system_time_us())};
        row.push_back(is_in_recovery() && last
                          ? column_value(std::to_string(*last))
                          : column_value());
        write_row(out, has_description,
                  {"pg_is_in_recovery", "timeline", "position", "received",
                   "read_at", "last_replayed_at"},
                  row);
        return true;
    }
    if (text == terminate_text) {
        const auto epoch =
            parameters.empty() || !parameters[0]
                ? 0U
                : std::strtoull(parameters[0]->c_str(), nullptr, 10);
        // Nothing is ended while no session executes, as when describing.
        const auto counts =
            current_ == nullptr ? older_backends{} : terminate_older(epoch);
        write_row(out, has_description, {"count", "count", "count"},
                  {std::to_string(counts.standing),
                   std::to_string(counts.running),
                   std::to_string(counts.ended)});
        return true;
    }
    return false;
}

auto target_server::show(const std::string& name) const
    -> std::optional<std::string>
{
    if (name == "standin_overruns") {
        return std::to_string(overruns_);
    }
    if (name == "standin_most_running") {
        return std::to_string(most_running_);
    }
    if (name == "server_version") {
        return "15.0";
    }
    if (name == "transaction_read_only") {
        return is_in_recovery() ? "on" : "off";
    }
    if (name == "max_connections") {
        return std::to_string(options_.connection_limit);
    }
    if (name == "primary_conninfo") {
        return primary_;
    }
    return std::nullopt;
}

} // namespace rhubarbrun::bench
