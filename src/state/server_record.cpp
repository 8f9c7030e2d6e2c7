#include <rhubarbrun/state/server_record.hpp>

#include <string_view>

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

} // namespace

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
