#ifndef RHUBARBRUN_PROTOCOL_DATAGRAM_SEAL_HPP
#define RHUBARBRUN_PROTOCOL_DATAGRAM_SEAL_HPP

#include <rhubarbrun/protocol/frame.hpp>
#include <rhubarbrun/protocol/replay_window.hpp>
#include <rhubarbrun/protocol/secret_key.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Keys for the datagrams that belong to one established link.
///
/// They exist only as long as the link, so a restarted receiver accepts no
/// datagram that was recorded before.
struct datagram_keys
{
    /// Same number at both ends; tells the receiver which keys to use.
    std::uint64_t channel = 0;
    secret_key send;
    secret_key receive;
};

namespace datagram_layout {
/// Channel (8), type (1) and sequence (8).
inline constexpr std::size_t header_size = 17;
/// Largest datagram, chosen to fit one Ethernet frame without fragments.
inline constexpr std::size_t max_size = 1400;
inline constexpr std::size_t max_payload =
    max_size - header_size - frame_layout::mac_size;
} // namespace datagram_layout

/// Channel number of a received datagram; no value if it is too short or too
/// long to be one.
[[nodiscard]] auto datagram_channel(std::string_view bytes) noexcept
    -> std::optional<std::uint64_t>;

/// Seals and opens the datagrams of one link at one end.
class datagram_seal
{
public:
    explicit datagram_seal(datagram_keys keys);

    /// Bytes of the next datagram.
    /// @throws std::length_error if `payload` exceeds
    /// `datagram_layout::max_payload`.
    [[nodiscard]] auto seal(message_type type, std::string_view payload)
        -> std::string;

    /// The message of an authentic datagram that was not seen before.
    [[nodiscard]] auto open(std::string_view bytes) -> std::optional<frame>;

private:
    datagram_keys keys_;
    std::uint64_t sequence_ = 0;
    replay_window window_;
};

} // namespace rhubarbrun::inline v1

#endif
