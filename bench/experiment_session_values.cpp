#include "experiment.hpp"
#include "experiment_statistics.hpp"

#include <rhubarbrun/coordination/session_relay.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

// What values of sessions cost: a statement is sent once its connection has the
// values of its session.

namespace rhubarbrun::bench {

namespace {

constexpr auto warm_time = time_point(std::chrono::seconds(5));
constexpr auto end_time = time_point(std::chrono::seconds(125));
constexpr auto tick_interval = duration(std::chrono::milliseconds(5));
constexpr auto position_interval = duration(std::chrono::milliseconds(200));
constexpr auto connect_time = duration(std::chrono::milliseconds(12));
constexpr auto work_time = duration(std::chrono::milliseconds(28));
constexpr auto mean_pause = duration(std::chrono::milliseconds(1000));
constexpr auto sessions = std::size_t{20};
constexpr auto write_share = 0.12;

/// One proxy before a primary and two replicas, one of them in another region.
class values_run
{
public:
    /// The first `with_values` sessions have a value each, all different ones.
    values_run(const deployment& place, std::uint64_t seed,
               std::size_t with_values)
        : place_(place),
          with_values_(with_values),
          events_(seed),
          relay_({zone_id("a"), {}}, make_hooks())
    {
        configure();
        events_.at(time_point(), [this] { tick(); });
        events_.at(time_point(), [this] { observe(); });
        for (auto index = std::size_t{0}; index < sessions; ++index) {
            start(session_id(index + 1));
        }
        events_.run_until(end_time);
    }

    [[nodiscard]] auto delays_of(bool has_values) const
        -> const delay_statistics&
    {
        return has_values ? valued_ : plain_;
    }
    [[nodiscard]] auto connections_per_thousand() const -> double
    {
        return 1000.0 * static_cast<double>(opened_) /
               static_cast<double>(std::max<std::size_t>(1, answered_));
    }
    [[nodiscard]] auto refused() const -> double
    {
        return static_cast<double>(refused_);
    }

private:
    struct server_connection
    {
        duration delay{};
        /// When the server is done with what it has.
        time_point free_at;
        transaction_status status = transaction_status::idle;
    };

    auto make_hooks() -> relay_hooks
    {
        auto hooks = relay_hooks{};
        hooks.reply = [this](session_id id, const relay_reply& reply) {
            on_reply(id, reply);
        };
        hooks.close_session = [](session_id) {
        };
        hooks.send = [this](connection_id id,
                            const std::vector<relay_statement>& statements) {
            for (const auto& each : statements) {
                serve(id, each);
            }
        };
        hooks.open = [this](connection_id id, const connection_order& order) {
            opened_ += events_.now() >= warm_time ? 1U : 0U;
            auto& added = connections_[id];
            added.delay = order.server.zone == zone_id("a")
                              ? place_.zone_delay
                              : place_.region_delay;
            events_.after(4 * added.delay + connect_time,
                          [this, id] { relay_.on_connected(now(), id); });
        };
        hooks.close = [](connection_id) {
        };
        return hooks;
    }

    auto configure() -> void
    {
        auto configuration = service_configuration{};
        configuration.version = 1;
        configuration.groups[group_id("g")] = {place_.connections, 0};
        auto route = database_route{};
        route.name = "route";
        route.database = database_id("db");
        route.group = group_id("g");
        route.consistency = read_consistency::read_your_writes;
        route.staleness_limit = std::chrono::milliseconds(2500);
        route.statement_timeout = std::chrono::seconds(1);
        route.latency_objective = std::chrono::seconds(1);
        add_route(configuration, route);
        relay_.set_configuration(
            now(),
            std::make_shared<const service_configuration>(configuration));
        relay_.set_process_count(place_.proxies);
        for (const auto* const name : {"p", "r", "s"}) {
            auto record = server_record{};
            record.id = target_id(name);
            record.group = group_id("g");
            record.address = "127.0.0.1:1";
            record.zone = zone_id(std::string_view(name) == "s" ? "b" : "a");
            record.role = std::string_view(name) == "p" ? server_role::primary
                                                        : server_role::replica;
            record.slots = place_.slots;
            record.sequence = 1;
            relay_.update_server(now(), record);
        }
    }

