#include "scenario_runner.hpp"

#include "state/bundle_samples.hpp"

#include <algorithm>

namespace rhubarbrun::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto announcement_interval = duration(1s);
constexpr auto replication_interval = duration(20ms);
constexpr auto operator_retry_interval = duration(1s);
constexpr auto caller_latency = duration(1ms);
constexpr auto set_up_timeout = duration(20s);

} // namespace

scenario_runner::scenario_runner(scenario_deployment deployment,
                                 scenario_fault fault, scenario_policy policy)
    : deployment_(std::move(deployment)),
      fault_(fault),
      network_(deployment_.seed)
{
    network_.min_delay = std::move(policy.min_delay);
    auto members = std::vector<std::string>{};
    auto ids = std::vector<member_id>{};
    for (auto index = std::int64_t{0}; index < deployment_.control; ++index) {
        members.push_back("c" + std::to_string(index));
        ids.emplace_back(members.back());
        network_.add(members.back(), "control");
    }
    network_.add("operator", "operators");
    for (const auto& name : members) {
        auto hooks = scenario_control::hooks_type{};
        hooks.send = [this, name](const consensus_message& message) {
            const auto to = message.to.id.value();
            network_.send_datagram(name, to, [this, to, message] {
                controls_.at(to)->on_message(message);
            });
        };
        hooks.push = [this, name](const proxy_id& id,
                                  const directory_delta& delta) {
            network_.send_datagram(name, id.value(), [this, id, delta] {
                proxies_.at(id.value())->on_delta(delta);
            });
        };
        hooks.on_applied = [this](log_index index,
                                  const control_command& command) {
            if (index > committed_state_.applied()) {
                committed_state_.apply(index, command);
            }
        };
        controls_[name] = std::make_unique<scenario_control>(
            network_, name, ids, std::move(hooks));
    }
    for (const auto& place : deployment_.servers) {
        network_.add(place.name, place.zone);
        group_names_[place.name] = place.group;
        servers_[place.name] =
            std::make_unique<scenario_server>(network_, history_, place.name);
    }
    for (const auto& place : deployment_.proxies) {
        network_.add(place.name, place.zone);
        auto hooks = scenario_proxy_hooks{};
        hooks.control = [this](const std::string& name) {
            return controls_.at(name).get();
        };
        hooks.proxy = [this](const std::string& name) {
            return proxies_.at(name).get();
        };
        hooks.server = [this](const target_id& id) -> scenario_server& {
            return *servers_.at(id.value());
        };
        hooks.may_start_failover = policy.may_start_failover;
        hooks.on_acknowledged = [this](const group_id& group, term ran_in,
                                       owner_epoch epoch) {
            on_acknowledged(group, ran_in, epoch);
        };
        hooks.on_bundle = [this](const std::string& proxy,
                                 bundle_version version) {
            on_bundle(proxy, version);
        };
        hooks.on_exit = [this](const std::string& proxy) {
            on_exit(proxy);
        };
        hooks.on_session_ended = [this](session_id session) {
            for (auto& [name, who] : callers_) {
                if (who.is_open && who.session == session) {
                    who.is_open = false;
                }
            }
        };
        proxies_[place.name] =
            std::make_unique<scenario_proxy>(network_, place.name, place.zone,
                                             members, std::move(hooks), fault_);
    }
}

auto scenario_runner::set_up() -> void
{
    network_.start("operator");
    for (const auto& group : deployment_.groups) {
        auto primary = std::string{};
        for (const auto& place : deployment_.servers) {
            auto& server = *servers_.at(place.name);
            if (place.group != group) {
                continue;
            }
            server.is_in_recovery = !primary.empty();
            server.upstream = primary;
            if (primary.empty()) {
                primary = place.name;
            }
        }
    }
    for (const auto& [name, control] : controls_) {
        start_process(name);
    }
    for (const auto& [name, server] : servers_) {
        start_process(name);
    }
    const auto first = make_bundle(1, 0);
    const auto commands = std::vector<control_command>{
        bootstrap_command{first.operators}, tests::propose("ann", first),
        tests::approve("bob", first), tests::roll("ann", first)};
    const auto limit = network_.now() + set_up_timeout;
    for (const auto& command : commands) {
        operator_answers_.erase("");
        submit_command(command, "", false);
        while (!operator_answers_.contains("") && network_.now() < limit) {
            network_.run_until(network_.now() + 10ms);
        }
    }
    for (const auto& [name, proxy] : proxies_) {
        start_process(name);
    }
    const auto is_ready = [&] {
        return std::all_of(
            deployment_.groups.begin(), deployment_.groups.end(),
            [&](const auto& name) {
                const auto* const group =
                    committed_state().find_group(group_id(name));
                const auto* const target =
                    group != nullptr && group->primary
                        ? committed_state().find_target(group->primary->target)
                        : nullptr;
                if (target == nullptr || !target->owner) {
                    return false;
                }
                auto* const owner = proxies_.at(target->owner->id.value())
                                        ->owner_of(target->description.id);
                return owner != nullptr && owner->may_write();
            });
    };
    while (!is_ready() && network_.now() < limit) {
        network_.run_until(network_.now() + 10ms);
    }
    if (!is_ready()) {
        add_failure("the deployment does not become ready");
    }
    // Lets the remaining servers get their owners.
    network_.run_until(network_.now() + 2s);
    start_ = network_.now();
}

