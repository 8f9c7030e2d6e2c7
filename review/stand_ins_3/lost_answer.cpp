#include "deployment.hpp"

// Consumers read from a `primary` route while the primary loses the answers of
// some requests that it ran. Every success has to carry the proof and the rows
// of a run of that very request.

namespace {

using namespace review;

constexpr auto readers = 6;
constexpr auto play_time = std::chrono::seconds(14);
/// The disruption, from the first request on.
constexpr auto first_loss = std::chrono::seconds(5);
constexpr auto loss_time = std::chrono::seconds(4);
constexpr auto lost_share = 0.2;

struct tally
{
    std::atomic<int> sent = 0;
    std::atomic<int> succeeded = 0;
    std::atomic<int> broken = 0;
    std::atomic<int> lost = 0;
};

auto read_on(record_file& record, deployment& all, int number,
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
        ++count.sent;
        const auto answer = self.ask(
            id, "READ " + std::to_string(request % 100), milliseconds(3000));
        if (answer.outcome == "COMPLETE") {
            ++count.succeeded;
            const auto runs = all.db->runs_of(id);
            const auto is_proven =
                std::any_of(runs.begin(), runs.end(), [&](const auto& each) {
                    return each.proof == answer.detail &&
                           each.rows == answer.rows;
                });
            if (!is_proven) {
                ++count.broken;
                record.add("BROKEN MIXED request " + std::string(id) +
                           " was answered with success, proof '" +
                           answer.detail + "', rows '" + answer.rows +
                           "', which no run of it had");
            }
        }
        std::this_thread::sleep_for(milliseconds(30));
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
                       const std::string& word) {
        const auto is_run = word == "READ" || word == "WRITE" ||
                            word == "EXECUTE" || word == "COMMIT";
        if (!is_troubled || !is_run || !are_requests_sent ||
            !all.db->is_primary(server))
        {
            return answer_fate::given;
        }
        const auto elapsed = clock::now() - first_request;
        if (elapsed < first_loss || elapsed > first_loss + loss_time) {
            return answer_fate::given;
        }
        const auto lock = std::lock_guard(random_mutex);
        if (std::uniform_real_distribution<>(0, 1)(random) >= lost_share) {
            return answer_fate::given;
        }
        ++counts.lost;
        return answer_fate::lost;
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
    record.add("requests " + std::to_string(counts.sent) + " successes " +
               std::to_string(counts.succeeded) + " answers lost " +
               std::to_string(counts.lost) + " successes without proof " +
               std::to_string(counts.broken));
    std::printf("requests %d, successes %d, answers lost %d, successes "
                "without proof %d\n",
                counts.sent.load(), counts.succeeded.load(), counts.lost.load(),
                counts.broken.load());
    if (counts.succeeded == 0 || (is_troubled && counts.lost == 0)) {
        return 2;
    }
    return counts.broken > 0 ? 1 : 0;
}
