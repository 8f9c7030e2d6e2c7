#include <rhubarbrun/transport/proxy_node.hpp>

#include <rhubarbrun/coordination/cancel_keys.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <mutex>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Resolution of deadlines and retries while requests are in flight.
constexpr auto busy_tick_interval = std::chrono::milliseconds(10);
constexpr auto idle_tick_interval = std::chrono::milliseconds(50);
/// Time that control takes to move a target to another owner, in addition to
/// the wait for its open transactions.
constexpr auto handover_allowance = std::chrono::seconds(3);

} // namespace

proxy_node::proxy_node(asio::io_context& context, proxy_settings settings,
                       secret_key key, random_function random)
    : context_(context),
      strand_(asio::make_strand(context)),
      timer_(strand_),
      settings_(std::move(settings)),
      key_(key),
      random_(std::move(random)),
      self_{proxy_id(settings_.process.name), incarnation(random_())},
      drain_(drain_options{.not_ready_time = settings_.not_ready_time})
{
}

proxy_node::~proxy_node() = default;

auto proxy_node::start() -> void
{
    make_links();
    make_http();
    make_control();
    make_entry();
    make_callers();
    log_event("proxy_started")
        .field("name", self_.id)
        .field("zone", settings_.process.zone)
        .field("caller_port", callers_->port())
        .field("peer_port", peer_port_)
        .field("http_port", http_port_);
    control_->start();
    callers_->start();
    asio::post(strand_, [this] { tick(); });
}

auto proxy_node::caller_port() const -> std::uint16_t
{
    return callers_->port();
}

auto proxy_node::http_port() const -> std::uint16_t
{
    return http_port_;
}

auto proxy_node::make_links() -> void
{
    auto hooks = peer_link_hooks{};
    hooks.on_link_up = [this](const link_info& link) {
        on_link_up(link);
    };
    hooks.on_link_down = [this](const link_info& link, std::string_view) {
        on_link_down(link);
    };
    hooks.on_message = [this](const link_info& link, message_type type,
                              std::string payload) {
        on_message(link, type, std::move(payload));
    };
    hooks.is_busy = [this](const link_info& link) {
        return is_busy(link);
    };
    const auto identity =
        peer_identity{{peer_role::proxy, settings_.process.name}, self_.run};
    links_ = std::make_unique<peer_links>(context_, key_, identity,
                                          std::move(hooks));
    peer_port_ = links_->listen(settings_.process.peer_listen).port();
    lease_socket_ = std::make_unique<datagrams>(
        context_, [this](const link_info& link, const asio::ip::udp::endpoint&,
                         message_type type, std::string payload) {
            control_->on_message(link, type, std::move(payload));
        });
    lease_socket_->open({settings_.process.peer_listen.address(), peer_port_});
}

auto proxy_node::own_record() const -> proxy_record
{
    auto record = proxy_record{};
    record.identity = self_;
    record.address = settings_.process.advertised_address.to_string();
    record.tcp_port = peer_port_;
    record.udp_port = peer_port_;
    record.http_address = record.address;
    record.http_port = http_port_;
    record.zone = settings_.process.zone;
    return record;
}

auto proxy_node::make_control() -> void
{
    auto options = control_client_options{};
    options.self = own_record();
    options.members = settings_.process.control_members;
    auto hooks = control_client_hooks{};
    hooks.now = steady_now;
    hooks.on_directory = [this](const directory_view& view) {
        on_directory(view);
    };
    hooks.on_superseded = [this] {
        asio::post(strand_, [this] {
            failure_ = "a later incarnation of this proxy has registered";
            log_event("superseded", event_severity::error)
                .field("name", self_.id);
            stop();
            if (on_failure_) {
                on_failure_();
            }
        });
    };
    control_ =
        std::make_shared<control_client>(context_, std::move(options), *links_,
                                         *lease_socket_, std::move(hooks));
}

auto proxy_node::make_entry() -> void
{
    auto hooks = entry_hooks{};
    hooks.now = steady_now;
    hooks.random = random_;
    hooks.view = [this] {
        return control_->view();
    };
    hooks.is_ready = [this] {
        return control_->is_ready();
    };
    hooks.find_local = [this](const target_id& id) {
        return find_target(id);
    };
    hooks.find_link = [this](const proxy_id& proxy) {
        return find_link(proxy);
    };
    hooks.send_request = [this](link_id link, const execute_request& message) {
        return send_request(link, message);
    };
    hooks.send_cancel = [this](link_id link, const cancel_request& message) {
        return send_cancel(link, message);
    };
    hooks.send_query = [this](link_id link, const position_query& message) {
        return links_->send(link, message_type::position_query,
                            encode(message));
    };
    hooks.accept = [this](session_id session, std::string token) {
        callers_->accept(session, std::move(token));
    };
    hooks.refuse = [this](session_id session, request_error error) {
        callers_->refuse(session, std::move(error));
    };
    hooks.complete = [this](session_id session, execute_reply reply,
                            std::optional<std::string> token) {
        callers_->complete(session, std::move(reply), std::move(token));
    };
    entry_ = std::make_unique<entry_router>(
        entry_options{self_, settings_.process.zone}, std::move(hooks));
}

