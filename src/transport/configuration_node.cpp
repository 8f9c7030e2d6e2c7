#include <rhubarbrun/transport/configuration_node.hpp>

#include <rhubarbrun/coordination/consensus.hpp>
#include <rhubarbrun/protocol/text_compression.hpp>
#include <rhubarbrun/protocol/view_messages.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/json.hpp>
#include <rhubarbrun/transport/log_files.hpp>
#include <rhubarbrun/transport/server_cache.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <algorithm>
#include <map>
#include <set>
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
/// A member that heard the leader within this time learns of new
/// configurations.
constexpr auto leader_silence_limit = milliseconds(1500);

/// Members tell each other how many proxies follow them this often; what one
/// told counts for three times as long.
constexpr auto census_interval = std::chrono::seconds(1);
/// The file of known servers is written at most this often.
constexpr auto cache_interval = milliseconds(250);

auto to_peer(const member_id& id) -> peer_name
{
    return {peer_role::control, id.value()};
}

} // namespace

class configuration_node::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   configuration_node_options options,
                   configuration_node_hooks hooks)
        : options_(std::move(options)),
          hooks_(std::move(hooks)),
          timer_(context),
          files_({options_.data_directory, member_id(options_.address)},
                 random_number),
          cache_(options_.data_directory / "view" / "servers"),
          links_(context, options_.link_key,
                 {{peer_role::control, options_.address},
                  files_.identity().instance},
                 {[this](const link_info& link) { on_link_up(link); },
                  [this](const link_info& link, message_type type,
                         const std::string& payload) {
                      on_message(link, type, payload);
                  },
                  [this](const link_info& link, std::string_view) {
                      proxies_.erase(link.id);
                  }},
                 options_.links),
          supervisor_(hooks_.supervisor)
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
        consensus.admits_others = true;
        consensus.voters_kept = voters_needed();
        if (stored.snapshot) {
            history_.load(stored.snapshot->data);
            snapshot_index_ = stored.snapshot->metadata.index;
        }
        member_ = std::make_unique<consensus_member>(
            files_.identity(), std::move(consensus), random_number,
            std::move(stored), steady_now());
    }

    auto start() -> void
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

    auto stop() -> void
    {
        is_stopped_ = true;
        timer_.cancel();
        links_.stop();
    }

    auto submit(std::uint64_t version, const std::string& text,
                submit_callback done) -> void;
    auto read(read_callback done) -> void;
    auto announce(const server_record& record, bool is_shared) -> bool;
    auto withdraw(const target_id& server) -> void;

    auto supervisor() -> primary_supervisor& { return supervisor_; }

    [[nodiscard]] auto fencing_token() const -> std::optional<std::uint64_t>
    {
        const auto now = steady_now();
        if (!member_->is_leader() || !member_->has_leader_lease(now)) {
            return std::nullopt;
        }
        return member_->status(now).current.value();
    }

    [[nodiscard]] auto leader() const -> std::optional<std::string>
    {
        const auto known = member_->leader();
        return known ? std::optional(known->id.value()) : std::nullopt;
    }

    [[nodiscard]] auto is_leader() const -> bool
    {
        return member_->is_leader();
    }

    [[nodiscard]] auto dump() const -> std::string;

