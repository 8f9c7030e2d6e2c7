#include "consensus_network.hpp"

#include <rhubarbrun/coordination/fencing_sequence.hpp>

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarbrun_tests {

namespace {

enum class event : std::uint8_t
{
    none,
    /// The leader alone is cut off; the others reach each other.
    cut_leader,
    cut_follower,
    /// A follower hears the others, but not the leader.
    deafen_follower,
    heal,
    /// The leader is suspended, with a batch that it could not save.
    suspend_leader,
    wake,
};
constexpr auto event_count = std::size_t{7};
constexpr auto phase_length = std::chrono::milliseconds(400);
/// An order that got no answer is carried out this much later.
constexpr auto late_order = std::chrono::milliseconds(900);

/// Plays one history of events, at whose steps every member that holds the
/// leader's lease gives an order; every second order is carried out late.
class handover_history
{
public:
    handover_history(std::size_t members, planted_fault fault)
        : network_(settings(members, fault)), sequences_(members)
    {
        network_.wait_for_leader();
    }

    auto play(const std::vector<event>& events) -> void
    {
        for (const auto each : events) {
            apply(each);
            run(phase_length);
            note_state();
        }
        apply(event::wake);
        apply(event::heal);
        run(late_order + phase_length);
    }

    /// Broken rules; empty if all held.
    [[nodiscard]] auto violations() const -> std::vector<std::string>
    {
        auto result = network_.violations();
        result.insert(result.end(), violations_.begin(), violations_.end());
        return result;
    }
    [[nodiscard]] auto states() const -> const std::set<std::string>&
    {
        return states_;
    }
    [[nodiscard]] auto holders() const -> std::size_t
    {
        return holders_.size();
    }

private:
    struct order
    {
        std::uint64_t number = 0;
        time_point given;
    };

    static auto settings(std::size_t members, planted_fault fault)
        -> network_settings
    {
        auto result = network_settings{};
        result.members = members;
        result.fault = fault;
        result.longest_delay = std::chrono::milliseconds(20);
        result.disk_delay = std::chrono::milliseconds(2);
        return result;
    }

    static auto name(std::size_t member) -> member_id
    {
        return member_id(std::string(1, static_cast<char>('a' + member)));
    }

    auto apply(event what) -> void
    {
        const auto leader = network_.leader();
        const auto follower = leader == 0 ? std::size_t{1} : std::size_t{0};
        switch (what) {
        case event::none:
            break;
        case event::cut_leader:
            if (leader < network_.size()) {
                auto parts = std::vector<std::size_t>(network_.size(), 0);
                parts[leader] = 1;
                network_.split(parts);
            }
            break;
        case event::cut_follower:
            network_.isolate(follower);
            break;
        case event::deafen_follower:
            network_.drop_if([leader, follower](const auto& message) {
                return message.from.id == name(leader) &&
                       message.to.id == name(follower);
            });
            break;
        case event::heal:
            network_.drop_if(nullptr);
            network_.heal();
            break;
        case event::suspend_leader:
            if (leader < network_.size()) {
                network_.set_disk_full(leader, true);
                static_cast<void>(network_.propose(leader, "order"));
            }
            break;
        case event::wake:
            for (auto each = std::size_t{0}; each < network_.size(); ++each) {
                network_.set_disk_full(each, false);
            }
            break;
        }
    }

    auto run(duration length) -> void
    {
        for (const auto end = network_.now() + length; network_.now() < end;) {
            network_.run(consensus_network::step);
            for (auto each = std::size_t{0}; each < network_.size(); ++each) {
                if (network_.is_running(each) && !network_.is_blocked(each) &&
                    network_.has_lease(each))
                {
                    give_order(each);
                }
            }
            while (!orders_.empty() && orders_.begin()->first <= network_.now())
            {
                carry_out(orders_.begin()->second);
                orders_.erase(orders_.begin());
            }
        }
    }

    auto give_order(std::size_t holder) -> void
    {
        holders_.insert(holder);
        const auto number =
            sequences_[holder].next(network_.status(holder).current);
        is_late_ = !is_late_;
        const auto delay = is_late_ ? duration(late_order) : duration::zero();
        orders_.emplace(network_.now() + delay, order{number, network_.now()});
    }

    /// The service refuses a number below the highest that it saw.
    auto carry_out(const order& each) -> void
    {
        if (each.number < highest_) {
            return;
        }
        if (each.number == highest_) {
            violations_.emplace_back("two orders have one number");
        }
        highest_ = each.number;
        if (each.given < newest_given_) {
            violations_.emplace_back("an older order was carried out last");
        }
        newest_given_ = each.given;
    }

    auto note_state() -> void
    {
        auto state = std::string();
        for (auto each = std::size_t{0}; each < network_.size(); ++each) {
            const auto status = network_.status(each);
            state += std::to_string(status.current.value()) +
                     (network_.has_lease(each)    ? "L"
                      : network_.is_blocked(each) ? "b"
                      : network_.leader() == each ? "l"
                                                  : "f") +
                     std::to_string(network_.applied(each)) + ' ';
        }
        states_.insert(state);
    }

    consensus_network network_;
    std::vector<fencing_sequence> sequences_;
    std::multimap<time_point, order> orders_;
    std::set<std::size_t> holders_;
    std::set<std::string> states_;
    std::vector<std::string> violations_;
    std::uint64_t highest_ = 0;
    time_point newest_given_;
    bool is_late_ = false;
};

struct search_result
{
    std::size_t histories = 0;
    std::size_t with_hand_over = 0;
    std::set<std::string> states;
    std::vector<std::string> violations;
};

/// Plays every history of `depth` events.
auto search(std::size_t members, std::size_t depth,
            planted_fault fault = planted_fault::none) -> search_result
{
    auto result = search_result{};
    auto count = std::size_t{1};
    for (auto level = std::size_t{0}; level < depth; ++level) {
        count *= event_count;
    }
    for (auto number = std::size_t{0}; number < count; ++number) {
        auto events = std::vector<event>();
        for (auto rest = number; events.size() < depth; rest /= event_count) {
            events.push_back(static_cast<event>(rest % event_count));
        }
        auto history = handover_history(members, fault);
        history.play(events);
        ++result.histories;
        result.with_hand_over += history.holders() > 1 ? 1U : 0U;
        result.states.insert(history.states().begin(), history.states().end());
        for (const auto& each : history.violations()) {
            result.violations.push_back(std::to_string(number) + ": " + each);
        }
    }
    return result;
}

} // namespace

// Around a hand-over both processes acted, and orders went out twice.
TEST_CASE(
    "hand-over search: two holders never act, and no order is carried out "
    "after a newer one")
{
    auto found = search_result{};
    SUBCASE("three members")
    {
        found = search(3, 4);
    }
    SUBCASE("five members")
    {
        found = search(5, 3);
    }
    MESSAGE("histories=" << found.histories
                         << " with_hand_over=" << found.with_hand_over
                         << " states=" << found.states.size());
    CHECK(found.violations.empty());
    CHECK(found.with_hand_over > found.histories / 10);
}

TEST_CASE("hand-over search: a vote while the leader is heard is found")
{
    CHECK_FALSE(
        search(3, 3, planted_fault::vote_despite_leader).violations.empty());
}

} // namespace rhubarbrun_tests
