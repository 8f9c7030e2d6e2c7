#include <rhubarbrun/coordination/group_interest.hpp>

namespace rhubarbrun::inline v1 {

namespace {

/// Longer than the pause between two reads of a session that is in use, and
/// short enough that groups which were read once cost little.
constexpr auto interest_ttl = std::chrono::seconds(8);

} // namespace

auto group_interest::note(time_point now, const group_id& group) -> void
{
    used_at_[group] = now;
}

auto group_interest::groups(time_point now) -> std::vector<group_id>
{
    std::erase_if(used_at_, [&](const auto& each) {
        return now - each.second > interest_ttl;
    });
    auto result = std::vector<group_id>();
    result.reserve(used_at_.size());
    for (const auto& [group, used_at] : used_at_) {
        result.push_back(group);
    }
    return result;
}

} // namespace rhubarbrun::inline v1
