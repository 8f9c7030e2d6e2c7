#include "load_main.hpp"

#include "load_client.hpp"
#include "load_record.hpp"
#include "target_arguments.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace rhubarbrun::bench {

namespace {

using steady = std::chrono::steady_clock;

struct load_options
{
    std::vector<std::string> proxies;
    std::string database;
    std::string run;
    std::size_t sessions = 10;
    std::chrono::seconds length{10};
    std::chrono::microseconds think_time{10000};
    std::chrono::milliseconds deadline{2000};
    std::int64_t write_percent = 50;
    std::int64_t report_percent = 0;
    std::int64_t max_age_ms = 0;
    bool has_keys = false;
    std::uint64_t seed = 1;
    std::string record;
};

enum class request_kind : std::uint8_t
{
    write,
    lookup,
    report,
};

/// What one session, or all of them, saw.
struct load_figures
{
    std::vector<write_entry> writes;
    std::array<std::vector<double>, 3> latencies_ms;
    std::vector<steady::time_point> acknowledged_at;
    std::map<std::string, std::uint64_t> verdicts;
    std::uint64_t missing_own_writes = 0;
    std::uint64_t late = 0;
    std::uint64_t connects = 0;
    std::uint64_t failed_connects = 0;

    auto add(load_figures other) -> void
    {
        const auto append = [](auto& to, const auto& from) {
            to.insert(to.end(), from.begin(), from.end());
        };
        append(writes, other.writes);
        append(acknowledged_at, other.acknowledged_at);
        for (auto kind = std::size_t{0}; kind < latencies_ms.size(); ++kind) {
            append(latencies_ms[kind], other.latencies_ms[kind]);
        }
        for (const auto& [name, count] : other.verdicts) {
            verdicts[name] += count;
        }
        missing_own_writes += other.missing_own_writes;
        late += other.late;
        connects += other.connects;
        failed_connects += other.failed_connects;
    }
};

auto outcome_name(const load_result& result) -> std::string
{
    if (result.outcome == verdict::ran && !result.code.empty()) {
        return "failed";
    }
    return std::string(to_string(result.outcome));
}

auto counter_key(const load_options& options, std::size_t session)
    -> std::string
{
    return options.run + "-c" + std::to_string(session);
}

/// One caller with its own connection and thread.
class load_session
{
public:
    load_session(const load_options& options, std::size_t number)
        : options_(options),
          number_(number),
          random_(options.seed * 1'000'003U + number),
          client_(options.proxies, number, options.database,
                  "-c rhubarbrun.deadline_ms=" +
                      std::to_string(options.deadline.count()) +
                      " -c rhubarbrun.max_age_ms=" +
                      std::to_string(options.max_age_ms))
    {
    }

    auto run(steady::time_point end) -> load_figures
    {
        while (steady::now() < end) {
            const auto connect_end = steady::now() + options_.deadline;
            if (!client_.connect(connect_end)) {
                ++figures_.failed_connects;
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                continue;
            }
            const auto draw = static_cast<std::int64_t>(random_() % 100U);
            if (draw < options_.write_percent) {
                write();
            } else if (draw < options_.write_percent + options_.report_percent)
            {
                report();
            } else {
                look_up();
            }
            // Spread evenly around the mean, so that sessions do not align.
            const auto mean =
                static_cast<std::uint64_t>(options_.think_time.count());
            const auto think = mean == 0 ? 0 : random_() % (2 * mean);
            std::this_thread::sleep_for(pause_ +
                                        std::chrono::microseconds(think));
            pause_ = std::chrono::milliseconds(0);
        }
        figures_.connects = client_.connect_count();
        return std::move(figures_);
    }

private:
    /// Switches between read-only and read-write; answered by the proxy.
    auto set_mode(bool is_read_only, steady::time_point deadline) -> bool
    {
        if (connection_ != client_.connect_count()) {
            connection_ = client_.connect_count();
            is_read_only_ = false;
        }
        if (is_read_only_ == is_read_only) {
            return true;
        }
        const auto result =
            client_.run(std::string("SET default_transaction_read_only = ") +
                            (is_read_only ? "on" : "off"),
                        deadline);
        if (result.is_good()) {
            is_read_only_ = is_read_only;
        }
        return result.is_good();
    }

    auto timed(request_kind kind, const std::string& text,
               steady::time_point start) -> load_result
    {
        // The proxy answers at the deadline; the margin covers the way back.
        auto result = client_.run(text, start + options_.deadline +
                                            std::chrono::seconds(1));
        const auto end = steady::now();
        ++figures_.verdicts[outcome_name(result)];
        if (result.is_good()) {
            const auto time =
                std::chrono::duration<double, std::milli>(end - start);
            figures_.latencies_ms[static_cast<std::size_t>(kind)].push_back(
                time.count());
            figures_.late += end - start > options_.deadline ? 1 : 0;
        }
        pause_ = std::min(result.retry_after, std::chrono::milliseconds(1000));
        return result;
    }

