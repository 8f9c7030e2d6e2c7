#include "scenario_proxy.hpp"

#include <algorithm>

// The part of the fake proxy that communicates with control and with other
// proxies.

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

// Timeouts and intervals that correspond to those of control_client.
constexpr auto retry_interval = duration(250ms);
/// The proxy switches to the next control member if one does not register it
/// for this long.
constexpr auto registration_timeout = duration(600ms);
constexpr auto ping_interval = duration(250ms);
constexpr auto link_silence_timeout = duration(1s);
/// Time limit of a connection attempt that another proxy requests.
constexpr auto confirmation_timeout = duration(200ms);

} // namespace

scenario_proxy::scenario_proxy(scenario_network& network, std::string name,
                               std::string zone,
                               std::vector<std::string> members,
                               scenario_proxy_hooks hooks, scenario_fault fault)
    : network_(&network),
      name_(std::move(name)),
      zone_(std::move(zone)),
      members_(std::move(members)),
      hooks_(std::move(hooks)),
      fault_(fault)
{
    make_coordinator();
}

auto scenario_proxy::start() -> void
{
    is_running_ = true;
    self_ = {proxy_id(name_), incarnation(network_->random() | 1U)};
    directory_ = directory{};
    lease_ = std::make_unique<lease_holder>(self_, now());
    announcements_ = std::make_unique<target_announcements>(self_);
    is_registered_ = false;
    links_.clear();
    drain_ = rhubarbrun::drain{};
    drain_actions_ = drain_actions{};
    is_draining_ = false;
    choose_member(network_->random() % members_.size());
}

auto scenario_proxy::stop() -> void
{
    is_running_ = false;
    for (const auto& [id, target] : owned_) {
        target->stop();
    }
    owned_.clear();
    make_coordinator();
    executing_count_ = 0;
}

auto scenario_proxy::tick() -> void
{
    tick_control();
    tick_links();
    // Iterates over a copy, as a tick may deliver a directory that changes the
    // set of owned targets.
    for (const auto& [id, target] : std::map(owned_)) {
        target->tick();
    }
    carry_out(entry_->tick(current_view()));
    if (is_draining_) {
        step_drain();
    }
}

auto scenario_proxy::is_ready() const -> bool
{
    return has_contact() && drain_actions_.is_ready;
}

auto scenario_proxy::has_contact() const -> bool
{
    const auto silence =
        directory_.bundle()
            ? milliseconds(directory_.bundle()->timings.control_silence_ms)
            : duration(3s);
    return is_running_ && directory_.bundle() && is_registered_ &&
           lease_->has_contact(now(), silence);
}

auto scenario_proxy::tick_control() -> void
{
    if (!is_registered_) {
        if (now() - member_since_ >= registration_timeout) {
            choose_member((member_index_ + 1) % members_.size());
        }
        if (now() >= next_registration_) {
            send_registration();
        }
        return;
    }
    if (now() >= next_renewal_) {
        send_renewal();
    }
    send_report();
    if (drain_actions_.hand_over_targets && now() >= next_drain_) {
        next_drain_ = now() + retry_interval;
        send_command(drain_proxy_command{self_}, [](const control_answer&) {});
    }
    // A member that has just registered the proxy is not silent yet: its first
    // answer may still be in flight.
    const auto is_silent = now() - member_since_ >= link_silence_timeout &&
                           !lease_->has_contact(now(), link_silence_timeout);
    if (is_silent) {
        choose_member((member_index_ + 1) % members_.size());
    }
}

auto scenario_proxy::choose_member(std::size_t index) -> void
{
    member_index_ = index;
    member_since_ = now();
    is_registered_ = false;
    next_registration_ = now();
    control_link_ = network_->connect(name_, members_[member_index_]);
}

auto scenario_proxy::send_to_control(
    std::function<void(scenario_control&)> work) -> void
{
    const auto& member = members_[member_index_];
    network_->send(
        control_link_, name_, member,
        [this, member, work = std::move(work)] {
            work(*hooks_.control(member));
        },
        [this] { is_registered_ = false; });
}

