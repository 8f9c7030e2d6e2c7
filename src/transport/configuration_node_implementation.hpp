#ifndef RHUBARBRUN_SRC_TRANSPORT_CONFIGURATION_NODE_IMPLEMENTATION_HPP
#define RHUBARBRUN_SRC_TRANSPORT_CONFIGURATION_NODE_IMPLEMENTATION_HPP

#include <rhubarbrun/coordination/allowance_ledger.hpp>
#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/coordination/fencing_sequence.hpp>
#include <rhubarbrun/coordination/ledger_succession.hpp>
#include <rhubarbrun/coordination/member_choice.hpp>
#include <rhubarbrun/coordination/member_contacts.hpp>
#include <rhubarbrun/coordination/renewal_batch.hpp>
#include <rhubarbrun/coordination/sighting_digest.hpp>
#include <rhubarbrun/coordination/state_freshness.hpp>
#include <rhubarbrun/coordination/storage_gate.hpp>
#include <rhubarbrun/coordination/update_pacing.hpp>
#include <rhubarbrun/protocol/view_messages.hpp>
#include <rhubarbrun/transport/configuration_node.hpp>
#include <rhubarbrun/transport/log_files.hpp>
#include <rhubarbrun/transport/server_cache.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbrun::inline v1 {

/// Everything runs on the one thread of the io_context.
class configuration_node::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   configuration_node_options options,
                   configuration_node_hooks hooks);

    auto start() -> void;
    auto stop() -> void;
    auto submit(std::uint64_t version, const std::string& text,
                submit_callback done) -> void;
    auto read(read_callback done) -> void;
    auto announce(const server_record& record, bool is_shared) -> bool;
    auto withdraw(const target_id& server) -> void;
    auto leave() -> void;
    [[nodiscard]] auto is_leaving() const -> bool
    {
        return !is_stopped_ && member_->is_leaving();
    }

    auto supervisor() -> primary_supervisor& { return supervisor_; }
    auto on_position(const group_id& group, time_point asked_at,
                     const std::optional<log_position>& position) -> void;
    auto watch(const group_id& group) -> void { positions_.watch(group); }

    auto set_allowances(allowance_table allowances) -> void
    {
        if (ledger_) {
            ledger_->set_allowances(steady_now(), std::move(allowances));
        }
    }

    [[nodiscard]] auto allowance_metrics() const -> std::string;

    [[nodiscard]] auto has_lease() const -> bool
    {
        return is_leader() && member_->has_leader_lease(steady_now());
    }

    [[nodiscard]] auto next_fencing_token() -> std::optional<std::uint64_t>
    {
        if (!has_lease()) {
            return std::nullopt;
        }
        return fencing_.next(member_->status(steady_now()).current);
    }

    [[nodiscard]] auto leader() const -> std::optional<std::string>
    {
        // A member that waits for room on its disk hears nothing of leaders.
        const auto known =
            gate_.is_blocked() ? std::nullopt : member_->leader();
        return known ? std::optional(known->id.value()) : std::nullopt;
    }

    [[nodiscard]] auto is_leader() const -> bool
    {
        return member_->is_leader() && !gate_.is_blocked();
    }

    [[nodiscard]] auto traffic() const -> const link_traffic&
    {
        return links_.traffic();
    }

    [[nodiscard]] auto storage() const -> const storage_gate& { return gate_; }

    [[nodiscard]] auto configuration_version() const -> std::uint64_t
    {
        return history_.newest().version;
    }

    [[nodiscard]] auto dump() const -> std::string;

