#include <rhubarbrun/transport/peer_links.hpp>

#include "peer_connection.hpp"
#include <rhubarbrun/coordination/memory_budget.hpp>
#include <rhubarbrun/transport/acceptor.hpp>

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace rhubarbrun::inline v1 {

using asio::ip::tcp;
using connection_ptr = std::shared_ptr<detail::peer_connection>;

namespace {

/// Pause after a failed accept, as when the process has no descriptor left.
constexpr auto accept_pause = std::chrono::milliseconds(100);
/// At most one line about failed handshakes is logged in this time, because
/// anyone who reaches the port can cause them.
constexpr auto failure_log_interval = std::chrono::seconds(1);

/// A link is closed only above the limit: one that sends a long frame over a
/// slow network may hold much for long.
auto frame_budget(const peer_link_limits& limits) -> memory_budget::limits
{
    auto result = memory_budget::limits{};
    result.limit = limits.frame_bytes;
    result.small_holding = std::size_t{64} * 1024;
    result.pause_at = 1;
    return result;
}

} // namespace

class peer_links::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, const secret_key& key,
                   peer_identity self, peer_link_hooks hooks,
                   const peer_link_limits& limits)
        : context_(context),
          key_(key),
          self_(std::move(self)),
          hooks_(std::move(hooks)),
          limits_(limits),
          acceptor_(asio::make_strand(context)),
          accept_timer_(acceptor_.get_executor()),
          frames_(frame_budget(limits))
    {
    }

    auto listen(const tcp::endpoint& endpoint) -> tcp::endpoint
    {
        auto bound = listen_at(acceptor_, endpoint);
        asio::post(acceptor_.get_executor(),
                   [self = shared_from_this()] { self->accept(); });
        return bound;
    }

    auto connect(const peer_name& peer, const tcp::endpoint& endpoint) -> void
    {
        auto outdated = connection_ptr();
        {
            const auto lock = std::lock_guard(mutex_);
            if (is_stopped_) {
                return;
            }
            auto& dialed = dialers_[peer];
            if (!dialed) {
                dialed = std::make_shared<dialer>(context_, peer, endpoint,
                                                  limits_.first_backoff);
                dial(dialed);
            } else if (dialed->endpoint != endpoint) {
                dialed->endpoint = endpoint;
                dialed->backoff = limits_.first_backoff;
                outdated = dialed->current;
            } else {
                // Its link may just be closing because it is idle.
                dialed->is_wanted = true;
            }
        }
        if (outdated) {
            outdated->close("the peer's endpoint changed");
        }
    }

    auto forget(const peer_name& peer) -> void
    {
        auto current = connection_ptr();
        {
            const auto lock = std::lock_guard(mutex_);
            const auto found = dialers_.find(peer);
            if (found == dialers_.end()) {
                return;
            }
            const auto dialed = found->second;
            dialers_.erase(found);
            dialed->is_forgotten = true;
            dialed->timer.cancel();
            current = std::move(dialed->current);
        }
        if (current) {
            current->close("forgotten");
        }
    }

    auto find(link_id link) const -> connection_ptr
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = links_.find(link);
        return found == links_.end() ? nullptr : found->second;
    }

    auto find(const peer_name& peer) const -> connection_ptr
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = by_name_.find(peer);
        if (found == by_name_.end() || found->second.empty()) {
            return nullptr;
        }
        return links_.at(*found->second.rbegin());
    }

    auto use(const peer_name& peer) const -> std::optional<link_id>
    {
        const auto lock = std::lock_guard(mutex_);
        const auto found = by_name_.find(peer);
        if (found == by_name_.end()) {
            return std::nullopt;
        }
        const auto& ids = found->second;
        const auto usable =
            std::find_if(ids.rbegin(), ids.rend(),
                         [this](link_id id) { return links_.at(id)->use(); });
        return usable == ids.rend() ? std::nullopt : std::optional(*usable);
    }

    auto send(const connection_ptr& connection, message_type type,
              std::string_view payload) -> bool
    {
        if (!connection || !connection->send(type, payload)) {
            return false;
        }
        traffic_.note_sent(type, payload.size());
        return true;
    }

    [[nodiscard]] auto traffic() const -> const link_traffic&
    {
        return traffic_;
    }

    auto links() const -> std::vector<link_info>
    {
        const auto lock = std::lock_guard(mutex_);
        auto result = std::vector<link_info>();
        result.reserve(links_.size());
        for (const auto& [id, connection] : links_) {
            result.push_back(connection->info());
        }
        return result;
    }

    auto stop() -> void
    {
        auto open = std::set<connection_ptr>();
        {
            const auto lock = std::lock_guard(mutex_);
            if (std::exchange(is_stopped_, true)) {
                return;
            }
            for (auto& [peer, dialed] : dialers_) {
                dialed->is_forgotten = true;
                dialed->timer.cancel();
            }
            dialers_.clear();
            links_.clear();
            by_name_.clear();
            open.swap(open_);
        }
        for (const auto& connection : open) {
            connection->close("stopped");
        }
        asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
            auto ignored = error_code();
            self->acceptor_.close(ignored);
            self->accept_timer_.cancel(ignored);
        });
    }

