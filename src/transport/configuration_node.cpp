#include "configuration_node_implementation.hpp"

#include <rhubarbrun/protocol/text_compression.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/json.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

/// Decisions about primaries are looked at this often.
constexpr auto supervision_interval = milliseconds(50);
/// A submitted configuration whose fate is not known after this long is
/// answered so; callers wait for a second.
constexpr auto submit_patience = milliseconds(900);
/// Applied entries after which the log is compacted.
constexpr auto entries_per_snapshot = std::uint64_t{64};
/// The same in bytes. It bounds the room that the log takes, together with one
/// segment and one command beyond it.
constexpr auto bytes_per_snapshot = std::size_t{8} * 1024 * 1024;

/// Configurations to which deltas are made. A proxy that holds an older one
/// gets the newest whole.
constexpr auto documents_kept = std::size_t{6};

auto to_peer(const member_id& id) -> peer_name
{
    return {peer_role::control, id.value()};
}

} // namespace

configuration_node::implementation::implementation(
    asio::io_context& context, configuration_node_options options,
    configuration_node_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      timer_(context),
      files_({options_.data_directory, member_id(options_.address)},
             random_number, options_.files),
      gate_([this](const consensus_ready& ready) {
          try {
              files_.save(ready);
          } catch (const log_full_error&) {
              return false;
          }
          return true;
      }),
      cache_(options_.data_directory / "view" / "servers", options_.files),
      links_(
          context, options_.link_key,
          {{peer_role::control, options_.address}, files_.identity().instance},
          {[this](const link_info& link) { on_link_up(link); },
           [this](const link_info& link, message_type type,
                  const std::string& payload) {
               on_message(link, type, payload);
           },
           [this](const link_info& link, std::string_view) {
               proxies_.erase(link.id);
           }},
          options_.links),
      ledger_(options_.allowances
                  ? std::optional(allowance_ledger(*options_.allowances))
                  : std::nullopt),
      reports_timer_(context),
      supervisor_(make_supervisor_hooks()),
      positions_(hooks_.ask_position)
{
    auto stored = files_.take_stored();
    auto founders = std::vector<member_id>();
    for (const auto& address : options_.seeds()) {
        founders.emplace_back(address);
    }
    const auto is_founder =
        std::find(founders.begin(), founders.end(),
                  member_id(options_.address)) != founders.end();
    auto consensus = options_.consensus;
    consensus.members = std::move(founders);
    consensus.is_founding = options_.is_founding && is_founder;
    consensus.admits_unlisted_members = true;
    consensus.min_voters = voters_needed();
    if (stored.snapshot) {
        load_history(stored.snapshot->data);
        snapshot_index_ = stored.snapshot->metadata.index;
    }
    member_ = std::make_unique<consensus_member>(
        files_.identity(), std::move(consensus), random_number,
        std::move(stored), steady_now());
}

auto configuration_node::implementation::make_supervisor_hooks()
    -> primary_supervisor_hooks
{
    auto hooks = hooks_.supervisor;
    hooks.record = [this](const group_id& group,
                          const std::set<target_id>& servers) {
        const auto record =
            promotion_record{group, {servers.begin(), servers.end()}};
        // Without a commit the supervisor asks again.
        static_cast<void>(member_->propose(
            steady_now(), configuration_history::encode(record)));
    };
    return hooks;
}

auto configuration_node::implementation::tell_supervisor(
    const promotion_record& record) -> void
{
    supervisor_.on_recorded(record.group,
                            {record.servers.begin(), record.servers.end()});
}

auto configuration_node::implementation::load_history(std::string_view bytes)
    -> void
{
    history_.load(bytes);
    for (const auto& [group, record] : history_.promotions()) {
        tell_supervisor(record);
    }
}

auto configuration_node::implementation::start() -> void
{
    const auto address = asio::ip::make_address(options_.address);
    links_.listen({address, options_.peer_port});
    look_for_members();
    for (const auto& record : cache_.load()) {
        directory_.merge(steady_now(), record);
    }
    cached_revision_ = directory_.revision();
    if (history_.newest().version > 0) {
        tell_configuration();
    }
    log_event("control_started")
        .field("member", files_.identity())
        .field("founding", options_.is_founding)
        .field("configuration", history_.newest().version)
        .field("servers", directory_.entries().size());
    pump();
    arm_timer();
}

auto configuration_node::implementation::stop() -> void
{
    is_stopped_ = true;
    timer_.cancel();
    reports_timer_.cancel();
    links_.stop();
}

auto configuration_node::implementation::run(const std::function<void()>& work)
    -> void
{
    if (is_stopped_) {
        return;
    }
    try {
        work();
        pump();
    } catch (const std::exception& fault) {
        fail(fault.what());
    }
}

auto configuration_node::implementation::fail(const std::string& reason) -> void
{
    if (std::exchange(is_stopped_, true)) {
        return;
    }
    log_event("control_member_failed", event_severity::error)
        .field("member", files_.identity())
        .field("reason", reason);
    timer_.cancel();
    links_.stop();
    hooks_.on_failure(reason);
}

auto configuration_node::implementation::tell_configuration() -> void
{
    const auto version = history_.newest().version;
    auto& text = documents_[version];
    text = decompress_text(history_.newest().packed);
    deltas_.clear();
    while (documents_.size() > documents_kept) {
        documents_.erase(documents_.begin());
    }
    hooks_.on_configuration(version, text);
}

auto configuration_node::implementation::submit(std::uint64_t version,
                                                const std::string& text,
                                                submit_callback done) -> void
{
    run([&] {
        const auto now = steady_now();
        if (!is_leader()) {
            done(submit_outcome::not_leader);
            return;
        }
        // With fewer members, the tolerated losses could take every copy.
        if (member_->status(now).configuration.voter_count() < voters_needed())
        {
            done(submit_outcome::unknown);
            return;
        }
        const auto result = member_->propose(
            now, configuration_history::encode({version, compress_text(text)}));
        if (const auto* const added = std::get_if<proposal>(&result)) {
            const auto round = member_->start_contact_round();
            submissions_.emplace(
                added->index, pending_submission{version, added->elected, now,
                                                 round, std::move(done)});
            return;
        }
        done(submit_outcome::unknown);
    });
}

auto configuration_node::implementation::read(read_callback done) -> void
{
    run([&] {
        const auto now = steady_now();
        if (gate_.is_blocked()) {
            done(std::nullopt);
            return;
        }
        const auto result = member_->read_index(now);
        if (const auto* const ticket = std::get_if<read_ticket>(&result)) {
            reads_.emplace(*ticket,
                           pending_read{now, std::nullopt, std::move(done)});
            return;
        }
        done(std::nullopt);
    });
}

auto configuration_node::implementation::pump() -> void
{
    if (std::exchange(is_pumping_, true)) {
        return;
    }
    auto may_go_on = resume_storage();
    while (may_go_on && member_->has_ready()) {
        auto ready = member_->take_ready();
        may_go_on = carry_out(ready);
    }
    is_pumping_ = false;
    freshness_.on_applied(applied_);
    follow_leadership();
    finish_submissions(steady_now());
    finish_reads(steady_now());
    const auto is_snapshot_due =
        applied_.value() - snapshot_index_.value() >= entries_per_snapshot ||
        bytes_since_snapshot_ >= bytes_per_snapshot;
    if (may_go_on && is_snapshot_due) {
        snapshot_index_ = applied_;
        bytes_since_snapshot_ = 0;
        member_->compact(applied_, history_.save());
        pump();
    }
}

auto configuration_node::implementation::carry_out(consensus_ready& ready)
    -> bool
{
    const auto now = steady_now();
    if (!gate_.save(now, ready)) {
        log_event("disk_full", event_severity::error)
            .field("member", files_.identity())
            .field("directory", options_.data_directory.string())
            .field("remedy", "free room; the member goes on by itself");
        return false;
    }
    complete(ready);
    return true;
}

auto configuration_node::implementation::resume_storage() -> bool
{
    if (!gate_.is_blocked()) {
        return true;
    }
    const auto now = steady_now();
    const auto ready = gate_.retry(now);
    if (!ready) {
        return false;
    }
    log_event("disk_writable")
        .field("member", files_.identity())
        .field("blocked_ms", to_milliseconds(now - gate_.blocked_since()));
    complete(*ready);
    // A leader that heard nothing meanwhile is none any more.
    member_->tick(now);
    return true;
}

auto configuration_node::implementation::complete(const consensus_ready& ready)
    -> void
{
    member_->on_persisted(ready.number);
    for (const auto& message : ready.messages) {
        links_.send(to_peer(message.to.id), message_type::consensus,
                    encode(message));
    }
    if (ready.is_restore) {
        load_history(ready.snapshot->data);
        applied_ = snapshot_index_ = ready.snapshot->metadata.index;
        succession_.on_applied(steady_now(), ready.snapshot->metadata.elected);
        if (history_.newest().version > 0) {
            log_in_force("snapshot");
            tell_configuration();
        }
        push_updates();
    }
    for (const auto& entry : ready.committed) {
        apply(entry);
    }
    for (const auto& outcome : ready.reads) {
        const auto found = reads_.find(outcome.ticket);
        if (found == reads_.end()) {
            continue;
        }
        if (outcome.index) {
            found->second.index = outcome.index;
            continue;
        }
        const auto done = std::move(found->second.done);
        reads_.erase(found);
        done(std::nullopt);
    }
}

auto configuration_node::implementation::log_in_force(
    std::string_view source) const -> void
{
    log_event("configuration_in_force")
        .field("version", history_.newest().version)
        .field("bytes", history_.newest().packed.size())
        .field("index", applied_)
        .field("source", source)
        .field("leader", leader().value_or(std::string()));
}

auto configuration_node::implementation::log_acknowledged(
    const pending_submission& submission, log_index index) const -> void
{
    const auto status = member_->status(steady_now());
    auto copies = options_.address;
    for (const auto& other : status.others) {
        if (other.matched >= index) {
            copies += ',' + other.member.identity.id.value();
        }
    }
    log_event("configuration_acknowledged")
        .field("version", submission.version)
        .field("held", history_.newest().version)
        .field("index", index)
        .field("term", status.current)
        .field("durable_on", copies);
}

auto configuration_node::implementation::log_freshness(time_point now) -> void
{
    const auto age = state_age(now);
    const auto is_fresh = age && *age <= fresh_view_limit;
    if (is_fresh == was_fresh_) {
        return;
    }
    was_fresh_ = is_fresh;
    log_event(is_fresh ? "state_fresh" : "state_old")
        .field("age_ms", age ? to_milliseconds(*age) : -1)
        .field("leader", leader().value_or(std::string()))
        .field("configuration", history_.newest().version);
}

auto configuration_node::implementation::apply(const log_entry& entry) -> void
{
    applied_ = entry.index;
    succession_.on_applied(steady_now(), entry.elected);
    bytes_since_snapshot_ += entry.command.size();
    if (entry.kind == entry_kind::command && history_.apply(entry.command)) {
        log_in_force("log");
        tell_configuration();
        push_updates();
    } else if (entry.kind == entry_kind::command) {
        if (const auto record =
                configuration_history::decode_promotions(entry.command)) {
            tell_supervisor(*record);
        }
    } else if (entry.kind == entry_kind::configuration) {
        log_event("members_changed")
            .field("members", entry.configuration->members.size())
            .field("voters", entry.configuration->voter_count());
        look_for_members();
    }
    const auto [first, last] = submissions_.equal_range(entry.index);
    auto finished = std::vector<pending_submission>();
    for (auto each = first; each != last; ++each) {
        finished.push_back(std::move(each->second));
    }
    submissions_.erase(first, last);
    for (auto& each : finished) {
        if (each.elected == entry.elected) {
            committed_submissions_.push_back({std::move(each), entry.index});
        } else {
            each.done(submit_outcome::unknown);
        }
    }
}

auto configuration_node::implementation::finish_submissions(time_point now)
    -> void
{
    auto waiting = std::exchange(committed_submissions_, {});
    for (auto& each : waiting) {
        const auto& [submission, index] = each;
        if (member_->outlasts_tolerated_losses(now, submission.round)) {
            log_acknowledged(submission, index);
            submission.done(submit_outcome::accepted);
        } else if (now - submission.since > submit_patience ||
                   !member_->is_leader()) {
            log_event("configuration_not_acknowledged", event_severity::warning)
                .field("version", submission.version)
                .field("index", index)
                .field("leader", member_->is_leader())
                .field("reason", "the group would not outlast the losses that "
                                 "are tolerated");
            submission.done(submit_outcome::unknown);
        } else {
            committed_submissions_.push_back(std::move(each));
        }
    }
}

auto configuration_node::implementation::leave() -> void
{
    run([&] {
        log_event("leave_asked")
            .field("member", files_.identity())
            .field("leader", leader().value_or(std::string()))
            .field("members",
                   member_->status(steady_now()).configuration.members.size());
        member_->leave(steady_now());
    });
}

auto configuration_node::implementation::follow_leadership() -> void
{
    const auto is_leading = is_leader();
    if (is_leading == was_leading_) {
        return;
    }
    was_leading_ = is_leading;
    log_event(is_leading ? "leadership_started" : "leadership_lost")
        .field("term", member_->status(steady_now()).current);
    if (is_leading) {
        supervisor_.start_leading(steady_now());
    } else {
        supervisor_.stop_leading();
    }
    follow_ledger(steady_now());
}

auto configuration_node::implementation::finish_reads(time_point now) -> void
{
    auto finished = std::vector<read_callback>();
    for (auto each = reads_.begin(); each != reads_.end();) {
        if (each->second.index && *each->second.index <= applied_) {
            finished.push_back(std::move(each->second.done));
            each = reads_.erase(each);
        } else {
            ++each;
        }
    }
    for (const auto& done : finished) {
        done(history_.newest().version == 0
                 ? std::string()
                 : decompress_text(history_.newest().packed));
    }
    give_up_pending(now);
}

auto configuration_node::implementation::give_up_pending(time_point now) -> void
{
    auto late_reads = std::vector<read_callback>();
    for (auto each = reads_.begin(); each != reads_.end();) {
        if (now - each->second.since > submit_patience) {
            late_reads.push_back(std::move(each->second.done));
            each = reads_.erase(each);
        } else {
            ++each;
        }
    }
    auto late = std::vector<submit_callback>();
    for (auto each = submissions_.begin(); each != submissions_.end();) {
        if (now - each->second.since > submit_patience) {
            late.push_back(std::move(each->second.done));
            each = submissions_.erase(each);
        } else {
            ++each;
        }
    }
    for (const auto& done : late_reads) {
        done(std::nullopt);
    }
    for (const auto& done : late) {
        done(submit_outcome::unknown);
    }
}

auto configuration_node::implementation::arm_timer() -> void
{
    const auto now = steady_now();
    const auto due =
        std::min(gate_.is_blocked() ? gate_.next_retry() : member_->next_tick(),
                 next_supervision_);
    timer_.expires_after(std::max(due - now, duration(1000)));
    timer_.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!self || error || self->is_stopped_) {
            return;
        }
        self->run([&] {
            const auto at = steady_now();
            if (!self->gate_.is_blocked()) {
                self->member_->tick(at);
            }
            if (at >= self->next_look_) {
                self->next_look_ = at + census_interval;
                self->look_for_members();
                self->send_census();
            }
            if (at >= self->next_supervision_) {
                self->next_supervision_ = at + supervision_interval;
                self->refresh_state(at);
                self->follow_ledger(at);
                self->log_freshness(at);
                self->supervisor_.tick(at, self->directory_);
                self->tell_leader(at);
                self->send_renewals(at);
                self->push_servers(at);
                if (!self->proxies_.empty()) {
                    self->positions_.tick(at, self->directory_);
                }
                self->save_servers(at);
            }
        });
        if (!self->is_stopped_) {
            self->arm_timer();
        }
    });
}

