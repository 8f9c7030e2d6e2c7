#include <rhubarbrun/transport/proxy_node.hpp>

#include <rhubarbrun/coordination/cancel_keys.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/target_probe.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

// The owner role of a proxy, and its messages with other proxies.

namespace rhubarbrun::inline v1 {

namespace {

/// Time that another proxy has to confirm whether it reaches a target.
constexpr auto confirmation_timeout = std::chrono::milliseconds(250);
/// Messages kept for a proxy to which no link is established yet.
constexpr auto most_unsent_messages = std::size_t{16};
/// Of them cancel keys, which anybody can make this proxy pass on; the rest is
/// left for confirmations.
constexpr auto most_unsent_cancels = std::ptrdiff_t{8};
/// An older message is not sent any more: a cancel would meet a later
/// statement, and the time for a confirmation is over.
constexpr auto unsent_lifetime = std::chrono::seconds(1);

} // namespace

auto proxy_node::on_directory(const directory_view& view) -> void
{
    auto ended = std::vector<std::shared_ptr<owned_target>>{};
    auto started = std::vector<std::shared_ptr<owned_target>>{};
    {
        const auto lock = std::lock_guard(targets_mutex_);
        const auto& own = view->targets_owned_by(self_);
        std::erase_if(targets_, [&](const auto& item) {
            const auto* const record = view->find_target(item.first);
            const auto is_over =
                !own.contains(item.first) || record->epoch != item.second.epoch;
            if (is_over) {
                ended.push_back(item.second.target);
            }
            return is_over;
        });
        for (const auto& id : own) {
            const auto* const record = view->find_target(id);
            const auto is_usable =
                view->bundle() &&
                view->find_group(record->description.group) != nullptr;
            if (is_usable && !targets_.contains(id)) {
                auto target = make_target(id, view);
                targets_[id] = {record->epoch, target};
                started.push_back(std::move(target));
            }
        }
    }
    for (const auto& target : ended) {
        target->stop();
    }
    for (const auto& target : started) {
        target->start();
    }
    for (const auto& target : all_targets()) {
        target->set_directory(view);
    }
    entry_->on_directory();
}

auto proxy_node::make_target(const target_id& id, const directory_view& view)
    -> std::shared_ptr<owned_target>
{
    auto options = owned_target_options{};
    options.self = self_;
    options.id = id;
    options.credentials = settings_.credentials;
    auto hooks = owned_target_hooks{};
    hooks.now = steady_now;
    hooks.random = random_;
    hooks.holds_lease = [this] {
        return control_->holds_lease();
    };
    hooks.live_others = [this] {
        return control_->live_others();
    };
    hooks.ask_confirmation = [this](const proxy_id& proxy,
                                    const target_description& target) {
        ask_confirmation(proxy, target);
    };
    hooks.propose_primary = [this, id](const group_id& group, term expected,
                                       const target_id& candidate,
                                       owner_epoch epoch,
                                       std::uint32_t timeline) {
        propose_primary(group, expected, candidate, id, epoch, timeline);
    };
    hooks.release = [this](const target_id& target, owner_epoch epoch) {
        release_target(target, epoch);
    };
    return std::make_shared<owned_target>(context_, std::move(options),
                                          std::move(hooks), view);
}

auto proxy_node::find_target(const target_id& id) const
    -> std::shared_ptr<owned_target>
{
    const auto lock = std::lock_guard(targets_mutex_);
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : found->second.target;
}

auto proxy_node::all_targets() const
    -> std::vector<std::shared_ptr<owned_target>>
{
    auto result = std::vector<std::shared_ptr<owned_target>>{};
    const auto lock = std::lock_guard(targets_mutex_);
    for (const auto& [id, item] : targets_) {
        result.push_back(item.target);
    }
    return result;
}

auto proxy_node::find_link(const proxy_id& proxy) -> std::optional<link_id>
{
    const auto name = peer_name{peer_role::proxy, proxy.value()};
    if (const auto link = links_->use(name)) {
        return link;
    }
    const auto view = control_->view();
    const auto* const record = view->find_proxy(proxy);
    if (record == nullptr) {
        return std::nullopt;
    }
    auto ignored = error_code{};
    const auto address = asio::ip::make_address(record->address, ignored);
    if (!ignored) {
        links_->connect(name, {address, record->tcp_port});
    }
    return std::nullopt;
}

auto proxy_node::send_when_linked(const proxy_id& proxy, message_type type,
                                  std::string payload) -> void
{
    if (const auto link = find_link(proxy)) {
        links_->send(*link, type, payload);
        return;
    }
    const auto now = steady_now();
    {
        const auto lock = std::lock_guard(links_mutex_);
        auto& waiting = unsent_[proxy];
        std::erase_if(waiting, [&](const unsent_message& message) {
            return now - message.queued_at >= unsent_lifetime;
        });
        const auto cancels = std::count_if(
            waiting.begin(), waiting.end(), [](const unsent_message& message) {
                return message.type == message_type::forward_cancel;
            });
        const auto is_full = waiting.size() >= most_unsent_messages ||
                             (type == message_type::forward_cancel &&
                              cancels >= most_unsent_cancels);
        if (!is_full) {
            waiting.push_back({type, std::move(payload), now});
        }
    }
    // The link may have come up since it was looked up.
    if (const auto opened = find_link(proxy)) {
        send_unsent(proxy, *opened);
    }
}

auto proxy_node::send_unsent(const proxy_id& proxy, link_id link) -> void
{
    auto waiting = std::vector<unsent_message>{};
    {
        const auto lock = std::lock_guard(links_mutex_);
        waiting = std::exchange(unsent_[proxy], {});
    }
    const auto now = steady_now();
    for (const auto& message : waiting) {
        if (now - message.queued_at < unsent_lifetime) {
            links_->send(link, message.type, message.payload);
        }
    }
}

auto proxy_node::send_request(link_id link, const execute_request& message)
    -> bool
{
    {
        const auto lock = std::lock_guard(links_mutex_);
        entry_work_.on_request({link, message.session}, message.id);
    }
    if (links_->send(link, message_type::execute, encode(message))) {
        return true;
    }
    const auto lock = std::lock_guard(links_mutex_);
    entry_work_.on_link_lost(link);
    return false;
}

auto proxy_node::send_cancel(link_id link, const cancel_request& message)
    -> bool
{
    if (message.id == request_id(0)) {
        const auto lock = std::lock_guard(links_mutex_);
        entry_work_.on_session_ended({link, message.session});
    }
    return links_->send(link, message_type::cancel, encode(message));
}

auto proxy_node::is_busy(const link_info& link) -> bool
{
    const auto lock = std::lock_guard(links_mutex_);
    return entry_work_.is_busy(link.id) || owner_work_.is_busy(link.id);
}

auto proxy_node::on_link_up(const link_info& link) -> void
{
    if (link.peer.who.role == peer_role::control) {
        control_->on_link_up(link);
        return;
    }
    send_unsent(proxy_id(link.peer.who.name), link.id);
    entry_->on_link_up();
}

auto proxy_node::on_link_down(const link_info& link) -> void
{
    if (link.peer.who.role == peer_role::control) {
        control_->on_link_down(link);
        return;
    }
    {
        const auto lock = std::lock_guard(links_mutex_);
        entry_work_.on_link_lost(link.id);
        owner_work_.on_link_lost(link.id);
    }
    for (const auto& target : all_targets()) {
        target->on_link_lost(link.id);
    }
    entry_->on_link_down(link.id);
}

auto proxy_node::on_message(const link_info& link, message_type type,
                            std::string payload) -> void
{
    if (link.peer.who.role == peer_role::control) {
        control_->on_message(link, type, std::move(payload));
        return;
    }
    const auto with = [&]<class Message>(auto handler, const Message*) {
        if (auto message = decode<Message>(payload)) {
            handler(std::move(*message));
        } else {
            links_->close(link.id, "malformed message");
        }
    };
    switch (type) {
    case message_type::execute:
        with(
            [&](execute_request message) {
                on_execute(link, std::move(message));
            },
            static_cast<const execute_request*>(nullptr));
        break;
    case message_type::execute_reply:
        with(
            [&](execute_reply message) {
                {
                    const auto lock = std::lock_guard(links_mutex_);
                    entry_work_.on_answer(
                        link.id, message.id, message.error.has_value(),
                        message.status != transaction_status::idle);
                }
                entry_->on_reply(link.id, std::move(message));
            },
            static_cast<const execute_reply*>(nullptr));
        break;
    case message_type::cancel:
        with(
            [&](const cancel_request& message) {
                if (message.id == request_id(0)) {
                    const auto lock = std::lock_guard(links_mutex_);
                    owner_work_.on_session_ended({link.id, message.session});
                }
                for (const auto& target : all_targets()) {
                    target->cancel(message, link.id);
                }
            },
            static_cast<const cancel_request*>(nullptr));
        break;
    case message_type::forward_cancel:
        with([&](const forward_cancel& message) { on_forward_cancel(message); },
             static_cast<const forward_cancel*>(nullptr));
        break;
    case message_type::position_query:
        with(
            [&](const position_query& message) {
                on_position_query(link, message);
            },
            static_cast<const position_query*>(nullptr));
        break;
    case message_type::position_answer:
        with(
            [&](const position_answer& message) {
                entry_->on_position(message);
            },
            static_cast<const position_answer*>(nullptr));
        break;
    case message_type::confirm_target:
        with(
            [&](const confirm_target& message) {
                on_confirm_target(link, message);
            },
            static_cast<const confirm_target*>(nullptr));
        break;
    case message_type::confirm_target_answer:
        with(
            [&](const confirm_target_answer& message) {
                if (const auto target = find_target(message.target)) {
                    target->on_confirmation(proxy_id(link.peer.who.name),
                                            message.status.has_value());
                }
            },
            static_cast<const confirm_target_answer*>(nullptr));
        break;
    default:
        links_->close(link.id, "unexpected message");
        break;
    }
}

auto proxy_node::pass_on_cancel(const backend_key& key) -> void
{
    const auto view = control_->view();
    const auto message = encode(forward_cancel{key.process, key.secret});
    for (const auto& proxy : cancel_key_holders(*view, self_.id, key.process)) {
        send_when_linked(proxy, message_type::forward_cancel, message);
    }
}

auto proxy_node::on_forward_cancel(const forward_cancel& message) -> void
{
    const auto session =
        callers_->find_session({message.process, message.secret});
    if (session) {
        entry_->on_cancel(*session);
    }
}

auto proxy_node::on_execute(const link_info& link, execute_request request)
    -> void
{
    const auto answer = [this, id = link.id](const execute_reply& reply) {
        links_->send(id, message_type::execute_reply, encode(reply));
    };
    const auto target = find_target(request.target);
    if (!target) {
        answer(not_owned_reply(request.id));
        return;
    }
    ++executing_;
    {
        const auto lock = std::lock_guard(links_mutex_);
        owner_work_.on_request({link.id, request.session}, request.id);
    }
    target->submit(std::move(request), link.id,
                   [this, answer, id = link.id](const execute_reply& reply) {
                       --executing_;
                       answer(reply);
                       const auto lock = std::lock_guard(links_mutex_);
                       owner_work_.on_answer(
                           id, reply.id, reply.error.has_value(),
                           reply.status != transaction_status::idle);
                   });
}

auto proxy_node::on_position_query(const link_info& link,
                                   const position_query& query) -> void
{
    const auto answer = [this, id = link.id,
                         request = query.id](position_answer message) {
        message.id = request;
        links_->send(id, message_type::position_answer, encode(message));
    };
    if (const auto target = find_target(query.target)) {
        target->query(answer);
        return;
    }
    auto unknown = position_answer{};
    unknown.target = query.target;
    answer(std::move(unknown));
}

auto proxy_node::on_confirm_target(const link_info& link,
                                   const confirm_target& request) -> void
{
    const auto view = control_->view();
    const auto* const record = view->find_target(request.target);
    auto options = target_connection_options{};
    options.address = request.address;
    options.port = request.port;
    options.database = request.database;
    options.user = settings_.credentials.user;
    options.password = settings_.credentials.password;
    options.application_name = target_application_name(
        self_.id, record == nullptr ? owner_epoch(0) : record->epoch);
    const auto limit = std::min<duration>(duration(request.time_left_us),
                                          confirmation_timeout);
    probe_target(asio::make_strand(context_), std::move(options), limit,
                 [this, id = link.id, request](const auto& state) {
                     auto answer = confirm_target_answer{};
                     answer.request = request.request;
                     answer.target = request.target;
                     if (state) {
                         answer.status =
                             server_status{state->is_in_recovery,
                                           state->timeline, state->received};
                     }
                     links_->send(id, message_type::confirm_target_answer,
                                  encode(answer));
                 });
}

auto proxy_node::ask_confirmation(const proxy_id& proxy,
                                  const target_description& target) -> void
{
    const auto view = control_->view();
    const auto* const group = view->find_group(target.group);
    if (group == nullptr) {
        return;
    }
    auto request = confirm_target{};
    request.target = target.id;
    request.address = target.address;
    request.port = target.port;
    request.database = group->config.database;
    request.time_left_us = duration(confirmation_timeout).count();
    send_when_linked(proxy, message_type::confirm_target, encode(request));
}

auto proxy_node::propose_primary(const group_id& group, term expected,
                                 const target_id& candidate,
                                 const target_id& claimed_by, owner_epoch epoch,
                                 std::uint32_t timeline) -> void
{
    auto command = set_primary_command{};
    command.group = group;
    command.expected_term = expected;
    command.primary = candidate;
    command.claimant = self_;
    command.claimant_epoch = epoch;
    command.first_term = term(timeline);
    control_->propose(
        command, [this, claimed_by](const command_answer& answer) {
            const auto target = find_target(claimed_by);
            if (!target || answer.outcome != command_outcome::applied) {
                return;
            }
            target->on_proposal_answered(answer.result.status ==
                                         command_status::ok);
        });
}

auto proxy_node::release_target(const target_id& target, owner_epoch epoch)
    -> void
{
    control_->release({target, self_, epoch}, [](const command_answer&) {});
}

} // namespace rhubarbrun::inline v1
