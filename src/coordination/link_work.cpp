#include <rhubarbrun/coordination/link_work.hpp>

namespace rhubarbrun::inline v1 {

auto link_work::on_request(entry_session session, request_id request) -> void
{
    links_[session.link].requests.insert_or_assign(request, session.session);
}

auto link_work::on_answer(link_id link, request_id request, bool is_error,
                          bool is_in_transaction) -> void
{
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    auto& [requests, transactions] = found->second;
    const auto asked = requests.find(request);
    if (asked == requests.end()) {
        return;
    }
    if (!is_error && is_in_transaction) {
        transactions.insert(asked->second);
    } else if (!is_error) {
        transactions.erase(asked->second);
    }
    requests.erase(asked);
    erase_if_done(link);
}

auto link_work::on_session_ended(entry_session session) -> void
{
    const auto found = links_.find(session.link);
    if (found == links_.end()) {
        return;
    }
    std::erase_if(found->second.requests, [&](const auto& item) {
        return item.second == session.session;
    });
    found->second.transactions.erase(session.session);
    erase_if_done(session.link);
}

auto link_work::on_link_lost(link_id link) -> void
{
    links_.erase(link);
}

auto link_work::is_busy(link_id link) const -> bool
{
    return links_.contains(link);
}

auto link_work::erase_if_done(link_id link) -> void
{
    const auto found = links_.find(link);
    if (found->second.requests.empty() && found->second.transactions.empty()) {
        links_.erase(found);
    }
}

} // namespace rhubarbrun::inline v1
