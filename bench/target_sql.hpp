#ifndef RHUBARBRUN_BENCH_TARGET_SQL_HPP
#define RHUBARBRUN_BENCH_TARGET_SQL_HPP

#include <rhubarbrun/protocol/pg_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::bench {

/// An error that the stand-in target reports to its client.
class sql_error : public std::runtime_error
{
public:
    sql_error(std::string code, const std::string& message)
        : std::runtime_error(message), code_(std::move(code))
    {
    }

    [[nodiscard]] auto code() const noexcept -> const std::string&
    {
        return code_;
    }

private:
    std::string code_;
};

/// A value in a statement.
struct expression
{
    enum class kind : std::uint8_t
    {
        null,
        literal,
        /// `parameter`, counted from 1.
        parameter,
        /// Column `text`.
        column,
        /// Function `text` of `arguments`.
        call,
        /// `arguments[0]` plus `arguments[1]`, both whole numbers.
        sum,
        /// Marks `*` in a select list.
        all_columns,
    };

    kind type = kind::null;
    std::string text;
    std::size_t parameter = 0;
    bool is_number = false;
    std::vector<expression> arguments;
    /// Name of the result column.
    std::string name;
};

enum class command_kind : std::uint8_t
{
    begin,
    commit,
    rollback,
    set,
    show,
    create_table,
    drop_table,
    insert,
    update,
    remove,
    select,
    alter_system,
};

/// One parsed statement of the SQL subset that the stand-in target knows.
struct command
{
    command_kind kind = command_kind::select;
    bool is_read_only = false;
    /// Table, or the name of the setting of SET, SHOW and ALTER SYSTEM.
    std::string table;
    /// IF NOT EXISTS, IF EXISTS or ON CONFLICT DO NOTHING.
    bool ignores_conflict = false;
    /// Columns of CREATE TABLE and INSERT; names of UPDATE SET.
    std::vector<std::string> columns;
    /// Types of CREATE TABLE.
    std::vector<std::string> types;
    /// Constant defaults of CREATE TABLE; `null` for none.
    std::vector<expression> defaults;
    std::size_t key_column = 0;
    /// Rows of INSERT, values of UPDATE, list of SELECT, value of SET.
    std::vector<std::vector<expression>> values;
    /// Equality conditions joined by AND.
    std::vector<std::pair<std::string, expression>> conditions;
    std::optional<expression> limit;
    /// Number of parameters.
    std::size_t parameters = 0;
};

/// Parses one statement without its semicolon.
///
/// @throws sql_error with 42601 on text outside the subset
[[nodiscard]] auto parse_command(std::string_view text) -> command;

/// Splits a query string into the texts of its statements.
[[nodiscard]] auto split_commands(std::string_view text)
    -> std::vector<std::string_view>;

} // namespace rhubarbrun::bench

#endif
