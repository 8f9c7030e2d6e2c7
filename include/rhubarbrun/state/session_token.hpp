#ifndef RHUBARBRUN_STATE_SESSION_TOKEN_HPP
#define RHUBARBRUN_STATE_SESSION_TOKEN_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rhubarbrun::inline v1 {

/// The positions that a session's reads must have seen, by group.
class session_token
{
public:
    /// Limits on the text form, which comes from callers.
    static constexpr std::size_t longest_text = 4096;
    static constexpr std::size_t most_groups = 64;
    static constexpr std::size_t longest_group = 63;

    /// Raises the floor of `group` to `position`; never lowers it.
    auto raise(const group_id& group, log_position position) -> void;

    [[nodiscard]] auto floor(const group_id& group) const
        -> std::optional<log_position>;

    [[nodiscard]] auto floors() const noexcept
        -> const std::map<group_id, log_position>&
    {
        return floors_;
    }

    friend auto operator==(const session_token&, const session_token&)
        -> bool = default;

private:
    std::map<group_id, log_position> floors_;
};

/// Why a token could not be parsed.
struct session_token_error
{
    /// Byte in the text, from 0.
    std::size_t offset = 0;
    std::string message;
};

/// Parses `group:term:offset` items separated by commas, such as
/// `orders:3:16/B374D848`. The empty text is the empty token. Accepts only
/// what `to_string` prints, with items in any order.
[[nodiscard]] auto parse_session_token(std::string_view text)
    -> std::variant<session_token, session_token_error>;

/// Prints `token`, sorted by group.
[[nodiscard]] auto to_string(const session_token& token) -> std::string;

} // namespace rhubarbrun::inline v1

#endif
