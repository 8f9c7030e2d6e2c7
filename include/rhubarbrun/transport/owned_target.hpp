#ifndef RHUBARBRUN_TRANSPORT_OWNED_TARGET_HPP
#define RHUBARBRUN_TRANSPORT_OWNED_TARGET_HPP

#include <rhubarbrun/coordination/admission.hpp>
#include <rhubarbrun/coordination/failover.hpp>
#include <rhubarbrun/coordination/statement_class.hpp>
#include <rhubarbrun/coordination/transaction_pins.hpp>
#include <rhubarbrun/coordination/write_acknowledger.hpp>
#include <rhubarbrun/protocol/execute_messages.hpp>
#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/transport/asio.hpp>
#include <rhubarbrun/transport/target_monitor.hpp>
#include <rhubarbrun/transport/target_pool.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarbrun::inline v1 {

/// How the proxy logs in to targets.
struct target_credentials
{
    std::string user;
    /// Empty for none.
    std::string password;
};

/// A directory that is not changed any more and may be read by any thread.
using directory_view = std::shared_ptr<const directory>;

/// Receives the one reply to a request.
using reply_function = std::function<void(execute_reply)>;

/// What an owned target needs from its proxy; called on the target's strand.
struct owned_target_hooks
{
    clock_function now;
    random_function random;
    /// Whether this proxy's lease holds at this moment.
    std::function<bool()> holds_lease;
    /// Other proxies with a live lease, if the control leader told it.
    std::function<std::optional<std::size_t>()> live_others;
    /// Asks another proxy whether it reaches this target; the answer comes
    /// back through `on_confirmation`.
    std::function<void(const proxy_id&, const target_description&)>
        ask_confirmation;
    /// Proposes a primary to control; `timeline` counts for a group without
    /// one. The answer comes back through `on_proposal_answered`.
    std::function<void(const group_id&, term expected, const target_id&,
                       owner_epoch, std::uint32_t timeline)>
        propose_primary;
    /// Gives the target back to control; called until the directory shows it.
    std::function<void(const target_id&, owner_epoch)> release;
};

/// Settings of an owned target.
struct owned_target_options
{
    proxy_identity self;
    target_id id;
    target_credentials credentials;
};

/// State of an owned target for dumps and for the drain.
struct owned_target_status
{
    target_id id;
    owner_epoch epoch;
    bool is_serving = false;
    bool is_primary = false;
    bool is_fenced = false;
    bool is_handing_over = false;
    term group_term;
    log_position position;
    failover_phase failover = failover_phase::watching;
    std::size_t jobs = 0;
    std::size_t open_transactions = 0;
    std::size_t waiting_for_second_server = 0;
    admission_snapshot queue;
    target_pool_counts connections;
    /// Backends of earlier owners that still stand.
    older_backends older;
};

/// Reply to a request for a target that this proxy does not own.
[[nodiscard]] auto not_owned_reply(request_id id) -> execute_reply;

/// Everything that the owner of a target holds: its queue, slots, connections
/// and transactions, and, for a primary, the acknowledgement of writes and the
/// failover.
///
/// Public functions may be called from any thread; the work is done on one
/// strand per target.
class owned_target : public std::enable_shared_from_this<owned_target>
{
public:
    owned_target(asio::io_context& context, owned_target_options options,
                 owned_target_hooks hooks, directory_view view);

    /// Starts to connect; call once after construction.
    auto start() -> void;

    /// Runs a request for a session of the entry proxy behind `link`; `reply`
    /// is called exactly once, on the strand.
    auto submit(execute_request request, link_id link, reply_function reply)
        -> void;

    /// Cancels one request of a session, or ends all that the session holds.
    auto cancel(const cancel_request& request, link_id link) -> void;

    /// The link to an entry proxy was lost: ends all of its sessions.
    auto on_link_lost(link_id link) -> void;

    /// A newer directory is in force.
    auto set_directory(directory_view view) -> void;

    /// Answers to `ask_confirmation` and `propose_primary`.
    auto on_confirmation(const proxy_id& proxy, bool is_reachable) -> void;
    auto on_proposal_answered(bool is_accepted) -> void;

