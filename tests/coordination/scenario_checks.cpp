#include "scenario_runner.hpp"

#include <algorithm>

// The part of the runner that simulates callers and checks the expectations.

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto caller_latency = duration(1ms);
constexpr auto load_retry_interval = duration(50ms);
constexpr auto load_deadline = duration(2s);
constexpr auto default_deadline_ms = std::int64_t{5000};

} // namespace

auto scenario_runner::open(caller& who) -> void
{
    who.session = session_id(++last_session_);
    who.is_in_transaction = false;
    who.in_transaction.clear();
    auto& proxy = *proxies_.at(who.proxy);
    who.is_open = network_.is_alive(who.proxy) &&
                  !network_.is_frozen(who.proxy) &&
                  proxy.open_session(who.session, who.group, who.token);
}

auto scenario_runner::close(caller& who) -> void
{
    if (!std::exchange(who.is_open, false)) {
        return;
    }
    if (who.running_attempt != 0) {
        attempts_.at(who.running_attempt).is_answered = true;
        who.running_attempt = 0;
    }
    if (network_.is_alive(who.proxy)) {
        proxies_.at(who.proxy)->close_session(who.session);
    }
}

auto scenario_runner::run_statement(const scenario_step& step,
                                    statement_kind kind) -> void
{
    const auto found = callers_.find(step.text("session"));
    if (found == callers_.end()) {
        add_failure("line " + std::to_string(step.line) + ": no session \"" +
                    step.text("session") + "\"");
        return;
    }
    auto& who = found->second;
    const auto order = step.text("order");
    const auto label = step.text("as", order.empty() ? step.verb : order);
    outcomes_.erase(label);
    auto statement = caller_statement{};
    statement.body.kind = kind;
    statement.body.session =
        who.name + "/" + std::to_string(who.session.value());
    statement.body.order = order;
    statement.body.key = step.text("key");
    statement.body.is_idempotent = step.flag("idempotent");
    statement.deadline = std::chrono::milliseconds(
        step.number("deadline_ms", default_deadline_ms));
    statement.max_age = std::chrono::milliseconds(step.number("max_age_ms"));
    const auto sees_own =
        kind == statement_kind::read && !who.is_in_transaction;
    if (sees_own && !who.token.empty()) {
        statement.body.expected_orders = who.acknowledged;
    }
    if (!who.is_open || who.running_attempt != 0) {
        outcomes_[label] = {verdict::not_run, "closed", false, ""};
        return;
    }
    const auto name = who.name;
    const auto session = who.session;
    execute(who.proxy, who.session, statement,
            [this, name, session, kind, order, label](const auto& reply) {
                auto& asker = callers_.at(name);
                if (asker.session == session) {
                    on_outcome(asker, kind, order, label, reply);
                }
            });
    who.running_attempt = last_attempt_;
    who.label = label;
}

auto scenario_runner::execute(const std::string& proxy, session_id session,
                              const caller_statement& statement,
                              completion_handler done) -> void
{
    const auto attempt = ++last_attempt_;
    auto sent = statement;
    sent.body.attempt = attempt;
    attempts_[attempt].body = sent.body;
    network_.schedule_after(proxy, caller_latency, [=, this] {
        proxies_.at(proxy)->request(
            session, sent, [=, this](const caller_reply& reply) {
                network_.schedule_at(
                    network_.now() + caller_latency,
                    [=, this] { on_answer(attempt, reply, done); });
            });
    });
}

auto scenario_runner::on_answer(attempt_number attempt,
                                const caller_reply& reply,
                                const completion_handler& done) -> void
{
    auto& record = attempts_.at(attempt);
    if (reply.answer.attempt != attempt) {
        add_failure("invariant 4: a caller got the answer to another request");
    }
    if (std::exchange(record.is_answered, true)) {
        return;
    }
    if (reply.outcome == verdict::not_run) {
        not_run_.push_back(attempt);
    }
    done(reply);
}

