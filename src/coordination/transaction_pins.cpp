#include <rhubarbrun/coordination/transaction_pins.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

auto disposition_after(bool is_answer_complete, transaction_status status,
                       bool has_session_state) noexcept
    -> connection_disposition
{
    const auto is_clean = is_answer_complete &&
                          status == transaction_status::idle &&
                          !has_session_state;
    return is_clean ? connection_disposition::reuse
                    : connection_disposition::close;
}

auto transaction_pins::pin(time_point now, entry_session session,
                           connection_id connection) -> std::optional<pin_id>
{
    if (by_session_.contains(session) || by_connection_.contains(connection)) {
        return std::nullopt;
    }
    last_pin_ = last_pin_.next();
    auto entry = transaction_pin{};
    entry.pin = last_pin_;
    entry.connection = connection;
    entry.session = session;
    entry.idle_since = now;
    pins_.emplace(last_pin_, entry);
    by_session_.emplace(session, last_pin_);
    by_connection_.emplace(connection, last_pin_);
    return last_pin_;
}

auto transaction_pins::find(entry_session session) const
    -> std::optional<transaction_pin>
{
    const auto found = by_session_.find(session);
    if (found == by_session_.end()) {
        return std::nullopt;
    }
    return pins_.at(found->second);
}

auto transaction_pins::on_sent(pin_id pin) -> bool
{
    const auto found = pins_.find(pin);
    if (found == pins_.end() || found->second.in_flight > 0) {
        return false;
    }
    ++found->second.in_flight;
    return true;
}

auto transaction_pins::on_session_state(pin_id pin) -> void
{
    const auto found = pins_.find(pin);
    if (found != pins_.end()) {
        found->second.has_session_state = true;
    }
}

auto transaction_pins::on_answered(time_point now, pin_id pin,
                                   transaction_status status)
    -> std::optional<released_connection>
{
    const auto found = pins_.find(pin);
    if (found == pins_.end()) {
        return std::nullopt;
    }
    auto& entry = found->second;
    if (entry.in_flight == 0) {
        // An answer without a statement: the protocol state of the connection
        // is out of sync.
        return release(found, connection_disposition::close);
    }
    --entry.in_flight;
    entry.status = status;
    entry.idle_since = now;
    if (status != transaction_status::idle) {
        return std::nullopt;
    }
    return release(found,
                   disposition_after(true, status, entry.has_session_state));
}

auto transaction_pins::on_session_lost(entry_session session)
    -> std::optional<released_connection>
{
    const auto found = by_session_.find(session);
    if (found == by_session_.end()) {
        return std::nullopt;
    }
    return release(pins_.find(found->second), connection_disposition::close);
}

auto transaction_pins::on_link_lost(link_id link)
    -> std::vector<released_connection>
{
    auto result = std::vector<released_connection>{};
    auto next = by_session_.lower_bound({link, session_id(0)});
    while (next != by_session_.end() && next->first.link == link) {
        const auto pin = pins_.find(next->second);
        ++next;
        result.push_back(release(pin, connection_disposition::close));
    }
    return result;
}

auto transaction_pins::on_connection_lost(connection_id connection)
    -> std::optional<released_connection>
{
    const auto found = by_connection_.find(connection);
    if (found == by_connection_.end()) {
        return std::nullopt;
    }
    return release(pins_.find(found->second), connection_disposition::close);
}

auto transaction_pins::expire(time_point now, duration idle_limit)
    -> std::vector<released_connection>
{
    auto result = std::vector<released_connection>{};
    for (auto next = pins_.begin(); next != pins_.end();) {
        const auto current = next++;
        if (current->second.in_flight == 0 &&
            now - current->second.idle_since >= idle_limit)
        {
            result.push_back(release(current, connection_disposition::close));
        }
    }
    return result;
}

auto transaction_pins::size() const noexcept -> std::size_t
{
    return pins_.size();
}

auto transaction_pins::release(pin_map::iterator entry,
                               connection_disposition disposition)
    -> released_connection
{
    const auto& pin = entry->second;
    const auto result =
        released_connection{pin.pin, pin.connection, pin.session, disposition};
    by_session_.erase(pin.session);
    by_connection_.erase(pin.connection);
    pins_.erase(entry);
    return result;
}

} // namespace rhubarbrun::inline v1
