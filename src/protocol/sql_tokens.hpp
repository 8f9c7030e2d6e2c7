#ifndef RHUBARBRUN_SRC_PROTOCOL_SQL_TOKENS_HPP
#define RHUBARBRUN_SRC_PROTOCOL_SQL_TOKENS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::detail {

enum class sql_token_type : std::uint8_t
{
    word,
    quoted_identifier,
    text_literal,
    number,
    parameter,
    symbol,
};

/// A piece of SQL text that starts at byte `start` of the whole.
struct sql_token
{
    sql_token_type type = sql_token_type::symbol;
    std::string_view text;
    std::size_t start = 0;
};

/// `text` with ASCII letters in lower case.
[[nodiscard]] auto to_lower(std::string_view text) -> std::string;

/// Cuts SQL text into tokens by the lexical rules of PostgreSQL, with
/// `standard_conforming_strings` on. Skips white space and comments.
class sql_tokenizer
{
public:
    explicit sql_tokenizer(std::string_view text) : text_(text) {}

    /// The next token; none at the end of the text.
    auto next() -> std::optional<sql_token>;

private:
    [[nodiscard]] auto peek(std::size_t ahead = 0) const -> char;
    auto skip_space_and_comments() -> void;
    auto skip_block_comment() -> void;
    auto scan() -> sql_token_type;
    auto scan_quoted(char quote, bool has_escapes) -> void;
    auto skip_to_continuation() -> bool;
    auto scan_dollar() -> sql_token_type;
    auto scan_number() -> void;
    auto scan_word() -> sql_token_type;

    std::string_view text_;
    std::size_t at_ = 0;
};

/// The tokens of one statement, with words in lower case.
class sql_statement_tokens
{
public:
    auto add(const sql_token& next) -> void
    {
        tokens_.push_back(next);
        words_.push_back(next.type == sql_token_type::word ? to_lower(next.text)
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
               tokens_[index].type == sql_token_type::symbol &&
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

    [[nodiscard]] auto at(std::size_t index) const -> const sql_token&
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
    std::vector<sql_token> tokens_;
    std::vector<std::string> words_;
};

/// Value of a quoted text: doubles of `quote` become one, the outer quotes are
/// left out.
[[nodiscard]] auto unquote(std::string_view text, char quote) -> std::string;

/// Text of one name or value; none for symbols, parameters and literals in
/// other forms than plain quotes.
[[nodiscard]] auto plain_text(const sql_token& part)
    -> std::optional<std::string>;

} // namespace rhubarbrun::detail

#endif
