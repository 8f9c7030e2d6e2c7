#include <rhubarbrun/transport/control_client.hpp>

#include <rhubarbrun/transport/event_log.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Fine enough for a lease renewal; a registration does not wait for it.
constexpr auto tick_interval = std::chrono::milliseconds(50);
/// Renewal interval before a bundle states one.
constexpr auto first_renewal_interval = std::chrono::milliseconds(300);
/// Silence limit before a bundle states one.
constexpr auto first_silence_limit = std::chrono::milliseconds(3000);
/// A member that is not reached, or does not register the proxy, is left for
/// the next one after this time.
constexpr auto member_limit = std::chrono::milliseconds(600);
/// An unanswered registration, pull or drain is repeated after this time.
constexpr auto repeat_interval = std::chrono::milliseconds(250);
/// Lost datagrams in a row after which a renewal also goes over the link.
constexpr auto datagrams_before_link = 2;
/// Commands whose answer is awaited; older ones are forgotten.
constexpr auto most_commands = std::size_t{1024};

} // namespace

control_client::control_client(asio::io_context& context,
                               control_client_options options,
                               peer_links& links, datagrams& lease_socket,
                               control_client_hooks hooks)
    : strand_(asio::make_strand(context)),
      timer_(strand_),
      options_(std::move(options)),
      links_(links),
      lease_socket_(lease_socket),
      hooks_(std::move(hooks)),
      announcements_(options_.self.identity),
      lease_(options_.self.identity, hooks_.now()),
      view_(directories_.newest())
{
}

auto control_client::start() -> void
{
    asio::post(strand_, [self = shared_from_this()] {
        // Spread over the members, so that they share the first contacts.
        const auto first = self->options_.self.identity.run.value() %
                           self->options_.members.size();
        self->choose_member(static_cast<std::size_t>(first));
        self->tick();
    });
}

auto control_client::stop() -> void
{
    asio::post(strand_, [self = shared_from_this()] {
        self->is_stopped_ = true;
        self->timer_.cancel();
        const auto lock = std::lock_guard(self->lease_mutex_);
        self->lease_.abandon();
    });
}

auto control_client::holds_lease() const -> bool
{
    const auto lock = std::lock_guard(lease_mutex_);
    return lease_.holds_at(hooks_.now());
}

auto control_client::live_others() const -> std::optional<std::size_t>
{
    const auto lock = std::lock_guard(lease_mutex_);
    return lease_.live_others();
}

auto control_client::is_ready() const -> bool
{
    const auto directory = view();
    const auto silence =
        directory->bundle()
            ? milliseconds(directory->bundle()->timings.control_silence_ms)
            : duration(first_silence_limit);
    const auto lock = std::lock_guard(lease_mutex_);
    // The link to the leader does not count: a change of leader takes less
    // than the silence limit, and the proxy serves on meanwhile.
    return directory->bundle() && lease_.has_contact(hooks_.now(), silence);
}

auto control_client::view() const -> directory_view
{
    const auto lock = std::lock_guard(directory_mutex_);
    return view_;
}

auto control_client::hear(const target_announcement& announcement)
    -> announcement_outcome
{
    const auto directory = view();
    const auto lock = std::lock_guard(announcements_mutex_);
    return announcements_.on_announcement(hooks_.now(), announcement,
                                          *directory);
}

auto control_client::propose(set_primary_command command, command_handler done)
    -> void
{
    send_command(message_type::propose_primary,
                 propose_primary{0, std::move(command)}, std::move(done));
}

auto control_client::release(release_target_command command,
                             command_handler done) -> void
{
    send_command(message_type::release_target,
                 release_target{0, std::move(command)}, std::move(done));
}

auto control_client::drain() -> void
{
    asio::post(strand_,
               [self = shared_from_this()] { self->is_draining_ = true; });
}

auto control_client::status() const -> control_client_status
{
    auto result = control_client_status{};
    result.is_registered = is_registered_copy_;
    result.holds_lease = holds_lease();
    result.has_contact = is_ready();
    result.directory_index = view()->index();
    return result;
}

template <class Message>
auto control_client::send(message_type type, const Message& message) -> bool
{
    return link_ && links_.send(link_->id, type, encode(message));
}

