#include <rhubarbrun/transport/json.hpp>

#include <array>
#include <charconv>
#include <system_error>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto deepest_level = 32;
/// Values of a text: a value takes far more memory than its shortest text, and
/// documents of this system have more than ten bytes for each.
constexpr auto least_bytes_per_value = std::size_t{4};
constexpr auto values_of_any_text = std::size_t{1024};
constexpr auto hexadecimal = std::string_view("0123456789abcdef");

auto print_text(std::string& out, std::string_view text) -> void
{
    out += '"';
    for (const auto letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out += '\\';
            out += letter;
        } else if (letter == '\n') {
            out += "\\n";
        } else if (byte < ' ' || byte == 0x7f) {
            out += "\\u00";
            out += hexadecimal[byte >> 4U];
            out += hexadecimal[byte & 0xfU];
        } else {
            out += letter;
        }
    }
    out += '"';
}

/// Recursive descent over one JSON text.
class parser
{
public:
    explicit parser(std::string_view text)
        : rest_(text),
          values_left_(text.size() / least_bytes_per_value + values_of_any_text)
    {
    }

    auto parse() -> std::optional<json_value>
    {
        auto value = json_value();
        if (!parse_value(value, 0)) {
            return std::nullopt;
        }
        skip_space();
        return rest_.empty() ? std::optional(std::move(value)) : std::nullopt;
    }

private:
    auto skip_space() -> void
    {
        const auto start = rest_.find_first_not_of(" \t\r\n");
        rest_.remove_prefix(start == std::string_view::npos ? rest_.size()
                                                            : start);
    }

    auto take(std::string_view word) -> bool
    {
        skip_space();
        if (!rest_.starts_with(word)) {
            return false;
        }
        rest_.remove_prefix(word.size());
        return true;
    }

    auto parse_value(json_value& out, int level) -> bool
    {
        skip_space();
        if (rest_.empty() || level > deepest_level || values_left_ == 0) {
            return false;
        }
        --values_left_;
        switch (rest_.front()) {
        case '{':
            return parse_object(out, level);
        case '[':
            return parse_array(out, level);
        case '"': {
            auto text = std::string();
            const auto is_valid = parse_text(text);
            out = json_value(std::move(text));
            return is_valid;
        }
        case 't':
            out = json_value(true);
            return take("true");
        case 'f':
            out = json_value(false);
            return take("false");
        case 'n':
            out = json_value();
            return take("null");
        default:
            return parse_number(out);
        }
    }

    auto parse_object(json_value& out, int level) -> bool
    {
        auto members = json_value::object();
        rest_.remove_prefix(1);
        if (!take("}")) {
            do {
                auto name = std::string();
                auto value = json_value();
                skip_space();
                if (!parse_text(name) || !take(":") ||
                    !parse_value(value, level + 1) ||
                    !members.emplace(std::move(name), std::move(value)).second)
                {
                    return false;
                }
            } while (take(","));
            if (!take("}")) {
                return false;
            }
        }
        out = json_value(std::move(members));
        return true;
    }

    auto parse_array(json_value& out, int level) -> bool
    {
        auto elements = json_value::array();
        rest_.remove_prefix(1);
        if (!take("]")) {
            do {
                if (!parse_value(elements.emplace_back(), level + 1)) {
                    return false;
                }
            } while (take(","));
            if (!take("]")) {
                return false;
            }
        }
        out = json_value(std::move(elements));
        return true;
    }

    auto parse_number(json_value& out) -> bool
    {
        auto number = std::int64_t{0};
        const auto* const first = rest_.data();
        const auto [end, fault] =
            std::from_chars(first, first + rest_.size(), number);
        if (fault != std::errc()) {
            return false;
        }
        rest_.remove_prefix(static_cast<std::size_t>(end - first));
        if (!rest_.empty() && (rest_.front() == '.' || rest_.front() == 'e' ||
                               rest_.front() == 'E'))
        {
            return false;
        }
        out = json_value(number);
        return true;
    }

    auto parse_text(std::string& out) -> bool
    {
        if (rest_.empty() || rest_.front() != '"') {
            return false;
        }
        rest_.remove_prefix(1);
        while (!rest_.empty()) {
            const auto letter = rest_.front();
            rest_.remove_prefix(1);
            if (letter == '"') {
                return true;
            }
            if (static_cast<unsigned char>(letter) < ' ') {
                return false;
            }
            if (letter != '\\') {
                out += letter;
            } else if (!parse_escape(out)) {
                return false;
            }
        }
        return false;
    }

