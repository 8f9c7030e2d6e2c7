#include "deployment.hpp"

// Consumers set values in their sessions and read. One of nine servers fails
// part of its requests for some seconds. A statement may run only where the
// values of the session are those that its consumer set.

namespace {

using namespace review;

constexpr auto readers = 8;
constexpr auto play_time = std::chrono::seconds(16);
/// The disruption, from the first request on.
constexpr auto first_failure = std::chrono::seconds(5);
constexpr auto failure_time = std::chrono::milliseconds(6300);
constexpr auto failed_share = 0.45;
/// The replica that fails requests.
constexpr auto grey_server = std::size_t{1};

struct tally
{
    std::atomic<int> sent = 0;
    std::atomic<int> succeeded = 0;
    std::atomic<int> broken = 0;
    std::atomic<int> failed = 0;
};

auto values_text(const std::map<std::string, std::string>& values)
    -> std::string
{
    auto text = std::string();
    for (const auto& [name, value] : values) {
        text += (text.empty() ? "" : " ") + name + '=' + value;
    }
    return text.empty() ? "-" : text;
}

auto read_on(record_file& record, deployment& all, int number,
             clock::time_point until, tally& count) -> void
{
    auto self = consumer(record, "u" + std::to_string(number));
    const auto at = all.front(all.proxy(static_cast<std::size_t>(number % 2)));
    for (auto request = 0; clock::now() < until; ++request) {
        char id[32];
        std::snprintf(id, sizeof id, "%08x%08x", number, request);
        if (!self.is_open()) {
            if (!self.start(at, "stock")) {
                std::this_thread::sleep_for(milliseconds(200));
                continue;
            }
            const auto office = "office" + std::to_string(number);
            if (self.ask(id, "SET office " + office, milliseconds(3000))
                    .outcome != "COMPLETE")
            {
                self.stop();
                continue;
            }
            self.values["office"] = office;
            ++request;
            std::snprintf(id, sizeof id, "%08x%08x", number, request);
        }
        ++count.sent;
        const auto answer = self.ask(
            id, "READ " + std::to_string(request % 100), milliseconds(5000));
        const auto is_success = answer.outcome == "COMPLETE";
        count.succeeded += is_success ? 1 : 0;
        for (const auto& each : all.db->runs_of(id)) {
            if (each.values != self.values) {
                ++count.broken;
                record.add("BROKEN PINNED request " + std::string(id) +
                           " ran at " + each.server + " with values " +
                           values_text(each.values) + " instead of " +
                           values_text(self.values) + "; its consumer got " +
                           answer.outcome + ' ' + answer.detail);
            }
        }
        std::this_thread::sleep_for(milliseconds(20));
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
    auto counts = tally();
    auto random = std::mt19937(7);
    auto random_mutex = std::mutex();
    auto first_request = clock::time_point::max();
    auto are_requests_sent = std::atomic<bool>(false);
    all.db->fate = [&](std::size_t server, const std::string&,
                       const std::string&) {
        if (!is_troubled || !are_requests_sent || server != grey_server) {
            return answer_fate::given;
        }
        const auto elapsed = clock::now() - first_request;
        if (elapsed < first_failure || elapsed > first_failure + failure_time) {
            return answer_fate::given;
        }
        const auto lock = std::lock_guard(random_mutex);
        if (std::uniform_real_distribution<>(0, 1)(random) >= failed_share) {
            return answer_fate::given;
        }
        ++counts.failed;
        return answer_fate::failed;
    };
    all.start_all();
    if (!all.configure(desired_state(7), std::chrono::seconds(20)) ||
        !all.wait_ready(all.proxy(0), std::chrono::seconds(20)) ||
        !all.wait_ready(all.proxy(1), std::chrono::seconds(20)))
    {
        record.add("the deployment does not start");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    first_request = clock::now();
    are_requests_sent = true;
    auto threads = std::vector<std::thread>();
    for (auto number = 1; number <= readers; ++number) {
        threads.emplace_back([&, number] {
            read_on(record, all, number, first_request + play_time, counts);
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    const auto summary =
        "requests " + std::to_string(counts.sent) + ", successes " +
        std::to_string(counts.succeeded) + ", failed at the server " +
        std::to_string(counts.failed) + ", runs with other values " +
        std::to_string(counts.broken);
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    if (counts.succeeded == 0 || (is_troubled && counts.failed == 0)) {
        return 2;
    }
    return counts.broken > 0 ? 1 : 0;
}
