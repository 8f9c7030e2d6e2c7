#include <rhubarbrun/coordination/request_order.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace rhubarbrun::inline v1 {

/// A request while its place is sought.
struct request_order::place
{
    const waiting_request* request = nullptr;
    level_key level;
    /// Time by which it is ordered inside its organisation.
    duration arrival = duration::zero();
    /// Virtual time at which it is sent; a turn earlier if its organisation
    /// has the turn.
    duration due = duration::zero();
    /// Number of its organisation's first request in the order of `arrival`.
    std::size_t organisation = 0;
    order_reason reason = order_reason::arrival;
};

namespace {

/// An organisation in a level, while its requests are ordered.
struct flow_key
{
    std::pair<std::uint32_t, std::uint32_t> level;
    std::string_view organisation;

    auto operator==(const flow_key&) const -> bool = default;
};
struct flow_key_hash
{
    auto operator()(const flow_key& key) const -> std::size_t
    {
        return std::hash<std::string_view>{}(key.organisation) +
               key.level.first;
    }
};

/// A request costs at least this, so that one with no known work takes part in
/// turns.
constexpr auto min_work = duration(milliseconds(1));

auto work_of(const waiting_request& request) -> duration
{
    return std::max(request.work, min_work);
}

/// Why `request` goes before the earlier request `other`.
auto reason_between(const waiting_request& request,
                    const waiting_request& other) -> order_reason
{
    if (request.route_priority != other.route_priority) {
        return order_reason::route_priority;
    }
    if (request.organisation_priority != other.organisation_priority) {
        return order_reason::organisation_priority;
    }
    return request.organisation == other.organisation
               ? order_reason::newest_first
               : order_reason::fair_share;
}

} // namespace

auto to_string(order_reason reason) noexcept -> std::string_view
{
    switch (reason) {
    case order_reason::arrival:
        return "arrival";
    case order_reason::route_priority:
        return "route_priority";
    case order_reason::organisation_priority:
        return "organisation_priority";
    case order_reason::fair_share:
        return "fair_share";
    case order_reason::newest_first:
        return "newest_first";
    case order_reason::minimum_share:
        return "minimum_share";
    }
    return "unknown";
}

auto request_order::order(time_point now,
                          const std::vector<waiting_request>& waiting,
                          bool is_newest_first) -> std::vector<ordered_request>
{
    update_levels(now, waiting);
    auto places = std::vector<place>(waiting.size());
    for (auto index = std::size_t{0}; index < waiting.size(); ++index) {
        const auto& request = waiting[index];
        const auto arrived = request.arrived.time_since_epoch();
        places[index].request = &request;
        places[index].level = key_of(request);
        places[index].arrival = is_newest_first ? -arrived : arrived;
    }
    std::sort(places.begin(), places.end(),
              [&](const place& left, const place& right) {
                  return left.arrival != right.arrival
                             ? left.arrival < right.arrival
                             : (left.request->id < right.request->id) !=
                                   is_newest_first;
              });
    set_due_times(places);
    std::sort(places.begin(), places.end(),
              [](const place& left, const place& right) {
                  const auto key = [](const place& each) {
                      return std::tie(each.level, each.due, each.organisation);
                  };
                  return key(left) < key(right);
              });
    move_owed_to_front(places);
    auto result = std::vector<ordered_request>(places.size());
    const waiting_request* oldest = nullptr;
    for (auto index = places.size(); index-- > 0;) {
        auto& each = places[index];
        if (oldest != nullptr && oldest->arrived < each.request->arrived) {
            if (each.reason == order_reason::arrival) {
                each.reason = reason_between(*each.request, *oldest);
            }
        } else {
            oldest = each.request;
        }
        result[index] = {each.request->id, each.reason};
    }
    return result;
}

auto request_order::update_levels(time_point now,
                                  const std::vector<waiting_request>& waiting)
    -> void
{
    for (auto& [key, each] : levels_) {
        each.is_passed_over = false;
        each.turn = duration::zero();
    }
    for (const auto& request : waiting) {
        auto& each = levels_[key_of(request)];
        each.seen_at = now;
        each.turn = std::max(each.turn, turn_requests * work_of(request));
        each.is_passed_over |= now - request.arrived >=
                               request.latency_objective / passed_over_divisor;
    }
    std::erase_if(levels_, [&](const auto& each) {
        return now - each.second.seen_at > memory;
    });
    for (auto& [key, each] : levels_) {
        if (!each.is_passed_over) {
            each.owed = duration::zero();
        }
        const auto present = each.present;
        std::erase_if(each.flows, [&](const auto& entry) {
            return entry.second.next <= present ||
                   now - entry.second.sent_at > memory;
        });
    }
}

