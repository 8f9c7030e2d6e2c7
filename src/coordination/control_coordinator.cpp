#include <rhubarbrun/coordination/control_coordinator.hpp>

#include <algorithm>
#include <variant>

namespace rhubarbrun::inline v1 {

namespace {

auto earliest(std::optional<time_point> left, std::optional<time_point> right)
    -> std::optional<time_point>
{
    if (left && right) {
        return std::min(*left, *right);
    }
    return left ? left : right;
}

/// Returns the target that a command names, if there is one.
auto assigned_target(const control_command& command) -> const target_id*
{
    return std::visit(
        [](const auto& specific) -> const target_id* {
            if constexpr (requires { specific.target; }) {
                return &specific.target;
            } else {
                return nullptr;
            }
        },
        command);
}

} // namespace

control_coordinator::control_coordinator(const control_state& state,
                                         coordinator_options options)
    : state_(&state), options_(options), plan_(options.ownership)
{
}

auto control_coordinator::start_leading(time_point now) -> void
{
    stop_leading();
    auto holders = std::set<proxy_identity>();
    for (const auto& [id, proxy] : state_->proxies()) {
        holders.insert(proxy.identity);
    }
    for (const auto& [id, record] : state_->targets()) {
        if (record.owner) {
            holders.insert(*record.owner);
        }
    }
    leases_.start_leading(now, state_->longest_granted_lease(),
                          {holders.begin(), holders.end()}, state_->applied());
    liveness_.start_leading(now, *state_);
    last_seen_index_ = state_->applied();
    placement_allowed_at_ = now + options_.placement_delay;
    next_rebalance_at_ = now + options_.rebalance_delay;
    // Proxies that own no target may have crashed, so they are added only when
    // they renew their lease.
    for (const auto& [id, proxy] : state_->proxies()) {
        if (!state_->targets_held_by(id).empty()) {
            add_to_plan(now, proxy);
        }
    }
    for (const auto& [id, record] : state_->targets()) {
        sync_target(id);
        schedule(id, now);
    }
}

auto control_coordinator::stop_leading() -> void
{
    leases_.stop_leading();
    liveness_.stop_leading();
    plan_ = ownership(options_.ownership);
    due_.clear();
    due_at_.clear();
    unplaced_.clear();
    blocked_.clear();
    absent_.clear();
}

auto control_coordinator::lease_length() const -> duration
{
    const auto& header = state_->bundle_in_force();
    const auto timings = header ? header->timings : bundle_timings{};
    return std::chrono::milliseconds(timings.lease_ms);
}

auto control_coordinator::add_to_plan(time_point now, const proxy_record& proxy)
    -> void
{
    plan_.add_proxy(now, proxy.identity, proxy.zone);
    if (proxy.is_draining) {
        plan_.drain_proxy(proxy.identity.id);
    }
}

auto control_coordinator::on_lease_request(time_point now,
                                           bool has_leader_lease,
                                           const lease_request& request)
    -> lease_answer
{
    auto answer =
        leases_.renew(now, lease_length(),
                      has_leader_lease && !state_->is_superseded(request.proxy),
                      request, state_->applied());
    if (state_->is_superseded(request.proxy)) {
        answer.status = lease_status::superseded;
    }
    if (answer.status != lease_status::granted) {
        return answer;
    }
    const auto* const proxy = state_->find_proxy(request.proxy.id);
    if (proxy != nullptr && !plan_.is_member(request.proxy)) {
        std::erase_if(absent_, [&](const auto& entry) {
            return entry.second == request.proxy;
        });
        add_to_plan(now, *proxy);
        schedule_unplaced(now);
    }
    return answer;
}

auto control_coordinator::on_announcement_report(
    time_point now, const announcement_report& report) -> void
{
    if (is_leading()) {
        liveness_.on_report(now, report, *state_);
    }
}

auto control_coordinator::on_applied(time_point now,
                                     const control_command& command,
                                     const command_result& result) -> void
{
    if (!is_leading()) {
        return;
    }
    if (const auto* const removal = std::get_if<remove_proxy_command>(&command);
        removal != nullptr && result.is_ok())
    {
        leases_.remove(removal->proxy);
        plan_.remove_proxy(now, removal->proxy.id);
    }
    on_changes(now);
    if (const auto* const release =
            std::get_if<release_target_command>(&command);
        release != nullptr && result.is_ok())
    {
        on_released(now, *release);
    }
    if (const auto* const target = assigned_target(command);
        target != nullptr && !result.is_ok())
    {
        schedule(*target, now);
    }
    settle_proxies_without_targets();
}

auto control_coordinator::on_changes(time_point now) -> void
{
    const auto delta = state_->delta_since(last_seen_index_);
    last_seen_index_ = state_->applied();
    for (const auto& proxy : delta.proxies) {
        on_proxy_changed(now, proxy);
    }
    for (const auto& id : delta.removed_targets) {
        plan_.remove_target(id);
        unplaced_.erase(id);
    }
    for (const auto& record : delta.targets) {
        sync_target(record.description.id);
        schedule(record.description.id, now);
    }
    for (const auto& group : delta.groups) {
        // A primary needs an owner even if it is gone.
        if (group.primary) {
            sync_target(group.primary->target);
            schedule(group.primary->target, now);
        }
    }
}

auto control_coordinator::on_proxy_changed(time_point now,
                                           const proxy_record& proxy) -> void
{
    leases_.admit(now, lease_length(), proxy.identity, state_->applied());
    if (leases_.is_live(proxy.identity)) {
        add_to_plan(now, proxy);
        schedule_unplaced(now);
    }
    for (const auto& target : state_->targets_held_by(proxy.identity.id)) {
        schedule(target, now);
    }
}

auto control_coordinator::on_released(time_point now,
                                      const release_target_command& command)
    -> void
{
    const auto* const record = state_->find_target(command.target);
    if (record != nullptr && !record->owner) {
        plan_.exclude(command.target, command.owner.id,
                      now + options_.exclusion_time);
    }
}

auto control_coordinator::on_expired(time_point now,
                                     const proxy_identity& proxy) -> void
{
    if (plan_.is_member(proxy)) {
        plan_.remove_proxy(now, proxy.id);
    }
    for (const auto& target : state_->targets_held_by(proxy.id)) {
        schedule(target, now);
    }
    blocked_.insert(proxy);
    if (!state_->is_superseded(proxy)) {
        absent_.emplace(now + options_.absent_proxy_ttl, proxy);
    }
}

auto control_coordinator::holds_target(const proxy_identity& proxy) const
    -> bool
{
    const auto& held = state_->targets_held_by(proxy.id);
    return std::any_of(held.begin(), held.end(), [&](const auto& id) {
        const auto* const record = state_->find_target(id);
        return record->owner == proxy || record->next_owner == proxy;
    });
}

auto control_coordinator::settle_proxies_without_targets() -> void
{
    for (auto proxy = blocked_.begin(); proxy != blocked_.end();) {
        if (holds_target(*proxy)) {
            ++proxy;
            continue;
        }
        if (state_->is_superseded(*proxy)) {
            leases_.remove(*proxy);
        } else {
            leases_.settle(*proxy, state_->applied());
        }
        proxy = blocked_.erase(proxy);
    }
}

auto control_coordinator::needs_owner(const target_record& record) const -> bool
{
    if (record.presence != target_presence::gone) {
        return true;
    }
    // A primary that is gone needs an owner, which carries out the failover.
    const auto* const group = state_->find_group(record.description.group);
    return group != nullptr && group->primary &&
           group->primary->target == record.description.id;
}

auto control_coordinator::is_usable(
    const std::optional<proxy_identity>& proxy) const -> bool
{
    if (!proxy || !leases_.is_live(*proxy)) {
        return false;
    }
    const auto* const record = state_->find_proxy(proxy->id);
    return record != nullptr && record->identity == *proxy &&
           !record->is_draining;
}

auto control_coordinator::sync_target(const target_id& target) -> void
{
    const auto* const record = state_->find_target(target);
    if (record == nullptr || (!record->owner && !needs_owner(*record))) {
        plan_.remove_target(target);
        return;
    }
    plan_.put_target(target, record->description.group,
                     record->description.zone);
    plan_.set_owner(target, is_usable(record->next_owner) ? record->next_owner
                                                          : record->owner);
}

auto control_coordinator::schedule(const target_id& target, time_point due)
    -> void
{
    const auto [place, is_new] = due_at_.try_emplace(target, due);
    if (!is_new) {
        due_.erase({place->second, target});
        place->second = due;
    }
    due_.emplace(due, target);
}

auto control_coordinator::schedule_unplaced(time_point now) -> void
{
    for (const auto& target : std::exchange(unplaced_, {})) {
        schedule(target, now);
    }
}

auto control_coordinator::place(time_point now, const target_id& target)
    -> std::optional<proxy_identity>
{
    auto chosen = plan_.place(now, target);
    if (!is_usable(chosen)) {
        unplaced_.insert(target);
        return std::nullopt;
    }
    return chosen;
}

auto control_coordinator::evaluate(time_point now, const target_id& target)
    -> std::optional<control_command>
{
    ++evaluations_;
    const auto* const record = state_->find_target(target);
    if (record == nullptr) {
        return std::nullopt;
    }
    if (!record->owner) {
        return evaluate_unowned(now, *record);
    }
    if (!leases_.is_live(*record->owner)) {
        return evaluate_expired(now, *record);
    }
    return evaluate_owned(now, *record);
}

auto control_coordinator::evaluate_unowned(time_point now,
                                           const target_record& record)
    -> std::optional<control_command>
{
    const auto& id = record.description.id;
    if (!needs_owner(record)) {
        return std::nullopt;
    }
    if (now < placement_allowed_at_) {
        schedule(id, placement_allowed_at_);
        return std::nullopt;
    }
    const auto chosen = place(now, id);
    if (!chosen) {
        return std::nullopt;
    }
    return assign_target_command{id, record.epoch, chosen};
}

auto control_coordinator::evaluate_expired(time_point now,
                                           const target_record& record)
    -> std::optional<control_command>
{
    const auto& id = record.description.id;
    // The owner must not be granted a lease before the command is applied.
    leases_.block(*record.owner);
    blocked_.insert(*record.owner);
    auto next = std::optional<proxy_identity>();
    if (is_usable(record.next_owner)) {
        next = record.next_owner;
    } else if (needs_owner(record)) {
        next = place(now, id);
    }
    return assign_target_command{id, record.epoch, next};
}

auto control_coordinator::evaluate_owned(time_point now,
                                         const target_record& record)
    -> std::optional<control_command>
{
    const auto& id = record.description.id;
    // The owner releases a target that is gone without a command. A superseded
    // incarnation cannot renew its lease, so the lease expires soon.
    if (!needs_owner(record) || state_->is_superseded(*record.owner) ||
        is_usable(record.next_owner))
    {
        return std::nullopt;
    }
    auto next = place(now, id);
    if (next == record.owner) {
        next.reset();
    }
    if (next == record.next_owner) {
        return std::nullopt;
    }
    return begin_handover_command{id, record.epoch, next};
}

auto control_coordinator::schedule_moves(time_point now) -> void
{
    const auto hold_down_end = plan_.next_hold_down_end();
    if (now < next_rebalance_at_ ||
        (!plan_.has_changed() && (!hold_down_end || *hold_down_end > now)))
    {
        return;
    }
    for (const auto& move :
         plan_.plan_moves(now, options_.max_moves_per_interval)) {
        schedule(move.target, now);
    }
    next_rebalance_at_ = now + options_.move_interval;
}

auto control_coordinator::evaluate_due(time_point now,
                                       std::vector<control_command>& out)
    -> void
{
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto target = due_.begin()->second;
        due_.erase(due_.begin());
        due_at_.erase(target);
        if (auto command = evaluate(now, target)) {
            out.push_back(std::move(*command));
            schedule(target, now + options_.retry_interval);
        }
    }
}

