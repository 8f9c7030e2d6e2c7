#ifndef RHUBARBRUN_SRC_PROTOCOL_CALLER_PROTOCOL_HELPERS_HPP
#define RHUBARBRUN_SRC_PROTOCOL_CALLER_PROTOCOL_HELPERS_HPP

#include <rhubarbrun/protocol/caller_protocol.hpp>

#include <algorithm>
#include <cctype>
#include <rhubarbrun/protocol/pg_writer.hpp>
#include <utility>

namespace rhubarbrun::detail::caller_protocol_helpers {

inline constexpr auto token_setting =
    std::string_view("rhubarbrun.session_token");
inline constexpr auto failed_transaction = std::string_view("25P02");
inline constexpr auto failed_transaction_message =
    std::string_view("current transaction is aborted, commands ignored until "
                     "end of transaction block");
inline constexpr auto read_only_transaction = std::string_view("25006");
inline constexpr auto no_active_transaction = std::string_view("25P01");
inline constexpr auto active_transaction = std::string_view("25001");
inline constexpr auto syntax_error = std::string_view("42601");
inline constexpr auto invalid_statement_name = std::string_view("26000");
inline constexpr auto duplicate_statement = std::string_view("42P05");
inline constexpr auto invalid_cursor_name = std::string_view("34000");
inline constexpr auto duplicate_cursor = std::string_view("42P03");
inline constexpr auto invalid_authorization = std::string_view("28000");
inline constexpr auto internal_error = std::string_view("XX000");

inline constexpr auto frame_header_bytes = std::size_t{5};

/// Calls `visit(type, whole message, body)` for each message of `answer`.
///
/// @throws protocol_error on a length that does not fit
template <class Visitor>
auto for_each_frame(std::string_view answer, const Visitor& visit) -> void
{
    while (!answer.empty()) {
        auto reader = pg_field_reader(answer);
        const auto type = reader.read_byte();
        const auto length = std::size_t{reader.read_uint32()};
        if (length + 1 < frame_header_bytes || length + 1 > answer.size()) {
            throw protocol_error("answer ends within a message");
        }
        const auto whole = answer.substr(0, length + 1);
        visit(type, whole, whole.substr(frame_header_bytes));
        answer.remove_prefix(length + 1);
    }
}

inline auto lower(std::string_view text) -> std::string
{
    auto result = std::string(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) {
                       return static_cast<char>(std::tolower(letter));
                   });
    return result;
}

inline auto is_transaction_end(const statement_info& info) -> bool
{
    return info.kind == statement_kind::commit ||
           info.kind == statement_kind::rollback;
}

inline auto is_transaction_control(const statement_info& info) -> bool
{
    return info.kind == statement_kind::begin || is_transaction_end(info) ||
           info.kind == statement_kind::savepoint;
}

/// Transaction control is carried at the ends of a query string only, so that
/// a string belongs to one transaction at most.
inline auto is_control_misplaced(const std::vector<statement_info>& parts)
    -> bool
{
    for (auto index = std::size_t{0}; index < parts.size(); ++index) {
        const auto kind = parts[index].kind;
        if ((kind == statement_kind::begin && index != 0) ||
            (is_transaction_end(parts[index]) && index + 1 != parts.size()))
        {
            return true;
        }
    }
    return false;
}

/// Adds READ ONLY to the BEGIN at the start of `text`.
inline auto with_read_only(const std::string& text, std::string_view begin)
    -> std::string
{
    const auto end = text.find(begin) + begin.size();
    return text.substr(0, end) + " READ ONLY" + text.substr(end);
}

inline auto show_columns(std::string_view name)
    -> std::vector<column_description>
{
    auto column = column_description{};
    column.name = name;
    return {column};
}

} // namespace rhubarbrun::detail::caller_protocol_helpers

#endif
