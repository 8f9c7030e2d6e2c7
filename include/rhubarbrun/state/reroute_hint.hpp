#ifndef RHUBARBRUN_STATE_REROUTE_HINT_HPP
#define RHUBARBRUN_STATE_REROUTE_HINT_HPP

#include <cstdint>

namespace rhubarbrun::inline v1 {

/// What the entry proxy may do with a request that did not run.
enum class reroute_hint : std::uint8_t
{
    /// Report it to the caller.
    none,
    /// Send it again by the newest directory: this owner does not serve it.
    try_again,
    /// Send it to the primary: this replica is behind the floor.
    use_primary,
};

} // namespace rhubarbrun::inline v1

#endif
