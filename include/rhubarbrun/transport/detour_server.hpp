#ifndef RHUBARBRUN_TRANSPORT_DETOUR_SERVER_HPP
#define RHUBARBRUN_TRANSPORT_DETOUR_SERVER_HPP

#include <rhubarbrun/transport/asio.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbrun::inline v1 {

/// First line of a connection that is to be passed on to `address`, which is an
/// IP address with a port.
[[nodiscard]] auto format_detour(const std::string& address) -> std::string;

/// Passes connections of other processes on to servers that those cannot reach
/// themselves.
///
/// The io_context must run on one thread.
class detour_server
{
public:
    /// Whether connections to this address are passed on.
    using allow_function = std::function<bool(const std::string& address)>;

    /// At most `most_connections` are passed on at a time; each takes two
    /// descriptors.
    detour_server(asio::io_context& context, allow_function is_allowed,
                  std::size_t most_connections = 200);
    ~detour_server();
    detour_server(const detour_server&) = delete;
    auto operator=(const detour_server&) -> detour_server& = delete;

    /// @throws boost::system::system_error if the endpoint cannot be bound.
    auto listen(const asio::ip::tcp::endpoint& endpoint)
        -> asio::ip::tcp::endpoint;

    /// Takes no new connections, and ends those on which nothing passes, so
    /// that statements on the others are answered first.
    auto drain() -> void;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace rhubarbrun::inline v1

#endif
