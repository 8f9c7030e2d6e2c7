#ifndef RHUBARBRUN_COORDINATION_PRIMARY_SUPERVISOR_HPP
#define RHUBARBRUN_COORDINATION_PRIMARY_SUPERVISOR_HPP

#include <rhubarbrun/coordination/server_directory.hpp>
#include <rhubarbrun/state/log_position.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbrun::inline v1 {

/// State that a server reports on request.
struct server_log_status
{
    server_role role = server_role::replica;
    /// Newest term known to the server.
    term newest;
    /// End of the log that it received.
    log_position received;
    /// Term of the order to pause that is in force; 0 if it receives.
    term paused_by;
};

/// Number of a call to a server, unique within a supervisor.
using server_call_number =
    strong_id<struct server_call_number_tag, std::uint64_t>;

/// What a server is asked to do; it replies with its state afterwards.
enum class server_order : std::uint8_t
{
    report,
    /// A primary of a term below the order's becomes a replica.
    step_down,
    /// A replica receives nothing until a promotion, `resume` or its restart,
    /// unless it knows the order's term already.
    pause,
    resume,
};

/// Name of an order for logs.
[[nodiscard]] constexpr auto to_string(server_order order) noexcept
    -> std::string_view
{
    switch (order) {
    case server_order::step_down:
        return "step_down";
    case server_order::pause:
        return "pause";
    case server_order::resume:
        return "resume";
    case server_order::report:
        break;
    }
    return "report";
}

/// A call to a server. Without a reply it may still be carried out, seconds
/// later.
struct server_call
{
    server_call_number number;
    server_record server;
    server_order order = server_order::report;
    /// Of `step_down` and `pause`.
    term order_term;
};

/// Outcome of an order to promote a server.
enum class promotion_outcome : std::uint8_t
{
    accepted,
    /// The server is not running, a later holder has given orders, or the order
    /// was not sent.
    refused,
    /// No reply arrived; the order may still be carried out.
    unknown,
};

/// Reachability of one server as seen by one proxy or by several together.
struct server_sighting
{
    target_id server;
    /// Time since the server's last reply to a proxy whose attempts do not
    /// fail; no value if there is none.
    std::optional<duration> answered_ago;
    /// Time for which attempts have been failing; no value if they do not fail.
    std::optional<duration> failing_for;
};

/// Operations that a `primary_supervisor` requires of its environment.
struct primary_supervisor_hooks
{
    /// Calls a server; the result is passed to `on_status` later.
    std::function<void(const server_call&)> call_server;
    /// Orders a promotion; the result is passed to `on_promotion`. For the
    /// present primary the order changes nothing, but makes all earlier ones
    /// void that have not been carried out.
    std::function<void(const group_id&, const target_id&)> promote;
    /// Replicates which servers orders to promote may make primary;
    /// `on_recorded` follows once it is committed. Needed for synchronous
    /// replicas.
    std::function<void(const group_id&, const std::set<target_id>&)> record;
    /// Writes a log line about a group.
    std::function<void(std::string_view event, const group_id&,
                       const target_id&, const std::string& reason)>
        log;
};

/// Decides when a group's primary is replaced, and by which replica.
///
/// It runs at the control leader. A primary is replaced if this process
/// receives nothing from it and no proxy gets replies from it, or if it shuts
/// down. The successor is the replica that received most of the log. A primary
/// that shuts down first stops accepting commits, so that its successor can
/// hold all of them. With synchronous replicas, all replicas are paused before
/// an unplanned change, so that no commit can be acknowledged after their
/// positions were reported. docs/platform.md lists the steps.
class primary_supervisor
{
public:
    explicit primary_supervisor(primary_supervisor_hooks hooks);

    /// Starts without knowledge of earlier orders.
    auto start_leading(time_point now) -> void;
    auto stop_leading() -> void;

    /// Records what a proxy, or a control member's proxies together, observed
    /// at `now`.
    auto on_sightings(time_point now, const std::string& observer,
                      const std::vector<server_sighting>& sightings) -> void;
    /// Handles the reply to a call; no value if there was none in time.
    auto on_status(time_point now, server_call_number number,
                   const std::optional<server_log_status>& status) -> void;
    auto on_promotion(time_point now, const group_id& group,
                      promotion_outcome outcome) -> void;
    /// A record of this leader or of an earlier one is committed.
    auto on_recorded(const group_id& group, std::set<target_id> servers)
        -> void;

    /// Supervises a group of the configuration; `count` replicas must hold a
    /// commit before it is acknowledged. Announcements of other groups are
    /// ignored.
    auto supervise(const group_id& group, std::uint32_t count) -> void;

    /// Whether the group is supervised, or none is yet.
    [[nodiscard]] auto may_know(const group_id& group) const -> bool
    {
        return groups_.empty() || groups_.contains(group);
    }

