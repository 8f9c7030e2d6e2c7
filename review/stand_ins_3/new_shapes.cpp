#include "deployment.hpp"

// One consumer prepares statements of new shapes, runs each once and forgets
// it, one request at a time. The process that serves it has to stay inside the
// memory of its machine.

namespace {

using namespace review;

constexpr auto rounds = 1600;
constexpr auto shape_bytes = std::size_t{256} * 1024;

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

/// A shape that is a word of the usual length of one message.
auto shape(int number) -> std::string
{
    auto text = "q" + std::to_string(number) + '_';
    text.resize(shape_bytes, 'c');
    return text;
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
    auto all = deployment(record, arguments[2], 3, 2, 3);
    all.start_all();
    auto& proxy = all.proxy(0);
    if (!all.configure(desired_state(7), std::chrono::seconds(20)) ||
        !deployment::wait_ready(proxy, std::chrono::seconds(20)))
    {
        record.add("the deployment does not start");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto self = consumer(record, "u1");
    if (!self.start(deployment::front(proxy), "stock")) {
        return 2;
    }
    const auto limit = std::size_t{all.edge_memory_mb} * 1024;
    auto most = std::size_t{0};
    auto served = 0;
    auto is_ended = false;
    for (auto round = 0; round < rounds && most <= limit && !is_ended; ++round)
    {
        char id[32];
        std::snprintf(id, sizeof id, "%016x", round);
        const auto name = shape(is_troubled ? round : 0);
        if (!self.is_open() && !self.start(deployment::front(proxy), "stock")) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        const auto patience = std::chrono::seconds(10);
        const auto prepared = self.ask(id, "PREPARE s1 READ " + name, patience);
        const auto ran = self.ask(id, "EXECUTE s1 17", patience);
        static_cast<void>(self.ask(id, "CLOSE s1", patience));
        served +=
            prepared.outcome == "COMPLETE" && ran.outcome == "COMPLETE" ? 1 : 0;
        if (round % 20 == 0 || is_ended) {
            const auto now = memory_of(proxy.id());
            most = std::max(most, now);
            is_ended = proxy.has_ended();
            record.add("round " + std::to_string(round) + " served " +
                       std::to_string(served) + " proxy memory kB " +
                       std::to_string(now));
        }
    }
    const auto is_broken = most > limit || is_ended;
    if (is_broken) {
        record.add("BROKEN the proxy needs " + std::to_string(most) +
                   " kB; its machine has " + std::to_string(limit) +
                   (is_ended ? "; it has ended" : "; it would be killed"));
    }
    std::printf("served %d, most memory %zu kB of %zu kB, ended %d\n", served,
                most, limit, is_ended ? 1 : 0);
    if (served == 0) {
        return 2;
    }
    return is_broken ? 1 : 0;
}
