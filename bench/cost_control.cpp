#include "cost_decisions.hpp"

#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/coordination/control_coordinator.hpp>
#include <rhubarbrun/coordination/target_announcements.hpp>
#include <rhubarbrun/state/bundle.hpp>
#include <rhubarbrun/state/control_state.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/transport/directory_copies.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace rhubarbrun::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto servers_per_group = std::size_t{3};
constexpr auto zones = std::size_t{8};

/// As many groups of three servers as there are proxies, in eight zones; every
/// target has an owner and every group a primary.
class large_deployment
{
public:
    explicit large_deployment(std::size_t size) : size_(size)
    {
        roll_bundle();
        for (auto index = std::size_t{0}; index < size; ++index) {
            apply(register_proxy_command{proxy(index)});
            for (auto number = std::size_t{0}; number < servers_per_group;
                 ++number) {
                apply(report_targets_command{
                    {{target_change_kind::announced, server(index, number)}}});
            }
        }
        coordinator_.start_leading(now_);
        settle();
        for (auto index = std::size_t{0}; index < size; ++index) {
            const auto& target = server(index, 0).id;
            const auto* const record = state_.find_target(target);
            apply(set_primary_command{group(index), term(0), target,
                                      record->owner.value(), record->epoch,
                                      term(1)});
        }
        settle();
    }

    /// One of the proxies renews its lease.
    auto renew() -> void
    {
        const auto answer =
            coordinator_.on_lease_request(now_, true, request(next_++ % size_));
        if (answer.status != lease_status::granted) {
            throw std::logic_error("a lease was refused");
        }
    }

    /// One of the proxies reports three targets that it has heard again.
    auto report() -> void
    {
        const auto index = next_++ % size_;
        auto message = announcement_report{proxy(index).identity, {}};
        for (auto number = std::size_t{0}; number < servers_per_group; ++number)
        {
            auto heard = reported_target{};
            heard.id = server(index, number).id;
            message.targets.push_back(std::move(heard));
        }
        coordinator_.on_announcement_report(now_, message);
    }

    /// The leader's work between two renewals, when each proxy renews its lease
    /// every 300 ms and reports every second, with the ticks that fall due.
    auto round() -> void
    {
        constexpr auto renewal_interval = duration(300ms);
        constexpr auto reports = std::size_t{3};
        constexpr auto renewals = std::size_t{10};
        now_ += renewal_interval / static_cast<std::int64_t>(size_);
        const auto number = rounds_++;
        coordinator_.on_lease_request(now_, true, request(number % size_));
        if (number % renewals < reports) {
            report();
        }
        const auto due = coordinator_.next_due();
        if (due && *due <= now_) {
            for (const auto& command : coordinator_.tick(now_)) {
                apply(command);
                finish_handover(command);
            }
        }
    }

    /// A tick with nothing due and nothing changed.
    auto tick() -> void
    {
        if (!coordinator_.tick(now_).empty() || !coordinator_.next_due()) {
            throw std::logic_error("a tick had something to do");
        }
    }

    /// A tick after one target has changed.
    auto change() -> void
    {
        apply(next_change());
        for (const auto& command : coordinator_.tick(now_)) {
            apply(command);
        }
    }

    [[nodiscard]] auto state() -> control_state& { return state_; }

    auto change_state() -> void
    {
        state_.apply(state_.applied().next(), next_change());
    }

    [[nodiscard]] static auto group(std::size_t index) -> group_id
    {
        return group_id("group-" + std::to_string(index));
    }

private:
    static auto zone(std::size_t index) -> zone_id
    {
        return zone_id("zone-" + std::to_string(index % zones));
    }

    static auto proxy(std::size_t index) -> proxy_record
    {
        auto out = proxy_record{};
        out.identity = {proxy_id("proxy-" + std::to_string(index)),
                        incarnation(1)};
        out.address = "10.0.0.1";
        out.zone = zone(index);
        return out;
    }

    static auto server(std::size_t index, std::size_t number)
        -> target_description
    {
        const auto name =
            "server-" + std::to_string(index) + "-" + std::to_string(number);
        return {target_id(name),
                group(index),
                "10.0.1.1",
                5432,
                zone(index + number),
                3,
                90};
    }

