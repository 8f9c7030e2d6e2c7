#ifndef RHUBARBRUN_STATE_KEY_DIGEST_HPP
#define RHUBARBRUN_STATE_KEY_DIGEST_HPP

#include <rhubarbrun/state/sha256.hpp>

#include <algorithm>
#include <string_view>

namespace rhubarbrun::inline v1 {

/// SHA-256 digest of a key that identifies callers. It stands for the key
/// wherever the key itself is not needed, so that dumps and logs cannot leak
/// it.
struct key_digest
{
    sha256_digest bytes{};

    friend auto operator==(const key_digest& left, const key_digest& right)
        -> bool = default;
    friend auto operator<(const key_digest& left, const key_digest& right)
        -> bool
    {
        return std::lexicographical_compare(
            left.bytes.begin(), left.bytes.end(), right.bytes.begin(),
            right.bytes.end());
    }
};

[[nodiscard]] auto digest_of_key(std::string_view key) -> key_digest;

} // namespace rhubarbrun::inline v1

#endif
