#include "configuration_node_implementation.hpp"

#include <rhubarbrun/protocol/document_delta.hpp>
#include <rhubarbrun/protocol/text_compression.hpp>
#include <rhubarbrun/transport/event_log.hpp>

#include <algorithm>
#include <utility>

// Links to other processes, and the view of servers that is shared over them.

namespace rhubarbrun::inline v1 {

namespace {

/// The file of known servers is written at most this often.
constexpr auto cache_interval = milliseconds(250);
/// After a failure, so that old hints do not stay on a disk that was full.
constexpr auto cache_retry_interval = std::chrono::seconds(1);
/// A position that is younger is told as it is to a proxy that asks for one.
constexpr auto recent_position = milliseconds(700);
/// A proxy asks again, or asks the primary, before this has passed.
constexpr auto position_patience = milliseconds(800);
/// Proxies that a member names as a way to one server.
constexpr auto detours_told = std::size_t{2};

auto to_sightings(const std::vector<sighting_record>& records)
    -> std::vector<server_sighting>
{
    auto sightings = std::vector<server_sighting>();
    for (const auto& each : records) {
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
    return sightings;
}

auto to_records(const std::vector<server_sighting>& sightings)
    -> std::vector<sighting_record>
{
    auto records = std::vector<sighting_record>();
    for (const auto& each : sightings) {
        auto record = sighting_record{each.server};
        if (each.answered_ago) {
            record.answered_ago_ms = to_milliseconds(*each.answered_ago);
        }
        if (each.failing_for) {
            record.failing_for_ms = to_milliseconds(*each.failing_for);
        }
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace

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
    auto sources = contact_sources{options_.address,
                                   options_.seeds(),
                                   member_names(),
                                   {},
                                   member_->hears_leader(steady_now())};
    for (const auto& [name, told] : census_) {
        sources.reported_members.insert(sources.reported_members.end(),
                                        told.first.members.begin(),
                                        told.first.members.end());
    }
    auto [wanted, dialed] = choose_contacts(sources);
    std::erase_if(wanted, [](const auto& name) { return !is_address(name); });
    auto contacts = std::vector<member_id>(wanted.begin(), wanted.end());
    for (const auto& address : wanted) {
        if (dialed.contains(address) && connected_.insert(address).second) {
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
            if (auto message = decode<consensus_message>(payload);
                message && !gate_.is_blocked())
            {
                member_->step(steady_now(), std::move(*message));
            }
            break;
        case message_type::server_announcements:
            if (const auto message = decode<server_announcements>(payload)) {
                for (const auto& record : message->records) {
                    announce(record, false);
                }
            }
            break;
        case message_type::freshness_question:
            if (const auto message = decode<freshness_question>(payload)) {
                answer_freshness(link, *message);
            }
            break;
        case message_type::freshness_answer:
            if (const auto message = decode<freshness_answer>(payload)) {
                freshness_.on_answer(message->number, message->committed);
            }
            break;
        case message_type::view_request:
            if (const auto message = decode<view_request>(payload)) {
                on_view_request(link, *message);
            }
            break;
        case message_type::view_subscription:
            if (auto message = decode<view_subscription>(payload)) {
                on_subscription(link, std::move(*message));
            }
            break;
        case message_type::server_changes:
            if (const auto changes = decode<server_changes>(payload)) {
                const auto message = decode<server_announcements>(
                    decompress_text(changes->packed));
                for (const auto& record :
                     message ? message->records : std::vector<server_record>())
                {
                    announce(record, false);
                }
            }
            break;
        case message_type::position_request:
            if (const auto message = decode<position_request>(payload)) {
                on_position_request(link, *message);
            }
            break;
        case message_type::allowance_report:
            on_allowance_report(link, payload);
            break;
        case message_type::allowance_reports:
            on_allowance_reports(link, payload);
            break;
        case message_type::allowance_grants:
            on_allowance_grants(payload);
            break;
        case message_type::sighting_report:
            if (const auto message = decode<sighting_report>(payload)) {
                on_report(*message);
            }
            break;
        case message_type::proxy_census:
            if (const auto message = decode<proxy_census>(payload)) {
                census_[link.peer.who.name] = {*message, steady_now()};
                if (!member_->hears_leader(steady_now())) {
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
    const auto now = steady_now();
    digest_.add(now, request.report.observer,
                to_sightings(request.report.sightings));
    send_update(link.id, to, &request);
    if (is_leader()) {
        on_report(request.report);
    } else {
        tell_leader(now);
    }
}

auto configuration_node::implementation::own_detours() const
    -> std::vector<detour_record>
{
    auto result = std::vector<detour_record>();
    for (auto& [server, proxies] :
         digest_.reachable_servers(steady_now(), detours_told))
    {
        result.push_back({server, std::move(proxies)});
    }
    return result;
}

auto configuration_node::implementation::detours_for(
    const sighting_report& report) const -> std::vector<detour_record>
{
    const auto now = steady_now();
    auto result = std::vector<detour_record>();
    for (const auto& each : report.sightings) {
        if (each.failing_for_ms < 0) {
            continue;
        }
        auto way = detour_record{
            each.server,
            digest_.reachable_through(now, each.server, detours_told)};
        for (const auto& [name, told] : census_) {
            if (now - told.second > 2 * census_interval) {
                continue;
            }
            for (const auto& other : told.first.detours) {
                if (other.server == each.server) {
                    way.proxies.insert(way.proxies.end(), other.proxies.begin(),
                                       other.proxies.end());
                }
            }
        }
        result.push_back(std::move(way));
    }
    return result;
}

auto configuration_node::implementation::on_report(
    const sighting_report& report) -> void
{
    supervisor_.on_sightings(steady_now(), report.observer,
                             to_sightings(report.sightings));
}

auto configuration_node::implementation::tell_leader(time_point now) -> void
{
    const auto known = leader();
    if (is_leader() || !known || !digest_.is_due(now)) {
        return;
    }
    const auto report =
        sighting_report{options_.address, to_records(digest_.take(now))};
    links_.send({peer_role::control, *known}, message_type::sighting_report,
                encode(report));
}

auto configuration_node::implementation::refresh_state(time_point now) -> void
{
    if (is_leader()) {
        if (member_->has_leader_lease(now)) {
            freshness_.on_leading(now);
        }
        return;
    }
    const auto known = leader();
    if (!known) {
        return;
    }
    if (const auto number = freshness_.ask(now)) {
        links_.send({peer_role::control, *known},
                    message_type::freshness_question,
                    encode(freshness_question{*number}));
    }
}

auto configuration_node::implementation::answer_freshness(
    const link_info& link, const freshness_question& question) -> void
{
    // What is applied here includes everything that was acknowledged.
    if (is_leader() && member_->has_leader_lease(steady_now())) {
        links_.send(link.id, message_type::freshness_answer,
                    encode(freshness_answer{question.number, applied_}));
    }
}

auto configuration_node::implementation::state_age(time_point now) const
    -> std::optional<duration>
{
    const auto covered = freshness_.covered();
    return covered ? std::optional(now - *covered) : std::nullopt;
}

auto configuration_node::implementation::send_update(
    link_id link, subscriber& to, const view_request* answered) -> void
{
    refresh_state(steady_now());
    auto update = view_update{};
    if (const auto age = state_age(steady_now())) {
        update.age_ms = to_milliseconds(*age) + 1;
    }
    update.configuration_version = history_.newest().version;
    if (to.configuration_version < history_.newest().version) {
        if (!to.interest || !send_delta(link, to)) {
            update.configuration = history_.newest().packed;
        }
        to.configuration_version = history_.newest().version;
    }
    if (!to.interest) {
        update.servers = directory_.changed_since(to.directory_revision);
        to.directory_revision = directory_.revision();
    }
    for (const auto& name : member_names()) {
        const auto told = census_.find(name);
        const auto region = name == options_.address ? options_.region
                            : told == census_.end()  ? std::string()
                                                    : told->second.first.region;
        update.control_members.push_back({name, region});
    }
    update.proxies = proxy_count();
    if (answered != nullptr) {
        update.answers = answered->number;
        update.detours = detours_for(answered->report);
        update.positions = positions_for(steady_now(), to);
    }
    links_.send(link, message_type::view_update, encode(update));
    // After the answer, which a proxy that tries members waits for.
    send_server_changes(link, to);
}

auto configuration_node::implementation::on_subscription(
    const link_info& link, view_subscription message) -> void
{
    auto& to = proxies_[link.id];
    if (!to.interest && message.digest == directory_.digest()) {
        to.directory_revision = directory_.revision();
    }
    to.interest = std::move(message.groups);
}

auto configuration_node::implementation::send_server_changes(link_id link,
                                                             subscriber& to)
    -> void
{
    if (!to.interest || to.directory_revision >= directory_.revision()) {
        return;
    }
    auto& last = last_changes_;
    if (last.from != to.directory_revision ||
        last.to != directory_.revision() || last.message.empty())
    {
        const auto changed = server_announcements{
            directory_.changed_since(to.directory_revision)};
        last = {to.directory_revision, directory_.revision(),
                encode(server_changes{compress_text(encode(changed))})};
    }
    links_.send(link, message_type::server_changes, last.message);
    to.directory_revision = directory_.revision();
}

auto configuration_node::implementation::send_delta(link_id link,
                                                    const subscriber& to)
    -> bool
{
    const auto from = to.configuration_version;
    const auto newest = history_.newest().version;
    const auto base = documents_.find(from);
    const auto target = documents_.find(newest);
    if (base == documents_.end() || target == documents_.end()) {
        return false;
    }
    auto& delta = deltas_[from];
    if (delta.empty()) {
        delta = encode(configuration_delta{
            from, newest, make_delta(base->second, target->second)});
    }
    // A configuration with little in common is sent whole, compressed.
    return delta.size() < history_.newest().packed.size() &&
           links_.send(link, message_type::configuration_delta, delta);
}

auto configuration_node::implementation::positions_for(time_point now,
                                                       const subscriber& to)
    -> std::vector<position_record>
{
    auto records = std::vector<position_record>();
    const auto add = [&](const position_watch::observation& each) {
        const auto age = to_milliseconds(now - each.asked_at) + 1;
        records.push_back({each.group, each.position, age});
    };
    if (!to.interest) {
        positions_.want_all(now);
        for (const auto& each : positions_.observations(now)) {
            add(each);
        }
        return records;
    }
    for (const auto& group : *to.interest) {
        positions_.want(now, group);
        if (const auto* const known = positions_.find(now, group)) {
            add(*known);
        }
    }
    return records;
}

auto configuration_node::implementation::on_position_request(
    const link_info& link, const position_request& request) -> void
{
    const auto now = steady_now();
    auto update = position_update{request.number, {}};
    for (const auto& group : request.groups) {
        const auto* const known = positions_.find(now, group);
        if (known != nullptr && now - known->asked_at < recent_position) {
            positions_.want(now, group);
            update.positions.push_back(
                {group, known->position,
                 to_milliseconds(now - known->asked_at) + 1});
        } else if (positions_.query_now(now, group, directory_)) {
            auto& waiters = position_waiters_[group];
            std::erase_if(waiters, [&](const auto& each) {
                return now - each.received_at > position_patience;
            });
            waiters.push_back({link.id, request.number, now});
        }
    }
    if (!update.positions.empty()) {
        links_.send(link.id, message_type::position_update, encode(update));
    }
}

auto configuration_node::implementation::on_position(
    const group_id& group, time_point asked_at,
    const std::optional<log_position>& position) -> void
{
    positions_.on_position(group, asked_at, position);
    const auto waiting = position_waiters_.find(group);
    const auto* const known = positions_.find(steady_now(), group);
    if (!position || known == nullptr || waiting == position_waiters_.end()) {
        return;
    }
    for (const auto& each : waiting->second) {
        const auto offset = each.received_at - known->asked_at;
        // Rounded so that the position never looks younger than it is.
        const auto asked_ago = to_milliseconds(offset) + 1;
        links_.send(each.link, message_type::position_update,
                    encode(position_update{
                        each.number, {{group, known->position, asked_ago}}}));
    }
    position_waiters_.erase(waiting);
}

auto configuration_node::implementation::send_census() -> void
{
    send_to_control(
        message_type::proxy_census,
        encode(proxy_census{static_cast<std::uint32_t>(proxies_.size()),
                            options_.region, member_names(), own_detours()}));
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

auto configuration_node::implementation::push_servers(time_point now) -> void
{
    if (server_updates_.take_due(now)) {
        push_updates();
    }
}

auto configuration_node::implementation::send_renewals(time_point now) -> void
{
    const auto known = leader();
    if (!known || is_leader()) {
        return;
    }
    const auto due = renewals_.take_due(now);
    if (due.empty()) {
        return;
    }
    const auto to = peer_name{peer_role::control, *known};
    const auto records = encode(server_announcements{due});
    const auto is_sent =
        links_.send(to, message_type::server_changes,
                    encode(server_changes{compress_text(records)}));
    if (!is_sent) {
        links_.send(to, message_type::server_announcements, records);
    }
}

auto configuration_node::implementation::push_updates() -> void
{
    for (auto& [link, to] : proxies_) {
        if (to.directory_revision < directory_.revision() ||
            to.configuration_version < history_.newest().version)
        {
            send_update(link, to, nullptr);
        }
    }
}

auto configuration_node::implementation::announce(const server_record& record,
                                                  bool is_shared) -> bool
{
    if (!record.is_usable()) {
        log_event("server_unusable", event_severity::warning)
            .field("server", record.id)
            .field("address", record.address);
        return false;
    }
    const auto result = directory_.merge(steady_now(), record,
                                         supervisor_.may_know(record.group));
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
        server_updates_.note_change();
        push_servers(steady_now());
    }
    if (is_shared && result == server_directory::merge_result::changed) {
        share(record);
    } else if (is_shared && !is_leader()) {
        renewals_.add(record);
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
        server_updates_.note_change();
        push_servers(steady_now());
        share(*record);
    }
}

auto configuration_node::implementation::save_servers(time_point now) -> void
{
    if (directory_.revision() == cached_revision_ || now < next_cache_save_) {
        return;
    }
    const auto is_saved = cache_.save(directory_.changed_since(0));
    next_cache_save_ = now + (is_saved ? cache_interval : cache_retry_interval);
    if (is_saved) {
        cached_revision_ = directory_.revision();
    }
}

} // namespace rhubarbrun::inline v1
