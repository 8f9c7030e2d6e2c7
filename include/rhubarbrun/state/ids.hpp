#ifndef RHUBARBRUN_STATE_IDS_HPP
#define RHUBARBRUN_STATE_IDS_HPP

#include <rhubarbrun/state/strong_id.hpp>

#include <cstdint>
#include <string>

namespace rhubarbrun::inline v1 {

/// Name of a proxy VM, from its settings; unique in a deployment.
using proxy_id = strong_id<struct proxy_id_tag, std::string>;

/// Name of a control member, from its settings; unique in a deployment.
using member_id = strong_id<struct member_id_tag, std::string>;

/// Name of a target (one database server), from its announcement.
using target_id = strong_id<struct target_id_tag, std::string>;

/// Name of a database group, from the bundle.
using group_id = strong_id<struct group_id_tag, std::string>;

/// Name of an availability zone, from the settings of a process or from a
/// target's announcement.
using zone_id = strong_id<struct zone_id_tag, std::string>;

/// Name of an operator, from the bundle.
using operator_id = strong_id<struct operator_id_tag, std::string>;

/// Name of an organisation whose callers use the deployment.
using organisation_id = strong_id<struct organisation_id_tag, std::string>;

/// One run of a process; drawn at random at start, or kept in the data folder.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// Counts the owners that a target has had; a higher epoch fences a lower one.
using owner_epoch = strong_id<struct owner_epoch_tag, std::uint64_t>;

/// Counts the primaries that a database group has had.
using term = strong_id<struct term_tag, std::uint64_t>;

/// Election term of the consensus log of the control members.
using election_term = strong_id<struct election_term_tag, std::uint64_t>;

/// Position in the consensus log of the control members; 0 is before the first.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;

/// Version number that operators give to a bundle; starts at 1.
using bundle_version = strong_id<struct bundle_version_tag, std::uint64_t>;

/// A caller's session; unique within the entry proxy's incarnation.
using session_id = strong_id<struct session_id_tag, std::uint64_t>;

/// A request of a session; unique within the entry proxy's incarnation.
using request_id = strong_id<struct request_id_tag, std::uint64_t>;

/// Idempotency key that a caller attaches to a request.
using request_key = strong_id<struct request_key_tag, std::string>;

} // namespace rhubarbrun::inline v1

#endif
