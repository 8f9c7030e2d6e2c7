#include "scenario_control.hpp"

#include <algorithm>

namespace rhubarbrun::tests {

namespace {

/// Log entries between two snapshots; low, so that a scenario takes several.
constexpr auto snapshot_interval = std::uint64_t{200};

} // namespace

scenario_control::scenario_control(scenario_network& network, std::string name,
                                   std::vector<member_id> names,
                                   hooks_type hooks)
    : network_(&network),
      name_(std::move(name)),
      member_ids_(std::move(names)),
      hooks_(std::move(hooks)),
      identity_{member_id(name_), incarnation(network.random() | 1U)}
{
}

auto scenario_control::start() -> void
{
    auto options = consensus_options{};
    options.members = member_ids_;
    options.is_founding = true;
    options.retained_entries = 50;
    state_ = control_state{};
    if (disk_.snapshot) {
        state_ = control_state::load(disk_.snapshot->data);
    }
    compacted_index_ = state_.applied();
    coordinator_ = std::make_unique<control_coordinator>(state_);
    waiting_.clear();
    pushed_index_.clear();
    member_ = std::make_unique<consensus_member>(
        identity_, options, [this] { return network_->random(); }, disk_,
        network_->now());
}

auto scenario_control::stop() -> void
{
    member_.reset();
    coordinator_.reset();
    waiting_.clear();
}

auto scenario_control::wipe() -> void
{
    disk_ = {};
    identity_.instance = incarnation(network_->random() | 1U);
}

auto scenario_control::status() -> consensus_status
{
    return member_->status(network_->now());
}

auto scenario_control::is_leading() -> bool
{
    return is_running() && coordinator_->is_leading() && member_->is_leader();
}

auto scenario_control::tick() -> void
{
    const auto now = network_->now();
    if (now >= member_->next_tick()) {
        member_->tick(now);
    }
    drain();
    if (!member_->is_leader()) {
        if (coordinator_->is_leading()) {
            coordinator_->stop_leading();
        }
        for (const auto& [index, command] : std::exchange(waiting_, {})) {
            redirect(command.answer);
        }
        return;
    }
    const auto due = coordinator_->next_due();
    if (due && *due <= now) {
        for (const auto& command : coordinator_->tick(now)) {
            static_cast<void>(member_->propose(now, encode_command(command)));
        }
        drain();
    }
}

auto scenario_control::on_message(const consensus_message& message) -> void
{
    member_->step(network_->now(), message);
    drain();
}

auto scenario_control::drain() -> void
{
    while (member_->has_ready()) {
        const auto ready = member_->take_ready();
        persist(ready);
        member_->on_persisted(ready.number);
        for (const auto& message : ready.messages) {
            hooks_.send(message);
        }
        if (ready.is_restore) {
            state_ = control_state::load(ready.snapshot->data);
            compacted_index_ = state_.applied();
        }
        for (const auto& entry : ready.committed) {
            apply(entry);
        }
        if (!ready.committed.empty() && member_->is_leader()) {
            push_changes();
        }
    }
    const auto is_due = state_.applied().value() >=
                        compacted_index_.value() + snapshot_interval;
    if (is_due) {
        compacted_index_ = state_.applied();
        member_->compact(compacted_index_, state_.save());
        drain();
    }
}

auto scenario_control::persist(const consensus_ready& ready) -> void
{
    if (ready.snapshot) {
        disk_.snapshot = ready.snapshot;
        std::erase_if(disk_.entries, [&](const auto& entry) {
            return ready.is_restore ||
                   entry.index <= ready.snapshot->metadata.index;
        });
    }
    if (ready.state) {
        disk_.state = *ready.state;
    }
    for (const auto& entry : ready.entries) {
        while (!disk_.entries.empty() &&
               disk_.entries.back().index >= entry.index) {
            disk_.entries.pop_back();
        }
        disk_.entries.push_back(entry);
    }
}

auto scenario_control::apply(const log_entry& entry) -> void
{
    const auto now = network_->now();
    if (entry.kind != entry_kind::command) {
        state_.skip(entry.index);
        const auto is_own = member_->is_leader() &&
                            entry.kind == entry_kind::no_operation &&
                            entry.elected == status().current;
        if (is_own) {
            pushed_index_.clear();
            coordinator_->start_leading(now);
        }
        return;
    }
    const auto command = decode_command(entry.command);
    const auto result = state_.apply(entry.index, command);
    coordinator_->on_applied(now, command, result);
    hooks_.on_applied(entry.index, command);
    const auto [first, last] = waiting_.equal_range(entry.index);
    for (auto place = first; place != last; ++place) {
        if (place->second.elected == entry.elected) {
            place->second.answer({false, name_, result});
        }
    }
    waiting_.erase(first, last);
}

auto scenario_control::push_changes() -> void
{
    for (const auto& [id, proxy] : state_.proxies()) {
        auto& sent = pushed_index_[id];
        const auto delta = state_.delta_since(sent);
        sent = state_.applied();
        hooks_.push(id, delta);
    }
}

auto scenario_control::redirect(const answer_function& answer) -> void
{
    const auto leader = member_->leader();
    answer({true, leader ? leader->id.value() : std::string{}, {}});
}

auto scenario_control::on_lease_request(const lease_request& request)
    -> lease_answer
{
    const auto now = network_->now();
    auto refusal = lease_answer{};
    refusal.proxy = request.proxy;
    refusal.sent_at_us = request.sent_at_us;
    if (!is_leading()) {
        return refusal;
    }
    return coordinator_->on_lease_request(now, member_->has_leader_lease(now),
                                          request);
}

auto scenario_control::on_report(const announcement_report& report) -> void
{
    if (is_leading()) {
        coordinator_->on_announcement_report(network_->now(), report);
    }
}

auto scenario_control::on_command(const control_command& command,
                                  answer_function answer) -> void
{
    if (!is_leading()) {
        redirect(answer);
        return;
    }
    const auto placed =
        member_->propose(network_->now(), encode_command(command));
    if (const auto* const where = std::get_if<proposal>(&placed)) {
        waiting_.emplace(where->index,
                         waiting_command{where->elected, std::move(answer)});
        drain();
    } else {
        redirect(answer);
    }
}

} // namespace rhubarbrun::tests