private:
    /// Keeps one link up; guarded by `mutex_`.
    struct dialer
    {
        dialer(asio::io_context& context, peer_name name, tcp::endpoint where,
               duration first_backoff)
            : peer(std::move(name)),
              endpoint(std::move(where)),
              backoff(first_backoff),
              timer(context)
        {
        }

        peer_name peer;
        tcp::endpoint endpoint;
        duration backoff;
        asio::steady_timer timer;
        connection_ptr current;
        bool is_forgotten = false;
        /// Whether `connect` was called since the link is up.
        bool is_wanted = false;
    };
    using dialer_ptr = std::shared_ptr<dialer>;

    auto accept() -> void
    {
        acceptor_.async_accept(
            asio::make_strand(context_),
            [self = shared_from_this()](error_code error, tcp::socket socket) {
                if (error == asio::error::operation_aborted ||
                    !self->acceptor_.is_open()) {
                    return;
                }
                if (error) {
                    log_event("accept_failed", event_severity::warning)
                        .field("reason", error.message());
                    self->accept_timer_.expires_after(accept_pause);
                    self->accept_timer_.async_wait([self](error_code failed) {
                        if (!failed) {
                            self->accept();
                        }
                    });
                    return;
                }
                self->take_incoming(std::move(socket));
                self->accept();
            });
    }

    auto take_incoming(tcp::socket socket) -> void
    {
        auto connection = connection_ptr();
        {
            const auto lock = std::lock_guard(mutex_);
            const auto unauthenticated = open_.size() - links_.size();
            if (is_stopped_ || open_.size() >= limits_.links ||
                unauthenticated >= limits_.unknown_links)
            {
                return;
            }
            connection = make_connection(std::move(socket), link_side::acceptor,
                                         nullptr);
        }
        connection->start();
    }

    /// Call with `mutex_` held.
    auto make_connection(tcp::socket socket, link_side side,
                         const dialer_ptr& dialed) -> connection_ptr
    {
        // Weak, because this object and the dialer own the connection.
        auto events = detail::connection_events{};
        const auto owner = weak_from_this();
        const auto from = std::weak_ptr<dialer>(dialed);
        const auto is_dialed = dialed != nullptr;
        events.on_up = [owner, from, is_dialed](
                           const connection_ptr& connection) -> std::string {
            const auto self = owner.lock();
            const auto opener = from.lock();
            if (!self || (is_dialed && !opener)) {
                return "stopped";
            }
            return self->on_up(connection, opener);
        };
        events.on_message = [owner](detail::peer_connection& connection,
                                    message_type type, std::string payload) {
            if (const auto self = owner.lock()) {
                self->traffic_.note_received(type, payload.size());
                self->guard([&] {
                    self->hooks_.on_message(connection.info(), type,
                                            std::move(payload));
                });
            }
        };
        if (hooks_.is_busy) {
            events.is_busy = [owner](const link_info& link) {
                const auto self = owner.lock();
                return !self || self->hooks_.is_busy(link);
            };
        }
        if (!is_dialed && limits_.frame_bytes) {
            events.on_held = [owner](const connection_ptr& connection,
                                     std::size_t bytes) {
                if (const auto self = owner.lock()) {
                    self->charge(connection, bytes);
                }
            };
        }
        events.on_closed = [owner, from](const connection_ptr& connection,
                                         std::string_view reason) {
            if (const auto self = owner.lock()) {
                self->release(*connection);
                self->on_closed(connection, from.lock(), reason);
            }
        };
        auto connection = std::make_shared<detail::peer_connection>(
            std::move(socket), side, key_, self_, limits_, std::move(events));
        open_.insert(connection);
        return connection;
    }

    static auto holder_of(const detail::peer_connection& connection)
        -> memory_budget::holder
    {
        return connection.info().id.value();
    }

    auto release(const detail::peer_connection& connection) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        frames_.release(steady_now(), holder_of(connection));
    }

    /// Charges an accepted link for a frame that is not whole, and closes those
    /// that the budget chooses; links of control members come last.
    auto charge(const connection_ptr& connection, std::size_t bytes) -> void
    {
        const auto is_control =
            connection->info().peer.who.role == peer_role::control;
        const auto now = steady_now();
        auto chosen = std::vector<connection_ptr>();
        {
            const auto lock = std::lock_guard(mutex_);
            auto holding = memory_holding{};
            (is_control ? holding.working : holding.input) = bytes;
            frames_.charge(now, holder_of(*connection), holding);
            for (const auto id : frames_.choose_evictions(now)) {
                if (const auto found = links_.find(link_id(id));
                    found != links_.end()) {
                    chosen.push_back(found->second);
                }
            }
        }
        for (const auto& each : chosen) {
            each->close("its frame takes too much memory");
        }
    }

    /// Call with `mutex_` held.
    auto dial(const dialer_ptr& dialed) -> void
    {
        dialed->current =
            make_connection(tcp::socket(asio::make_strand(context_)),
                            link_side::initiator, dialed);
        dialed->current->start(dialed->endpoint);
    }

    auto on_up(const connection_ptr& connection, const dialer_ptr& dialed)
        -> std::string
    {
        const auto& peer = connection->info().peer;
        auto replaced = std::vector<connection_ptr>();
        {
            const auto lock = std::lock_guard(mutex_);
            if (is_stopped_ || (dialed && dialed->is_forgotten)) {
                return "stopped";
            }
            if (peer.who == self_.who) {
                return "the peer has the name of this process";
            }
            if (dialed && dialed->peer != peer.who) {
                return "another process answers at this endpoint";
            }
            connection->set_id(link_id(++last_id_));
            replaced = find_replaced(connection->info());
            links_[connection->info().id] = connection;
            by_name_[peer.who].insert(connection->info().id);
            if (dialed) {
                dialed->backoff = limits_.first_backoff;
                dialed->is_wanted = false;
            }
        }
        for (const auto& old : replaced) {
            old->close("replaced by a newer link");
        }
        log_event("link_up")
            .field("peer", peer.who)
            .field("incarnation", peer.run)
            .field("remote", connection->info().remote);
        guard([&] { hooks_.on_link_up(connection->info()); });
        return {};
    }

    /// Links that `link` makes useless: of other incarnations of the peer,
    /// and those in the same direction, because each side keeps one. Call
    /// with `mutex_` held.
    auto find_replaced(const link_info& link) const
        -> std::vector<connection_ptr>
    {
        auto result = std::vector<connection_ptr>();
        const auto found = by_name_.find(link.peer.who);
        if (found == by_name_.end()) {
            return result;
        }
        for (const auto id : found->second) {
            const auto& other = links_.at(id);
            if (other->info().peer.run != link.peer.run ||
                other->info().is_outgoing == link.is_outgoing)
            {
                result.push_back(other);
            }
        }
        return result;
    }

    auto on_closed(const connection_ptr& connection, const dialer_ptr& dialed,
                   std::string_view reason) -> void
    {
        const auto& info = connection->info();
        auto is_stopped = false;
        {
            const auto lock = std::lock_guard(mutex_);
            is_stopped = is_stopped_;
            open_.erase(connection);
            if (connection->was_up()) {
                links_.erase(info.id);
                if (const auto found = by_name_.find(info.peer.who);
                    found != by_name_.end()) {
                    found->second.erase(info.id);
                    if (found->second.empty()) {
                        by_name_.erase(found);
                    }
                }
            }
            if (dialed && dialed->current == connection) {
                dialed->current.reset();
                if (connection->was_idle() && !dialed->is_wanted) {
                    dialed->is_forgotten = true;
                    dialers_.erase(dialed->peer);
                } else {
                    retry(dialed);
                }
            }
        }
        if (is_stopped) {
            return;
        }
        if (connection->was_up()) {
            log_event("link_down", connection->was_idle()
                                       ? event_severity::information
                                       : event_severity::warning)
                .field("peer", info.peer.who)
                .field("incarnation", info.peer.run)
                .field("reason", reason);
            guard([&] { hooks_.on_link_down(info, reason); });
        } else {
            log_failure(info, dialed, reason);
        }
    }

    /// Call with `mutex_` held.
    auto retry(const dialer_ptr& dialed) -> void
    {
        if (dialed->is_forgotten || is_stopped_) {
            return;
        }
        // Up to a quarter more, so that peers of a restarted process do not
        // all come back at the same moment.
        const auto jitter = duration(static_cast<std::int64_t>(
            random_number() %
            static_cast<std::uint64_t>(dialed->backoff.count() / 4 + 1)));
        dialed->timer.expires_after(dialed->backoff + jitter);
        dialed->backoff = std::min(dialed->backoff * 2, limits_.last_backoff);
        dialed->timer.async_wait(
            [self = shared_from_this(), dialed](error_code error) {
                const auto lock = std::lock_guard(self->mutex_);
                if (!error && !dialed->is_forgotten && !self->is_stopped_ &&
                    !dialed->current) {
                    self->dial(dialed);
                }
            });
    }

    auto log_failure(const link_info& info, const dialer_ptr& dialed,
                     std::string_view reason) -> void
    {
        auto suppressed = std::size_t{0};
        {
            const auto lock = std::lock_guard(mutex_);
            const auto now = std::chrono::steady_clock::now();
            if (last_failure_log_ &&
                now - *last_failure_log_ < failure_log_interval) {
                ++suppressed_failures_;
                return;
            }
            last_failure_log_ = now;
            suppressed = std::exchange(suppressed_failures_, 0);
        }
        auto line = log_event("link_failed", event_severity::warning);
        if (dialed) {
            line.field("peer", dialed->peer);
        } else {
            line.field("remote", info.remote);
        }
        line.field("reason", reason).field("suppressed", suppressed);
    }

    /// Runs a hook; its fault must not end the link or the thread.
    template <class Call>
    auto guard(const Call& call) -> void
    {
        try {
            call();
        } catch (const std::exception& fault) {
            log_event("link_hook_failed", event_severity::error)
                .field("reason", fault.what());
        }
    }

    asio::io_context& context_;
    secret_key key_;
    peer_identity self_;
    peer_link_hooks hooks_;
    peer_link_limits limits_;
    link_traffic traffic_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;

    /// Guards the members below.
    mutable ranked_mutex mutex_{lock_rank::peer_links};
    bool is_stopped_ = false;
    std::uint64_t last_id_ = 0;
    /// All connections, established or not.
    std::set<connection_ptr> open_;
    std::unordered_map<link_id, connection_ptr> links_;
    /// Established links by name; the newest has the highest id.
    std::map<peer_name, std::set<link_id>> by_name_;
    std::map<peer_name, dialer_ptr> dialers_;
    std::optional<std::chrono::steady_clock::time_point> last_failure_log_;
    std::size_t suppressed_failures_ = 0;
    memory_budget frames_;
};