auto request_order::set_due_times(std::vector<place>& places) const -> void
{
    struct progress
    {
        duration start = duration::zero();
        /// What the organisation goes ahead for having the turn.
        duration lead = duration::zero();
        std::size_t number = 0;
    };
    auto flows = std::unordered_map<flow_key, progress, flow_key_hash>();
    for (auto& each : places) {
        const auto& organisation = each.request->organisation;
        const auto [found, is_new] =
            flows.try_emplace({each.level, organisation.value()});
        auto& its_flow = found->second;
        if (is_new) {
            const auto& its_level = levels_.at(each.level);
            const auto known = its_level.flows.find(organisation);
            its_flow.start =
                known == its_level.flows.end()
                    ? its_level.present
                    : std::max(known->second.next, its_level.present);
            its_flow.number = flows.size();
            if (its_level.current == organisation) {
                its_flow.lead = its_level.turn;
            }
        }
        each.organisation = its_flow.number;
        each.due = its_flow.start - its_flow.lead;
        its_flow.start += work_of(*each.request);
    }
}

auto request_order::move_owed_to_front(std::vector<place>& places) const -> void
{
    // The first request of each level that is owed enough for it, by what is
    // owed.
    auto owed = std::vector<std::pair<duration, std::size_t>>();
    for (auto index = std::size_t{1}; index < places.size(); ++index) {
        if (places[index].level == places[index - 1].level) {
            continue;
        }
        const auto due = levels_.at(places[index].level).owed;
        if (due >= work_of(*places[index].request)) {
            owed.emplace_back(-due, index);
        }
    }
    std::sort(owed.begin(), owed.end());
    auto moved = std::vector<place>();
    moved.reserve(places.size());
    for (const auto& [due, index] : owed) {
        moved.push_back(places[index]);
        moved.back().reason = order_reason::minimum_share;
        places[index].request = nullptr;
    }
    if (moved.empty()) {
        return;
    }
    std::copy_if(places.begin(), places.end(), std::back_inserter(moved),
                 [](const place& each) { return each.request != nullptr; });
    places = std::move(moved);
}

auto request_order::on_sent(time_point now, const waiting_request& request)
    -> void
{
    const auto key = key_of(request);
    const auto work = work_of(request);
    const auto after = levels_.upper_bound(key);
    const auto passed_over =
        std::count_if(after, levels_.end(), [](const auto& each) {
            return each.second.is_passed_over;
        });
    for (auto each = after; each != levels_.end(); ++each) {
        auto& other = each->second;
        if (other.is_passed_over) {
            // No more than a turn is kept for requests that cannot be sent.
            other.owed =
                std::min(other.owed + work / (min_share_divisor * passed_over),
                         other.turn);
        }
    }
    const auto found = levels_.find(key);
    if (found == levels_.end()) {
        return;
    }
    auto& own = found->second;
    own.owed = std::max(own.owed - work, duration::zero());
    auto& its_flow = own.flows[request.organisation];
    // The first one starts a turn ahead, so that whoever comes next does not
    // wait for the end of a turn.
    const auto start = own.current ? std::max(its_flow.next, own.present)
                                   : own.present + own.turn;
    its_flow = {start + work, now};
    own.current = request.organisation;
    own.present = std::max(own.present, start - own.turn);
}

auto request_order::on_not_run(const waiting_request& request) -> void
{
    const auto found = levels_.find(key_of(request));
    if (found == levels_.end()) {
        return;
    }
    const auto its_flow = found->second.flows.find(request.organisation);
    if (its_flow != found->second.flows.end()) {
        its_flow->second.next -= work_of(request);
    }
}

auto request_order::remembered() const noexcept -> std::size_t
{
    return std::accumulate(levels_.begin(), levels_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& each) {
                               return sum + each.second.flows.size();
                           });
}

} // namespace rhubarbrun::inline v1
