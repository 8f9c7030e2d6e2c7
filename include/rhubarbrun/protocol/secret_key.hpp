#ifndef RHUBARBRUN_PROTOCOL_SECRET_KEY_HPP
#define RHUBARBRUN_PROTOCOL_SECRET_KEY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// Bytes of an HMAC-SHA256.
using mac_bytes = std::array<unsigned char, 32>;

/// A 256-bit key; does not print, compare or serialize.
class secret_key
{
public:
    /// A key that is derived from `material` with SHA-256.
    /// @throws std::invalid_argument if `material` is shorter than 32 bytes.
    [[nodiscard]] static auto from_material(std::string_view material)
        -> secret_key;

    /// HMAC-SHA256 of `message` under this key.
    [[nodiscard]] auto authenticate(std::string_view message) const
        -> mac_bytes;

    /// Whether `mac` authenticates `message`; takes the same time for every
    /// wrong value.
    [[nodiscard]] auto is_authentic(std::string_view message,
                                    std::string_view mac) const -> bool;

    /// A key for one purpose, derived with HMAC-SHA256 from this key, the
    /// `purpose` and the `context`.
    [[nodiscard]] auto derive(std::string_view purpose,
                              std::string_view context = {}) const
        -> secret_key;

private:
    explicit secret_key(const mac_bytes& bytes) noexcept : bytes_(bytes) {}

    mac_bytes bytes_;
};

/// Fills a string with `size` bytes of the operating system's cryptographic
/// random generator.
/// @throws std::runtime_error if the generator fails.
[[nodiscard]] auto random_bytes(std::size_t size) -> std::string;

/// A random number that is not 0, as for an incarnation.
[[nodiscard]] auto random_number() -> std::uint64_t;

} // namespace rhubarbrun::inline v1

#endif
