#ifndef RHUBARBRUN_TESTS_SOAK_FAULT_RELAY_HPP
#define RHUBARBRUN_TESTS_SOAK_FAULT_RELAY_HPP

#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/asio.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace rhubarbrun_soak {

using namespace rhubarbrun;

/// What a relay does to the connections that pass it.
enum class relay_fault : std::uint8_t
{
    none,
    /// Bytes arrive later, in both directions.
    delayed,
    /// Nothing passes in either direction; connections stay open.
    silent,
    /// Nothing passes from the accepting end to the connecting end.
    one_way,
    /// New connections are closed at once.
    refusing,
};

/// Forwards TCP connections on loopback, and harms them on demand.
class fault_relay
{
public:
    fault_relay(asio::io_context& context, asio::ip::tcp::endpoint listens_at,
                asio::ip::tcp::endpoint target);
    ~fault_relay();
    fault_relay(const fault_relay&) = delete;
    auto operator=(const fault_relay&) -> fault_relay& = delete;

    /// Begins a fault; with `only_open`, new connections are spared.
    auto set(relay_fault fault, bool only_open) -> void;
    /// Resets every open connection.
    auto reset_all() -> void;

private:
    struct pipe;

    auto accept() -> void;
    auto connect(asio::ip::tcp::socket from) -> asio::awaitable<void>;
    auto pump(std::shared_ptr<pipe> through, bool is_forward)
        -> asio::awaitable<void>;

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    relay_fault for_new_ = relay_fault::none;
    std::vector<std::weak_ptr<pipe>> pipes_;
};

} // namespace rhubarbrun_soak

#endif
