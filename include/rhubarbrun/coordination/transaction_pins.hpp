#ifndef RHUBARBRUN_COORDINATION_TRANSACTION_PINS_HPP
#define RHUBARBRUN_COORDINATION_TRANSACTION_PINS_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/state/transaction_status.hpp>
#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Handling of a connection that a session no longer holds.
enum class connection_disposition : std::uint8_t
{
    /// Known to be clean: may serve any session.
    reuse,
    close,
};

/// A connection that its transaction no longer holds.
struct released_connection
{
    pin_id pin;
    connection_id connection;
    entry_session session;
    connection_disposition disposition = connection_disposition::close;
};

/// An open transaction.
struct transaction_pin
{
    pin_id pin;
    connection_id connection;
    entry_session session;
    /// Statements sent and not yet answered in full.
    std::uint32_t in_flight = 0;
    transaction_status status = transaction_status::in_transaction;
    /// Whether session state outlives the transaction, such as SET or a
    /// temporary table.
    bool has_session_state = false;
    time_point idle_since;
};

/// Owner side: maps each open transaction to the connection that it holds.
///
/// A session has at most one pin, and a connection serves at most one session
/// at a time, so statements of different transactions never mix. A connection
/// is reused only if its last answer was complete, with nothing in flight, no
/// open transaction and no session state left behind.
class transaction_pins
{
public:
    /// Pins `connection` to `session`. Returns no value if either is pinned
    /// already.
    [[nodiscard]] auto pin(time_point now, entry_session session,
                           connection_id connection) -> std::optional<pin_id>;

    [[nodiscard]] auto find(entry_session session) const
        -> std::optional<transaction_pin>;

    /// A statement of the transaction is sent. Returns false, and then it must
    /// not be sent, if one is in flight or the pin is unknown.
    [[nodiscard]] auto on_sent(pin_id pin) -> bool;

    /// A statement created session state that outlives the transaction.
    auto on_session_state(pin_id pin) -> void;

    /// The complete answer to the statement in flight arrived. If the
    /// transaction has ended, the pin is removed and its connection returned.
    [[nodiscard]] auto on_answered(time_point now, pin_id pin,
                                   transaction_status status)
        -> std::optional<released_connection>;

    /// The session ended or its request was abandoned: its connection is
    /// closed, which rolls the transaction back.
    [[nodiscard]] auto on_session_lost(entry_session session)
        -> std::optional<released_connection>;

    /// The link to an entry proxy was lost: as `on_session_lost`, for all of
    /// its sessions.
    [[nodiscard]] auto on_link_lost(link_id link)
        -> std::vector<released_connection>;

    /// The connection failed, which ends the transaction.
    [[nodiscard]] auto on_connection_lost(connection_id connection)
        -> std::optional<released_connection>;

    /// Closes transactions that were idle for `idle_limit`.
    [[nodiscard]] auto expire(time_point now, duration idle_limit)
        -> std::vector<released_connection>;

    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    using pin_map = std::map<pin_id, transaction_pin>;

    auto release(pin_map::iterator entry, connection_disposition disposition)
        -> released_connection;

    pin_map pins_;
    std::map<entry_session, pin_id> by_session_;
    std::map<connection_id, pin_id> by_connection_;
    pin_id last_pin_;
};

/// Disposition of a connection after a statement outside a transaction.
[[nodiscard]] auto disposition_after(bool is_answer_complete,
                                     transaction_status status,
                                     bool has_session_state) noexcept
    -> connection_disposition;

} // namespace rhubarbrun::inline v1

#endif
