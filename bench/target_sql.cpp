#include "target_sql.hpp"

#include <rhubarbrun/protocol/statement_shape.hpp>

#include <algorithm>
#include <cctype>

namespace rhubarbrun::bench {

namespace {

enum class part_type : std::uint8_t
{
    word,
    text,
    number,
    parameter,
    symbol,
    end,
};

struct part
{
    part_type type = part_type::end;
    /// Lower case for words; the content for quoted parts.
    std::string text;
};

auto syntax_error(const std::string& message) -> sql_error
{
    return {"42601", message};
}

auto is_word_letter(char letter) -> bool
{
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           letter == '_';
}

auto unexpected(std::string_view expected, const part& found) -> sql_error
{
    auto message = std::string(expected);
    message += " is expected near \"";
    message += found.text;
    message += "\"";
    return syntax_error(message);
}

class scanner
{
public:
    explicit scanner(std::string_view text) : text_(text) {}

    auto next() -> part
    {
        skip_space();
        if (at_ >= text_.size()) {
            return {};
        }
        const auto letter = text_[at_];
        if (letter == '\'' || letter == '"') {
            return {letter == '"' ? part_type::word : part_type::text,
                    quoted(letter)};
        }
        if (letter == '$') {
            ++at_;
            return {part_type::parameter, run_of_digits()};
        }
        if (std::isdigit(static_cast<unsigned char>(letter)) != 0) {
            return {part_type::number, run_of_digits()};
        }
        if (is_word_letter(letter)) {
            return {part_type::word, word()};
        }
        if (text_.substr(at_, 2) == "::") {
            at_ += 2;
            return {part_type::symbol, "::"};
        }
        ++at_;
        return {part_type::symbol, std::string(1, letter)};
    }

private:
    auto skip_space() -> void
    {
        while (at_ < text_.size()) {
            if (std::isspace(static_cast<unsigned char>(text_[at_])) != 0) {
                ++at_;
            } else if (text_.substr(at_, 2) == "--") {
                at_ = std::min(text_.find('\n', at_), text_.size());
            } else {
                return;
            }
        }
    }

    auto quoted(char quote) -> std::string
    {
        auto value = std::string{};
        for (++at_; at_ < text_.size(); ++at_) {
            if (text_[at_] == quote) {
                if (text_.substr(at_ + 1, 1) != std::string(1, quote)) {
                    ++at_;
                    return value;
                }
                ++at_;
            }
            value.push_back(text_[at_]);
        }
        throw syntax_error("unterminated quoted string");
    }

    auto run_of_digits() -> std::string
    {
        const auto start = at_;
        while (at_ < text_.size() &&
               (std::isdigit(static_cast<unsigned char>(text_[at_])) != 0 ||
                text_[at_] == '.'))
        {
            ++at_;
        }
        return std::string(text_.substr(start, at_ - start));
    }

