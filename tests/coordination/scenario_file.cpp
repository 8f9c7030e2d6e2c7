#include "scenario_file.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace rhubarbrun::tests {

namespace {

enum class key_kind : std::uint8_t
{
    text,
    number,
    flag,
    /// Name of a process, a zone, `control` or `*`.
    party,
    proxy,
    server,
    group,
    verdict,
};

struct key_rule
{
    std::string name;
    key_kind kind;
    bool is_required = true;
};

struct verb_rule
{
    std::string name;
    std::vector<key_rule> keys;
};

auto statement_keys(std::vector<key_rule> more) -> std::vector<key_rule>
{
    more.insert(more.begin(), {"session", key_kind::text});
    more.push_back({"as", key_kind::text, false});
    more.push_back({"deadline_ms", key_kind::number, false});
    return more;
}

auto bundle_keys() -> std::vector<key_rule>
{
    return {{"operator", key_kind::text},
            {"version", key_kind::number},
            {"flavour", key_kind::number, false},
            {"lose_answer", key_kind::flag, false},
            {"as", key_kind::text, false}};
}

auto step_rules() -> const std::vector<verb_rule>&
{
    static const auto rules = std::vector<verb_rule>{
        {"cut",
         {{"a", key_kind::party},
          {"b", key_kind::party},
          {"one_way", key_kind::flag, false}}},
        {"heal",
         {{"a", key_kind::party, false}, {"b", key_kind::party, false}}},
        {"kill", {{"who", key_kind::party}}},
        {"restart",
         {{"who", key_kind::party}, {"disk", key_kind::flag, false}}},
        {"freeze", {{"who", key_kind::party}}},
        {"thaw", {{"who", key_kind::party}}},
        {"silence", {{"a", key_kind::party}, {"b", key_kind::party}}},
        {"lag", {{"server", key_kind::server}, {"ms", key_kind::number}}},
        {"slow",
         {{"server", key_kind::server},
          {"ms", key_kind::number},
          {"queries", key_kind::flag, false}}},
        {"announce", {{"server", key_kind::server}}},
        {"leave", {{"server", key_kind::server}}},
        {"rebuild", {{"server", key_kind::server}}},
        {"propose", bundle_keys()},
        {"approve", bundle_keys()},
        {"roll", bundle_keys()},
        {"changes", {{"count", key_kind::number}}},
        {"session",
         {{"session", key_kind::text},
          {"proxy", key_kind::proxy},
          {"group", key_kind::group, false}}},
        {"move",
         {{"session", key_kind::text},
          {"proxy", key_kind::proxy},
          {"token", key_kind::flag, false}}},
        {"write", statement_keys({{"order", key_kind::text},
                                  {"key", key_kind::text, false},
                                  {"idempotent", key_kind::flag, false}})},
        {"read", statement_keys({{"max_age_ms", key_kind::number, false}})},
        {"begin", statement_keys({})},
        {"commit", statement_keys({})},
        {"load",
         {{"every_ms", key_kind::number},
          {"for_ms", key_kind::number},
          {"group", key_kind::group, false},
          {"reads", key_kind::flag, false}}},
        {"drain", {{"proxy", key_kind::proxy}}},
    };
    return rules;
}

auto expectation_rules() -> const std::vector<verb_rule>&
{
    static const auto rules = std::vector<verb_rule>{
        {"verdict", {{"of", key_kind::text}, {"is", key_kind::verdict}}},
        {"answered_from_record", {{"of", key_kind::text}}},
        {"served_by", {{"of", key_kind::text}, {"server", key_kind::server}}},
        {"primary",
         {{"server", key_kind::server}, {"group", key_kind::group, false}}},
        {"not_primary", {{"server", key_kind::server}}},
        {"term", {{"is", key_kind::number}, {"group", key_kind::group, false}}},
        {"bundle",
         {{"version", key_kind::number}, {"on", key_kind::proxy, false}}},
        {"answer",
         {{"of", key_kind::text},
          {"status", key_kind::text},
          {"proposer", key_kind::text, false}}},
        {"owner",
         {{"server", key_kind::server},
          {"proxy", key_kind::proxy},
          {"is", key_kind::flag, false}}},
        {"no_work",
         {{"server", key_kind::server}, {"for_ms", key_kind::number}}},
        {"work", {{"server", key_kind::server}, {"for_ms", key_kind::number}}},
        {"ready", {{"proxy", key_kind::proxy}, {"is", key_kind::flag, false}}},
        {"exited", {{"proxy", key_kind::proxy}}},
        {"write_gap", {{"most_ms", key_kind::number}}},
        {"answered_share",
         {{"least_percent", key_kind::number}, {"for_ms", key_kind::number}}},
        {"leader", {{"is", key_kind::flag}}},
        {"not_leader", {{"who", key_kind::party}}},
        {"voters", {{"is", key_kind::number}}},
        {"applied", {{"least", key_kind::number}, {"who", key_kind::party}}},
    };
    return rules;
}

auto names_of(const std::vector<verb_rule>& rules) -> std::string
{
    auto out = std::string{};
    for (const auto& rule : rules) {
        out += (out.empty() ? "" : ", ") + rule.name;
    }
    return out;
}

class reader
{
public:
    explicit reader(std::string file) : file_(std::move(file)) {}

