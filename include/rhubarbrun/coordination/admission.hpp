#ifndef RHUBARBRUN_COORDINATION_ADMISSION_HPP
#define RHUBARBRUN_COORDINATION_ADMISSION_HPP

#include <rhubarbrun/coordination/data_path_ids.hpp>
#include <rhubarbrun/coordination/statement_class.hpp>
#include <rhubarbrun/state/request_error.hpp>
#include <rhubarbrun/state/units.hpp>
#include <rhubarbrun/state/work_class.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Describes a statement to the admission queue of a target.
struct admission_request
{
    admission_ticket ticket;
    work_class priority = work_class::order_entry;
    statement_estimate estimate;
    /// Database user and application, as one key.
    std::string caller;
    std::string database;
    /// Time after which the caller no longer uses the answer.
    time_point deadline;
    /// Set for a statement of an open transaction.
    std::optional<pin_id> pin;
    /// Set for a statement that is known to open a transaction.
    bool opens_transaction = false;
    /// Key of the statement's shape; empty if it has none. A length that is
    /// measured for a shape also updates its waiting unproven statements.
    std::string shape;
};

/// Limits on this owner's use of a target.
struct admission_limits
{
    /// Statements that may run at once.
    std::uint32_t slots = 1;
    /// Connections that the target accepts from all owners together.
    std::uint32_t connections = 1;
    /// Connections left unused, for an owner that takes over while the
    /// connections of the previous one are still open.
    std::uint32_t reserved_connections = 0;
    /// Connections of a previous owner that are still open.
    std::uint32_t previous_owner_connections = 0;
    /// Statements of a previous owner that still run.
    std::uint32_t previous_owner_running = 0;
    /// Slots that long statements may hold; 0 selects a third, at least one.
    std::uint32_t long_slots = 0;
};

/// Faults that tests inject to verify that their checks detect them.
enum class admission_fault : std::uint8_t
{
    none,
    one_slot_too_many,
    one_connection_too_many,
    forget_expired,
    strict_priority,
};

/// Settings of an `admission_queue`.
struct admission_options
{
    /// Statements of one class that may wait.
    std::size_t queue_length = 1024;
    /// Percentage of `queue_length` that one caller may fill, at least one
    /// entry. A caller never holds more entries than are still free.
    std::uint32_t caller_percent = 100;
    /// Longest wait in the queue. Statements of open transactions hold locks
    /// and are refused only by their deadline.
    duration max_wait = duration::max();
    /// Shares of slot time, by class, while every class has work waiting.
    /// Order entry gets nearly all the slot time that it requests; the other
    /// classes keep enough to make progress.
    std::array<std::uint32_t, work_class_count> weights{195, 4, 1};
    /// Statements of open transactions that may be started in succession while
    /// new work of their class waits.
    std::uint32_t max_consecutive_pinned = 4;
    /// A running statement counts as long after this time.
    duration long_threshold = std::chrono::milliseconds(100);
    /// Minimum and maximum retry hint.
    duration min_retry_hint = std::chrono::milliseconds(50);
    duration max_retry_hint = std::chrono::seconds(5);
    /// Adds jitter to the retry hints; without it hints have no jitter.
    random_function random;
    /// Off: first come, first served, without a limit on long work.
    bool use_priorities = true;
    /// Off: no statement is refused for its deadline, on arrival or later.
    bool use_deadlines = true;
    /// For tests only.
    admission_fault fault = admission_fault::none;
};

/// The statement may be sent to the target now.
struct admitted_now
{
};

/// The statement waits; `start_next` or `expire` returns its ticket later.
struct queued
{
};

/// Outcome of `admission_queue::offer`; an error means that the statement did
/// not run.
using admission_result = std::variant<admitted_now, queued, request_error>;

/// A statement that was refused after it had waited.
struct refused_statement
{
    admission_ticket ticket;
    request_error error;
};

/// State of an `admission_queue`, for dumps and metrics.
struct admission_snapshot
{
    std::uint32_t usable_slots = 0;
    std::uint32_t usable_connections = 0;
    std::uint32_t running = 0;
    std::uint32_t running_long = 0;
    std::uint32_t connections_in_use = 0;
    std::uint32_t open_transactions = 0;
    std::array<std::size_t, work_class_count> waiting{};
    /// Expected slot time of the waiting statements, by class.
    std::array<duration, work_class_count> expected_work{};
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    bool is_admitting = true;
};

/// The single queue of one target, at its owner.
///
/// It never lets more statements run than there are slots, nor uses more
/// connections than the limit. Each ticket gets exactly one outcome: it is
/// started, refused or cancelled. After each `offer`, `on_finished`,
/// `on_transaction_closed` and `set_limits`, call `start_next` until it returns
/// nothing; after `start_next` call `expire`.
class admission_queue
{
public:
    explicit admission_queue(admission_limits limits,
                             admission_options options = {});

