#include "deployment.hpp"

// A proxy is stopped and started again. A consumer that reaches it as soon as
// it listens sends the start of its session and a whole transaction ahead,
// message by message, and reads the answers afterwards. No write of the
// transaction may run outside of it.

namespace {

using namespace review;

constexpr auto proxies = std::size_t{4};
/// Stops of each proxy, one after the other.
constexpr auto rounds = 4;
/// Between the stops of two proxies.
constexpr auto roll_gap = std::chrono::seconds(2);
/// Nothing happens for longer than `stableWindowMs` before the first SIGTERM.
constexpr auto quiet_time = std::chrono::seconds(6);
/// Time that a process has to end after SIGTERM.
constexpr auto grace = std::chrono::seconds(6);
constexpr auto restart_delay = milliseconds(100);
/// Statements of a transaction, at most 12.
constexpr auto writes = 10;
/// After the start of the transaction, doubled after each other write: the
/// first configuration comes some milliseconds after the start, or much later.
constexpr auto first_gap = milliseconds(1);
/// Between two attempts to connect.
constexpr auto connect_gap = std::chrono::microseconds(200);

auto stop_and_start(record_file& record, deployment& all, node& at) -> bool
{
    record.add("SIGTERM " + at.name());
    at.signal(SIGTERM);
    const auto until = clock::now() + grace;
    while (!at.has_ended()) {
        if (clock::now() > until) {
            record.add(at.name() + " has not ended in time");
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    record.add(at.name() + " has ended");
    std::this_thread::sleep_for(restart_delay);
    all.start(at);
    return true;
}

auto id_of(int round, int number) -> std::string
{
    char id[32];
    std::snprintf(id, sizeof id, "%08x%08x", round, number);
    return id;
}

/// Sends one transaction ahead to a proxy that may just be starting. Returns
/// whether the proxy accepted the connection.
auto send_transaction(record_file& record, deployment& all, node& at, int round)
    -> bool
{
    auto link = connection();
    const auto until = clock::now() + grace;
    while (!(link = connection::open(all.front(at))).is_open()) {
        if (clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(connect_gap);
    }
    const auto send = [&](const std::string& message) {
        record.add("consumer sent " + message);
        link.send(message + "\r\n");
    };
    record.add("consumer sent STARTUP orders u1");
    link.send("STARTUP orders u1\r\n");
    send("QUERY " + id_of(round, 0) + " BEGIN");
    auto gap = first_gap;
    for (auto number = 1; number <= writes; ++number) {
        std::this_thread::sleep_for(gap);
        send("QUERY " + id_of(round, number) + " WRITE " +
             std::to_string(number) + " salt" + std::to_string(round));
        gap *= number % 2 == 0 ? 2 : 1;
    }
    send("QUERY " + id_of(round, writes + 1) + " COMMIT");
    // The answers, until none comes for longer than the route's timeout.
    while (const auto line = link.line(milliseconds(1500))) {
        record.add("consumer got " + *line);
    }
    link.send("TERMINATE\r\n");
    return true;
}

/// Writes of the transaction that ran outside of it.
auto count_outside(record_file& record, deployment& all, int round) -> int
{
    auto alone = 0;
    for (auto number = 1; number <= writes; ++number) {
        for (const auto& each : all.db->runs_of(id_of(round, number))) {
            if (!each.is_in_transaction) {
                ++alone;
                record.add("BROKEN PINNED write " + id_of(round, number) +
                           " ran at " + each.server +
                           " outside of its transaction and is kept");
            }
        }
    }
    return alone;
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
    std::this_thread::sleep_for(quiet_time);
    auto transactions = std::atomic<int>(0);
    auto outside = std::atomic<int>(0);
    auto torn = std::atomic<int>(0);
    const auto first_stop = clock::now();
    const auto roll = [&](std::size_t index) {
        auto& proxy = all.proxy(index);
        for (auto round = 1; round <= rounds; ++round) {
            const auto stops_before =
                static_cast<std::size_t>(round - 1) * proxies + index;
            std::this_thread::sleep_until(
                first_stop + static_cast<int>(stops_before) * roll_gap);
            if (is_troubled && !stop_and_start(record, all, proxy)) {
                return;
            }
            const auto number = static_cast<int>(index) * 100 + round;
            if (!send_transaction(record, all, proxy, number)) {
                continue;
            }
            ++transactions;
            const auto alone = count_outside(record, all, number);
            outside += alone;
            torn += alone > 0 ? 1 : 0;
        }
    };
    auto threads = std::vector<std::thread>();
    for (auto index = std::size_t{0}; index < proxies; ++index) {
        threads.emplace_back(roll, index);
    }
    for (auto& each : threads) {
        each.join();
    }
    const auto summary = "transactions " + std::to_string(transactions) +
                         ", torn " + std::to_string(torn) +
                         ", writes that ran outside of them " +
                         std::to_string(outside);
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    if (transactions == 0) {
        return 2;
    }
    return outside > 0 ? 1 : 0;
}
