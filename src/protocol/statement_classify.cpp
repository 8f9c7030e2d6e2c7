#include "statement_classify.hpp"

#include <array>
#include <cstddef>

namespace rhubarbrun::detail {

namespace {

auto refuse(statement_info& info, std::string_view reason) -> void
{
    info.kind = statement_kind::not_carried;
    info.reason = reason;
}

/// Reads `a.b.c` from `index` on and moves `index` behind it.
auto read_name(const sql_statement_tokens& tokens, std::size_t& index)
    -> std::string
{
    auto name = std::string{};
    while (index < tokens.size()) {
        const auto& part = tokens.at(index);
        if (part.type != sql_token_type::word &&
            part.type != sql_token_type::quoted_identifier)
        {
            return {};
        }
        name += to_lower(plain_text(part).value_or(""));
        ++index;
        if (!tokens.is_symbol(index, '.')) {
            break;
        }
        name.push_back('.');
        ++index;
    }
    return name;
}

auto read_mode(const sql_statement_tokens& tokens) -> access_mode
{
    for (auto index = std::size_t{0}; index < tokens.size(); ++index) {
        if (tokens.word(index) != "read") {
            continue;
        }
        if (tokens.word(index + 1) == "only") {
            return access_mode::read_only;
        }
        if (tokens.word(index + 1) == "write") {
            return access_mode::read_write;
        }
    }
    return access_mode::unspecified;
}

/// SET name = value, SET name TO value, in their forms with several values.
auto read_value_list(const sql_statement_tokens& tokens, std::size_t index)
    -> std::optional<std::string>
{
    auto value = std::string{};
    for (; index < tokens.size(); ++index) {
        const auto& part = tokens.at(index);
        if (part.type == sql_token_type::symbol) {
            if (part.text == ",") {
                value += ", ";
                continue;
            }
            if (part.text == "-" || part.text == "+") {
                value += part.text;
                continue;
            }
            return std::nullopt;
        }
        const auto text = plain_text(part);
        if (!text) {
            return std::nullopt;
        }
        value += *text;
    }
    return value;
}

auto classify_set_characteristics(const sql_statement_tokens& tokens,
                                  statement_info& info) -> void
{
    info.mode = read_mode(tokens);
    if (info.mode == access_mode::unspecified || tokens.has_word("isolation") ||
        tokens.has_word("deferrable"))
    {
        refuse(info, "only the access mode of a session can be changed");
        return;
    }
    info.kind = statement_kind::set;
    info.name = "default_transaction_read_only";
    info.value = info.mode == access_mode::read_only ? "on" : "off";
}

auto classify_set(const sql_statement_tokens& tokens, statement_info& info)
    -> void
{
    auto index = std::size_t{1};
    if (tokens.word(1) == "session" && tokens.word(2) == "characteristics") {
        classify_set_characteristics(tokens, info);
        return;
    }
    if (tokens.word(1) == "transaction" || tokens.word(1) == "constraints") {
        info.kind = statement_kind::set_transaction;
        info.mode = read_mode(tokens);
        return;
    }
    if (tokens.word(index) == "local" || tokens.word(index) == "session") {
        info.is_local = tokens.word(index) == "local";
        ++index;
    }
    if (tokens.word(index) == "role" || tokens.word(index) == "authorization") {
        refuse(info, "the role of a pooled connection cannot be changed");
        return;
    }
    info.kind = statement_kind::set;
    if (tokens.word(index) == "time" && tokens.word(index + 1) == "zone") {
        info.name = "timezone";
        index += 2;
    } else if (tokens.word(index) == "names") {
        info.name = "client_encoding";
        ++index;
    } else {
        info.name = read_name(tokens, index);
        if (tokens.word(index) != "to" && !tokens.is_symbol(index, '=')) {
            refuse(info, "this form of SET is not carried");
            return;
        }
        ++index;
    }
    if (tokens.word(index) == "default" && index + 1 == tokens.size()) {
        return;
    }
    info.value = read_value_list(tokens, index);
    if (info.name.empty() || !info.value || index >= tokens.size()) {
        refuse(info, "this form of SET is not carried");
    }
}

auto classify_end(const sql_statement_tokens& tokens, statement_info& info,
                  statement_kind kind) -> void
{
    info.kind = kind;
    if (tokens.has_word("prepared")) {
        refuse(info, "two-phase commit is not carried");
    } else if (tokens.has_word("chain") && !tokens.has_word("no")) {
        refuse(info, "AND CHAIN is not carried");
    } else if (kind == statement_kind::rollback && tokens.has_word("to")) {
        info.kind = statement_kind::savepoint;
    }
}

/// Whether a call of set_config has `true` (local) as its last argument.
auto has_session_set_config(const sql_statement_tokens& tokens) -> bool
{
    for (auto index = tokens.find_word("set_config"); index < tokens.size();
         index = tokens.find_word("set_config", index + 1))
    {
        auto depth = 0;
        auto end = index + 1;
        for (; end < tokens.size(); ++end) {
            depth += tokens.is_symbol(end, '(') ? 1 : 0;
            depth -= tokens.is_symbol(end, ')') ? 1 : 0;
            if (depth <= 0) {
                break;
            }
        }
        if (end >= tokens.size() || tokens.word(end - 1) != "true" ||
            !tokens.is_symbol(end - 2, ','))
        {
            return true;
        }
    }
    return false;
}

auto is_session_lock(std::string_view word) -> bool
{
    return word == "pg_advisory_lock" || word == "pg_advisory_lock_shared" ||
           word == "pg_try_advisory_lock" ||
           word == "pg_try_advisory_lock_shared" ||
           word == "pg_advisory_unlock" || word == "pg_advisory_unlock_all" ||
           word == "pg_advisory_unlock_shared";
}

/// Name of a function that may be written in quotes.
auto function_word(const sql_statement_tokens& tokens, std::size_t index)
    -> std::string
{
    const auto& part = tokens.at(index);
    return part.type == sql_token_type::quoted_identifier
               ? plain_text(part).value_or("")
               : std::string(tokens.word(index));
}

auto refuse_session_state(const sql_statement_tokens& tokens,
                          statement_info& info) -> void
{
    for (auto index = std::size_t{0}; index < tokens.size(); ++index) {
        if (is_session_lock(function_word(tokens, index))) {
            refuse(info, "session advisory locks would stay on a pooled "
                         "connection; use the xact forms");
            return;
        }
    }
    if (has_session_set_config(tokens)) {
        refuse(info, "set_config must be local to the transaction");
        return;
    }
    const auto first = tokens.word(0);
    const auto is_create = first == "create";
    const auto into = tokens.find_word("into");
    const auto is_temporary = [&](std::size_t index) {
        return tokens.word(index) == "temp" ||
               tokens.word(index) == "temporary" ||
               ((tokens.word(index) == "global" ||
                 tokens.word(index) == "local") &&
                tokens.word(index + 1).starts_with("temp"));
    };
    if ((is_create &&
         (is_temporary(1) || (tokens.word(1) == "or" && is_temporary(3)))) ||
        (first != "insert" && into < tokens.size() && is_temporary(into + 1)))
    {
        refuse(info, "temporary tables would stay on a pooled connection");
    }
    for (auto index = std::size_t{0}; index < tokens.size(); ++index) {
        if (tokens.at(index).text == "pg_temp" ||
            tokens.at(index).text == "\"pg_temp\"")
        {
            refuse(info, "temporary objects would stay on a pooled connection");
        }
    }
}

/// FOR SHARE, FOR KEY SHARE or FOR NO KEY UPDATE. `FOR` also stands in calls
/// such as `substring(name FOR 3)`, so every one is looked at.
auto has_row_lock(const sql_statement_tokens& tokens) -> bool
{
    for (auto index = tokens.find_word("for"); index < tokens.size();
         index = tokens.find_word("for", index + 1))
    {
        const auto next = tokens.word(index + 1);
        if (next == "share" || next == "key" || next == "no") {
            return true;
        }
    }
    return false;
}

auto is_reading(const sql_statement_tokens& tokens) -> bool
{
    const auto first = tokens.word(0);
    const auto is_query = first == "select" || first == "values" ||
                          first == "table" || first == "with" ||
                          tokens.is_symbol(0, '(');
    if (is_query) {
        // Data-modifying WITH, SELECT INTO and row locks need the primary.
        for (const auto word : {"insert", "update", "delete", "into", "merge"})
        {
            if (tokens.has_word(word)) {
                return false;
            }
        }
        return !has_row_lock(tokens);
    }
    return first == "explain" && !tokens.has_word("analyze") &&
           !tokens.has_word("analyse");
}

struct refused_keyword
{
    std::string_view word;
    std::string_view reason;
};

constexpr auto refused_keywords = std::array{
    refused_keyword{"copy", "COPY is not carried"},
    refused_keyword{"listen", "LISTEN would stay on a pooled connection"},
    refused_keyword{"unlisten", "LISTEN and UNLISTEN are not carried"},
    refused_keyword{"prepare", "PREPARE would stay on a pooled connection; "
                               "use the extended query protocol"},
    refused_keyword{"execute", "EXECUTE is not carried; use the extended "
                               "query protocol"},
    refused_keyword{"load", "LOAD would stay on a pooled connection"},
};

} // namespace

auto classify(const sql_statement_tokens& tokens, statement_info& info) -> void
{
    const auto first = tokens.word(0);
    for (const auto& refused : refused_keywords) {
        if (first == refused.word) {
            refuse(info, refused.reason);
            return;
        }
    }
    if (first == "begin" ||
        (first == "start" && tokens.word(1) == "transaction")) {
        info.kind = statement_kind::begin;
        info.mode = read_mode(tokens);
    } else if (first == "commit" || first == "end") {
        classify_end(tokens, info, statement_kind::commit);
    } else if (first == "rollback" || first == "abort") {
        classify_end(tokens, info, statement_kind::rollback);
    } else if (first == "savepoint" || first == "release") {
        info.kind = statement_kind::savepoint;
    } else if (first == "set") {
        classify_set(tokens, info);
    } else if (first == "reset" || first == "show") {
        info.kind =
            first == "show" ? statement_kind::show : statement_kind::reset;
        auto index = std::size_t{1};
        info.name =
            tokens.word(1) == "time" ? "timezone" : read_name(tokens, index);
        if (first == "reset" &&
            (info.name == "role" || tokens.word(1) == "session")) {
            refuse(info, "the role of a pooled connection cannot be changed");
        }
    } else if (first == "discard") {
        info.kind = statement_kind::discard_all;
        if (tokens.word(1) != "all") {
            refuse(info, "only DISCARD ALL is carried");
        }
    } else if (first == "deallocate") {
        info.kind = statement_kind::deallocate;
        auto index = std::size_t{tokens.word(1) == "prepare" ? 2U : 1U};
        const auto is_all = tokens.word(index) == "all";
        info.name = is_all ? "all" : read_name(tokens, index);
    } else if (first == "declare" && tokens.has_word("hold") &&
               !tokens.has_word("without"))
    {
        refuse(info, "WITH HOLD cursors would stay on a pooled connection");
    } else {
        info.kind =
            is_reading(tokens) ? statement_kind::read : statement_kind::write;
        refuse_session_state(tokens, info);
    }
}

} // namespace rhubarbrun::detail
