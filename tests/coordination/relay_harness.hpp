#ifndef RHUBARBRUN_TESTS_COORDINATION_RELAY_HARNESS_HPP
#define RHUBARBRUN_TESTS_COORDINATION_RELAY_HARNESS_HPP

#include <rhubarbrun/coordination/session_relay.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

/// A `session_relay` in virtual time, with one group "g" of three servers: "p"
/// (primary), "r1" and "r2". Connections open at once unless configured
/// otherwise; servers reply only when the test makes them.
class relay_harness
{
public:
    struct sent_statement
    {
        connection_id connection;
        relay_statement statement;
    };

    explicit relay_harness(access_rules access = {},
                           server_pool_options options = {zone_id("a"), {}})
        : relay(std::move(options), make_hooks(), access)
    {
        auto configuration = service_configuration{};
        configuration.version = 1;
        configuration.groups[group_id("g")] = {90, 0};
        configuration.transaction_idle_limit = milliseconds(3000);
        add(configuration, "orders", read_consistency::primary);
        add(configuration, "stock", read_consistency::bounded_staleness);
        add(configuration, "sheets", read_consistency::read_your_writes);
        add(configuration, "reports", read_consistency::primary,
            std::chrono::seconds(10));
        relay.set_configuration(
            now, std::make_shared<const service_configuration>(configuration));
        announce("p", server_role::primary);
        announce("r1", server_role::replica);
        announce("r2", server_role::replica);
    }

    static auto add(service_configuration& configuration,
                    const std::string& name, read_consistency consistency,
                    duration timeout = milliseconds(1000)) -> void
    {
        auto route = database_route{};
        route.name = name;
        route.database = database_id(name);
        route.group = group_id("g");
        route.consistency = consistency;
        route.staleness_limit = milliseconds(1500);
        route.statement_timeout = timeout;
        route.latency_objective = timeout / 2;
        add_route(configuration, route);
    }

    auto announce(const std::string& name, server_role role,
                  server_availability state = server_availability::ready)
        -> void
    {
        auto record = server_record{};
        record.id = target_id(name);
        record.group = group_id("g");
        record.address = "127.0.0.1:1";
        record.zone = zone_id("a");
        record.role = role;
        record.state = state;
        record.slots = 5;
        record.sequence = ++sequence_;
        relay.update_server(now, record);
        settle();
    }

    auto start(const std::string& database, const std::string& key = {})
        -> session_id
    {
        const auto id = session_id(++last_session_);
        relay.start_session(now, id, database_id(database), digest_of_key(key));
        return id;
    }

    auto ask(session_id id, relay_step step, const std::string& text = {},
             const std::string& name = {}, bool is_read_only = false) -> void
    {
        auto statement = relay_statement{};
        statement.id = "q" + std::to_string(++last_request_);
        statement.step = step;
        statement.name = name;
        statement.text = text;
        statement.is_read_only = is_read_only;
        relay.on_statement(now, id, statement);
        settle();
    }

    /// Replies to the oldest pending statement.
    auto answer(relay_error error = relay_error::none,
                std::uint64_t position = 100, std::uint64_t at_term = 1)
        -> relay_statement
    {
        const auto first = sent.front();
        sent.pop_front();
        auto reply = relay_reply{};
        reply.error = error;
        reply.detail = "signature";
        reply.position = log_position{term(at_term), log_offset(position)};
        auto& status =
            statuses_.try_emplace(first.connection, transaction_status::idle)
                .first->second;
        if (error == relay_error::none) {
            if (first.statement.step == relay_step::begin) {
                status = transaction_status::in_transaction;
            } else if (first.statement.step == relay_step::commit ||
                       first.statement.step == relay_step::rollback)
            {
                status = transaction_status::idle;
            }
        }
        reply.status = status;
        relay.on_reply(now, first.connection, reply);
        settle();
        return first.statement;
    }

    /// Replies to the oldest pending statement with success, in the state of no
    /// transaction.
    auto answer_idle(const std::string& proof) -> relay_statement
    {
        const auto first = sent.front();
        sent.pop_front();
        auto reply = relay_reply{};
        reply.detail = proof;
        reply.position = log_position{term(1), log_offset(100)};
        statuses_[first.connection] = transaction_status::idle;
        relay.on_reply(now, first.connection, reply);
        settle();
        return first.statement;
    }

    /// Replies with success to all pending statements.
    auto answer_all(std::uint64_t position = 100) -> void
    {
        while (!sent.empty()) {
            answer(relay_error::none, position);
        }
    }

