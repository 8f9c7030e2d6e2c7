#ifndef RHUBARBRUN_COORDINATION_CANCEL_KEYS_HPP
#define RHUBARBRUN_COORDINATION_CANCEL_KEYS_HPP

#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <cstdint>
#include <vector>

namespace rhubarbrun::inline v1 {

// The process id of a cancel key identifies the proxy that holds the session:
// its highest bit is 0, as clients print it as a signed number,
// `proxy_tag_bits` bits are the tag of the proxy, and the other bits are a
// session counter. All 4 bytes of the secret are random.

/// With 540 proxies, two have the same tag in one deployment of seven. A
/// forwarded key is then sent to both, and only one of them accepts it.
inline constexpr auto proxy_tag_bits = 20U;
inline constexpr auto session_count_bits = 31U - proxy_tag_bits;

/// Tag of a proxy; it is identical in every process and build.
[[nodiscard]] auto proxy_tag(const proxy_id& proxy) noexcept -> std::uint32_t;

/// Process id for the cancel key of a proxy's session; repeats after
/// 2^`session_count_bits` sessions.
[[nodiscard]] auto cancel_process(std::uint32_t tag,
                                  std::uint64_t session_count) noexcept
    -> std::uint32_t;

/// The registered proxies, other than `self`, that may hold the session of a
/// cancel key with this process id. Empty if `process` is not a valid id.
[[nodiscard]] auto cancel_key_holders(const directory& copy,
                                      const proxy_id& self,
                                      std::uint32_t process)
    -> std::vector<proxy_id>;

} // namespace rhubarbrun::inline v1

#endif