    auto write() -> void
    {
        constexpr auto order_percent = 70;
        constexpr auto most_attempts = 5;
        const auto is_order = random_() % 100U < order_percent;
        auto entry = write_entry{};
        entry.kind = is_order ? "order" : "count";
        const auto name = options_.run + "-" + std::to_string(number_) + "-" +
                          std::to_string(++count_);
        entry.key = is_order ? name : counter_key(options_, number_);
        const auto text =
            is_order ? "INSERT INTO orders (id, quantity) VALUES ('" + name +
                           "', " + std::to_string(random_() % 50U + 1) + ")"
                     : "UPDATE counters SET n = n + 1 WHERE id = '" +
                           entry.key + "'";
        auto result = load_result{};
        for (auto attempt = 0; attempt < most_attempts; ++attempt) {
            const auto start = steady::now();
            const auto limit = start + options_.deadline;
            if (!set_mode(false, limit) ||
                (options_.has_keys &&
                 !client_
                      .run("SET rhubarbrun.request_key = '" + name + "'", limit)
                      .is_good()))
            {
                // The write itself was not sent; an earlier attempt keeps its
                // verdict.
                continue;
            }
            const auto was_in_doubt = result.outcome == verdict::may_have_run;
            result = timed(request_kind::write, text, start);
            if (was_in_doubt && result.outcome == verdict::not_run) {
                // Only this attempt is known not to have run.
                result.outcome = verdict::may_have_run;
            }
            if (!options_.has_keys || result.outcome == verdict::ran) {
                break;
            }
        }
        entry.outcome = outcome_name(result);
        if (result.is_good()) {
            figures_.acknowledged_at.push_back(steady::now());
            last_order_ = is_order ? name : last_order_;
        }
        figures_.writes.push_back(std::move(entry));
    }

    auto look_up() -> void
    {
        const auto start = steady::now();
        if (last_order_.empty() || !set_mode(true, start + options_.deadline)) {
            return;
        }
        const auto result = timed(
            request_kind::lookup,
            "SELECT id FROM orders WHERE id = '" + last_order_ + "'", start);
        if (result.is_good() && result.values.size() != 1) {
            ++figures_.missing_own_writes;
        }
    }

    auto report() -> void
    {
        const auto start = steady::now();
        if (set_mode(true, start + options_.deadline)) {
            static_cast<void>(timed(request_kind::report,
                                    "SELECT count(*) FROM orders", start));
        }
    }

    const load_options& options_;
    std::size_t number_;
    std::mt19937_64 random_;
    load_client client_;
    load_figures figures_;
    std::string last_order_;
    std::uint64_t count_ = 0;
    std::size_t connection_ = 0;
    bool is_read_only_ = false;
    std::chrono::milliseconds pause_{0};
};

/// Creates the tables and one counter for each session.
auto prepare(const load_options& options) -> void
{
    auto client = load_client(options.proxies, 0, options.database, "");
    auto counters = std::string{};
    for (auto session = std::size_t{0}; session < options.sessions; ++session) {
        counters += (session == 0 ? "('" : ", ('") +
                    counter_key(options, session) + "', 0)";
    }
    const auto texts = std::array{
        std::string("CREATE TABLE IF NOT EXISTS orders (id text PRIMARY KEY, "
                    "quantity bigint)"),
        std::string("CREATE TABLE IF NOT EXISTS counters (id text PRIMARY KEY, "
                    "n bigint)"),
        "INSERT INTO counters (id, n) VALUES " + counters +
            " ON CONFLICT DO NOTHING"};
    constexpr auto most_attempts = 50;
    for (const auto& text : texts) {
        auto result = load_result{};
        for (auto attempt = 0; attempt < most_attempts && !result.is_good();
             ++attempt) {
            result = client.run(text, steady::now() + std::chrono::seconds(5));
            if (!result.is_good()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(200));
            }
        }
        if (!result.is_good()) {
            throw std::runtime_error("cannot prepare the tables: SQLSTATE " +
                                     result.code);
        }
    }
}

auto print_quantiles(const char* name, const std::vector<double>& samples)
    -> void
{
    namespace acc = boost::accumulators;
    constexpr auto probabilities = std::array{0.5, 0.95, 0.99};
    // A cache of all samples makes the quantiles exact.
    auto set =
        acc::accumulator_set<double,
                             acc::stats<acc::tag::max, acc::tag::mean,
                                        acc::tag::tail_quantile<acc::right>>>(
            acc::tag::tail<acc::right>::cache_size = samples.size());
    for (const auto sample : samples) {
        set(sample);
    }
    std::cout << "\"" << name << "\":{\"count\":" << samples.size();
    if (!samples.empty()) {
        std::cout << ",\"mean_ms\":" << acc::mean(set)
                  << ",\"max_ms\":" << acc::max(set);
    }
    // Fewer samples give no meaningful 99th percentile.
    constexpr auto least_samples = std::size_t{20};
    if (samples.size() >= least_samples) {
        for (const auto probability : probabilities) {
            std::cout << ",\"p" << std::lround(probability * 100) << "_ms\":"
                      << acc::quantile(set,
                                       acc::quantile_probability = probability);
        }
    }
    std::cout << "}";
}

