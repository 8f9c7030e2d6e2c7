#include <rhubarbrun/protocol/link_handshake.hpp>

#include <rhubarbrun/protocol/strict_archive.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace rhubarbrun::detail {

/// Payload of the first frame of each end.
struct hello_message
{
    std::string nonce;
    peer_identity sender;
    std::uint8_t lowest = 0;
    std::uint8_t highest = 0;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(nonce, sender, lowest, highest);
    }
};

constexpr auto nonce_size = std::size_t{32};
constexpr auto longest_name = std::size_t{64};

auto is_well_formed(const hello_message& hello) noexcept -> bool
{
    const auto& name = hello.sender.who.name;
    const auto role = hello.sender.who.role;
    return hello.nonce.size() == nonce_size && !name.empty() &&
           name.size() <= longest_name &&
           (role == peer_role::control || role == peer_role::proxy) &&
           hello.lowest >= 1 && hello.lowest <= hello.highest;
}

} // namespace rhubarbrun::detail

namespace rhubarbrun::inline v1 {

namespace {

/// Version of the hello frame itself, which is the same in every version of
/// the protocol.
constexpr auto hello_version = std::uint8_t{0};

auto hello_key(const secret_key& deployment_key, link_side sender) -> secret_key
{
    return deployment_key.derive(sender == link_side::initiator
                                     ? "hello from initiator"
                                     : "hello from acceptor");
}

auto other(link_side side) -> link_side
{
    return side == link_side::initiator ? link_side::acceptor
                                        : link_side::initiator;
}

auto frame_key(const secret_key& session, link_side sender) -> secret_key
{
    return session.derive(sender == link_side::initiator
                              ? "frames from initiator"
                              : "frames from acceptor");
}

auto datagram_key(const secret_key& session, link_side sender) -> secret_key
{
    return session.derive(sender == link_side::initiator
                              ? "datagrams from initiator"
                              : "datagrams from acceptor");
}

auto channel_of(const secret_key& session) -> std::uint64_t
{
    const auto mac = session.authenticate("datagram channel");
    auto channel = std::uint64_t{0};
    std::memcpy(&channel, mac.data(), sizeof(channel));
    return channel;
}

} // namespace

auto to_string(handshake_fault fault) noexcept -> std::string_view
{
    switch (fault) {
    case handshake_fault::none:
        return "none";
    case handshake_fault::not_authentic:
        return "not_authentic";
    case handshake_fault::malformed:
        return "malformed";
    case handshake_fault::no_common_version:
        return "no_common_version";
    case handshake_fault::reflected:
        return "reflected";
    case handshake_fault::not_confirmed:
        return "not_confirmed";
    }
    return "unknown";
}

link_handshake::link_handshake(link_side side, const secret_key& deployment_key,
                               peer_identity self, std::string nonce,
                               version_range versions)
    : side_(side),
      deployment_key_(deployment_key),
      nonce_(std::move(nonce)),
      versions_(versions),
      own_payload_(encode(detail::hello_message{
          nonce_, std::move(self), versions.lowest, versions.highest})),
      hello_reader_(hello_key(deployment_key, other(side)), hello_version,
                    frame_layout::max_hello_payload)
{
    if (nonce_.size() != detail::nonce_size) {
        throw std::invalid_argument("a nonce has 32 bytes");
    }
    hello_ = frame_writer(hello_key(deployment_key, side), hello_version)
                 .write(message_type::hello, own_payload_);
}

auto link_handshake::receive(std::string_view bytes) -> std::string
{
    if (fault_ != handshake_fault::none) {
        return {};
    }
    auto answer = std::string();
    if (link_) {
        link_->reader.append(bytes);
    } else {
        hello_reader_.append(bytes);
        const auto received = hello_reader_.next();
        if (received) {
            answer = receive_hello(*received);
        } else if (hello_reader_.fault() != frame_fault::none) {
            fault_ = handshake_fault::not_authentic;
        }
    }
    if (link_ && !is_confirmed_) {
        receive_confirm();
    }
    return answer;
}

auto link_handshake::receive_hello(const frame& received) -> std::string
{
    auto hello = decode<detail::hello_message>(received.payload);
    if (received.type != message_type::hello || !hello) {
        fault_ = handshake_fault::malformed;
        return {};
    }
    if (hello->nonce == nonce_) {
        fault_ = handshake_fault::reflected;
        return {};
    }
    const auto version = std::min(versions_.highest, hello->highest);
    if (version < std::max(versions_.lowest, hello->lowest)) {
        fault_ = handshake_fault::no_common_version;
        return {};
    }
    const auto is_initiator = side_ == link_side::initiator;
    const auto transcript =
        encode(is_initiator ? std::pair(own_payload_, received.payload)
                            : std::pair(received.payload, own_payload_));
    const auto session = deployment_key_.derive("link session", transcript);
    link_ = established_link{
        std::move(hello->sender), version,
        frame_writer(frame_key(session, side_), version),
        frame_reader(frame_key(session, other(side_)), version,
                     frame_layout::max_hello_payload),
        datagram_keys{channel_of(session), datagram_key(session, side_),
                      datagram_key(session, other(side_))}};
    link_->reader.append(hello_reader_.take_rest());
    return link_->writer.write(message_type::hello_confirm, {});
}

auto link_handshake::receive_confirm() -> void
{
    const auto received = link_->reader.next();
    if (received && received->type == message_type::hello_confirm &&
        received->payload.empty())
    {
        is_confirmed_ = true;
        link_->reader.set_max_payload(frame_layout::max_payload);
    } else if (received || link_->reader.fault() != frame_fault::none) {
        fault_ = handshake_fault::not_confirmed;
    }
}

auto link_handshake::take() -> established_link
{
    if (!is_confirmed_) {
        throw std::logic_error("the handshake is not complete");
    }
    return std::move(*link_);
}

} // namespace rhubarbrun::inline v1
