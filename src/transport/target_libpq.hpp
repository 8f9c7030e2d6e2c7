#ifndef RHUBARBRUN_SRC_TRANSPORT_TARGET_LIBPQ_HPP
#define RHUBARBRUN_SRC_TRANSPORT_TARGET_LIBPQ_HPP

#include <rhubarbrun/transport/target_connection.hpp>

#include <libpq-fe.h>

namespace rhubarbrun::detail {

/// Starts a connection without blocking; null if memory is short. The caller
/// owns it and drives it with PQconnectPoll.
[[nodiscard]] auto start_connection(const target_connection_options& options)
    -> PGconn*;

/// Asks the target to cancel what runs on `connection`. Returns at once: the
/// request is sent by another thread, or dropped if too many wait.
auto send_cancel(PGconn* connection) -> void;

/// Queues a parameterized statement; 0 if libpq refuses it.
[[nodiscard]] auto send_parameterized(PGconn* connection, const statement& body)
    -> int;

} // namespace rhubarbrun::detail

#endif
