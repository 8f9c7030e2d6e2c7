#ifndef RHUBARBRUN_PROTOCOL_PG_READER_HPP
#define RHUBARBRUN_PROTOCOL_PG_READER_HPP

#include <rhubarbrun/protocol/pg_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// One message; `type` is 0 for a startup packet.
struct pg_frame
{
    char type = 0;
    /// Without type byte and length.
    std::string body;
};

/// Cuts a byte stream into messages.
///
/// Memory is bounded by the largest accepted message plus one fed chunk; a
/// length is checked before the body arrives.
class pg_frame_reader
{
public:
    /// Largest startup packet that PostgreSQL accepts, in bytes.
    static constexpr std::size_t max_startup_bytes = 10000;

    /// @param max_frame_bytes largest message, without its type byte
    /// @param starts_with_startup whether untyped packets come first, as from
    ///     a client; `end_startup` switches to typed messages
    pg_frame_reader(std::size_t max_frame_bytes, bool starts_with_startup);

    auto feed(std::string_view bytes) -> void;

    /// The next whole message, if there is one.
    ///
    /// @throws protocol_error on a length that is not valid or too large
    [[nodiscard]] auto next() -> std::optional<pg_frame>;

    auto end_startup() noexcept -> void { expects_startup_ = false; }

    /// Bytes that are buffered and not yet returned by `next`.
    [[nodiscard]] auto buffered_bytes() const noexcept -> std::size_t
    {
        return buffer_.size() - offset_;
    }

private:
    std::size_t max_frame_bytes_;
    bool expects_startup_;
    std::string buffer_;
    std::size_t offset_ = 0;
};

/// Reads the fields of one message body in order.
///
/// Every function throws `protocol_error` if the body is too short.
class pg_field_reader
{
public:
    explicit pg_field_reader(std::string_view body) noexcept : rest_(body) {}

    [[nodiscard]] auto read_byte() -> char;
    [[nodiscard]] auto read_int16() -> std::int16_t;
    [[nodiscard]] auto read_int32() -> std::int32_t;
    [[nodiscard]] auto read_uint32() -> std::uint32_t;
    /// Text up to a zero byte.
    [[nodiscard]] auto read_text() -> std::string_view;
    [[nodiscard]] auto read_bytes(std::size_t count) -> std::string_view;
    /// A length of 32 bits and that many bytes; -1 stands for NULL.
    [[nodiscard]] auto read_value() -> column_value;
    /// A count of 16 bits that is not negative.
    [[nodiscard]] auto read_count() -> std::size_t;

    [[nodiscard]] auto is_at_end() const noexcept -> bool
    {
        return rest_.empty();
    }

    /// Throws `protocol_error` if bytes are left.
    auto expect_end() const -> void;

private:
    std::string_view rest_;
};

struct bind_message
{
    std::string portal;
    std::string statement;
    std::vector<std::int16_t> parameter_formats;
    std::vector<column_value> parameters;
    std::vector<std::int16_t> result_formats;
};

struct parse_message
{
    std::string statement;
    std::string text;
    std::vector<std::uint32_t> parameter_types;
};

/// Describe and Close: `kind` is 'S' for a statement, 'P' for a portal.
struct object_message
{
    char kind = 'S';
    std::string name;
};

struct execute_message
{
    std::string portal;
    std::int32_t row_limit = 0;
};

/// Name and value pairs of a startup packet, in their order.
using startup_parameters = std::vector<std::pair<std::string, std::string>>;

/// The parsers throw `protocol_error` on a malformed body.
[[nodiscard]] auto parse_startup(std::string_view body) -> startup_parameters;
[[nodiscard]] auto parse_parse(std::string_view body) -> parse_message;
[[nodiscard]] auto parse_bind(std::string_view body) -> bind_message;
[[nodiscard]] auto parse_object(std::string_view body) -> object_message;
[[nodiscard]] auto parse_execute(std::string_view body) -> execute_message;
[[nodiscard]] auto parse_query(std::string_view body) -> std::string;
[[nodiscard]] auto parse_row_description(std::string_view body)
    -> std::vector<column_description>;

/// Fields of an ErrorResponse or NoticeResponse that decide on handling.
struct pg_error_fields
{
    std::string severity;
    std::string code;
    std::string message;
    std::string detail;
};

[[nodiscard]] auto parse_error(std::string_view body) -> pg_error_fields;

/// An `execute_reply::answer` in decoded form, for the proxy's own queries.
struct decoded_answer
{
    std::vector<column_description> columns;
    std::vector<row_values> rows;
    /// Tags of the commands, in their order.
    std::vector<std::string> tags;
    std::optional<pg_error_fields> error;
};

/// Decodes backend messages without ReadyForQuery.
///
/// @throws protocol_error on malformed bytes
[[nodiscard]] auto decode_answer(std::string_view answer) -> decoded_answer;

} // namespace rhubarbrun::inline v1

#endif
