#ifndef RHUBARBRUN_COORDINATION_LINK_WORK_HPP
#define RHUBARBRUN_COORDINATION_LINK_WORK_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/state/ids.hpp>

#include <map>
#include <set>

namespace rhubarbrun::inline v1 {

/// Tracks the links with unanswered requests or open transactions, in one
/// direction: as entry or as owner.
///
/// A busy link must not be closed: its requests would be reported as "may
/// have run", and the owner rolls back the transactions of a lost link. A
/// transaction that the owner ended by itself counts until the session's next
/// request or end.
class link_work
{
public:
    auto on_request(entry_session session, request_id request) -> void;

    /// The request was answered. An answer with an error leaves an open
    /// transaction as it is; the entry then ends it with a cancel.
    auto on_answer(link_id link, request_id request, bool is_error,
                   bool is_in_transaction) -> void;

    /// Removes the requests and the transaction of the session.
    auto on_session_ended(entry_session session) -> void;

    auto on_link_lost(link_id link) -> void;

    [[nodiscard]] auto is_busy(link_id link) const -> bool;

private:
    struct work
    {
        std::map<request_id, session_id> requests;
        std::set<session_id> transactions;
    };

    auto erase_if_done(link_id link) -> void;

    std::map<link_id, work> links_;
};

} // namespace rhubarbrun::inline v1

#endif
