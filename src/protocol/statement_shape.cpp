#include <rhubarbrun/protocol/statement_shape.hpp>

#include "sql_tokens.hpp"
#include "statement_classify.hpp"

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

using detail::sql_token_type;

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
    auto current = detail::sql_statement_tokens{};
    const auto finish = [&] {
        if (current.size() > 0) {
            auto info = statement_info{};
            info.text = current.text_of(text);
            detail::classify(current, info);
            statements.push_back(std::move(info));
            current = detail::sql_statement_tokens{};
        }
    };
    auto tokens = detail::sql_tokenizer(text);
    auto depth = 0;
    while (const auto next = tokens.next()) {
        const auto is_symbol = next->type == sql_token_type::symbol;
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
    auto tokens = detail::sql_tokenizer(text);
    while (const auto next = tokens.next()) {
        switch (next->type) {
        case sql_token_type::word:
            append_shape_token(shape, detail::to_lower(next->text));
            break;
        case sql_token_type::quoted_identifier:
            append_shape_token(shape, next->text);
            break;
        case sql_token_type::text_literal:
        case sql_token_type::number:
        case sql_token_type::parameter:
            append_literal(shape);
            break;
        case sql_token_type::symbol:
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
