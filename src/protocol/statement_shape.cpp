#include <rhubarbrun/protocol/statement_shape.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstddef>

namespace rhubarbrun::inline v1 {

namespace {

enum class token_type : std::uint8_t
{
    word,
    quoted_identifier,
    text_literal,
    number,
    parameter,
    symbol,
};

struct token
{
    token_type type = token_type::symbol;
    std::string_view text;
    std::size_t start = 0;
};

auto is_digit(char letter) -> bool
{
    return letter >= '0' && letter <= '9';
}

auto is_word_start(char letter) -> bool
{
    const auto byte = static_cast<unsigned char>(letter);
    return letter == '_' || byte >= 0x80 || std::isalpha(byte) != 0;
}

auto is_word_part(char letter) -> bool
{
    return is_word_start(letter) || is_digit(letter) || letter == '$';
}

auto is_space(char letter) -> bool
{
    return letter == ' ' || (letter >= '\t' && letter <= '\r');
}

auto to_lower(std::string_view text) -> std::string
{
    auto lower = std::string(text);
    for (auto& letter : lower) {
        if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter - 'A' + 'a');
        }
    }
    return lower;
}

/// Cuts SQL text into tokens by the lexical rules of PostgreSQL.
class tokenizer
{
public:
    explicit tokenizer(std::string_view text) : text_(text) {}

    auto next() -> std::optional<token>
    {
        skip_space_and_comments();
        if (at_ >= text_.size()) {
            return std::nullopt;
        }
        const auto start = at_;
        const auto type = scan();
        return token{type, text_.substr(start, at_ - start), start};
    }

private:
    [[nodiscard]] auto peek(std::size_t ahead = 0) const -> char
    {
        return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0';
    }

    auto skip_space_and_comments() -> void
    {
        while (at_ < text_.size()) {
            if (is_space(peek())) {
                ++at_;
            } else if (peek() == '-' && peek(1) == '-') {
                at_ = std::min(text_.find_first_of("\r\n", at_), text_.size());
            } else if (peek() == '/' && peek(1) == '*') {
                skip_block_comment();
            } else {
                return;
            }
        }
    }

    auto skip_block_comment() -> void
    {
        auto depth = 0;
        while (at_ < text_.size()) {
            if (peek() == '/' && peek(1) == '*') {
                ++depth;
                at_ += 2;
            } else if (peek() == '*' && peek(1) == '/') {
                --depth;
                at_ += 2;
                if (depth == 0) {
                    return;
                }
            } else {
                ++at_;
            }
        }
    }

    auto scan() -> token_type
    {
        const auto letter = peek();
        if (letter == '\'') {
            scan_quoted('\'', false);
            return token_type::text_literal;
        }
        if (letter == '"') {
            scan_quoted('"', false);
            return token_type::quoted_identifier;
        }
        if (letter == '$') {
            return scan_dollar();
        }
        if (is_digit(letter) || (letter == '.' && is_digit(peek(1)))) {
            scan_number();
            return token_type::number;
        }
        if (is_word_start(letter)) {
            return scan_word();
        }
        ++at_;
        return token_type::symbol;
    }

    auto scan_quoted(char quote, bool has_escapes) -> void
    {
        ++at_;
        while (at_ < text_.size()) {
            if (has_escapes && peek() == '\\') {
                at_ = std::min(at_ + 2, text_.size());
            } else if (peek() == quote && peek(1) == quote) {
                at_ += 2;
            } else if (peek() == quote) {
                ++at_;
                if (!has_escapes || !skip_to_continuation()) {
                    return;
                }
            } else {
                ++at_;
            }
        }
    }

    /// An escape string goes on in the next quotes if a line break is between
    /// them, and its escapes stay in force there.
    auto skip_to_continuation() -> bool
    {
        auto end = at_;
        auto has_line_break = false;
        while (end < text_.size()) {
            if (is_space(text_[end])) {
                has_line_break =
                    has_line_break || text_[end] == '\n' || text_[end] == '\r';
                ++end;
            } else if (text_.substr(end, 2) == "--") {
                end = std::min(text_.find_first_of("\r\n", end), text_.size());
            } else {
                break;
            }
        }
        if (!has_line_break || end >= text_.size() || text_[end] != '\'') {
            return false;
        }
        at_ = end + 1;
        return true;
    }