    auto word() -> std::string
    {
        auto value = std::string{};
        while (at_ < text_.size() &&
               (is_word_letter(text_[at_]) || text_[at_] == '.')) {
            value.push_back(static_cast<char>(
                std::tolower(static_cast<unsigned char>(text_[at_]))));
            ++at_;
        }
        return value;
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

class parser
{
public:
    explicit parser(std::string_view text)
    {
        auto parts = scanner(text);
        for (auto next = parts.next(); next.type != part_type::end;
             next = parts.next()) {
            parts_.push_back(std::move(next));
        }
        parts_.emplace_back();
    }

    auto parse() -> command
    {
        const auto first = take_word();
        if (first == "begin" || first == "start") {
            parse_begin();
        } else if (first == "commit" || first == "end") {
            result_.kind = command_kind::commit;
            skip_rest();
        } else if (first == "rollback" || first == "abort") {
            result_.kind = command_kind::rollback;
            if (peek_word("to")) {
                throw sql_error("0A000", "savepoints are not supported");
            }
            skip_rest();
        } else if (first == "set") {
            parse_set();
        } else if (first == "show") {
            result_.kind = command_kind::show;
            result_.table = take_word();
        } else if (first == "create") {
            parse_create();
        } else if (first == "drop") {
            parse_drop();
        } else if (first == "insert") {
            parse_insert();
        } else if (first == "update") {
            parse_update();
        } else if (first == "delete") {
            result_.kind = command_kind::remove;
            expect_word("from");
            result_.table = take_word();
            parse_where();
        } else if (first == "select") {
            parse_select();
        } else if (first == "alter") {
            parse_alter_system();
        } else {
            throw syntax_error("statement is not known: " + first);
        }
        if (peek().type != part_type::end) {
            throw unexpected("end of statement", peek());
        }
        return std::move(result_);
    }

private:
    [[nodiscard]] auto peek() const -> const part& { return parts_[at_]; }

    [[nodiscard]] auto peek_word(std::string_view word) const -> bool
    {
        return peek().type == part_type::word && peek().text == word;
    }

    [[nodiscard]] auto peek_symbol(std::string_view symbol) const -> bool
    {
        return peek().type == part_type::symbol && peek().text == symbol;
    }

    auto take() -> part
    {
        auto taken = parts_[at_];
        if (taken.type != part_type::end) {
            ++at_;
        }
        return taken;
    }

    auto take_word() -> std::string
    {
        if (peek().type != part_type::word) {
            throw unexpected("a name", peek());
        }
        return take().text;
    }

    auto accept_word(std::string_view word) -> bool
    {
        const auto is_there = peek_word(word);
        at_ += is_there ? 1 : 0;
        return is_there;
    }

    auto accept_symbol(std::string_view symbol) -> bool
    {
        const auto is_there = peek_symbol(symbol);
        at_ += is_there ? 1 : 0;
        return is_there;
    }

    auto expect_word(std::string_view word) -> void
    {
        if (!accept_word(word)) {
            throw unexpected(word, peek());
        }
    }

    auto expect_symbol(std::string_view symbol) -> void
    {
        if (!accept_symbol(symbol)) {
            throw unexpected(symbol, peek());
        }
    }

    auto skip_rest() -> void { at_ = parts_.size() - 1; }

    auto parse_begin() -> void
    {
        result_.kind = command_kind::begin;
        for (auto index = at_; index + 1 < parts_.size(); ++index) {
            result_.is_read_only =
                result_.is_read_only || (parts_[index].text == "read" &&
                                         parts_[index + 1].text == "only");
        }
        skip_rest();
    }

    auto parse_set() -> void
    {
        result_.kind = command_kind::set;
        if (peek_word("local") || peek_word("session")) {
            take();
        }
        result_.table = take_word();
        skip_rest();
    }

    auto parse_column() -> void
    {
        result_.columns.push_back(take_word());
        result_.types.push_back(take_word());
        result_.defaults.emplace_back();
        auto depth = 0;
        while (peek().type != part_type::end) {
            if (depth == 0 && (peek_symbol(",") || peek_symbol(")"))) {
                return;
            }
            if (accept_word("default")) {
                auto value = parse_value();
                if (value.type == expression::kind::literal) {
                    result_.defaults.back() = value;
                }
                continue;
            }
            if (accept_word("primary")) {
                result_.key_column = result_.columns.size() - 1;
                continue;
            }
            depth += peek_symbol("(") ? 1 : 0;
            depth -= peek_symbol(")") ? 1 : 0;
            take();
        }
    }

    auto parse_create() -> void
    {
        result_.kind = command_kind::create_table;
        expect_word("table");
        if (accept_word("if")) {
            expect_word("not");
            expect_word("exists");
            result_.ignores_conflict = true;
        }
        result_.table = take_word();
        expect_symbol("(");
        do {
            parse_column();
        } while (accept_symbol(","));
        expect_symbol(")");
    }

    auto parse_drop() -> void
    {
        result_.kind = command_kind::drop_table;
        expect_word("table");
        if (accept_word("if")) {
            expect_word("exists");
            result_.ignores_conflict = true;
        }
        result_.table = take_word();
    }

    auto parse_insert() -> void
    {
        result_.kind = command_kind::insert;
        expect_word("into");
        result_.table = take_word();
        if (accept_symbol("(")) {
            do {
                result_.columns.push_back(take_word());
            } while (accept_symbol(","));
            expect_symbol(")");
        }
        expect_word("values");
        do {
            expect_symbol("(");
            auto& row = result_.values.emplace_back();
            do {
                row.push_back(parse_sum());
            } while (accept_symbol(","));
            expect_symbol(")");
        } while (accept_symbol(","));
        if (accept_word("on")) {
            expect_word("conflict");
            if (accept_symbol("(")) {
                take_word();
                expect_symbol(")");
            }
            expect_word("do");
            expect_word("nothing");
            result_.ignores_conflict = true;
        }
    }

    auto parse_update() -> void
    {
        result_.kind = command_kind::update;
        result_.table = take_word();
        expect_word("set");
        auto& row = result_.values.emplace_back();
        do {
            result_.columns.push_back(take_word());
            expect_symbol("=");
            row.push_back(parse_sum());
        } while (accept_symbol(","));
        parse_where();
    }

    auto parse_where() -> void
    {
        if (!accept_word("where")) {
            return;
        }
        do {
            auto column = take_word();
            expect_symbol("=");
            result_.conditions.emplace_back(std::move(column), parse_sum());
        } while (accept_word("and"));
    }

    auto parse_select() -> void
    {
        result_.kind = command_kind::select;
        auto& list = result_.values.emplace_back();
        do {
            auto item = parse_sum();
            item.name = item.type == expression::kind::column ||
                                item.type == expression::kind::call
                            ? item.text
                            : "?column?";
            if (accept_word("as")) {
                item.name = take_word();
            }
            list.push_back(std::move(item));
        } while (accept_symbol(","));
        if (accept_word("from")) {
            result_.table = take_word();
            if (accept_symbol("(")) {
                expect_symbol(")");
            }
        }
        parse_where();
        if (accept_word("order")) {
            expect_word("by");
            take_word();
        }
        if (accept_word("limit")) {
            result_.limit = parse_value();
        }
    }

    auto parse_alter_system() -> void
    {
        result_.kind = command_kind::alter_system;
        expect_word("system");
        expect_word("set");
        result_.table = take_word();
        if (!accept_symbol("=")) {
            expect_word("to");
        }
        result_.values.push_back({parse_value()});
    }

    auto parse_sum() -> expression
    {
        auto value = parse_value();
        if (!accept_symbol("+")) {
            return value;
        }
        auto sum = expression{};
        sum.type = expression::kind::sum;
        sum.arguments.push_back(std::move(value));
        sum.arguments.push_back(parse_value());
        return sum;
    }

    auto parse_value() -> expression
    {
        auto value = parse_bare_value();
        while (accept_symbol("::")) {
            take_word();
        }
        return value;
    }

    auto parse_bare_value() -> expression
    {
        auto value = expression{};
        const auto is_negative = accept_symbol("-");
        const auto first = take();
        switch (first.type) {
        case part_type::text:
        case part_type::number:
            value.type = expression::kind::literal;
            if (is_negative) {
                value.text.push_back('-');
            }
            value.text += first.text;
            value.is_number = first.type == part_type::number;
            return value;
        case part_type::parameter:
            value.type = expression::kind::parameter;
            if (first.text.empty() || first.text.size() > 5) {
                throw syntax_error("parameter number is not valid");
            }
            value.parameter = std::stoul(first.text);
            if (value.parameter == 0) {
                throw syntax_error("parameter number is not valid");
            }
            result_.parameters = std::max(result_.parameters, value.parameter);
            return value;
        case part_type::word:
            return parse_named(first.text);
        case part_type::symbol:
            if (first.text == "*") {
                value.type = expression::kind::all_columns;
                return value;
            }
            break;
        case part_type::end:
            break;
        }
        throw unexpected("a value", first);
    }

    auto parse_named(const std::string& name) -> expression
    {
        auto value = expression{};
        if (name == "null") {
            return value;
        }
        if (name == "true" || name == "false" || name == "on" || name == "off")
        {
            value.type = expression::kind::literal;
            value.text.push_back(name == "true" || name == "on" ? 't' : 'f');
            return value;
        }
        value.text = name;
        value.type = expression::kind::column;
        if (accept_symbol("(")) {
            value.type = expression::kind::call;
            while (!peek_symbol(")")) {
                value.arguments.push_back(parse_sum());
                if (!accept_symbol(",")) {
                    break;
                }
            }
            expect_symbol(")");
        }
        return value;
    }

    std::vector<part> parts_;
    std::size_t at_ = 0;
    command result_;
};

} // namespace

auto parse_command(std::string_view text) -> command
{
    return parser(text).parse();
}

auto split_commands(std::string_view text) -> std::vector<std::string_view>
{
    auto texts = std::vector<std::string_view>{};
    for (const auto& statement : split_statements(text)) {
        texts.push_back(statement.text);
    }
    return texts;
}

} // namespace rhubarbrun::bench
