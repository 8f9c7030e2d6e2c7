#ifndef RHUBARBRUN_COORDINATION_DATA_PATH_IDS_HPP
#define RHUBARBRUN_COORDINATION_DATA_PATH_IDS_HPP

#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/strong_id.hpp>

#include <compare>
#include <cstdint>

namespace rhubarbrun::inline v1 {

/// Identifies a statement in the queue of one target. The owner assigns it,
/// because request ids are unique only within one entry proxy's incarnation.
using admission_ticket = strong_id<struct admission_ticket_tag, std::uint64_t>;

/// Identifies an open transaction that holds a connection; assigned by the
/// owner.
using pin_id = strong_id<struct pin_id_tag, std::uint64_t>;

/// Identifies a connection from the owner to a target; never reused.
using connection_id = strong_id<struct connection_id_tag, std::uint64_t>;

/// Identifies a link to another proxy; a new connection is a new link.
using link_id = strong_id<struct link_id_tag, std::uint64_t>;

/// Denotes this process where a link is expected.
inline constexpr auto local_link = link_id(~std::uint64_t{0});

/// Identifies a caller's session at the owner. Session ids are unique only
/// within one entry proxy. Resources that a session holds at the owner are
/// released when the link over which they were requested closes.
struct entry_session
{
    link_id link;
    session_id session;

    friend auto operator<=>(const entry_session&, const entry_session&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

} // namespace rhubarbrun::inline v1

#endif
