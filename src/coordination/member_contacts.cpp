#include <rhubarbrun/coordination/member_contacts.hpp>

#include <algorithm>
#include <iterator>

namespace rhubarbrun::inline v1 {

auto choose_contacts(const contact_sources& sources) -> contact_choice
{
    const auto& [own, seeds, members, reported_members, is_served] = sources;
    auto choice = contact_choice{};
    choice.wanted.insert(seeds.begin(), seeds.end());
    choice.wanted.insert(members.begin(), members.end());
    if (!is_served) {
        choice.wanted.insert(reported_members.begin(), reported_members.end());
    }
    choice.wanted.erase(own);
    const auto is_member =
        std::find(members.begin(), members.end(), own) != members.end();
    if (!is_served || !is_member) {
        choice.dialed = choice.wanted;
        return choice;
    }
    std::copy_if(choice.wanted.begin(), choice.wanted.end(),
                 std::inserter(choice.dialed, choice.dialed.end()),
                 [&own = own](const auto& each) { return each > own; });
    return choice;
}

} // namespace rhubarbrun::inline v1
