#ifndef RHUBARBRUN_COORDINATION_ENTRY_ACTIONS_HPP
#define RHUBARBRUN_COORDINATION_ENTRY_ACTIONS_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>
#include <rhubarbrun/state/request_error.hpp>
#include <rhubarbrun/state/units.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Send the statement of a request to the owner of a target.
struct send_action
{
    session_id session;
    request_id id;
    target_id target;
    owner_epoch epoch;
    /// Term of the group by the directory.
    term group_term;
    proxy_id owner;
    /// `local_link` if this proxy is the owner.
    link_id link;
    /// Log position that the target must have replayed.
    std::optional<log_position> floor;
    duration time_left{};
};

/// Tell the owner to cancel a request.
struct cancel_action
{
    session_id session;
    /// 0 cancels all requests and transactions of the session at the owner.
    request_id id;
    target_id target;
    link_id link;
};

/// Ask the owner of a target for its positions.
struct query_action
{
    request_id id;
    target_id target;
    proxy_id owner;
};

/// Answer the caller. The result is that of the reply with the same request
/// id; without an `error` there always is one.
struct answer_action
{
    session_id session;
    request_id id;
    std::optional<request_error> error;
    bool is_at_replica = false;
    /// New session token, if the request has raised the session's floor.
    std::optional<std::string> token;
};

using entry_action =
    std::variant<send_action, cancel_action, query_action, answer_action>;
using entry_actions = std::vector<entry_action>;

} // namespace rhubarbrun::inline v1

#endif