/// Longest time without an acknowledged write, from `start` to `end`.
auto longest_gap(std::vector<steady::time_point> times,
                 steady::time_point start, steady::time_point end)
    -> std::int64_t
{
    std::sort(times.begin(), times.end());
    times.push_back(std::max(end, times.empty() ? end : times.back()));
    auto longest = steady::duration::zero();
    auto before = start;
    for (const auto time : times) {
        longest = std::max(longest, time - before);
        before = time;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest)
        .count();
}

auto run_sessions(const load_options& options) -> int
{
    prepare(options);
    auto all = load_figures{};
    auto mutex = std::mutex{};
    const auto start = steady::now();
    const auto end = start + options.length;
    auto threads = std::vector<std::thread>{};
    for (auto number = std::size_t{0}; number < options.sessions; ++number) {
        threads.emplace_back([&, number] {
            auto figures = load_session(options, number).run(end);
            const auto lock = std::scoped_lock(mutex);
            all.add(std::move(figures));
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    if (!options.record.empty()) {
        save_entries(options.record, all.writes);
    }
    std::cout << "{\"verdicts\":{";
    auto separator = "";
    for (const auto& [name, count] : all.verdicts) {
        std::cout << separator << "\"" << name << "\":" << count;
        separator = ",";
    }
    std::cout << "},\"missing_own_writes\":" << all.missing_own_writes
              << ",\"late\":" << all.late << ",\"connects\":" << all.connects
              << ",\"failed_connects\":" << all.failed_connects
              << ",\"acknowledged_writes\":" << all.acknowledged_at.size()
              << ",\"write_gap_ms\":"
              << longest_gap(std::move(all.acknowledged_at), start, end)
              << ",\"latency\":{";
    print_quantiles("write", all.latencies_ms[0]);
    std::cout << ",";
    print_quantiles("lookup", all.latencies_ms[1]);
    std::cout << ",";
    print_quantiles("report", all.latencies_ms[2]);
    std::cout << "}}" << std::endl;
    return all.missing_own_writes == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto run_check(const std::string& primary, const load_options& options) -> int
{
    auto client = load_client({primary}, 0, options.database, "");
    const auto read = [&](const std::string& text) {
        auto result =
            client.run(text, steady::now() + std::chrono::seconds(60));
        if (!result.is_good()) {
            throw std::runtime_error("cannot read the primary: SQLSTATE " +
                                     result.code);
        }
        return result.values;
    };
    const auto entries = load_entries(options.record);
    auto counters = std::map<std::string, std::int64_t>{};
    for (const auto& entry : entries) {
        if (entry.kind == "count" && !counters.contains(entry.key)) {
            const auto values =
                read("SELECT n FROM counters WHERE id = '" + entry.key + "'");
            counters[entry.key] =
                values.empty() ? 0
                               : std::strtoll(values[0].c_str(), nullptr, 10);
        }
    }
    const auto result =
        check_entries(entries, read("SELECT id FROM orders"), counters);
    std::cout << "{\"acknowledged\":" << result.acknowledged
              << ",\"lost\":" << result.lost
              << ",\"repeated\":" << result.repeated
              << ",\"refused_but_present\":" << result.refused_but_present
              << ",\"lost_counts\":" << result.lost_counts
              << ",\"repeated_counts\":" << result.repeated_counts << "}"
              << std::endl;
    return result.is_good() ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto read_options(argument_list& arguments) -> load_options
{
    auto options = load_options{};
    options.proxies = arguments.list("proxies");
    options.database = arguments.text("database", "orders");
    options.run = arguments.text("run", "run");
    options.sessions =
        static_cast<std::size_t>(arguments.number("sessions", 10));
    options.length = std::chrono::seconds(arguments.number("seconds", 10));
    options.think_time =
        std::chrono::microseconds(arguments.number("think_us", 10000));
    options.deadline =
        std::chrono::milliseconds(arguments.number("deadline_ms", 2000));
    options.write_percent = arguments.number("write_percent", 50);
    options.report_percent = arguments.number("report_percent", 0);
    options.max_age_ms = arguments.number("max_age_ms", 0);
    options.has_keys = arguments.number("keys", 0) != 0;
    options.seed = static_cast<std::uint64_t>(arguments.number("seed", 1));
    options.record = arguments.text("record", "");
    return options;
}

} // namespace

} // namespace rhubarbrun::bench

auto run_load(int argument_count, char** arguments) -> int
{
    using namespace rhubarbrun::bench;
    try {
        auto list = argument_list(argument_count, arguments);
        const auto mode = list.text("mode", "run");
        const auto primary = list.text("primary", "");
        const auto options = read_options(list);
        list.expect_all_used();
        if (mode == "check") {
            return run_check(primary, options);
        }
        if (mode != "run" || options.proxies.empty()) {
            throw std::invalid_argument("--mode must be run, with --proxies, "
                                        "or check, with --primary");
        }
        return run_sessions(options);
    } catch (const std::exception& error) {
        std::cerr << "rhubarbrun-bench load: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
