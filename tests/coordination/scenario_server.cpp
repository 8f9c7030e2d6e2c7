#include "scenario_server.hpp"

#include <algorithm>

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

/// A replica that reports no position for this long counts as not streaming.
constexpr auto streaming_timeout = duration(2s);
/// Invariant 7: a leaving target receives no new work after this time.
constexpr auto leaving_timeout = duration(3s);

} // namespace

scenario_server::scenario_server(scenario_network& network,
                                 server_history& history, std::string name)
    : network_(&network), history_(&history), name_(std::move(name))
{
}

auto scenario_server::report() const -> server_report
{
    auto out = server_report{};
    out.status = {is_in_recovery, timeline, log_offset(log.size())};
    for (const auto& [replica, entry] : flushed_) {
        if (network_->now() - entry.second < streaming_timeout) {
            out.followers[replica] = entry.first;
        }
    }
    return out;
}

auto scenario_server::execute(connection_number connection, std::uint64_t epoch,
                              const scenario_statement& statement)
    -> server_answer
{
    auto& at = backends_[connection];
    at.epoch = epoch;
    check_transaction(at, statement);
    check_leaving(at, statement);
    last_statement_at = network_->now();
    ++history_->execution_counts[statement.attempt];
    auto out = server_answer{};
    out.attempt = statement.attempt;
    out.server = name_;
    switch (statement.kind) {
    case statement_kind::read:
        check_read(statement);
        break;
    case statement_kind::begin:
        at.transaction = statement.session;
        break;
    case statement_kind::commit:
        for (auto& record : std::exchange(at.written, {})) {
            append(std::move(record));
        }
        at.transaction.reset();
        break;
    case statement_kind::write: {
        if (is_in_recovery) {
            out.has_target_error = true;
            break;
        }
        if (!statement.key.empty() && keys_.contains(statement.key)) {
            out.is_from_record = true;
            --history_->execution_counts[statement.attempt];
            break;
        }
        auto record = log_record{statement.order, statement.key,
                                 statement.attempt, network_->now()};
        if (at.transaction) {
            at.written.push_back(std::move(record));
        } else {
            append(std::move(record));
        }
        break;
    }
    }
    out.status = at.transaction ? transaction_status::in_transaction
                                : transaction_status::idle;
    return out;
}

auto scenario_server::check_transaction(const backend& at,
                                        const scenario_statement& statement)
    -> void
{
    if (at.transaction && *at.transaction != statement.session) {
        history_->violations.push_back(
            "invariant 3: a statement of " + statement.session +
            " ran in the transaction of " + *at.transaction + " at " + name_);
    }
}

auto scenario_server::check_leaving(const backend& at,
                                    const scenario_statement& statement) -> void
{
    const auto is_late =
        is_leaving && network_->now() - leaving_since > leaving_timeout;
    if (is_late && !at.transaction) {
        history_->violations.push_back("invariant 7: " + statement.session +
                                       " got work to the leaving " + name_);
    }
}

auto scenario_server::check_read(const scenario_statement& statement) -> void
{
    for (const auto& order : statement.expected_orders) {
        if (!has_order(order)) {
            history_->violations.push_back("invariant 1: a read of " +
                                           statement.session + " at " + name_ +
                                           " does not see its own " + order);
        }
    }
}

auto scenario_server::append(log_record record) -> void
{
    record.committed = network_->now();
    orders_.insert(record.order);
    if (!record.key.empty()) {
        keys_.insert(record.key);
    }
    log.push_back(std::move(record));
}

auto scenario_server::order_count(const std::string& order) const -> int
{
    return static_cast<int>(orders_.count(order));
}

auto scenario_server::close(connection_number connection) -> void
{
    backends_.erase(connection);
}

auto scenario_server::close_disconnected() -> void
{
    std::erase_if(backends_, [&](const auto& entry) {
        return network_->is_closed(entry.first);
    });
}

auto scenario_server::terminate_older(std::uint64_t epoch) -> void
{
    std::erase_if(backends_, [&](const auto& entry) {
        return entry.second.epoch < epoch;
    });
}

auto scenario_server::promote() -> void
{
    if (is_in_recovery) {
        is_in_recovery = false;
        ++timeline;
        upstream.clear();
        flushed_.clear();
    }
}

auto scenario_server::crash() -> void
{
    backends_.clear();
    flushed_.clear();
}

auto scenario_server::follow(const scenario_server& source) -> bool
{
    if (source.timeline < timeline || log.size() > source.log.size()) {
        return false;
    }
    const auto is_prefix =
        log.empty() || source.log[log.size() - 1].attempt == log.back().attempt;
    if (!is_prefix) {
        return false;
    }
    timeline = source.timeline;
    while (log.size() < source.log.size()) {
        const auto& next = source.log[log.size()];
        if (next.committed + replication_lag > network_->now()) {
            break;
        }
        const auto committed = next.committed;
        append(next);
        log.back().committed = committed;
    }
    return true;
}

auto scenario_server::on_flushed(const std::string& replica,
                                 std::uint64_t position) -> void
{
    flushed_[replica] = {position, network_->now()};
}

auto scenario_server::copy_from(const scenario_server& source) -> void
{
    log = source.log;
    orders_ = source.orders_;
    keys_ = source.keys_;
    timeline = source.timeline;
    is_in_recovery = true;
    backends_.clear();
    flushed_.clear();
}

} // namespace rhubarbrun::tests
