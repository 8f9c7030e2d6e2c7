#include "control_node_implementation.hpp"

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Whether a link belongs to the proxy that a message names.
auto is_from(const link_info& link, const proxy_identity& proxy) -> bool
{
    return link.peer.who.role == peer_role::proxy &&
           link.peer.who.name == proxy.id.value() && link.peer.run == proxy.run;
}

/// Calls `handler` with the decoded message; returns whether it is valid.
template <class Message, class Handler>
auto with(const std::string& payload, const Handler& handler) -> bool
{
    const auto message = decode<Message>(payload);
    if (message) {
        handler(*message);
    }
    return message.has_value();
}

} // namespace

auto control_node::implementation::on_message(const link_info& link,
                                              message_type type,
                                              const std::string& payload)
    -> void
{
    const auto is_member = link.peer.who.role == peer_role::control;
    auto is_valid = false;
    if (is_member && type == message_type::consensus) {
        auto message = decode<consensus_message>(payload);
        is_valid = message && message->from.id.value() == link.peer.who.name;
        if (is_valid && !gate_.is_blocked()) {
            member_.step(steady_now(), std::move(*message));
        }
    } else if (is_member && type == message_type::forward_request) {
        is_valid = with<forward_request>(payload, [&](const auto& message) {
            on_forward(link.id, message);
        });
    } else if (is_member && type == message_type::forward_answer) {
        is_valid = with<forward_answer>(
            payload, [&](const auto& message) { on_forward_answer(message); });
    } else if (type == message_type::register_proxy) {
        is_valid = with<register_proxy>(
            payload, [&](const auto& message) { on_register(link, message); });
    } else if (type == message_type::renew_lease) {
        is_valid = with<lease_request>(payload, [&](const auto& message) {
            links_.send(
                link.id, message_type::lease_grant,
                encode_lease_answer(on_lease(link, message), link.version));
        });
    } else if (type == message_type::directory_pull) {
        is_valid = with<directory_pull>(payload, [&](const auto& message) {
            const auto found = subscribers_.find(link.id);
            if (found != subscribers_.end()) {
                found->second.sent = message.known;
                send_delta(found->second);
            }
        });
    } else if (type == message_type::target_report) {
        is_valid = with<announcement_report>(payload, [&](const auto& message) {
            if (!is_leading()) {
                send_redirect(link.id, 0);
            } else if (is_from(link, message.reporter)) {
                coordinator_->on_announcement_report(steady_now(), message);
            }
        });
    } else if (type == message_type::propose_primary) {
        is_valid = with<propose_primary>(payload, [&](const auto& message) {
            on_proxy_command(link, message.request, message.command.claimant,
                             message.command);
        });
    } else if (type == message_type::release_target) {
        is_valid = with<release_target>(payload, [&](const auto& message) {
            on_proxy_command(link, message.request, message.command.owner,
                             message.command);
        });
    } else if (type == message_type::drain_proxy) {
        is_valid = with<drain_proxy>(payload, [&](const auto& message) {
            const auto* const known = state_.find_proxy(message.proxy.id);
            if (is_leading() && is_from(link, message.proxy) &&
                known != nullptr && known->identity == message.proxy &&
                known->is_draining)
            {
                // A proxy repeats this until it owns nothing; the log needs
                // it once.
                answer(link.id, message.request, command_outcome::applied, {});
                return;
            }
            on_proxy_command(link, message.request, message.proxy,
                             drain_proxy_command{message.proxy});
        });
    }
    if (!is_valid) {
        links_.close(link.id, "malformed or unexpected message");
    }
}

auto control_node::implementation::on_link_down(const link_info& link) -> void
{
    subscribers_.erase(link.id);
}

