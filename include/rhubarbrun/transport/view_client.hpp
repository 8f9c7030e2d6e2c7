#ifndef RHUBARBRUN_TRANSPORT_VIEW_CLIENT_HPP
#define RHUBARBRUN_TRANSPORT_VIEW_CLIENT_HPP

#include <rhubarbrun/protocol/secret_key.hpp>
#include <rhubarbrun/protocol/view_messages.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/peer_links.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Settings of a `view_client`.
struct view_client_options
{
    /// IP address of this process, which is also its name.
    std::string address;
    std::string region;
    /// Port for links between processes, the same at all of them.
    std::uint16_t peer_port = 0;
    /// IP addresses of some control members, read again whenever none answers.
    std::function<std::vector<std::string>()> seeds;
    secret_key link_key;
    peer_link_limits links;
    /// Time between requests.
    duration interval = std::chrono::milliseconds(500);
    /// A member of another region is left for one of the own region at most
    /// this often.
    duration return_interval = std::chrono::seconds(10);
};

/// What a `view_client` needs from its surroundings.
struct view_client_hooks
{
    /// `member` is the address of the sender.
    std::function<void(const std::string& member, view_update)> on_update;
    /// What to tell control about the servers.
    std::function<std::vector<sighting_record>()> sightings;
    /// Version of the configuration that this process holds.
    std::function<std::uint64_t()> configuration_version;
    /// Every commit of the group that was acknowledged before `asked_at` is
    /// covered by the position.
    std::function<void(const group_id&, time_point asked_at,
                       const log_position&)>
        on_position = {};
    /// What is needed and held, apart from the configuration; empty if
    /// everything is needed.
    std::function<view_subscription()> subscription = {};
    /// A newer configuration, as a text. If it is empty, `on_update` gets whole
    /// configurations, compressed.
    std::function<void(const std::string& member, const std::string& text)>
        on_configuration = {};
    /// The answer to a report of allowances; may be empty.
    std::function<void(const allowance_grant&)> on_grant = {};
};

/// Keeps a proxy's view of servers and configuration up to date.
///
/// It follows one control member, as `member_choice` decides. The io_context
/// must run on one thread.
class view_client
{
public:
    view_client(asio::io_context& context, view_client_options options,
                view_client_hooks hooks);
    ~view_client();
    view_client(const view_client&) = delete;
    auto operator=(const view_client&) -> view_client& = delete;

    auto start() -> void;
    auto stop() -> void;

    /// Asks the followed member for the position of a group, which
    /// `on_position` gets. Returns false if no member can be asked.
    auto ask_position(const group_id& group) -> bool;

    /// Sends a report to the followed member, which passes it on to the leader.
    /// It may be lost.
    auto send_report(const allowance_report& report) -> void;

    /// The view holds everything that was acknowledged before this long ago;
    /// no value if that is not known.
    [[nodiscard]] auto age(time_point now) const -> std::optional<duration>;

    /// Messages of the links to control members.
    [[nodiscard]] auto traffic() const -> const link_traffic&;

    /// Whether the view is young enough to deny that something exists.
    [[nodiscard]] auto is_fresh(time_point now) const -> bool;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
