#include <rhubarbrun/coordination/silence_detector.hpp>

namespace rhubarbrun::inline v1 {

silence_detector::silence_detector(silence_options options) : options_(options)
{
}

auto silence_detector::on_opened(time_point now, connection_id connection)
    -> void
{
    auto state = connection_state{};
    state.opened = now;
    state.heard = now;
    connections_.insert_or_assign(connection, state);
}

auto silence_detector::on_closed(connection_id connection) -> void
{
    connections_.erase(connection);
}

auto silence_detector::on_sent(connection_id connection, time_point deadline)
    -> void
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second.answer_due = deadline + options_.answer_grace;
    }
}

auto silence_detector::on_progress(time_point now, connection_id connection)
    -> void
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second.heard = now;
    }
}

auto silence_detector::on_answered(time_point now, connection_id connection)
    -> void
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second.heard = now;
        found->second.answer_due.reset();
    }
}

auto silence_detector::on_probe_sent(time_point now, connection_id connection)
    -> void
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second.probe_sent = now;
    }
}

auto silence_detector::on_probe_answered(time_point now,
                                         connection_id connection) -> void
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second.heard = now;
        found->second.probe_sent.reset();
    }
}

auto silence_detector::check(time_point now, connection_id connection) const
    -> connection_check
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return connection_check::replace;
    }
    const auto& state = found->second;
    const auto finding = evaluate(now, state);
    if (finding && *finding != silence_finding::send_probe) {
        return connection_check::replace;
    }
    if (state.probe_sent || state.answer_due) {
        return connection_check::wait;
    }
    return now - state.heard >= options_.probe_before_use_after
               ? connection_check::probe_first
               : connection_check::use;
}

auto silence_detector::evaluate(time_point now,
                                const connection_state& state) const
    -> std::optional<silence_finding>
{
    if (state.answer_due) {
        // A large result may arrive after the deadline. The connection is not
        // silent as long as it receives bytes.
        const auto is_silent = now > *state.answer_due &&
                               now - state.heard >= options_.probe_timeout;
        return is_silent ? std::optional(silence_finding::silent)
                         : std::nullopt;
    }
    if (state.probe_sent) {
        return now - *state.probe_sent >= options_.probe_timeout
                   ? std::optional(silence_finding::silent)
                   : std::nullopt;
    }
    if (now - state.opened >= options_.max_connection_age) {
        return silence_finding::too_old;
    }
    if (now - state.heard >= options_.probe_after) {
        return silence_finding::send_probe;
    }
    return std::nullopt;
}

auto silence_detector::tick(time_point now) -> std::vector<silence_action>
{
    auto actions = std::vector<silence_action>{};
    for (auto next = connections_.begin(); next != connections_.end();) {
        const auto current = next++;
        const auto finding = evaluate(now, current->second);
        if (!finding) {
            continue;
        }
        actions.push_back({current->first, *finding});
        if (*finding != silence_finding::send_probe) {
            connections_.erase(current);
        }
    }
    return actions;
}

} // namespace rhubarbrun::inline v1
