#include <rhubarbrun/protocol/frame.hpp>

#include "big_endian.hpp"

#include <stdexcept>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

using namespace frame_layout;

constexpr auto least_length = header_size + mac_size;
/// Decoded bytes are dropped from the buffer once they exceed this size, so
/// that small frames do not each move the rest of the buffer.
constexpr auto compaction_size = std::size_t{64} * 1024;

auto as_text(const mac_bytes& mac) -> std::string_view
{
    return {reinterpret_cast<const char*>(mac.data()), mac.size()};
}

} // namespace

auto to_string(frame_fault fault) noexcept -> std::string_view
{
    switch (fault) {
    case frame_fault::none:
        return "none";
    case frame_fault::bad_length:
        return "bad_length";
    case frame_fault::wrong_version:
        return "wrong_version";
    case frame_fault::not_authentic:
        return "not_authentic";
    case frame_fault::wrong_sequence:
        return "wrong_sequence";
    }
    return "unknown";
}

frame_writer::frame_writer(secret_key key, std::uint8_t version)
    : key_(key), version_(version)
{
}

auto frame_writer::write(message_type type, std::string_view payload)
    -> std::string
{
    if (payload.size() > max_payload) {
        throw std::length_error("the payload is larger than a frame may be");
    }
    auto bytes = std::string();
    bytes.reserve(length_size + least_length + payload.size());
    detail::append_big_endian(
        bytes, static_cast<std::uint32_t>(least_length + payload.size()));
    bytes += static_cast<char>(version_);
    bytes += static_cast<char>(type);
    detail::append_big_endian(bytes, ++sequence_);
    bytes += payload;
    bytes += as_text(key_.authenticate(bytes));
    return bytes;
}

frame_reader::frame_reader(secret_key key, std::uint8_t version,
                           std::size_t max_payload)
    : key_(key), version_(version), max_payload_(max_payload)
{
}

auto frame_reader::append(std::string_view bytes) -> void
{
    if (fault_ == frame_fault::none) {
        buffer_ += bytes;
    }
}

auto frame_reader::next() -> std::optional<frame>
{
    const auto bytes = std::string_view(buffer_).substr(read_);
    if (fault_ != frame_fault::none || bytes.size() < length_size) {
        return std::nullopt;
    }
    const auto length =
        std::size_t{detail::read_big_endian<std::uint32_t>(bytes, 0)};
    if (length < least_length || length > least_length + max_payload_) {
        return fail(frame_fault::bad_length);
    }
    const auto total = length_size + length;
    if (bytes.size() < total) {
        buffer_.reserve(read_ + total);
        return std::nullopt;
    }
    const auto signed_part = bytes.substr(0, total - mac_size);
    if (!key_.is_authentic(signed_part,
                           bytes.substr(total - mac_size, mac_size))) {
        return fail(frame_fault::not_authentic);
    }
    auto result = frame{};
    result.version = static_cast<std::uint8_t>(bytes[length_size]);
    result.type = static_cast<message_type>(bytes[length_size + 1]);
    result.sequence =
        detail::read_big_endian<std::uint64_t>(bytes, length_size + 2);
    if (result.version != version_) {
        return fail(frame_fault::wrong_version);
    }
    if (result.sequence != expected_) {
        return fail(frame_fault::wrong_sequence);
    }
    ++expected_;
    result.payload = signed_part.substr(length_size + header_size);
    read_ += total;
    if (read_ == buffer_.size()) {
        buffer_.clear();
        read_ = 0;
    } else if (read_ > compaction_size) {
        buffer_.erase(0, read_);
        read_ = 0;
    }
    return result;
}

auto frame_reader::take_rest() -> std::string
{
    auto rest = buffer_.substr(read_);
    buffer_.clear();
    read_ = 0;
    return rest;
}

auto frame_reader::fail(frame_fault fault) -> std::optional<frame>
{
    fault_ = fault;
    buffer_.clear();
    read_ = 0;
    return std::nullopt;
}

} // namespace rhubarbrun::inline v1
