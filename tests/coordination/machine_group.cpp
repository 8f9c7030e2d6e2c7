#include "machine_group.hpp"

#include <rhubarbrun/coordination/loss_tolerance.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun_tests {

namespace {

constexpr auto step = milliseconds(20);
constexpr auto look_interval = std::chrono::seconds(1);
constexpr auto submit_interval = milliseconds(50);
/// An operator's call ends after this long.
constexpr auto submit_timeout = milliseconds(900);
/// A process that is told to end does so within this time.
constexpr auto longest_end = milliseconds(2500);
constexpr auto shortest_end = milliseconds(200);

} // namespace

machine_group::machine_group(machine_group_settings settings)
    : settings_(settings)
{
    // Seeds are not next to each other, and new machines come between.
    const auto first = settings.tolerated_losses == 1
                           ? std::vector<std::string>{"b", "d", "f"}
                           : std::vector<std::string>{"b", "d", "f", "h", "j"};
    seeds_ = {first.front(), first[first.size() / 2], first.back()};
    spare_names_ = {"e", "c", "k", "a", "g", "l", "i", "m"};
    for (const auto& name : first) {
        start(name, true);
    }
    run(std::chrono::seconds(4));
    if (settings.starts_with_spare) {
        join();
        run(settings.catch_up);
    }
    waiting_since_ = now_;
    longest_wait = duration::zero();
}

auto machine_group::start(const std::string& name, bool is_founding) -> void
{
    auto& each = machines_[name];
    if (each.instance == incarnation(0)) {
        each.instance = incarnation(++last_instance_);
    }
    auto options = consensus_options{};
    for (const auto& seed : seeds_) {
        options.members.emplace_back(seed);
    }
    const auto is_seed =
        std::find(seeds_.begin(), seeds_.end(), name) != seeds_.end();
    options.is_founding = is_founding && is_seed;
    options.admits_unlisted_members = true;
    options.min_election_timeout = milliseconds(450);
    options.max_election_timeout = milliseconds(800);
    options.removal_timeout = milliseconds(2500);
    options.min_voters = 2 * settings_.tolerated_losses + 1;
    each.member = std::make_unique<consensus_member>(
        member_identity{member_id(name), each.instance}, options,
        [this] { return random_(); }, each.disk, now_);
    each.dialed.clear();
    each.told.clear();
    each.back_at = now_;
    look(name);
}

auto machine_group::join() -> std::string
{
    const auto name = spare_names_.at(0);
    spare_names_.erase(spare_names_.begin());
    ++successors_;
    start(name, false);
    return name;
}

auto machine_group::retire(const std::string& name) -> void
{
    auto& each = machines_.at(name);
    each.retired_at = now_;
    if (settings_.leaves_before_the_end) {
        each.member->leave(now_);
    }
}

auto machine_group::lose(const std::string& name) -> void
{
    machines_.erase(name);
    ++without_successor_;
}

auto machine_group::power_off(const std::string& name) -> void
{
    machines_.at(name).member.reset();
}

auto machine_group::wipe(const std::string& name) -> void
{
    machines_.erase(name);
    start(name, false);
}

auto machine_group::power_on() -> void
{
    for (auto& [name, each] : machines_) {
        if (!each.member) {
            start(name, false);
        }
    }
}

auto machine_group::replace_lost() -> void
{
    while (without_successor_ > successors_) {
        join();
    }
}

auto machine_group::followers() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto& [name, each] : machines_) {
        if (each.member && !each.member->is_leader() && !each.retired_at) {
            names.push_back(name);
        }
    }
    return names;
}

auto machine_group::leader() const -> std::string
{
    for (const auto& [name, each] : machines_) {
        if (each.member && each.member->has_leader_lease(now_)) {
            return name;
        }
    }
    return {};
}

auto machine_group::lost_count() const -> std::size_t
{
    const auto needed = 2 * settings_.tolerated_losses + 1;
    const auto ready = static_cast<std::size_t>(std::count_if(
        machines_.begin(), machines_.end(), [&](const auto& entry) {
            const auto& each = entry.second;
            return each.member && !each.retired_at &&
                   now_ - each.back_at >= settings_.catch_up;
        }));
    return needed > ready ? needed - ready : 0;
}

auto machine_group::has_spare() const -> bool
{
    const auto needed = 2 * settings_.tolerated_losses + 1;
    return static_cast<std::size_t>(std::count_if(
               machines_.begin(), machines_.end(), [&](const auto& entry) {
                   return !entry.second.retired_at &&
                          now_ - entry.second.back_at >= settings_.catch_up;
               })) > needed;
}

auto machine_group::outlasts(const membership& configuration,
                             std::size_t losses) const -> bool
{
    return outlasts_losses(
        configuration,
        [&](const member_identity& identity) {
            const auto found = machines_.find(identity.id.value());
            return found != machines_.end() && !found->second.retired_at &&
                   found->second.instance == identity.instance;
        },
        losses);
}

auto machine_group::is_tolerant() const -> bool
{
    const auto found = machines_.find(leader());
    return found != machines_.end() &&
           outlasts(found->second.member->status(now_).configuration,
                    settings_.tolerated_losses);
}

auto machine_group::check(const membership& configuration,
                          const std::string& occasion) -> void
{
    const auto lost = lost_count();
    const auto further = settings_.tolerated_losses > lost
                             ? settings_.tolerated_losses - lost
                             : std::size_t{0};
    if (outlasts(configuration, further)) {
        return;
    }
    auto text = std::to_string(to_milliseconds(now_.time_since_epoch())) + ' ' +
                occasion + " with the voters";
    for (const auto& each : configuration.members) {
        text += each.role == member_role::voter ? ' ' + each.identity.id.value()
                                                : std::string();
    }
    violations.push_back(text + ", does not outlast " +
                         std::to_string(further) + " losses");
}

