#include <rhubarbrun/transport/view_client.hpp>

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// A member that sent nothing useful for this long is left for another one;
/// two requests and their round trips.
constexpr auto member_patience = milliseconds(1400);
/// Time for a member to accept a link, with several round trips between
/// regions.
constexpr auto link_patience = milliseconds(300);
/// Answers to older requests than these tell no positions.
constexpr auto requests_remembered = std::size_t{4};

} // namespace

class view_client::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, view_client_options options,
                   view_client_hooks hooks)
        : options_(std::move(options)),
          hooks_(std::move(hooks)),
          timer_(context),
          link_timer_(context),
          links_(context, options_.link_key,
                 {{peer_role::proxy, options_.address},
                  incarnation(random_number())},
                 {[this](const link_info& link) { on_link_up(link); },
                  [this](const link_info& link, message_type type,
                         const std::string& payload) {
                      on_message(link, type, payload);
                  },
                  [this](const link_info& link, std::string_view reason) {
                      on_link_down(link, reason);
                  }},
                 options_.links)
    {
    }

    auto start() -> void
    {
        follow_next();
        arm_timer();
    }

    auto stop() -> void
    {
        is_stopped_ = true;
        timer_.cancel();
        link_timer_.cancel();
        links_.stop();
    }

    [[nodiscard]] auto age(time_point now) const -> std::optional<duration>
    {
        return current_at_ ? std::optional(now - *current_at_) : std::nullopt;
    }

    auto request() -> void
    {
        if (!link_) {
            return;
        }
        auto message = view_request{};
        message.number = ++last_request_;
        requested_at_[message.number] = steady_now();
        if (requested_at_.size() > requests_remembered) {
            requested_at_.erase(requested_at_.begin());
        }
        message.configuration_version = hooks_.configuration_version();
        message.report = {options_.address, hooks_.sightings()};
        links_.send(*link_, message_type::view_request, encode(message));
    }

private:
    auto on_link_up(const link_info& link) -> void
    {
        if (link.peer.who.name != followed_) {
            return;
        }
        link_ = link.id;
        request();
    }

    auto on_link_down(const link_info& link, std::string_view reason) -> void
    {
        if (link_ != link.id) {
            return;
        }
        link_.reset();
        log_event("control_lost", event_severity::warning)
            .field("member", link.peer.who.name)
            .field("reason", reason);
        follow_next();
    }

    auto on_message(const link_info& link, message_type type,
                    const std::string& payload) -> void
    {
        if (type != message_type::view_update) {
            return;
        }
        auto update = decode<view_update>(payload);
        if (!update) {
            log_event("view_update_malformed", event_severity::warning)
                .field("member", followed_);
            return;
        }
        if (update->is_current) {
            if (!std::exchange(is_followed_current_, true)) {
                log_event("control_followed").field("member", followed_);
            }
            current_at_ = steady_now();
            followed_since_ = *current_at_;
        }
        if (!update->control_members.empty()) {
            members_ = update->control_members;
        }
        tell_positions(*update);
        hooks_.on_update(link.peer.who.name, std::move(*update));
        return_to_region();
    }

    /// The answer left its sender after the request was sent here, so that
    /// counting an observation's age back from then makes it no younger.
    auto tell_positions(const view_update& update) -> void
    {
        const auto asked = requested_at_.find(update.answers);
        if (asked == requested_at_.end() || !hooks_.on_position) {
            return;
        }
        for (const auto& each : update.positions) {
            hooks_.on_position(each.group,
                               asked->second - milliseconds(each.asked_ago_ms),
                               each.position);
        }
    }

    /// Whether a member is known to be in the region of this process.
    [[nodiscard]] auto is_near(const std::string& address) const -> bool
    {
        return std::any_of(members_.begin(), members_.end(),
                           [&](const auto& member) {
                               return member.address == address &&
                                      member.region == options_.region;
                           });
    }

    auto return_to_region() -> void
    {
        const auto now = steady_now();
        const auto has_near = std::any_of(
            members_.begin(), members_.end(), [&](const auto& member) {
                return member.region == options_.region;
            });
        if (has_near && !is_near(followed_) && now >= next_return_) {
            next_return_ = now + options_.return_interval;
            attempts_ = 0;
            follow_next();
        }
    }

    auto follow_next() -> void
    {
        auto candidates = options_.seeds();
        for (const auto& member : members_) {
            candidates.push_back(member.address);
        }
        std::sort(candidates.begin(), candidates.end());
        candidates.erase(std::unique(candidates.begin(), candidates.end()),
                         candidates.end());
        // Processes begin with different members, which spreads their load.
        const auto start = std::hash<std::string>()(options_.address);
        if (!candidates.empty()) {
            std::rotate(candidates.begin(),
                        candidates.begin() + static_cast<std::ptrdiff_t>(
                                                 start % candidates.size()),
                        candidates.end());
            std::stable_partition(
                candidates.begin(), candidates.end(),
                [&](const auto& address) { return is_near(address); });
        }
        if (candidates.empty()) {
            return;
        }
        if (!followed_.empty()) {
            const auto now = steady_now();
            log_event("control_left")
                .field("member", followed_)
                .field("was_current", is_followed_current_)
                .field("view_age_ms",
                       current_at_ ? to_milliseconds(now - *current_at_) : -1);
            links_.forget({peer_role::control, followed_});
        }
        link_.reset();
        followed_ = candidates[attempts_++ % candidates.size()];
        followed_since_ = steady_now();
        arm_link_timer();
        is_followed_current_ = false;
        links_.connect({peer_role::control, followed_},
                       {asio::ip::make_address(followed_), options_.peer_port});
    }

    auto arm_link_timer() -> void
    {
        link_timer_.expires_after(link_patience);
        link_timer_.async_wait([weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (self && !error && !self->is_stopped_ && !self->link_) {
                self->follow_next();
            }
        });
    }

    auto arm_timer() -> void
    {
        timer_.expires_after(options_.interval);
        timer_.async_wait([weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (!self || error || self->is_stopped_) {
                return;
            }
            if (steady_now() - self->followed_since_ > member_patience) {
                self->follow_next();
            }
            self->request();
            self->arm_timer();
        });
    }

    view_client_options options_;
    view_client_hooks hooks_;
    asio::steady_timer timer_;
    asio::steady_timer link_timer_;
    peer_links links_;
    std::vector<control_member_record> members_;
    std::string followed_;
    std::optional<link_id> link_;
    time_point followed_since_;
    std::optional<time_point> current_at_;
    std::size_t attempts_ = 0;
    std::uint64_t last_request_ = 0;
    /// When the latest requests were sent, by number.
    std::map<std::uint64_t, time_point> requested_at_;
    time_point next_return_;
    bool is_followed_current_ = false;
    bool is_stopped_ = false;
};

view_client::view_client(asio::io_context& context, view_client_options options,
                         view_client_hooks hooks)
    : implementation_(std::make_shared<implementation>(
          context, std::move(options), std::move(hooks)))
{
}

view_client::~view_client()
{
    implementation_->stop();
}

auto view_client::start() -> void
{
    implementation_->start();
}

auto view_client::stop() -> void
{
    implementation_->stop();
}

auto view_client::age(time_point now) const -> std::optional<duration>
{
    return implementation_->age(now);
}

} // namespace rhubarbrun::inline v1
