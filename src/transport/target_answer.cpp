#include "target_answer.hpp"

#include <rhubarbrun/protocol/pg_writer.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace rhubarbrun::detail {

namespace {

/// Field codes of an error, which libpq shares with the protocol.
constexpr auto diagnostic_fields =
    std::array{PG_DIAG_SEVERITY,           PG_DIAG_SEVERITY_NONLOCALIZED,
               PG_DIAG_SQLSTATE,           PG_DIAG_MESSAGE_PRIMARY,
               PG_DIAG_MESSAGE_DETAIL,     PG_DIAG_MESSAGE_HINT,
               PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
               PG_DIAG_INTERNAL_QUERY,     PG_DIAG_CONTEXT,
               PG_DIAG_SCHEMA_NAME,        PG_DIAG_TABLE_NAME,
               PG_DIAG_COLUMN_NAME,        PG_DIAG_DATATYPE_NAME,
               PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
               PG_DIAG_SOURCE_LINE,        PG_DIAG_SOURCE_FUNCTION};

auto read_fields(const PGresult* result)
    -> std::vector<std::pair<char, std::string>>
{
    auto fields = std::vector<std::pair<char, std::string>>{};
    for (const auto code : diagnostic_fields) {
        if (const auto* text = PQresultErrorField(result, code)) {
            fields.emplace_back(static_cast<char>(code), text);
        }
    }
    return fields;
}

auto read_columns(const PGresult* result) -> std::vector<column_description>
{
    auto columns = std::vector<column_description>{};
    const auto count = PQnfields(result);
    for (auto index = 0; index < count; ++index) {
        auto column = column_description{};
        column.name = PQfname(result, index);
        column.table = PQftable(result, index);
        column.column = static_cast<std::int16_t>(PQftablecol(result, index));
        column.type = PQftype(result, index);
        column.type_size = static_cast<std::int16_t>(PQfsize(result, index));
        column.type_modifier = PQfmod(result, index);
        column.format = static_cast<std::int16_t>(PQfformat(result, index));
        columns.push_back(std::move(column));
    }
    return columns;
}

auto write_rows(pg_writer& out, const PGresult* result) -> void
{
    const auto rows = PQntuples(result);
    const auto columns = PQnfields(result);
    for (auto row = 0; row < rows; ++row) {
        out.begin(pg::data_row);
        out.put_int16(static_cast<std::int16_t>(columns));
        for (auto column = 0; column < columns; ++column) {
            if (PQgetisnull(result, row, column) != 0) {
                out.put_value(std::nullopt);
                continue;
            }
            const auto length =
                static_cast<std::size_t>(PQgetlength(result, row, column));
            out.put_uint32(static_cast<std::uint32_t>(length));
            out.put_bytes({PQgetvalue(result, row, column), length});
        }
        out.end();
    }
}

} // namespace

auto target_answer::is_too_large() const noexcept -> bool
{
    return is_too_large_;
}

auto target_answer::has_error() const noexcept -> bool
{
    return has_error_;
}

auto target_answer::error_code() const noexcept -> const std::string&
{
    return error_code_;
}

auto target_answer::max_bytes() const noexcept -> std::size_t
{
    return max_bytes_;
}

auto target_answer::set_max_bytes(std::size_t limit) noexcept -> void
{
    max_bytes_ = limit;
}

auto target_answer::clear() -> void
{
    *this = target_answer(max_bytes_);
}

auto target_answer::take() -> std::string
{
    return std::exchange(bytes_, {});
}

auto target_answer::add_notice(const PGresult* result) -> void
{
    if (!is_too_large_) {
        pg_writer(bytes_).fields(pg::notice_response, read_fields(result));
    }
}

auto target_answer::add_rows(const PGresult* result) -> void
{
    const auto is_last = PQresultStatus(result) == PGRES_TUPLES_OK;
    if (!is_too_large_) {
        auto out = pg_writer(bytes_);
        if (!has_description_) {
            out.row_description(read_columns(result));
            has_description_ = true;
        }
        write_rows(out, result);
        if (is_last) {
            out.command_complete(PQcmdStatus(const_cast<PGresult*>(result)));
        }
    }
    if (is_last) {
        has_description_ = false;
    }
    if (!is_too_large_ && bytes_.size() > max_bytes_) {
        is_too_large_ = true;
        bytes_ = {};
    }
}

auto target_answer::add_command(const PGresult* result) -> void
{
    pg_writer(bytes_).command_complete(
        PQcmdStatus(const_cast<PGresult*>(result)));
}

auto target_answer::add_empty_query() -> void
{
    pg_writer(bytes_).empty(pg::empty_query);
}

auto target_answer::add_description(const PGresult* result) -> void
{
    auto types = std::vector<std::uint32_t>{};
    for (auto index = 0; index < PQnparams(result); ++index) {
        types.push_back(PQparamtype(result, index));
    }
    auto out = pg_writer(bytes_);
    out.parameter_description(types);
    if (PQnfields(result) > 0) {
        out.row_description(read_columns(result));
    } else {
        out.empty(pg::no_data);
    }
}

auto target_answer::add_error(const PGresult* result) -> void
{
    const auto* code = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    if (code == nullptr) {
        // Made by libpq itself, as the connection is lost.
        return;
    }
    has_error_ = true;
    error_code_ = code;
    if (!is_too_large_) {
        pg_writer(bytes_).fields(pg::error_response, read_fields(result));
    }
}

} // namespace rhubarbrun::detail
