#include "target_session.hpp"

#include <algorithm>

// The part of the session that follows the query protocol.

namespace rhubarbrun::bench {

auto target_session::status() const -> transaction_status
{
    if (!transaction_.is_explicit) {
        return transaction_status::idle;
    }
    return transaction_.is_failed ? transaction_status::failed
                                  : transaction_status::in_transaction;
}

auto target_session::ready() -> void
{
    pg_writer(output_).ready_for_query(status());
    if (status() != transaction_status::idle && idle_limit_.count() > 0) {
        idle_timer_.expires_after(idle_limit_);
        idle_timer_.async_wait([self = shared_from_this()](error_code failure) {
            if (!failure) {
                self->terminate("25P03", "terminating connection due to "
                                         "idle-in-transaction timeout");
            }
        });
    }
}

auto target_session::end_implicit(bool is_good) -> void
{
    if (transaction_.is_explicit) {
        return;
    }
    if (is_good) {
        server_.statements().commit(transaction_, system_time_us());
        server_.wake_replicas();
    } else {
        server_.statements().rollback(transaction_);
    }
}

auto target_session::on_query(const std::string& body) -> void
{
    const auto text = parse_query(body);
    pending_.clear();
    for (const auto part : split_commands(text)) {
        pending_.emplace_back(part);
    }
    if (pending_.empty()) {
        pg_writer(output_).empty(pg::empty_query);
        ready();
        return;
    }
    run_next();
}

auto target_session::run_next() -> void
{
    auto text = std::move(pending_.front());
    pending_.pop_front();
    run(std::move(text), {}, true, [this](bool is_good) {
        if (is_good && !pending_.empty()) {
            run_next();
            return;
        }
        pending_.clear();
        end_implicit(is_good);
        ready();
    });
}

auto target_session::on_parse(const std::string& body) -> void
{
    auto message = parse_parse(body);
    auto types = message.parameter_types;
    prepared_[message.statement] =
        prepared{std::move(message.text), std::move(types)};
    pg_writer(output_).empty(pg::parse_complete);
}

auto target_session::on_bind(const std::string& body) -> void
{
    auto message = parse_bind(body);
    const auto found = prepared_.find(message.statement);
    if (found == prepared_.end()) {
        fail("26000", "prepared statement does not exist");
        return;
    }
    const auto& formats = message.parameter_formats;
    if (std::find(formats.begin(), formats.end(), 1) != formats.end()) {
        fail("0A000", "binary parameters are not supported");
        return;
    }
    portals_[message.portal] =
        portal{found->second.text, std::move(message.parameters)};
    pg_writer(output_).empty(pg::bind_complete);
}

auto target_session::on_close(const std::string& body) -> void
{
    const auto message = parse_object(body);
    if (message.kind == 'S') {
        prepared_.erase(message.name);
    } else {
        portals_.erase(message.name);
    }
    pg_writer(output_).empty(pg::close_complete);
}

auto target_session::on_describe(const std::string& body) -> void
{
    const auto message = parse_object(body);
    auto text = std::string{};
    auto types = std::vector<std::uint32_t>{};
    if (message.kind == 'S') {
        const auto found = prepared_.find(message.name);
        if (found == prepared_.end()) {
            fail("26000", "prepared statement does not exist");
            return;
        }
        text = found->second.text;
        types = found->second.types;
    } else {
        const auto found = portals_.find(message.name);
        if (found == portals_.end()) {
            fail("34000", "portal does not exist");
            return;
        }
        text = found->second.text;
    }
    auto out = pg_writer(output_);
    try {
        const auto parts = split_commands(text);
        auto wanted = command{};
        auto columns = std::vector<column_description>{};
        auto answer = std::string{};
        if (!parts.empty() &&
            !server_.run_known(text, {std::string("0")}, true, answer))
        {
            wanted = parse_command(parts[0]);
            columns = server_.statements().describe(wanted);
        } else if (!answer.empty()) {
            wanted.parameters = 1;
            columns.resize(3);
            for (auto& column : columns) {
                column.name = "count";
            }
        }
        if (message.kind == 'S') {
            types.resize(wanted.parameters, pg::text_type);
            std::replace(types.begin(), types.end(), 0U, pg::text_type);
            out.parameter_description(types);
        }
        if (columns.empty()) {
            out.empty(pg::no_data);
        } else {
            out.row_description(columns);
        }
    } catch (const sql_error& error) {
        fail(error.code(), error.what());
    }
}

auto target_session::on_execute(const std::string& body) -> void
{
    const auto message = parse_execute(body);
    const auto found = portals_.find(message.portal);
    if (found == portals_.end()) {
        fail("34000", "portal does not exist");
        return;
    }
    const auto parts = split_commands(found->second.text);
    if (parts.empty()) {
        pg_writer(output_).empty(pg::empty_query);
        return;
    }
    run(std::string(parts[0]), found->second.parameters, false,
        [this](bool is_good) { is_skipping_ = !is_good; });
}

auto target_session::on_sync() -> void
{
    end_implicit(!is_skipping_);
    is_skipping_ = false;
    portals_.clear();
    ready();
}

auto target_session::fail(const std::string& code, const std::string& message)
    -> void
{
    pg_writer(output_).error("ERROR", code, message);
    if (transaction_.is_explicit) {
        transaction_.is_failed = true;
    } else {
        server_.statements().rollback(transaction_);
    }
    // Within a simple query `finish` sees the failure; there is no Sync.
    is_skipping_ = !running_;
}

} // namespace rhubarbrun::bench