private:
    /// Control processes tell each other of their proxies and of the members
    /// this often; what one told counts for three times as long.
    static constexpr auto census_interval = std::chrono::seconds(1);

    struct pending_submission
    {
        std::uint64_t version = 0;
        election_term elected;
        time_point since;
        /// Heartbeats sent after the submission.
        std::uint64_t round = 0;
        submit_callback done;
    };
    /// A submission that is committed and not acknowledged yet.
    struct committed_submission
    {
        pending_submission submission;
        log_index index;
    };
    struct pending_read
    {
        time_point since;
        std::optional<log_index> index;
        read_callback done;
    };
    /// A proxy that is told of changes.
    struct subscriber
    {
        std::uint64_t directory_revision = 0;
        std::uint64_t configuration_version = 0;
        /// Groups whose positions the proxy needs; no value if all, and if it
        /// takes no packed changes.
        std::optional<std::vector<group_id>> interest;
    };
    /// A request of a proxy for a position that is not known yet.
    struct position_waiter
    {
        link_id link;
        std::uint64_t number = 0;
        time_point received_at;
    };

    /// A message with the changes of servers between two revisions.
    struct packed_changes
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        std::string message;
    };

    [[nodiscard]] auto voters_needed() const -> std::size_t
    {
        return 2 * options_.tolerated_losses + 1;
    }

    auto look_for_members() -> void;
    auto on_link_up(const link_info& link) -> void;
    auto on_message(const link_info& link, message_type type,
                    const std::string& payload) -> void;
    auto on_view_request(const link_info& link, const view_request& request)
        -> void;
    auto on_report(const sighting_report& report) -> void;
    /// Answers a report of a proxy if this member leads, and passes it on if
    /// another one does.
    auto on_allowance_report(const link_info& link, const std::string& payload)
        -> void;
    /// Passes the reports of this member's proxies on to the leader.
    auto send_allowance_reports() -> void;
    /// Answers reports that another member passed on.
    auto on_allowance_reports(const link_info& link, const std::string& payload)
        -> void;
    auto on_allowance_grants(const std::string& payload) -> void;
    /// The answer to a report; no value if this member grants nothing.
    [[nodiscard]] auto answer_report(const std::string& payload,
                                     const std::string& sender)
        -> std::optional<allowance_grant>;
    /// Begins or ends to grant tokens with the lease of the leader.
    auto follow_ledger(time_point now) -> void;
    auto on_subscription(const link_info& link, view_subscription message)
        -> void;
    /// Sends the servers that changed since the subscriber was told.
    auto send_server_changes(link_id link, subscriber& to) -> void;
    /// Sends what turns the subscriber's configuration into the newest; returns
    /// false if it needs the whole.
    auto send_delta(link_id link, const subscriber& to) -> bool;
    auto on_position_request(const link_info& link,
                             const position_request& request) -> void;
    /// Positions for an answer to the subscriber.
    [[nodiscard]] auto positions_for(time_point now, const subscriber& to)
        -> std::vector<position_record>;
    auto share(const server_record& record) -> void;
    /// Sends to every control process, members of the group or not.
    auto send_to_control(message_type type, const std::string& payload) -> void;
    auto send_census() -> void;
    auto save_servers(time_point now) -> void;
    auto tell_configuration() -> void;
    auto log_in_force(std::string_view source) const -> void;
    /// Logs which members hold the submission on disk.
    auto log_acknowledged(const pending_submission& submission,
                          log_index index) const -> void;
    /// Logs when the state begins or ceases to be fresh.
    auto log_freshness(time_point now) -> void;
    [[nodiscard]] auto proxy_count() const -> std::uint32_t;
    /// `answered` is the request, null if there is none.
    auto send_update(link_id link, subscriber& to, const view_request* answered)
        -> void;
    /// Ways to the servers that the report calls failing.
    [[nodiscard]] auto detours_for(const sighting_report& report) const
        -> std::vector<detour_record>;
    /// Proxies of this member that reach each primary.
    [[nodiscard]] auto own_detours() const -> std::vector<detour_record>;
    /// Passes on what this member's proxies see of the servers.
    auto tell_leader(time_point now) -> void;
    /// Tells the proxies of changes of servers, which may wait for others.
    auto push_servers(time_point now) -> void;
    /// Tells the proxies of everything that they lack.
    auto push_updates() -> void;
    /// Tells the leader which servers are alive.
    auto send_renewals(time_point now) -> void;
    /// Notes that the state is the newest, or asks the leader how new it is.
    auto refresh_state(time_point now) -> void;
    auto answer_freshness(const link_info& link,
                          const freshness_question& question) -> void;
    /// Age of the state; no value if it is not known.
    [[nodiscard]] auto state_age(time_point now) const
        -> std::optional<duration>;
    [[nodiscard]] auto member_names() const -> std::vector<std::string>;

    auto run(const std::function<void()>& work) -> void;
    auto pump() -> void;
    /// Saves a batch and carries it out; returns false if it cannot be saved
    /// yet.
    auto carry_out(consensus_ready& ready) -> bool;
    /// Carries out a batch that is durable.
    auto complete(const consensus_ready& ready) -> void;
    /// Tries again to save a batch for which there was no room; returns whether
    /// the member may go on.
    auto resume_storage() -> bool;
    auto apply(const log_entry& entry) -> void;
    [[nodiscard]] auto make_supervisor_hooks() -> primary_supervisor_hooks;
    /// Tells the supervisor of a record of promotions.
    auto tell_supervisor(const promotion_record& record) -> void;
    auto load_history(std::string_view bytes) -> void;
    auto follow_leadership() -> void;
    auto finish_reads(time_point now) -> void;
    /// Acknowledges what the tolerated losses cannot take away any more.
    auto finish_submissions(time_point now) -> void;
    auto give_up_pending(time_point now) -> void;
    auto arm_timer() -> void;
    auto fail(const std::string& reason) -> void;

    configuration_node_options options_;
    configuration_node_hooks hooks_;
    asio::steady_timer timer_;
    log_files files_;
    storage_gate gate_;
    server_cache cache_;
    peer_links links_;
    std::unique_ptr<consensus_member> member_;
    state_freshness freshness_;
    fencing_sequence fencing_;
    std::optional<allowance_ledger> ledger_;
    ledger_succession succession_{steady_now()};
    /// Reports that are to be passed on, and when.
    std::vector<std::string> reports_;
    asio::steady_timer reports_timer_;
    configuration_history history_;
    server_directory directory_;
    primary_supervisor supervisor_;
    position_watch positions_;
    std::map<group_id, std::vector<position_waiter>> position_waiters_;
    update_pacing server_updates_;
    /// Sent last; most subscribers lack the same.
    packed_changes last_changes_;
    /// Configurations that were in force lately, as texts, by version.
    std::map<std::uint64_t, std::string> documents_;
    /// Deltas to the newest, by the version that they change.
    std::map<std::uint64_t, std::string> deltas_;
    renewal_batch renewals_;
    /// What this member's proxies told.
    sighting_digest digest_;
    std::map<link_id, subscriber> proxies_;
    /// What the other members told last, and when.
    std::map<std::string, std::pair<proxy_census, time_point>> census_;
    std::uint64_t cached_revision_ = 0;
    time_point next_cache_save_;
    std::set<std::string> connected_;
    std::multimap<log_index, pending_submission> submissions_;
    std::vector<committed_submission> committed_submissions_;
    std::map<read_ticket, pending_read> reads_;
    log_index applied_;
    log_index snapshot_index_;
    /// Size of the commands that were applied since the last snapshot, in
    /// bytes.
    std::size_t bytes_since_snapshot_ = 0;
    time_point next_look_;
    time_point next_supervision_;
    bool was_leading_ = false;
    bool was_fresh_ = false;
    bool is_stopped_ = false;
    bool is_pumping_ = false;
};

} // namespace rhubarbrun::inline v1

#endif
