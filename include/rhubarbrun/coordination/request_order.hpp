#ifndef RHUBARBRUN_COORDINATION_REQUEST_ORDER_HPP
#define RHUBARBRUN_COORDINATION_REQUEST_ORDER_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// A request that waits for a connection.
struct waiting_request
{
    session_id id;
    /// Priorities; 0 goes first.
    std::uint32_t route_priority = 0;
    std::uint32_t organisation_priority = 0;
    /// Empty if the request has none, as on a public route; these share one
    /// place in the order.
    organisation_id organisation;
    time_point arrived;
    duration latency_objective = duration::zero();
    /// Time for which it is expected to occupy a server.
    duration work = duration::zero();
};

/// Why a request goes before one that arrived earlier.
enum class order_reason : std::uint8_t
{
    /// It goes before none.
    arrival,
    route_priority,
    organisation_priority,
    /// The organisation of the earlier one has had more work done.
    fair_share,
    /// The servers are full and both are of one organisation.
    newest_first,
    /// Its priority has had less than the minimum share.
    minimum_share,
};
inline constexpr auto order_reason_count = std::size_t{6};

/// Name for logs and metrics.
[[nodiscard]] auto to_string(order_reason reason) noexcept -> std::string_view;

/// A request in its place.
struct ordered_request
{
    session_id id;
    order_reason reason = order_reason::arrival;
};

/// Orders the requests that wait in one process for connections of one server
/// group: by the priority of the route, then by that of the organisation, then
/// fairly between organisations, then by arrival.
///
/// Fairness is start-time fair queueing: an organisation's virtual time is the
/// work that was sent for it, and the lowest goes first. The one that has the
/// turn keeps it for `turn_requests`. An organisation that begins to wait
/// starts one turn behind the foremost, however long its pause was.
///
/// Priorities are strict up to `min_share_divisor`.
class request_order
{
public:
    /// Requests, counted in the longest ones of its priority, by which the
    /// organisation that has the turn may be ahead of the others. A connection
    /// belongs to one organisation, and a new one costs the server 12 ms: with
    /// 11 ms for a request, turns of six keep that to a sixth. An organisation
    /// that begins to wait does not wait for the end of a turn.
    static constexpr auto turn_requests = 6;
    /// Priorities that are passed over get together at least one part in 8 of
    /// the work. A request then gets its turn after 7 times its own work, 385
    /// ms for the longest (55 ms). With the wait before it counts as passed
    /// over this is within the shortest objective (600 ms), and the priorities
    /// before it lose no more than an eighth.
    static constexpr auto min_share_divisor = 8;
    /// A request that has waited for this part of its latency objective is
    /// passed over. That is before full servers make the relay refuse it, at
    /// half of the objective; in shorter bursts priorities are strict.
    static constexpr auto passed_over_divisor = 4;
    /// What was sent for an organisation is forgotten after this long, about a
    /// latency objective: by then no request waits that waited at that time.
    static constexpr auto memory = duration(milliseconds(1000));

    /// Returns the requests in the order in which they are to be sent.
    /// @param is_newest_first the newest request of an organisation goes first.
    [[nodiscard]] auto order(time_point now,
                             const std::vector<waiting_request>& waiting,
                             bool is_newest_first)
        -> std::vector<ordered_request>;

    /// Records that a request was sent to a server. One whose priority no
    /// request waited for at the last `order` changes only the minimum shares.
    auto on_sent(time_point now, const waiting_request& request) -> void;

    /// Takes `on_sent` back for a request that the server did not run.
    auto on_not_run(const waiting_request& request) -> void;

    /// Number of organisations whose work is remembered.
    [[nodiscard]] auto remembered() const noexcept -> std::size_t;

private:
    /// Priorities of the route and of the organisation; each pair is a level.
    using level_key = std::pair<std::uint32_t, std::uint32_t>;
    struct flow
    {
        /// Virtual time at which its next request starts.
        duration next = duration::zero();
        time_point sent_at;
    };
    struct level
    {
        /// Virtual time at which an organisation without a flow starts.
        duration present = duration::zero();
        std::unordered_map<organisation_id, flow> flows;
        /// The organisation that has the turn.
        std::optional<organisation_id> current;
        /// Whether a request is passed over.
        bool is_passed_over = false;
        /// Work due to it by the minimum share.
        duration owed = duration::zero();
        /// Work of one turn.
        duration turn = duration::zero();
        time_point seen_at;
    };
    struct place;

    [[nodiscard]] static auto key_of(const waiting_request& request)
        -> level_key
    {
        return {request.route_priority, request.organisation_priority};
    }
    auto update_levels(time_point now,
                       const std::vector<waiting_request>& waiting) -> void;
    /// Sets the virtual times of the places, which are sorted by
    /// `place::arrival`.
    auto set_due_times(std::vector<place>& places) const -> void;
    auto move_owed_to_front(std::vector<place>& places) const -> void;

    std::map<level_key, level> levels_;
};

} // namespace rhubarbrun::inline v1

#endif
