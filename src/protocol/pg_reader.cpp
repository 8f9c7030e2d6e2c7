#include <rhubarbrun/protocol/pg_reader.hpp>

#include <rhubarbrun/protocol/pg_messages.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto length_bytes = std::size_t{4};

auto decode_uint32(std::string_view bytes) -> std::uint32_t
{
    auto value = std::uint32_t{0};
    for (const auto byte : bytes.substr(0, length_bytes)) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

auto is_startup_type(std::string_view body) -> bool
{
    return body.size() >= length_bytes;
}

} // namespace

pg_frame_reader::pg_frame_reader(std::size_t max_frame_bytes,
                                 bool starts_with_startup)
    : max_frame_bytes_(max_frame_bytes), expects_startup_(starts_with_startup)
{
}

auto pg_frame_reader::feed(std::string_view bytes) -> void
{
    // Drops the consumed part only when it is the larger one, so that the
    // cost of moving bytes stays linear.
    if (offset_ > 0 && offset_ >= buffer_.size() - offset_) {
        buffer_.erase(0, offset_);
        offset_ = 0;
    }
    buffer_.append(bytes);
}

auto pg_frame_reader::next() -> std::optional<pg_frame>
{
    const auto rest = std::string_view(buffer_).substr(offset_);
    const auto type_bytes = std::size_t{expects_startup_ ? 0U : 1U};
    if (rest.size() < type_bytes + length_bytes) {
        return std::nullopt;
    }
    const auto length = std::size_t{decode_uint32(rest.substr(type_bytes))};
    const auto limit = expects_startup_ ? max_startup_bytes : max_frame_bytes_;
    if (length < length_bytes || length > limit) {
        throw protocol_error("message length is not valid or too large");
    }
    if (rest.size() < type_bytes + length) {
        return std::nullopt;
    }
    auto frame = pg_frame{};
    frame.type = expects_startup_ ? '\0' : rest.front();
    frame.body = std::string(
        rest.substr(type_bytes + length_bytes, length - length_bytes));
    offset_ += type_bytes + length;
    if (expects_startup_ && !is_startup_type(frame.body)) {
        throw protocol_error("startup packet is too short");
    }
    return frame;
}

auto pg_field_reader::read_bytes(std::size_t count) -> std::string_view
{
    if (count > rest_.size()) {
        throw protocol_error("message is too short");
    }
    const auto bytes = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return bytes;
}

auto pg_field_reader::read_byte() -> char
{
    return read_bytes(1).front();
}

auto pg_field_reader::read_int16() -> std::int16_t
{
    const auto bytes = read_bytes(2);
    const auto value = static_cast<std::uint16_t>(
        (static_cast<unsigned char>(bytes[0]) << 8U) |
        static_cast<unsigned char>(bytes[1]));
    return static_cast<std::int16_t>(value);
}

auto pg_field_reader::read_uint32() -> std::uint32_t
{
    return decode_uint32(read_bytes(length_bytes));
}

auto pg_field_reader::read_int32() -> std::int32_t
{
    return static_cast<std::int32_t>(read_uint32());
}

auto pg_field_reader::read_text() -> std::string_view
{
    const auto end = rest_.find('\0');
    if (end == std::string_view::npos) {
        throw protocol_error("text in message is not terminated");
    }
    const auto text = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return text;
}

auto pg_field_reader::read_value() -> column_value
{
    const auto length = read_int32();
    if (length == -1) {
        return std::nullopt;
    }
    if (length < 0) {
        throw protocol_error("value length is not valid");
    }
    return std::string(read_bytes(static_cast<std::size_t>(length)));
}

auto pg_field_reader::read_count() -> std::size_t
{
    const auto count = read_int16();
    if (count < 0) {
        throw protocol_error("count is negative");
    }
    return static_cast<std::size_t>(count);
}

auto pg_field_reader::expect_end() const -> void
{
    if (!rest_.empty()) {
        throw protocol_error("message is too long");
    }
}

auto parse_startup(std::string_view body) -> startup_parameters
{
    auto reader = pg_field_reader(body);
    static_cast<void>(reader.read_uint32());
    auto parameters = startup_parameters{};
    for (auto name = reader.read_text(); !name.empty();
         name = reader.read_text()) {
        const auto value = reader.read_text();
        parameters.emplace_back(name, value);
    }
    reader.expect_end();
    return parameters;
}

auto parse_query(std::string_view body) -> std::string
{
    auto reader = pg_field_reader(body);
    auto text = std::string(reader.read_text());
    reader.expect_end();
    return text;
}

