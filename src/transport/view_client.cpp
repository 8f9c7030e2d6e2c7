#include <rhubarbrun/transport/view_client.hpp>

#include <rhubarbrun/coordination/member_choice.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Answers to older requests than these tell no positions and no age.
constexpr auto requests_remembered = std::size_t{16};

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
                 options_.links),
          choice_({options_.address, options_.region, options_.seeds,
                   options_.interval, options_.return_interval},
                  {[this](const std::string& member) { connect(member); },
                   [this](const std::string& member) { forget(member); },
                   [this](const std::string& member) { request(member); },
                   [this](const std::string& member, std::string_view reason) {
                       log_left(member, reason);
                   }})
    {
    }

    auto start() -> void
    {
        choice_.start(steady_now());
        arm_timer();
    }

    auto stop() -> void
    {
        is_stopped_ = true;
        timer_.cancel();
        links_.stop();
    }

    [[nodiscard]] auto age(time_point now) const -> std::optional<duration>
    {
        const auto covered = choice_.covered();
        return covered ? std::optional(now - *covered) : std::nullopt;
    }

    [[nodiscard]] auto is_fresh(time_point now) const -> bool
    {
        return choice_.is_fresh(now);
    }

private:
    auto connect(const std::string& member) -> void
    {
        links_.connect({peer_role::control, member},
                       {asio::ip::make_address(member), options_.peer_port});
    }

    auto forget(const std::string& member) -> void
    {
        open_.erase(member);
        links_.forget({peer_role::control, member});
    }

    auto request(const std::string& member) -> void
    {
        const auto link = open_.find(member);
        if (link == open_.end()) {
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
        links_.send(link->second, message_type::view_request, encode(message));
    }

    auto log_left(const std::string& member, std::string_view reason) -> void
    {
        const auto view_age = age(steady_now());
        log_event("control_left")
            .field("member", member)
            .field("reason", reason)
            .field("view_age_ms", view_age ? to_milliseconds(*view_age) : -1);
    }

    auto on_link_up(const link_info& link) -> void
    {
        const auto& member = link.peer.who.name;
        open_[member] = link.id;
        choice_.on_link_up(member);
        arm_timer();
    }

    auto on_link_down(const link_info& link, std::string_view reason) -> void
    {
        const auto& member = link.peer.who.name;
        const auto found = open_.find(member);
        if (found == open_.end() || found->second != link.id) {
            return;
        }
        open_.erase(found);
        if (member == choice_.followed()) {
            log_event("control_lost", event_severity::warning)
                .field("member", member)
                .field("reason", reason);
            logged_.clear();
        }
        choice_.on_link_down(steady_now(), member);
        arm_timer();
    }

    auto on_message(const link_info& link, message_type type,
                    const std::string& payload) -> void
    {
        const auto& member = link.peer.who.name;
        if (type != message_type::view_update) {
            return;
        }
        auto update = decode<view_update>(payload);
        if (!update) {
            log_event("view_update_malformed", event_severity::warning)
                .field("member", member);
            return;
        }
        if (!update->control_members.empty()) {
            auto members = std::vector<member_location>();
            for (const auto& each : update->control_members) {
                members.push_back({each.address, each.region});
            }
            choice_.set_members(std::move(members));
        }
        const auto asked = requested_at_.find(update->answers);
        const auto is_answer = asked != requested_at_.end();
        auto covered = std::optional<time_point>();
        if (is_answer && update->age_ms >= 0) {
            covered = asked->second - milliseconds(update->age_ms);
        }
        tell_positions(*update);
        hooks_.on_update(member, std::move(*update));
        if (is_answer) {
            choice_.on_answer(steady_now(), member, covered);
            log_followed();
            arm_timer();
        }
    }

    auto log_followed() -> void
    {
        if (choice_.followed() != logged_) {
            logged_ = choice_.followed();
            const auto view_age = age(steady_now());
            log_event("control_followed")
                .field("member", logged_)
                .field("view_age_ms",
                       view_age ? to_milliseconds(*view_age) : -1);
        }
    }

    /// The answer left its sender after the request was sent here, so that
    /// counting an age back from then makes nothing younger than it is.
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

    auto arm_timer() -> void
    {
        const auto wait = choice_.next_tick() - steady_now();
        timer_.expires_after(std::max(wait, duration(1000)));
        timer_.async_wait([weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (!self || error || self->is_stopped_) {
                return;
            }
            self->choice_.tick(steady_now());
            self->arm_timer();
        });
    }

    view_client_options options_;
    view_client_hooks hooks_;
    asio::steady_timer timer_;
    peer_links links_;
    member_choice choice_;
    /// Links to members that are up, by address.
    std::map<std::string, link_id> open_;
    /// The member that the log last called followed.
    std::string logged_;
    std::uint64_t last_request_ = 0;
    /// When the latest requests were sent, by number.
    std::map<std::uint64_t, time_point> requested_at_;
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

auto view_client::is_fresh(time_point now) const -> bool
{
    return implementation_->is_fresh(now);
}

auto view_client::age(time_point now) const -> std::optional<duration>
{
    return implementation_->age(now);
}

} // namespace rhubarbrun::inline v1
