#ifndef RHUBARBRUN_TRANSPORT_CONTROL_CLIENT_HPP
#define RHUBARBRUN_TRANSPORT_CONTROL_CLIENT_HPP

#include <rhubarbrun/coordination/lease_holder.hpp>
#include <rhubarbrun/coordination/target_announcements.hpp>
#include <rhubarbrun/protocol/internal_messages.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/datagrams.hpp>
#include <rhubarbrun/transport/directory_copies.hpp>
#include <rhubarbrun/transport/owned_target.hpp>
#include <rhubarbrun/transport/peer_links.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>
#include <rhubarbrun/transport/settings.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of a `control_client`.
struct control_client_options
{
    /// This proxy as it registers.
    proxy_record self;
    std::vector<control_address> members;
};

/// What the client tells its proxy; called on the client's strand.
struct control_client_hooks
{
    clock_function now;
    /// A newer directory is in force.
    std::function<void(directory_view)> on_directory;
    /// A later incarnation of this proxy has registered; this one must stop.
    std::function<void()> on_superseded;
};

/// Contact with control at one moment, for dumps.
struct control_client_status
{
    bool is_registered = false;
    bool holds_lease = false;
    bool has_contact = false;
    log_index directory_index;
};

/// The proxy's side of control: registration, lease, directory and commands.
///
/// Keeps a link to one member at a time and moves to the leader when it is
/// told. Public functions may be called from any thread.
class control_client : public std::enable_shared_from_this<control_client>
{
public:
    using command_handler = std::function<void(const command_answer&)>;

    control_client(asio::io_context& context, control_client_options options,
                   peer_links& links, datagrams& lease_socket,
                   control_client_hooks hooks);

    auto start() -> void;
    auto stop() -> void;

    // Events of the links and of the lease socket.
    auto on_link_up(const link_info& link) -> void;
    auto on_link_down(const link_info& link) -> void;
    auto on_message(const link_info& link, message_type type,
                    std::string payload) -> void;

    /// Whether the lease holds at this moment.
    [[nodiscard]] auto holds_lease() const -> bool;

    /// Other proxies with a live lease by the latest grant, if it told.
    [[nodiscard]] auto live_others() const -> std::optional<std::size_t>;

    /// Whether control was heard within the silence limit of the bundle, and a
    /// bundle is in force.
    [[nodiscard]] auto is_ready() const -> bool;

    /// Newest directory; never null.
    [[nodiscard]] auto view() const -> directory_view;

    /// Takes the announcement of a target.
    auto hear(const target_announcement& announcement) -> announcement_outcome;

    /// Sends a command to the leader. `done` is called once with the answer;
    /// it is dropped if no answer comes, so the caller repeats the command.
    auto propose(set_primary_command command, command_handler done) -> void;
    auto release(release_target_command command, command_handler done) -> void;

    /// Asks control to move all targets of this proxy elsewhere; repeated
    /// until the proxy stops.
    auto drain() -> void;

    [[nodiscard]] auto status() const -> control_client_status;

private:
    auto tick() -> void;
    auto schedule_tick() -> void;
    auto choose_member(std::size_t index) -> void;
    auto follow_redirect(const redirect& answer) -> void;
    auto send_registration() -> void;
    auto send_renewal(time_point now) -> void;
    auto send_report(time_point now) -> void;
    auto send_drain(time_point now) -> void;
    auto pull_directory(time_point now) -> void;
    auto handle(message_type type, const std::string& payload) -> void;
    auto on_registered(const registered& message) -> void;
    auto on_lease_answer(const lease_answer& answer) -> void;
    auto on_delta(const directory_delta& delta) -> void;
    auto on_command_answer(const command_answer& answer) -> void;
    template <class Message>
    auto send(message_type type, const Message& message) -> bool;
    template <class Message>
    auto send_command(message_type type, Message message, command_handler done)
        -> void;

    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer timer_;
    control_client_options options_;
    peer_links& links_;
    datagrams& lease_socket_;
    control_client_hooks hooks_;

    // Used on the strand only.
    std::size_t member_ = 0;
    time_point member_since_{};
    std::optional<link_info> link_;
    bool is_registered_ = false;
    bool is_draining_ = false;
    bool is_stopped_ = false;
    std::uint16_t leader_udp_port_ = 0;
    time_point next_renewal_{};
    time_point next_registration_{};
    time_point next_pull_{};
    time_point next_drain_{};
    /// Renewals since the last answer; the link is used after a few.
    int unanswered_renewals_ = 0;
    std::uint64_t last_request_ = 0;
    /// Number of the last registration.
    std::uint64_t registration_ = 0;
    std::map<std::uint64_t, command_handler> commands_;
    directory_copies directories_;

    mutable ranked_mutex announcements_mutex_{lock_rank::announcements};
    target_announcements announcements_;
    mutable ranked_mutex lease_mutex_{lock_rank::control};
    lease_holder lease_;
    mutable ranked_mutex directory_mutex_{lock_rank::directory};
    directory_view view_;
    std::atomic<bool> is_registered_copy_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