    /// The next target announces itself with another number of slots.
    auto next_change() -> report_targets_command
    {
        const auto index = next_++;
        auto description = server(index % size_, 1);
        description.slots =
            4U + static_cast<std::uint32_t>((index / size_) % 2);
        return {{{target_change_kind::announced, description}}};
    }

    [[nodiscard]] auto request(std::size_t index) const -> lease_request
    {
        return {proxy(index).identity, now_.time_since_epoch().count(),
                state_.applied()};
    }

    auto roll_bundle() -> void
    {
        auto value = bundle{};
        value.version = bundle_version(1);
        for (const auto* const name : {"ann", "bob"}) {
            value.operators.push_back({operator_id(name), hash_token(name)});
        }
        for (auto index = std::size_t{0}; index < size_; ++index) {
            auto config = group_config{};
            config.id = group(index);
            config.database = "database_" + std::to_string(index);
            value.groups.push_back(std::move(config));
        }
        const auto digest = digest_of(value);
        const auto ann = operator_id("ann");
        apply(bootstrap_command{value.operators});
        apply(propose_bundle_command{ann, digest, value, 0});
        apply(approve_bundle_command{operator_id("bob"), value.version, digest,
                                     0});
        apply(roll_bundle_command{ann, value.version, digest, 0});
    }

    auto apply(const control_command& command) -> void
    {
        const auto result = state_.apply(state_.applied().next(), command);
        if (!result.is_ok()) {
            throw std::logic_error("a command was refused");
        }
        coordinator_.on_applied(now_, command, result);
    }

    /// Lets twelve seconds pass, in which all targets get their owners and
    /// nearly even loads.
    auto settle() -> void
    {
        constexpr auto renewals = std::size_t{40};
        for (auto left = renewals * size_; left > 0; --left) {
            round();
        }
    }

    /// An owner releases a target at once when it is asked to.
    auto finish_handover(const control_command& command) -> void
    {
        const auto* const handover =
            std::get_if<begin_handover_command>(&command);
        const auto* const record = handover == nullptr
                                       ? nullptr
                                       : state_.find_target(handover->target);
        if (record != nullptr && record->owner && record->next_owner) {
            apply(release_target_command{handover->target, *record->owner,
                                         record->epoch});
        }
    }

    std::size_t size_;
    time_point now_{1h};
    control_state state_;
    control_coordinator coordinator_{state_};
    std::size_t next_ = 0;
    std::size_t rounds_ = 0;
};

/// A proxy that takes over the changes of one target after another.
class directory_copy
{
public:
    explicit directory_copy(std::size_t size) : control_(size)
    {
        apply();
        copy_ = copies_.newest();
    }

    /// Control applies the change and makes the delta.
    auto make_delta() -> void
    {
        const auto since = control_.state().applied();
        control_.change_state();
        if (control_.state().delta_since(since).targets.size() != 1) {
            throw std::logic_error("the delta holds more than the change");
        }
    }

    /// As `make_delta`, and the proxy applies it.
    auto step() -> void
    {
        control_.change_state();
        apply();
    }

    /// As `step`, but the proxy changes a copy of the whole directory.
    auto step_with_copy() -> void
    {
        control_.change_state();
        const auto delta = control_.state().delta_since(copy_->index());
        auto changed = std::make_shared<directory>(*copy_);
        if (changed->apply(delta) != delta_outcome::applied) {
            throw std::logic_error("a delta was not applied");
        }
        copy_ = std::move(changed);
    }

private:
    auto apply() -> void
    {
        const auto delta =
            control_.state().delta_since(copies_.newest()->index());
        if (copies_.apply(delta) != delta_outcome::applied) {
            throw std::logic_error("a delta was not applied");
        }
    }

    large_deployment control_;
    directory_copies copies_;
    std::shared_ptr<const directory> copy_;
};

/// The ticks of a proxy that hears its share of the announcements.
class announcement_ticks
{
public:
    explicit announcement_ticks(std::size_t size) : control_(size)
    {
        copy_.apply(control_.state().delta_since(log_index(0)));
    }

    auto step() -> void
    {
        now_ += 50ms;
        if (heard_.take_report(now_, copy_)) {
            throw std::logic_error("there was something to report");
        }
    }

private:
    time_point now_{1h};
    large_deployment control_;
    directory copy_;
    target_announcements heard_{{proxy_id("proxy-0"), incarnation(1)}};
};