    auto tick(time_point now, const server_directory& directory) -> void;

private:
    enum class phase : std::uint8_t
    {
        watching,
        /// Collecting the state of all servers.
        surveying,
        /// Waiting until no replica receives, so that the primary cannot
        /// acknowledge any more, and positions can be compared.
        pausing,
        /// Waiting until the primary has stepped down and a replica holds its
        /// whole log.
        handing_over,
        promoting,
        /// The server accepted the promotion but has not announced it yet.
        settling,
    };
    struct sighting
    {
        std::optional<time_point> answered_at;
        std::optional<time_point> failing_since;
        time_point reported_at;
    };
    struct open_call
    {
        target_id server;
        std::uint64_t started_at = 0;
        server_order order = server_order::report;
        time_point sent_at;
    };
    struct sampled_position
    {
        time_point asked_at;
        log_position position;
    };
    /// State that a server reported, which holds for that start of it.
    struct reported_status
    {
        server_log_status status;
        std::uint64_t started_at = 0;
    };
    /// A position at or above the end of the log of a server that left, which
    /// holds for that start of it.
    struct departure_bound
    {
        log_position position;
        std::uint64_t started_at = 0;
    };
    /// Orders to resume that got no reply and may still be carried out.
    struct open_resume_orders
    {
        std::size_t count = 0;
        /// A server that starts again has none.
        std::uint64_t started_at = 0;
        /// Whether the server was seen paused since the last order that it
        /// answered; an order that is carried out late ends this.
        bool is_paused = false;
    };
    struct supervised_group
    {
        phase stage = phase::watching;
        time_point since;
        time_point not_before;
        std::map<server_call_number, open_call> calls;
        /// Newest states since the survey began.
        std::map<target_id, reported_status> statuses;
        /// Servers that confirmed the order of the present phase, with their
        /// start: a replica that starts again receives again.
        std::map<target_id, std::uint64_t> confirmed;
        target_id primary;
        /// The last server that claimed to be primary, and its start.
        target_id former;
        std::uint64_t former_start = 0;
        target_id candidate;
        bool is_planned = false;
        std::uint32_t synchronous_replicas = 0;
        std::string reason;

        /// Since when a planned change has been due.
        std::optional<time_point> planned_since;
        /// Position of the primary at the survey before; a replica that has
        /// reached it receives.
        std::optional<log_position> earlier_position;
        term order_term;
        /// When a reply last showed progress of a replica in a hand-over.
        time_point progress_at;

        /// Servers for which an order to promote got no answer. It may still be
        /// carried out until a later one is accepted.
        std::set<target_id> open_promotions;
        /// When a record was asked for last.
        std::optional<time_point> record_asked_at;
        /// Records of this leader; any other is of an earlier one.
        std::set<std::set<target_id>> own_records;
        /// Whether the survey is to confirm the present primary by an order.
        bool is_confirming = false;
        /// Whether the present primary was confirmed since the last order for
        /// another server.
        bool is_confirmed = false;
        /// Replicas that may be paused although no change is under way, with
        /// their start.
        std::map<target_id, std::uint64_t> paused;
        /// Orders to receive again that may still be answered.
        std::map<server_call_number, open_call> resumes;
        std::map<target_id, open_resume_orders> open_resumes;
        /// Orders of `hold` that may still be answered.
        std::map<server_call_number, open_call> holds;
        time_point next_hold;
        /// The primary that was told to step down in the present change and
        /// confirmed it, with its start.
        std::optional<std::pair<target_id, std::uint64_t>> stepped_down;
        time_point next_patrol;
        std::optional<sampled_position> primary_sample;
        std::map<target_id, departure_bound> bounds_of_departed;
    };

