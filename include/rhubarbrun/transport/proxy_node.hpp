#ifndef RHUBARBRUN_TRANSPORT_PROXY_NODE_HPP
#define RHUBARBRUN_TRANSPORT_PROXY_NODE_HPP

#include <rhubarbrun/coordination/drain.hpp>
#include <rhubarbrun/coordination/link_work.hpp>
#include <rhubarbrun/protocol/secret_key.hpp>
#include <rhubarbrun/transport/caller_server.hpp>
#include <rhubarbrun/transport/control_client.hpp>
#include <rhubarbrun/transport/datagrams.hpp>
#include <rhubarbrun/transport/entry_router.hpp>
#include <rhubarbrun/transport/http_server.hpp>
#include <rhubarbrun/transport/owned_target.hpp>
#include <rhubarbrun/transport/peer_links.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>
#include <rhubarbrun/transport/settings.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of a proxy.
struct proxy_settings
{
    process_settings process;
    asio::ip::tcp::endpoint caller_listen;
    std::size_t max_callers = 10'000;
    target_credentials credentials;
    /// Time for which a draining proxy still accepts callers, so that the load
    /// balancer can notice that it is not ready.
    duration not_ready_time = std::chrono::seconds(1);
};

/// One proxy: the entry role, the owner role and the contact with control.
///
/// The io_context may be run by any number of threads.
class proxy_node
{
public:
    proxy_node(asio::io_context& context, proxy_settings settings,
               secret_key key, random_function random);
    proxy_node(const proxy_node&) = delete;
    auto operator=(const proxy_node&) -> proxy_node& = delete;
    /// Must not run while a thread runs the io_context.
    ~proxy_node();

    /// Binds all sockets and starts.
    /// @throws boost::system::system_error if an endpoint cannot be bound.
    auto start() -> void;

    /// The first call starts a graceful shutdown, the second ends at once.
    /// `on_ended` is called once, when nothing is left to do.
    auto shut_down(std::function<void()> on_ended) -> void;

    /// Sets what is called if the proxy ends without being asked; call before
    /// `start`.
    auto on_failure(std::function<void()> handler) -> void;

    /// Why the proxy ended without being asked, such as a later incarnation;
    /// empty otherwise.
    [[nodiscard]] auto failure() const -> std::string;

    [[nodiscard]] auto caller_port() const -> std::uint16_t;
    [[nodiscard]] auto http_port() const -> std::uint16_t;

private:
    // Composition, in proxy_node.cpp.
    auto make_links() -> void;
    auto make_control() -> void;
    auto make_entry() -> void;
    auto make_callers() -> void;
    auto tick() -> void;
    auto schedule_tick() -> void;
    auto step_drain(time_point now) -> void;
    auto stop() -> void;
    [[nodiscard]] auto own_record() const -> proxy_record;

    // Owner role and messages, in proxy_node_messages.cpp.
    auto on_directory(const directory_view& view) -> void;
    auto make_target(const target_id& id, const directory_view& view)
        -> std::shared_ptr<owned_target>;
    [[nodiscard]] auto find_target(const target_id& id) const
        -> std::shared_ptr<owned_target>;
    [[nodiscard]] auto all_targets() const
        -> std::vector<std::shared_ptr<owned_target>>;
    /// The link to use next, or no value after starting to open one.
    [[nodiscard]] auto find_link(const proxy_id& proxy)
        -> std::optional<link_id>;
    /// Sends at once, or as soon as a link to `proxy` is established.
    auto send_when_linked(const proxy_id& proxy, message_type type,
                          std::string payload) -> void;
    auto send_unsent(const proxy_id& proxy, link_id link) -> void;
    [[nodiscard]] auto send_request(link_id link,
                                    const execute_request& message) -> bool;
    [[nodiscard]] auto send_cancel(link_id link, const cancel_request& message)
        -> bool;
    [[nodiscard]] auto is_busy(const link_info& link) -> bool;
    auto on_link_up(const link_info& link) -> void;
    auto on_link_down(const link_info& link) -> void;
    auto on_message(const link_info& link, message_type type,
                    std::string payload) -> void;
    /// A CancelRequest whose key is not known here: passes it to the proxies
    /// that may hold the session.
    auto pass_on_cancel(const backend_key& key) -> void;
    auto on_forward_cancel(const forward_cancel& message) -> void;
    auto on_execute(const link_info& link, execute_request request) -> void;
    auto on_position_query(const link_info& link, const position_query& query)
        -> void;
    auto on_confirm_target(const link_info& link, const confirm_target& request)
        -> void;
    auto ask_confirmation(const proxy_id& proxy,
                          const target_description& target) -> void;
    auto propose_primary(const group_id& group, term expected,
                         const target_id& candidate,
                         const target_id& claimed_by, owner_epoch epoch,
                         std::uint32_t timeline) -> void;
    auto release_target(const target_id& target, owner_epoch epoch) -> void;

    // Operators and platform, in proxy_node_http.cpp.
    auto make_http() -> void;
    auto on_announcement(const http_request& request, const http_reply& reply)
        -> void;
    auto on_dump(const http_reply& reply) -> void;
    auto on_metrics(const http_reply& reply) -> void;
    auto on_health(const http_reply& reply) -> void;
    auto
    collect_targets(std::function<void(std::vector<owned_target_status>)> done)
        -> void;

    asio::io_context& context_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer timer_;
    proxy_settings settings_;
    secret_key key_;
    random_function random_;
    proxy_identity self_;
    std::unique_ptr<peer_links> links_;
    std::unique_ptr<datagrams> lease_socket_;
    std::unique_ptr<http_server> http_;
    std::unique_ptr<caller_server> callers_;
    std::shared_ptr<control_client> control_;
    std::unique_ptr<entry_router> entry_;
    std::uint16_t peer_port_ = 0;
    std::uint16_t http_port_ = 0;

    mutable ranked_mutex targets_mutex_{lock_rank::owned_targets};
    struct owned
    {
        owner_epoch epoch;
        std::shared_ptr<owned_target> target;
    };
    std::map<target_id, owned> targets_;

    ranked_mutex links_mutex_{lock_rank::proxy_links};
    /// Work of this entry at other owners, and of other entries here.
    link_work entry_work_;
    link_work owner_work_;
    struct unsent_message
    {
        message_type type;
        std::string payload;
        time_point queued_at;
    };
    std::map<proxy_id, std::vector<unsent_message>> unsent_;

    // Used on the strand only.
    drain drain_;
    std::function<void()> on_ended_;
    std::function<void()> on_failure_;
    drain_actions orders_;
    bool is_ended_ = false;
    /// Requests of the owner role that were not yet answered.
    std::atomic<std::size_t> executing_ = 0;
    std::atomic<bool> is_draining_ = false;
    std::string failure_;
};

} // namespace rhubarbrun::inline v1

#endif