private:
    struct pending_submission
    {
        election_term elected;
        time_point since;
        submit_callback done;
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
    };

    [[nodiscard]] auto voters_needed() const -> std::size_t
    {
        return 2 * options_.tolerated_losses + 1;
    }

    auto look_for_members() -> void;
    auto connect(const std::string& address) -> void;
    auto on_link_up(const link_info& link) -> void;
    auto on_message(const link_info& link, message_type type,
                    const std::string& payload) -> void;
    auto on_view_request(const link_info& link, const view_request& request)
        -> void;
    auto on_report(const sighting_report& report) -> void;
    auto share(const server_record& record) -> void;
    /// Sends to every control process, members of the group or not.
    auto send_to_control(message_type type, const std::string& payload) -> void;
    auto send_census() -> void;
    auto save_servers(time_point now) -> void;
    auto tell_configuration() -> void;
    [[nodiscard]] auto proxy_count() const -> std::uint32_t;
    auto send_update(link_id link, subscriber& to) -> void;
    auto push_updates() -> void;
    [[nodiscard]] auto is_current() const -> bool;
    [[nodiscard]] auto member_names() const -> std::vector<std::string>;

    auto run(const std::function<void()>& work) -> void;
    auto pump() -> void;
    auto carry_out(consensus_ready& ready) -> void;
    auto apply(const log_entry& entry) -> void;
    auto follow_leadership() -> void;
    auto finish_reads(time_point now) -> void;
    auto give_up_pending(time_point now) -> void;
    auto arm_timer() -> void;
    auto fail(const std::string& reason) -> void;

    configuration_node_options options_;
    configuration_node_hooks hooks_;
    asio::steady_timer timer_;
    log_files files_;
    server_cache cache_;
    peer_links links_;
    std::unique_ptr<consensus_member> member_;
    configuration_history history_;
    server_directory directory_;
    primary_supervisor supervisor_;
    std::map<link_id, subscriber> proxies_;
    /// What the other members told last, and when.
    std::map<std::string, std::pair<proxy_census, time_point>> census_;
    std::uint64_t cached_revision_ = 0;
    time_point next_cache_save_;
    std::set<std::string> connected_;
    std::multimap<log_index, pending_submission> submissions_;
    std::map<read_ticket, pending_read> reads_;
    log_index applied_;
    log_index snapshot_index_;
    time_point next_look_;
    time_point next_supervision_;
    time_point leader_heard_at_;
    bool was_leading_ = false;
    bool is_stopped_ = false;
    bool is_pumping_ = false;
};

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

auto configuration_node::implementation::connect(const std::string& address)
    -> void
{
    // One side of each pair connects, which spares a second link.
    if (address <= options_.address || !connected_.insert(address).second) {
        return;
    }
    links_.connect({peer_role::control, address},
                   {asio::ip::make_address(address), options_.peer_port});
}

auto configuration_node::implementation::member_names() const
    -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto& member :
         member_->status(steady_now()).configuration.members) {
        names.push_back(member.identity.id.value());
    }
    return names;
}

auto configuration_node::implementation::look_for_members() -> void
{
    const auto seeds = options_.seeds();
    const auto members = member_names();
    auto wanted = std::set<std::string>(seeds.begin(), seeds.end());
    wanted.insert(members.begin(), members.end());
    if (members.empty()) {
        for (const auto& [name, told] : census_) {
            wanted.insert(told.first.members.begin(), told.first.members.end());
        }
    }
    wanted.erase(options_.address);
    auto contacts = std::vector<member_id>();
    const auto is_member = std::find(members.begin(), members.end(),
                                     options_.address) != members.end();
    for (const auto& address : wanted) {
        contacts.emplace_back(address);
        // An outsider is not known to the others and connects to all.
        if (is_member) {
            connect(address);
        } else if (connected_.insert(address).second) {
            links_.connect(
                {peer_role::control, address},
                {asio::ip::make_address(address), options_.peer_port});
        }
    }
    for (auto each = connected_.begin(); each != connected_.end();) {
        if (wanted.contains(*each)) {
            ++each;
            continue;
        }
        links_.forget({peer_role::control, *each});
        each = connected_.erase(each);
    }
    member_->set_contacts(std::move(contacts));
}

auto configuration_node::implementation::on_link_up(const link_info& link)
    -> void
{
    if (link.peer.who.role != peer_role::control) {
        return;
    }
    auto known = server_announcements{directory_.changed_since(0)};
    if (!known.records.empty()) {
        links_.send(link.id, message_type::server_announcements, encode(known));
    }
    send_census();
}

auto configuration_node::implementation::on_message(const link_info& link,
                                                    message_type type,
                                                    const std::string& payload)
    -> void
{
    run([&] {
        switch (type) {
        case message_type::consensus:
            if (auto message = decode<consensus_message>(payload)) {
                const auto now = steady_now();
                const auto known = member_->leader();
                if (known && known->id == message->from.id) {
                    leader_heard_at_ = now;
                }
                member_->step(now, std::move(*message));
            }
            break;
        case message_type::server_announcements:
            if (const auto message = decode<server_announcements>(payload)) {
                for (const auto& record : message->records) {
                    announce(record, false);
                }
            }
            break;
        case message_type::view_request:
            if (const auto message = decode<view_request>(payload)) {
                on_view_request(link, *message);
            }
            break;
        case message_type::sighting_report:
            if (const auto message = decode<sighting_report>(payload)) {
                on_report(*message);
            }
            break;
        case message_type::proxy_census:
            if (const auto message = decode<proxy_census>(payload)) {
                census_[link.peer.who.name] = {*message, steady_now()};
                if (member_names().empty()) {
                    look_for_members();
                }
            }
            break;
        default:
            log_event("message_ignored", event_severity::warning)
                .field("type", static_cast<int>(type));
        }
    });
}