    auto run(const toml::table& root) -> scenario
    {
        allow(root, {"name", "covers", "deployment", "step"});
        auto out = scenario{};
        out.name = text(root, "name");
        for (const auto& node : array(root, "covers")) {
            out.covers.push_back(as_text(node));
        }
        read_deployment(table(root, "deployment"), out.deployment);
        for (const auto& node : array(root, "step")) {
            if (!node.is_table()) {
                fail(node, "a step must be a table");
            }
            out.steps.push_back(read_step(*node.as_table()));
        }
        return out;
    }

    [[noreturn]] auto fail(const toml::source_region& where,
                           const std::string& message) const -> void
    {
        throw scenario_error(file_ + ":" + std::to_string(where.begin.line) +
                             ":" + std::to_string(where.begin.column) + ": " +
                             message);
    }

private:
    [[noreturn]] auto fail(const toml::node& node,
                           const std::string& message) const -> void
    {
        fail(node.source(), message);
    }

    auto allow(const toml::table& where,
               const std::set<std::string>& keys) const -> void
    {
        for (const auto& [key, node] : where) {
            if (!keys.contains(std::string(key.str()))) {
                auto known = std::string{};
                for (const auto& name : keys) {
                    known += (known.empty() ? "" : ", ") + name;
                }
                fail(key.source(), "unknown key \"" + std::string(key.str()) +
                                       "\"; expected one of " + known);
            }
        }
    }

    auto get(const toml::table& where, const char* key) const
        -> const toml::node&
    {
        const auto* const node = where.get(key);
        if (node == nullptr) {
            fail(where, std::string("expected key \"") + key + "\"");
        }
        return *node;
    }

    auto as_text(const toml::node& node) const -> std::string
    {
        if (!node.is_string()) {
            fail(node, "expected a string");
        }
        return node.as_string()->get();
    }

    auto as_number(const toml::node& node) const -> std::int64_t
    {
        if (!node.is_integer() || node.as_integer()->get() < 0) {
            fail(node, "expected a number of at least 0");
        }
        return node.as_integer()->get();
    }

    auto text(const toml::table& where, const char* key) const -> std::string
    {
        return as_text(get(where, key));
    }

    auto array(const toml::table& where, const char* key) const
        -> const toml::array&
    {
        const auto& node = get(where, key);
        if (!node.is_array()) {
            fail(node, std::string("expected a list for \"") + key + "\"");
        }
        return *node.as_array();
    }

    auto table(const toml::table& where, const char* key) const
        -> const toml::table&
    {
        const auto& node = get(where, key);
        if (!node.is_table()) {
            fail(node, std::string("expected a table for \"") + key + "\"");
        }
        return *node.as_table();
    }

    auto read_deployment(const toml::table& where, scenario_deployment& out)
        -> void
    {
        allow(where,
              {"control", "seed", "tick_ms", "groups", "proxies", "servers"});
        out.control = as_number(get(where, "control"));
        if (out.control != 3 && out.control != 5) {
            fail(get(where, "control"), "expected 3 or 5 control members");
        }
        out.seed = static_cast<std::uint64_t>(as_number(get(where, "seed")));
        if (where.contains("tick_ms")) {
            out.tick_ms = as_number(get(where, "tick_ms"));
            if (out.tick_ms < 1) {
                fail(get(where, "tick_ms"), "expected at least 1 ms");
            }
        }
        for (const auto& node : array(where, "groups")) {
            out.groups.push_back(as_text(node));
            groups_.insert(out.groups.back());
        }
        if (out.groups.empty()) {
            fail(get(where, "groups"), "expected at least one group");
        }
        out.proxies = read_places(array(where, "proxies"), false);
        out.servers = read_places(array(where, "servers"), true);
        for (auto index = std::int64_t{0}; index < out.control; ++index) {
            add_party("c" + std::to_string(index), get(where, "control"));
        }
        for (const auto& place : out.proxies) {
            proxies_.insert(place.name);
            parties_.insert(place.zone);
        }
        for (const auto& place : out.servers) {
            servers_.insert(place.name);
            parties_.insert(place.zone);
        }
        parties_.insert({"control", "*"});
    }

    auto add_party(const std::string& name, const toml::node& node) -> void
    {
        if (!parties_.insert(name).second) {
            fail(node, "the name \"" + name + "\" is used twice");
        }
    }

    auto read_places(const toml::array& list, bool has_group)
        -> std::vector<scenario_process>
    {
        auto out = std::vector<scenario_process>{};
        for (const auto& node : list) {
            if (!node.is_table()) {
                fail(node, "expected a table with name and zone");
            }
            const auto& entry = *node.as_table();
            auto place = scenario_process{};
            place.name = text(entry, "name");
            place.zone = text(entry, "zone");
            if (has_group) {
                allow(entry, {"name", "zone", "group"});
                place.group = text(entry, "group");
                check_name(get(entry, "group"), place.group, groups_, "group");
            } else {
                allow(entry, {"name", "zone"});
            }
            add_party(place.name, node);
            out.push_back(std::move(place));
        }
        return out;
    }

