#ifndef RHUBARBRUN_BENCH_TARGET_ROWS_HPP
#define RHUBARBRUN_BENCH_TARGET_ROWS_HPP

#include "target_store.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbrun::bench {

/// Type id of a column type name.
[[nodiscard]] auto type_id(std::string_view type) -> std::uint32_t;

/// Throws `sql_error` unless the text is an integer.
[[nodiscard]] auto parse_integer(const column_value& text) -> std::int64_t;

/// Throws `sql_error` if the table has no such column.
[[nodiscard]] auto column_index(const table_definition& definition,
                                const std::string& name) -> std::size_t;

[[nodiscard]] auto missing_table(const std::string& name) -> sql_error;

} // namespace rhubarbrun::bench

#endif