template <class Message>
auto control_client::send_command(message_type type, Message message,
                                  command_handler done) -> void
{
    asio::post(strand_,
               [self = shared_from_this(), type, message = std::move(message),
                done = std::move(done)]() mutable {
                   message.request = ++self->last_request_;
                   self->commands_[message.request] = std::move(done);
                   if (self->commands_.size() > most_commands) {
                       self->commands_.erase(self->commands_.begin());
                   }
                   self->send(type, message);
               });
}

auto control_client::schedule_tick() -> void
{
    timer_.expires_after(tick_interval);
    timer_.async_wait([self = weak_from_this()](const error_code& error) {
        const auto client = self.lock();
        if (!error && client && !client->is_stopped_) {
            client->tick();
        }
    });
}

auto control_client::tick() -> void
{
    const auto now = hooks_.now();
    schedule_tick();
    if (!is_registered_) {
        if (now - member_since_ >= member_limit) {
            choose_member((member_ + 1) % options_.members.size());
        }
        if (link_ && now >= next_registration_) {
            send_registration();
        }
        return;
    }
    if (now >= next_renewal_) {
        send_renewal(now);
    }
    send_report(now);
    if (is_draining_ && now >= next_drain_) {
        send_drain(now);
    }
}

auto control_client::choose_member(std::size_t index) -> void
{
    const auto name_of = [this](std::size_t member) {
        return peer_name{peer_role::control,
                         options_.members[member].id.value()};
    };
    if (index != member_) {
        links_.forget(name_of(member_));
        link_.reset();
    }
    member_ = index;
    member_since_ = hooks_.now();
    is_registered_ = false;
    is_registered_copy_ = false;
    links_.connect(name_of(member_), options_.members[member_].peer);
}

auto control_client::follow_redirect(const redirect& answer) -> void
{
    const auto& members = options_.members;
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const auto& member) {
            return member.id == answer.leader;
        });
    const auto is_known = found != members.end();
    const auto index = static_cast<std::size_t>(found - members.begin());
    if (is_known && index != member_) {
        log_event("control_leader_followed").field("member", answer.leader);
        choose_member(index);
    }
}

auto control_client::on_link_up(const link_info& link) -> void
{
    asio::post(strand_, [self = shared_from_this(), link] {
        const auto& member = self->options_.members[self->member_];
        if (link.peer.who.name != member.id.value()) {
            return;
        }
        self->lease_socket_.add(link);
        self->link_ = link;
        self->member_since_ = self->hooks_.now();
        self->send_registration();
    });
}

auto control_client::on_link_down(const link_info& link) -> void
{
    asio::post(strand_, [self = shared_from_this(), link] {
        self->lease_socket_.remove(link);
        if (self->link_ && self->link_->id == link.id) {
            self->link_.reset();
            self->is_registered_ = false;
            self->is_registered_copy_ = false;
            self->member_since_ = self->hooks_.now();
        }
    });
}

auto control_client::on_message(const link_info& link, message_type type,
                                std::string payload) -> void
{
    asio::post(strand_, [self = shared_from_this(), id = link.id, type,
                         payload = std::move(payload)] {
        if (self->link_ && self->link_->id == id && !self->is_stopped_) {
            self->handle(type, payload);
        }
    });
}

auto control_client::handle(message_type type, const std::string& payload)
    -> void
{
    const auto with = [&]<class Message>(auto handler, const Message*) {
        if (const auto message = decode<Message>(payload)) {
            handler(*message);
        }
    };
    switch (type) {
    case message_type::registered:
        with([this](const auto& message) { on_registered(message); },
             static_cast<const registered*>(nullptr));
        break;
    case message_type::lease_grant:
        if (const auto answer = decode_lease_answer(payload, link_->version)) {
            on_lease_answer(*answer);
        }
        break;
    case message_type::directory_delta:
        with([this](const auto& message) { on_delta(message); },
             static_cast<const directory_delta*>(nullptr));
        break;
    case message_type::command_answer:
        with([this](const auto& message) { on_command_answer(message); },
             static_cast<const command_answer*>(nullptr));
        break;
    case message_type::redirect:
        with([this](const auto& message) { follow_redirect(message); },
             static_cast<const redirect*>(nullptr));
        break;
    default:
        break;
    }
}

auto control_client::send_registration() -> void
{
    next_registration_ = hooks_.now() + repeat_interval;
    auto message = register_proxy{};
    message.request = ++last_request_;
    registration_ = message.request;
    message.proxy = options_.self;
    message.directory_index = view()->index();
    send(message_type::register_proxy, message);
}

