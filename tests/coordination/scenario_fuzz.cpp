#include "scenario_fuzz.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace rhubarbrun::tests {

namespace {

constexpr auto sessions = std::array{"a", "b", "c"};
constexpr auto fault_phase_ms = std::int64_t{14000};
constexpr auto repair_at_ms = std::int64_t{15000};
/// Time for a repaired system to elect a leader, register proxies and assign
/// targets.
constexpr auto settling_time_ms = std::int64_t{4000};
/// Longer than the 3 s for which a leaving target may receive new work.
constexpr auto leaving_time_ms = std::int64_t{4000};
/// Latest start of the steps around a leaving target, so that both of the times
/// above end before the repair.
constexpr auto max_leave_at_ms = std::int64_t{5000};
constexpr auto final_write_at_ms = std::int64_t{30000};
constexpr auto end_at_ms = std::int64_t{36000};

class generator
{
public:
    explicit generator(std::uint64_t seed) : random_(seed)
    {
        script_.name = "random " + std::to_string(seed);
        auto& deployment = script_.deployment;
        deployment.seed = seed;
        deployment.groups = {"g0"};
        for (auto index = 0; index < 3; ++index) {
            const auto number = std::to_string(index);
            deployment.proxies.push_back({"p" + number, "z" + number, ""});
            deployment.servers.push_back({"s" + number, "z" + number, "g0"});
        }
    }

    auto run() -> scenario
    {
        for (const auto* const session : sessions) {
            add("session", {{"session", session}, {"proxy", proxy()}});
        }
        add("load", {{"every_ms", std::int64_t{40}},
                     {"for_ms", std::int64_t{fault_phase_ms}}});
        add("load", {{"every_ms", std::int64_t{90}},
                     {"for_ms", std::int64_t{fault_phase_ms}},
                     {"reads", true}});
        const auto leave_at =
            random_below(2) == 0 ? random_below(max_leave_at_ms) : end_at_ms;
        auto has_left = false;
        while (now_ < fault_phase_ms) {
            now_ += 20 + random_below(250);
            if (now_ >= leave_at && !std::exchange(has_left, true)) {
                leave();
            }
            if (random_below(3) == 0) {
                add_fault();
            } else {
                add_operation();
            }
        }
        repair();
        return script_;
    }

private:
    using values = std::map<std::string, scenario_step::value_type>;

    auto random_below(std::uint64_t limit) -> std::int64_t
    {
        return static_cast<std::int64_t>(random_() % limit);
    }

    auto name(const char* prefix) -> std::string
    {
        return prefix + std::to_string(random_below(3));
    }

    auto proxy() -> std::string { return name("p"); }

    auto any_process() -> std::string
    {
        static constexpr auto prefixes = std::array{"p", "s", "c"};
        return name(prefixes.at(static_cast<std::size_t>(random_below(3))));
    }

    auto session() -> std::string
    {
        return sessions.at(static_cast<std::size_t>(random_below(3)));
    }

    auto add(const std::string& verb, values keys, bool is_expectation = false)
        -> void
    {
        auto step = scenario_step{};
        step.at_ms = now_;
        step.verb = verb;
        step.is_expectation = is_expectation;
        step.line = static_cast<std::uint32_t>(script_.steps.size() + 1);
        step.values = std::move(keys);
        script_.steps.push_back(std::move(step));
    }

    auto add_fault() -> void
    {
        switch (random_below(16)) {
        case 0:
            kill(any_process());
            break;
        case 1:
        case 2:
            restart(any_process());
            break;
        case 14:
            drain(proxy());
            break;
        case 3:
            if (!std::exchange(has_wiped_, true)) {
                const auto who = name("c");
                add("restart", {{"who", who}, {"disk", false}});
                stopped_.erase(who);
            }
            break;
        case 4:
            add("freeze", {{"who", any_process()}});
            break;
        case 5:
            add("thaw", {{"who", "*"}});
            break;
        case 6:
            add("cut", {{"a", any_process()},
                        {"b", any_process()},
                        {"one_way", random_below(2) == 0}});
            break;
        case 7:
            add("cut", {{"a", any_process()}, {"b", "*"}});
            break;
        case 8:
        case 9:
            add("heal", {});
            break;
        case 10:
            add("silence", {{"a", any_process()}, {"b", any_process()}});
            break;
        default:
            add("lag", {{"server", name("s")}, {"ms", random_below(1500)}});
            break;
        }
        if (random_below(4) == 0) {
            add("rebuild", {{"server", name("s")}});
        }
    }

    auto kill(const std::string& who) -> void
    {
        add("kill", {{"who", who}});
        stopped_.insert(who);
    }

    auto restart(const std::string& who) -> void
    {
        add("restart", {{"who", who}});
        stopped_.erase(who);
        drained_.erase(who);
    }

    /// Drains a proxy only once, as a second signal would make it exit at once.
    auto drain(const std::string& who) -> void
    {
        if (drained_.insert(who).second) {
            add("drain", {{"proxy", who}});
        }
    }

