#ifndef RHUBARBRUN_COORDINATION_MEMBER_CHOICE_HPP
#define RHUBARBRUN_COORDINATION_MEMBER_CHOICE_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// A control member as a proxy may follow it.
struct member_location
{
    /// IP address, which is also the name.
    std::string address;
    /// Empty if it is not known.
    std::string region;
};

/// Settings of a `member_choice`.
struct member_choice_options
{
    /// IP address of this process.
    std::string address;
    std::string region;
    /// IP addresses of some control members, read again for each choice.
    std::function<std::vector<std::string>()> seeds;
    /// Time between two requests to the followed member.
    duration interval = milliseconds(500);
    /// A member of another region is left for one of the own region at most
    /// this often.
    duration return_interval = std::chrono::seconds(10);
};

/// Operations that a `member_choice` requires of its environment.
struct member_choice_hooks
{
    /// Opens a link to a member; `on_link_up` follows if it succeeds.
    std::function<void(const std::string& address)> connect;
    /// Closes the link, or ends the attempts to open it.
    std::function<void(const std::string& address)> forget;
    /// Asks the member for changes; `on_answer` follows if it answers.
    std::function<void(const std::string& address)> request;
    /// `reason` is a word.
    std::function<void(const std::string& address, const std::string& reason)>
        log_left;
};

/// Chooses the control member from which a proxy gets its view.
///
/// It does no I/O: the caller passes time and events, and implements the hooks.
/// Hooks must not call back into the object.
class member_choice
{
public:
    member_choice(member_choice_options options, member_choice_hooks hooks);

    auto start(time_point now) -> void;
    /// To be called at `next_tick` or more often.
    auto tick(time_point now) -> void;
    [[nodiscard]] auto next_tick() const -> time_point;

    auto on_link_up(time_point now, const std::string& address) -> void;
    auto on_link_down(time_point now, const std::string& address) -> void;
    /// A member answered; its state holds everything that was acknowledged
    /// before `covered`, no value if it cannot tell.
    auto on_answer(time_point now, const std::string& address,
                   std::optional<time_point> covered) -> void;
    /// Replaces what is known of the members.
    auto set_members(std::vector<member_location> members) -> void;

    /// The view holds everything that was acknowledged before this time; no
    /// value if that is not known of any.
    [[nodiscard]] auto covered() const -> std::optional<time_point>
    {
        return covered_;
    }

private:
    [[nodiscard]] auto is_near(const std::string& address) const -> bool;
    auto return_to_region(time_point now) -> void;
    auto follow_next(time_point now, const std::string& reason) -> void;

    member_choice_options options_;
    member_choice_hooks hooks_;
    std::vector<member_location> members_;
    std::string followed_;
    bool is_linked_ = false;
    time_point followed_since_;
    time_point link_deadline_ = time_point::max();
    time_point next_request_;
    time_point next_return_;
    std::optional<time_point> covered_;
    std::size_t attempts_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