auto parse_parse(std::string_view body) -> parse_message
{
    auto reader = pg_field_reader(body);
    auto message = parse_message{};
    message.statement = reader.read_text();
    message.text = reader.read_text();
    const auto count = reader.read_count();
    for (auto index = std::size_t{0}; index < count; ++index) {
        message.parameter_types.push_back(reader.read_uint32());
    }
    reader.expect_end();
    return message;
}

namespace {

auto read_formats(pg_field_reader& reader) -> std::vector<std::int16_t>
{
    auto formats = std::vector<std::int16_t>{};
    const auto count = reader.read_count();
    for (auto index = std::size_t{0}; index < count; ++index) {
        const auto format = reader.read_int16();
        if (format != 0 && format != 1) {
            throw protocol_error("format code is not valid");
        }
        formats.push_back(format);
    }
    return formats;
}

} // namespace

auto parse_bind(std::string_view body) -> bind_message
{
    auto reader = pg_field_reader(body);
    auto message = bind_message{};
    message.portal = reader.read_text();
    message.statement = reader.read_text();
    message.parameter_formats = read_formats(reader);
    const auto count = reader.read_count();
    for (auto index = std::size_t{0}; index < count; ++index) {
        message.parameters.push_back(reader.read_value());
    }
    message.result_formats = read_formats(reader);
    reader.expect_end();
    const auto formats = message.parameter_formats.size();
    if (formats > 1 && formats != count) {
        throw protocol_error("format count does not match parameter count");
    }
    return message;
}

auto parse_object(std::string_view body) -> object_message
{
    auto reader = pg_field_reader(body);
    auto message = object_message{};
    message.kind = reader.read_byte();
    message.name = reader.read_text();
    reader.expect_end();
    if (message.kind != 'S' && message.kind != 'P') {
        throw protocol_error("object kind is not valid");
    }
    return message;
}

auto parse_execute(std::string_view body) -> execute_message
{
    auto reader = pg_field_reader(body);
    auto message = execute_message{};
    message.portal = reader.read_text();
    message.row_limit = reader.read_int32();
    reader.expect_end();
    return message;
}

auto parse_row_description(std::string_view body)
    -> std::vector<column_description>
{
    auto reader = pg_field_reader(body);
    auto columns = std::vector<column_description>{};
    const auto count = reader.read_count();
    for (auto index = std::size_t{0}; index < count; ++index) {
        auto column = column_description{};
        column.name = reader.read_text();
        column.table = reader.read_uint32();
        column.column = reader.read_int16();
        column.type = reader.read_uint32();
        column.type_size = reader.read_int16();
        column.type_modifier = reader.read_int32();
        column.format = reader.read_int16();
        columns.push_back(std::move(column));
    }
    reader.expect_end();
    return columns;
}

auto parse_error(std::string_view body) -> pg_error_fields
{
    auto reader = pg_field_reader(body);
    auto fields = pg_error_fields{};
    for (auto type = reader.read_byte(); type != '\0';
         type = reader.read_byte()) {
        const auto text = reader.read_text();
        switch (type) {
        case 'S':
            fields.severity = text;
            break;
        case 'C':
            fields.code = text;
            break;
        case 'M':
            fields.message = text;
            break;
        case 'D':
            fields.detail = text;
            break;
        default:
            break;
        }
    }
    return fields;
}

auto decode_answer(std::string_view answer) -> decoded_answer
{
    auto reader = pg_frame_reader(answer.size() + length_bytes, false);
    reader.feed(answer);
    auto decoded = decoded_answer{};
    while (const auto frame = reader.next()) {
        switch (frame->type) {
        case pg::row_description:
            decoded.columns = parse_row_description(frame->body);
            break;
        case pg::data_row: {
            auto fields = pg_field_reader(frame->body);
            auto& row = decoded.rows.emplace_back();
            const auto count = fields.read_count();
            for (auto index = std::size_t{0}; index < count; ++index) {
                row.push_back(fields.read_value());
            }
            fields.expect_end();
            break;
        }
        case pg::command_complete:
            decoded.tags.push_back(parse_query(frame->body));
            break;
        case pg::error_response:
            decoded.error = parse_error(frame->body);
            break;
        default:
            break;
        }
    }
    if (reader.buffered_bytes() != 0) {
        throw protocol_error("answer ends within a message");
    }
    return decoded;
}

} // namespace rhubarbrun::inline v1
