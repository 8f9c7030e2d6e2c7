#include "target_rows.hpp"

#include <rhubarbrun/protocol/pg_writer.hpp>

#include <algorithm>
#include <charconv>

namespace rhubarbrun::bench {

auto type_id(std::string_view type) -> std::uint32_t
{
    constexpr auto int4_type = std::uint32_t{23};
    if (type == "bigint" || type == "int8" || type == "bigserial") {
        return pg::int8_type;
    }
    if (type == "integer" || type == "int" || type == "int4") {
        return int4_type;
    }
    return pg::text_type;
}

auto parse_integer(const column_value& text) -> std::int64_t
{
    auto value = std::int64_t{0};
    if (text) {
        const auto* end = text->data() + text->size();
        const auto [parsed, failure] =
            std::from_chars(text->data(), end, value);
        if (failure == std::errc{} && parsed == end) {
            return value;
        }
    }
    throw sql_error("22P02", "invalid input syntax for type bigint");
}

auto column_index(const table_definition& definition, const std::string& name)
    -> std::size_t
{
    const auto& columns = definition.columns;
    const auto found = std::find(columns.begin(), columns.end(), name);
    if (found == columns.end()) {
        throw sql_error("42703", "column \"" + name + "\" does not exist");
    }
    return static_cast<std::size_t>(found - columns.begin());
}

auto missing_table(const std::string& name) -> sql_error
{
    return {"42P01", "relation \"" + name + "\" does not exist"};
}

} // namespace rhubarbrun::bench