auto control_node::implementation::on_register(const link_info& link,
                                               const register_proxy& message)
    -> void
{
    if (!is_leading()) {
        send_redirect(link.id, message.request);
        return;
    }
    if (!is_from(link, message.proxy.identity)) {
        answer(link.id, message.request, command_outcome::forbidden, {});
        return;
    }
    if (state_.is_superseded(message.proxy.identity)) {
        // Two processes that run under one name must not fill the log.
        auto refusal = command_result{};
        refusal.status = command_status::stale_incarnation;
        answer(link.id, message.request, command_outcome::applied, refusal);
        return;
    }
    const auto* const known = state_.find_proxy(message.proxy.identity.id);
    if (known != nullptr && *known == message.proxy) {
        subscribe(link, message);
        return;
    }
    propose(register_proxy_command{message.proxy},
            [this, link, message](command_outcome outcome,
                                  const command_result& result) {
                if (outcome == command_outcome::applied && result.is_ok()) {
                    subscribe(link, message);
                } else {
                    answer(link.id, message.request, outcome, result);
                }
            });
}

auto control_node::implementation::subscribe(const link_info& link,
                                             const register_proxy& message)
    -> void
{
    if (!links_.send(link.id, message_type::registered,
                     encode(registered{message.request, peer_endpoint.port()})))
    {
        return;
    }
    // A proxy's copy may come from a log that this leader does not hold to
    // the same index; it refuses a delta that would take it back.
    const auto added = subscribers_.insert_or_assign(
        link.id, subscriber{link, message.directory_index});
    send_delta(added.first->second);
}

auto control_node::implementation::on_lease(const link_info& link,
                                            const lease_request& request)
    -> lease_answer
{
    ++lease_requests_;
    const auto now = steady_now();
    auto refused = lease_answer{};
    refused.proxy = request.proxy;
    refused.sent_at_us = request.sent_at_us;
    refused.status = lease_status::not_leading;
    if (!is_leading() || !is_from(link, request.proxy)) {
        return refused;
    }
    if (state_.find_proxy(request.proxy.id) != nullptr) {
        directory_indexes_[request.proxy.id] = request.directory_index;
    }
    return coordinator_->on_lease_request(now, member_.has_leader_lease(now),
                                          request);
}

auto control_node::implementation::on_proxy_command(
    const link_info& link, std::uint64_t request, const proxy_identity& sender,
    const control_command& command) -> void
{
    if (!is_leading()) {
        send_redirect(link.id, request);
    } else if (!is_from(link, sender)) {
        answer(link.id, request, command_outcome::forbidden, {});
    } else {
        propose(command,
                [this, id = link.id, request](command_outcome outcome,
                                              const command_result& result) {
                    answer(id, request, outcome, result);
                });
    }
}

auto control_node::implementation::answer(link_id link, std::uint64_t request,
                                          command_outcome outcome,
                                          const command_result& result) -> void
{
    links_.send(link, message_type::command_answer,
                encode(command_answer{request, outcome, result}));
}

auto control_node::implementation::send_redirect(link_id link,
                                                 std::uint64_t request) -> void
{
    const auto leader = leader_name();
    links_.send(link, message_type::redirect,
                encode(redirect{request, leader.value_or(member_id())}));
}

auto control_node::implementation::leader_name() const
    -> std::optional<member_id>
{
    const auto leader = member_.leader();
    return leader ? std::optional(leader->id) : std::nullopt;
}

auto control_node::implementation::push_deltas() -> void
{
    // Most subscribers hold the same index, so each delta is encoded once.
    auto encoded = std::map<log_index, std::string>();
    for (auto& [id, to] : subscribers_) {
        if (to.sent >= state_.applied()) {
            continue;
        }
        auto& bytes = encoded[to.sent];
        if (bytes.empty()) {
            bytes = encode(state_.delta_since(to.sent));
        }
        if (links_.send(id, message_type::directory_delta, bytes)) {
            to.sent = state_.applied();
        }
    }
}

auto control_node::implementation::send_delta(subscriber& to) -> void
{
    if (links_.send(to.link.id, message_type::directory_delta,
                    encode(state_.delta_since(to.sent))))
    {
        to.sent = state_.applied();
    }
}

} // namespace rhubarbrun::inline v1