auto proxy_node::make_callers() -> void
{
    auto options = caller_server_options{};
    options.listen = settings_.caller_listen;
    options.max_connections = settings_.max_callers;
    options.random = random_number;
    options.proxy_tag = proxy_tag(self_.id);
    options.protocol.is_valid_token = [](std::string_view token) {
        return std::holds_alternative<session_token>(
            parse_session_token(token));
    };
    options.protocol.default_deadline = [this](const std::string& database) {
        const auto view = control_->view();
        const auto* const group = view->find_by_database(database);
        const auto limits =
            group == nullptr ? group_limits{} : group->config.limits;
        return duration(std::chrono::milliseconds(limits.deadline_ms));
    };
    auto hooks = caller_server_hooks{};
    hooks.on_session = [this](session_id session, const session_start& start) {
        entry_->on_session(session, start);
    };
    hooks.on_request = [this](session_id session, caller_request request) {
        entry_->on_request(session, std::move(request));
    };
    hooks.on_token = [this](session_id session, const std::string& token) {
        entry_->on_token(session, token);
    };
    hooks.on_cancel = [this](const backend_key& key,
                             std::optional<session_id> session) {
        if (session) {
            entry_->on_cancel(*session);
        } else {
            pass_on_cancel(key);
        }
    };
    hooks.on_closed = [this](session_id session) {
        entry_->on_closed(session);
    };
    callers_ = std::make_unique<caller_server>(context_, std::move(options),
                                               std::move(hooks));
}

auto proxy_node::schedule_tick() -> void
{
    const auto is_busy = is_draining_ || entry_->has_requests();
    timer_.expires_after(is_busy ? busy_tick_interval : idle_tick_interval);
    timer_.async_wait([this](const error_code& error) {
        if (!error && !is_ended_) {
            tick();
        }
    });
}

auto proxy_node::tick() -> void
{
    schedule_tick();
    entry_->tick();
    if (is_draining_) {
        step_drain(steady_now());
    }
}

auto proxy_node::shut_down(std::function<void()> on_ended) -> void
{
    asio::post(strand_, [this, on_ended = std::move(on_ended)]() mutable {
        on_ended_ = std::move(on_ended);
        is_draining_ = true;
        drain_.on_signal(steady_now());
        log_event("drain_requested").field("name", self_.id);
    });
}

auto proxy_node::step_drain(time_point now) -> void
{
    const auto entry = entry_->status();
    auto seen = drain_view{};
    {
        const auto lock = std::lock_guard(targets_mutex_);
        seen.targets = targets_.size();
    }
    seen.requests_in_flight = entry.in_flight + executing_;
    seen.sessions = callers_->connection_count();
    seen.sessions_in_transaction = entry.in_transaction;
    if (const auto& bundle = control_->view()->bundle()) {
        const auto wait =
            std::chrono::milliseconds(bundle->timings.handover_wait_ms);
        drain_.set_handover_timeout(wait + handover_allowance);
    }
    const auto former = orders_;
    orders_ = drain_.step(now, seen);
    if (orders_.hand_over_targets && !former.hand_over_targets) {
        control_->drain();
    }
    if (orders_.close_idle_sessions && !former.close_idle_sessions) {
        callers_->drain();
    }
    if (orders_.close_idle_transactions) {
        for (const auto session : entry_->sessions_idle_in_transaction()) {
            log_event("transaction_cut", event_severity::warning)
                .field("session", session);
            callers_->close(session);
        }
    }
    if (orders_.exit) {
        log_event("drained")
            .field("sessions_cut", seen.sessions)
            .field("requests_cut", seen.requests_in_flight)
            .field("targets_left", seen.targets);
        stop();
    }
}

auto proxy_node::stop() -> void
{
    if (std::exchange(is_ended_, true)) {
        return;
    }
    timer_.cancel();
    control_->stop();
    callers_->stop();
    for (const auto& target : all_targets()) {
        target->stop();
    }
    http_->stop();
    links_->stop();
    lease_socket_->stop();
    if (on_ended_) {
        on_ended_();
    }
}

auto proxy_node::on_failure(std::function<void()> handler) -> void
{
    on_failure_ = std::move(handler);
}

auto proxy_node::failure() const -> std::string
{
    return failure_;
}

} // namespace rhubarbrun::inline v1
