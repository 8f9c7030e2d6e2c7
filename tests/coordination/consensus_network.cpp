#include "consensus_network.hpp"

#include <algorithm>
#include <sstream>

namespace rhubarbrun_tests {

namespace {

using namespace std::chrono_literals;

/// Makes snapshots large enough to need several chunks.
constexpr auto snapshot_padding = std::size_t{2000};
constexpr auto chunk_bytes = std::size_t{300};

auto mix(std::uint64_t digest, const log_entry& entry) -> std::uint64_t
{
    const auto value = std::hash<std::string>{}(entry.command) ^
                       (entry.elected.value() << 32U) ^ entry.index.value();
    return (digest ^ value) * 0x9e3779b97f4a7c15ULL + 1;
}

} // namespace

consensus_network::consensus_network(network_settings settings)
    : settings_(settings), random_(settings.seed), now_(1h)
{
    for (auto index = std::size_t{0}; index < settings_.members; ++index) {
        names_.emplace_back(std::string(1, static_cast<char>('a' + index)));
    }
    nodes_.resize(settings_.members);
    for (auto index = std::size_t{0}; index < size(); ++index) {
        nodes_[index].identity = {names_[index], incarnation(random_() | 1U)};
        start(index);
    }
}

auto consensus_network::local_time(std::size_t index) const -> time_point
{
    // Offsets differ by hours, rates by less than the margin of 1%.
    auto time = now_ + index * 10h;
    if (settings_.has_clock_drift && size() > 1) {
        const auto passed = now_.time_since_epoch().count();
        time += duration(passed * static_cast<std::int64_t>(index) * 9 /
                         (1000 * static_cast<std::int64_t>(size() - 1)));
    }
    return time;
}

auto consensus_network::start(std::size_t index) -> void
{
    auto& node = nodes_[index];
    auto options = consensus_options{};
    options.members = names_;
    options.is_founding = settings_.is_founding;
    options.retained_entries = settings_.entries_kept;
    options.snapshot_chunk_bytes = chunk_bytes;
    options.max_append_entries = settings_.append_entries;
    options.max_appends_in_flight = 4;
    options.fault = settings_.fault;
    node.applied = 0;
    node.digest = 0;
    if (node.disk.snapshot) {
        const auto& snapshot = *node.disk.snapshot;
        node.applied = snapshot.metadata.index.value();
        node.digest = std::stoull(snapshot.data);
    }
    node.reads.clear();
    node.crash = crash_point::none;
    node.gate = std::make_unique<storage_gate>(
        [this, &node](const consensus_ready& ready) {
            if (node.is_disk_full) {
                return settings_.forgets_refused_batches;
            }
            persist(node, ready);
            return true;
        });
    node.member = std::make_unique<consensus_member>(
        node.identity, options, [this] { return random_(); }, node.disk,
        local_time(index));
}

auto consensus_network::run(duration length) -> void
{
    for (const auto end = now_ + length; now_ < end;) {
        now_ += step;
        if (const auto next = next_event(); next > now_) {
            now_ += (std::min(next, end) - now_) / step * step;
        }
        tick();
    }
}

auto consensus_network::next_event() const -> time_point
{
    auto next =
        in_flight_.empty() ? time_point::max() : in_flight_.begin()->first;
    for (auto index = std::size_t{0}; index < size(); ++index) {
        if (!nodes_[index].pending.empty()) {
            next = std::min(next, nodes_[index].pending.front().first);
        }
        if (is_blocked(index)) {
            next = std::min(next, nodes_[index].gate->next_retry());
        } else if (is_running(index)) {
            const auto wait =
                nodes_[index].member->next_tick() - local_time(index);
            next = std::min(next, now_ + wait * 99 / 100);
        }
    }
    return next;
}

auto consensus_network::tick() -> void
{
    deliver();
    for (auto index = std::size_t{0}; index < size(); ++index) {
        if (is_blocked(index)) {
            if (const auto ready = nodes_[index].gate->retry(now_)) {
                complete(index, *ready);
                drain(index);
            }
        } else if (is_running(index)) {
            nodes_[index].member->tick(local_time(index));
            drain(index);
        }
    }
    check_leaders();
}

auto consensus_network::deliver() -> void
{
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
        const auto message = in_flight_.extract(in_flight_.begin()).mapped();
        const auto place =
            std::find(names_.begin(), names_.end(), message.to.id);
        const auto to = static_cast<std::size_t>(place - names_.begin());
        const auto origin =
            std::find(names_.begin(), names_.end(), message.from.id);
        const auto from = static_cast<std::size_t>(origin - names_.begin());
        if (to >= size() || from >= size() || !is_running(to) ||
            is_blocked(to) || nodes_[from].part != nodes_[to].part)
        {
            continue;
        }
        try {
            nodes_[to].member->step(local_time(to), message);
            drain(to);
        } catch (const std::logic_error& error) {
            fail(error.what());
            crash(to);
        }
    }
}