/// Three control members without a network between them.
class control_group
{
public:
    explicit control_group(std::size_t /*size*/)
    {
        auto options = consensus_options{};
        options.is_founding = true;
        for (const auto* const name : {"c0", "c1", "c2"}) {
            options.members.emplace_back(name);
        }
        for (auto& member : members_) {
            const auto index = static_cast<std::size_t>(&member - &members_[0]);
            const auto self = member_identity{options.members.at(index),
                                              incarnation(index + 1)};
            member = std::make_unique<consensus_member>(
                self, options,
                [state = std::uint64_t{index + 1}]() mutable {
                    constexpr auto factor = std::uint64_t{6364136223846793005};
                    constexpr auto shift = 33U;
                    state = (state * factor) + 1;
                    return state >> shift;
                },
                stored_log{}, now_);
        }
        constexpr auto most_ticks = 10'000;
        for (auto tick = 0; tick < most_ticks && leader_ == nullptr; ++tick) {
            now_ += 10ms;
            for (const auto& member : members_) {
                member->tick(now_);
            }
            deliver();
            for (const auto& member : members_) {
                if (member->has_leader_lease(now_)) {
                    leader_ = member.get();
                }
            }
        }
        if (leader_ == nullptr) {
            throw std::logic_error("there is no leader");
        }
    }

    /// A command is proposed, replicated to both followers and committed.
    auto step() -> void
    {
        constexpr auto command_bytes = std::size_t{200};
        const auto before = committed_;
        static_cast<void>(
            leader_->propose(now_, std::string(command_bytes, 'x')));
        deliver();
        if (committed_ == before) {
            throw std::logic_error("a command was not committed");
        }
    }

private:
    auto deliver() -> void
    {
        auto is_quiet = false;
        while (!is_quiet) {
            is_quiet = true;
            for (const auto& member : members_) {
                while (member->has_ready()) {
                    is_quiet = false;
                    const auto ready = member->take_ready();
                    member->on_persisted(ready.number);
                    for (const auto& message : ready.messages) {
                        receive(message);
                    }
                    const auto is_leader = member.get() == leader_;
                    committed_ += is_leader ? ready.committed.size() : 0;
                }
            }
        }
    }

    auto receive(const consensus_message& message) -> void
    {
        constexpr auto digit = 1U;
        const auto index =
            static_cast<std::size_t>(message.to.id.value().at(digit) - '0');
        members_.at(index)->step(now_, message);
    }

    time_point now_{1h};
    std::array<std::unique_ptr<consensus_member>, 3> members_;
    consensus_member* leader_ = nullptr;
    std::size_t committed_ = 0;
};

template <class Subject>
auto call(std::size_t size, void (Subject::*step)()) -> operation
{
    return [subject = std::make_shared<Subject>(size), step] {
        (subject.get()->*step)();
    };
}

} // namespace

auto control_decisions() -> std::vector<costed_decision>
{
    const auto sizes = std::vector<std::size_t>{54, 270, 540};
    const auto deployment = [](void (large_deployment::*step)()) {
        return [step](std::size_t size) {
            return call(size, step);
        };
    };
    const auto copy = [](void (directory_copy::*step)()) {
        return [step](std::size_t size) {
            return call(size, step);
        };
    };
    return {
        {"lease_renewal", "proxies", sizes,
         deployment(&large_deployment::renew)},
        {"announcement_report", "proxies", sizes,
         deployment(&large_deployment::report)},
        {"leader_round", "proxies", sizes,
         deployment(&large_deployment::round)},
        {"leader_tick", "proxies", sizes, deployment(&large_deployment::tick)},
        {"target_change", "proxies", sizes,
         deployment(&large_deployment::change)},
        {"delta_of_one_target", "groups", sizes,
         copy(&directory_copy::make_delta)},
        {"directory_delta", "groups", sizes, copy(&directory_copy::step)},
        {"directory_delta_with_copy", "groups", sizes,
         copy(&directory_copy::step_with_copy)},
        {"proxy_report_tick", "groups", sizes,
         [](std::size_t size) {
             return call(size, &announcement_ticks::step);
         }},
        {"consensus_append",
         "commands",
         {1},
         [](std::size_t size) {
             return call(size, &control_group::step);
         }},
    };
}

} // namespace rhubarbrun::bench
