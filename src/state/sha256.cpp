#include <rhubarbrun/state/sha256.hpp>

#include <openssl/sha.h>

namespace rhubarbrun::inline v1 {

static_assert(sizeof(sha256_digest) == SHA256_DIGEST_LENGTH);

auto sha256(std::string_view bytes) -> sha256_digest
{
    auto digest = sha256_digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           digest.data());
    return digest;
}

} // namespace rhubarbrun::inline v1
