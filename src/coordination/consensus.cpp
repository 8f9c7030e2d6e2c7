#include <rhubarbrun/coordination/consensus.hpp>

#include <array>
#include <utility>

#include "consensus_core.hpp"

namespace rhubarbrun::inline v1 {

auto message_name(const consensus_message& message) noexcept -> const char*
{
    // In the order of the alternatives of `consensus_message::body_type`.
    constexpr auto names = std::array{
        "vote_request",  "vote_reply",      "append_request", "append_reply",
        "heartbeat",     "heartbeat_reply", "snapshot_chunk", "snapshot_reply",
        "found_request", "found_reply",     "join_request",   "leave_request",
        "leave_reply"};
    static_assert(names.size() ==
                  std::variant_size_v<consensus_message::body_type>);
    const auto position = message.body.index();
    return position < names.size() ? names[position] : "unknown";
}

auto to_string(consensus_role role) noexcept -> const char*
{
    switch (role) {
    case consensus_role::outsider:
        return "outsider";
    case consensus_role::follower:
        return "follower";
    case consensus_role::pre_candidate:
        return "pre_candidate";
    case consensus_role::candidate:
        return "candidate";
    case consensus_role::leader:
        return "leader";
    }
    return "unknown";
}

consensus_member::consensus_member(member_identity self,
                                   consensus_options options,
                                   random_function random, stored_log stored,
                                   time_point now)
    : core_(std::make_unique<detail::consensus_core>(
          std::move(self), std::move(options), std::move(random),
          std::move(stored), now))
{
}

consensus_member::consensus_member(consensus_member&&) noexcept = default;

auto consensus_member::operator=(consensus_member&&) noexcept
    -> consensus_member& = default;

consensus_member::~consensus_member() = default;

auto consensus_member::tick(time_point now) -> void
{
    core_->tick(now);
}

auto consensus_member::next_tick() const noexcept -> time_point
{
    return core_->next_tick();
}

auto consensus_member::step(time_point now, consensus_message message) -> void
{
    core_->step(now, std::move(message));
}

auto consensus_member::propose(time_point now, std::string command)
    -> propose_result
{
    return core_->propose(now, std::move(command));
}

auto consensus_member::propose_removal(time_point now,
                                       const member_identity& identity)
    -> propose_result
{
    return core_->propose_removal(now, identity);
}

auto consensus_member::read_index(time_point now) -> read_result
{
    return core_->read_index(now);
}

auto consensus_member::leave(time_point now) -> void
{
    core_->leave(now);
}

auto consensus_member::is_leaving() const -> bool
{
    return core_->is_leaving();
}

auto consensus_member::start_contact_round() -> std::uint64_t
{
    return core_->start_contact_round();
}

auto consensus_member::outlasts_tolerated_losses(time_point now,
                                                 std::uint64_t round) -> bool
{
    return core_->outlasts_tolerated_losses(now, round);
}

auto consensus_member::hears_leader(time_point now) const -> bool
{
    return core_->hears_leader(now);
}

auto consensus_member::set_contacts(std::vector<member_id> contacts) -> void
{
    core_->set_contacts(std::move(contacts));
}

auto consensus_member::has_leader_lease(time_point now) const noexcept -> bool
{
    return core_->has_leader_lease(now);
}

auto consensus_member::is_leader() const noexcept -> bool
{
    return core_->is_leader();
}

auto consensus_member::leader() const -> std::optional<member_identity>
{
    return core_->leader();
}

auto consensus_member::compact(log_index index, std::string data) -> void
{
    core_->compact(index, std::move(data));
}

auto consensus_member::has_ready() const -> bool
{
    return core_->has_ready();
}

auto consensus_member::take_ready() -> consensus_ready
{
    return core_->take_ready();
}

auto consensus_member::on_persisted(std::uint64_t number) -> void
{
    core_->on_persisted(number);
}

auto consensus_member::status(time_point now) const -> consensus_status
{
    return core_->status(now);
}

} // namespace rhubarbrun::inline v1