auto control_coordinator::remove_absent_proxies(
    time_point now, std::vector<control_command>& out) -> void
{
    while (!absent_.empty() && absent_.begin()->first <= now) {
        const auto proxy = absent_.begin()->second;
        absent_.erase(absent_.begin());
        ++evaluations_;
        const auto* const record = state_->find_proxy(proxy.id);
        if (record == nullptr || record->identity != proxy ||
            leases_.is_live(proxy)) {
            continue;
        }
        out.emplace_back(remove_proxy_command{proxy});
        absent_.emplace(now + options_.retry_interval, proxy);
    }
}

auto control_coordinator::tick(time_point now) -> std::vector<control_command>
{
    auto commands = std::vector<control_command>();
    if (!is_leading()) {
        return commands;
    }
    const auto expired = leases_.take_expired(now);
    for (const auto& proxy : expired) {
        on_expired(now, proxy);
    }
    if (!expired.empty()) {
        settle_proxies_without_targets();
    }
    auto changes = liveness_.take_changes(now, *state_);
    if (!changes.empty()) {
        commands.emplace_back(report_targets_command{std::move(changes)});
    }
    schedule_moves(now);
    evaluate_due(now, commands);
    remove_absent_proxies(now, commands);
    return commands;
}

auto control_coordinator::next_due() const -> std::optional<time_point>
{
    if (!is_leading()) {
        return std::nullopt;
    }
    auto due = earliest(leases_.next_expiry(), liveness_.next_due());
    if (!due_.empty()) {
        due = earliest(due, due_.begin()->first);
    }
    if (!absent_.empty()) {
        due = earliest(due, absent_.begin()->first);
    }
    if (plan_.has_changed()) {
        due = earliest(due, next_rebalance_at_);
    }
    return earliest(due, plan_.next_hold_down_end());
}

} // namespace rhubarbrun::inline v1
