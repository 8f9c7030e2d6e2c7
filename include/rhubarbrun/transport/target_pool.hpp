#ifndef RHUBARBRUN_TRANSPORT_TARGET_POOL_HPP
#define RHUBARBRUN_TRANSPORT_TARGET_POOL_HPP

#include <rhubarbrun/coordination/connection_budget.hpp>
#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/coordination/silence_detector.hpp>
#include <rhubarbrun/coordination/transaction_pins.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/transport/target_connection.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace rhubarbrun::inline v1 {

/// What a pool needs from its owner; all are called on the owner's strand.
struct target_pool_hooks
{
    clock_function now;
    /// Makes a connection that is not yet connected.
    std::function<std::unique_ptr<target_connection>()> make;
    /// A connection has become idle and usable.
    std::function<void()> on_idle;
};

/// Settings of a `target_pool`.
struct target_pool_options
{
    connection_budget_options budget;
    silence_options silence;
    /// Time for one attempt to connect.
    duration connect_limit = std::chrono::seconds(1);
};

/// Limits of a pool that may change while it is used.
struct target_pool_limits
{
    /// Connections of all owners together, slots, and connections left unused
    /// for a new owner.
    std::uint32_t connections = 1;
    std::uint32_t slots = 1;
    std::uint32_t reserved_connections = 0;
    std::size_t max_answer_bytes = 0;
};

/// Connections in a pool, for dumps.
struct target_pool_counts
{
    std::uint32_t opening = 0;
    std::uint32_t idle = 0;
    std::uint32_t busy = 0;
    std::uint64_t opened = 0;
    std::uint64_t lost = 0;
};

/// The connections of one owner to one target.
///
/// Used on one strand only. Connections are opened ahead of demand and closed
/// again by `connection_budget`; idle ones are probed and replaced by
/// `silence_detector`.
class target_pool : public std::enable_shared_from_this<target_pool>
{
public:
    target_pool(const target_pool_options& options, target_pool_hooks hooks);

    /// Takes an idle connection that is fit for use, if there is one.
    [[nodiscard]] auto take(time_point now) -> std::optional<connection_id>;

    /// A connection that was taken and not given back.
    [[nodiscard]] auto connection(connection_id id) -> target_connection*;

    /// Notes a statement on a taken connection, and its answer.
    auto on_sent(connection_id id, time_point deadline) -> void;
    auto on_answered(time_point now, connection_id id) -> void;

    /// Returns a taken connection; `close` also covers a lost one.
    auto give_back(time_point now, connection_id id,
                   connection_disposition disposition) -> void;

    /// Opens and closes connections as needed; `waiting` is the number of
    /// statements that have a slot and no connection, `previous_owner` that of
    /// connections of a previous owner that still stand; without it no
    /// connection is opened.
    auto tick(time_point now, std::uint32_t waiting,
              std::optional<std::uint32_t> previous_owner) -> void;

    /// Applies to the connections that are open, too.
    auto set_limits(const target_pool_limits& limits) -> void;

    /// Closes all connections; statements that run get their verdict through
    /// their own handlers, and must still give their connections back.
    auto close_all() -> void;

    /// Closes all and opens none from now on.
    auto stop() -> void;

    [[nodiscard]] auto counts() const noexcept -> target_pool_counts;

private:
    enum class phase : std::uint8_t
    {
        opening,
        idle,
        probing,
        busy,
    };

    struct member
    {
        std::unique_ptr<target_connection> connection;
        phase state = phase::opening;
    };

    auto open_one() -> void;
    auto on_opened(connection_id id, bool is_connected) -> void;
    auto probe(time_point now, connection_id id) -> void;
    auto make_idle(connection_id id) -> void;
    auto remove(connection_id id) -> void;
    auto close_idle(std::uint32_t count) -> void;
    auto apply(time_point now, const silence_action& action) -> void;
    [[nodiscard]] auto count(phase state) const noexcept -> std::uint32_t;

    target_pool_options options_;
    target_pool_hooks hooks_;
    connection_budget budget_;
    silence_detector silence_;
    std::map<connection_id, member> members_;
    /// Idle connections, the most recently used last.
    std::deque<connection_id> idle_;
    connection_id last_id_;
    std::uint64_t opened_ = 0;
    std::uint64_t lost_ = 0;
    bool is_stopped_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