auto scenario_runner::on_outcome(caller& who, statement_kind kind,
                                 const std::string& order,
                                 const std::string& label,
                                 const caller_reply& reply) -> void
{
    who.running_attempt = 0;
    outcomes_[label] = {reply.outcome, reply.code, reply.answer.is_from_record,
                        reply.answer.server};
    const auto is_ok =
        reply.outcome == verdict::ran && !reply.answer.has_target_error;
    const auto was_in_transaction =
        std::exchange(who.is_in_transaction,
                      is_ok && reply.answer.status != transaction_status::idle);
    auto orders = std::vector<std::string>{};
    if (kind == statement_kind::write && is_ok) {
        if (was_in_transaction) {
            who.in_transaction.push_back(order);
        } else {
            orders.push_back(order);
        }
    }
    if (kind == statement_kind::commit && is_ok) {
        orders = std::exchange(who.in_transaction, {});
    }
    if (!who.is_in_transaction) {
        who.in_transaction.clear();
    }
    for (const auto& each : orders) {
        who.acknowledged.push_back(each);
        acknowledge(who.group, each);
    }
    if (!reply.token.empty()) {
        who.token = reply.token;
    }
}

auto scenario_runner::acknowledge(const group_id& group,
                                  const std::string& order) -> void
{
    acknowledged_[group].insert(order);
    write_times_[group].push_back(network_.now());
}

auto scenario_runner::disconnect_callers(const std::string& proxy) -> void
{
    const auto lost = [](attempt_number attempt) {
        auto reply = caller_reply{};
        reply.outcome = verdict::may_have_run;
        reply.code = "connection lost";
        reply.answer.attempt = attempt;
        return reply;
    };
    for (auto& [name, who] : callers_) {
        if (who.proxy != proxy || !who.is_open) {
            continue;
        }
        who.is_open = false;
        if (who.running_attempt != 0) {
            attempts_.at(who.running_attempt).is_answered = true;
            const auto reply = lost(who.running_attempt);
            outcomes_[who.label] = {reply.outcome, reply.code, false, ""};
            who.running_attempt = 0;
        }
    }
    for (const auto& item : pending_load_) {
        if (item->proxy != proxy || item->running_attempt == 0) {
            continue;
        }
        attempts_.at(item->running_attempt).is_answered = true;
        item->running_attempt = 0;
        network_.schedule_at(network_.now() + load_retry_interval,
                             [this, item] { send_load_item(item); });
    }
}

auto scenario_runner::start_load(const scenario_step& step) -> void
{
    const auto every = std::chrono::milliseconds(step.number("every_ms"));
    const auto count = step.number("for_ms") / step.number("every_ms");
    const auto is_read = step.flag("reads");
    if (!is_read && !write_load_start_) {
        write_load_start_ = network_.now();
    }
    if (!is_read) {
        write_load_end_ =
            network_.now() + std::chrono::milliseconds(step.number("for_ms"));
    }
    for (auto index = std::int64_t{0}; index < count; ++index) {
        auto item = std::make_shared<load_item>();
        item->order = "load-" + std::to_string(++last_load_);
        item->group = group_of(step);
        item->is_read = is_read;
        item->offered = network_.now() + every * index;
        network_.schedule_at(item->offered, [this, item] {
            pending_load_.push_back(item);
            send_load_item(item);
        });
    }
}

auto scenario_runner::send_load_item(const std::shared_ptr<load_item>& item)
    -> void
{
    auto ready = std::vector<std::string>{};
    for (const auto& [name, proxy] : proxies_) {
        const auto is_usable = network_.is_alive(name) &&
                               !network_.is_frozen(name) && proxy->is_ready();
        if (is_usable) {
            ready.push_back(name);
        }
    }
    const auto again = [this, item] {
        network_.schedule_at(network_.now() + load_retry_interval,
                             [this, item] { send_load_item(item); });
    };
    if (ready.empty()) {
        again();
        return;
    }
    item->proxy = ready[network_.random() % ready.size()];
    item->session = session_id(++last_session_);
    auto& proxy = *proxies_.at(item->proxy);
    if (!proxy.open_session(item->session, item->group, "")) {
        again();
        return;
    }
    auto statement = caller_statement{};
    statement.body.kind =
        item->is_read ? statement_kind::read : statement_kind::write;
    statement.body.session = item->order;
    statement.body.order = item->order;
    statement.body.key = item->is_read ? "" : item->order;
    statement.deadline = load_deadline;
    execute(item->proxy, item->session, statement,
            [this, item, again](const caller_reply& reply) {
                item->running_attempt = 0;
                if (network_.is_alive(item->proxy)) {
                    proxies_.at(item->proxy)->close_session(item->session);
                }
                const auto is_ok = reply.outcome == verdict::ran &&
                                   !reply.answer.has_target_error;
                if (!is_ok) {
                    again();
                    return;
                }
                std::erase(pending_load_, item);
                answered_load_.push_back(std::make_shared<answered_item>(
                    answered_item{item->offered, network_.now()}));
                if (!item->is_read) {
                    acknowledge(item->group, item->order);
                }
            });
    item->running_attempt = last_attempt_;
}

