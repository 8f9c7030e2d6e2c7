#include "deployment.hpp"

// One consumer of each proxy prepares statements of new shapes, runs each once
// and forgets it, one request at a time. The stand-in for the platform kills a
// process that uses more than the memory of its machine and starts it again.

namespace {

using namespace review;

constexpr auto proxies = std::size_t{2};
constexpr auto play_time = std::chrono::seconds(60);
constexpr auto shape_bytes = std::size_t{256} * 1024;
/// As the rule says: three times in the day on two machines at least.
constexpr auto most_ends = 3;
constexpr auto restart_delay = milliseconds(200);

/// Resident memory of a process in kilobytes; 0 if it has ended.
auto memory_of(pid_t id) -> std::size_t
{
    auto status = std::ifstream("/proc/" + std::to_string(id) + "/status");
    for (auto line = std::string(); std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtoul(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

/// A shape that is one word.
auto shape(int number) -> std::string
{
    auto text = "q" + std::to_string(number) + '_';
    text.resize(shape_bytes, 'c');
    return text;
}

struct tally
{
    int served = 0;
    int ends = 0;
    std::size_t most = 0;
};

auto use(record_file& record, deployment& all, node& at, bool is_troubled)
    -> tally
{
    auto count = tally{};
    auto self = consumer(record, "u-" + at.name());
    const auto limit = std::size_t{all.edge_memory_mb} * 1024;
    const auto until = clock::now() + play_time;
    const auto patience = std::chrono::seconds(5);
    for (auto round = 0; clock::now() < until && count.ends < most_ends;
         ++round) {
        if (!self.is_open() && !self.start(all.front(at), "stock")) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        char id[32];
        std::snprintf(id, sizeof id, "%016x", round);
        const auto prepared = self.ask(
            id, "PREPARE s1 READ " + shape(is_troubled ? round : 0), patience);
        const auto ran = self.ask(id, "EXECUTE s1 17", patience);
        static_cast<void>(self.ask(id, "CLOSE s1", patience));
        const auto is_served =
            prepared.outcome == "COMPLETE" && ran.outcome == "COMPLETE";
        count.served += is_served ? 1 : 0;
        const auto memory = memory_of(at.id());
        if (is_served) {
            count.most = std::max(count.most, memory);
        }
        if (round % 50 == 0 || memory > limit) {
            record.add(at.name() + " round " + std::to_string(round) +
                       " served " + std::to_string(count.served) +
                       " memory kB " + std::to_string(memory));
        }
        if ((is_served && memory > limit) || at.has_ended()) {
            ++count.ends;
            record.add("BROKEN " + at.name() + " uses " +
                       std::to_string(memory) + " kB, its machine has " +
                       std::to_string(limit) + "; it ends, time " +
                       std::to_string(count.ends));
            at.kill_and_wait();
            std::this_thread::sleep_for(restart_delay);
            all.start(at);
        }
    }
    self.stop();
    return count;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    if (count != 3) {
        return 2;
    }
    const auto is_troubled =
        std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") !=
        "0";
    auto record = record_file(arguments[1]);
    auto all = deployment(record, arguments[2], 3, proxies, 3);
    all.start_all();
    const auto is_configured =
        all.configure(desired_state(7), std::chrono::seconds(20));
    for (auto index = std::size_t{0}; index < proxies; ++index) {
        if (!is_configured ||
            !all.wait_ready(all.proxy(index), std::chrono::seconds(20)))
        {
            record.add("the deployment does not start");
            return 2;
        }
    }
    all.end_first_start();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto counts = std::vector<tally>(proxies);
    auto threads = std::vector<std::thread>();
    for (auto index = std::size_t{0}; index < proxies; ++index) {
        threads.emplace_back([&, index] {
            counts[index] = use(record, all, all.proxy(index), is_troubled);
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    auto summary = std::string();
    auto is_broken = true;
    auto served = 0;
    for (const auto& each : counts) {
        summary += "served " + std::to_string(each.served) + ", most memory " +
                   std::to_string(each.most) + " kB, ends " +
                   std::to_string(each.ends) + "; ";
        is_broken = is_broken && each.ends >= most_ends;
        served += each.served;
    }
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    if (served == 0) {
        return 2;
    }
    return is_broken ? 1 : 0;
}
