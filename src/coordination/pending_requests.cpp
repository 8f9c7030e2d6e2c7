#include <rhubarbrun/coordination/pending_requests.hpp>

#include <string>

namespace rhubarbrun::inline v1 {

namespace {

auto not_run_error(std::string_view message) -> request_error
{
    return {verdict::not_run, std::string(sqlstate::cannot_connect_now),
            std::string(message), duration{}};
}

} // namespace

pending_requests::pending_requests(pending_fault fault) : fault_(fault) {}

auto pending_requests::add(pending_request request) -> bool
{
    const auto [position, is_new] =
        entries_.try_emplace(request.id, entry{request, {}, false, false});
    if (is_new) {
        by_session_[request.session].insert(request.id);
        by_deadline_.emplace(request.deadline, request.id);
    }
    return is_new;
}

auto pending_requests::try_send(time_point now, request_id id, link_id link)
    -> send_permission
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return send_permission::unknown;
    }
    auto& pending = found->second;
    if (pending.link) {
        return send_permission::already_sent;
    }
    if (now >= pending.request.deadline) {
        return send_permission::past_deadline;
    }
    if (!pending.was_sent) {
        budget_.on_first_attempt();
    } else if (pending.may_have_run && !budget_.try_take()) {
        // The budget keeps retries from multiplying the load of targets. A
        // request that an owner refused adds no load to a target. If refusals
        // counted too, a failover would exhaust the budget within 100 ms, and
        // all waiting requests would end at their deadlines.
        return send_permission::no_budget;
    }
    pending.was_sent = true;
    pending.link = link;
    by_link_[link].insert(id);
    return send_permission::granted;
}

auto pending_requests::on_answer(request_id id, link_id link)
    -> std::optional<session_id>
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    if (found->second.link != link &&
        fault_ != pending_fault::accept_late_answer) {
        return std::nullopt;
    }
    const auto session = found->second.request.session;
    erase(found);
    return session;
}

auto pending_requests::on_not_run(request_id id, link_id link) -> bool
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.link != link) {
        return false;
    }
    detach_from_link(found->second);
    return true;
}

auto pending_requests::on_may_have_run(time_point now, request_id id,
                                       link_id link) -> bool
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.link != link ||
        !may_resend(now, found->second))
    {
        return false;
    }
    found->second.may_have_run = true;
    detach_from_link(found->second);
    return true;
}

auto pending_requests::may_resend(time_point now, const entry& pending) const
    -> bool
{
    const auto is_safe = pending.request.is_idempotent ||
                         fault_ == pending_fault::resend_non_idempotent;
    return is_safe && now < pending.request.deadline;
}

auto pending_requests::give_up(request_id id, request_error error)
    -> std::optional<request_ending>
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.link) {
        return std::nullopt;
    }
    return end_with(found, std::move(error));
}

auto pending_requests::on_link_lost(time_point now, link_id link) -> link_loss
{
    auto result = link_loss{};
    const auto found = by_link_.find(link);
    if (found == by_link_.end()) {
        return result;
    }
    const auto ids = found->second;
    for (const auto id : ids) {
        const auto position = entries_.find(id);
        auto& pending = position->second;
        pending.may_have_run = true;
        detach_from_link(pending);
        if (may_resend(now, pending)) {
            result.retries.push_back(id);
        } else {
            result.endings.push_back(end_with(
                position, not_run_error("the link to the owner was lost")));
        }
    }
    return result;
}

auto pending_requests::expire(time_point now) -> std::vector<request_ending>
{
    auto result = std::vector<request_ending>{};
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
        const auto position = entries_.find(by_deadline_.begin()->second);
        result.push_back(end_with(
            position, not_run_error("the deadline of the request passed")));
    }
    return result;
}

auto pending_requests::on_session_closed(session_id session)
    -> std::vector<std::pair<request_id, std::optional<link_id>>>
{
    auto result = std::vector<std::pair<request_id, std::optional<link_id>>>{};
    const auto found = by_session_.find(session);
    if (found == by_session_.end()) {
        return result;
    }
    const auto ids = found->second;
    for (const auto id : ids) {
        const auto position = entries_.find(id);
        result.emplace_back(id, position->second.link);
        erase(position);
    }
    return result;
}

auto pending_requests::next_deadline() const -> std::optional<time_point>
{
    if (by_deadline_.empty()) {
        return std::nullopt;
    }
    return by_deadline_.begin()->first;
}

auto pending_requests::size() const noexcept -> std::size_t
{
    return entries_.size();
}

auto pending_requests::detach_from_link(entry& pending) -> void
{
    if (!pending.link) {
        return;
    }
    const auto found = by_link_.find(*pending.link);
    found->second.erase(pending.request.id);
    if (found->second.empty()) {
        by_link_.erase(found);
    }
    pending.link.reset();
}

auto pending_requests::erase(entry_map::iterator position) -> void
{
    auto& pending = position->second;
    detach_from_link(pending);
    by_deadline_.erase({pending.request.deadline, pending.request.id});
    const auto session = by_session_.find(pending.request.session);
    session->second.erase(pending.request.id);
    if (session->second.empty()) {
        by_session_.erase(session);
    }
    entries_.erase(position);
}

/// Ends a request without an answer. The verdict depends only on whether the
/// request may have run, not on that of `error`.
auto pending_requests::end_with(entry_map::iterator position,
                                request_error error) -> request_ending
{
    const auto& pending = position->second;
    const auto may_have_run = (pending.may_have_run || pending.link) &&
                              fault_ != pending_fault::claim_not_run;
    error.outcome = may_have_run ? verdict::may_have_run : verdict::not_run;
    if (may_have_run) {
        error.code = sqlstate::transaction_resolution_unknown;
        error.retry_after = duration{};
    }
    auto ending = request_ending{pending.request.id, pending.request.session,
                                 std::move(error)};
    erase(position);
    return ending;
}

} // namespace rhubarbrun::inline v1