    auto watch(time_point now, const group_id& id, supervised_group& group,
               const server_directory& directory) -> void;
    auto survey(time_point now, const group_id& id, supervised_group& group,
                const server_directory& directory) -> void;
    auto finish_survey(time_point now, const group_id& id,
                       supervised_group& group,
                       const server_directory& directory) -> void;
    /// Makes earlier orders void, if the surveyed primary still leads.
    auto confirm_primary(time_point now, const group_id& id,
                         supervised_group& group,
                         const server_directory& directory) -> void;
    auto plan_hand_over(time_point now, const group_id& id,
                        supervised_group& group,
                        const server_directory& directory) -> void;
    auto replace_lost_primary(time_point now, const group_id& id,
                              supervised_group& group,
                              const server_directory& directory) -> void;
    auto pause_replicas(time_point now, const group_id& id,
                        supervised_group& group,
                        const server_directory& directory) -> void;
    auto start_hand_over(time_point now, const group_id& id,
                         supervised_group& group) -> void;
    auto hand_over(time_point now, const group_id& id, supervised_group& group,
                   const server_directory& directory) -> void;
    auto finish_hand_over(time_point now, const group_id& id,
                          supervised_group& group,
                          const server_directory& directory) -> void;
    /// Orders the promotion once it is recorded; until then the present phase
    /// goes on and decides again.
    auto promote(time_point now, const group_id& id, supervised_group& group,
                 const target_id& candidate) -> void;
    /// Whether the record names all servers that orders may make primary, once
    /// one for `candidate` is given; asks for it if not.
    [[nodiscard]] auto is_recorded(time_point now, const group_id& id,
                                   supervised_group& group,
                                   const target_id& candidate) -> bool;
    auto record(const group_id& id, supervised_group& group,
                const std::set<target_id>& servers) -> void;
    /// Lets the server of the only open order receive, so that its log holds
    /// what the former primary may still acknowledge.
    auto resume_candidate(time_point now, const group_id& id,
                          supervised_group& group,
                          const server_directory& directory) -> void;
    auto resume(time_point now, supervised_group& group,
                const server_record& server) -> void;
    /// The only other server than the primary for which orders are open, if it
    /// is not paused.
    [[nodiscard]] static auto receiving_candidate(const supervised_group& group)
        -> std::optional<target_id>;
    auto postpone(time_point now, const group_id& id, supervised_group& group,
                  const target_id& server, const std::string& reason,
                  duration pause) -> void;
    auto resume_watching(time_point now, supervised_group& group,
                         duration pause) -> void;
    /// Keeps the former primary from acknowledging while an order to promote
    /// another server may take effect, with synchronous replicas: a replica
    /// receives again after its restart or by a late order to resume.
    auto hold(time_point now, const group_id& id, supervised_group& group,
              const server_directory& directory) -> void;
    /// Forgets what a server reported at an earlier start.
    static auto forget_restarted(supervised_group& group,
                                 const server_directory& directory) -> void;
    /// Notes whether the server is paused, and whether an order to resume was
    /// carried out late.
    static auto note_pause(supervised_group& group, const open_call& call,
                           const server_log_status& status) -> void;
    /// A pause that ends now says nothing about late orders.
    static auto forget_pauses(supervised_group& group, const target_id& server)
        -> void;
    [[nodiscard]] static auto may_resume_late(const supervised_group& group,
                                              const server_record& server)
        -> bool;
    /// Whether an order to promote another server than `server` may still be
    /// carried out.
    [[nodiscard]] static auto has_open_promotion(const supervised_group& group,
                                                 const target_id& server)
        -> bool;
    /// Undoes what an abandoned change left behind; returns whether that is
    /// still under way.
    auto restore(time_point now, const group_id& id, supervised_group& group,
                 const server_directory& directory) -> bool;
    /// Looks regularly whether replicas of a group with synchronous replicas
    /// are paused.
    auto patrol(time_point now, supervised_group& group,
                const server_directory& directory) -> void;
    auto call(time_point now, supervised_group& group,
              const server_record& server, server_order order) -> void;
    /// Calls every server of the list that has no call open.
    auto call_idle(time_point now, supervised_group& group,
                   const std::vector<const server_record*>& servers,
                   server_order order) -> void;
    [[nodiscard]] auto
    failure_reason(time_point now, const server_directory::entry& primary) const
        -> std::string;
    [[nodiscard]] auto has_recent_answer(time_point now,
                                         const target_id& server) const -> bool;
    /// The server to promote, other than the group's primary. With synchronous
    /// replicas the position decides, then readiness; else readiness decides
    /// first.
    [[nodiscard]] static auto best_replica(const supervised_group& group,
                                           const server_directory& directory)
        -> std::optional<target_id>;
    [[nodiscard]] static auto
    best_ready_replica(const supervised_group& group,
                       const server_directory& directory)
        -> std::optional<target_id>;
    /// Servers whose logs are not known for certain: the primary, those without
    /// `has_reported`, and those that left a short while ago, may hold more
    /// than `reached`, and whose successor has not announced itself. What was
    /// acknowledged is on more servers than there are synchronous replicas, so
    /// that it is known if no more than that many are missing.
    [[nodiscard]] static auto
    missing_logs(time_point now, const group_id& id,
                 const supervised_group& group,
                 const server_directory& directory, const log_position& reached,
                 const std::function<bool(const server_record&)>& has_reported)
        -> std::vector<target_id>;
    /// Whether the server left without a successor that has its log.
    [[nodiscard]] static auto
    has_departed(time_point now, const group_id& id,
                 const supervised_group& group,
                 const server_directory& directory,
                 const server_directory::entry& server,
                 const log_position& reached) -> bool;
    [[nodiscard]] static auto newest_term(const supervised_group& group)
        -> term;
    [[nodiscard]] static auto has_confirmed(const supervised_group& group,
                                            const server_record& server)
        -> bool;
    [[nodiscard]] static auto is_ready(const server_directory& directory,
                                       const target_id& server) -> bool;
    /// Servers of a group that have not left, without its primary.
    [[nodiscard]] static auto others(const group_id& id,
                                     const supervised_group& group,
                                     const server_directory& directory)
        -> std::vector<const server_record*>;

    primary_supervisor_hooks hooks_;
    bool is_leading_ = false;
    time_point leading_since_;
    server_call_number last_call_;
    std::map<group_id, supervised_group> groups_;
    /// Committed records, by group.
    std::map<group_id, std::set<target_id>> recorded_;
    /// By server, then by observer.
    std::map<target_id, std::map<std::string, sighting>> sightings_;
};

} // namespace rhubarbrun::inline v1

#endif
