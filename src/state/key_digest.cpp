#include <rhubarbrun/state/key_digest.hpp>

namespace rhubarbrun::inline v1 {

auto digest_of_key(std::string_view key) -> key_digest
{
    return {sha256(key)};
}

} // namespace rhubarbrun::inline v1
