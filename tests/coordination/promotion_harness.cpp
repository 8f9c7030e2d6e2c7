#include "promotion_harness.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbrun_tests {

namespace {

constexpr auto one_way = milliseconds(20);
constexpr auto call_timeout = milliseconds(500);
constexpr auto promotion_time = milliseconds(600);
constexpr auto promotion_timeout = milliseconds(1200);
constexpr auto order_delay = std::chrono::seconds(5);
constexpr auto announcement_interval = milliseconds(1200);
constexpr auto sighting_interval = milliseconds(500);

} // namespace

promotion_harness::promotion_harness(std::uint32_t synchronous_replicas)
    : synchronous_replicas_(synchronous_replicas)
{
    for (const auto* const id : {"a", "b", "c"}) {
        auto each = server{};
        each.id = id;
        each.address = std::string("address-") + id;
        servers.push_back(std::move(each));
    }
    servers[0].is_primary = true;
    servers[2].distance = milliseconds(1);
    servers[1].distance = milliseconds(70);
    change_leader();
}

auto promotion_harness::make_supervisor() -> std::unique_ptr<primary_supervisor>
{
    auto hooks = primary_supervisor_hooks{};
    hooks.call_server = [this](const server_call& call) {
        on_call(call);
    };
    hooks.promote = [this](const group_id&, const target_id& candidate) {
        on_promote(candidate);
    };
    hooks.record = [this](const group_id&, const std::set<target_id>& named) {
        if (are_records_lost) {
            return;
        }
        later(one_way, [this, named] { apply_record(named); });
    };
    hooks.log = [this](std::string_view event, const group_id&,
                       const target_id& id, const std::string& reason) {
        note(std::string(event) + ' ' + id.value() + ": " + reason);
    };
    return std::make_unique<primary_supervisor>(std::move(hooks));
}

auto promotion_harness::change_leader() -> void
{
    ++leader_;
    supervisor_ = make_supervisor();
    supervisor_->supervise(group_id("g"), synchronous_replicas_);
    supervisor_->on_recorded(group_id("g"), recorded_);
    supervisor_->start_leading(now_);
}

auto promotion_harness::apply_record(std::set<target_id> named) -> void
{
    recorded_ = std::move(named);
    supervisor_->on_recorded(group_id("g"), recorded_);
}

auto promotion_harness::note(const std::string& event) -> void
{
    events.push_back(std::to_string(to_milliseconds(now_.time_since_epoch())) +
                     ' ' + event);
}

auto promotion_harness::later(duration delay, std::function<void()> action)
    -> void
{
    actions_.emplace(now_ + delay, std::move(action));
}

