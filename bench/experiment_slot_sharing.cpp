#include "experiment.hpp"
#include "experiment_server.hpp"
#include "experiment_statistics.hpp"

#include <rhubarbrun/coordination/admission.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbrun::bench {

namespace {

constexpr auto warm_time = duration(std::chrono::seconds(5));
constexpr auto run_time = duration(std::chrono::seconds(60));
constexpr auto half_service = duration(std::chrono::milliseconds(3));
/// A proxy gives a leased slot back after this time, or when it is idle.
constexpr auto slot_lease = duration(std::chrono::milliseconds(50));
/// A proxy that finds the target overloaded pauses for this time, doubled at
/// each further refusal.
constexpr auto first_back_off = duration(std::chrono::milliseconds(5));
constexpr auto most_doublings = 6;

/// Counts the statements at a target, and what waits for it anywhere.
class slot_meter
{
public:
    slot_meter(simulation& events, std::uint32_t slots)
        : events_(events), slots_(slots)
    {
    }

    auto on_arrival() -> void { change(waiting_, 1); }

    auto on_started(time_point arrived) -> void
    {
        change(waiting_, -1);
        change(running_, 1);
        if (is_warm()) {
            delays_.add(events_.now() - arrived);
        }
    }

    auto on_finished() -> void { change(running_, -1); }

    [[nodiscard]] auto running() const -> int { return running_; }
    [[nodiscard]] auto delays() const -> const delay_statistics&
    {
        return delays_;
    }

    /// Share of the time in which more statements run than there are slots.
    [[nodiscard]] auto overrun_share() const -> double
    {
        return overrun_ / to_seconds(run_time);
    }

    /// Share of all slot time that is idle while something waits.
    [[nodiscard]] auto idle_share() const -> double
    {
        return idle_ / to_seconds(run_time) / slots_;
    }

private:
    [[nodiscard]] auto is_warm() const -> bool
    {
        return events_.now() >= time_point(warm_time);
    }

    auto change(int& count, int difference) -> void
    {
        const auto elapsed = to_seconds(events_.now() - last_);
        const auto free = static_cast<int>(slots_) - running_;
        if (is_warm() && free < 0) {
            overrun_ += elapsed;
        }
        if (is_warm() && free > 0) {
            idle_ += elapsed * std::min(free, waiting_);
        }
        last_ = events_.now();
        count += difference;
    }

    simulation& events_;
    std::uint32_t slots_;
    int waiting_ = 0;
    int running_ = 0;
    time_point last_;
    double overrun_ = 0;
    double idle_ = 0;
    delay_statistics delays_;
};

/// A statement that waits at a proxy.
struct waiting_job
{
    time_point arrived;
    duration service{};
};

/// Proxies that share the slots of one target in some way.
class sharing_run
{
public:
    sharing_run(const deployment& place, std::uint64_t seed)
        : place_(place), events_(seed), meter_(events_, place.slots)
    {
    }
    sharing_run(const sharing_run&) = delete;
    auto operator=(const sharing_run&) -> sharing_run& = delete;
    virtual ~sharing_run() = default;

    auto run(double demand) -> const slot_meter&
    {
        const auto rate = demand * place_.slots / to_seconds(2 * half_service);
        const auto end = time_point(warm_time + run_time);
        events_.arrivals(rate, end, [this] {
            const auto proxy =
                static_cast<std::uint32_t>(events_.random() % place_.proxies);
            meter_.on_arrival();
            on_arrival(proxy,
                       {events_.now(),
                        half_service + events_.exponential(half_service)});
        });
        events_.run_until(end);
        return meter_;
    }

protected:
    virtual auto on_arrival(std::uint32_t proxy, waiting_job work) -> void = 0;

    /// Runs `work` at the target, then calls `done`.
    auto execute(const waiting_job& work, std::function<void()> done) -> void
    {
        meter_.on_started(work.arrived);
        events_.after(work.service, [this, done = std::move(done)] {
            meter_.on_finished();
            done();
        });
    }

    [[nodiscard]] auto place() const -> const deployment& { return place_; }
    [[nodiscard]] auto events() -> simulation& { return events_; }
    [[nodiscard]] auto meter() -> slot_meter& { return meter_; }

private:
    deployment place_;
    simulation events_;
    slot_meter meter_;
};

/// All statements are forwarded to one owner with the real queue.
class owner_run : public sharing_run
{
public:
    owner_run(const deployment& place, std::uint64_t seed)
        : sharing_run(place, seed),
          queue_({place.slots, place.connections, 0, 0, 0, 0}, make_options())
    {
    }

private:
    static auto make_options() -> admission_options
    {
        // All three ways serve everything, so that their delays compare.
        auto options = admission_options{};
        options.use_deadlines = false;
        options.queue_length = 1'000'000;
        return options;
    }

    auto on_arrival(std::uint32_t proxy, waiting_job work) -> void override
    {
        events().after(place().zone_delay, [this, proxy, work] {
            ticket_ = ticket_.next();
            auto request = admission_request{};
            request.ticket = ticket_;
            request.estimate = {statement_length::short_running,
                                2 * half_service};
            request.caller = std::to_string(proxy);
            jobs_.emplace(ticket_, work);
            if (std::holds_alternative<admitted_now>(
                    queue_.offer(events().now(), std::move(request))))
            {
                start(ticket_);
            }
        });
    }

    auto start(admission_ticket ticket) -> void
    {
        const auto node = jobs_.extract(ticket);
        const auto service = node.mapped().service;
        execute(node.mapped(), [this, ticket, service] {
            queue_.on_finished(events().now(), ticket, service);
            while (const auto next = queue_.start_next(events().now())) {
                start(*next);
            }
        });
    }