auto scenario_runner::elapsed() const -> std::int64_t
{
    return to_milliseconds(network_.now() - start_);
}

auto scenario_runner::run_until(std::int64_t at_ms) -> void
{
    network_.run_until(start_ + std::chrono::milliseconds(at_ms));
}

auto scenario_runner::add_failure(const std::string& what) -> void
{
    failures_.push_back(std::to_string(elapsed()) + " ms: " + what);
}

auto scenario_runner::failures() const -> std::vector<std::string>
{
    auto out = failures_;
    out.insert(out.end(), history_.violations.begin(),
               history_.violations.end());
    return out;
}

auto scenario_runner::leader() const -> scenario_control*
{
    for (const auto& [name, control] : controls_) {
        if (control->is_leading() &&
            control->status().committed == control->status().applied)
        {
            return control.get();
        }
    }
    return nullptr;
}

auto scenario_runner::leader_name() const -> std::string
{
    const auto* const control = leader();
    for (const auto& [name, each] : controls_) {
        if (each.get() == control) {
            return name;
        }
    }
    return "";
}

auto scenario_runner::primary_of(const std::string& group) const -> std::string
{
    const auto* const record = committed_state().find_group(group_id(group));
    return record != nullptr && record->primary
               ? record->primary->target.value()
               : "";
}

auto scenario_runner::owner_of(const std::string& server) const -> std::string
{
    const auto* const record = committed_state().find_target(target_id(server));
    return record != nullptr && record->owner ? record->owner->id.value() : "";
}

auto scenario_runner::make_bundle(std::int64_t version,
                                  std::int64_t flavour) const -> bundle
{
    auto value = sample_bundle(static_cast<std::uint64_t>(version), flavour);
    value.groups.clear();
    for (const auto& name : deployment_.groups) {
        value.groups.push_back(sample_group(name));
        value.groups.back().limits.queue_length = 200 + flavour;
    }
    return value;
}

auto scenario_runner::start_process(const std::string& name) -> void
{
    network_.start(name);
    if (controls_.contains(name)) {
        controls_.at(name)->start();
    } else if (proxies_.contains(name)) {
        proxies_.at(name)->start();
        bundles_in_force_.erase(name);
    } else if (servers_.contains(name)) {
        announce(*servers_.at(name));
    }
    schedule_ticks(name);
}

auto scenario_runner::schedule_ticks(const std::string& name) -> void
{
    auto interval = duration(std::chrono::milliseconds(deployment_.tick_ms));
    if (servers_.contains(name)) {
        interval = std::max(interval, replication_interval);
    }
    network_.schedule_after(name, interval, [this, name] {
        if (controls_.contains(name)) {
            controls_.at(name)->tick();
        } else if (proxies_.contains(name)) {
            proxies_.at(name)->tick();
        } else {
            tick_server(*servers_.at(name));
        }
        if (network_.is_alive(name)) {
            schedule_ticks(name);
        }
    });
}

auto scenario_runner::tick_server(scenario_server& server) -> void
{
    server.close_disconnected();
    const auto& upstream = server.upstream;
    const auto may_follow = server.is_in_recovery && !upstream.empty() &&
                            network_.is_alive(upstream) &&
                            !network_.is_frozen(upstream) &&
                            network_.is_reachable(upstream, server.name()) &&
                            network_.is_reachable(server.name(), upstream);
    if (may_follow && server.follow(*servers_.at(upstream))) {
        servers_.at(upstream)->on_flushed(server.name(), server.log.size());
    }
}