    /// Makes a target leave. Its time limit holds only if the announcement can
    /// reach control and from there the proxies. All faults are therefore
    /// repaired first, and until the limit has passed only operations of
    /// sessions and possibly the drain of a proxy follow. The target remains
    /// leaving during the later steps and may return.
    auto leave() -> void
    {
        add("heal", {});
        add("thaw", {{"who", "*"}});
        for (const auto& who : std::set(stopped_)) {
            restart(who);
        }
        for (const auto& who : std::set(drained_)) {
            restart(who);
        }
        add_operations_until(now_ + settling_time_ms);
        const auto server = name("s");
        add("leave", {{"server", server}});
        if (random_below(2) == 0) {
            drain(proxy());
        }
        add_operations_until(now_ + leaving_time_ms);
        if (random_below(2) == 0) {
            add("announce", {{"server", server}});
        }
    }

    auto add_operations_until(std::int64_t end) -> void
    {
        while (now_ < end) {
            now_ += 20 + random_below(250);
            add_operation();
        }
    }

    auto add_operation() -> void
    {
        const auto who = session();
        const auto order = "o" + std::to_string(script_.steps.size());
        switch (random_below(12)) {
        case 9:
        case 10:
        case 11:
            write_and_move(who, order);
            break;
        case 0:
        case 1:
            add("write", {{"session", who}, {"order", order}});
            break;
        case 2:
            add("write",
                {{"session", who}, {"order", order}, {"key", "k" + order}});
            break;
        case 3:
        case 4:
            add("read", {{"session", who}});
            break;
        case 5:
            add("begin", {{"session", who}});
            break;
        case 6:
            add("commit", {{"session", who}});
            break;
        case 7:
            add("move", {{"session", who}, {"proxy", proxy()}});
            break;
        default:
            add_bundle_commands();
            break;
        }
    }

    /// Makes a session write, move to another proxy with its token and read.
    auto write_and_move(const std::string& who, const std::string& order)
        -> void
    {
        add("write", {{"session", who}, {"order", order}});
        now_ += 60 + random_below(100);
        add("move", {{"session", who}, {"proxy", proxy()}});
        for (auto count = 0; count < 3; ++count) {
            now_ += 10 + random_below(40);
            add("read", {{"session", who}});
        }
    }

    auto add_bundle_commands() -> void
    {
        if (random_below(4) == 0) {
            ++version_;
        }
        const auto flavour = random_below(2);
        add("propose", {{"operator", flavour == 0 ? "ann" : "bob"},
                        {"version", version_},
                        {"flavour", flavour}});
        add("approve", {{"operator", "cy"},
                        {"version", version_},
                        {"flavour", flavour},
                        {"lose_answer", random_below(2) == 0}});
        add("roll", {{"operator", "ann"},
                     {"version", version_},
                     {"flavour", flavour},
                     {"lose_answer", random_below(2) == 0}});
    }

    auto repair() -> void
    {
        now_ = repair_at_ms;
        add("heal", {});
        add("thaw", {{"who", "*"}});
        for (const auto* const prefix : {"c", "p", "s"}) {
            for (auto index = 0; index < 3; ++index) {
                const auto who = prefix + std::to_string(index);
                add("restart", {{"who", who}});
                if (*prefix == 's') {
                    add("announce", {{"server", who}});
                    add("lag", {{"server", who}, {"ms", std::int64_t{0}}});
                }
            }
        }
        for (now_ = repair_at_ms + 6000; now_ < final_write_at_ms; now_ += 4000)
        {
            for (auto index = 0; index < 3; ++index) {
                add("rebuild", {{"server", "s" + std::to_string(index)}});
            }
        }
        now_ = final_write_at_ms;
        add("session", {{"session", "last"}, {"proxy", proxy()}});
        add("write", {{"session", "last"}, {"order", "last"}});
        now_ = end_at_ms;
        add("verdict", {{"of", "last"}, {"is", "ran"}}, true);
        add("leader", {{"is", true}}, true);
    }

    std::mt19937_64 random_;
    scenario script_;
    std::int64_t now_ = 0;
    std::int64_t version_ = 2;
    bool has_wiped_ = false;
    /// Processes that were killed and proxies that were drained, as long as
    /// they have not been restarted.
    std::set<std::string> stopped_;
    std::set<std::string> drained_;
};

auto is_removable(const scenario_step& step) -> bool
{
    return step.at_ms < repair_at_ms && step.verb != "session";
}

} // namespace

auto make_random_scenario(std::uint64_t seed) -> scenario
{
    return generator(seed).run();
}

auto shrink(scenario failing, scenario_fault fault, int runs) -> scenario
{
    auto length = failing.steps.size() / 2;
    while (length > 0 && runs > 0) {
        auto has_shrunk = false;
        for (auto from = std::size_t{0};
             from + length <= failing.steps.size() && runs > 0; ++from)
        {
            auto shorter = failing;
            const auto first =
                shorter.steps.begin() + static_cast<std::ptrdiff_t>(from);
            const auto last = first + static_cast<std::ptrdiff_t>(length);
            if (!std::all_of(first, last, is_removable)) {
                continue;
            }
            shorter.steps.erase(first, last);
            --runs;
            if (!run_scenario(shorter, fault).empty()) {
                failing = std::move(shorter);
                has_shrunk = true;
                --from;
            }
        }
        if (!has_shrunk || length > 1) {
            length /= 2;
        }
    }
    return failing;
}

auto describe(const scenario& script, const std::vector<std::string>& failures)
    -> std::string
{
    auto out = "seed " + std::to_string(script.deployment.seed) + "\n";
    for (const auto& failure : failures) {
        out += failure + "\n";
    }
    for (const auto& step : script.steps) {
        out += "  { " + to_string(step) + " },\n";
    }
    return out;
}

} // namespace rhubarbrun::tests
