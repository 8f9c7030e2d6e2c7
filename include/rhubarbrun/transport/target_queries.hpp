#ifndef RHUBARBRUN_TRANSPORT_TARGET_QUERIES_HPP
#define RHUBARBRUN_TRANSPORT_TARGET_QUERIES_HPP

#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/ids.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

// The proxy's own statements for a target. Each `..._query` returns the
// statement for `target_connection::run`; each `parse_...` decodes the answer
// and returns no value if it has not the expected form.

/// Role, timeline and log position of one server.
struct server_state
{
    bool is_in_recovery = false;
    std::uint32_t timeline = 0;
    /// Written position of a primary, replayed position of a replica.
    log_offset position;
    /// Received position of a replica; the same as `position` on a primary.
    log_offset received;
    /// Time of the server's clock at which the positions were read, in
    /// microseconds since 1970.
    std::int64_t read_at_us = 0;
    /// Commit time of the last replayed transaction, in microseconds since
    /// 1970; no value on a primary or before the first.
    std::optional<std::int64_t> last_replayed_at_us;
};

[[nodiscard]] auto server_state_query() -> statement;
[[nodiscard]] auto parse_server_state(std::string_view answer)
    -> std::optional<server_state>;

/// A replica as its primary sees it.
struct replica_state
{
    /// Name that the replica gives in its `primary_conninfo`.
    std::string application_name;
    std::string state;
    log_offset written;
    log_offset flushed;
    log_offset replayed;
};

[[nodiscard]] auto replica_states_query() -> statement;
[[nodiscard]] auto parse_replica_states(std::string_view answer)
    -> std::optional<std::vector<replica_state>>;

/// Promotes a replica and waits for it, at most `wait` whole seconds.
[[nodiscard]] auto promote_query(std::uint32_t wait_seconds) -> statement;
/// Whether the promotion took place.
[[nodiscard]] auto parse_promote(std::string_view answer)
    -> std::optional<bool>;

/// Statements, to be run one after another outside a transaction, that make a
/// server follow the primary at `address` and `port`. `name` is the name by
/// which the primary lists this replica; `user` is the replication user.
[[nodiscard]] auto follow_queries(std::string_view address, std::uint16_t port,
                                  std::string_view user, const target_id& name)
    -> std::vector<statement>;

/// Backends of owners with an earlier epoch. A backend that was told to end
/// stands, and its statement may run, until it has seen the order.
struct older_backends
{
    std::uint32_t standing = 0;
    /// Of these, how many execute a statement.
    std::uint32_t running = 0;
    /// Of these, how many were told to end.
    std::uint32_t ended = 0;
};

/// Counts the backends of all owners with an epoch below `epoch`, and tells
/// them to end.
[[nodiscard]] auto terminate_older_query(owner_epoch epoch) -> statement;
[[nodiscard]] auto parse_older_backends(std::string_view answer)
    -> std::optional<older_backends>;

/// Creates table `rhubarbrun_request` if it does not exist.
[[nodiscard]] auto create_request_table_query() -> statement;

/// Opens a transaction with `begin` and records `key` in it, in one round trip;
/// run it before the request. It waits for another transaction with the same
/// key to end.
[[nodiscard]] auto begin_request_query(std::string_view begin,
                                       const request_key& key) -> statement;
/// Whether the key is new; false if a request with it has run already.
[[nodiscard]] auto parse_begin_request(std::string_view answer)
    -> std::optional<bool>;

/// Adds the command tag to the record of `key` and commits, in one round trip;
/// run it after the request. If the record cannot be written nothing commits.
[[nodiscard]] auto commit_request_query(const request_key& key,
                                        std::string_view tag) -> statement;

struct recorded_request
{
    /// Command tag of the request, such as `INSERT 0 1`; empty for a
    /// transaction.
    std::string tag;
};

[[nodiscard]] auto find_request_query(const request_key& key) -> statement;
/// Outer value: whether the answer was understood; inner: the record, if any.
[[nodiscard]] auto parse_find_request(std::string_view answer)
    -> std::optional<std::optional<recorded_request>>;

} // namespace rhubarbrun::inline v1

#endif