auto configuration_node::implementation::dump() const -> std::string
{
    const auto now = steady_now();
    const auto status = member_->status(now);
    auto members = json_value::array();
    for (const auto& member : status.configuration.members) {
        members.emplace_back(
            json_value::object{{"id", member.identity.id.value()},
                               {"voter", member.role == member_role::voter}});
    }
    auto servers = json_value::array();
    for (const auto& [id, known] : directory_.entries()) {
        servers.emplace_back(json_value::object{
            {"id", id.value()},
            {"group", known.record.group.value()},
            {"primary", known.record.role == server_role::primary},
            {"state", static_cast<std::int64_t>(known.record.state)},
            {"heard_ms_ago", to_milliseconds(now - known.heard_at)}});
    }
    return json_value(
               json_value::object{
                   {"role", to_string(status.role)},
                   {"term", status.current.value()},
                   {"applied", applied_.value()},
                   {"age_ms",
                    to_milliseconds(state_age(now).value_or(milliseconds(-1)))},
                   {"configuration", history_.newest().version},
                   {"disk_full", gate_.is_blocked()},
                   {"members", std::move(members)},
                   {"proxies", static_cast<std::int64_t>(proxies_.size())},
                   {"servers", std::move(servers)}})
        .print();
}

configuration_node::configuration_node(asio::io_context& context,
                                       configuration_node_options options,
                                       configuration_node_hooks hooks)
    : implementation_(std::make_shared<implementation>(
          context, std::move(options), std::move(hooks)))
{
}

