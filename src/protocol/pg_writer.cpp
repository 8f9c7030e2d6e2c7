#include <rhubarbrun/protocol/pg_writer.hpp>

#include <algorithm>
#include <array>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto length_bytes = std::size_t{4};

auto encode_uint32(std::uint32_t value) -> std::array<char, length_bytes>
{
    return {static_cast<char>(value >> 24U), static_cast<char>(value >> 16U),
            static_cast<char>(value >> 8U), static_cast<char>(value)};
}

} // namespace

auto pg_writer::begin(char type) -> void
{
    out_->push_back(type);
    start_ = out_->size();
    out_->append(length_bytes, '\0');
}

auto pg_writer::end() -> void
{
    const auto length =
        encode_uint32(static_cast<std::uint32_t>(out_->size() - start_));
    std::copy(length.begin(), length.end(),
              out_->begin() + static_cast<std::ptrdiff_t>(start_));
}

auto pg_writer::put_byte(char value) -> void
{
    out_->push_back(value);
}

auto pg_writer::put_int16(std::int16_t value) -> void
{
    const auto bits = static_cast<std::uint16_t>(value);
    out_->push_back(static_cast<char>(bits >> 8U));
    out_->push_back(static_cast<char>(bits & 0xffU));
}

auto pg_writer::put_uint32(std::uint32_t value) -> void
{
    const auto bytes = encode_uint32(value);
    out_->append(bytes.data(), bytes.size());
}

auto pg_writer::put_text(std::string_view value) -> void
{
    // A zero byte would end the text early and shift all later fields.
    out_->append(value.substr(0, value.find('\0')));
    out_->push_back('\0');
}

auto pg_writer::put_bytes(std::string_view value) -> void
{
    out_->append(value);
}

auto pg_writer::put_value(const column_value& value) -> void
{
    if (!value) {
        put_uint32(0xffffffffU);
        return;
    }
    put_uint32(static_cast<std::uint32_t>(value->size()));
    put_bytes(*value);
}

auto pg_writer::authentication_ok() -> void
{
    begin(pg::authentication);
    put_uint32(0);
    end();
}

auto pg_writer::backend_key_data(const backend_key& key) -> void
{
    begin(pg::backend_key_data);
    put_uint32(key.process);
    put_uint32(key.secret);
    end();
}

auto pg_writer::parameter_status(std::string_view name, std::string_view value)
    -> void
{
    begin(pg::parameter_status);
    put_text(name);
    put_text(value);
    end();
}

auto pg_writer::ready_for_query(transaction_status status) -> void
{
    begin(pg::ready_for_query);
    put_byte(static_cast<char>(status));
    end();
}

auto pg_writer::row_description(const std::vector<column_description>& columns)
    -> void
{
    begin(pg::row_description);
    put_int16(static_cast<std::int16_t>(columns.size()));
    for (const auto& column : columns) {
        put_text(column.name);
        put_uint32(column.table);
        put_int16(column.column);
        put_uint32(column.type);
        put_int16(column.type_size);
        put_uint32(static_cast<std::uint32_t>(column.type_modifier));
        put_int16(column.format);
    }
    end();
}

auto pg_writer::data_row(const row_values& values) -> void
{
    begin(pg::data_row);
    put_int16(static_cast<std::int16_t>(values.size()));
    for (const auto& value : values) {
        put_value(value);
    }
    end();
}

auto pg_writer::command_complete(std::string_view tag) -> void
{
    begin(pg::command_complete);
    put_text(tag);
    end();
}

auto pg_writer::empty(char type) -> void
{
    begin(type);
    end();
}

auto pg_writer::parameter_description(const std::vector<std::uint32_t>& types)
    -> void
{
    begin(pg::parameter_description);
    put_int16(static_cast<std::int16_t>(types.size()));
    for (const auto type : types) {
        put_uint32(type);
    }
    end();
}

auto pg_writer::error(std::string_view severity, std::string_view code,
                      std::string_view message, std::string_view detail) -> void
{
    auto parts =
        std::vector<std::pair<char, std::string>>{{'S', std::string(severity)},
                                                  {'V', std::string(severity)},
                                                  {'C', std::string(code)},
                                                  {'M', std::string(message)}};
    if (!detail.empty()) {
        parts.emplace_back('D', detail);
    }
    fields(pg::error_response, parts);
}

auto pg_writer::fields(char type,
                       const std::vector<std::pair<char, std::string>>& fields)
    -> void
{
    begin(type);
    for (const auto& [name, text] : fields) {
        put_byte(name);
        put_text(text);
    }
    put_byte('\0');
    end();
}

auto pg_writer::raw(char type, std::string_view body) -> void
{
    begin(type);
    put_bytes(body);
    end();
}

auto code_for_caller(const request_error& error) -> std::string_view
{
    // Codes that are answers in themselves: sending the same request again
    // gives the same answer, or the caller asked for this end.
    constexpr auto definite = std::array{
        sqlstate::query_canceled,         sqlstate::transaction_rollback,
        sqlstate::protocol_violation,     sqlstate::feature_not_supported,
        sqlstate::program_limit_exceeded, sqlstate::invalid_parameter_value,
        sqlstate::invalid_catalog_name,   sqlstate::cannot_connect_now,
        sqlstate::too_many_connections};
    switch (error.outcome) {
    case verdict::may_have_run:
        return sqlstate::transaction_resolution_unknown;
    case verdict::not_run:
        return std::find(definite.begin(), definite.end(), error.code) !=
                       definite.end()
                   ? std::string_view(error.code)
                   : sqlstate::cannot_connect_now;
    case verdict::ran:
        break;
    }
    return error.code;
}

auto write_request_error(pg_writer& out, const request_error& error) -> void
{
    auto detail = std::string{};
    if (error.retry_after > duration::zero()) {
        // Rounded up, as a caller that returns too early is refused again.
        const auto wait =
            std::chrono::ceil<std::chrono::milliseconds>(error.retry_after);
        detail = "retry_after_ms=" + std::to_string(wait.count());
    }
    out.error("ERROR", code_for_caller(error), error.message, detail);
}

} // namespace rhubarbrun::inline v1
