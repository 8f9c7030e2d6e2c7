#include <rhubarbrun/state/session_token.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto item_separator = ',';
constexpr auto field_separator = ':';

auto is_group_letter(char letter) -> bool
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '_' || letter == '-' ||
           letter == '.';
}

auto parse_term(std::string_view text) -> std::optional<term>
{
    auto value = std::uint64_t{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end ||
        std::to_string(value) != text)
    {
        return std::nullopt;
    }
    return term(value);
}

/// Reads the fields of a token from left to right.
class token_parser
{
public:
    explicit token_parser(std::string_view text) : text_(text) {}

    auto parse() -> std::variant<session_token, session_token_error>
    {
        if (text_.size() > session_token::longest_text) {
            return session_token_error{session_token::longest_text,
                                       "the token is too long"};
        }
        auto token = session_token{};
        auto is_more = !text_.empty();
        while (is_more) {
            if (auto problem = parse_item(token)) {
                return session_token_error{start_, *std::move(problem)};
            }
            is_more = next_ <= text_.size();
        }
        return token;
    }

private:
    /// Takes the text up to `separator`, or all that is left.
    auto take_field(char separator) -> std::string_view
    {
        start_ = next_;
        const auto end = std::min(text_.find(separator, start_), text_.size());
        next_ = end + 1;
        return text_.substr(start_, end - start_);
    }

    auto parse_item(session_token& token) -> std::optional<std::string>
    {
        const auto group = take_field(field_separator);
        if (group.empty() || group.size() > session_token::longest_group ||
            !std::all_of(group.begin(), group.end(), is_group_letter))
        {
            return "the group name is not valid";
        }
        const auto id = group_id(std::string(group));
        if (token.floor(id)) {
            return "the group occurs twice";
        }
        if (token.floors().size() == session_token::most_groups) {
            return "the token has too many groups";
        }
        if (next_ > text_.size()) {
            start_ = text_.size();
            return "the term is missing";
        }
        const auto group_term = parse_term(take_field(field_separator));
        if (!group_term) {
            return "the term is not a decimal number";
        }
        if (next_ > text_.size()) {
            start_ = text_.size();
            return "the offset is missing";
        }
        const auto field = take_field(item_separator);
        const auto offset = parse_log_offset(field);
        if (!offset || to_string(*offset) != field) {
            return "the offset is not a log position";
        }
        token.raise(id, {*group_term, *offset});
        return std::nullopt;
    }

    std::string_view text_;
    /// Start of the field taken last.
    std::size_t start_ = 0;
    std::size_t next_ = 0;
};

} // namespace

auto session_token::raise(const group_id& group, log_position position) -> void
{
    const auto [entry, is_new] = floors_.try_emplace(group, position);
    if (!is_new) {
        entry->second = join(entry->second, position);
    }
}

auto session_token::floor(const group_id& group) const
    -> std::optional<log_position>
{
    const auto found = floors_.find(group);
    if (found == floors_.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto parse_session_token(std::string_view text)
    -> std::variant<session_token, session_token_error>
{
    return token_parser(text).parse();
}

auto to_string(const session_token& token) -> std::string
{
    auto text = std::string{};
    for (const auto& [group, position] : token.floors()) {
        if (!text.empty()) {
            text += item_separator;
        }
        text += group.value();
        text += field_separator;
        text += std::to_string(position.group_term.value());
        text += field_separator;
        text += to_string(position.offset);
    }
    return text;
}

} // namespace rhubarbrun::inline v1
