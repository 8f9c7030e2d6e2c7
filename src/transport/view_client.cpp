#include <rhubarbrun/transport/view_client.hpp>

#include <rhubarbrun/coordination/member_choice.hpp>
#include <rhubarbrun/protocol/document_delta.hpp>
#include <rhubarbrun/protocol/text_compression.hpp>
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
/// The same for requests for positions, which are more frequent.
constexpr auto position_requests_remembered = std::size_t{256};

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

    auto ask_position(const group_id& group) -> bool
    {
        const auto link = open_.find(choice_.followed());
        if (link == open_.end()) {
            return false;
        }
        const auto number = ++last_position_request_;
        if (!links_.send(link->second, message_type::position_request,
                         encode(position_request{number, {group}})))
        {
            return false;
        }
        position_requested_at_[number] = steady_now();
        if (position_requested_at_.size() > position_requests_remembered) {
            position_requested_at_.erase(position_requested_at_.begin());
        }
        return true;
    }

    auto send_report(const allowance_report& report) -> void
    {
        if (const auto link = open_.find(choice_.followed());
            link != open_.end()) {
            links_.send(link->second, message_type::allowance_report,
                        encode(report));
        }
    }

    [[nodiscard]] auto traffic() const -> const link_traffic&
    {
        return links_.traffic();
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
        if (!is_address(member)) {
            log_event("member_ignored", event_severity::warning)
                .field("member", member)
                .field("reason", "not an address");
            return;
        }
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
        subscribe(link->second);
        auto message = view_request{};
        message.number = ++last_request_;
        requested_at_[message.number] = steady_now();
        if (requested_at_.size() > requests_remembered) {
            requested_at_.erase(requested_at_.begin());
        }
        message.configuration_version =
            is_whole_wanted_ ? 0 : hooks_.configuration_version();
        message.report = {options_.address, hooks_.sightings()};
        links_.send(link->second, message_type::view_request, encode(message));
    }

    /// Tells the member what is needed and held, on a new link and if the
    /// groups changed.
    auto subscribe(link_id link) -> void
    {
        if (!hooks_.subscription) {
            return;
        }
        auto wanted = hooks_.subscription();
        const auto told = subscribed_.find(link);
        if (told != subscribed_.end() && told->second == wanted.groups) {
            return;
        }
        links_.send(link, message_type::view_subscription, encode(wanted));
        subscribed_[link] = std::move(wanted.groups);
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
        subscribed_.erase(link.id);
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
        switch (type) {
        case message_type::position_update:
            if (const auto update = decode<position_update>(payload)) {
                tell_positions(*update);
            }
            return;
        case message_type::server_changes:
            on_server_changes(member, payload);
            return;
        case message_type::configuration_delta:
            if (const auto delta = decode<configuration_delta>(payload)) {
                on_delta(member, *delta);
            }
            return;
        case message_type::allowance_grant:
            if (const auto grant = decode<allowance_grant>(payload);
                grant && hooks_.on_grant)
            {
                hooks_.on_grant(*grant);
            }
            return;
        case message_type::view_update:
            break;
        default:
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
                if (is_address(each.address)) {
                    members.push_back({each.address, each.region});
                }
            }
            choice_.set_members(std::move(members));
        }
        const auto asked = requested_at_.find(update->answers);
        const auto is_answer = asked != requested_at_.end();
        tell_positions(*update);
        if (!update->configuration.empty() && hooks_.on_configuration) {
            take_configuration(member, decompress_text(update->configuration));
        }
        // A view without the configuration that goes with it is not fresh.
        const auto is_whole =
            !hooks_.on_configuration ||
            hooks_.configuration_version() >= update->configuration_version;
        auto covered = std::optional<time_point>();
        if (is_answer && update->age_ms >= 0 && is_whole) {
            covered = asked->second - milliseconds(update->age_ms);
        }
        hooks_.on_update(member, std::move(*update));
        if (is_answer) {
            choice_.on_answer(steady_now(), member, covered);
            log_followed();
            arm_timer();
        }
    }

    auto on_server_changes(const std::string& member,
                           const std::string& payload) -> void
    {
        const auto changes = decode<server_changes>(payload);
        auto records =
            changes
                ? decode<server_announcements>(decompress_text(changes->packed))
                : std::nullopt;
        if (!records) {
            log_event("server_changes_malformed", event_severity::warning)
                .field("member", member);
            return;
        }
        auto update = view_update{};
        update.servers = std::move(records->records);
        std::erase_if(update.servers,
                      [](const auto& each) { return !each.is_usable(); });
        hooks_.on_update(member, std::move(update));
    }

    auto on_delta(const std::string& member, const configuration_delta& delta)
        -> void
    {
        const auto held = hooks_.configuration_version();
        if (delta.to <= held) {
            return;
        }
        const auto text = delta.from == held
                              ? apply_delta(configuration_text_, delta.delta)
                              : std::nullopt;
        if (!text) {
            log_event("configuration_delta_unusable", event_severity::warning)
                .field("member", member)
                .field("from", delta.from)
                .field("to", delta.to)
                .field("held", held);
            is_whole_wanted_ = true;
            return;
        }
        take_configuration(member, *text);
    }

    auto take_configuration(const std::string& member, const std::string& text)
        -> void
    {
        is_whole_wanted_ = false;
        const auto held = hooks_.configuration_version();
        hooks_.on_configuration(member, text);
        if (hooks_.configuration_version() != held) {
            configuration_text_ = text;
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

    /// The request was sent before it arrived, so that this makes nothing
    /// younger than it is either.
    auto tell_positions(const position_update& update) -> void
    {
        const auto asked = position_requested_at_.find(update.answers);
        if (asked == position_requested_at_.end() || !hooks_.on_position) {
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
    std::uint64_t last_position_request_ = 0;
    std::map<std::uint64_t, time_point> position_requested_at_;
    /// The groups of interest that each link was told last.
    std::map<link_id, std::vector<group_id>> subscribed_;
    /// The configuration that was taken last, to which deltas apply.
    std::string configuration_text_;
    /// A delta did not fit, so that the whole configuration is asked for.
    bool is_whole_wanted_ = false;
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

auto view_client::traffic() const -> const link_traffic&
{
    return implementation_->traffic();
}

auto view_client::ask_position(const group_id& group) -> bool
{
    return implementation_->ask_position(group);
}

auto view_client::send_report(const allowance_report& report) -> void
{
    implementation_->send_report(report);
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