    /// Asks for the position and load of the target.
    auto query(std::function<void(position_answer)> done) -> void;

    /// Asks for the status, for dumps.
    auto inspect(std::function<void(owned_target_status)> done) -> void;

    /// Ends all work and closes all connections; used once the assignment to
    /// this proxy has ended.
    auto stop() -> void;

private:
    enum class job_stage : std::uint8_t
    {
        /// A read that waits for the replica to reach its floor.
        waiting_for_position,
        waiting_for_slot,
        waiting_for_connection,
        running,
        waiting_for_second_server,
    };

    struct job
    {
        execute_request request;
        entry_session session;
        reply_function reply;
        time_point deadline;
        job_stage stage = job_stage::waiting_for_slot;
        std::optional<pin_id> pin;
        std::optional<connection_id> connection;
        time_point started;
        /// Until when a read waits for its floor.
        time_point position_limit;
        /// Term in which a write ran.
        term ran_in;
        /// The caller is gone; the reply reaches nobody.
        bool is_abandoned = false;
        execute_reply answer;
    };

    /// One step of a request with a key.
    enum class keyed_step : std::uint8_t
    {
        /// Opens the transaction and records the key.
        begin,
        run,
        /// Stores the command tag and commits.
        commit,
    };

    // Life cycle, in owned_target.cpp.
    auto tick() -> void;
    auto schedule_tick() -> void;
    auto on_monitor_connected() -> void;
    auto on_state(time_point asked_at, const server_state& state) -> void;
    auto on_poll(const std::optional<
                 std::pair<server_state, std::vector<replica_state>>>& poll)
        -> void;
    auto make_connection() -> std::unique_ptr<target_connection>;
    auto apply_directory() -> void;
    auto apply_limits() -> void;
    [[nodiscard]] auto limits() const -> admission_limits;
    /// Whether connections may be opened: without a lease another proxy may
    /// own the target and fill it.
    [[nodiscard]] auto may_connect() const -> bool;
    [[nodiscard]] auto is_own_assignment() const -> bool;
    [[nodiscard]] auto is_designated_primary() const -> bool;
    [[nodiscard]] auto may_serve() const -> bool;
    [[nodiscard]] auto may_write() const -> bool;
    [[nodiscard]] auto make_status() const -> owned_target_status;

    // Roles and failover, in owned_target_roles.cpp.
    auto advance_role() -> void;
    auto start_role_command(statement body, duration limit,
                            std::function<void(const target_result&)> handler)
        -> void;
    auto log_role(std::string_view event) const -> void;
    auto terminate_older() -> void;
    auto on_older_counted(const older_backends& counts) -> void;
    /// Repeats `terminate_older` while backends of earlier owners may stand.
    auto watch_older(time_point now) -> void;
    auto promote() -> void;
    auto prepare_primary() -> void;
    auto follow_primary() -> void;
    auto run_follow_step(std::vector<statement> steps, std::size_t index)
        -> void;
    /// At a replica: reads the timeline of the term's primary once per term.
    auto learn_timeline(time_point now) -> void;
    /// Notes whether the replica has been seen on the term's timeline.
    auto check_history() -> void;
    /// Whether the server's log belongs to the group's current term.
    [[nodiscard]] auto follows_term() const -> bool;
    auto claim_primary() -> void;
    auto leave_role(std::string_view reason) -> void;
    auto check_primary(time_point now) -> void;
    auto replace_leaving_primary(time_point now) -> void;
    /// A failover with what is known of the group; null if a planned one has
    /// no server to go to.
    [[nodiscard]] auto make_failover(bool is_planned) const
        -> std::unique_ptr<failover>;
    auto carry_out(const std::vector<failover_action>& actions) -> void;
    auto read_status_of(const target_id& target) -> void;
    /// Reads the state of another server of the group.
    auto probe_other(
        const target_id& target,
        const std::function<void(const std::optional<server_state>&)>& done)
        -> void;
    auto step_handover(time_point now) -> void;
    auto release_if_gone(time_point now) -> void;

