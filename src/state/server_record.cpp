#include <rhubarbrun/state/server_record.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string_view>
#include <system_error>

namespace rhubarbrun::inline v1 {

namespace {

/// FNV-1a over texts and numbers.
class routing_hasher
{
public:
    auto add(std::string_view text) noexcept -> void
    {
        add(text.size());
        for (const auto letter : text) {
            add_byte(static_cast<unsigned char>(letter));
        }
    }
    auto add(std::uint64_t number) noexcept -> void
    {
        for (auto byte = 0U; byte < sizeof number; ++byte) {
            add_byte(static_cast<unsigned char>(number >> (8U * byte)));
        }
    }
    [[nodiscard]] auto value() const noexcept { return value_; }

private:
    auto add_byte(unsigned char byte) noexcept -> void
    {
        value_ ^= byte;
        value_ *= 0x100000001b3U;
    }

    std::uint64_t value_ = 0xcbf29ce484222325U;
};

/// Reads a number of at most `digits` digits up to `largest` from the front.
auto take_number(std::string_view& text, std::size_t digits, unsigned largest)
    -> bool
{
    auto number = 0U;
    const auto length =
        std::min(text.find_first_not_of("0123456789"), text.size());
    const auto* const end = text.data() + length;
    const auto result = std::from_chars(text.data(), end, number);
    if (length == 0 || length > digits || result.ec != std::errc() ||
        result.ptr != end || number > largest)
    {
        return false;
    }
    text.remove_prefix(length);
    return true;
}

auto take_letter(std::string_view& text, char letter) -> bool
{
    if (!text.starts_with(letter)) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

auto is_endpoint(std::string_view text) -> bool
{
    constexpr auto parts = 4;
    constexpr auto largest_part = 255U;
    constexpr auto largest_port = 65535U;
    for (auto part = 0; part < parts; ++part) {
        if ((part > 0 && !take_letter(text, '.')) ||
            !take_number(text, 3, largest_part))
        {
            return false;
        }
    }
    return take_letter(text, ':') && !text.starts_with('0') &&
           take_number(text, 5, largest_port) && text.empty();
}

/// Whether the text has no blanks and no control characters.
auto is_word(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte > ' ' && byte != 0x7f;
    });
}

} // namespace

auto server_record::is_usable() const noexcept -> bool
{
    return !id.is_empty() && is_word(id.value()) && is_word(group.value()) &&
           is_endpoint(address);
}

auto server_record::routing_hash() const noexcept -> std::uint64_t
{
    auto hasher = routing_hasher();
    hasher.add(id.value());
    hasher.add(group.value());
    hasher.add(address);
    hasher.add(zone.value());
    hasher.add(static_cast<std::uint64_t>(role));
    hasher.add(static_cast<std::uint64_t>(state));
    hasher.add(slots);
    hasher.add(started_at);
    return hasher.value();
}

} // namespace rhubarbrun::inline v1