auto scenario_runner::announce(scenario_server& server) -> void
{
    network_.schedule_after(server.name(), announcement_interval,
                            [this, &server] { announce(server); });
    if (!server.is_announcing) {
        return;
    }
    auto reachable = std::vector<std::string>{};
    for (const auto& [name, proxy] : proxies_) {
        const auto is_candidate = network_.is_alive(name) &&
                                  !network_.is_frozen(name) &&
                                  network_.is_reachable(server.name(), name);
        if (is_candidate) {
            reachable.push_back(name);
        }
    }
    if (reachable.empty()) {
        return;
    }
    const auto& chosen = reachable[network_.random() % reachable.size()];
    auto message = target_announcement{};
    message.id = target_id(server.name());
    message.database = "db_" + group_names_.at(server.name());
    message.address = "10.0.1.1";
    message.port = 5432;
    message.zone = zone_id(network_.zone_of(server.name()));
    message.slots = 3;
    message.connection_limit = 70;
    message.is_leaving = server.is_leaving;
    network_.schedule_after(chosen, caller_latency, [this, chosen, message] {
        proxies_.at(chosen)->on_announcement(message);
    });
}

auto scenario_runner::stop_process(const std::string& name) -> void
{
    if (!network_.is_alive(name)) {
        return;
    }
    network_.stop(name);
    if (controls_.contains(name)) {
        controls_.at(name)->stop();
    } else if (proxies_.contains(name)) {
        disconnect_callers(name);
        proxies_.at(name)->stop();
    } else if (servers_.contains(name)) {
        servers_.at(name)->crash();
    }
}

auto scenario_runner::restart(const scenario_step& step) -> void
{
    const auto has_disk = step.flag("disk", true);
    for (const auto& name : network_.expand(step.text("who"))) {
        stop_process(name);
        const auto is_control = controls_.contains(name);
        if (is_control && (!has_disk || fault_ == scenario_fault::lose_log)) {
            controls_.at(name)->wipe();
        }
        start_process(name);
    }
}

auto scenario_runner::on_exit(const std::string& proxy) -> void
{
    if (!network_.is_alive(proxy)) {
        return;
    }
    const auto left = proxies_.at(proxy)->work_in_flight();
    if (left > 0) {
        add_failure("invariant 8: " + proxy + " exits with " +
                    std::to_string(left) + " requests in flight");
    }
    exited_proxies_.insert(proxy);
    // Stops the process only after the current call has returned.
    network_.schedule_at(network_.now(),
                         [this, proxy] { stop_process(proxy); });
}

auto scenario_runner::on_acknowledged(const group_id& group, term ran_in,
                                      owner_epoch epoch) -> void
{
    const auto* const record = committed_state().find_group(group);
    const auto* const target =
        record != nullptr && record->primary
            ? committed_state().find_target(record->primary->target)
            : nullptr;
    const auto is_current = target != nullptr &&
                            record->primary->group_term == ran_in &&
                            target->epoch == epoch;
    if (!is_current) {
        add_failure("invariant 2: a write of term " +
                    std::to_string(ran_in.value()) + " of " + group.value() +
                    " is acknowledged by a replaced owner or primary");
    }
}

auto scenario_runner::on_bundle(const std::string& proxy,
                                bundle_version version) -> void
{
    auto& known = bundles_in_force_[proxy];
    if (version < known) {
        add_failure("invariant 9: " + proxy + " reverts to an older bundle");
    }
    known = version;
}