configuration_node::~configuration_node()
{
    implementation_->stop();
}

auto configuration_node::start() -> void
{
    implementation_->start();
}

auto configuration_node::stop() -> void
{
    implementation_->stop();
}

auto configuration_node::submit(std::uint64_t version, const std::string& text,
                                submit_callback done) -> void
{
    implementation_->submit(version, text, std::move(done));
}

auto configuration_node::read(read_callback done) -> void
{
    implementation_->read(std::move(done));
}

auto configuration_node::announce(const server_record& record) -> bool
{
    return implementation_->announce(record, true);
}

auto configuration_node::withdraw(const target_id& server) -> void
{
    implementation_->withdraw(server);
}

auto configuration_node::leave() -> void
{
    implementation_->leave();
}

auto configuration_node::is_leaving() const -> bool
{
    return implementation_->is_leaving();
}

auto configuration_node::on_status(
    server_call_number number, const std::optional<server_log_status>& status)
    -> void
{
    implementation_->supervisor().on_status(steady_now(), number, status);
}

auto configuration_node::on_promotion(const group_id& group,
                                      promotion_outcome outcome) -> void
{
    implementation_->supervisor().on_promotion(steady_now(), group, outcome);
}

auto configuration_node::set_allowances(allowance_table allowances) -> void
{
    implementation_->set_allowances(std::move(allowances));
}

