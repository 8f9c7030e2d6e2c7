#ifndef RHUBARBRUN_COORDINATION_MEMBER_CHOICE_HPP
#define RHUBARBRUN_COORDINATION_MEMBER_CHOICE_HPP

#include <rhubarbrun/state/units.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
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

/// A proxy whose view is older looks for another member, and does not rely on
/// the view to deny that something exists. Together with the search this stays
/// below the time that deployments allow from the acknowledgement of a
/// configuration to its effect.
inline constexpr auto fresh_view_limit = milliseconds(1800);

/// Settings of a `member_choice`.
struct member_choice_options
{
    /// IP address of this process.
    std::string address;
    std::string region;
    /// IP addresses of some control members, read again for each search.
    std::function<std::vector<std::string>()> seeds;
    /// Time between two requests to the followed member.
    duration interval = milliseconds(500);
    /// A member of the own region is tried at most this often while one of
    /// another region is followed.
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
    /// Reports that a member is followed, or tried, no longer. `reason` is a
    /// word.
    std::function<void(const std::string& address, std::string_view reason)>
        log_left;
};

/// Chooses the control member from which a proxy gets its view.
///
/// A member is judged by the age of the view that it gives, not by whether it
/// answers. While the view is too old, the other members are tried one after
/// the other; the followed one is asked all the while, and left only once
/// another one has given a fresh view. The same holds for the return to the own
/// region. A process that follows none, such as one that starts, does not wait
/// for members that do not answer: it tries a few at a time.
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

    auto on_link_up(const std::string& address) -> void;
    auto on_link_down(time_point now, const std::string& address) -> void;
    /// A member answered; its state holds everything that was acknowledged
    /// before `covered`, no value if it cannot tell.
    auto on_answer(time_point now, const std::string& address,
                   std::optional<time_point> covered) -> void;
    /// Replaces what is known of the members.
    auto set_members(std::vector<member_location> members) -> void;

    /// The followed member; empty if there is none.
    [[nodiscard]] auto followed() const -> const std::string&
    {
        return followed_;
    }

    /// The view holds everything that was acknowledged before this time; no
    /// value if that is not known of any.
    [[nodiscard]] auto covered() const -> std::optional<time_point>
    {
        return covered_;
    }

    /// Whether the view is young enough to deny that something exists.
    [[nodiscard]] auto is_fresh(time_point now) const -> bool
    {
        return covered_ && now - *covered_ <= fresh_view_limit;
    }

private:
    /// A member that is followed only if it gives a fresh view.
    struct trial
    {
        std::string address;
        time_point deadline;
    };

    [[nodiscard]] auto is_near(const std::string& address) const -> bool;
    [[nodiscard]] auto candidates() const -> std::vector<std::string>;
    [[nodiscard]] auto request_interval(time_point now) const -> duration;
    [[nodiscard]] auto trial_patience() const -> duration;
    /// Begins to try all other members.
    auto search(time_point now) -> void;
    /// Begins to try the members of the own region.
    auto try_return(time_point now) -> void;
    auto try_next(time_point now) -> void;
    /// Ends the trial and, if it was the only one, begins the next.
    auto end_trial(time_point now, const std::string& address,
                   std::string_view reason) -> void;
    [[nodiscard]] auto is_tried(const std::string& address) const -> bool;
    /// Whether another member may be tried beside those that are tried.
    [[nodiscard]] auto may_try_beside() const -> bool;
    /// Ends the trials that `which` selects; returns whether there was one.
    auto end_trials(std::string_view reason,
                    const std::function<bool(const trial&)>& which) -> bool;
    /// Follows a member that is tried.
    auto follow(const std::string& address, std::string_view reason) -> void;

    member_choice_options options_;
    member_choice_hooks hooks_;
    std::vector<member_location> members_;
    /// Its link is up; empty if there is none.
    std::string followed_;
    std::vector<trial> trials_;
    /// Members still to be tried, the next one last.
    std::vector<std::string> untried_;
    /// Searches since the view was fresh last.
    unsigned searches_ = 0;
    time_point next_search_;
    /// When a member may be tried beside those that are tried.
    time_point next_trial_;
    time_point next_return_;
    time_point next_request_;
    std::optional<time_point> covered_;
};

} // namespace rhubarbrun::inline v1

#endif