auto consensus_network::drain(std::size_t index) -> void
{
    auto& node = nodes_[index];
    while (node.member && !is_blocked(index)) {
        if (node.member->has_ready()) {
            node.pending.emplace_back(now_ + settings_.disk_delay,
                                      node.member->take_ready());
        }
        if (node.pending.empty() || node.pending.front().first > now_) {
            break;
        }
        auto ready = std::move(node.pending.front().second);
        node.pending.pop_front();
        finish(index, ready);
    }
}

auto consensus_network::finish(std::size_t index, consensus_ready& ready)
    -> void
{
    auto& node = nodes_[index];
    if (node.crash == crash_point::before_persisting) {
        crash(index);
        return;
    }
    if (node.gate->save(now_, ready)) {
        complete(index, ready);
    }
}

auto consensus_network::complete(std::size_t index,
                                 const consensus_ready& ready) -> void
{
    auto& node = nodes_[index];
    const auto point = node.crash;
    node.member->on_persisted(ready.number);
    if (point == crash_point::after_persisting) {
        crash(index);
        return;
    }
    for (const auto& message : ready.messages) {
        post(index, message);
    }
    if (point == crash_point::after_sending) {
        crash(index);
        return;
    }
    apply(node, ready);
}

auto consensus_network::persist(slot& node, const consensus_ready& ready)
    -> void
{
    auto& disk = node.disk;
    if (ready.snapshot) {
        disk.snapshot = ready.snapshot;
        const auto index = ready.snapshot->metadata.index;
        std::erase_if(disk.entries, [&](const auto& entry) {
            return ready.is_restore || entry.index <= index;
        });
    }
    if (ready.state) {
        disk.state = *ready.state;
    }
    for (const auto& entry : ready.entries) {
        std::erase_if(disk.entries, [&](const auto& other) {
            return other.index >= entry.index;
        });
        disk.entries.push_back(entry);
    }
}

auto consensus_network::apply(slot& node, const consensus_ready& ready) -> void
{
    if (ready.is_restore) {
        ++node.restores;
        node.applied = ready.snapshot->metadata.index.value();
        node.digest = std::stoull(ready.snapshot->data);
        const auto known = history_.find(node.applied);
        if (known == history_.end() || known->second.digest != node.digest) {
            fail("a snapshot differs from the committed entries");
        }
    }
    for (const auto& entry : ready.committed) {
        record_entry(node, entry);
    }
    for (const auto& outcome : ready.reads) {
        const auto asked = node.reads.extract(outcome.ticket);
        if (outcome.index) {
            ++confirmed_reads_;
            if (asked.empty() || outcome.index->value() < asked.mapped()) {
                fail("a confirmed read misses a committed entry");
            }
        }
    }
}

auto consensus_network::record_entry(slot& node, const log_entry& entry) -> void
{
    if (entry.index.value() != node.applied + 1) {
        fail("entries are not applied in order");
    }
    node.applied = entry.index.value();
    node.digest = mix(node.digest, entry);
    const auto [known, is_new] =
        history_.try_emplace(node.applied, record{entry, node.digest});
    if (!(known->second.entry == entry) || known->second.digest != node.digest)
    {
        fail("committed entry " + std::to_string(node.applied) + " changed");
    }
}

auto consensus_network::post(std::size_t from, const consensus_message& message)
    -> void
{
    ++sent_[message_name(message)];
    if (const auto* append = std::get_if<append_request>(&message.body)) {
        largest_append_ = std::max(largest_append_, append->entries.size());
    }
    if (!(message.from == nodes_[from].identity)) {
        fail("a message names a wrong sender");
    }
    const auto copies = random_() % 100 < settings_.duplication ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        if (random_() % 100 < settings_.loss || (drop_ && drop_(message))) {
            continue;
        }
        const auto spread =
            static_cast<std::uint64_t>(settings_.longest_delay.count());
        in_flight_.emplace(
            now_ + duration(1 + static_cast<std::int64_t>(random_() % spread)),
            message);
    }
}

auto consensus_network::check_leaders() -> void
{
    auto leased = size();
    for (auto index = std::size_t{0}; index < size(); ++index) {
        if (!is_running(index) || !nodes_[index].member->is_leader()) {
            continue;
        }
        const auto state = status(index);
        const auto [known, is_new] =
            leaders_.try_emplace(state.current, state.self);
        if (!(known->second == state.self)) {
            fail("two leaders in one term");
        }
        if (!has_lease(index)) {
            continue;
        }
        if (leased != size()) {
            fail("two leaders hold a lease");
        }
        leased = index;
        if (!history_.empty() &&
            history_.rbegin()->second.entry.elected > state.current)
        {
            fail("a leader holds a lease after a later leader's commit");
        }
    }
}

