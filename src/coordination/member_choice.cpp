#include <rhubarbrun/coordination/member_choice.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Time for a member to accept a link and to answer, which takes several round
/// trips between regions.
constexpr auto first_patience = milliseconds(350);
/// The same in further searches, for processes that are short of processor
/// time.
constexpr auto later_patience = milliseconds(700);
/// Pause after a search that found no fresh view, as while no member leads.
constexpr auto first_pause = milliseconds(500);
constexpr auto later_pause = milliseconds(1000);
/// A followed member whose view is older than usual is asked more often: after
/// a change of leader it is soon fresh again.
constexpr auto usual_age = milliseconds(1000);
constexpr auto short_interval = milliseconds(200);
/// While no member is followed, another one is tried beside those that have not
/// answered within this time, several round trips between regions.
constexpr auto next_trial_delay = milliseconds(150);
constexpr auto max_trials = std::size_t{3};

} // namespace

member_choice::member_choice(member_choice_options options,
                             member_choice_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

auto member_choice::start(time_point now) -> void
{
    next_request_ = now + options_.interval;
    next_return_ = now;
    search(now);
}

auto member_choice::tick(time_point now) -> void
{
    const auto is_any_over = end_trials(
        "no_answer", [now](const auto& each) { return now >= each.deadline; });
    const auto is_next_due =
        trials_.empty() ? is_any_over : may_try_beside() && now >= next_trial_;
    if (is_next_due) {
        try_next(now);
    }
    if (trials_.empty() && now >= next_search_ &&
        (followed_.empty() || !is_fresh(now)))
    {
        search(now);
    }
    if (now < next_request_) {
        return;
    }
    next_request_ = now + request_interval(now);
    if (!followed_.empty()) {
        hooks_.request(followed_);
    }
}

auto member_choice::next_tick() const -> time_point
{
    auto next = next_request_;
    if (!trials_.empty()) {
        for (const auto& each : trials_) {
            next = std::min(next, each.deadline);
        }
        if (may_try_beside()) {
            next = std::min(next, next_trial_);
        }
    } else if (followed_.empty() || !covered_) {
        next = std::min(next, next_search_);
    } else {
        next =
            std::min(next, std::max(next_search_, *covered_ + fresh_view_limit +
                                                      duration(1)));
    }
    return next;
}

auto member_choice::on_link_up(const std::string& address) -> void
{
    if (is_tried(address)) {
        hooks_.request(address);
    }
}

auto member_choice::on_link_down(time_point now, const std::string& address)
    -> void
{
    if (is_tried(address)) {
        end_trial(now, address, "link_down");
    } else if (address == followed_) {
        hooks_.log_left(address, "link_down");
        hooks_.forget(address);
        followed_.clear();
        if (trials_.empty()) {
            search(now);
        }
    }
}

auto member_choice::on_answer(time_point now, const std::string& address,
                              std::optional<time_point> covered) -> void
{
    const auto was_tried = is_tried(address);
    if (!was_tried && address != followed_) {
        return;
    }
    if (covered && (!covered_ || *covered > *covered_)) {
        covered_ = covered;
    }
    const auto is_good = covered && now - *covered <= fresh_view_limit;
    if (is_good) {
        searches_ = 0;
    }
    if (was_tried) {
        if (is_good) {
            untried_.clear();
            follow(address, "fresher_member");
            static_cast<void>(
                end_trials("not_needed", [](const auto&) { return true; }));
        } else if (followed_.empty()) {
            // An old view is better than none while the search goes on.
            follow(address, "none");
            if (trials_.empty()) {
                try_next(now);
            }
        } else {
            end_trial(now, address, "old_view");
        }
    } else if (is_good) {
        untried_.clear();
        const auto may_return = !is_near(followed_);
        static_cast<void>(end_trials("not_needed", [&](const auto& each) {
            return !may_return || !is_near(each.address);
        }));
    }
    if (is_good && trials_.empty() && !is_near(followed_) &&
        now >= next_return_) {
        try_return(now);
    }
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

auto member_choice::candidates() const -> std::vector<std::string>
{
    auto result = options_.seeds();
    for (const auto& member : members_) {
        result.push_back(member.address);
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    if (!result.empty()) {
        // Processes begin with different members, which spreads their load.
        const auto first =
            std::hash<std::string>()(options_.address) % result.size();
        std::rotate(result.begin(),
                    result.begin() + static_cast<std::ptrdiff_t>(first),
                    result.end());
    }
    std::stable_partition(result.begin(), result.end(),
                          [&](const auto& each) { return is_near(each); });
    std::erase(result, followed_);
    return result;
}

auto member_choice::request_interval(time_point now) const -> duration
{
    const auto is_usual = covered_ && now - *covered_ <= usual_age;
    return is_usual ? options_.interval
                    : std::min<duration>(options_.interval, short_interval);
}

auto member_choice::trial_patience() const -> duration
{
    return searches_ > 1 ? later_patience : first_patience;
}

auto member_choice::search(time_point now) -> void
{
    untried_ = candidates();
    std::reverse(untried_.begin(), untried_.end());
    ++searches_;
    try_next(now);
}

auto member_choice::try_return(time_point now) -> void
{
    next_return_ = now + options_.return_interval;
    untried_ = candidates();
    std::erase_if(untried_, [&](const auto& each) { return !is_near(each); });
    std::reverse(untried_.begin(), untried_.end());
    try_next(now);
}

auto member_choice::try_next(time_point now) -> void
{
    if (untried_.empty()) {
        if (!is_fresh(now)) {
            next_search_ = now + (searches_ > 1 ? later_pause : first_pause);
        }
        return;
    }
    trials_.push_back({std::move(untried_.back()), now + trial_patience()});
    untried_.pop_back();
    next_trial_ = now + next_trial_delay;
    hooks_.connect(trials_.back().address);
}

auto member_choice::is_tried(const std::string& address) const -> bool
{
    return std::any_of(trials_.begin(), trials_.end(), [&](const auto& each) {
        return each.address == address;
    });
}

auto member_choice::may_try_beside() const -> bool
{
    return followed_.empty() && !trials_.empty() &&
           trials_.size() < max_trials && !untried_.empty();
}

auto member_choice::end_trials(std::string_view reason,
                               const std::function<bool(const trial&)>& which)
    -> bool
{
    const auto first_ended =
        std::stable_partition(trials_.begin(), trials_.end(),
                              [&](const auto& each) { return !which(each); });
    const auto ended = std::vector<trial>(first_ended, trials_.end());
    trials_.erase(first_ended, trials_.end());
    for (const auto& each : ended) {
        hooks_.log_left(each.address, reason);
        hooks_.forget(each.address);
    }
    return !ended.empty();
}

auto member_choice::end_trial(time_point now, const std::string& address,
                              std::string_view reason) -> void
{
    static_cast<void>(end_trials(
        reason, [&](const auto& each) { return each.address == address; }));
    if (trials_.empty()) {
        try_next(now);
    }
}

auto member_choice::follow(const std::string& address, std::string_view reason)
    -> void
{
    if (!followed_.empty()) {
        hooks_.log_left(followed_, reason);
        hooks_.forget(followed_);
    }
    followed_ = address;
    std::erase_if(trials_,
                  [&](const auto& each) { return each.address == address; });
}

} // namespace rhubarbrun::inline v1
