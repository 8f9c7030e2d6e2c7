#ifndef RHUBARBRUN_TRANSPORT_TARGET_PROBE_HPP
#define RHUBARBRUN_TRANSPORT_TARGET_PROBE_HPP

#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/target_connection.hpp>
#include <rhubarbrun/transport/target_queries.hpp>

#include <functional>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Opens a connection to a server, reads its state and closes it again.
///
/// `done` is called once on `strand`, within about `limit`, with no value if
/// the server could not be reached or did not answer as expected.
auto probe_target(asio::any_io_executor strand,
                  target_connection_options options, duration limit,
                  const std::function<void(std::optional<server_state>)>& done)
    -> void;

} // namespace rhubarbrun::inline v1

#endif