    auto parse_escape(std::string& out) -> bool
    {
        if (rest_.empty()) {
            return false;
        }
        const auto letter = rest_.front();
        rest_.remove_prefix(1);
        constexpr auto names = std::string_view("\"\\/bfnrt");
        constexpr auto values = std::string_view("\"\\/\b\f\n\r\t");
        if (const auto found = names.find(letter);
            found != std::string_view::npos) {
            out += values[found];
            return true;
        }
        auto first = std::uint32_t{0};
        if (letter != 'u' || !parse_unit(first)) {
            return false;
        }
        if (first >= 0xd800 && first < 0xdc00) {
            auto second = std::uint32_t{0};
            if (!rest_.starts_with("\\u")) {
                return false;
            }
            rest_.remove_prefix(2);
            if (!parse_unit(second) || second < 0xdc00 || second > 0xdfff) {
                return false;
            }
            first = 0x10000 + ((first - 0xd800) << 10U) + (second - 0xdc00);
        } else if (first >= 0xdc00 && first <= 0xdfff) {
            return false;
        }
        append_utf8(out, first);
        return true;
    }

    auto parse_unit(std::uint32_t& out) -> bool
    {
        constexpr auto digits = std::size_t{4};
        if (rest_.size() < digits) {
            return false;
        }
        const auto* const first = rest_.data();
        const auto [end, fault] =
            std::from_chars(first, first + digits, out, 16);
        rest_.remove_prefix(digits);
        return fault == std::errc() && end == first + digits;
    }

    static auto append_utf8(std::string& out, std::uint32_t code) -> void
    {
        const auto add = [&](std::uint32_t byte) {
            out += static_cast<char>(static_cast<unsigned char>(byte));
        };
        if (code < 0x80) {
            add(code);
        } else if (code < 0x800) {
            add(0xc0 | (code >> 6U));
            add(0x80 | (code & 0x3fU));
        } else if (code < 0x10000) {
            add(0xe0 | (code >> 12U));
            add(0x80 | ((code >> 6U) & 0x3fU));
            add(0x80 | (code & 0x3fU));
        } else {
            add(0xf0 | (code >> 18U));
            add(0x80 | ((code >> 12U) & 0x3fU));
            add(0x80 | ((code >> 6U) & 0x3fU));
            add(0x80 | (code & 0x3fU));
        }
    }

    std::string_view rest_;
    std::size_t values_left_;
};

} // namespace

auto json_value::operator[](std::string_view name) const -> const json_value&
{
    static const auto null = json_value();
    const auto& all = members();
    const auto found = all.find(name);
    return found == all.end() ? null : found->second;
}

auto json_value::text() const -> std::string
{
    const auto* const value = std::get_if<std::string>(&content_);
    return value == nullptr ? std::string() : *value;
}

auto json_value::number() const noexcept -> std::int64_t
{
    const auto* const value = std::get_if<std::int64_t>(&content_);
    return value == nullptr ? 0 : *value;
}

auto json_value::truth() const noexcept -> bool
{
    const auto* const value = std::get_if<bool>(&content_);
    return value != nullptr && *value;
}

auto json_value::elements() const -> const array&
{
    static const auto none = array();
    const auto* const value = std::get_if<array>(&content_);
    return value == nullptr ? none : *value;
}

auto json_value::members() const -> const object&
{
    static const auto none = object();
    const auto* const value = std::get_if<object>(&content_);
    return value == nullptr ? none : *value;
}

auto json_value::print() const -> std::string
{
    auto out = std::string();
    print(out);
    return out;
}

auto json_value::print(std::string& out) const -> void
{
    if (const auto* const flag = std::get_if<bool>(&content_)) {
        out += *flag ? "true" : "false";
    } else if (const auto* const number = std::get_if<std::int64_t>(&content_))
    {
        out += std::to_string(*number);
    } else if (const auto* const text = std::get_if<std::string>(&content_)) {
        print_text(out, *text);
    } else if (const auto* const list = std::get_if<array>(&content_)) {
        auto separator = '[';
        for (const auto& element : *list) {
            out += separator;
            element.print(out);
            separator = ',';
        }
        out += list->empty() ? "[]" : "]";
    } else if (const auto* const fields = std::get_if<object>(&content_)) {
        auto separator = '{';
        for (const auto& [name, value] : *fields) {
            out += separator;
            print_text(out, name);
            out += ':';
            value.print(out);
            separator = ',';
        }
        out += fields->empty() ? "{}" : "}";
    } else {
        out += "null";
    }
}

auto parse_json(std::string_view text) -> std::optional<json_value>
{
    return parser(text).parse();
}

} // namespace rhubarbrun::inline v1
