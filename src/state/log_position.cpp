#include <rhubarbrun/state/log_position.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto low_half_bits = 32U;
constexpr auto hexadecimal = 16;

auto parse_half(std::string_view text) -> std::optional<std::uint32_t>
{
    auto value = std::uint32_t{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, hexadecimal);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto parse_log_offset(std::string_view text) -> std::optional<log_offset>
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, slash));
    const auto low = parse_half(text.substr(slash + 1));
    if (!high || !low) {
        return std::nullopt;
    }
    return log_offset((std::uint64_t{*high} << low_half_bits) | *low);
}

auto to_string(log_offset offset) -> std::string
{
    constexpr auto longest_text = std::size_t{18};
    auto buffer = std::array<char, longest_text>{};
    const auto high =
        static_cast<std::uint32_t>(offset.value() >> low_half_bits);
    const auto low = static_cast<std::uint32_t>(offset.value());
    const auto length =
        std::snprintf(buffer.data(), buffer.size(), "%X/%X", high, low);
    return {buffer.data(), static_cast<std::size_t>(length)};
}

} // namespace rhubarbrun::inline v1
