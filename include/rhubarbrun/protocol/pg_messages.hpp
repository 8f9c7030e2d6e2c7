#ifndef RHUBARBRUN_PROTOCOL_PG_MESSAGES_HPP
#define RHUBARBRUN_PROTOCOL_PG_MESSAGES_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Type bytes of the messages of protocol 3.0, as in "Message Formats" of the
/// PostgreSQL documentation.
namespace pg {

inline constexpr char query = 'Q';
inline constexpr char parse = 'P';
inline constexpr char bind = 'B';
inline constexpr char describe = 'D';
inline constexpr char execute = 'E';
inline constexpr char close = 'C';
inline constexpr char sync = 'S';
inline constexpr char flush = 'H';
inline constexpr char terminate = 'X';
inline constexpr char password = 'p';
inline constexpr char copy_data = 'd';
inline constexpr char copy_done = 'c';
inline constexpr char copy_fail = 'f';
inline constexpr char function_call = 'F';

inline constexpr char authentication = 'R';
inline constexpr char backend_key_data = 'K';
inline constexpr char parameter_status = 'S';
inline constexpr char ready_for_query = 'Z';
inline constexpr char row_description = 'T';
inline constexpr char data_row = 'D';
inline constexpr char command_complete = 'C';
inline constexpr char empty_query = 'I';
inline constexpr char error_response = 'E';
inline constexpr char notice_response = 'N';
inline constexpr char parse_complete = '1';
inline constexpr char bind_complete = '2';
inline constexpr char close_complete = '3';
inline constexpr char no_data = 'n';
inline constexpr char parameter_description = 't';

/// First word of a startup packet.
inline constexpr std::uint32_t version_3_0 = 196608;
inline constexpr std::uint32_t cancel_request = 80877102;
inline constexpr std::uint32_t ssl_request = 80877103;
inline constexpr std::uint32_t gssenc_request = 80877104;

/// Type ids of `text` and `int8`, for rows that the proxy itself produces.
inline constexpr std::uint32_t text_type = 25;
inline constexpr std::uint32_t int8_type = 20;

} // namespace pg

/// A message that breaks protocol 3.0 or exceeds a limit; the connection must
/// be closed, as the start of the next message is not known.
class protocol_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One column of a RowDescription.
struct column_description
{
    std::string name;
    std::uint32_t table = 0;
    std::int16_t column = 0;
    std::uint32_t type = pg::text_type;
    std::int16_t type_size = -1;
    std::int32_t type_modifier = -1;
    /// 0 for text, 1 for binary.
    std::int16_t format = 0;
};

/// A column value; no value stands for NULL.
using column_value = std::optional<std::string>;

/// One row in the order of its columns.
using row_values = std::vector<column_value>;

/// Identifies a session to CancelRequest.
struct backend_key
{
    std::uint32_t process = 0;
    std::uint32_t secret = 0;

    friend auto operator==(const backend_key&, const backend_key&)
        -> bool = default;
};

} // namespace rhubarbrun::inline v1

#endif