peer_links::peer_links(asio::io_context& context, secret_key key,
                       peer_identity self, peer_link_hooks hooks,
                       peer_link_limits limits)
    : implementation_(std::make_shared<implementation>(
          context, key, std::move(self), std::move(hooks), limits))
{
}

peer_links::~peer_links()
{
    stop();
}

auto peer_links::listen(const tcp::endpoint& endpoint) -> tcp::endpoint
{
    return implementation_->listen(endpoint);
}

auto peer_links::connect(const peer_name& peer, const tcp::endpoint& endpoint)
    -> void
{
    implementation_->connect(peer, endpoint);
}

auto peer_links::forget(const peer_name& peer) -> void
{
    implementation_->forget(peer);
}

auto peer_links::send(link_id link, message_type type, std::string_view payload)
    -> bool
{
    return implementation_->send(implementation_->find(link), type, payload);
}

auto peer_links::send(const peer_name& peer, message_type type,
                      std::string_view payload) -> bool
{
    return implementation_->send(implementation_->find(peer), type, payload);
}

auto peer_links::use(const peer_name& peer) -> std::optional<link_id>
{
    return implementation_->use(peer);
}

auto peer_links::close(link_id link, std::string_view reason) -> void
{
    if (const auto connection = implementation_->find(link)) {
        connection->close(std::string(reason));
    }
}

auto peer_links::links() const -> std::vector<link_info>
{
    return implementation_->links();
}

auto peer_links::traffic() const -> const link_traffic&
{
    return implementation_->traffic();
}

auto peer_links::stop() -> void
{
    implementation_->stop();
}

auto is_address(const std::string& text) -> bool
{
    auto error = error_code();
    static_cast<void>(asio::ip::make_address(text, error));
    return !error;
}

} // namespace rhubarbrun::inline v1
