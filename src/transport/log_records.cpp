#include "log_records.hpp"

#include <boost/crc.hpp>

namespace rhubarbrun::detail {

namespace {

constexpr auto magic = std::uint32_t{0x676f6c72}; // "rlog"
constexpr auto bits_per_byte = 8U;
constexpr auto length_at = std::size_t{4};
constexpr auto sequence_at = std::size_t{8};
constexpr auto payload_checksum_at = std::size_t{16};
constexpr auto header_checksum_at = std::size_t{20};

auto checksum(std::string_view bytes) -> std::uint32_t
{
    auto crc = boost::crc_32_type{};
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

template <class Number>
auto put(std::string& out, Number value) -> void
{
    for (auto byte = 0U; byte < sizeof(Number); ++byte) {
        out += static_cast<char>((value >> (byte * bits_per_byte)) & 0xffU);
    }
}

template <class Number>
auto get(std::string_view bytes, std::size_t at) -> Number
{
    auto value = Number{0};
    for (auto byte = 0U; byte < sizeof(Number); ++byte) {
        const auto digit = static_cast<unsigned char>(bytes[at + byte]);
        value |= static_cast<Number>(Number{digit} << (byte * bits_per_byte));
    }
    return value;
}

} // namespace

auto frame_record(std::uint64_t sequence, std::string_view payload)
    -> std::string
{
    auto record = std::string{};
    record.reserve(record_header_bytes + payload.size());
    put(record, magic);
    put(record, static_cast<std::uint32_t>(payload.size()));
    put(record, sequence);
    put(record, checksum(payload));
    put(record, checksum(record));
    record += payload;
    return record;
}

auto read_record(std::string_view bytes, std::size_t limit)
    -> std::optional<framed_record>
{
    if (bytes.size() < record_header_bytes ||
        get<std::uint32_t>(bytes, 0) != magic ||
        get<std::uint32_t>(bytes, header_checksum_at) !=
            checksum(bytes.substr(0, header_checksum_at)))
    {
        return std::nullopt;
    }
    const auto length = std::size_t{get<std::uint32_t>(bytes, length_at)};
    if (length > limit || length > bytes.size() - record_header_bytes) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(record_header_bytes, length);
    if (get<std::uint32_t>(bytes, payload_checksum_at) != checksum(payload)) {
        return std::nullopt;
    }
    return framed_record{get<std::uint64_t>(bytes, sequence_at), payload,
                         record_header_bytes + length};
}

auto has_later_record(std::string_view bytes, std::size_t limit) -> bool
{
    auto start = std::string{};
    put(start, magic);
    for (auto at = bytes.find(start, 1); at != std::string_view::npos;
         at = bytes.find(start, at + 1))
    {
        if (read_record(bytes.substr(at), limit)) {
            return true;
        }
    }
    return false;
}

} // namespace rhubarbrun::detail
