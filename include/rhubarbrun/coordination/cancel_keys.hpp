#ifndef RHUBARBRUN_COORDINATION_CANCEL_KEYS_HPP
#define RHUBARBRUN_COORDINATION_CANCEL_KEYS_HPP

#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <cstdint>
#include <vector>

namespace rhubarbrun::inline v1 {

// The process id of a cancel key names the proxy that holds the session: its
// highest bit is 0, as clients print it as a signed number, `proxy_tag_bits`
// bits are the tag of the proxy, and the rest counts sessions. The 4 bytes of
// the secret are random throughout.

/// Among 540 proxies two share a tag of this size in one deployment of seven;
/// a forwarded key then goes to both, and only one knows it.
inline constexpr auto proxy_tag_bits = 20U;
inline constexpr auto session_count_bits = 31U - proxy_tag_bits;

/// Tag of a proxy; the same in every process and build.
[[nodiscard]] auto proxy_tag(const proxy_id& proxy) noexcept -> std::uint32_t;

/// Process id for the cancel key of a proxy's session; repeats after
/// 2^`session_count_bits` sessions.
[[nodiscard]] auto cancel_process(std::uint32_t tag,
                                  std::uint64_t session_count) noexcept
    -> std::uint32_t;

/// The registered proxies, other than `self`, that may hold the session of a
/// cancel key with this process id. Empty if `process` is no such id.
[[nodiscard]] auto cancel_key_holders(const directory& copy,
                                      const proxy_id& self,
                                      std::uint32_t process)
    -> std::vector<proxy_id>;

} // namespace rhubarbrun::inline v1

#endif
