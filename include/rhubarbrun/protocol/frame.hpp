#ifndef RHUBARBRUN_PROTOCOL_FRAME_HPP
#define RHUBARBRUN_PROTOCOL_FRAME_HPP

#include <rhubarbrun/protocol/secret_key.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Kind of a message between rhubarbrun processes; values are on the wire and
/// are never reused.
enum class message_type : std::uint8_t
{
    hello = 1,
    hello_confirm = 2,
    heartbeat = 3,
    /// The sender wants to close the link because it is idle. Since version 2.
    close_request = 4,
    /// The sender of this uses the link no more; the other end closes it.
    close_accept = 5,
    /// The sender of `close_request` uses the link again.
    close_revoke = 6,
    consensus = 16,
    register_proxy = 32,
    registered = 33,
    renew_lease = 34,
    lease_grant = 35,
    directory_pull = 36,
    directory_delta = 37,
    target_report = 38,
    propose_primary = 39,
    release_target = 40,
    drain_proxy = 41,
    command_answer = 42,
    redirect = 43,
    forward_request = 48,
    forward_answer = 49,
    confirm_target = 64,
    confirm_target_answer = 65,
    execute = 80,
    execute_reply = 81,
    cancel = 82,
    position_query = 83,
    position_answer = 84,
    /// Since version 2.
    forward_cancel = 85,
    /// Views of servers and configuration; see view_messages.hpp.
    server_announcements = 96,
    view_request = 97,
    view_update = 98,
    sighting_report = 99,
    proxy_census = 100,
    freshness_question = 101,
    freshness_answer = 102,
    /// Since version 3.
    view_subscription = 103,
    position_request = 104,
    position_update = 105,
    server_changes = 106,
    configuration_delta = 107,
    /// Since version 4.
    allowance_report = 108,
    allowance_grant = 109,
    allowance_reports = 110,
    allowance_grants = 111,
};

/// One authenticated message.
struct frame
{
    std::uint8_t version = 0;
    message_type type = message_type::heartbeat;
    std::uint64_t sequence = 0;
    std::string payload;
};

/// Why a frame was refused; the link that carried it must be closed.
enum class frame_fault : std::uint8_t
{
    none,
    /// The length field is below the minimum or above the limit.
    bad_length,
    wrong_version,
    /// The HMAC does not match: wrong key, or the bytes were changed.
    not_authentic,
    /// Not the next sequence number: a lost, repeated or reordered frame.
    wrong_sequence,
};

/// Name of a fault for logs.
[[nodiscard]] auto to_string(frame_fault fault) noexcept -> std::string_view;

namespace frame_layout {
/// Length of the length field, which counts the bytes that follow it.
inline constexpr std::size_t length_size = 4;
/// Version (1), type (1) and sequence (8).
inline constexpr std::size_t header_size = 10;
/// HMAC-SHA256 of everything before it, the length field included.
inline constexpr std::size_t mac_size = 32;
/// Largest payload on an established link: 16 MiB, enough for a snapshot of
/// the directory at the design size.
inline constexpr std::size_t max_payload = std::size_t{16} * 1024 * 1024;
/// Largest payload before the peer is authenticated.
inline constexpr std::size_t max_hello_payload = 1024;
} // namespace frame_layout

/// Encodes the frames of one direction of a link; numbers them from 1.
class frame_writer
{
public:
    frame_writer(secret_key key, std::uint8_t version);

    /// Bytes of the next frame.
    /// @throws std::length_error if `payload` exceeds
    /// `frame_layout::max_payload`.
    [[nodiscard]] auto write(message_type type, std::string_view payload)
        -> std::string;

private:
    secret_key key_;
    std::uint8_t version_;
    std::uint64_t sequence_ = 0;
};

/// Decodes the frames of one direction of a link.
///
/// The length is checked before a buffer for the payload grows. After the
/// first fault the reader returns no further frame.
class frame_reader
{
public:
    frame_reader(secret_key key, std::uint8_t version,
                 std::size_t max_payload = frame_layout::max_payload);

    /// Adds received bytes.
    auto append(std::string_view bytes) -> void;

    /// The next complete frame, or no value if more bytes are needed or
    /// `fault()` is set.
    [[nodiscard]] auto next() -> std::optional<frame>;

    [[nodiscard]] auto fault() const noexcept -> frame_fault { return fault_; }

    /// Bytes that are held for frames that were not taken.
    [[nodiscard]] auto held_bytes() const noexcept -> std::size_t
    {
        return buffer_.size();
    }

    /// Changes the limit for the frames that were not decoded yet.
    auto set_max_payload(std::size_t max_payload) noexcept -> void
    {
        max_payload_ = max_payload;
    }

    /// Takes the bytes that were appended but not decoded.
    [[nodiscard]] auto take_rest() -> std::string;

private:
    [[nodiscard]] auto fail(frame_fault fault) -> std::optional<frame>;

    secret_key key_;
    std::uint8_t version_;
    std::size_t max_payload_;
    std::uint64_t expected_ = 1;
    std::string buffer_;
    std::size_t read_ = 0;
    frame_fault fault_ = frame_fault::none;
};

} // namespace rhubarbrun::inline v1

#endif