    admission_queue queue_;
    admission_ticket ticket_;
    std::unordered_map<admission_ticket, waiting_job> jobs_;
};

/// A coordinator leases slots to proxies that ask for them, in turn.
class leased_run : public sharing_run
{
public:
    leased_run(const deployment& place, std::uint64_t seed)
        : sharing_run(place, seed), proxies_(place.proxies), free_(place.slots)
    {
    }

private:
    struct proxy_state
    {
        std::deque<waiting_job> waiting;
        /// Slots asked for or held.
        std::size_t claims = 0;
    };

    auto on_arrival(std::uint32_t proxy, waiting_job work) -> void override
    {
        auto& state = proxies_.at(proxy);
        state.waiting.push_back(work);
        if (state.claims <
            std::min<std::size_t>(state.waiting.size(), place().slots)) {
            ++state.claims;
            ask(proxy);
        }
    }

    auto ask(std::uint32_t proxy) -> void
    {
        events().after(place().zone_delay, [this, proxy] {
            asking_.push_back(proxy);
            grant();
        });
    }

    auto grant() -> void
    {
        while (free_ > 0 && !asking_.empty()) {
            --free_;
            const auto proxy = asking_.front();
            asking_.pop_front();
            events().after(place().zone_delay, [this, proxy] {
                use(proxy, events().now() + slot_lease);
            });
        }
    }

    auto use(std::uint32_t proxy, time_point lease_end) -> void
    {
        auto& state = proxies_.at(proxy);
        if (state.waiting.empty() || events().now() >= lease_end) {
            --state.claims;
            if (state.claims <
                std::min<std::size_t>(state.waiting.size(), place().slots)) {
                ++state.claims;
                ask(proxy);
            }
            events().after(place().zone_delay, [this] {
                ++free_;
                grant();
            });
            return;
        }
        const auto work = state.waiting.front();
        state.waiting.pop_front();
        execute(work, [this, proxy, lease_end] { use(proxy, lease_end); });
    }

    std::vector<proxy_state> proxies_;
    std::deque<std::uint32_t> asking_;
    std::uint32_t free_;
};

/// Each proxy sends one statement at a time by itself, and pauses when the
/// target turns out to be overloaded.
class uncoordinated_run : public sharing_run
{
public:
    uncoordinated_run(const deployment& place, std::uint64_t seed)
        : sharing_run(place, seed), proxies_(place.proxies)
    {
    }

private:
    struct proxy_state
    {
        std::deque<waiting_job> waiting;
        bool is_busy = false;
        int doublings = 0;
    };

    auto on_arrival(std::uint32_t proxy, waiting_job work) -> void override
    {
        proxies_.at(proxy).waiting.push_back(work);
        send(proxy);
    }

    auto send(std::uint32_t proxy) -> void
    {
        auto& state = proxies_.at(proxy);
        if (state.is_busy || state.waiting.empty()) {
            return;
        }
        state.is_busy = true;
        events().after(place().zone_delay, [this, proxy] { reach(proxy); });
    }

    /// The target takes what it gets; a proxy that sees more running than
    /// slots, from the time its statement took, pauses before the next one.
    auto reach(std::uint32_t proxy) -> void
    {
        auto& state = proxies_.at(proxy);
        const auto work = state.waiting.front();
        state.waiting.pop_front();
        const auto is_overrun =
            meter().running() >= static_cast<int>(place().slots);
        execute(work, [this, proxy, is_overrun] {
            events().after(place().zone_delay, [this, proxy, is_overrun] {
                pause(proxy, is_overrun);
            });
        });
    }

    auto pause(std::uint32_t proxy, bool is_overrun) -> void
    {
        auto& state = proxies_.at(proxy);
        auto wait = duration{};
        if (is_overrun) {
            wait =
                events().exponential(first_back_off * (1 << state.doublings));
            state.doublings = std::min(state.doublings + 1, most_doublings);
        } else {
            state.doublings = 0;
        }
        events().after(wait, [this, proxy] {
            proxies_.at(proxy).is_busy = false;
            send(proxy);
        });
    }

    std::vector<proxy_state> proxies_;
};

} // namespace

auto measure_slot_sharing(const deployment& place, std::uint64_t seed,
                          report& results) -> void
{
    constexpr auto percent = 100;
    const auto name = std::string(place.name);
    for (const auto demand : {0.5, 0.8, 0.9}) {
        auto owner = owner_run(place, seed);
        auto leased = leased_run(place, seed);
        auto uncoordinated = uncoordinated_run(place, seed);
        const auto& own = owner.run(demand);
        const auto suffix =
            "_" + std::to_string(std::lround(demand * percent)) + "_percent";
        const auto compare = [&](const std::string& other,
                                 const slot_meter& meter) {
            const auto add = [&](const std::string& what, double value,
                                 double baseline) {
                results.add(figure{name, what + suffix + "_against_" + other,
                                   value, other, baseline, ""});
            };
            add("slot_wait_mean_ms", own.delays().mean(),
                meter.delays().mean());
            add("slot_wait_p99_ms", own.delays().p99(), meter.delays().p99());
            add("slot_overrun_share", own.overrun_share(),
                meter.overrun_share());
            add("slot_idle_while_waiting_share", own.idle_share(),
                meter.idle_share());
        };
        compare("leased", leased.run(demand));
        compare("uncoordinated", uncoordinated.run(demand));
    }
}

} // namespace rhubarbrun::bench
