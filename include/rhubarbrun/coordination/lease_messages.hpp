#ifndef RHUBARBRUN_COORDINATION_LEASE_MESSAGES_HPP
#define RHUBARBRUN_COORDINATION_LEASE_MESSAGES_HPP

#include <rhubarbrun/state/directory_records.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <cstdint>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Sent by a proxy to the control leader to renew its lease.
struct lease_request
{
    proxy_identity proxy;
    /// Proxy's clock in microseconds; returned unchanged in the answer.
    std::int64_t sent_at_us = 0;
    /// Index of the proxy's directory.
    log_index directory_index;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy, sent_at_us, directory_index);
    }
};

/// Result of a lease request.
enum class lease_status : std::uint8_t
{
    granted,
    /// The member is not the leader, or cannot prove that it still is.
    not_leading,
    /// The proxy is not registered and has to register.
    unknown_proxy,
    /// A later incarnation of the proxy has registered; this one has to stop.
    superseded,
    /// The lease has expired and the proxy's targets are being reassigned; it
    /// asks again with its next renewal.
    reassigning,
};

/// Answer of the control leader to one `lease_request`.
struct lease_answer
{
    proxy_identity proxy;
    lease_status status = lease_status::not_leading;
    /// Value of the request.
    std::int64_t sent_at_us = 0;
    /// Length of the lease from the moment at which the request was sent.
    std::int64_t duration_us = 0;
    /// The grant is valid only if the proxy's directory has reached this index,
    /// because earlier assignments may have been revoked.
    log_index required_index;
    /// Index of the leader's state; a proxy behind it may ask for a delta.
    log_index directory_index;
    /// Other proxies with a live lease at the moment of the grant; unknown
    /// from a leader that speaks version 1 of the internal protocol.
    std::optional<std::uint32_t> live_others;

    template <class Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(proxy, status, sent_at_us, duration_us, required_index,
                directory_index, live_others);
    }
};

} // namespace rhubarbrun::inline v1

#endif
