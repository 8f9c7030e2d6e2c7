#include <rhubarbrun/transport/proxy_node.hpp>

#include <rhubarbrun/transport/event_log.hpp>
#include <rhubarbrun/transport/json.hpp>

#include <limits>
#include <mutex>
#include <sstream>
#include <utility>

// The HTTP interface of a proxy for targets, platform and operators.

namespace rhubarbrun::inline v1 {

namespace {

auto number_in(const json_value& value, std::int64_t highest)
    -> std::optional<std::int64_t>
{
    const auto number = value.number();
    return number < 1 || number > highest ? std::nullopt
                                          : std::optional(number);
}

/// The announcement in a request body, or what is wrong with it.
auto parse_announcement(const std::string& body)
    -> std::variant<target_announcement, std::string>
{
    const auto parsed = parse_json(body);
    if (!parsed || !parsed->is_object()) {
        return "the body is not a JSON object";
    }
    const auto& document = *parsed;
    constexpr auto highest_port = std::numeric_limits<std::uint16_t>::max();
    constexpr auto highest_count = std::int64_t{100'000};
    const auto port = number_in(document["port"], highest_port);
    const auto slots = number_in(document["slots"], highest_count);
    const auto connections =
        number_in(document["connection_limit"], highest_count);
    auto result = target_announcement{};
    result.database = document["database"].text();
    result.id = target_id(document["server"].text());
    result.address = document["address"].text();
    result.zone = zone_id(document["zone"].text());
    result.is_leaving = document["leaving"].truth();
    if (result.database.empty() || result.id.is_empty() ||
        result.address.empty() || result.zone.is_empty())
    {
        return "database, server, address and zone must not be empty";
    }
    if (!port || !slots || !connections) {
        return "port, slots and connection_limit must be whole numbers above 0";
    }
    result.port = static_cast<std::uint16_t>(*port);
    result.slots = static_cast<std::uint32_t>(*slots);
    result.connection_limit = static_cast<std::uint32_t>(*connections);
    return result;
}

auto describe(const log_position& position) -> std::string
{
    return std::to_string(position.group_term.value()) + ":" +
           to_string(position.offset);
}

auto describe(const owned_target_status& status) -> json_value
{
    auto result = json_value::object{};
    result["target"] = status.id.value();
    result["epoch"] = status.epoch.value();
    result["serving"] = status.is_serving;
    result["primary"] = status.is_primary;
    result["fenced"] = status.is_fenced;
    result["handing_over"] = status.is_handing_over;
    result["term"] = status.group_term.value();
    result["position"] = describe(status.position);
    result["failover"] = to_string(status.failover);
    result["jobs"] = std::uint64_t{status.jobs};
    result["open_transactions"] = std::uint64_t{status.open_transactions};
    result["waiting_for_second_server"] =
        std::uint64_t{status.waiting_for_second_server};
    result["slots"] = status.queue.usable_slots;
    result["running"] = status.queue.running;
    result["running_long"] = status.queue.running_long;
    result["started"] = status.queue.started;
    result["refused"] = status.queue.refused;
    auto waiting = json_value::array{};
    for (const auto count : status.queue.waiting) {
        waiting.emplace_back(std::uint64_t{count});
    }
    result["waiting_by_class"] = std::move(waiting);
    auto connections = json_value::object{};
    connections["opening"] = status.connections.opening;
    connections["idle"] = status.connections.idle;
    connections["busy"] = status.connections.busy;
    connections["opened"] = status.connections.opened;
    connections["lost"] = status.connections.lost;
    result["connections"] = std::move(connections);
    return result;
}

auto describe(const entry_status& status) -> json_value
{
    auto result = json_value::object{};
    result["sessions"] = std::uint64_t{status.sessions};
    result["in_transaction"] = std::uint64_t{status.in_transaction};
    result["in_flight"] = std::uint64_t{status.in_flight};
    result["parked"] = std::uint64_t{status.parked};
    result["requests"] = status.counts.requests;
    result["writes"] = status.counts.writes;
    result["replica_reads"] = status.counts.replica_reads;
    result["primary_reads"] = status.counts.primary_reads;
    result["rerouted"] = status.counts.rerouted;
    result["refused"] = status.counts.refused;
    result["may_have_run"] = status.counts.may_have_run;
    return result;
}

auto describe_directory(const directory& view) -> json_value
{
    auto result = json_value::object{};
    result["index"] = view.index().value();
    if (view.bundle()) {
        result["bundle_version"] = view.bundle()->version.value();
        result["bundle_digest"] = view.bundle()->digest.value();
    }
    auto groups = json_value::object{};
    for (const auto& [id, group] : view.groups()) {
        auto entry = json_value::object{};
        if (group.primary) {
            entry["primary"] = group.primary->target.value();
            entry["term"] = group.primary->group_term.value();
        }
        groups[id.value()] = std::move(entry);
    }
    result["groups"] = std::move(groups);
    auto targets = json_value::object{};
    for (const auto& [id, target] : view.targets()) {
        auto entry = json_value::object{};
        entry["group"] = target.description.group.value();
        entry["zone"] = target.description.zone.value();
        entry["epoch"] = target.epoch.value();
        if (target.owner) {
            entry["owner"] = target.owner->id.value();
        }
        entry["present"] = target.presence == target_presence::present;
        targets[id.value()] = std::move(entry);
    }
    result["targets"] = std::move(targets);
    result["proxies"] = std::uint64_t{view.proxies().size()};
    return result;
}

auto json_response(const json_value& value) -> http_response
{
    auto response = http_response{};
    response.body = value.print() + "\n";
    return response;
}

} // namespace

auto proxy_node::make_http() -> void
{
    http_ = std::make_unique<http_server>(context_);
    http_->route("POST", "/v1/targets",
                 [this](const http_request& request, const http_reply& reply) {
                     on_announcement(request, reply);
                 });
    http_->route("GET", "/v1/dump",
                 [this](const http_request&, const http_reply& reply) {
                     on_dump(reply);
                 });
    http_->route("GET", "/v1/metrics",
                 [this](const http_request&, const http_reply& reply) {
                     on_metrics(reply);
                 });
    http_->route("GET", "/v1/health",
                 [this](const http_request&, const http_reply& reply) {
                     on_health(reply);
                 });
    http_port_ = http_->listen(settings_.process.http_listen).port();
}

auto proxy_node::on_announcement(const http_request& request,
                                 const http_reply& reply) -> void
{
    auto parsed = parse_announcement(request.body);
    if (const auto* const fault = std::get_if<std::string>(&parsed)) {
        reply(http_error(400, *fault));
        return;
    }
    const auto outcome = control_->hear(std::get<target_announcement>(parsed));
    if (outcome == announcement_outcome::accepted) {
        auto response = http_response{};
        response.status = 202;
        reply(std::move(response));
        return;
    }
    const auto is_passing = outcome == announcement_outcome::too_many ||
                            outcome == announcement_outcome::unknown_database;
    reply(http_error(is_passing ? 409 : 400, to_string(outcome)));
}

auto proxy_node::collect_targets(
    std::function<void(std::vector<owned_target_status>)> done) -> void
{
    const auto targets = all_targets();
    if (targets.empty()) {
        done({});
        return;
    }
    struct collection
    {
        std::mutex mutex;
        std::vector<owned_target_status> statuses;
        std::size_t missing = 0;
        std::function<void(std::vector<owned_target_status>)> done;
    };
    auto shared = std::make_shared<collection>();
    shared->missing = targets.size();
    shared->done = std::move(done);
    for (const auto& target : targets) {
        target->inspect([shared](owned_target_status status) {
            auto is_last = false;
            {
                const auto lock = std::lock_guard(shared->mutex);
                shared->statuses.push_back(std::move(status));
                is_last = --shared->missing == 0;
            }
            if (is_last) {
                shared->done(std::move(shared->statuses));
            }
        });
    }
}

auto proxy_node::on_dump(const http_reply& reply) -> void
{
    collect_targets(
        [this, reply](const std::vector<owned_target_status>& statuses) {
            auto result = json_value::object{};
            result["name"] = self_.id.value();
            result["incarnation"] = std::to_string(self_.run.value());
            result["zone"] = settings_.process.zone.value();
            result["draining"] = is_draining_.load();
            const auto control = control_->status();
            auto contact = json_value::object{};
            contact["registered"] = control.is_registered;
            contact["holds_lease"] = control.holds_lease;
            contact["ready"] = control.has_contact;
            result["control"] = std::move(contact);
            result["entry"] = describe(entry_->status());
            result["directory"] = describe_directory(*control_->view());
            auto targets = json_value::array{};
            for (const auto& status : statuses) {
                targets.push_back(describe(status));
            }
            result["owned_targets"] = std::move(targets);
            reply(json_response(result));
        });
}

auto proxy_node::on_metrics(const http_reply& reply) -> void
{
    collect_targets([this,
                     reply](const std::vector<owned_target_status>& statuses) {
        const auto entry = entry_->status();
        auto text = std::ostringstream{};
        const auto line = [&](std::string_view name, auto value) {
            text << "rhubarbrun_" << name << ' ' << value << '\n';
        };
        line("sessions", entry.sessions);
        line("requests_in_flight", entry.in_flight);
        line("requests_total", entry.counts.requests);
        line("writes_total", entry.counts.writes);
        line("replica_reads_total", entry.counts.replica_reads);
        line("primary_reads_total", entry.counts.primary_reads);
        line("rerouted_total", entry.counts.rerouted);
        line("refused_total", entry.counts.refused);
        line("may_have_run_total", entry.counts.may_have_run);
        line("directory_index", control_->view()->index());
        line("ready", control_->is_ready() ? 1 : 0);
        const auto in_milliseconds = [](duration value) {
            using milliseconds = std::chrono::duration<double, std::milli>;
            return milliseconds(value).count();
        };
        const auto latency_lines =
            [&](const std::string& kind,
                const std::optional<latency_summary>& summary) {
                if (!summary) {
                    return;
                }
                const auto name = "latency_ms{kind=\"" + kind + "\",value=";
                line(name + "\"median\"}", in_milliseconds(summary->median));
                line(name + "\"p99\"}", in_milliseconds(summary->p99));
                line(name + "\"max\"}", in_milliseconds(summary->worst));
            };
        const auto latencies = entry_->latencies();
        latency_lines("write", latencies.writes);
        latency_lines("replica_read", latencies.replica_reads);
        latency_lines("primary_read", latencies.primary_reads);
        for (const auto& status : statuses) {
            const auto label = "{target=\"" + status.id.value() + "\"}";
            line("target_running" + label, status.queue.running);
            line("target_started_total" + label, status.queue.started);
            line("target_refused_total" + label, status.queue.refused);
            line("target_connections_opened_total" + label,
                 status.connections.opened);
            line("target_connections_lost_total" + label,
                 status.connections.lost);
            line("target_primary" + label, status.is_primary ? 1 : 0);
        }
        auto response = http_response{};
        response.content_type = "text/plain; version=0.0.4";
        response.body = text.str();
        reply(std::move(response));
    });
}

auto proxy_node::on_health(const http_reply& reply) -> void
{
    if (is_draining_) {
        reply(http_error(503, "draining"));
    } else if (!control_->is_ready()) {
        reply(http_error(503, "no contact with control, or no bundle"));
    } else {
        auto result = json_value::object{};
        result["status"] = "ready";
        reply(json_response(result));
    }
}

} // namespace rhubarbrun::inline v1
