#ifndef RHUBARBRUN_PROTOCOL_CALLER_REQUEST_HPP
#define RHUBARBRUN_PROTOCOL_CALLER_REQUEST_HPP

#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <optional>
#include <string>

namespace rhubarbrun::inline v1 {

/// One request of a caller's session; the next one is emitted only after this
/// one was completed.
struct caller_request
{
    statement body;
    /// By the text of the statement; the reply's `status` says whether the
    /// transaction is open afterwards.
    transaction_step step = transaction_step::single;
    bool is_read_only = false;
    /// Class given by `rhubarbrun.class`; without it the class is learned.
    std::optional<work_class> hinted_class;
    bool is_idempotent = false;
    /// Empty if the caller gave none. Attached to one request that may write:
    /// a single statement or the BEGIN of a transaction.
    request_key key;
    /// Time that the caller gives the request, from its arrival.
    duration deadline{};
    /// Accepted age of the data; 0 stands for that of the group's read policy.
    duration max_age{};
    /// Key for learned classes; see `statement_shape`.
    std::string shape;
};

/// What a caller said when it connected.
struct session_start
{
    std::string user;
    std::string database;
    std::string application_name;
    /// Token from an earlier session; empty if none was presented.
    std::string session_token;
};

} // namespace rhubarbrun::inline v1

#endif
