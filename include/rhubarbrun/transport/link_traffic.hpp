#ifndef RHUBARBRUN_TRANSPORT_LINK_TRAFFIC_HPP
#define RHUBARBRUN_TRANSPORT_LINK_TRAFFIC_HPP

#include <rhubarbrun/protocol/frame.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Name for metrics, such as "view_update"; the number of an unknown type.
[[nodiscard]] auto to_string(message_type type) -> std::string;

/// Messages and bytes of payload over all links of a process, by type.
/// Functions may be called from any thread.
class link_traffic
{
public:
    auto note_sent(message_type type, std::size_t bytes) noexcept -> void
    {
        note(sent_, type, bytes);
    }
    auto note_received(message_type type, std::size_t bytes) noexcept -> void
    {
        note(received_, type, bytes);
    }

    /// Lines of metrics, with the prefix before each name.
    [[nodiscard]] auto print(std::string_view prefix) const -> std::string;

private:
    struct counter
    {
        std::atomic<std::uint64_t> messages = 0;
        std::atomic<std::uint64_t> bytes = 0;
    };
    using counters =
        std::array<counter, std::numeric_limits<std::uint8_t>::max() + 1>;

    static auto note(counters& all, message_type type,
                     std::size_t bytes) noexcept -> void
    {
        auto& each = all[static_cast<std::uint8_t>(type)];
        each.messages.fetch_add(1, std::memory_order_relaxed);
        each.bytes.fetch_add(bytes, std::memory_order_relaxed);
    }

    counters sent_;
    counters received_;
};

} // namespace rhubarbrun::inline v1

#endif
