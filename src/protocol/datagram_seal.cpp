#include <rhubarbrun/protocol/datagram_seal.hpp>

#include "big_endian.hpp"

#include <stdexcept>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

using namespace datagram_layout;
using frame_layout::mac_size;

} // namespace

auto datagram_channel(std::string_view bytes) noexcept
    -> std::optional<std::uint64_t>
{
    if (bytes.size() < header_size + mac_size || bytes.size() > max_size) {
        return std::nullopt;
    }
    return detail::read_big_endian<std::uint64_t>(bytes, 0);
}

datagram_seal::datagram_seal(datagram_keys keys) : keys_(keys) {}

auto datagram_seal::seal(message_type type, std::string_view payload)
    -> std::string
{
    if (payload.size() > datagram_layout::max_payload) {
        throw std::length_error("the payload is larger than a datagram may be");
    }
    auto bytes = std::string();
    bytes.reserve(header_size + payload.size() + mac_size);
    detail::append_big_endian(bytes, keys_.channel);
    bytes += static_cast<char>(type);
    detail::append_big_endian(bytes, ++sequence_);
    bytes += payload;
    const auto mac = keys_.send.authenticate(bytes);
    bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    return bytes;
}

auto datagram_seal::open(std::string_view bytes) -> std::optional<frame>
{
    if (datagram_channel(bytes) != keys_.channel) {
        return std::nullopt;
    }
    const auto signed_part = bytes.substr(0, bytes.size() - mac_size);
    if (!keys_.receive.is_authentic(signed_part,
                                    bytes.substr(signed_part.size()))) {
        return std::nullopt;
    }
    auto result = frame{};
    result.type = static_cast<message_type>(bytes[8]);
    result.sequence = detail::read_big_endian<std::uint64_t>(bytes, 9);
    if (!window_.accept(result.sequence)) {
        return std::nullopt;
    }
    result.payload = signed_part.substr(header_size);
    return result;
}

} // namespace rhubarbrun::inline v1
