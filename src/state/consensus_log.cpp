#include <rhubarbrun/state/consensus_log.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Fixed fields of an encoded entry or member, rounded up, in bytes.
constexpr auto fixed_weight = std::size_t{48};

} // namespace

auto membership::find(const member_identity& identity) const noexcept
    -> const group_member*
{
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const auto& member) {
            return member.identity == identity;
        });
    return found == members.end() ? nullptr : &*found;
}

auto membership::find(const member_id& id) const noexcept -> const group_member*
{
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const auto& member) {
            return member.identity.id == id;
        });
    return found == members.end() ? nullptr : &*found;
}

auto membership::is_voter(const member_identity& identity) const noexcept
    -> bool
{
    const auto* const member = find(identity);
    return member != nullptr && member->role == member_role::voter;
}

auto membership::voter_count() const noexcept -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto& member) {
            return member.role == member_role::voter;
        }));
}

auto membership::quorum() const noexcept -> std::size_t
{
    const auto voters = voter_count();
    return voters == 0 ? 0 : voters / 2 + 1;
}

auto membership::with(const group_member& member) const -> membership
{
    auto result = *this;
    std::erase_if(result.members, [&](const auto& other) {
        return other.identity.id == member.identity.id;
    });
    const auto place = std::find_if(
        result.members.begin(), result.members.end(),
        [&](const auto& other) { return member.identity < other.identity; });
    result.members.insert(place, member);
    return result;
}

auto membership::without(const member_identity& identity) const -> membership
{
    auto result = *this;
    std::erase_if(result.members, [&](const auto& other) {
        return other.identity == identity;
    });
    return result;
}

auto membership::voters_changed(const membership& other) const noexcept
    -> std::size_t
{
    const auto count_missing = [](const membership& from,
                                  const membership& in) {
        return static_cast<std::size_t>(std::count_if(
            from.members.begin(), from.members.end(), [&](const auto& member) {
                return member.role == member_role::voter &&
                       !in.is_voter(member.identity);
            }));
    };
    return count_missing(*this, other) + count_missing(other, *this);
}

auto log_entry::weight() const noexcept -> std::size_t
{
    auto bytes = fixed_weight + command.size();
    if (configuration) {
        for (const auto& member : configuration->members) {
            bytes += fixed_weight + member.identity.id.value().size();
        }
    }
    return bytes;
}

} // namespace rhubarbrun::inline v1
