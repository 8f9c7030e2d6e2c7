#include "deployment.hpp"

// Another writer sends one ping that lacks a field and gives one another type,
// so that it names no server to use. What it names is a server of another
// installation with the same name of a service, which has data of its own. The
// servers of the deployment stay as they are.

namespace {

using namespace review;

constexpr auto writers = 4;
constexpr auto play_time = std::chrono::seconds(20);
/// From the first request to the ping.
constexpr auto ping_after = std::chrono::seconds(8);

struct tally
{
    std::atomic<int> sent = 0;
    std::atomic<int> succeeded = 0;
    /// Successes for reads and writes that only the stranger ran.
    std::atomic<int> strange_reads = 0;
    std::atomic<int> strange_writes = 0;
    /// Writes that the service's own primary acknowledged.
    std::atomic<int> own_writes = 0;
};

/// Writes and reads by turns on a `primary` route.
auto use(record_file& record, deployment& all, service& stranger, int number,
         clock::time_point until, tally& count) -> void
{
    auto self = consumer(record, "u" + std::to_string(number));
    const auto at = all.front(all.proxy(static_cast<std::size_t>(number % 2)));
    for (auto request = 0; clock::now() < until; ++request) {
        if (!self.is_open() && !self.start(at, "orders")) {
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        char id[32];
        std::snprintf(id, sizeof id, "%08x%08x", number, request);
        const auto is_read = request % 2 == 1;
        ++count.sent;
        const auto answer = self.ask(
            id, is_read ? "READ 7" : "WRITE 7 salt" + std::to_string(request),
            milliseconds(3000));
        if (answer.outcome == "COMPLETE") {
            ++count.succeeded;
            const auto is_own = !all.db->runs_of(id).empty();
            count.own_writes += is_own && !is_read ? 1 : 0;
            if (!is_own && !stranger.runs_of(id).empty()) {
                ++(is_read ? count.strange_reads : count.strange_writes);
                record.add(std::string("BROKEN STALE ") +
                           (is_read ? "read " : "write ") + id +
                           " ran at the stranger, whose log lacks " +
                           std::to_string(count.own_writes) +
                           " acknowledged commits; its consumer got success");
            }
        }
        std::this_thread::sleep_for(milliseconds(40));
    }
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
    auto stranger =
        service(record, "winter", "i-stranger", {all.strange_address()});
    stranger.start();
    all.start_all();
    if (!all.configure(desired_state(7), std::chrono::seconds(20)) ||
        !all.wait_ready(all.proxy(0), std::chrono::seconds(20)) ||
        !all.wait_ready(all.proxy(1), std::chrono::seconds(20)))
    {
        record.add("the deployment does not start");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto counts = tally();
    const auto first_request = clock::now();
    auto threads = std::vector<std::thread>();
    for (auto number = 1; number <= writers; ++number) {
        threads.emplace_back([&, number] {
            use(record, all, stranger, number, first_request + play_time,
                counts);
        });
    }
    std::this_thread::sleep_until(first_request + ping_after);
    if (is_troubled) {
        // `version` is missing and `coldLeftMs` is a text.
        const auto body =
            R"({"service":"winter","address":")" +
            all.strange_address().text() +
            R"(","zone":"almaty-a","capacity":5,"state":"ready",)"
            R"("coldLeftMs":"none","dbRole":"primary","born":1700000000000,)"
            R"("seqNo":1})";
        const auto answer = http(all.controls().front(), "PUT",
                                 "/api/instances/" + stranger.id_of(0), body);
        record.add("another writer sent " + body + ", answered " +
                   std::to_string(answer.status));
    }
    for (auto& each : threads) {
        each.join();
    }
    const auto summary =
        "requests " + std::to_string(counts.sent) + ", successes " +
        std::to_string(counts.succeeded) + ", writes at the own primary " +
        std::to_string(counts.own_writes) + ", at the stranger reads " +
        std::to_string(counts.strange_reads) + " and writes " +
        std::to_string(counts.strange_writes);
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    if (counts.own_writes == 0) {
        return 2;
    }
    return counts.strange_reads + counts.strange_writes > 0 ? 1 : 0;
}