    auto read_step(const toml::table& where) -> scenario_step
    {
        auto out = scenario_step{};
        out.line = where.source().begin.line;
        out.at_ms = as_number(get(where, "at"));
        if (out.at_ms < last_) {
            fail(get(where, "at"), "expected a time of at least " +
                                       std::to_string(last_) +
                                       ", that of the step before");
        }
        last_ = out.at_ms;
        out.is_expectation = where.contains("expect");
        if (out.is_expectation == where.contains("do")) {
            fail(where, "expected either \"do\" or \"expect\"");
        }
        const auto* const kind = out.is_expectation ? "expect" : "do";
        const auto& rules =
            out.is_expectation ? expectation_rules() : step_rules();
        out.verb = text(where, kind);
        const auto rule =
            std::find_if(rules.begin(), rules.end(), [&](const auto& each) {
                return each.name == out.verb;
            });
        if (rule == rules.end()) {
            fail(get(where, kind), "unknown " + std::string(kind) + " \"" +
                                       out.verb + "\"; expected one of " +
                                       names_of(rules));
        }
        read_values(where, *rule, kind, out);
        return out;
    }

    auto read_values(const toml::table& where, const verb_rule& rule,
                     const char* kind, scenario_step& out) const -> void
    {
        auto known = std::set<std::string>{"at", kind};
        for (const auto& key : rule.keys) {
            known.insert(key.name);
        }
        allow(where, known);
        for (const auto& key : rule.keys) {
            if (where.contains(key.name)) {
                out.values[key.name] =
                    read_value(get(where, key.name.c_str()), key.kind);
            } else if (key.is_required) {
                fail(where, "expected key \"" + key.name + "\" of \"" +
                                rule.name + "\"");
            }
        }
    }

    auto read_value(const toml::node& node, key_kind kind) const
        -> scenario_step::value_type
    {
        static const auto verdicts =
            std::set<std::string>{"ran", "not_run", "may_have_run"};
        if (kind == key_kind::number) {
            return as_number(node);
        }
        if (kind == key_kind::flag) {
            if (!node.is_boolean()) {
                fail(node, "expected true or false");
            }
            return node.as_boolean()->get();
        }
        auto value = as_text(node);
        switch (kind) {
        case key_kind::party:
            check_name(node, value, parties_, "process or zone");
            break;
        case key_kind::proxy:
            check_name(node, value, proxies_, "proxy");
            break;
        case key_kind::server:
            check_name(node, value, servers_, "server");
            break;
        case key_kind::group:
            check_name(node, value, groups_, "group");
            break;
        case key_kind::verdict:
            check_name(node, value, verdicts, "verdict");
            break;
        case key_kind::text:
        case key_kind::number:
        case key_kind::flag:
            break;
        }
        return value;
    }

    auto check_name(const toml::node& node, const std::string& value,
                    const std::set<std::string>& known, const char* what) const
        -> void
    {
        if (known.contains(value)) {
            return;
        }
        auto list = std::string{};
        for (const auto& name : known) {
            list += (list.empty() ? "" : ", ") + name;
        }
        fail(node, "unknown " + std::string(what) + " \"" + value +
                       "\"; expected one of " + list);
    }

    std::string file_;
    std::int64_t last_ = 0;
    std::set<std::string> parties_;
    std::set<std::string> proxies_;
    std::set<std::string> servers_;
    std::set<std::string> groups_;
};

} // namespace

auto parse_scenario(std::string_view text, const std::string& file) -> scenario
{
    auto source = reader(file);
    try {
        return source.run(toml::parse(text));
    } catch (const toml::parse_error& error) {
        source.fail(error.source(), std::string(error.description()));
    }
}

auto load_scenario(const std::string& path) -> scenario
{
    auto file = std::ifstream(path);
    if (!file) {
        throw scenario_error(path + ": cannot be read");
    }
    auto text = std::ostringstream{};
    text << file.rdbuf();
    const auto slash = path.rfind('/');
    return parse_scenario(text.str(), path.substr(slash + 1));
}

auto to_string(const scenario_step& step) -> std::string
{
    auto out = std::ostringstream{};
    out << "at = " << step.at_ms << (step.is_expectation ? ", expect" : ", do")
        << " = \"" << step.verb << '"';
    for (const auto& [key, value] : step.values) {
        out << ", " << key << " = ";
        if (const auto* const text = std::get_if<std::string>(&value)) {
            out << '"' << *text << '"';
        } else if (const auto* const flag = std::get_if<bool>(&value)) {
            out << (*flag ? "true" : "false");
        } else {
            out << std::get<std::int64_t>(value);
        }
    }
    return out.str();
}

auto scenario_vocabulary() -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    for (const auto* const rules : {&step_rules(), &expectation_rules()}) {
        for (const auto& rule : *rules) {
            auto line = rule.name;
            for (const auto& key : rule.keys) {
                line += " " + key.name + (key.is_required ? "" : "?");
            }
            out.push_back(std::move(line));
        }
    }
    return out;
}

} // namespace rhubarbrun::tests
