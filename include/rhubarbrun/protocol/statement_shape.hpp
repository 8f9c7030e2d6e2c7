#ifndef RHUBARBRUN_PROTOCOL_STATEMENT_SHAPE_HPP
#define RHUBARBRUN_PROTOCOL_STATEMENT_SHAPE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What the proxy must know of one SQL statement to carry it.
enum class statement_kind : std::uint8_t
{
    /// Changes no data by its first keywords, such as SELECT and EXPLAIN.
    read,
    /// Everything that is not recognised as another kind.
    write,
    begin,
    commit,
    rollback,
    /// SAVEPOINT, RELEASE and ROLLBACK TO.
    savepoint,
    /// SET and SET LOCAL of a named setting.
    set,
    /// SET TRANSACTION and SET CONSTRAINTS; local to a transaction.
    set_transaction,
    reset,
    show,
    discard_all,
    deallocate,
    /// Leaves state on a connection, or needs messages that are not carried.
    not_carried,
};

/// Access mode of BEGIN, START TRANSACTION or SET TRANSACTION.
enum class access_mode : std::uint8_t
{
    unspecified,
    read_only,
    read_write,
};

/// One statement of a query string.
struct statement_info
{
    statement_kind kind = statement_kind::write;
    /// The statement without comments around it and without its semicolon.
    std::string_view text;
    access_mode mode = access_mode::unspecified;
    /// Name of the setting of SET, RESET and SHOW in lower case, or of the
    /// statement of DEALLOCATE; `all` for RESET ALL, SHOW ALL and so on.
    std::string name;
    /// Value of SET; no value stands for DEFAULT.
    std::optional<std::string> value;
    bool is_local = false;
    /// Why a `not_carried` statement is refused.
    std::string_view reason;
};

/// Splits a query string into its statements; empty ones are left out.
///
/// Knows comments (nested), quoted text and identifiers, escape strings and
/// dollar quotes, with `standard_conforming_strings` on. Text that PostgreSQL
/// would refuse gives some result, but never a throw: the target reports the
/// fault. The views in the result refer to `text`.
[[nodiscard]] auto split_statements(std::string_view text)
    -> std::vector<statement_info>;

/// Longest shape; the shape of a longer text ends in a hash of the rest.
inline constexpr std::size_t max_shape_length = 256;

/// `text` with literals replaced by `?`, lists of literals by one, comments
/// removed, words in lower case and single spaces between them.
[[nodiscard]] auto statement_shape(std::string_view text) -> std::string;

} // namespace rhubarbrun::inline v1

#endif