    /// Admits, queues or refuses a statement. A refusal has verdict `not_run`
    /// and, if waiting helps, a retry hint.
    [[nodiscard]] auto offer(time_point now, admission_request request)
        -> admission_result;

    /// Takes the next statement that may be sent to the target.
    [[nodiscard]] auto start_next(time_point now)
        -> std::optional<admission_ticket>;

    /// The statement left its slot after `measured`. Its connection is free
    /// unless `on_transaction_opened` was called for it before.
    auto on_finished(time_point now, admission_ticket ticket, duration measured)
        -> void;

    /// The running statement `ticket` left its connection in a transaction.
    auto on_transaction_opened(admission_ticket ticket, pin_id pin) -> void;

    /// The transaction ended and its connection is free or closed. Statements
    /// of it that still wait are refused; `expire` returns them.
    auto on_transaction_closed(pin_id pin) -> void;

    /// Removes a waiting statement, which then did not run; returns false if
    /// it is not waiting.
    [[nodiscard]] auto cancel(admission_ticket ticket) -> bool;

    /// Returns the statements refused since the last call: those whose
    /// deadline passed, or can no longer be met.
    [[nodiscard]] auto expire(time_point now) -> std::vector<refused_statement>;

    /// Earliest deadline of a waiting statement, for a timer.
    [[nodiscard]] auto next_deadline() const -> std::optional<time_point>;

    /// Running statements and open transactions stay even if they exceed the
    /// new limits; nothing starts until there is room again.
    auto set_limits(admission_limits limits) -> void;

    /// Changes the settings. Statements that wait keep their time limits.
    auto set_options(admission_options options) -> void;

    /// Refuses new work from now on, but serves the waiting statements and the
    /// statements of open transactions.
    auto stop_admitting() -> void;

    /// Refuses all waiting statements, for example when the lease is lost;
    /// `expire` returns them.
    auto refuse_waiting(request_error error) -> void;

    /// Running and waiting statements, as reported to entry proxies.
    [[nodiscard]] auto load() const noexcept -> std::uint32_t;

    [[nodiscard]] auto snapshot() const -> admission_snapshot;

private:
    struct waiting_statement
    {
        admission_request request;
        /// Class, with the measured length taken into account.
        std::size_t index = 0;
        /// Order of arrival.
        std::uint64_t order = 0;
        time_point since;
        /// Latest start at which the answer still meets the deadline.
        time_point latest_start;
        /// Estimated wait before the correction by `wait_factor`.
        duration estimated_wait{};
    };

    struct running_statement
    {
        std::size_t index = 0;
        std::string caller;
        std::string database;
        std::string shape;
        time_point started;
        duration charged{};
        statement_length length = statement_length::unproven;
        std::optional<pin_id> pin;
        /// Whether it holds a connection that no transaction holds.
        bool holds_connection = true;
        bool opens_transaction = false;
        /// Whether its slot time counts for its caller and database; that of
        /// an open transaction counts only for the class.
        bool counts_for_caller = true;
    };

    /// Waiting new work of one caller.
    struct caller_queue
    {
        std::deque<waiting_statement> waiting;
        /// Expected slot time of the waiting statements.
        duration work{};
        /// Slot time used, in microseconds.
        double used = 0;
        std::uint32_t running = 0;
    };

    struct database_queue
    {
        std::map<std::string, caller_queue> callers;
        std::size_t waiting = 0;
        double used = 0;
        /// `used` of the caller served last. A returning caller starts at this
        /// value, so that it gains no credit for idle time.
        double last_served_usage = 0;
        std::uint32_t running = 0;
    };

    /// Kinds of new work with different conditions to start: three lengths,
    /// each with and without a transaction to open.
    static constexpr auto start_kinds = std::size_t{6};

    struct class_queue
    {
        std::deque<waiting_statement> pinned;
        /// Waiting new work by kind.
        std::array<std::size_t, start_kinds> new_waiting{};
        std::map<std::string, database_queue> databases;
        std::size_t waiting = 0;
        /// Expected slot time of all waiting statements.
        duration work{};
        /// Slot time used divided by the weight of the class.
        double used = 0;
        double last_served_usage = 0;
        std::uint32_t pinned_served = 0;
        /// Measured wait divided by estimated wait.
        double wait_factor = 1;
        time_point wait_factor_at;
    };

    /// Where a statement waits; `database` and `caller` are null for a
    /// statement of an open transaction.
    struct queue_position
    {
        class_queue* group = nullptr;
        database_queue* database = nullptr;
        caller_queue* caller = nullptr;
        std::size_t offset = 0;
    };

