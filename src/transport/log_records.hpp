#ifndef RHUBARBRUN_SRC_TRANSPORT_LOG_RECORDS_HPP
#define RHUBARBRUN_SRC_TRANSPORT_LOG_RECORDS_HPP

#include <rhubarbrun/state/consensus_log.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::detail {

/// Bytes before the payload of a record: magic number, payload length,
/// sequence number, payload checksum and header checksum, little-endian.
inline constexpr std::size_t record_header_bytes = 24;

/// A record as it was found in a file.
struct framed_record
{
    std::uint64_t sequence = 0;
    std::string_view payload;
    /// Header and payload.
    std::size_t size = 0;
};

/// Puts a header before `payload`.
[[nodiscard]] auto frame_record(std::uint64_t sequence,
                                std::string_view payload) -> std::string;

/// The record at the start of `bytes`; no value if it is incomplete, damaged
/// or longer than `limit` bytes of payload.
[[nodiscard]] auto read_record(std::string_view bytes, std::size_t limit)
    -> std::optional<framed_record>;

/// Whether any intact record starts within `bytes` after its first byte.
[[nodiscard]] auto has_later_record(std::string_view bytes, std::size_t limit)
    -> bool;

/// Payload of a record in a segment.
struct log_record
{
    std::optional<hard_state> state;
    /// Set if all earlier entries are void because a snapshot up to this index
    /// was restored.
    std::optional<log_index> restored;
    /// Last index of the log before this record, which shows missing records.
    log_index previous;
    std::vector<log_entry> entries;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(state, restored, previous, entries);
    }
};

/// Payload of the member file.
struct member_record
{
    /// Version of the file layout.
    std::uint32_t version = 1;
    member_identity identity;
    /// Number of the last segment; 0 before the first one exists.
    std::uint64_t last_segment = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(version, identity, last_segment);
    }
};

template <class Value>
[[nodiscard]] auto encode(const Value& value) -> std::string
{
    auto out = std::ostringstream{};
    auto archive = cereal::PortableBinaryOutputArchive(out);
    archive(value);
    return std::move(out).str();
}

/// Throws `cereal::Exception` if `bytes` do not hold a value.
template <class Value>
[[nodiscard]] auto decode(std::string_view bytes) -> Value
{
    auto in = std::istringstream(std::string(bytes));
    auto archive = cereal::PortableBinaryInputArchive(in);
    auto value = Value{};
    archive(value);
    return value;
}

} // namespace rhubarbrun::detail

#endif
