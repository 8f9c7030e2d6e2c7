#include "connection_model.hpp"

#include <algorithm>
#include <memory>

namespace rhubarbrun_tests {

namespace {

constexpr auto statement_timeout = milliseconds(1000);
/// Longer than the time of a statement.
constexpr auto late_by = milliseconds(1300);
/// A statement is answered in far fewer steps.
constexpr auto most_steps = 2000;

auto take_word(std::string_view& text) -> std::string_view
{
    const auto end = text.find(' ');
    const auto word = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
    return word;
}

auto is_promise(relay_error error) -> bool
{
    return error == relay_error::retry || error == relay_error::aborted ||
           error == relay_error::lagging || error == relay_error::read_only ||
           error == relay_error::wrong_server ||
           error == relay_error::connection_limit;
}

/// The part of an answer that arrives.
auto part_of(const std::string& answer, answer_fate fate) -> std::string
{
    const auto state = answer.rfind("READY");
    const auto outcome = state == 0 ? 0 : answer.rfind("\r\n", state - 3) + 2;
    switch (fate) {
    case answer_fate::lost:
        return {};
    case answer_fate::cut_in_outcome:
        return answer.substr(0, (outcome == 1 ? 0 : outcome) + 10);
    case answer_fate::cut_before_state:
        return answer.substr(0, state);
    case answer_fate::cut_in_state:
        return answer.substr(0, answer.size() - 3);
    default:
        return answer;
    }
}

} // namespace

connection_model::connection_model(connection_history history)
    : history_(std::move(history)), relay_({zone_id("a"), {}}, make_hooks())
{
    auto configuration = service_configuration{};
    configuration.version = 1;
    configuration.groups[group_id("g")] = {90, 0};
    auto route = database_route{};
    route.name = "route";
    route.database = database_id("db");
    route.group = group_id("g");
    route.consistency = history_.consistency;
    route.staleness_limit = milliseconds(1500);
    route.statement_timeout = statement_timeout;
    route.latency_objective = statement_timeout / 2;
    add_route(configuration, route);
    relay_.set_configuration(
        now_, std::make_shared<const service_configuration>(configuration));
    for (const auto* const name : {"p", "r"}) {
        auto record = server_record{};
        record.id = target_id(name);
        record.group = group_id("g");
        record.address = "127.0.0.1:1";
        record.zone = zone_id("a");
        record.role = std::string_view(name) == "p" ? server_role::primary
                                                    : server_role::replica;
        record.slots = 5;
        record.sequence = 1;
        relay_.update_server(now_, record);
    }
    start_callers();
}

auto connection_model::make_hooks() -> relay_hooks
{
    auto hooks = relay_hooks{};
    hooks.reply = [this](session_id id, const relay_reply& reply) {
        on_reply(callers_.at(id.value() - 1), reply);
    };
    hooks.close_session = [](session_id) {
    };
    hooks.send = [this](connection_id id,
                        const std::vector<relay_statement>& statements) {
        for (const auto& each : statements) {
            auto line = format_statement(each);
            line.resize(line.size() - 2);
            sent_.push_back({id, std::move(line)});
        }
    };
    hooks.open = [this](connection_id id, const connection_order& order) {
        servers_[id].is_primary = order.server.id == target_id("p");
        opening_.push_back(id);
    };
    hooks.close = [this](connection_id id) {
        servers_.at(id).is_open = false;
    };
    return hooks;
}

auto connection_model::start_callers() -> void
{
    callers_.resize(history_.sessions);
    for (auto index = std::size_t{0}; index < callers_.size(); ++index) {
        auto& each = callers_[index];
        each.id = session_id(index + 1);
        relay_.start_session(now_, each.id, database_id("db"));
        // The last of three sessions has no values.
        if (index < 2) {
            auto value = relay_statement{};
            value.step = relay_step::set_value;
            value.name = "n";
            value.text = "v" + std::to_string(index);
            each.values[value.name] = value.text;
            ask(index, caller_action::set_value, value);
        }
        auto shape = relay_statement{};
        shape.step = relay_step::prepare;
        shape.name = "s";
        shape.text = "q" + std::to_string(index);
        shape.is_read_only = index != 1;
        each.prepared = {shape.is_read_only, shape.text};
        ask(index, caller_action::set_value, shape);
    }
}

auto connection_model::run() -> void
{
    for (const auto& entry : history_.entries) {
        act(entry);
        if (!history_.is_hasty) {
            settle();
        }
    }
    settle();
    for (auto index = std::size_t{0}; index < callers_.size(); ++index) {
        act({index, caller_action::leave});
    }
    const auto end = now_ + 2 * late_by;
    while (now_ < end || !sent_.empty()) {
        open_connections();
        if (sent_.empty()) {
            advance();
        } else {
            serve();
        }
    }
}

auto connection_model::act(const connection_history::entry& entry) -> void
{
    auto& from = callers_.at(entry.session);
    if (from.has_left) {
        return;
    }
    auto what = relay_statement{};
    switch (entry.action) {
    case caller_action::read:
        what.step = relay_step::read;
        what.text = "item";
        break;
    case caller_action::execute:
        what.step = relay_step::execute;
        what.name = "s";
        what.text = from.prepared.is_read ? "item" : "item data";
        break;
    case caller_action::write:
        what.step = relay_step::write;
        what.text = "item data";
        break;
    case caller_action::set_value:
        what.step = relay_step::set_value;
        what.name = "n";
        what.text = "w" + std::to_string(++last_value_);
        break;
    case caller_action::begin:
        what.step = relay_step::begin;
        break;
    case caller_action::commit:
        what.step = relay_step::commit;
        break;
    case caller_action::rollback:
        what.step = relay_step::rollback;
        break;
    case caller_action::leave:
        from.has_left = true;
        from.unanswered.clear();
        relay_.end_session(now_, from.id);
        return;
    }
    ask(entry.session, entry.action, std::move(what));
}

auto connection_model::ask(std::size_t session, caller_action action,
                           relay_statement what) -> void
{
    auto& from = callers_.at(session);
    what.id = "q" + std::to_string(++last_request_);
    requests_[what.id] = {what.id, session, action, what.text, {}};
    from.unanswered.push_back(what.id);
    relay_.on_statement(now_, from.id, std::move(what));
}

auto connection_model::open_connections() -> void
{
    while (!opening_.empty()) {
        const auto id = opening_.front();
        opening_.pop_front();
        relay_.on_connected(now_, id);
    }
}

auto connection_model::settle() -> void
{
    for (auto step = 0; step < most_steps; ++step) {
        open_connections();
        if (!sent_.empty()) {
            serve();
            continue;
        }
        const auto is_answered =
            std::all_of(callers_.begin(), callers_.end(), [](const auto& each) {
                return each.unanswered.empty();
            });
        if (is_answered) {
            return;
        }
        advance();
    }
    violate("ANSWER", "a statement is never answered");
}

auto connection_model::advance() -> void
{
    auto next = std::max(relay_.next_due(now_), now_ + milliseconds(1));
    for (auto& [id, each] : servers_) {
        if (each.is_open && !each.held_back.empty()) {
            next = std::min(next, each.silent_until);
        }
    }
    now_ = next;
    relay_.tick(now_);
    for (auto& [id, each] : servers_) {
        if (each.is_open && !each.held_back.empty() &&
            now_ >= each.silent_until) {
            deliver(id, each, std::exchange(each.held_back, {}));
        }
    }
}

auto connection_model::serve() -> void
{
    const auto [id, line] = sent_.front();
    sent_.pop_front();
    now_ += milliseconds(1);
    auto& at = servers_.at(id);
    const auto found = history_.fates.find(messages++);
    const auto fate =
        found == history_.fates.end() ? answer_fate::given : found->second;
    auto text = std::string_view(line);
    static_cast<void>(take_word(text));
    const auto of = requests_.find(std::string(take_word(text)));
    auto* const asked = of == requests_.end() ? nullptr : &of->second;
    if (text.starts_with("WAITLSN")) {
        static_cast<void>(take_word(text));
        static_cast<void>(take_word(text));
    }
    if (asked != nullptr && at.is_doubtful) {
        violate("DOUBT", asked->id + " runs on a connection that lost an "
                                     "answer");
    }
    auto answer = std::string();
    if (fate == answer_fate::failed) {
        at.state = at.state == 'T' ? 'E' : at.state;
        answer = "ERROR FAILED s\r\n";
    } else if (fate == answer_fate::refused) {
        answer = "ERROR RETRY s\r\n";
    } else {
        answer = carry_out(at, id, asked, text);
    }
    answer += std::string("READY ") + at.state + " 1." +
              std::to_string(10 + committed_.size()) + "\r\n";
    if (fate == answer_fate::late) {
        at.silent_until = now_ + late_by;
    }
    const auto arriving = part_of(answer, fate);
    at.is_doubtful |= arriving != answer;
    if (!at.is_open) {
        return;
    }
    if (now_ < at.silent_until) {
        at.held_back += arriving;
    } else {
        deliver(id, at, arriving);
    }
}

auto connection_model::deliver(connection_id id, server_session& at,
                               std::string_view bytes) -> void
{
    at.lines.append(bytes);
    while (at.is_open) {
        const auto line = at.lines.next();
        if (!line) {
            return;
        }
        const auto result = at.parser.add(*line);
        if (result == reply_parser::result::complete) {
            relay_.on_reply(now_, id, at.parser.take());
        } else if (result == reply_parser::result::malformed) {
            at.is_open = false;
            relay_.on_unreadable_reply(now_, id);
        }
    }
}

auto connection_model::carry_out(server_session& at, connection_id id,
                                 request* of, std::string_view text)
    -> std::string
{
    constexpr auto done = "COMPLETE -\r\n";
    const auto word = take_word(text);
    if (word == "ROLLBACK") {
        if (at.state != 'I' && history_.do_values_roll_back) {
            at.values = at.values_at_begin;
        }
        at.state = 'I';
        at.owner.reset();
        at.writes.clear();
        return done;
    }
    if (at.state == 'E') {
        return "ERROR MALFORMED the transaction failed\r\n";
    }
    if (word == "BEGIN") {
        if (text != "READ" && !at.is_primary) {
            return "ERROR READONLY s\r\n";
        }
        at.state = 'T';
        at.values_at_begin = at.values;
        return done;
    }
    if (word == "DISCARD") {
        at.values.clear();
        at.prepared.clear();
        return done;
    }
    if (word == "SET") {
        const auto name = std::string(take_word(text));
        at.values[name] = text;
        return done;
    }
    if (word == "PREPARE") {
        const auto name = std::string(take_word(text));
        const auto mode = take_word(text);
        at.prepared[name] = {mode == "READ", std::string(text)};
        return done;
    }
    if (of == nullptr) {
        violate("UNASKED", std::string(word));
        return "ERROR MALFORMED s\r\n";
    }
    auto is_read = word == "READ";
    if (word == "EXECUTE") {
        const auto found = at.prepared.find(std::string(take_word(text)));
        if (found == at.prepared.end() ||
            found->second != callers_.at(of->session).prepared)
        {
            violate("PINNED", of->id + " runs another prepared statement");
            return "ERROR UNKNOWN s\r\n";
        }
        is_read = found->second.is_read;
    }
    if (text != of->text) {
        violate("UNASKED", of->id + " runs with another text");
    }
    check_place(at, id, *of, !is_read && word != "COMMIT");
    if (word != "COMMIT") {
        return run_data(at, *of, is_read);
    }
    for (const auto& each : at.writes) {
        commit(each);
    }
    at.writes.clear();
    at.state = 'I';
    at.owner.reset();
    of->runs.push_back({"p" + std::to_string(++last_run_), {}});
    return "COMPLETE " + of->runs.back().proof + "\r\n";
}

auto connection_model::run_data(server_session& at, request& of, bool is_read)
    -> std::string
{
    auto done = run_record{"p" + std::to_string(++last_run_), {}};
    auto answer = std::string();
    if (is_read) {
        done.rows.push_back("row" + std::to_string(last_run_));
        answer = "DATAROW " + done.rows.back() + "\r\n";
    } else if (!at.is_primary) {
        return "ERROR READONLY s\r\n";
    } else if (at.state == 'T') {
        at.writes.push_back(of.id);
    } else {
        commit(of.id);
    }
    of.runs.push_back(done);
    return answer + "COMPLETE " + done.proof + "\r\n";
}

auto connection_model::check_place(server_session& at, connection_id id,
                                   const request& of, bool is_write) -> void
{
    auto& from = callers_.at(of.session);
    if (at.values != from.values && !from.has_left) {
        violate("PINNED", of.id + " runs with other values");
    }
    if (!from.is_in_transaction) {
        const auto is_own_guard =
            at.state == 'T' && !at.owner && !is_write && at.writes.empty();
        if (at.state != 'I' && !is_own_guard) {
            violate("PINNED", of.id + " runs in a transaction");
        }
        return;
    }
    const auto is_first = !from.connection;
    if (is_first) {
        from.connection = id;
        if (!at.owner) {
            at.owner = of.session;
        }
    }
    if (at.state != 'T' || at.owner != of.session || from.connection != id) {
        violate("PINNED", of.id + " runs outside its transaction");
    }
}

auto connection_model::commit(const std::string& id) -> void
{
    if (!committed_.insert(id).second) {
        violate("TWICE", id);
    }
    if (forbidden_.contains(id)) {
        violate("REFUSED", id + " is committed after a promise");
    }
}

auto connection_model::forbid(const std::vector<std::string>& ids) -> void
{
    for (const auto& id : ids) {
        forbidden_.insert(id);
        if (committed_.contains(id)) {
            violate("REFUSED", id + " was committed before a promise");
        }
    }
}

auto connection_model::on_reply(caller& to, const relay_reply& reply) -> void
{
    if (to.unanswered.empty()) {
        violate("ANSWER", "an answer to nothing");
        return;
    }
    const auto& asked = requests_.at(to.unanswered.front());
    to.unanswered.pop_front();
    const auto is_data = asked.action == caller_action::read ||
                         asked.action == caller_action::execute ||
                         asked.action == caller_action::write ||
                         asked.action == caller_action::commit;
    const auto is_proven = std::any_of(
        asked.runs.begin(), asked.runs.end(), [&](const auto& each) {
            return each.proof == reply.detail && each.rows == reply.rows;
        });
    successes += reply.is_success() ? 1 : 0;
    if (reply.is_success() && is_data && !is_proven) {
        violate("MIXED", asked.id + " succeeds with '" + reply.detail + "'");
    }
    const auto is_write =
        asked.action == caller_action::write ||
        (asked.action == caller_action::execute && !to.prepared.is_read);
    if (is_write && to.is_in_transaction) {
        to.writes.push_back(asked.id);
    }
    if (is_promise(reply.error)) {
        forbid(to.is_in_transaction ? to.writes
               : is_write           ? std::vector{asked.id}
                                    : std::vector<std::string>());
    }
    switch (asked.action) {
    case caller_action::set_value:
        if (reply.is_success() && asked.text.starts_with("w")) {
            to.values["n"] = asked.text;
        }
        break;
    case caller_action::begin:
        to.is_in_transaction = reply.is_success();
        to.writes.clear();
        to.connection.reset();
        break;
    case caller_action::commit:
        for (const auto& each : to.writes) {
            if (reply.is_success() && !committed_.contains(each)) {
                violate("LOST", each + " was acknowledged without effect");
            }
        }
        to.is_in_transaction = false;
        break;
    case caller_action::rollback:
        forbid(to.writes);
        to.is_in_transaction = false;
        break;
    default:
        break;
    }
}

auto connection_model::violate(std::string rule, const std::string& what)
    -> void
{
    auto text = what;
    for (const auto& [number, fate] : history_.fates) {
        text += ", fate " + std::to_string(static_cast<int>(fate)) + " of " +
                std::to_string(number);
    }
    text += history_.is_hasty ? ", hasty:" : ":";
    for (const auto& each : history_.entries) {
        text += ' ' + std::to_string(each.session) + '/' +
                std::to_string(static_cast<int>(each.action));
    }
    violations.emplace_back(std::move(rule), std::move(text));
}

} // namespace rhubarbrun_tests
