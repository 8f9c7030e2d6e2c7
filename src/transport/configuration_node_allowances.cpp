#include "configuration_node_implementation.hpp"

#include <rhubarbrun/transport/event_log.hpp>

#include <utility>

// Tokens of organisations: the leader's ledger, and reports that pass through
// the other members.

namespace rhubarbrun::inline v1 {

namespace {

/// Reports of several proxies that arrive within this time share a message to
/// the leader, most of which would otherwise be headers between regions.
constexpr auto reports_interval = milliseconds(15);

} // namespace

auto configuration_node::implementation::follow_ledger(time_point now) -> void
{
    if (!ledger_) {
        return;
    }
    // A leader that waits for room on its disk grants nothing, and goes on with
    // the same ledger: proxies hold totals under its number.
    if (!member_->is_leader()) {
        if (ledger_->number() != 0) {
            log_event("allowance_ledger_ended")
                .field("ledger", ledger_->number());
            ledger_->end();
        }
        return;
    }
    const auto elected = member_->status(now).current;
    if (ledger_->number() == elected.value() || !has_lease()) {
        return;
    }
    const auto expired_at = succession_.expired_at(elected);
    ledger_->begin(now, elected.value(), expired_at);
    log_event("allowance_ledger_began")
        .field("ledger", elected)
        .field("waits_ms", expired_at > now ? to_milliseconds(expired_at - now)
                                            : std::int64_t{0});
}

auto configuration_node::implementation::on_allowance_report(
    const link_info& link, const std::string& payload) -> void
{
    if (link.peer.who.role != peer_role::proxy) {
        return;
    }
    if (is_leader()) {
        if (const auto grant = answer_report(payload, link.peer.who.name)) {
            links_.send(link.id, message_type::allowance_grant, encode(*grant));
        }
        return;
    }
    const auto report = decode<allowance_report>(payload);
    if (!report || report->proxy != link.peer.who.name) {
        log_event("allowance_report_malformed", event_severity::warning)
            .field("from", link.peer.who.name);
        return;
    }
    reports_.push_back(payload);
    if (reports_.size() > 1) {
        return;
    }
    reports_timer_.expires_after(reports_interval);
    reports_timer_.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (self && !error && !self->is_stopped_) {
            self->send_allowance_reports();
        }
    });
}

auto configuration_node::implementation::send_allowance_reports() -> void
{
    auto batch = allowance_batch{std::exchange(reports_, {})};
    // A report without an answer is repeated by its proxy.
    if (const auto known = leader(); known && *known != options_.address) {
        links_.send({peer_role::control, *known},
                    message_type::allowance_reports, encode(batch));
    }
}

auto configuration_node::implementation::on_allowance_reports(
    const link_info& link, const std::string& payload) -> void
{
    const auto batch = decode<allowance_batch>(payload);
    if (!batch || link.peer.who.role != peer_role::control) {
        return;
    }
    auto answers = allowance_batch{};
    for (const auto& each : batch->messages) {
        if (const auto grant = answer_report(each, {})) {
            answers.messages.push_back(encode(*grant));
        }
    }
    if (!answers.messages.empty()) {
        links_.send(link.id, message_type::allowance_grants, encode(answers));
    }
}

auto configuration_node::implementation::on_allowance_grants(
    const std::string& payload) -> void
{
    const auto batch = decode<allowance_batch>(payload);
    if (!batch) {
        return;
    }
    for (const auto& each : batch->messages) {
        if (const auto grant = decode<allowance_grant>(each)) {
            links_.send({peer_role::proxy, grant->proxy},
                        message_type::allowance_grant, each);
        }
    }
}

auto configuration_node::implementation::answer_report(
    const std::string& payload, const std::string& sender)
    -> std::optional<allowance_grant>
{
    const auto now = steady_now();
    follow_ledger(now);
    if (!ledger_ || !has_lease()) {
        return std::nullopt;
    }
    const auto report = decode<allowance_report>(payload);
    if (!report || (!sender.empty() && report->proxy != sender)) {
        log_event("allowance_report_malformed", event_severity::warning)
            .field("from", sender);
        return std::nullopt;
    }
    return ledger_->on_report(now, *report);
}

auto configuration_node::implementation::allowance_metrics() const
    -> std::string
{
    if (!ledger_) {
        return {};
    }
    return "rhubarbrun_allowance_tokens_granted_total " +
           std::to_string(ledger_->granted_total()) +
           "\nrhubarbrun_allowance_shortages_total " +
           std::to_string(ledger_->shortages()) + '\n';
}

} // namespace rhubarbrun::inline v1