    auto start(session_id id) -> void
    {
        relay_.start_session(now(), id, database_id("db"));
        if (has_values(id)) {
            auto value = relay_statement{};
            value.step = relay_step::set_value;
            value.name = "n";
            value.text = std::to_string(id.value());
            is_setting_ = true;
            relay_.on_statement(now(), id, value);
            is_setting_ = false;
        }
        ask_later(id);
    }

    auto ask_later(session_id id) -> void
    {
        events_.after(events_.exponential(mean_pause), [this, id] {
            auto statement = relay_statement{};
            statement.id = "q";
            statement.step = events_.uniform() < write_share ? relay_step::write
                                                             : relay_step::read;
            statement.text = "item";
            asked_at_[id] = now();
            relay_.on_statement(now(), id, statement);
        });
    }

    auto on_reply(session_id id, const relay_reply& reply) -> void
    {
        if (is_setting_) {
            return;
        }
        if (now() >= warm_time) {
            ++answered_;
            refused_ += reply.is_success() ? 0U : 1U;
            (has_values(id) ? valued_ : plain_).add(now() - asked_at_[id]);
        }
        ask_later(id);
    }

    auto serve(connection_id id, const relay_statement& what) -> void
    {
        auto& at = connections_.at(id);
        const auto has_work =
            what.step == relay_step::read || what.step == relay_step::write;
        at.free_at = std::max(at.free_at, now() + at.delay) +
                     (has_work ? events_.exponential(work_time) : duration());
        if (what.step == relay_step::begin) {
            at.status = transaction_status::in_transaction;
        } else if (what.step == relay_step::rollback) {
            at.status = transaction_status::idle;
        }
        auto reply = relay_reply{};
        reply.detail = has_work ? "proof" : "-";
        reply.status = at.status;
        reply.position = log_position{term(1), log_offset(1)};
        events_.at(at.free_at + at.delay,
                   [this, id, reply] { relay_.on_reply(now(), id, reply); });
    }

    auto tick() -> void
    {
        relay_.tick(now());
        events_.after(tick_interval, [this] { tick(); });
    }

    /// Control reports the position of the primary.
    auto observe() -> void
    {
        relay_.on_position(now(), group_id("g"), now(),
                           {term(1), log_offset(1)});
        events_.after(position_interval, [this] { observe(); });
    }

    [[nodiscard]] auto has_values(session_id id) const -> bool
    {
        return id.value() <= with_values_;
    }
    [[nodiscard]] auto now() const -> time_point { return events_.now(); }

    deployment place_;
    std::size_t with_values_;
    simulation events_;
    std::map<connection_id, server_connection> connections_;
    std::map<session_id, time_point> asked_at_;
    bool is_setting_ = false;
    std::size_t opened_ = 0;
    std::size_t answered_ = 0;
    std::size_t refused_ = 0;
    delay_statistics plain_;
    delay_statistics valued_;
    session_relay relay_;
};

} // namespace

auto measure_session_values(const deployment& place, std::uint64_t seed,
                            report& results) -> void
{
    const auto none = values_run(place, seed, 0);
    const auto add = [&](const std::string& name, double value,
                         double baseline) {
        results.add(figure{std::string(place.name), "session_values_" + name,
                           value, "no_values", baseline, ""});
    };
    for (const auto& [count, suffix] :
         {std::pair{std::size_t{2}, "_tenth"}, std::pair{sessions / 2, "_half"},
          std::pair{sessions, "_all"}})
    {
        const auto run = values_run(place, seed, count);
        const auto& plain = none.delays_of(false);
        if (count < sessions) {
            add("mean_ms_without" + std::string(suffix),
                run.delays_of(false).mean(), plain.mean());
            add("p99_ms_without" + std::string(suffix),
                run.delays_of(false).p99(), plain.p99());
        }
        add("mean_ms_with" + std::string(suffix), run.delays_of(true).mean(),
            plain.mean());
        add("p99_ms_with" + std::string(suffix), run.delays_of(true).p99(),
            plain.p99());
        add("connections_per_1000" + std::string(suffix),
            run.connections_per_thousand(), none.connections_per_thousand());
        add("refused" + std::string(suffix), run.refused(), none.refused());
    }
}

} // namespace rhubarbrun::bench
