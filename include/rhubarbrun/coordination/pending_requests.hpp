#ifndef RHUBARBRUN_COORDINATION_PENDING_REQUESTS_HPP
#define RHUBARBRUN_COORDINATION_PENDING_REQUESTS_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/coordination/retry_budget.hpp>
#include <rhubarbrun/state/request_error.hpp>
#include <rhubarbrun/state/units.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// A request of a caller, as the entry proxy tracks it.
struct pending_request
{
    request_id id;
    /// Session that waits for the answer.
    session_id session;
    time_point deadline;
    /// May be sent again after it may have run.
    bool is_idempotent = false;
};

/// Why a request may or may not be sent.
enum class send_permission : std::uint8_t
{
    granted,
    /// Not pending: answered, cancelled or timed out.
    unknown,
    /// In flight, or sent and not to be sent again.
    already_sent,
    past_deadline,
    /// The retry budget is used up.
    no_budget,
};

/// A request that ended with an error, which only `session` receives.
struct request_ending
{
    request_id id;
    session_id session;
    request_error error;
};

/// Outcome of the requests on a lost link.
struct link_loss
{
    /// Requests that have ended.
    std::vector<request_ending> endings;
    /// Idempotent requests that stay pending and may be sent again.
    std::vector<request_id> retries;
};

/// Faults that tests inject to verify that their checks detect them.
enum class pending_fault : std::uint8_t
{
    none,
    resend_non_idempotent,
    accept_late_answer,
    claim_not_run,
};

/// Entry side: tracks the sessions' unanswered requests.
///
/// Each request that was added ends exactly once: by an answer, by an ending
/// or by `on_session_closed`. A request that is not idempotent is sent again
/// only if the proxy that it was sent to answered that it did not run.
class pending_requests
{
public:
    explicit pending_requests(pending_fault fault = pending_fault::none);

    /// Starts to track a request. Returns false if its id is in use.
    [[nodiscard]] auto add(pending_request request) -> bool;

    /// Asks to send the request over `link`; call before the first byte is
    /// written. If granted, the request counts as sent from then on.
    [[nodiscard]] auto try_send(time_point now, request_id id, link_id link)
        -> send_permission;

    /// An answer with a result or an error of the target arrived over `link`.
    /// Returns the session that receives it, or no value if no request is in
    /// flight on this link under this id.
    [[nodiscard]] auto on_answer(request_id id, link_id link)
        -> std::optional<session_id>;

    /// The proxy at the other end answered that the request did not run. The
    /// request stays pending and may be sent again. Returns whether that
    /// answer was expected.
    [[nodiscard]] auto on_not_run(request_id id, link_id link) -> bool;

    /// The proxy at the other end answered that the request may have run.
    /// Returns true if the request is idempotent and its deadline has not
    /// passed: it stays pending and may be sent again. Otherwise nothing
    /// changes, and the answer is passed to the caller.
    [[nodiscard]] auto on_may_have_run(time_point now, request_id id,
                                       link_id link) -> bool;

    /// Ends a request that has not been sent, or was answered as not run.
    /// Returns no value if it is in flight or unknown.
    [[nodiscard]] auto give_up(request_id id, request_error error)
        -> std::optional<request_ending>;

    /// Ends each request in flight on `link`, or allows its retry.
    [[nodiscard]] auto on_link_lost(time_point now, link_id link) -> link_loss;

    /// Ends each request whose deadline has passed.
    [[nodiscard]] auto expire(time_point now) -> std::vector<request_ending>;

    /// Removes the requests of a closed session. Returns the requests to
    /// cancel, with the link that each was sent over, if any.
    [[nodiscard]] auto on_session_closed(session_id session)
        -> std::vector<std::pair<request_id, std::optional<link_id>>>;

    [[nodiscard]] auto next_deadline() const -> std::optional<time_point>;
    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    struct entry
    {
        pending_request request;
        /// Link on which it is in flight.
        std::optional<link_id> link;
        /// Whether a proxy may have sent it to a target.
        bool may_have_run = false;
        bool was_sent = false;
    };

    using entry_map = std::map<request_id, entry>;

    auto erase(entry_map::iterator position) -> void;
    auto detach_from_link(entry& pending) -> void;
    /// Whether the request may be sent again although it may have run.
    [[nodiscard]] auto may_resend(time_point now, const entry& pending) const
        -> bool;
    [[nodiscard]] auto end_with(entry_map::iterator position,
                                request_error error) -> request_ending;

    entry_map entries_;
    std::map<link_id, std::set<request_id>> by_link_;
    std::map<session_id, std::set<request_id>> by_session_;
    std::set<std::pair<time_point, request_id>> by_deadline_;
    retry_budget budget_;
    pending_fault fault_;
};

} // namespace rhubarbrun::inline v1

#endif
