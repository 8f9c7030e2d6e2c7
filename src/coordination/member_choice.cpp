#include <rhubarbrun/coordination/member_choice.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// A member that sent nothing useful for this long is left for another one;
/// two requests and their round trips.
constexpr auto member_patience = milliseconds(1400);
/// Time for a member to accept a link, with several round trips between
/// regions.
constexpr auto link_patience = milliseconds(300);

} // namespace

member_choice::member_choice(member_choice_options options,
                             member_choice_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

auto member_choice::start(time_point now) -> void
{
    next_request_ = now + options_.interval;
    follow_next(now, "start");
}

auto member_choice::tick(time_point now) -> void
{
    if (now >= link_deadline_) {
        follow_next(now, "no_link");
    }
    if (now < next_request_) {
        return;
    }
    next_request_ = now + options_.interval;
    if (now - followed_since_ > member_patience) {
        follow_next(now, "no_news");
    }
    if (is_linked_) {
        hooks_.request(followed_);
    }
}

auto member_choice::next_tick() const -> time_point
{
    return std::min(next_request_, link_deadline_);
}

auto member_choice::on_link_up(time_point, const std::string& address) -> void
{
    if (address != followed_) {
        return;
    }
    is_linked_ = true;
    link_deadline_ = time_point::max();
    hooks_.request(followed_);
}

auto member_choice::on_link_down(time_point now, const std::string& address)
    -> void
{
    if (address == followed_ && is_linked_) {
        follow_next(now, "link_down");
    }
}

auto member_choice::on_answer(time_point now, const std::string&,
                              std::optional<time_point> covered) -> void
{
    if (covered) {
        covered_ = covered;
        followed_since_ = now;
    }
    return_to_region(now);
}

auto member_choice::set_members(std::vector<member_location> members) -> void
{
    members_ = std::move(members);
}

auto member_choice::is_near(const std::string& address) const -> bool
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](const auto& member) {
                           return member.address == address &&
                                  member.region == options_.region;
                       });
}

auto member_choice::return_to_region(time_point now) -> void
{
    const auto has_near =
        std::any_of(members_.begin(), members_.end(), [&](const auto& member) {
            return member.region == options_.region;
        });
    if (has_near && !is_near(followed_) && now >= next_return_) {
        next_return_ = now + options_.return_interval;
        attempts_ = 0;
        follow_next(now, "other_region");
    }
}

auto member_choice::follow_next(time_point now, const std::string& reason)
    -> void
{
    auto candidates = options_.seeds();
    for (const auto& member : members_) {
        candidates.push_back(member.address);
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()),
                     candidates.end());
    if (candidates.empty()) {
        return;
    }
    // Processes begin with different members, which spreads their load.
    const auto first =
        std::hash<std::string>()(options_.address) % candidates.size();
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(first),
                candidates.end());
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&](const auto& each) { return is_near(each); });
    if (!followed_.empty()) {
        hooks_.log_left(followed_, reason);
        hooks_.forget(followed_);
    }
    is_linked_ = false;
    followed_ = candidates[attempts_++ % candidates.size()];
    followed_since_ = now;
    link_deadline_ = now + link_patience;
    hooks_.connect(followed_);
}

} // namespace rhubarbrun::inline v1