    auto server_of(const sent_statement& each) -> std::string
    {
        return servers_.at(each.connection);
    }

    auto organisation_of(const sent_statement& each) -> std::string
    {
        return organisations_.at(each.connection).value();
    }

    auto way_of(const sent_statement& each) -> std::string
    {
        return ways_.at(each.connection);
    }

    auto lose(connection_id id) -> void
    {
        std::erase_if(sent,
                      [&](const auto& each) { return each.connection == id; });
        relay.on_connection_lost(now, id);
        settle();
    }

    auto pass(duration length) -> void
    {
        const auto end = now + length;
        while (now < end) {
            now = std::min(end, now + milliseconds(5));
            relay.tick(now);
            settle();
        }
    }

    /// Opens the requested connections; servers in `refusals` refuse theirs.
    auto settle() -> void
    {
        while (!opening_.empty() && !is_holding) {
            const auto id = opening_.front();
            opening_.pop_front();
            ++opened;
            const auto& server = servers_.at(id);
            const auto is_refused = ways_.at(id).empty()
                                        ? refusals.contains(server)
                                        : !detours_open;
            if (is_refused && !refusals.contains(server)) {
                relay.on_connect_failed(now, id, connect_failure::unreachable);
            } else if (is_refused) {
                relay.on_connect_failed(now, id, refusals.at(server));
            } else {
                relay.on_connected(now, id);
            }
        }
    }

    [[nodiscard]] auto opening_count() const -> std::size_t
    {
        return opening_.size();
    }

    auto last_reply(session_id id) -> relay_reply&
    {
        return replies.at(id).back();
    }

    time_point now = time_point(std::chrono::seconds(100));
    std::deque<sent_statement> sent;
    std::map<session_id, std::vector<relay_reply>> replies;
    std::vector<session_id> closed;
    /// Sessions with unread bytes.
    std::set<session_id> unread;
    std::map<std::string, connect_failure> refusals;
    std::vector<connection_id> closed_connections;
    std::size_t opened = 0;
    /// Whether connections through other processes can be opened.
    bool detours_open = false;
    /// Whether the configuration is certain to be the newest.
    bool may_deny = true;
    /// Age of the view of the configuration.
    std::optional<duration> view_age = duration::zero();
    /// Judges operations of organisations; empty if none is limited.
    std::function<admission_verdict(const organisation_id&, bool is_first,
                                    duration max_wait)>
        admit;
    /// Takes back the token of an operation that was not sent; may be empty.
    std::function<void(const organisation_id&)> refund;
    /// Whether requested connections stay pending.
    bool is_holding = false;
    /// Whether control can be asked for positions; the test answers.
    bool is_control_asked = false;
    std::vector<std::string> asked_control;
    session_relay relay;

private:
    auto make_hooks() -> relay_hooks
    {
        auto hooks = relay_hooks{};
        hooks.reply = [this](session_id id, const relay_reply& reply) {
            replies[id].push_back(reply);
        };
        hooks.close_session = [this](session_id id) {
            closed.push_back(id);
        };
        hooks.has_unread_bytes = [this](session_id id) {
            return unread.contains(id);
        };
        hooks.send = [this](connection_id id,
                            const std::vector<relay_statement>& statements) {
            for (const auto& each : statements) {
                sent.push_back({id, each});
            }
        };
        hooks.open = [this](connection_id id, const connection_order& order) {
            servers_[id] = order.server.id.value();
            ways_[id] = order.detour;
            organisations_[id] = order.organisation;
            opening_.push_back(id);
        };
        hooks.view_age = [this] {
            return view_age;
        };
        hooks.admit = [this](const organisation_id& organisation, bool is_first,
                             duration max_wait) {
            return admit ? admit(organisation, is_first, max_wait)
                         : admission_verdict::admitted;
        };
        hooks.refund = [this](const organisation_id& organisation) {
            if (refund) {
                refund(organisation);
            }
        };
        hooks.may_deny = [this] {
            return may_deny;
        };
        hooks.ask_position = [this](const group_id& group) {
            if (is_control_asked) {
                asked_control.push_back(group.value());
            }
            return is_control_asked;
        };
        hooks.close = [this](connection_id id) {
            closed_connections.push_back(id);
        };
        return hooks;
    }

    std::map<connection_id, std::string> servers_;
    std::map<connection_id, std::string> ways_;
    std::map<connection_id, organisation_id> organisations_;
    std::map<connection_id, transaction_status> statuses_;
    std::deque<connection_id> opening_;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_session_ = 0;
    std::uint64_t last_request_ = 0;
};

} // namespace rhubarbrun_tests

#endif