auto configuration_node::allowance_metrics() const -> std::string
{
    return implementation_->allowance_metrics();
}

auto configuration_node::supervise(const group_id& group, std::uint32_t count)
    -> void
{
    implementation_->supervisor().supervise(group, count);
    implementation_->watch(group);
}

auto configuration_node::on_position(
    const group_id& group, time_point asked_at,
    const std::optional<log_position>& position) -> void
{
    implementation_->on_position(group, asked_at, position);
}

auto configuration_node::has_lease() const -> bool
{
    return implementation_->has_lease();
}

auto configuration_node::next_fencing_token() -> std::optional<std::uint64_t>
{
    return implementation_->next_fencing_token();
}

auto configuration_node::leader() const -> std::optional<std::string>
{
    return implementation_->leader();
}

auto configuration_node::is_leader() const -> bool
{
    return implementation_->is_leader();
}

auto configuration_node::storage() const -> const storage_gate&
{
    return implementation_->storage();
}

auto configuration_node::traffic() const -> const link_traffic&
{
    return implementation_->traffic();
}

auto configuration_node::configuration_version() const -> std::uint64_t
{
    return implementation_->configuration_version();
}

auto configuration_node::dump() const -> std::string
{
    return implementation_->dump();
}

} // namespace rhubarbrun::inline v1
