#ifndef RHUBARBRUN_PROTOCOL_PG_WRITER_HPP
#define RHUBARBRUN_PROTOCOL_PG_WRITER_HPP

#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/protocol/pg_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Appends encoded backend messages to a string.
class pg_writer
{
public:
    explicit pg_writer(std::string& out) noexcept : out_(&out) {}

    auto authentication_ok() -> void;
    auto backend_key_data(const backend_key& key) -> void;
    auto parameter_status(std::string_view name, std::string_view value)
        -> void;
    auto ready_for_query(transaction_status status) -> void;
    auto row_description(const std::vector<column_description>& columns)
        -> void;
    auto data_row(const row_values& values) -> void;
    auto command_complete(std::string_view tag) -> void;
    /// A message without a body, such as ParseComplete or NoData.
    auto empty(char type) -> void;
    auto parameter_description(const std::vector<std::uint32_t>& types) -> void;

    /// ErrorResponse with the given severity (`ERROR` or `FATAL`); `detail`
    /// is left out if empty.
    auto error(std::string_view severity, std::string_view code,
               std::string_view message, std::string_view detail = {}) -> void;

    /// ErrorResponse or NoticeResponse from fields as libpq reports them.
    auto fields(char type,
                const std::vector<std::pair<char, std::string>>& fields)
        -> void;

    /// Any message with a body that is already encoded.
    auto raw(char type, std::string_view body) -> void;

    /// Parts of a message, between `begin` and `end`.
    auto begin(char type) -> void;
    auto put_byte(char value) -> void;
    auto put_int16(std::int16_t value) -> void;
    auto put_uint32(std::uint32_t value) -> void;
    auto put_text(std::string_view value) -> void;
    auto put_bytes(std::string_view value) -> void;
    /// A 32-bit length and the bytes, or -1 for NULL.
    auto put_value(const column_value& value) -> void;
    auto end() -> void;

private:
    std::string* out_;
    std::size_t start_ = 0;
};

/// Encodes `error` as the caller sees it: SQLSTATE by verdict, and the retry
/// hint as `retry_after_ms=N` in DETAIL.
///
/// An error whose verdict is `not_run` carries 57P03 or 53300 and one whose
/// verdict is `may_have_run` carries 08007, whatever its own code is, because
/// callers decide by these codes whether to send the request again. A code
/// that says that the request can never run as it is (0A000, 22023, 3D000,
/// 08P01, 54000, 57014) is kept.
[[nodiscard]] auto code_for_caller(const request_error& error)
    -> std::string_view;
auto write_request_error(pg_writer& out, const request_error& error) -> void;

} // namespace rhubarbrun::inline v1

#endif