auto configuration_node::implementation::on_view_request(
    const link_info& link, const view_request& request) -> void
{
    auto& to = proxies_[link.id];
    to.configuration_version = request.configuration_version;
    send_update(link.id, to);
    if (member_->is_leader()) {
        on_report(request.report);
    } else if (const auto known = leader()) {
        links_.send({peer_role::control, *known}, message_type::sighting_report,
                    encode(request.report));
    }
}

auto configuration_node::implementation::on_report(
    const sighting_report& report) -> void
{
    auto sightings = std::vector<server_sighting>();
    for (const auto& each : report.sightings) {
        auto sighting = server_sighting{};
        sighting.server = each.server;
        if (each.answered_ago_ms >= 0) {
            sighting.answered_ago = milliseconds(each.answered_ago_ms);
        }
        if (each.failing_for_ms >= 0) {
            sighting.failing_for = milliseconds(each.failing_for_ms);
        }
        sightings.push_back(std::move(sighting));
    }
    supervisor_.on_sightings(steady_now(), report.proxy, sightings);
}

auto configuration_node::implementation::is_current() const -> bool
{
    const auto now = steady_now();
    return member_->is_leader() ? member_->has_leader_lease(now)
                                : now - leader_heard_at_ < leader_silence_limit;
}

auto configuration_node::implementation::send_update(link_id link,
                                                     subscriber& to) -> void
{
    auto update = view_update{};
    update.is_current = is_current();
    update.configuration_version = history_.newest().version;
    if (to.configuration_version < history_.newest().version) {
        update.configuration = history_.newest().packed;
        to.configuration_version = history_.newest().version;
    }
    update.servers = directory_.changed_since(to.directory_revision);
    to.directory_revision = directory_.revision();
    for (const auto& name : member_names()) {
        const auto told = census_.find(name);
        const auto region = name == options_.address ? options_.region
                            : told == census_.end()  ? std::string()
                                                    : told->second.first.region;
        update.control_members.push_back({name, region});
    }
    update.proxies = proxy_count();
    links_.send(link, message_type::view_update, encode(update));
}

auto configuration_node::implementation::send_census() -> void
{
    send_to_control(
        message_type::proxy_census,
        encode(proxy_census{static_cast<std::uint32_t>(proxies_.size()),
                            options_.region, member_names()}));
}

auto configuration_node::implementation::proxy_count() const -> std::uint32_t
{
    auto count = static_cast<std::uint32_t>(proxies_.size());
    const auto now = steady_now();
    for (const auto& [name, told] : census_) {
        if (now - told.second < 3 * census_interval) {
            count += told.first.proxies;
        }
    }
    return count;
}

auto configuration_node::implementation::push_updates() -> void
{
    for (auto& [link, to] : proxies_) {
        if (to.directory_revision < directory_.revision() ||
            to.configuration_version < history_.newest().version)
        {
            send_update(link, to);
        }
    }
}

auto configuration_node::implementation::announce(const server_record& record,
                                                  bool is_shared) -> bool
{
    const auto result = directory_.merge(steady_now(), record);
    if (result == server_directory::merge_result::stale) {
        return false;
    }
    if (result == server_directory::merge_result::changed) {
        log_event("server_changed")
            .field("server", record.id)
            .field("group", record.group)
            .field("role",
                   record.role == server_role::primary ? "primary" : "replica")
            .field("state", static_cast<int>(record.state))
            .field("sequence", record.sequence);
        push_updates();
    }
    if (is_shared) {
        share(record);
    }
    return true;
}

auto configuration_node::implementation::share(const server_record& record)
    -> void
{
    send_to_control(message_type::server_announcements,
                    encode(server_announcements{{record}}));
}

auto configuration_node::implementation::send_to_control(
    message_type type, const std::string& payload) -> void
{
    auto names = std::set<std::string>();
    for (const auto& link : links_.links()) {
        if (link.peer.who.role == peer_role::control) {
            names.insert(link.peer.who.name);
        }
    }
    for (const auto& name : names) {
        links_.send({peer_role::control, name}, type, payload);
    }
}

