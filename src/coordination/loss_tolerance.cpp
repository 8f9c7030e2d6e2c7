#include <rhubarbrun/coordination/loss_tolerance.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

auto outlasts_losses(
    const membership& configuration,
    const std::function<bool(const member_identity&)>& is_intact,
    std::size_t losses) -> bool
{
    const auto& members = configuration.members;
    const auto intact =
        std::count_if(members.begin(), members.end(), [&](const auto& each) {
            return each.role == member_role::voter && is_intact(each.identity);
        });
    // An entry is committed on a majority, which shares a member with every
    // majority that is left.
    return configuration.quorum() > 0 &&
           static_cast<std::size_t>(intact) >= losses + configuration.quorum();
}

} // namespace rhubarbrun::inline v1