auto consensus_network::fail(std::string what) -> void
{
    auto text = std::ostringstream{};
    text << (now_ - time_point(1h)).count() / 1000 << " ms: " << what;
    violations_.push_back(text.str());
}

auto consensus_network::leader() const -> std::size_t
{
    auto result = size();
    auto highest = election_term{};
    for (auto index = std::size_t{0}; index < size(); ++index) {
        if (!is_running(index) || !nodes_[index].member->is_leader()) {
            continue;
        }
        const auto current =
            nodes_[index].member->status(local_time(index)).current;
        if (current > highest) {
            highest = current;
            result = index;
        }
    }
    return result;
}

auto consensus_network::wait_for_leader() -> std::size_t
{
    run_until([&] {
        const auto index = leader();
        return index != size() && has_lease(index);
    });
    return leader();
}

auto consensus_network::is_running(std::size_t node) const -> bool
{
    return nodes_[node].member != nullptr;
}

auto consensus_network::member(std::size_t node) -> consensus_member&
{
    return *nodes_[node].member;
}

auto consensus_network::status(std::size_t node) -> consensus_status
{
    return member(node).status(local_time(node));
}

auto consensus_network::has_lease(std::size_t node) const -> bool
{
    return is_running(node) &&
           nodes_[node].member->has_leader_lease(local_time(node));
}

auto consensus_network::crash(std::size_t node) -> void
{
    nodes_[node].member.reset();
    nodes_[node].gate.reset();
    nodes_[node].pending.clear();
}

auto consensus_network::crash_at(std::size_t node, crash_point point) -> void
{
    nodes_[node].crash = point;
}

auto consensus_network::restart(std::size_t node) -> void
{
    crash(node);
    start(node);
}

auto consensus_network::wipe(std::size_t node) -> void
{
    crash(node);
    nodes_[node].disk = {};
    if (!settings_.keeps_incarnation) {
        nodes_[node].identity.instance = incarnation(random_() | 1U);
    }
    start(node);
}

auto consensus_network::split(std::vector<std::size_t> part_of_node) -> void
{
    for (auto index = std::size_t{0}; index < size(); ++index) {
        nodes_[index].part = part_of_node[index];
    }
}

auto consensus_network::isolate(std::size_t node) -> void
{
    nodes_[node].part = node + 1;
}

auto consensus_network::heal() -> void
{
    split(std::vector<std::size_t>(size(), 0));
}

auto consensus_network::propose(std::size_t node, std::string command) -> bool
{
    if (is_blocked(node)) {
        return false;
    }
    const auto result =
        member(node).propose(local_time(node), std::move(command));
    drain(node);
    return std::holds_alternative<proposal>(result);
}

auto consensus_network::commit(const std::string& command) -> bool
{
    const auto at = wait_for_leader();
    if (at == size() || !propose(at, command)) {
        return false;
    }
    const auto is_committed = [&] {
        return std::any_of(history_.rbegin(), history_.rend(),
                           [&](const auto& item) {
                               return item.second.entry.command == command;
                           });
    };
    return run_until(is_committed) && run_until([&] {
               return std::all_of(
                   nodes_.begin(), nodes_.end(), [&](const auto& node) {
                       return !node.member || node.part != nodes_[at].part ||
                              node.applied == history_.size();
                   });
           });
}

auto consensus_network::read(std::size_t node) -> bool
{
    if (is_blocked(node)) {
        return false;
    }
    const auto result = member(node).read_index(local_time(node));
    const auto* const ticket = std::get_if<read_ticket>(&result);
    if (ticket != nullptr) {
        nodes_[node].reads[*ticket] = history_.size();
        drain(node);
    }
    return ticket != nullptr;
}

auto consensus_network::compact(std::size_t node) -> void
{
    if (is_blocked(node)) {
        return;
    }
    const auto& state = nodes_[node];
    member(node).compact(log_index(state.applied),
                         std::to_string(state.digest) +
                             std::string(snapshot_padding, ' '));
    drain(node);
}

auto consensus_network::applied(std::size_t node) const -> std::uint64_t
{
    return nodes_[node].applied;
}

auto consensus_network::restores(std::size_t node) const -> std::size_t
{
    return nodes_[node].restores;
}

auto consensus_network::is_repaired() -> bool
{
    const auto at = leader();
    if (at == size() || !has_lease(at)) {
        return false;
    }
    const auto state = status(at);
    return state.applied == state.last &&
           std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
               return node.member &&
                      state.configuration.is_voter(node.identity);
           });
}

auto consensus_network::is_whole() -> bool
{
    return is_repaired() &&
           std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
               return node.applied == history_.size();
           });
}

auto consensus_network::messages_sent(const std::string& name) const
    -> std::size_t
{
    const auto found = sent_.find(name);
    return found == sent_.end() ? 0 : found->second;
}

} // namespace rhubarbrun_tests