auto scenario_runner::require(bool condition, const scenario_step& step,
                              const std::string& seen) -> void
{
    if (!condition) {
        add_failure("line " + std::to_string(step.line) + ": " +
                    to_string(step) + ": " + seen);
    }
}

auto scenario_runner::expect(const scenario_step& step) -> void
{
    const auto& verb = step.verb;
    const auto server = step.text("server");
    const auto* const group = committed_state().find_group(group_of(step));
    const auto primary = group != nullptr && group->primary
                             ? group->primary->target.value()
                             : std::string("none");
    const auto outcome_of = outcomes_.find(step.text("of"));
    if (verb == "verdict") {
        const auto seen =
            outcome_of == outcomes_.end()
                ? std::string("no answer")
                : std::string(to_string(outcome_of->second.value));
        require(seen == step.text("is"), step, "it is " + seen);
    } else if (verb == "answered_from_record") {
        require(outcome_of != outcomes_.end() &&
                    outcome_of->second.is_from_record,
                step, "it is not");
    } else if (verb == "served_by") {
        const auto seen = outcome_of == outcomes_.end()
                              ? std::string("no answer")
                              : outcome_of->second.server;
        require(seen == server, step, "it was " + seen);
    } else if (verb == "primary") {
        require(primary == server, step, "it is " + primary);
    } else if (verb == "not_primary") {
        const auto* const own =
            committed_state().find_group(group_id(group_names_.at(server)));
        require(own->primary && own->primary->target.value() != server, step,
                "it is");
    } else if (verb == "term") {
        const auto seen = group != nullptr && group->primary
                              ? group->primary->group_term.value()
                              : 0;
        require(seen == static_cast<std::uint64_t>(step.number("is")), step,
                "it is " + std::to_string(seen));
    } else if (verb == "bundle") {
        check_bundle(step);
    } else if (verb == "answer") {
        const auto found = operator_answers_.find(step.text("of"));
        const auto seen = found == operator_answers_.end()
                              ? std::string("none")
                              : std::string(to_string(found->second.status));
        require(seen == step.text("status"), step, "it is " + seen);
        if (step.has("proposer") && found != operator_answers_.end()) {
            const auto by = found->second.proposer.value();
            require(by == step.text("proposer"), step, "proposed by " + by);
        }
    } else if (verb == "owner") {
        const auto* const target =
            committed_state().find_target(target_id(server));
        const auto seen = target != nullptr && target->owner
                              ? target->owner->id.value()
                              : std::string("none");
        require((seen == step.text("proxy")) == step.flag("is", true), step,
                "it is " + seen);
    } else if (verb == "no_work" || verb == "work") {
        const auto& last = servers_.at(server)->last_statement_at;
        const auto since =
            network_.now() - std::chrono::milliseconds(step.number("for_ms"));
        const auto has_work = last && *last > since;
        require(has_work == (verb == "work"), step,
                has_work ? "there was work" : "there was none");
    } else if (verb == "ready") {
        const auto seen = proxies_.at(step.text("proxy"))->is_ready();
        require(seen == step.flag("is", true), step,
                seen ? "it is ready" : "it is not ready");
    } else if (verb == "exited") {
        require(exited_proxies_.contains(step.text("proxy")), step,
                "it has not");
    } else if (verb == "write_gap") {
        check_write_gap(step);
    } else if (verb == "answered_share") {
        check_answered_share(step);
    } else if (verb == "leader") {
        const auto has = leader() != nullptr;
        require(has == step.flag("is"), step, has ? "there is" : "none");
    } else if (verb == "not_leader") {
        require(!controls_.at(step.text("who"))->is_leading(), step, "it is");
    } else if (verb == "voters") {
        auto* const control = leader();
        const auto seen = control == nullptr
                              ? 0
                              : control->status().configuration.voter_count();
        require(seen == static_cast<std::size_t>(step.number("is")), step,
                "there are " + std::to_string(seen));
    } else if (verb == "applied") {
        const auto seen =
            controls_.at(step.text("who"))->state().applied().value();
        require(seen >= static_cast<std::uint64_t>(step.number("least")), step,
                "it is " + std::to_string(seen));
    }
}