    // Requests, in owned_target_jobs.cpp.
    auto on_submit(execute_request request, link_id link, reply_function reply)
        -> void;
    [[nodiscard]] auto refusal(const job& work) const
        -> std::optional<execute_reply>;
    auto admit(job work) -> void;
    auto pump() -> void;
    auto start_job(admission_ticket ticket) -> void;
    auto run_job(admission_ticket ticket, connection_id connection) -> void;
    auto run_keyed(admission_ticket ticket, keyed_step step) -> void;
    auto on_keyed_result(admission_ticket ticket, keyed_step step,
                         const target_result& result) -> void;
    auto answer_repeat(admission_ticket ticket) -> void;
    auto roll_back_and_finish(admission_ticket ticket, target_result answer)
        -> void;
    auto run_statement(admission_ticket ticket, statement body,
                       std::function<void(const target_result&)> handler)
        -> void;
    auto on_result(admission_ticket ticket, const target_result& result)
        -> void;
    auto settle_connection(admission_ticket ticket, job& work,
                           const target_result& result) -> void;
    auto settle_pinned(job& work, const target_result& result) -> void;
    auto settle_new(admission_ticket ticket, job& work,
                    const target_result& result) -> void;
    auto release(const released_connection& released) -> void;
    auto wait_for_second_server(admission_ticket ticket) -> void;
    auto acknowledge(admission_ticket ticket, log_offset position) -> void;
    auto finish(admission_ticket ticket, execute_reply reply) -> void;
    auto fail(admission_ticket ticket, request_error error,
              reroute_hint reroute = reroute_hint::none) -> void;
    auto retry_position_waiters(time_point now) -> void;
    auto expire_jobs(time_point now) -> void;
    auto refuse_all_waiting() -> void;
    auto end_session(const entry_session& session) -> void;
    [[nodiscard]] auto request_connection(const job& work)
        -> std::optional<connection_id>;

    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer timer_;
    owned_target_options options_;
    owned_target_hooks hooks_;
    directory_view view_;
    target_record record_;
    group_record group_;
    bundle_timings timings_;

    std::shared_ptr<target_monitor> monitor_;
    std::shared_ptr<target_pool> pool_;
    std::unique_ptr<admission_queue> queue_;
    statement_classifier classifier_;
    transaction_pins pins_;
    write_acknowledger acknowledger_;
    std::unique_ptr<failover> failover_;

    std::unordered_map<admission_ticket, job> jobs_;
    std::deque<admission_ticket> waiting_for_connection_;
    std::deque<admission_ticket> waiting_for_position_;
    admission_ticket last_ticket_;

    /// Latest state of the server, and when it was asked for.
    std::optional<server_state> state_;
    time_point state_asked_at_{};
    /// Replicas that streamed from this primary at the last poll.
    std::vector<target_id> followers_;
    /// Any replica streamed from this server at the last poll.
    bool has_streaming_replica_ = false;
    time_point last_poll_{};
    /// The role commands of this epoch and term that are done.
    bool has_terminated_older_ = false;
    /// Backends of earlier owners at the last count, and until when they are
    /// counted even if none stands.
    older_backends older_;
    time_point watch_older_until_{};
    time_point next_older_count_{};
    bool is_role_command_running_ = false;
    /// Term for which this target was prepared as primary; 0 for none.
    term prepared_term_;
    std::uint32_t prepared_timeline_ = 0;
    /// Since when the primary's record says that it leaves.
    std::optional<time_point> leaving_since_;
    /// Timeline of the primary of `timeline_term_`; read from the primary
    /// itself, as terms are not timelines: a term may pass without promotion.
    std::uint32_t term_timeline_ = 0;
    term timeline_term_;
    time_point next_timeline_read_{};
    /// Term whose timeline the replica had on the present connection; 0 for
    /// none. A standby never goes back to an earlier timeline.
    term history_term_;
    /// Term for which this target was told whom to follow; 0 for none.
    term followed_term_;
    time_point next_claim_{};
    time_point next_role_command_{};
    bool is_fenced_ = false;
    std::optional<time_point> handover_since_;
    time_point next_release_{};
    /// The directory shows a later epoch.
    bool is_assignment_over_ = false;
    bool is_stopped_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