    auto scan_dollar() -> token_type
    {
        if (is_digit(peek(1))) {
            ++at_;
            while (is_digit(peek())) {
                ++at_;
            }
            return token_type::parameter;
        }
        auto end = at_ + 1;
        while (end < text_.size() && is_word_part(text_[end]) &&
               text_[end] != '$') {
            ++end;
        }
        if (end >= text_.size() || text_[end] != '$') {
            ++at_;
            return token_type::symbol;
        }
        const auto tag = text_.substr(at_, end + 1 - at_);
        const auto close = text_.find(tag, end + 1);
        at_ =
            close == std::string_view::npos ? text_.size() : close + tag.size();
        return token_type::text_literal;
    }

    auto scan_number() -> void
    {
        while (is_digit(peek()) || peek() == '.') {
            ++at_;
        }
        if (peek() != 'e' && peek() != 'E') {
            return;
        }
        const auto sign =
            std::size_t{peek(1) == '+' || peek(1) == '-' ? 1U : 0U};
        if (is_digit(peek(1 + sign))) {
            at_ += 1 + sign;
            while (is_digit(peek())) {
                ++at_;
            }
        }
    }

    auto scan_word() -> token_type
    {
        const auto start = at_;
        while (is_word_part(peek())) {
            ++at_;
        }
        const auto prefix = to_lower(text_.substr(start, at_ - start));
        if (peek() == '\'' &&
            (prefix == "e" || prefix == "b" || prefix == "x" || prefix == "n"))
        {
            scan_quoted('\'', prefix == "e");
            return token_type::text_literal;
        }
        if (prefix == "u" && peek() == '&' &&
            (peek(1) == '\'' || peek(1) == '"')) {
            ++at_;
            const auto is_text = peek() == '\'';
            scan_quoted(peek(), false);
            return is_text ? token_type::text_literal
                           : token_type::quoted_identifier;
        }
        return token_type::word;
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

/// The tokens of one statement, with words in lower case.
class statement_tokens
{
public:
    auto add(const token& next) -> void
    {
        tokens_.push_back(next);
        words_.push_back(next.type == token_type::word ? to_lower(next.text)
                                                       : std::string{});
    }

    [[nodiscard]] auto size() const -> std::size_t { return tokens_.size(); }

    /// The word at `index` in lower case; empty if there is none.
    [[nodiscard]] auto word(std::size_t index) const -> std::string_view
    {
        return index < words_.size() ? std::string_view(words_[index])
                                     : std::string_view{};
    }

    [[nodiscard]] auto is_symbol(std::size_t index, char symbol) const -> bool
    {
        return index < tokens_.size() &&
               tokens_[index].type == token_type::symbol &&
               tokens_[index].text.front() == symbol;
    }

    [[nodiscard]] auto has_word(std::string_view wanted,
                                std::size_t from = 0) const -> bool
    {
        return find_word(wanted, from) < size();
    }

    [[nodiscard]] auto find_word(std::string_view wanted,
                                 std::size_t from = 0) const -> std::size_t
    {
        from = std::min(from, words_.size());
        const auto found =
            std::find(words_.begin() + static_cast<std::ptrdiff_t>(from),
                      words_.end(), wanted);
        return static_cast<std::size_t>(found - words_.begin());
    }

    [[nodiscard]] auto at(std::size_t index) const -> const token&
    {
        return tokens_[index];
    }

    [[nodiscard]] auto text_of(std::string_view whole) const -> std::string_view
    {
        const auto& last = tokens_.back();
        const auto start = tokens_.front().start;
        return whole.substr(start, last.start + last.text.size() - start);
    }

private:
    std::vector<token> tokens_;
    std::vector<std::string> words_;
};

auto refuse(statement_info& info, std::string_view reason) -> void
{
    info.kind = statement_kind::not_carried;
    info.reason = reason;
}

/// Doubles of `quote` become one; the outer quotes are left out.
auto unquote(std::string_view text, char quote) -> std::string
{
    auto value = std::string{};
    for (auto index = std::size_t{1}; index + 1 < text.size(); ++index) {
        value.push_back(text[index]);
        if (text[index] == quote && text[index + 1] == quote) {
            ++index;
        }
    }
    return value;
}

/// Text of one name or value token.
auto plain_text(const token& part) -> std::optional<std::string>
{
    switch (part.type) {
    case token_type::text_literal:
        if (part.text.front() != '\'' || part.text.size() < 2) {
            return std::nullopt;
        }
        return unquote(part.text, '\'');
    case token_type::quoted_identifier:
        return unquote(part.text, '"');
    case token_type::word:
    case token_type::number:
        return std::string(part.text);
    case token_type::parameter:
    case token_type::symbol:
        break;
    }
    return std::nullopt;
}

/// Reads `a.b.c` from `index` on and moves `index` behind it.
auto read_name(const statement_tokens& tokens, std::size_t& index)
    -> std::string
{
    auto name = std::string{};
    while (index < tokens.size()) {
        const auto& part = tokens.at(index);
        if (part.type != token_type::word &&
            part.type != token_type::quoted_identifier) {
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

auto read_mode(const statement_tokens& tokens) -> access_mode
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
auto read_value_list(const statement_tokens& tokens, std::size_t index)
    -> std::optional<std::string>
{
    auto value = std::string{};
    for (; index < tokens.size(); ++index) {
        const auto& part = tokens.at(index);
        if (part.type == token_type::symbol) {
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

auto classify_set_characteristics(const statement_tokens& tokens,
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

auto classify_set(const statement_tokens& tokens, statement_info& info) -> void
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

auto classify_end(const statement_tokens& tokens, statement_info& info,
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
auto has_session_set_config(const statement_tokens& tokens) -> bool
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
auto function_word(const statement_tokens& tokens, std::size_t index)
    -> std::string
{
    const auto& part = tokens.at(index);
    return part.type == token_type::quoted_identifier
               ? plain_text(part).value_or("")
               : std::string(tokens.word(index));
}

auto refuse_session_state(const statement_tokens& tokens, statement_info& info)
    -> void
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

auto is_reading(const statement_tokens& tokens) -> bool
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
        const auto lock = tokens.find_word("for");
        return !(tokens.word(lock + 1) == "share" ||
                 tokens.word(lock + 1) == "key" ||
                 tokens.word(lock + 1) == "no");
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

auto classify(const statement_tokens& tokens, statement_info& info) -> void
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

auto append_shape_token(std::string& shape, std::string_view part) -> void
{
    if (!shape.empty()) {
        shape.push_back(' ');
    }
    shape += part;
}

/// `? , ?` at the end becomes `?`, so that lists of any length are equal.
auto append_literal(std::string& shape) -> void
{
    constexpr auto repeated = std::string_view("? ,");
    if (shape.ends_with(repeated)) {
        shape.erase(shape.size() - 2);
        return;
    }
    append_shape_token(shape, "?");
}

auto shorten(std::string shape) -> std::string
{
    if (shape.size() <= max_shape_length) {
        return shape;
    }
    // FNV-1a; shapes are keys of a learned table, not of security relevance.
    auto hash = std::uint64_t{14695981039346656037U};
    for (const auto letter : shape) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211U;
    }
    const auto suffix = "#" + std::to_string(hash);
    shape.resize(max_shape_length - suffix.size());
    return shape + suffix;
}

} // namespace

auto split_statements(std::string_view text) -> std::vector<statement_info>
{
    auto statements = std::vector<statement_info>{};
    auto current = statement_tokens{};
    const auto finish = [&] {
        if (current.size() > 0) {
            auto info = statement_info{};
            info.text = current.text_of(text);
            classify(current, info);
            statements.push_back(std::move(info));
            current = statement_tokens{};
        }
    };
    auto tokens = tokenizer(text);
    auto depth = 0;
    while (const auto next = tokens.next()) {
        const auto is_symbol = next->type == token_type::symbol;
        depth += is_symbol && next->text == "(" ? 1 : 0;
        depth -= is_symbol && next->text == ")" && depth > 0 ? 1 : 0;
        // A semicolon in parentheses belongs to a statement such as CREATE
        // RULE.
        if (is_symbol && next->text == ";" && depth == 0) {
            finish();
        } else {
            current.add(*next);
        }
    }
    finish();
    return statements;
}

auto statement_shape(std::string_view text) -> std::string
{
    auto shape = std::string{};
    auto tokens = tokenizer(text);
    while (const auto next = tokens.next()) {
        switch (next->type) {
        case token_type::word:
            append_shape_token(shape, to_lower(next->text));
            break;
        case token_type::quoted_identifier:
            append_shape_token(shape, next->text);
            break;
        case token_type::text_literal:
        case token_type::number:
        case token_type::parameter:
            append_literal(shape);
            break;
        case token_type::symbol:
            append_shape_token(shape, next->text);
            break;
        }
    }
    while (shape.ends_with(" ;")) {
        shape.erase(shape.size() - 2);
    }
    return shorten(std::move(shape));
}

} // namespace rhubarbrun::inline v1