    using statement_filter = std::function<bool(const waiting_statement&)>;

    // Limits.
    [[nodiscard]] auto usable_slots() const noexcept -> std::uint32_t;
    [[nodiscard]] auto usable_connections() const noexcept -> std::uint32_t;
    [[nodiscard]] auto connections_in_use() const noexcept -> std::uint32_t;
    [[nodiscard]] auto long_limit() const noexcept -> std::uint32_t;
    [[nodiscard]] auto may_start(const admission_request& request) const
        -> bool;
    [[nodiscard]] auto
    has_connection_for(const admission_request& request) const -> bool;
    [[nodiscard]] static auto
    start_kind(const admission_request& request) noexcept -> std::size_t;
    /// Whether any new work of the class may start.
    [[nodiscard]] auto has_startable(const class_queue& group) const -> bool;
    [[nodiscard]] auto is_length_allowed(statement_length length) const -> bool;

    // Order of service.
    [[nodiscard]] auto pick() -> std::optional<queue_position>;
    [[nodiscard]] auto pick_oldest() -> std::optional<queue_position>;
    [[nodiscard]] auto pick_in(class_queue& group)
        -> std::optional<queue_position>;
    [[nodiscard]] auto pick_pinned(class_queue& group)
        -> std::optional<queue_position>;
    [[nodiscard]] auto pick_new(class_queue& group)
        -> std::optional<queue_position>;
    [[nodiscard]] auto pick_caller(class_queue& group, database_queue& database)
        -> std::optional<queue_position>;
    [[nodiscard]] auto
    first_startable(const std::deque<waiting_statement>& waiting) const
        -> std::optional<std::size_t>;
    [[nodiscard]] static auto at(const queue_position& where)
        -> waiting_statement&;

    // Changes of the queue.
    auto enqueue(waiting_statement statement) -> void;
    [[nodiscard]] auto remove_waiting(const queue_position& where)
        -> waiting_statement;
    [[nodiscard]] auto remove_waiting_if(const statement_filter& filter)
        -> std::vector<waiting_statement>;
    auto start_at(time_point now, const queue_position& where)
        -> admission_ticket;
    auto record_service(const queue_position& where) -> void;
    auto charge(const running_statement& statement, duration amount) -> void;
    auto on_left_slot(const running_statement& statement) -> void;
    auto erase_unused(class_queue& group, const std::string& database,
                      const std::string& caller) -> void;
    auto count_length(statement_length length, std::int32_t change) -> void;
    auto mark_overruns(time_point now) -> void;
    auto apply_known_overrun(time_point now, admission_request& request) const
        -> void;
    auto update_waiting(const std::string& shape, statement_estimate estimate)
        -> void;
    auto refuse_late(time_point now) -> void;

    // Estimates.
    [[nodiscard]] auto expected_wait(time_point now,
                                     const waiting_statement& statement) const
        -> duration;
    [[nodiscard]] auto work_ahead(const waiting_statement& statement) const
        -> duration;
    [[nodiscard]] auto work_running(time_point now, bool is_long) const
        -> duration;
    [[nodiscard]] auto wait_factor(time_point now, std::size_t index) const
        -> double;
    auto update_wait_factor(time_point now, const waiting_statement& statement)
        -> void;
    [[nodiscard]] auto refusal(time_point now,
                               const waiting_statement& statement)
        -> std::optional<request_error>;
    [[nodiscard]] auto is_queue_full(const admission_request& request,
                                     std::size_t index) const -> bool;
    [[nodiscard]] auto make_error(std::string_view code,
                                  std::string_view message, duration wait)
        -> request_error;

    admission_limits limits_;
    admission_options options_;
    std::array<class_queue, work_class_count> classes_;
    std::unordered_map<admission_ticket, running_statement> running_;
    /// Open transactions; the value is true while a statement of it runs.
    std::unordered_map<pin_id, bool> transactions_;
    std::vector<refused_statement> refused_;
    /// `used` of the class served last.
    double last_served_usage_ = 0;
    std::uint32_t running_long_ = 0;
    std::uint32_t running_unproven_ = 0;
    std::uint32_t waiting_long_ = 0;
    std::uint32_t single_connections_ = 0;
    std::uint32_t opening_transactions_ = 0;
    std::uint64_t arrivals_ = 0;
    std::uint64_t started_count_ = 0;
    std::uint64_t refused_count_ = 0;
    /// No waiting statement has to be refused before this time.
    time_point earliest_refusal_ = time_point::max();
    bool is_admitting_ = true;
};

} // namespace rhubarbrun::inline v1

#endif