auto scenario_proxy::send_command(const control_command& command,
                                  const scenario_control::answer_function& done)
    -> void
{
    const auto link = control_link_;
    const auto member = members_[member_index_];
    send_to_control([=, this](scenario_control& control) {
        control.on_command(command, [=, this](const control_answer& answer) {
            network_->send(link, member, name_, [=, this] {
                if (!answer.is_redirect) {
                    done(answer);
                    return;
                }
                const auto found =
                    std::find(members_.begin(), members_.end(), answer.leader);
                const auto index =
                    static_cast<std::size_t>(found - members_.begin());
                if (found != members_.end() && index != member_index_) {
                    choose_member(index);
                }
            });
        });
    });
}

auto scenario_proxy::send_registration() -> void
{
    next_registration_ = now() + retry_interval;
    auto record = proxy_record{};
    record.identity = self_;
    record.address = "10.0.0.1";
    record.zone = zone_;
    send_command(register_proxy_command{record},
                 [this](const control_answer& answer) {
                     if (answer.result.is_ok() && !is_registered_) {
                         is_registered_ = true;
                         member_since_ = now();
                         pull_directory();
                         send_renewal();
                     }
                 });
}

auto scenario_proxy::send_renewal() -> void
{
    next_renewal_ =
        now() +
        (directory_.bundle()
             ? milliseconds(directory_.bundle()->timings.lease_renewal_ms)
             : duration(300ms));
    const auto request = lease_->make_request(now(), directory_.index());
    const auto member = members_[member_index_];
    network_->send_datagram(name_, member, [=, this] {
        const auto answer = hooks_.control(member)->on_lease_request(request);
        network_->send_datagram(member, name_,
                                [=, this] { on_lease_answer(answer); });
    });
}

auto scenario_proxy::on_lease_answer(const lease_answer& answer) -> void
{
    const auto outcome = lease_->on_grant(now(), answer, directory_.index());
    if (outcome == grant_outcome::refused) {
        if (answer.status != lease_status::reassigning) {
            is_registered_ = false;
            member_since_ = now();
            next_registration_ = now();
        }
        return;
    }
    if (answer.directory_index > directory_.index()) {
        pull_directory();
    }
}

auto scenario_proxy::pull_directory() -> void
{
    if (now() < next_pull_) {
        return;
    }
    next_pull_ = now() + retry_interval;
    const auto since = directory_.index();
    const auto link = control_link_;
    const auto member = members_[member_index_];
    send_to_control([=, this](scenario_control& control) {
        const auto delta = control.delta_since(since);
        network_->send(link, member, name_, [=, this] { on_delta(delta); });
    });
}

auto scenario_proxy::on_delta(const directory_delta& delta) -> void
{
    const auto outcome = directory_.apply(delta);
    if (outcome == delta_outcome::gap) {
        pull_directory();
    }
    if (outcome != delta_outcome::applied) {
        return;
    }
    if (directory_.bundle()) {
        hooks_.on_bundle(name_, directory_.bundle()->version);
        update_targets();
    }
    carry_out(entry_->retry(current_view()));
}

auto scenario_proxy::update_targets() -> void
{
    for (const auto& [id, target] : std::map(owned_)) {
        target->on_directory();
        if (target->is_assignment_over()) {
            target->stop();
            owned_.erase(id);
        }
    }
    for (const auto& id : directory_.targets_owned_by(self_)) {
        if (!owned_.contains(id)) {
            owned_[id] = make_owner(id);
        }
    }
}

auto scenario_proxy::make_owner(const target_id& target)
    -> std::shared_ptr<scenario_owner>
{
    auto hooks = scenario_owner_hooks{};
    hooks.holds_lease = [this] {
        return lease_->holds_at(now());
    };
    hooks.live_others = [this]() -> std::optional<std::size_t> {
        if (fault_ == scenario_fault::trust_silence) {
            return std::nullopt;
        }
        return lease_->live_others();
    };
    hooks.view = [this]() -> const directory& {
        return directory_;
    };
    hooks.server = hooks_.server;
    hooks.ask_confirmation = [this, target](const proxy_id& asked,
                                            const target_id&) {
        confirm(asked, target);
    };
    hooks.propose_primary = [this, target](const set_primary_command& command) {
        send_command(command, [this, target](const control_answer& answer) {
            if (auto* const owner = owner_of(target)) {
                owner->on_proposal_answered(answer.result.is_ok());
            }
        });
    };
    hooks.release = [this](const target_id& released, owner_epoch epoch) {
        send_command(release_target_command{released, self_, epoch},
                     [](const control_answer&) {});
    };
    hooks.may_start_failover = hooks_.may_start_failover;
    hooks.on_acknowledged = hooks_.on_acknowledged;
    return std::make_shared<scenario_owner>(*network_, self_, target,
                                            std::move(hooks), fault_);
}

