#include <rhubarbrun/coordination/group_interest.hpp>
#include <rhubarbrun/coordination/position_watch.hpp>
#include <rhubarbrun/coordination/renewal_batch.hpp>
#include <rhubarbrun/coordination/update_pacing.hpp>
#include <rhubarbrun/protocol/text_compression.hpp>
#include <rhubarbrun/protocol/view_messages.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <set>
#include <string>
#include <vector>

// The pattern: as many groups of three servers as proxies, which grow together.
// What control costs a proxy must not grow with them.

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

constexpr auto members = std::size_t{5};
/// Groups that the sessions of one proxy read, however many there are.
constexpr auto groups_read = std::size_t{8};
constexpr auto request_interval = std::chrono::milliseconds(500);
constexpr auto announcement_interval = std::chrono::milliseconds(1200);
constexpr auto step = std::chrono::milliseconds(10);

struct control_costs
{
    /// Messages and bytes to one proxy until it knows all servers.
    std::size_t start_messages = 0;
    std::size_t start_bytes = 0;
    /// Bytes a second between a proxy and its member, both ways.
    std::size_t proxy_bytes = 0;
    /// Queries of one member to primaries a second.
    std::size_t queries = 0;
    /// Messages and bytes a second of one member to the leader.
    std::size_t renewal_messages = 0;
    std::size_t renewal_bytes = 0;
};

