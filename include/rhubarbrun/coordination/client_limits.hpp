#ifndef RHUBARBRUN_COORDINATION_CLIENT_LIMITS_HPP
#define RHUBARBRUN_COORDINATION_CLIENT_LIMITS_HPP

#include <rhubarbrun/coordination/memory_budget.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace rhubarbrun::inline v1 {

/// What clients may make a process hold. Without a limit of memory in the
/// settings only the limits on connections apply, and without a limit of
/// descriptors only those on memory.
struct client_limits
{
    memory_budget::limits memory;
    /// Statements of a session that may wait for their turn; a session sends
    /// one request at a time. The rest stays in the connection.
    std::size_t queued_statements = std::numeric_limits<std::size_t>::max();
    std::size_t queued_bytes = std::numeric_limits<std::size_t>::max();
    /// No further message is taken from a peer with more unread bytes.
    std::size_t unread_bytes = std::numeric_limits<std::size_t>::max();
    /// Values and prepared statements of a session.
    std::size_t session_state = std::numeric_limits<std::size_t>::max();
    /// Bytes of a connection that the system holds before they are read; no
    /// value if it decides.
    std::optional<int> receive_buffer;
    /// Time for a whole message once it has begun, and for an answer to be
    /// read. The longest takes 6 s on a link of 1.4 Mbit/s, and callers give
    /// up after 8 s.
    duration message = duration::max();
    duration answer = duration::max();
    /// Connections at a time.
    std::size_t callers = std::numeric_limits<std::size_t>::max();
    std::size_t control_requests = 1024;
    std::size_t readiness_requests = 1024;
    std::size_t metrics_requests = 1024;
    /// Each uses two descriptors.
    std::size_t detours = 200;
    /// Accepted links that have not identified themselves.
    std::size_t unknown_links = 256;
    /// Accepted links.
    std::size_t links = 4096;
    /// Bytes that requests to one HTTP server may hold.
    std::size_t http_bytes = std::numeric_limits<std::size_t>::max();
    /// Bytes of frames that arrive on accepted links and are not whole.
    std::size_t frame_bytes = std::numeric_limits<std::size_t>::max();
    /// Questions to servers that control has open at a time.
    std::size_t server_calls = std::numeric_limits<std::size_t>::max();
};

/// Limits of a process with this much memory, in bytes, and this many file
/// descriptors.
[[nodiscard]] auto make_client_limits(std::optional<std::uint64_t> memory,
                                      std::optional<std::uint32_t> descriptors)
    -> client_limits;

} // namespace rhubarbrun::inline v1

#endif