auto machine_group::members_of(const machine& each) const
    -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto& member : each.member->status(now_).configuration.members) {
        names.push_back(member.identity.id.value());
    }
    return names;
}

auto machine_group::look(const std::string& name) -> void
{
    auto& each = machines_.at(name);
    auto sources = contact_sources{name, seeds_, members_of(each), {}, true};
    const auto is_member =
        std::find(sources.members.begin(), sources.members.end(), name) !=
        sources.members.end();
    sources.is_served = (!settings_.dials_without_leader && is_member) ||
                        each.member->hears_leader(now_);
    for (const auto& [teller, told] : each.told) {
        sources.reported_members.insert(sources.reported_members.end(),
                                        told.begin(), told.end());
    }
    const auto choice = choose_contacts(sources);
    std::erase_if(each.dialed, [&](const auto& other) {
        return !choice.wanted.contains(other);
    });
    each.dialed.insert(choice.dialed.begin(), choice.dialed.end());
    each.member->set_contacts({choice.wanted.begin(), choice.wanted.end()});
}

auto machine_group::are_linked(const std::string& left,
                               const std::string& right) const -> bool
{
    const auto from = machines_.find(left);
    const auto to = machines_.find(right);
    return from != machines_.end() && to != machines_.end() &&
           from->second.member && to->second.member &&
           (from->second.dialed.contains(right) ||
            to->second.dialed.contains(left));
}

auto machine_group::tell_members() -> void
{
    for (auto& [name, each] : machines_) {
        for (auto& [other_name, other] : machines_) {
            if (name != other_name && are_linked(name, other_name)) {
                other.told[name] = members_of(each);
            }
        }
    }
    for (const auto& [name, each] : machines_) {
        if (each.member) {
            look(name);
        }
    }
}

auto machine_group::deliver() -> void
{
    auto messages = std::vector<consensus_message>();
    for (auto& [name, each] : machines_) {
        while (each.member && each.member->has_ready()) {
            auto ready = each.member->take_ready();
            if (ready.state) {
                each.disk.state = *ready.state;
            }
            for (const auto& entry : ready.entries) {
                auto& entries = each.disk.entries;
                while (!entries.empty() && entries.back().index >= entry.index)
                {
                    entries.pop_back();
                }
                entries.push_back(entry);
            }
            each.member->on_persisted(ready.number);
            messages.insert(messages.end(), ready.messages.begin(),
                            ready.messages.end());
        }
    }
    for (auto& message : messages) {
        const auto to = message.to.id.value();
        if (lagging.contains(to) &&
            std::holds_alternative<append_request>(message.body))
        {
            continue;
        }
        if (are_linked(message.from.id.value(), to)) {
            machines_.at(to).member->step(now_, std::move(message));
        }
    }
}

auto machine_group::end_retired() -> void
{
    const auto ended = std::erase_if(machines_, [&](const auto& entry) {
        const auto& each = entry.second;
        if (!each.retired_at) {
            return false;
        }
        const auto elapsed = now_ - *each.retired_at;
        const auto is_busy = each.member && each.member->is_leaving();
        return elapsed >= longest_end || (!is_busy && elapsed >= shortest_end);
    });
    without_successor_ += ended;
    if (ended > 0) {
        check(newest_configuration(), "a machine has ended");
    }
}

auto machine_group::newest_configuration() const -> membership
{
    auto newest = membership{};
    auto last = log_index();
    for (const auto& [name, each] : machines_) {
        if (!each.member) {
            continue;
        }
        const auto status = each.member->status(now_);
        if (status.last > last) {
            last = status.last;
            newest = status.configuration;
        }
    }
    return newest;
}

auto machine_group::submit() -> void
{
    if (open_ || now_ < next_submission_) {
        return;
    }
    const auto name = leader();
    if (name.empty()) {
        return;
    }
    next_submission_ = now_ + submit_interval;
    auto& member = *machines_.at(name).member;
    if (member.status(now_).configuration.voter_count() <
        2 * settings_.tolerated_losses + 1)
    {
        return;
    }
    const auto result = member.propose(now_, "change");
    if (const auto* const where = std::get_if<proposal>(&result)) {
        open_ = submission{name, *where, member.start_contact_round(), now_};
    }
}

auto machine_group::acknowledge() -> void
{
    if (!open_) {
        return;
    }
    const auto found = machines_.find(open_->leader);
    if (found == machines_.end() || !found->second.member ||
        !found->second.member->is_leader() || now_ - open_->at > submit_timeout)
    {
        open_.reset();
        return;
    }
    auto& member = *found->second.member;
    const auto status = member.status(now_);
    const auto may_acknowledge =
        status.committed >= open_->where.index &&
        (!settings_.checks_acknowledgements ||
         member.outlasts_tolerated_losses(now_, open_->round));
    if (!may_acknowledge) {
        return;
    }
    ++acknowledgements;
    longest_wait = std::max(longest_wait, now_ - waiting_since_);
    waiting_since_ = now_;
    open_.reset();
    check(status.configuration, "acknowledged by " + found->first);
}

auto machine_group::run(duration length) -> void
{
    for (const auto end = now_ + length; now_ < end;) {
        now_ += step;
        for (auto& [name, each] : machines_) {
            if (each.member) {
                each.member->tick(now_);
            }
        }
        deliver();
        deliver();
        if (now_ >= next_look_) {
            next_look_ = now_ + look_interval;
            tell_members();
        }
        end_retired();
        submit();
        acknowledge();
    }
}

} // namespace rhubarbrun_tests
