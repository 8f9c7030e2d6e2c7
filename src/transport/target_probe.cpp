#include <rhubarbrun/transport/target_probe.hpp>

#include <memory>
#include <utility>

namespace rhubarbrun::inline v1 {

auto probe_target(asio::any_io_executor strand,
                  target_connection_options options, duration limit,
                  const std::function<void(std::optional<server_state>)>& done)
    -> void
{
    auto connection = std::make_shared<target_connection>(std::move(strand),
                                                          std::move(options));
    auto on_state = [connection, done](const target_result& result) {
        connection->close();
        done(result.error || result.has_target_error
                 ? std::nullopt
                 : parse_server_state(result.answer));
    };
    auto on_connected = [connection, done, limit,
                         on_state](const std::optional<request_error>& error) {
        if (error) {
            done(std::nullopt);
            return;
        }
        connection->run(server_state_query(), limit, on_state);
    };
    connection->connect(limit, std::move(on_connected));
}

} // namespace rhubarbrun::inline v1