auto scenario_proxy::owner_of(const target_id& target) -> scenario_owner*
{
    const auto found = owned_.find(target);
    return found == owned_.end() ? nullptr : found->second.get();
}

auto scenario_proxy::confirm(const proxy_id& asked, const target_id& target)
    -> void
{
    const auto& peer = asked.value();
    const auto link = network_->connect(name_, peer);
    network_->send(link, name_, peer, [=, this] {
        const auto& server = target.value();
        const auto probe = network_->connect(peer, server);
        const auto is_answered = std::make_shared<bool>(false);
        const auto answer = [=, this](bool is_reachable) {
            if (std::exchange(*is_answered, true)) {
                return;
            }
            network_->send(link, peer, name_, [=, this] {
                if (auto* const owner = owner_of(target)) {
                    owner->on_confirmation(asked, is_reachable);
                }
            });
        };
        network_->send(
            probe, peer, server,
            [=, this] {
                network_->send(probe, server, peer, [=] { answer(true); });
            },
            [=] { answer(false); });
        network_->schedule_after(peer, confirmation_timeout,
                                 [=] { answer(false); });
    });
}

auto scenario_proxy::send_report() -> void
{
    if (const auto report = announcements_->take_report(now(), directory_)) {
        send_to_control([report = *report](scenario_control& control) {
            control.on_report(report);
        });
    }
}

auto scenario_proxy::on_announcement(const target_announcement& announcement)
    -> void
{
    announcements_->on_announcement(now(), announcement, directory_);
    send_report();
}

auto scenario_proxy::find_link(const std::string& peer) -> link_id
{
    auto& link = links_[peer];
    if (link.connection == 0 || link.is_lost) {
        link = peer_link{network_->connect(name_, peer), 0, now(), false};
    }
    return link_id(link.connection);
}

auto scenario_proxy::tick_links() -> void
{
    auto lost = std::vector<std::pair<std::string, link_id>>{};
    for (auto& [peer, link] : links_) {
        if (link.is_lost) {
            continue;
        }
        const auto number = link.connection;
        if (now() - link.last_heard >= link_silence_timeout) {
            lost.emplace_back(peer, link_id(number));
            continue;
        }
        const auto is_due = (now() - link.last_heard) >= ping_interval;
        if (!is_due) {
            continue;
        }
        const auto hear = [this, peer = peer, number] {
            auto& entry = links_[peer];
            if (entry.connection == number) {
                entry.last_heard = now();
            }
        };
        network_->send(
            number, name_, peer,
            [this, peer = peer, number, hear] {
                network_->send(number, peer, name_, hear);
            },
            [this, peer = peer, number] {
                on_link_down(peer, link_id(number));
            });
    }
    for (const auto& [peer, link] : lost) {
        on_link_down(peer, link);
    }
}

auto scenario_proxy::on_peer_link_lost(link_id link) -> void
{
    for (const auto& [id, target] : owned_) {
        target->on_link_lost(link);
    }
}

auto scenario_proxy::drain() -> void
{
    if (fault_ == scenario_fault::exit_at_once) {
        hooks_.on_exit(name_);
        return;
    }
    is_draining_ = true;
    drain_.on_signal(now());
}

auto scenario_proxy::work_in_flight() const -> std::size_t
{
    auto count = entry_->request_count();
    for (const auto& [id, target] : owned_) {
        count += target->job_count();
    }
    return count;
}

auto scenario_proxy::step_drain() -> void
{
    auto view = drain_view{};
    view.targets = owned_.size();
    const auto entry = entry_->status();
    view.requests_in_flight = entry.in_flight + executing_count_;
    view.sessions = entry.sessions;
    view.sessions_in_transaction = entry.in_transaction;
    drain_actions_ = drain_.step(now(), view);
    auto ended = std::vector<session_id>{};
    if (drain_actions_.close_idle_transactions) {
        ended = entry_->idle_sessions(true);
    }
    if (drain_actions_.close_idle_sessions) {
        const auto idle = entry_->idle_sessions(false);
        ended.insert(ended.end(), idle.begin(), idle.end());
    }
    for (const auto id : ended) {
        close_session(id);
        hooks_.on_session_ended(id);
    }
    if (drain_actions_.exit) {
        hooks_.on_exit(name_);
    }
}

} // namespace rhubarbrun::tests