auto promotion_harness::run(duration length) -> void
{
    for (const auto end = now_ + length; now_ < end;) {
        now_ += step;
        while (!actions_.empty() && actions_.begin()->first <= now_) {
            const auto action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
        write();
        replicate();
        acknowledge();
        announce();
        report_sightings();
        supervisor_->tick(now_, directory_);
        longest_gap = std::max(longest_gap, now_ - acknowledged_at_);
    }
}

auto promotion_harness::find(const std::string& id) -> server*
{
    const auto found =
        std::find_if(servers.begin(), servers.end(),
                     [&](const auto& each) { return each.id == id; });
    return found == servers.end() ? nullptr : &*found;
}

auto promotion_harness::primary() -> server*
{
    const auto found =
        std::find_if(servers.begin(), servers.end(), [](const auto& each) {
            return each.is_running && each.is_primary;
        });
    return found == servers.end() ? nullptr : &*found;
}

auto promotion_harness::source() -> server*
{
    if (auto* const leading = primary()) {
        return leading;
    }
    auto* const last = find(last_primary_);
    return last != nullptr && last->is_running ? last : nullptr;
}

auto promotion_harness::is_accepting() const -> bool
{
    return now_ - acknowledged_at_ < std::chrono::seconds(1);
}

auto promotion_harness::write() -> void
{
    if (!is_writing) {
        acknowledged_at_ = now_;
        return;
    }
    if (auto* const leading = primary()) {
        commits_.push_back({commits_.size(), now_, false});
        leading->log.push_back(commits_.back().number);
    }
}

auto promotion_harness::replicate() -> void
{
    const auto* const leading = source();
    if (leading == nullptr) {
        return;
    }
    for (auto& each : servers) {
        if (&each == leading || !each.is_running || each.is_deaf ||
            each.paused_by > 0) {
            continue;
        }
        each.newest = std::max(each.newest, leading->newest);
        while (each.log.size() < leading->log.size()) {
            const auto next = leading->log[each.log.size()];
            if (now_ - commits_[next].at < each.distance) {
                break;
            }
            each.log.push_back(next);
        }
    }
}

auto promotion_harness::acknowledge() -> void
{
    const auto* const leading = primary();
    if (leading == nullptr) {
        return;
    }
    const auto holds = [](const server& each, std::uint64_t number) {
        return std::binary_search(each.log.begin(), each.log.end(), number);
    };
    for (; first_open_ < commits_.size(); ++first_open_) {
        auto& each = commits_[first_open_];
        if (!holds(*leading, each.number)) {
            // It was rolled back without an acknowledgement.
            continue;
        }
        const auto is_held =
            std::any_of(servers.begin(), servers.end(), [&](const auto& other) {
                return &other != leading && other.is_running &&
                       now_ - each.at >= 2 * other.distance &&
                       holds(other, each.number);
            });
        if (synchronous_replicas_ > 0 && !is_held) {
            break;
        }
        each.is_acknowledged = true;
        ++acknowledged;
        acknowledged_at_ = now_;
    }
}

auto promotion_harness::announce() -> void
{
    for (auto& each : servers) {
        const auto* const known = directory_.find(target_id(each.id));
        const auto role =
            each.is_primary ? server_role::primary : server_role::replica;
        const auto is_news = known == nullptr || known->record.role != role ||
                             known->record.state != each.state ||
                             known->record.started_at != each.started_at;
        if (!each.is_running || each.is_cut || each.is_mute ||
            (!is_news && now_ - each.announced_at < announcement_interval))
        {
            continue;
        }
        auto record = server_record{};
        record.id = target_id(each.id);
        record.group = group_id("g");
        record.address = each.address;
        record.role = role;
        record.state = each.state;
        record.started_at = each.started_at;
        record.sequence = ++each.sequence;
        each.announced_at = now_;
        directory_.merge(now_, record);
    }
}

auto promotion_harness::report_sightings() -> void
{
    if (now_ - sighted_at_ < sighting_interval) {
        return;
    }
    sighted_at_ = now_;
    const auto* const claimed = directory_.claimed_primary(group_id("g"));
    if (claimed == nullptr) {
        return;
    }
    const auto* const each = find(claimed->record.id.value());
    auto sighting = server_sighting{};
    sighting.server = claimed->record.id;
    if (each != nullptr && each->is_running && each->is_primary &&
        !each->is_hidden) {
        failing_since_.reset();
        sighting.answered_ago = milliseconds(50);
    } else {
        failing_since_ = failing_since_.value_or(now_);
        sighting.failing_for = now_ - *failing_since_;
    }
    supervisor_->on_sightings(now_, "proxy", {sighting});
}

auto promotion_harness::on_call(const server_call& call) -> void
{
    const auto reply = [this, leader = leader_, number = call.number](
                           duration delay,
                           const std::optional<server_log_status>& status) {
        later(delay, [this, leader, number, status] {
            if (leader == leader_) {
                supervisor_->on_status(now_, number, status);
            }
        });
    };
    const auto* const known = find(call.server.id.value());
    if (known == nullptr || !known->is_running) {
        reply(one_way, std::nullopt);
        return;
    }
    const auto is_order = call.order != server_order::report;
    if (known->is_cut) {
        reply(call_timeout, std::nullopt);
    } else if (late_orders[call.order] > 0) {
        --late_orders[call.order];
        reply(call_timeout, std::nullopt);
        later(late_order_delay,
              [this, call] { static_cast<void>(carry_out(call)); });
    } else if (are_orders_late && is_order && orders_++ % 2 == 0) {
        reply(call_timeout, std::nullopt);
        later(order_delay,
              [this, call] { static_cast<void>(carry_out(call)); });
    } else {
        later(one_way, [this, call, reply] {
            const auto* const reached = find(call.server.id.value());
            if (reached != nullptr && reached->is_cut) {
                reply(call_timeout, std::nullopt);
            } else {
                reply(one_way, carry_out(call));
            }
        });
    }
}

auto promotion_harness::carry_out(const server_call& call)
    -> std::optional<server_log_status>
{
    auto* const known = find(call.server.id.value());
    if (known == nullptr || !known->is_running) {
        return std::nullopt;
    }
    auto& each = *known;
    const auto number = call.order_term.value();
    switch (call.order) {
    case server_order::report:
        break;
    case server_order::step_down:
        ++step_downs;
        each.is_primary = each.is_primary && number <= each.newest;
        break;
    case server_order::pause:
        if (!each.is_primary && number > each.newest && !is_pause_ignored) {
            each.paused_by = number;
        }
        break;
    case server_order::resume:
        each.paused_by = 0;
        break;
    }
    auto status = server_log_status{};
    status.role = each.is_primary ? server_role::primary : server_role::replica;
    status.newest = term(each.newest);
    status.received = {term(each.newest), log_offset(each.log.size())};
    status.paused_by = term(is_pause_hidden ? 0 : each.paused_by);
    return status;
}

auto promotion_harness::on_promote(const target_id& candidate) -> void
{
    const auto token = ++last_token_;
    ++orders_to_promote;
    const auto reply = [this, leader = leader_](duration delay,
                                                promotion_outcome outcome) {
        later(delay, [this, leader, outcome] {
            if (leader == leader_) {
                supervisor_->on_promotion(now_, group_id("g"), outcome);
            }
        });
    };
    if (std::exchange(is_promotion_lost, false)) {
        reply(promotion_timeout, promotion_outcome::unknown);
        return;
    }
    if (is_promotion_late || !late_promotions.empty()) {
        auto delay = promotion_delay;
        if (!std::exchange(is_promotion_late, false)) {
            delay = late_promotions.front();
            late_promotions.erase(late_promotions.begin());
        }
        reply(promotion_timeout, promotion_outcome::unknown);
        later(delay, [this, candidate, token] {
            static_cast<void>(start_promotion(candidate.value(), token));
        });
        return;
    }
    later(one_way, [this, candidate, token, reply] {
        const auto is_accepted = start_promotion(candidate.value(), token);
        reply(one_way, is_accepted ? promotion_outcome::accepted
                                   : promotion_outcome::refused);
    });
}

auto promotion_harness::start_promotion(const std::string& candidate,
                                        std::uint64_t token) -> bool
{
    const auto* const known = find(candidate);
    if (token < highest_token_ || known == nullptr || !known->is_running) {
        return false;
    }
    highest_token_ = token;
    if (!known->is_primary) {
        later(promotion_time, [this, candidate] { lead(candidate); });
    }
    return true;
}

auto promotion_harness::lead(const std::string& candidate) -> void
{
    auto* const leading = find(candidate);
    if (leading == nullptr || !leading->is_running || leading->is_primary) {
        return;
    }
    for (const auto& each : commits_) {
        lost += each.is_acknowledged &&
                        !std::binary_search(leading->log.begin(),
                                            leading->log.end(), each.number)
                    ? 1U
                    : 0U;
    }
    auto newest = std::uint64_t{0};
    for (const auto& each : servers) {
        newest = std::max(newest, each.newest);
    }
    promoted.push_back(candidate);
    last_primary_ = candidate;
    note(candidate + " leads, lost=" + std::to_string(lost));
    leading->newest = newest + 1;
    // Whether a promotion ends the pauses of the others is not stated.
    leading->paused_by = 0;
    for (auto& each : servers) {
        each.is_primary = &each == leading;
        // A log that branches off or is longer is rolled back.
        const auto branch =
            std::mismatch(each.log.begin(), each.log.end(),
                          leading->log.begin(), leading->log.end())
                .first;
        each.log.erase(branch, each.log.end());
    }
}

auto promotion_harness::crash(server& which, duration length) -> void
{
    if (!which.is_running) {
        return;
    }
    which.is_running = false;
    note(which.id + " crashes");
    later(length, [this, id = which.id] {
        if (auto* const each = find(id)) {
            note(id + " is back");
            each->is_running = true;
            each->paused_by = 0;
            ++each->started_at;
            each->sequence = 0;
        }
    });
}

auto promotion_harness::deafen(server& which, duration length) -> void
{
    which.is_deaf = true;
    later(length, [this, address = which.address] {
        for (auto& each : servers) {
            each.is_deaf = each.is_deaf && each.address != address;
        }
    });
}

auto promotion_harness::leave(server& which) -> void
{
    if (which.state != server_availability::ready || !which.is_running) {
        return;
    }
    which.state = server_availability::draining;
    note(which.id + " drains");
    later(drain_time, [this, id = which.id] {
        auto* const each = find(id);
        directory_.remove(now_, target_id(id));
        note(id + " leaves");
        each->is_running = false;
        later(succession_time, [this, id] {
            auto* const returned = find(id);
            note(id + " is back");
            returned->is_running = true;
            returned->state = server_availability::ready;
            returned->paused_by = 0;
            ++returned->started_at;
            returned->sequence = 0;
        });
    });
}

auto promotion_harness::release(server& which, bool has_successor) -> void
{
    if (which.state != server_availability::ready) {
        return;
    }
    which.state = server_availability::draining;
    note(which.id + " drains");
    later(drain_time, [this, id = which.id, has_successor] {
        auto* const each = find(id);
        directory_.remove(now_, target_id(id));
        note(id + " leaves");
        const auto was_running = std::exchange(each->is_running, false);
        each->id += "2";
        each->state = server_availability::ready;
        each->paused_by = 0;
        ++each->started_at;
        each->sequence = 0;
        if (was_running && has_successor) {
            later(succession_time,
                  [this, name = each->id] { find(name)->is_running = true; });
        }
    });
}

} // namespace rhubarbrun_tests