auto scenario_runner::check_bundle(const scenario_step& step) -> void
{
    const auto version =
        bundle_version(static_cast<std::uint64_t>(step.number("version")));
    for (const auto& [name, proxy] : proxies_) {
        const auto is_meant =
            step.has("on") ? step.text("on") == name : network_.is_alive(name);
        if (!is_meant) {
            continue;
        }
        const auto& header = proxy->view().bundle();
        const auto seen = header ? header->version : bundle_version(0);
        require(seen == version, step,
                name + " has " + std::to_string(seen.value()));
    }
}

auto scenario_runner::check_write_gap(const scenario_step& step) -> void
{
    if (!write_load_start_) {
        require(false, step, "there was no load of writes");
        return;
    }
    for (const auto& name : deployment_.groups) {
        const auto longest = longest_write_gap(name);
        require(longest <= std::chrono::milliseconds(step.number("most_ms")),
                step,
                "in " + name + " it was " +
                    std::to_string(to_milliseconds(longest)) + " ms");
    }
}

auto scenario_runner::longest_write_gap(const std::string& group) const
    -> duration
{
    if (!write_load_start_) {
        return {};
    }
    auto last = *write_load_start_;
    auto longest = duration{};
    const auto found = write_times_.find(group_id(group));
    if (found != write_times_.end()) {
        for (const auto when : found->second) {
            longest = std::max(longest, when - last);
            last = std::max(last, when);
        }
    }
    return std::max(longest, std::min(network_.now(), write_load_end_) - last);
}

auto scenario_runner::check_answered_share(const scenario_step& step) -> void
{
    const auto since =
        network_.now() - std::chrono::milliseconds(step.number("for_ms"));
    auto offered = std::size_t{0};
    auto answered = std::size_t{0};
    for (const auto& item : answered_load_) {
        if (item->offered >= since) {
            ++offered;
            answered += *item->answered - item->offered <= load_deadline;
        }
    }
    for (const auto& item : pending_load_) {
        offered += item->offered >= since;
    }
    const auto percent = offered == 0 ? 0 : 100 * answered / offered;
    require(percent >= static_cast<std::size_t>(step.number("least_percent")),
            step, std::to_string(percent) + "% of " + std::to_string(offered));
}

auto scenario_runner::check_end() -> void
{
    for (const auto attempt : not_run_) {
        if (history_.execution_counts[attempt] > 0) {
            add_failure("invariant 5: order " +
                        attempts_.at(attempt).body.order +
                        " was rejected as not run, but ran");
        }
    }
    for (const auto& [attempt, record] : attempts_) {
        const auto& body = record.body;
        const auto must_run_once = body.kind == statement_kind::write &&
                                   !body.is_idempotent && body.key.empty();
        if (must_run_once && history_.execution_counts[attempt] > 1) {
            add_failure("invariant 6: order " + body.order + " ran twice");
        }
        const auto is_keyed =
            body.kind == statement_kind::write && !body.key.empty();
        for (const auto& [name, server] : servers_) {
            if (is_keyed && server->order_count(body.order) > 1) {
                add_failure("invariant 6: order " + body.order +
                            " is recorded twice at " + name);
            }
        }
    }
    for (const auto& [group, orders] : acknowledged_) {
        const auto* const record = committed_state().find_group(group);
        if (record == nullptr || !record->primary) {
            add_failure("group " + group.value() + " has no primary");
            continue;
        }
        const auto& primary = *servers_.at(record->primary->target.value());
        for (const auto& order : orders) {
            if (!primary.has_order(order)) {
                add_failure("order " + order + " was acknowledged and is lost");
            }
        }
    }
    for (const auto& [version, digest] : rolled_bundles_) {
        auto* const control = leader();
        const auto& header =
            (control == nullptr ? committed_state() : control->state())
                .bundle_in_force();
        const auto is_kept =
            header &&
            (header->version > version ||
             (header->version == version && header->digest == digest));
        if (!is_kept) {
            add_failure("invariant 9: the rolled bundle " +
                        std::to_string(version.value()) + " is not in force");
        }
    }
}

} // namespace rhubarbrun::tests
