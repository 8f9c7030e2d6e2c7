#ifndef RHUBARBRUN_STATE_SHA256_HPP
#define RHUBARBRUN_STATE_SHA256_HPP

#include <array>
#include <string_view>

namespace rhubarbrun::inline v1 {

using sha256_digest = std::array<unsigned char, 32>;

[[nodiscard]] auto sha256(std::string_view bytes) -> sha256_digest;

} // namespace rhubarbrun::inline v1

#endif