auto control_client::on_registered(const registered& message) -> void
{
    is_registered_ = true;
    is_registered_copy_ = true;
    leader_udp_port_ = message.udp_port;
    unanswered_renewals_ = 0;
    next_renewal_ = hooks_.now();
    log_event("registered")
        .field("member", options_.members[member_].id)
        .field("directory", view()->index());
    send_renewal(next_renewal_);
}

auto control_client::send_renewal(time_point now) -> void
{
    const auto directory = view();
    const auto interval =
        directory->bundle()
            ? milliseconds(directory->bundle()->timings.lease_renewal_ms)
            : duration(first_renewal_interval);
    next_renewal_ = now + interval;
    auto request = lease_request{};
    {
        const auto lock = std::lock_guard(lease_mutex_);
        request = lease_.make_request(now, directory->index());
    }
    const auto payload = encode(request);
    const auto& member = options_.members[member_];
    if (link_) {
        const auto leader =
            asio::ip::udp::endpoint(member.peer.address(), leader_udp_port_);
        lease_socket_.send(link_->id, leader, message_type::renew_lease,
                           payload);
    }
    if (++unanswered_renewals_ > datagrams_before_link) {
        send(message_type::renew_lease, request);
    }
}

auto control_client::on_lease_answer(const lease_answer& answer) -> void
{
    const auto now = hooks_.now();
    const auto index = view()->index();
    auto outcome = grant_outcome::ignored;
    {
        const auto lock = std::lock_guard(lease_mutex_);
        outcome = lease_.on_grant(now, answer, index);
    }
    unanswered_renewals_ = 0;
    if (outcome == grant_outcome::refused) {
        log_event("lease_refused", event_severity::warning)
            .field("status", static_cast<int>(answer.status));
        if (answer.status == lease_status::superseded) {
            hooks_.on_superseded();
        } else if (answer.status != lease_status::reassigning) {
            is_registered_ = false;
            is_registered_copy_ = false;
            member_since_ = now;
        }
        return;
    }
    if (answer.directory_index > index) {
        pull_directory(now);
    }
}

auto control_client::pull_directory(time_point now) -> void
{
    if (now < next_pull_) {
        return;
    }
    next_pull_ = now + repeat_interval;
    send(message_type::directory_pull, directory_pull{view()->index()});
}

auto control_client::on_delta(const directory_delta& delta) -> void
{
    const auto outcome = directories_.apply(delta);
    if (outcome == delta_outcome::gap) {
        pull_directory(hooks_.now());
    }
    if (outcome == delta_outcome::regressed) {
        log_event("directory_regression_refused", event_severity::error)
            .field("index", delta.up_to);
    }
    if (outcome != delta_outcome::applied) {
        return;
    }
    const auto changed = directories_.newest();
    const auto version =
        changed->bundle() ? changed->bundle()->version : bundle_version(0);
    auto former = changed;
    {
        const auto lock = std::lock_guard(directory_mutex_);
        former.swap(view_);
    }
    const auto is_new_bundle =
        !former->bundle() || former->bundle()->version != version;
    former.reset();
    if (is_new_bundle) {
        log_event("bundle_in_force").field("version", version);
    }
    hooks_.on_directory(changed);
}

auto control_client::on_command_answer(const command_answer& answer) -> void
{
    const auto is_superseded =
        answer.request == registration_ &&
        answer.outcome == command_outcome::applied &&
        answer.result.status == command_status::stale_incarnation;
    if (is_superseded) {
        hooks_.on_superseded();
        return;
    }
    const auto found = commands_.find(answer.request);
    if (found == commands_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    commands_.erase(found);
    done(answer);
}

auto control_client::send_report(time_point now) -> void
{
    auto report = std::optional<announcement_report>{};
    const auto directory = view();
    {
        const auto lock = std::lock_guard(announcements_mutex_);
        report = announcements_.take_report(now, *directory);
    }
    if (report) {
        send(message_type::target_report, *report);
    }
}

auto control_client::send_drain(time_point now) -> void
{
    next_drain_ = now + repeat_interval;
    send(message_type::drain_proxy,
         drain_proxy{++last_request_, options_.self.identity});
}

} // namespace rhubarbrun::inline v1
