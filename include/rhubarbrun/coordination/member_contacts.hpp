#ifndef RHUBARBRUN_COORDINATION_MEMBER_CONTACTS_HPP
#define RHUBARBRUN_COORDINATION_MEMBER_CONTACTS_HPP

#include <set>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// What a control process knows of the others, all by IP address.
struct contact_sources
{
    std::string own_address;
    std::vector<std::string> seeds;
    /// Members by the own log, which may be old.
    std::vector<std::string> members;
    /// Members as other control processes reported them.
    std::vector<std::string> reported_members;
    /// Whether a leader has been heard within the election timeout.
    bool is_served = false;
};

/// Other control processes of interest to one of them.
struct contact_choice
{
    /// Links to all others are closed.
    std::set<std::string> wanted;
    /// Those of `wanted` to which this process opens a link.
    std::set<std::string> dialed;
};

/// Chooses the links of a control process to the others.
///
/// Of two members that a leader serves, the one with the lower address opens
/// the link, which spares a second one. A process without a leader opens links
/// to all that it can learn of: its log may still name it as a member although
/// it was removed, and the others neither know it any more nor wait for it, or
/// it may lack a member that joined while it was down and leads now.
[[nodiscard]] auto choose_contacts(const contact_sources& sources)
    -> contact_choice;

} // namespace rhubarbrun::inline v1

#endif
