#include <rhubarbrun/protocol/secret_key.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace rhubarbrun::inline v1 {

namespace {

constexpr auto shortest_material = std::size_t{32};

auto bytes_of(std::string_view text) -> const unsigned char*
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

auto secret_key::from_material(std::string_view material) -> secret_key
{
    if (material.size() < shortest_material) {
        throw std::invalid_argument("a key needs at least 32 bytes");
    }
    auto bytes = mac_bytes{};
    auto size = 0U;
    if (EVP_Digest(material.data(), material.size(), bytes.data(), &size,
                   EVP_sha256(), nullptr) != 1)
    {
        throw std::runtime_error("SHA-256 is not available");
    }
    return secret_key(bytes);
}

auto secret_key::authenticate(std::string_view message) const -> mac_bytes
{
    auto mac = mac_bytes{};
    auto size = 0U;
    if (HMAC(EVP_sha256(), bytes_.data(), static_cast<int>(bytes_.size()),
             bytes_of(message), message.size(), mac.data(), &size) == nullptr)
    {
        throw std::runtime_error("HMAC-SHA256 is not available");
    }
    return mac;
}

auto secret_key::is_authentic(std::string_view message,
                              std::string_view mac) const -> bool
{
    const auto expected = authenticate(message);
    return mac.size() == expected.size() &&
           CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0;
}

auto secret_key::derive(std::string_view purpose,
                        std::string_view context) const -> secret_key
{
    auto message = std::string(purpose);
    message += '\0';
    message += context;
    return secret_key(authenticate(message));
}

auto random_bytes(std::size_t size) -> std::string
{
    auto bytes = std::string(size, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                   static_cast<int>(size)) != 1)
    {
        throw std::runtime_error("the random generator failed");
    }
    return bytes;
}

auto random_number() -> std::uint64_t
{
    auto number = std::uint64_t{0};
    while (number == 0) {
        const auto bytes = random_bytes(sizeof(number));
        std::memcpy(&number, bytes.data(), sizeof(number));
    }
    return number;
}

} // namespace rhubarbrun::inline v1
