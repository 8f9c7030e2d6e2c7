#include "sql_tokens.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace rhubarbrun::detail {

namespace {

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

} // namespace

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

auto sql_tokenizer::next() -> std::optional<sql_token>
{
    skip_space_and_comments();
    if (at_ >= text_.size()) {
        return std::nullopt;
    }
    const auto start = at_;
    const auto type = scan();
    return sql_token{type, text_.substr(start, at_ - start), start};
}

auto sql_tokenizer::peek(std::size_t ahead) const -> char
{
    return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0';
}

auto sql_tokenizer::skip_space_and_comments() -> void
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

auto sql_tokenizer::skip_block_comment() -> void
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

auto sql_tokenizer::scan() -> sql_token_type
{
    const auto letter = peek();
    if (letter == '\'') {
        scan_quoted('\'', false);
        return sql_token_type::text_literal;
    }
    if (letter == '"') {
        scan_quoted('"', false);
        return sql_token_type::quoted_identifier;
    }
    if (letter == '$') {
        return scan_dollar();
    }
    if (is_digit(letter) || (letter == '.' && is_digit(peek(1)))) {
        scan_number();
        return sql_token_type::number;
    }
    if (is_word_start(letter)) {
        return scan_word();
    }
    ++at_;
    return sql_token_type::symbol;
}

auto sql_tokenizer::scan_quoted(char quote, bool has_escapes) -> void
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
auto sql_tokenizer::skip_to_continuation() -> bool
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

auto sql_tokenizer::scan_dollar() -> sql_token_type
{
    if (is_digit(peek(1))) {
        ++at_;
        while (is_digit(peek())) {
            ++at_;
        }
        return sql_token_type::parameter;
    }
    auto end = at_ + 1;
    while (end < text_.size() && is_word_part(text_[end]) && text_[end] != '$')
    {
        ++end;
    }
    if (end >= text_.size() || text_[end] != '$') {
        ++at_;
        return sql_token_type::symbol;
    }
    const auto tag = text_.substr(at_, end + 1 - at_);
    const auto close = text_.find(tag, end + 1);
    at_ = close == std::string_view::npos ? text_.size() : close + tag.size();
    return sql_token_type::text_literal;
}

auto sql_tokenizer::scan_number() -> void
{
    while (is_digit(peek()) || peek() == '.') {
        ++at_;
    }
    if (peek() != 'e' && peek() != 'E') {
        return;
    }
    const auto sign = std::size_t{peek(1) == '+' || peek(1) == '-' ? 1U : 0U};
    if (is_digit(peek(1 + sign))) {
        at_ += 1 + sign;
        while (is_digit(peek())) {
            ++at_;
        }
    }
}

auto sql_tokenizer::scan_word() -> sql_token_type
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
        return sql_token_type::text_literal;
    }
    if (prefix == "u" && peek() == '&' && (peek(1) == '\'' || peek(1) == '"')) {
        ++at_;
        const auto is_text = peek() == '\'';
        scan_quoted(peek(), false);
        return is_text ? sql_token_type::text_literal
                       : sql_token_type::quoted_identifier;
    }
    return sql_token_type::word;
}

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

auto plain_text(const sql_token& part) -> std::optional<std::string>
{
    switch (part.type) {
    case sql_token_type::text_literal:
        if (part.text.front() != '\'' || part.text.size() < 2) {
            return std::nullopt;
        }
        return unquote(part.text, '\'');
    case sql_token_type::quoted_identifier:
        return unquote(part.text, '"');
    case sql_token_type::word:
    case sql_token_type::number:
        return std::string(part.text);
    case sql_token_type::parameter:
    case sql_token_type::symbol:
        break;
    }
    return std::nullopt;
}

} // namespace rhubarbrun::detail
