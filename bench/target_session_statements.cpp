#include "target_session.hpp"

#include <algorithm>
#include <cstdlib>

// The part of the session that runs one statement: its service time, locks and
// commands.

namespace rhubarbrun::bench {

namespace {

/// After this a wait for a lock counts as a deadlock, as
/// `deadlock_timeout` in PostgreSQL.
constexpr auto lock_timeout = std::chrono::seconds(1);

auto is_write(command_kind kind) -> bool
{
    return kind == command_kind::create_table ||
           kind == command_kind::drop_table || kind == command_kind::insert ||
           kind == command_kind::update || kind == command_kind::remove;
}

/// Time of pg_sleep in a select list.
auto sleep_time(const command& wanted,
                const std::vector<column_value>& parameters)
    -> std::chrono::microseconds
{
    auto total = std::chrono::microseconds(0);
    if (wanted.kind != command_kind::select) {
        return total;
    }
    for (const auto& item : wanted.values[0]) {
        if (item.type != expression::kind::call || item.text != "pg_sleep" ||
            item.arguments.size() != 1)
        {
            continue;
        }
        const auto& argument = item.arguments[0];
        auto text = argument.text;
        if (argument.type == expression::kind::parameter &&
            argument.parameter <= parameters.size())
        {
            text = parameters[argument.parameter - 1].value_or("0");
        }
        constexpr auto microseconds_per_second = 1e6;
        total += std::chrono::microseconds(static_cast<std::int64_t>(
            std::strtod(text.c_str(), nullptr) * microseconds_per_second));
    }
    return total;
}

} // namespace

auto target_session::run(std::string text, std::vector<column_value> parameters,
                         bool has_description, done_handler done) -> void
{
    is_busy_ = true;
    running_ =
        running_statement{std::move(text), std::move(parameters),
                          has_description, std::move(done), std::nullopt};
    auto answer = std::string{};
    if (!server_.run_known(running_->text, running_->parameters,
                           has_description, answer))
    {
        try {
            running_->parsed = parse_command(running_->text);
        } catch (const sql_error& error) {
            fail(error.code(), error.what());
            finish(false);
            return;
        }
    }
    const auto running = server_.start_statement();
    is_timed_ = true;
    // Beyond the slots the statements share the processors of the server.
    const auto share = std::max(running, server_.options().slots) * 1000U /
                       std::max<std::size_t>(server_.options().slots, 1);
    const auto delay =
        service_time(*running_) * static_cast<std::int64_t>(share) / 1000;
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](error_code failure) {
        if (self->is_closed_ || !self->is_timed_) {
            return;
        }
        self->is_timed_ = false;
        self->server_.end_statement();
        if (failure) {
            self->fail(std::string(sqlstate::query_canceled),
                       "canceling statement due to user request");
            self->finish(false);
        } else {
            self->execute_now();
        }
        self->advance();
    });
}

auto target_session::service_time(const running_statement& statement) const
    -> std::chrono::microseconds
{
    const auto& options = server_.options();
    if (!statement.parsed) {
        return options.read_time;
    }
    const auto& wanted = *statement.parsed;
    if (is_write(wanted.kind)) {
        return options.write_time;
    }
    if (wanted.kind == command_kind::commit) {
        return options.commit_time;
    }
    if (wanted.kind != command_kind::select) {
        return std::chrono::microseconds(0);
    }
    const auto is_scan = !wanted.table.empty() && wanted.conditions.empty() &&
                         server_.data().find(wanted.table) != nullptr;
    return (is_scan ? options.scan_time : options.read_time) +
           sleep_time(wanted, statement.parameters);
}

auto target_session::execute_now() -> void
{
    auto answer = std::string{};
    server_.set_current(this);
    try {
        if (transaction_.is_failed &&
            (!running_->parsed ||
             (running_->parsed->kind != command_kind::commit &&
              running_->parsed->kind != command_kind::rollback)))
        {
            throw sql_error("25P02",
                            "current transaction is aborted, commands ignored "
                            "until end of transaction block");
        }
        if (running_->parsed) {
            execute_command(*running_->parsed, answer);
        } else {
            static_cast<void>(
                server_.run_known(running_->text, running_->parameters,
                                  running_->has_description, answer));
        }
    } catch (const lock_conflict& conflict) {
        server_.set_current(nullptr);
        if (!std::exchange(is_waiting_for_lock_, true)) {
            timer_.expires_after(lock_timeout);
            timer_.async_wait([self = shared_from_this()](error_code failure) {
                if (self->is_closed_ ||
                    !std::exchange(self->is_waiting_for_lock_, false)) {
                    return;
                }
                self->fail(failure ? std::string(sqlstate::query_canceled)
                                   : std::string("40P01"),
                           failure ? "canceling statement due to user request"
                                   : "deadlock detected");
                self->finish(false);
                self->advance();
            });
        }
        server_.wait_for_lock(conflict.lock, weak_from_this());
        return;
    } catch (const sql_error& error) {
        server_.set_current(nullptr);
        fail(error.code(), error.what());
        finish(false);
        return;
    }
    server_.set_current(nullptr);
    output_ += answer;
    finish(true);
}

auto target_session::retry() -> void
{
    if (is_closed_ || !is_waiting_for_lock_) {
        return;
    }
    is_waiting_for_lock_ = false;
    timer_.cancel();
    execute_now();
    advance();
}

auto target_session::finish(bool is_good) -> void
{
    is_busy_ = false;
    const auto done = std::move(running_->done);
    running_.reset();
    done(is_good);
}

auto target_session::execute_command(const command& wanted, std::string& answer)
    -> void
{
    auto out = pg_writer(answer);
    switch (wanted.kind) {
    case command_kind::begin:
        transaction_.is_explicit = true;
        transaction_.is_read_only = wanted.is_read_only;
        out.command_complete("BEGIN");
        return;
    case command_kind::commit: {
        const auto is_failed = transaction_.is_failed;
        server_.statements().commit(transaction_, system_time_us());
        server_.wake_replicas();
        out.command_complete(is_failed ? "ROLLBACK" : "COMMIT");
        return;
    }
    case command_kind::rollback:
        server_.statements().rollback(transaction_);
        out.command_complete("ROLLBACK");
        return;
    case command_kind::set:
        out.command_complete("SET");
        return;
    case command_kind::show: {
        const auto value = server_.show(wanted.table);
        if (!value) {
            throw sql_error("42704", "unrecognized configuration parameter \"" +
                                         wanted.table + "\"");
        }
        if (running_->has_description) {
            out.row_description(server_.statements().describe(wanted));
        }
        out.data_row({*value});
        out.command_complete("SHOW");
        return;
    }
    case command_kind::alter_system:
        server_.set_system(wanted.table, wanted.values[0][0].text);
        out.command_complete("ALTER SYSTEM");
        return;
    default:
        break;
    }
    const auto is_read_only = transaction_.is_read_only;
    transaction_.is_read_only = is_read_only || server_.is_in_recovery();
    server_.statements().execute(transaction_, wanted, running_->parameters,
                                 running_->has_description, answer);
    transaction_.is_read_only = is_read_only;
}

auto target_session::activity() const -> std::string
{
    if (is_busy_) {
        return "active";
    }
    return transaction_.is_explicit ? "idle in transaction" : "idle";
}

auto target_session::cancel() -> void
{
    if (is_timed_ || is_waiting_for_lock_) {
        timer_.cancel();
    }
}

} // namespace rhubarbrun::bench
