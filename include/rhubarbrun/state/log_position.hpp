#ifndef RHUBARBRUN_STATE_LOG_POSITION_HPP
#define RHUBARBRUN_STATE_LOG_POSITION_HPP

#include <rhubarbrun/state/ids.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Byte position in a database server's write-ahead log.
using log_offset = strong_id<struct log_offset_tag, std::uint64_t>;

/// Position in the history of a database group; a higher term is later.
///
/// To check a server against a floor use `satisfies`: a replica may follow a
/// later term and still be behind an offset of an earlier one.
struct log_position
{
    term group_term;
    log_offset offset;

    friend auto operator<=>(const log_position&, const log_position&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(group_term, offset);
    }
};

/// Whether a server that follows the history of `reached.group_term` and has
/// replayed `reached.offset` holds every acknowledged write up to `floor`.
///
/// A new primary holds all acknowledged writes of earlier terms at their old
/// offsets, so both the term and the offset must have been reached.
[[nodiscard]] constexpr auto satisfies(const log_position& reached,
                                       const log_position& floor) noexcept
    -> bool
{
    return reached.group_term >= floor.group_term &&
           reached.offset >= floor.offset;
}

/// The lowest position that satisfies both floors.
[[nodiscard]] constexpr auto join(const log_position& left,
                                  const log_position& right) noexcept
    -> log_position
{
    return {std::max(left.group_term, right.group_term),
            std::max(left.offset, right.offset)};
}

/// Parses PostgreSQL's text form of a position, such as `16/B374D848`.
///
/// Returns no value if the text is not two hexadecimal numbers of at most 32
/// bits with a slash between them.
[[nodiscard]] auto parse_log_offset(std::string_view text)
    -> std::optional<log_offset>;

/// Prints `offset` in PostgreSQL's text form.
[[nodiscard]] auto to_string(log_offset offset) -> std::string;

} // namespace rhubarbrun::inline v1

#endif