auto scenario_runner::apply(const scenario_step& step) -> void
{
    if (step.is_expectation) {
        expect(step);
        return;
    }
    const auto& verb = step.verb;
    const auto server = [&]() -> scenario_server& {
        return *servers_.at(step.text("server"));
    };
    const auto each = [&](const auto& work) {
        for (const auto& name : network_.expand(step.text("who"))) {
            work(name);
        }
    };
    if (verb == "cut") {
        network_.cut(step.text("a"), step.text("b"), step.flag("one_way"));
    } else if (verb == "heal") {
        if (step.has("a")) {
            network_.heal(step.text("a"), step.text("b", "*"));
        } else {
            network_.heal_all();
        }
    } else if (verb == "kill") {
        each([&](const auto& name) { stop_process(name); });
    } else if (verb == "restart") {
        restart(step);
    } else if (verb == "freeze") {
        each([&](const auto& name) { network_.freeze(name); });
    } else if (verb == "thaw") {
        each([&](const auto& name) { network_.thaw(name); });
    } else if (verb == "silence") {
        network_.silence(step.text("a"), step.text("b"));
    } else if (verb == "lag") {
        server().replication_lag = std::chrono::milliseconds(step.number("ms"));
    } else if (verb == "slow") {
        const auto time = std::chrono::milliseconds(step.number("ms"));
        (step.flag("queries") ? server().query_time : server().statement_time) =
            time;
    } else if (verb == "announce") {
        server().is_announcing = true;
        server().is_leaving = false;
    } else if (verb == "leave") {
        server().is_leaving = true;
        server().leaving_since = network_.now();
    } else if (verb == "rebuild") {
        const auto* const group = committed_state().find_group(
            group_id(group_names_.at(server().name())));
        const auto primary = group->primary->target.value();
        const auto is_possible = primary != server().name() &&
                                 network_.is_alive(primary) &&
                                 !servers_.at(primary)->is_in_recovery;
        if (is_possible) {
            server().copy_from(*servers_.at(primary));
            server().upstream = primary;
        }
    } else if (verb == "propose" || verb == "approve" || verb == "roll") {
        const auto value =
            make_bundle(step.number("version"), step.number("flavour"));
        const auto who = step.text("operator");
        const auto command = verb == "propose"   ? tests::propose(who, value)
                             : verb == "approve" ? tests::approve(who, value)
                                                 : tests::roll(who, value);
        submit_command(command, step.text("as", verb),
                       step.flag("lose_answer"));
    } else if (verb == "changes") {
        make_changes(step.number("count"));
    } else if (verb == "session") {
        auto& who = callers_[step.text("session")];
        who = caller{};
        who.name = step.text("session");
        who.proxy = step.text("proxy");
        who.group = group_of(step);
        open(who);
    } else if (verb == "move") {
        auto& who = callers_.at(step.text("session"));
        close(who);
        who.proxy = step.text("proxy");
        if (!step.flag("token", true)) {
            // Without its token it counts as a new session.
            who.token.clear();
        }
        open(who);
    } else if (verb == "write") {
        run_statement(step, statement_kind::write);
    } else if (verb == "read") {
        run_statement(step, statement_kind::read);
    } else if (verb == "begin") {
        run_statement(step, statement_kind::begin);
    } else if (verb == "commit") {
        run_statement(step, statement_kind::commit);
    } else if (verb == "load") {
        start_load(step);
    } else if (verb == "drain") {
        proxies_.at(step.text("proxy"))->drain();
    }
}

auto scenario_runner::group_of(const scenario_step& step) const -> group_id
{
    return group_id(step.text("group", deployment_.groups.front()));
}

auto scenario_runner::submit_command(const control_command& command,
                                     const std::string& label,
                                     bool is_answer_lost) -> void
{
    operator_answers_.erase(label);
    submit_command_to(0, command, label, std::make_shared<bool>(false),
                      std::make_shared<bool>(is_answer_lost));
}

auto scenario_runner::submit_command_to(
    std::size_t member, const control_command& command,
    const std::string& label, const std::shared_ptr<bool>& is_done,
    const std::shared_ptr<bool>& is_answer_lost) -> void
{
    const auto name = "c" + std::to_string(member % controls_.size());
    const auto is_redirected = std::make_shared<bool>(false);
    const auto link = network_.connect("operator", name);
    const auto on_answer = [=, this](const control_answer& answer) {
        network_.send(link, name, "operator", [=, this] {
            if (*is_done || *is_redirected) {
                return;
            }
            if (answer.is_redirect) {
                return;
            }
            if (std::exchange(*is_answer_lost, false)) {
                return;
            }
            *is_done = true;
            operator_answers_[label] = answer.result;
            const auto* const roll = std::get_if<roll_bundle_command>(&command);
            if (roll != nullptr && answer.result.is_ok()) {
                rolled_bundles_[roll->version] = roll->digest;
            }
        });
    };
    network_.send(link, "operator", name, [=, this] {
        controls_.at(name)->on_command(command, on_answer);
    });
    // Sends an unanswered command to the next control member.
    network_.schedule_after("operator", operator_retry_interval / 4, [=, this] {
        if (!*is_done) {
            *is_redirected = true;
            submit_command_to(member + 1, command, label, is_done,
                              is_answer_lost);
        }
    });
}

auto scenario_runner::make_changes(std::int64_t count) -> void
{
    auto* const control = leader();
    if (control == nullptr) {
        add_failure("no control leader accepts the changes");
        return;
    }
    const auto& [id, record] = *control->state().targets().begin();
    auto description = record.description;
    for (auto change = std::int64_t{0}; change < count; ++change) {
        description.slots = 2U + static_cast<std::uint32_t>(change % 2);
        control->on_command(
            report_targets_command{
                {{target_change_kind::announced, description}}},
            [](const control_answer&) {});
    }
}

auto run_scenario(const scenario& script, scenario_fault fault)
    -> std::vector<std::string>
{
    auto runner = scenario_runner(script.deployment, fault);
    runner.set_up();
    for (const auto& step : script.steps) {
        runner.run_until(step.at_ms);
        runner.apply(step);
    }
    runner.check_end();
    return runner.failures();
}

} // namespace rhubarbrun::tests