/// One of five members, with a fifth of the proxies, in virtual time.
class control_load
{
public:
    explicit control_load(std::size_t size)
        : size_(size),
          watch_([this](const server_record& primary, time_point asked_at) {
              ++costs_.queries;
              watch_.on_position(primary.group, asked_at,
                                 log_position{term(3), log_offset(100'000)});
          })
    {
        for (auto group = std::size_t{0}; group < size; ++group) {
            watch_.watch(group_of(group));
        }
    }

    auto run() -> control_costs
    {
        start();
        serve();
        return costs_;
    }

private:
    struct proxy
    {
        std::vector<group_id> reads = {};
        group_interest interest = {};
        std::vector<group_id> told = {};
    };

    static auto group_of(std::size_t number) -> group_id
    {
        return group_id("dispatch-" + std::to_string(1000 + number));
    }

    auto record_of(std::size_t number, std::uint64_t sequence) const
        -> server_record
    {
        auto record = server_record{};
        record.id =
            target_id("i-" + std::to_string(0x7f3a91c2 + number * 7919));
        record.group = group_of(number / 3);
        record.address = "10.128." + std::to_string(number / 250) + '.' +
                         std::to_string(number % 250) + ":8080";
        record.zone = zone_id("zone-" + std::to_string(number % 6));
        record.role =
            number % 3 == 0 ? server_role::primary : server_role::replica;
        record.started_at = 1'700'000'000'000 + number * 37;
        record.sequence = sequence;
        return record;
    }

    /// Every server announces itself for the first time.
    auto start() -> void
    {
        auto order = std::vector<std::size_t>(3 * size_);
        for (auto index = std::size_t{0}; index < order.size(); ++index) {
            order[index] = index;
        }
        std::shuffle(order.begin(), order.end(), random_);
        auto pacing = update_pacing();
        auto told = std::uint64_t{0};
        const auto push = [&] {
            if (!pacing.take_due(now_)) {
                return;
            }
            const auto changed =
                server_announcements{directory_.changed_since(told)};
            told = directory_.revision();
            ++costs_.start_messages;
            costs_.start_bytes +=
                encode(server_changes{compress_text(encode(changed))}).size();
        };
        const auto rounds = announcement_interval / step;
        for (auto round = 0; round < rounds + 20; ++round) {
            now_ += step;
            const auto end =
                std::min(order.size(), order.size() *
                                           static_cast<std::size_t>(round + 1) /
                                           static_cast<std::size_t>(rounds));
            for (; announced_ < end; ++announced_) {
                directory_.merge(now_, record_of(order[announced_], 1));
                pacing.note_change();
                push();
            }
            push();
        }
        CHECK(told == directory_.revision());
    }

    /// Proxies follow the member, and servers renew what they announced.
    auto serve() -> void
    {
        auto proxies =
            std::vector<proxy>(std::max(size_ / members, std::size_t{1}));
        for (auto& each : proxies) {
            auto reads = std::set<group_id>();
            while (reads.size() < groups_read) {
                reads.insert(group_of(random_() % size_));
            }
            each.reads.assign(reads.begin(), reads.end());
        }
        costs_.queries = 0;
        auto renewals = renewal_batch();
        auto bytes = std::size_t{0};
        constexpr auto seconds = 20;
        auto next_request = now_;
        for (const auto end = now_ + std::chrono::seconds(seconds); now_ < end;
             now_ += step)
        {
            watch_.tick(now_, directory_);
            if (now_ >= next_request) {
                next_request += request_interval;
                for (auto& each : proxies) {
                    bytes += ask(each);
                }
            }
            renew(renewals);
        }
        costs_.proxy_bytes = bytes / proxies.size() / seconds;
        costs_.queries /= seconds;
        costs_.renewal_messages /= seconds;
        costs_.renewal_bytes /= seconds;
    }

    /// One request of a proxy and its answer; returns their bytes.
    auto ask(proxy& from) -> std::size_t
    {
        for (const auto& group : from.reads) {
            from.interest.note(now_, group);
        }
        auto bytes = std::size_t{0};
        if (auto groups = from.interest.groups(now_); groups != from.told) {
            bytes += encode(view_subscription{groups, 0}).size();
            from.told = std::move(groups);
        }
        auto request = view_request{1, 7, {"10.1.0.8", {}}};
        auto update = view_update{};
        for (auto member = std::size_t{0}; member < members; ++member) {
            update.control_members.push_back({"10.1.0.11", "almaty"});
        }
        for (const auto& group : from.told) {
            watch_.want(now_, group);
            if (const auto* const known = watch_.find(now_, group)) {
                update.positions.push_back({group, known->position, 1});
            }
            request.report.sightings.push_back(
                {target_id("i-7f3a91c2"), 300, -1});
        }
        return bytes + encode(request).size() + encode(update).size();
    }

    /// A fifth of the servers renews at this member.
    auto renew(renewal_batch& renewals) -> void
    {
        const auto rounds =
            static_cast<std::size_t>(announcement_interval / step);
        const auto count = 3 * size_ / members;
        const auto end = count * (round_ % rounds + 1) / rounds;
        for (auto number = count * (round_ % rounds) / rounds; number < end;
             ++number) {
            const auto record = record_of(number, ++sequence_ + 1);
            CHECK(directory_.merge(now_, record) ==
                  server_directory::merge_result::renewed);
            renewals.add(record);
        }
        ++round_;
        if (const auto due = renewals.take_due(now_); !due.empty()) {
            ++costs_.renewal_messages;
            costs_.renewal_bytes +=
                encode(server_changes{
                           compress_text(encode(server_announcements{due}))})
                    .size();
        }
    }

    std::size_t size_;
    std::mt19937_64 random_{17};
    time_point now_ = time_point(std::chrono::hours(1));
    server_directory directory_;
    control_costs costs_;
    position_watch watch_;
    std::size_t announced_ = 0;
    std::size_t round_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace

TEST_CASE("control load: a proxy's cost does not grow with proxies and groups")
{
    const auto smallest = control_load(30).run();
    for (const auto size : {std::size_t{30}, std::size_t{100}, std::size_t{300},
                            std::size_t{540}})
    {
        CAPTURE(size);
        const auto costs = control_load(size).run();
        INFO("bytes a second ", costs.proxy_bytes);
        CHECK(costs.proxy_bytes < 5000);
        CHECK(costs.proxy_bytes <= smallest.proxy_bytes * 11 / 10);
    }
}

TEST_CASE("control load: a start costs a proxy a few messages, and each server "
          "a few bytes")
{
    for (const auto size : {std::size_t{30}, std::size_t{100}, std::size_t{300},
                            std::size_t{540}})
    {
        CAPTURE(size);
        const auto costs = control_load(size).run();
        INFO("messages ", costs.start_messages, ", bytes ", costs.start_bytes);
        // One in 100 ms, not one for each of the servers.
        CHECK(costs.start_messages <= 15);
        // Without compression a record has more than a hundred.
        CHECK(costs.start_bytes < 3 * size * 60 + 3000);
    }
}

TEST_CASE("control load: members ask for what is read and renew in batches")
{
    for (const auto size : {std::size_t{30}, std::size_t{100}, std::size_t{300},
                            std::size_t{540}})
    {
        CAPTURE(size);
        const auto costs = control_load(size).run();
        const auto proxies = size / members;
        // Each group that is read, about three times a second, and no other.
        CHECK(costs.queries <= 3 * std::min(size, proxies * groups_read));
        CHECK(costs.renewal_messages <= 5);
        // A third of the bytes that a record has.
        CHECK(costs.renewal_bytes < 3 * size / members * 40 + 2000);
    }
}

} // namespace rhubarbrun_tests
