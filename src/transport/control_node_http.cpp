#include "control_node_implementation.hpp"

#include <rhubarbrun/state/bundle_parse.hpp>
#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/worker_pool.hpp>

#include <charconv>
#include <chrono>
#include <sstream>
#include <utility>

namespace rhubarbrun::inline v1 {

namespace {

using json_object = json_value::object;
using json_array = json_value::array;

auto to_text(const auto& value) -> std::string
{
    auto out = std::ostringstream{};
    out << value;
    return out.str();
}

auto json_response(const json_value& value, unsigned status = 200)
    -> http_response
{
    auto response = http_response{};
    response.status = status;
    response.body = value.print() + '\n';
    return response;
}

auto wall_time_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// `/v1/bundles/{version}/...`; no value if the version is no number above 0.
auto version_in(const std::string& path) -> std::optional<bundle_version>
{
    constexpr auto prefix = std::string_view("/v1/bundles/");
    if (!path.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto* const first = path.data() + prefix.size();
    const auto* const last = path.data() + path.size();
    auto number = std::uint64_t{0};
    const auto [end, fault] = std::from_chars(first, last, number);
    if (fault != std::errc() || number == 0 || (end != last && *end != '/')) {
        return std::nullopt;
    }
    return bundle_version(number);
}

auto token_of(const http_request& request) -> std::string
{
    constexpr auto scheme = std::string_view("Bearer ");
    const auto value = request.header("authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : "";
}

auto status_code(command_status status) -> unsigned
{
    switch (status) {
    case command_status::ok:
        return 200;
    case command_status::unknown_operator:
    case command_status::self_approval:
        return 403;
    case command_status::unknown_version:
        return 404;
    case command_status::invalid_bundle:
        return 400;
    default:
        return 409;
    }
}

auto result_json(const command_result& result) -> json_value
{
    auto details = json_array();
    for (const auto& detail : result.details) {
        details.emplace_back(detail);
    }
    auto fields = json_object{{"status", to_string(result.status)},
                              {"index", result.effective_at.value()},
                              {"version", result.version.value()},
                              {"digest", result.digest.value()},
                              {"proposer", result.proposer.value()},
                              {"actor", result.actor.value()},
                              {"details", std::move(details)}};
    if (!result.is_ok()) {
        fields["error"] =
            std::string("refused: ") + std::string(to_string(result.status));
    }
    return fields;
}

auto record_json(const bundle_record& record) -> json_value
{
    return json_object{{"version", record.version.value()},
                       {"digest", record.digest.value()},
                       {"stage", to_string(record.stage)},
                       {"proposer", record.proposer.value()},
                       {"approver", record.approver.value()},
                       {"roller", record.roller.value()},
                       {"proposed_at", record.proposed_at.value()},
                       {"approved_at", record.approved_at.value()},
                       {"rolled_at", record.rolled_at.value()},
                       {"proposed_ms", record.proposed_ms},
                       {"approved_ms", record.approved_ms},
                       {"rolled_ms", record.rolled_ms}};
}

/// Highest version that was rolled up to `index`; 0 if there is none.
auto version_at(const control_state& state, log_index index) -> bundle_version
{
    auto version = bundle_version(0);
    for (const auto& [number, record] : state.bundle_records()) {
        if (record.rolled_at.value() != 0 && record.rolled_at <= index) {
            version = number;
        }
    }
    return version;
}

auto owner_json(const std::optional<proxy_identity>& owner) -> json_value
{
    return owner ? json_value(owner->id.value()) : json_value();
}

auto presence_name(target_presence presence) -> const char*
{
    switch (presence) {
    case target_presence::present:
        return "present";
    case target_presence::leaving:
        return "leaving";
    case target_presence::gone:
        return "gone";
    }
    return "unknown";
}

} // namespace

auto control_node::implementation::add_routes() -> void
{
    const auto handler = [this](const http_request& request, http_reply reply) {
        on_http(request, std::move(reply));
    };
    for (const auto* const path :
         {"/v1/status", "/v1/log", "/v1/dump", "/v1/health", "/v1/metrics",
          "/v1/bundles/{version}"})
    {
        http_.route("GET", path, handler);
    }
    for (const auto* const path :
         {"/v1/bundles", "/v1/bundles/{version}/approve",
          "/v1/bundles/{version}/roll"})
    {
        http_.route("POST", path, handler);
    }
}

auto control_node::implementation::on_http(http_request request,
                                           response_callback reply) -> void
{
    run([this, request = std::move(request), reply = std::move(reply)] {
        ++http_requests_;
        const auto now = steady_now();
        if (request.path == "/v1/health") {
            reply(health(now));
        } else if (request.path == "/v1/metrics") {
            auto response = http_response{};
            response.content_type = "text/plain";
            response.body = metrics();
            reply(std::move(response));
        } else if (request.path == "/v1/dump") {
            reply(json_response(dump_json(now)));
        } else if (is_leading()) {
            handle_http(request, reply);
        } else {
            forward(request, reply);
        }
    });
}

auto control_node::implementation::handle_http(const http_request& request,
                                               const response_callback& reply)
    -> void
{
    const auto now = steady_now();
    if (request.method == "POST") {
        handle_bundle_request(request, reply);
    } else if (!member_.has_leader_lease(now)) {
        // Another member may lead by now, with newer bundles.
        reply(http_error(503, "the leadership is not confirmed; try again"));
    } else if (request.path == "/v1/status") {
        reply(json_response(status_json(now)));
    } else if (request.path == "/v1/log") {
        reply(json_response(log_json()));
    } else if (const auto version = version_in(request.path)) {
        const auto* const content = state_.find_bundle(*version);
        if (content == nullptr) {
            reply(http_error(404, "the content of this version is not kept"));
            return;
        }
        reply(json_response(json_object{{"version", version->value()},
                                        {"digest", digest_of(*content).value()},
                                        {"bundle", canonical_text(*content)}}));
    } else {
        reply(http_error(404, "there is no such path"));
    }
}

auto control_node::implementation::handle_bundle_request(
    const http_request& request, const response_callback& reply) -> void
{
    if (!state_.is_bootstrapped()) {
        reply(http_error(503, "the first operators are not recorded yet"));
        return;
    }
    const auto token = token_of(request);
    const auto who = token.empty() ? std::nullopt : state_.find_operator(token);
    if (!who) {
        reply(http_error(401, "the token belongs to no operator"));
        return;
    }
    const auto body = parse_json(request.body);
    const auto digest = body ? (*body)["digest"].text() : std::string();
    if (digest.empty()) {
        reply(http_error(400, "the body must be JSON with a digest"));
        return;
    }
    const auto wall = wall_time_ms();
    if (request.path == "/v1/bundles") {
        const auto parsed = parse_bundle((*body)["bundle"].text());
        if (!parsed) {
            auto problems = json_array();
            for (const auto& problem : parsed.problems) {
                problems.emplace_back(to_string(problem));
            }
            reply(
                json_response(json_object{{"error", "the bundle is not valid"},
                                          {"details", std::move(problems)}},
                              400));
            return;
        }
        propose(propose_bundle_command{*who, bundle_digest(digest),
                                       *parsed.value, wall},
                reply_when_done(reply));
        return;
    }
    const auto version = version_in(request.path);
    if (!version) {
        reply(http_error(400, "the version must be a number above 0"));
    } else if (request.path.ends_with("/approve")) {
        propose(
            approve_bundle_command{*who, *version, bundle_digest(digest), wall},
            reply_when_done(reply));
    } else {
        propose(
            roll_bundle_command{*who, *version, bundle_digest(digest), wall},
            reply_when_done(reply));
    }
}

auto control_node::implementation::reply_when_done(response_callback reply)
    -> command_callback
{
    return [reply = std::move(reply)](command_outcome outcome,
                                      const command_result& result) {
        switch (outcome) {
        case command_outcome::applied:
            reply(
                json_response(result_json(result), status_code(result.status)));
            break;
        case command_outcome::not_accepted:
            reply(http_error(503, "not recorded; send it again"));
            break;
        default:
            reply(http_error(504, "the outcome is not known; send it again"));
            break;
        }
    };
}

auto control_node::implementation::forward(const http_request& request,
                                           response_callback reply) -> void
{
    const auto leader = leader_name();
    const auto number = ++last_forward_;
    auto message =
        forward_request{number, request.method, request.path,
                        request.header("authorization"), request.body};
    if (!leader || *leader == options_.name ||
        !links_.send({peer_role::control, leader->value()},
                     message_type::forward_request, encode(message)))
    {
        reply(http_error(503, "no leader is known; send it again"));
        return;
    }
    forwards_[number] = {steady_now(), std::move(reply)};
}

auto control_node::implementation::on_forward(link_id link,
                                              const forward_request& message)
    -> void
{
    const auto reply = [this, link,
                        number = message.request](const http_response& done) {
        links_.send(
            link, message_type::forward_answer,
            encode(forward_answer{
                number, static_cast<std::uint16_t>(done.status), done.body}));
    };
    if (!is_leading()) {
        reply(http_error(503, "the leader has changed; send it again"));
        return;
    }
    auto request = http_request{};
    request.method = message.method;
    request.path = message.path;
    request.headers["authorization"] = message.authorization;
    request.body = message.body;
    handle_http(request, reply);
}

auto control_node::implementation::on_forward_answer(
    const forward_answer& message) -> void
{
    const auto found = forwards_.find(message.request);
    if (found == forwards_.end()) {
        return;
    }
    const auto reply = std::move(found->second.reply);
    forwards_.erase(found);
    auto response = http_response{};
    response.status = message.status;
    response.body = message.body;
    reply(std::move(response));
}

auto control_node::implementation::status_json(time_point now) const
    -> json_value
{
    auto vms = json_array();
    for (const auto& [id, proxy] : state_.proxies()) {
        const auto reported = directory_indexes_.find(id);
        const auto index = reported == directory_indexes_.end()
                               ? log_index(0)
                               : reported->second;
        vms.emplace_back(json_object{
            {"name", id.value()},
            {"zone", proxy.zone.value()},
            {"version", version_at(state_, index).value()},
            {"directory_index", index.value()},
            {"is_live", coordinator_->leases().is_live(proxy.identity)},
            {"is_draining", proxy.is_draining}});
    }
    const auto& header = state_.bundle_in_force();
    return json_object{
        {"version", header ? header->version.value() : 0},
        {"digest", header ? header->digest.value() : std::string()},
        {"applied", state_.applied().value()},
        {"vms", std::move(vms)},
        {"member", member_json(now)}};
}

auto control_node::implementation::log_json() const -> json_value
{
    auto records = json_array();
    for (const auto& [version, record] : state_.bundle_records()) {
        records.push_back(record_json(record));
    }
    return json_object{{"bundles", std::move(records)}};
}

auto control_node::implementation::member_json(time_point now) const
    -> json_value
{
    const auto status = member_.status(now);
    auto members = json_array();
    for (const auto& member : status.configuration.members) {
        members.emplace_back(json_object{
            {"name", member.identity.id.value()},
            {"role", member.role == member_role::voter ? "voter" : "learner"}});
    }
    auto others = json_array();
    for (const auto& other : status.others) {
        others.emplace_back(json_object{
            {"name", other.member.identity.id.value()},
            {"matched", other.matched.value()},
            {"mode", other.mode},
            {"silent_ms", other.silent_for
                              ? json_value(to_milliseconds(*other.silent_for))
                              : json_value()}});
    }
    return json_object{
        {"name", options_.name.value()},
        {"role", to_string(status.role)},
        {"leader", status.leader ? status.leader->id.value() : std::string()},
        {"term", status.current.value()},
        {"committed", status.committed.value()},
        {"applied", status.applied.value()},
        {"last", status.last.value()},
        {"snapshot", status.snapshot.value()},
        {"members", std::move(members)},
        {"others", std::move(others)},
        {"founding_obstacle", status.founding_obstacle}};
}

auto control_node::implementation::dump_json(time_point now) const -> json_value
{
    auto groups = json_array();
    for (const auto& [id, group] : state_.groups()) {
        groups.emplace_back(json_object{
            {"name", id.value()},
            {"database", group.config.database},
            {"primary", group.primary
                            ? json_value(group.primary->target.value())
                            : json_value()},
            {"term", group.primary ? group.primary->group_term.value() : 0}});
    }
    auto targets = json_array();
    for (const auto& [id, target] : state_.targets()) {
        targets.emplace_back(
            json_object{{"name", id.value()},
                        {"group", target.description.group.value()},
                        {"zone", target.description.zone.value()},
                        {"address", target.description.address},
                        {"port", target.description.port},
                        {"presence", presence_name(target.presence)},
                        {"owner", owner_json(target.owner)},
                        {"epoch", target.epoch.value()},
                        {"next_owner", owner_json(target.next_owner)}});
    }
    auto links = json_array();
    for (const auto& link : links_.links()) {
        links.emplace_back(
            json_object{{"peer", to_text(link.peer.who)},
                        {"incarnation", std::to_string(link.peer.run.value())},
                        {"remote", to_text(link.remote)}});
    }
    auto operators = json_array();
    for (const auto& each : state_.operators()) {
        operators.emplace_back(each.id.value());
    }
    return json_object{{"status", status_json(now)},
                       {"is_leading", is_leading()},
                       {"operators", std::move(operators)},
                       {"groups", std::move(groups)},
                       {"targets", std::move(targets)},
                       {"links", std::move(links)},
                       {"subscribers", std::uint64_t{subscribers_.size()}},
                       {"pending", std::uint64_t{pending_.size()}}};
}

auto control_node::implementation::health(time_point now) const -> http_response
{
    const auto has_leader = member_.leader().has_value();
    const auto is_able =
        !gate_.is_blocked() &&
        (is_leading() ? member_.has_leader_lease(now) : has_leader);
    return json_response(
        json_object{{"is_healthy", is_able}, {"is_leading", is_leading()}},
        is_able ? 200 : 503);
}

auto control_node::implementation::metrics() const -> std::string
{
    namespace acc = boost::accumulators;
    auto out = std::ostringstream{};
    const auto saves = acc::count(save_times_);
    out << "control_is_leading " << (is_leading() ? 1 : 0) << '\n'
        << "control_applied_index " << state_.applied() << '\n'
        << "control_applied_entries " << applied_entries_ << '\n'
        << "control_lease_requests " << lease_requests_ << '\n'
        << "control_http_requests " << http_requests_ << '\n'
        << "control_subscribers " << subscribers_.size() << '\n'
        << "control_links " << links_.links().size() << '\n'
        << "control_coordinator_evaluations " << coordinator_->evaluations()
        << '\n'
        << "control_disk_full " << (gate_.is_blocked() ? 1 : 0) << '\n'
        << "control_disk_full_total " << gate_.refusals() << '\n'
        << "control_saves " << saves << '\n'
        << "control_save_mean_us " << (saves > 0 ? acc::mean(save_times_) : 0.0)
        << '\n'
        << "control_save_max_us " << (saves > 0 ? acc::max(save_times_) : 0.0)
        << '\n';
    return out.str();
}

} // namespace rhubarbrun::inline v1