auto configuration_node::implementation::withdraw(const target_id& server)
    -> void
{
    const auto* const record = directory_.remove(steady_now(), server);
    if (record != nullptr) {
        log_event("server_gone").field("server", server);
        push_updates();
        share(*record);
    }
}

auto configuration_node::implementation::tell_configuration() -> void
{
    hooks_.on_configuration(history_.newest().version,
                            decompress_text(history_.newest().packed));
}

auto configuration_node::implementation::save_servers(time_point now) -> void
{
    if (directory_.revision() == cached_revision_ || now < next_cache_save_) {
        return;
    }
    cached_revision_ = directory_.revision();
    next_cache_save_ = now + cache_interval;
    cache_.save(directory_.changed_since(0));
}

auto configuration_node::implementation::submit(std::uint64_t version,
                                                const std::string& text,
                                                submit_callback done) -> void
{
    run([&] {
        const auto now = steady_now();
        if (!member_->is_leader()) {
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
            submissions_.emplace(
                added->index,
                pending_submission{added->elected, now, std::move(done)});
            return;
        }
        done(submit_outcome::unknown);
    });
}

auto configuration_node::implementation::read(read_callback done) -> void
{
    run([&] {
        const auto now = steady_now();
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
    while (member_->has_ready()) {
        auto ready = member_->take_ready();
        carry_out(ready);
    }
    is_pumping_ = false;
    follow_leadership();
    finish_reads(steady_now());
    if (applied_.value() - snapshot_index_.value() >= entries_per_snapshot) {
        snapshot_index_ = applied_;
        member_->compact(applied_, history_.save());
        pump();
    }
}

auto configuration_node::implementation::carry_out(consensus_ready& ready)
    -> void
{
    if (!ready.needs_no_storage()) {
        files_.save(ready);
    }
    member_->on_persisted(ready.number);
    for (const auto& message : ready.messages) {
        links_.send(to_peer(message.to.id), message_type::consensus,
                    encode(message));
    }
    if (ready.is_restore) {
        history_.load(ready.snapshot->data);
        applied_ = snapshot_index_ = ready.snapshot->metadata.index;
        if (history_.newest().version > 0) {
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

auto configuration_node::implementation::apply(const log_entry& entry) -> void
{
    applied_ = entry.index;
    if (entry.kind == entry_kind::command && history_.apply(entry.command)) {
        log_event("configuration_in_force")
            .field("version", history_.newest().version)
            .field("bytes", history_.newest().packed.size())
            .field("index", entry.index);
        tell_configuration();
        push_updates();
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
    for (const auto& each : finished) {
        each.done(each.elected == entry.elected ? submit_outcome::accepted
                                                : submit_outcome::unknown);
    }
}

auto configuration_node::implementation::follow_leadership() -> void
{
    const auto is_leading = member_->is_leader();
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
    const auto due = std::min(member_->next_tick(), next_supervision_);
    timer_.expires_after(std::max(due - now, duration(1000)));
    timer_.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!self || error || self->is_stopped_) {
            return;
        }
        self->run([&] {
            const auto at = steady_now();
            self->member_->tick(at);
            if (at >= self->next_look_) {
                self->next_look_ = at + census_interval;
                self->look_for_members();
                self->send_census();
            }
            if (at >= self->next_supervision_) {
                self->next_supervision_ = at + supervision_interval;
                self->supervisor_.tick(at, self->directory_);
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
                   {"configuration", history_.newest().version},
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

auto configuration_node::on_status(
    const target_id& server, const std::optional<server_log_status>& status)
    -> void
{
    implementation_->supervisor().on_status(steady_now(), server, status);
}

auto configuration_node::on_promotion(const group_id& group,
                                      promotion_outcome outcome) -> void
{
    implementation_->supervisor().on_promotion(steady_now(), group, outcome);
}

auto configuration_node::set_synchronous_replicas(const group_id& group,
                                                  std::uint32_t count) -> void
{
    implementation_->supervisor().set_synchronous_replicas(group, count);
}

auto configuration_node::fencing_token() const -> std::optional<std::uint64_t>
{
    return implementation_->fencing_token();
}

auto configuration_node::leader() const -> std::optional<std::string>
{
    return implementation_->leader();
}

auto configuration_node::is_leader() const -> bool
{
    return implementation_->is_leader();
}

auto configuration_node::dump() const -> std::string
{
    return implementation_->dump();
}

} // namespace rhubarbrun::inline v1
