#ifndef RHUBARBRUN_SRC_PROTOCOL_BIG_ENDIAN_HPP
#define RHUBARBRUN_SRC_PROTOCOL_BIG_ENDIAN_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbrun::detail {

/// Appends `value` with its most significant byte first.
template <std::unsigned_integral Number>
auto append_big_endian(std::string& out, Number value) -> void
{
    for (auto left = sizeof(Number); left > 0; --left) {
        out += static_cast<char>((value >> (8 * (left - 1))) & 0xffU);
    }
}

/// Reads the number that starts at `offset`; `bytes` must hold all of it.
template <std::unsigned_integral Number>
[[nodiscard]] auto read_big_endian(std::string_view bytes, std::size_t offset)
    -> Number
{
    auto value = Number{};
    for (auto index = std::size_t{0}; index < sizeof(Number); ++index) {
        const auto byte = static_cast<unsigned char>(bytes[offset + index]);
        value = static_cast<Number>((std::uint64_t{value} << 8U) | byte);
    }
    return value;
}

} // namespace rhubarbrun::detail

#endif
