#ifndef RHUBARBRUN_PROTOCOL_LINK_HANDSHAKE_HPP
#define RHUBARBRUN_PROTOCOL_LINK_HANDSHAKE_HPP

#include <rhubarbrun/protocol/datagram_seal.hpp>
#include <rhubarbrun/protocol/frame.hpp>
#include <rhubarbrun/protocol/peer_identity.hpp>
#include <rhubarbrun/protocol/secret_key.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Versions of the internal protocol that a process speaks, both included.
struct version_range
{
    std::uint8_t lowest = 1;
    std::uint8_t highest = 1;
};

/// Versions that this build speaks. Version 2 adds `forward_cancel`, the
/// agreement to close an idle link, and the count of live proxies in
/// `lease_answer`. Version 3 adds positions by interest,
/// and changes of servers and configuration that are as small as they can be.
/// Version 4 adds the allowances of organisations.
inline constexpr auto supported_versions = version_range{1, 4};

/// Whether a peer that speaks `version` knows messages of this type. One that
/// does not closes the link.
[[nodiscard]] constexpr auto is_in_version(message_type type,
                                           std::uint8_t version) noexcept
    -> bool
{
    switch (type) {
    case message_type::close_request:
    case message_type::close_accept:
    case message_type::close_revoke:
    case message_type::forward_cancel:
        return version >= 2;
    case message_type::view_subscription:
    case message_type::position_request:
    case message_type::position_update:
    case message_type::server_changes:
    case message_type::configuration_delta:
        return version >= 3;
    case message_type::allowance_report:
    case message_type::allowance_grant:
    case message_type::allowance_reports:
    case message_type::allowance_grants:
        return version >= 4;
    default:
        return true;
    }
}

/// Which end of a link this is.
enum class link_side : std::uint8_t
{
    initiator,
    acceptor,
};

/// Why a handshake failed; the link must be closed.
enum class handshake_fault : std::uint8_t
{
    none,
    /// The hello is not authentic: another deployment key, or not this
    /// protocol.
    not_authentic,
    malformed,
    /// The version ranges have nothing in common.
    no_common_version,
    /// The peer sent this end's own nonce back.
    reflected,
    /// The peer could not prove that it derived the session key, as when a
    /// recorded link is replayed.
    not_confirmed,
};

/// Name of a fault for logs.
[[nodiscard]] auto to_string(handshake_fault fault) noexcept
    -> std::string_view;

/// What both ends share once the handshake is complete.
struct established_link
{
    peer_identity peer;
    std::uint8_t version;
    frame_writer writer;
    /// Holds the bytes that arrived after the handshake.
    frame_reader reader;
    datagram_keys datagrams;
};

/// Sets up the session key of one link; performs no I/O.
///
/// Both ends send a hello (nonce, identity, version range) under keys derived
/// from the deployment key, derive the session key from the deployment key and
/// both hellos, and confirm it with the first frame under that key.
class link_handshake
{
public:
    /// @param nonce 32 bytes that were never used before
    link_handshake(link_side side, const secret_key& deployment_key,
                   peer_identity self, std::string nonce,
                   version_range versions = supported_versions);

    /// The hello, to be sent first.
    [[nodiscard]] auto hello() const -> const std::string& { return hello_; }

    /// Takes received bytes and returns the bytes to send, which may be none.
    [[nodiscard]] auto receive(std::string_view bytes) -> std::string;

    [[nodiscard]] auto fault() const noexcept -> handshake_fault
    {
        return fault_;
    }

    /// Whether the peer has confirmed the session key.
    [[nodiscard]] auto is_complete() const noexcept -> bool
    {
        return is_confirmed_;
    }

    /// The link; call once, after `is_complete()`.
    [[nodiscard]] auto take() -> established_link;

private:
    auto receive_hello(const frame& received) -> std::string;
    auto receive_confirm() -> void;

    link_side side_;
    secret_key deployment_key_;
    std::string nonce_;
    version_range versions_;
    std::string own_payload_;
    std::string hello_;
    frame_reader hello_reader_;
    std::optional<established_link> link_;
    bool is_confirmed_ = false;
    handshake_fault fault_ = handshake_fault::none;
};

} // namespace rhubarbrun::inline v1

#endif
