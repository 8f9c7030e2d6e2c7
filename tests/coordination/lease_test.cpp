#include "lease_test_access.hpp"

#include <rhubarbrun/coordination/lease_holder.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <deque>
#include <vector>

using namespace rhubarbrun;
using namespace std::chrono_literals;

namespace {

const auto self = proxy_identity{proxy_id("p"), incarnation(1)};
constexpr auto lease = duration(1500ms);

/// A clock with its own origin and a rate error in parts of 1,000.
struct skewed_clock
{
    std::int64_t per_mille;
    duration zero;

    [[nodiscard]] auto at(duration real) const -> time_point
    {
        return time_point(zero + real + real * per_mille / 1000);
    }
};

struct event
{
    int kind;
    std::int64_t wait_ms;
};

auto show(const event& value, std::ostream& out) -> void
{
    out << value.kind << "+" << value.wait_ms;
}

/// Simulates a holder and a leader with separate clocks, and a network that
/// delays, reorders and loses messages.
class world
{
public:
    world(std::int64_t holder_rate, std::int64_t leader_rate)
        : holder_clock_{holder_rate, 7s},
          leader_clock_{leader_rate, 900s},
          holder_(self, holder_clock_.at(0s))
    {
        table_.start_leading(leader_clock_.at(0s), lease, {self}, log_index(1));
    }

    /// Returns whether the holder treats its lease as valid only while the
    /// leader treats it as live.
    auto step(const event& value, duration shortened_by) -> bool
    {
        for (auto i = 0; i < value.wait_ms; i += 5) {
            real_ += 5ms;
            (void)table_.take_expired(leader_clock_.at(real_));
            if (!is_safe()) {
                return false;
            }
        }
        switch (value.kind) {
        case 0:
        case 1:
        case 2:
            requests_.push_back(
                holder_.make_request(holder_clock_.at(real_), index_));
            break;
        case 3:
        case 4:
        case 5:
            answer_request(shortened_by);
            break;
        case 6:
        case 7:
        case 8:
            deliver_answer();
            break;
        case 9:
            // A new leader with another clock takes over.
            leader_clock_.zero += 50s;
            table_.start_leading(leader_clock_.at(real_), lease, {self},
                                 index_);
            break;
        default:
            // The proxy's targets were reassigned and its directory shows it.
            index_ = index_.next();
            table_.settle(self, index_);
            break;
        }
        return is_safe();
    }

    int grants = 0;

private:
    [[nodiscard]] auto is_safe() const -> bool
    {
        return !holder_.holds_at(holder_clock_.at(real_)) ||
               table_.is_live(self);
    }

    auto answer_request(duration shortened_by) -> void
    {
        if (!requests_.empty()) {
            // Some messages are lost or reordered.
            const auto request = requests_.back();
            requests_.pop_back();
            answers_.push_back(table_.renew(leader_clock_.at(real_), lease,
                                            true, request, index_));
            if (shortened_by > 0ms) {
                detail::lease_test_access::shorten(table_, shortened_by);
            }
        }
    }

    auto deliver_answer() -> void
    {
        if (!answers_.empty()) {
            const auto outcome = holder_.on_grant(holder_clock_.at(real_),
                                                  answers_.front(), index_);
            answers_.pop_front();
            grants += outcome == grant_outcome::extended ? 1 : 0;
        }
    }

    skewed_clock holder_clock_;
    skewed_clock leader_clock_;
    duration real_{};
    log_index index_{1};
    lease_table table_;
    lease_holder holder_;
    std::vector<lease_request> requests_;
    std::deque<lease_answer> answers_;
};

auto any_events() -> std::vector<event>
{
    return *rc::gen::container<std::vector<event>>(
        200, rc::gen::construct<event>(rc::gen::inRange(0, 11),
                                       rc::gen::inRange<std::int64_t>(0, 400)));
}

} // namespace

TEST_CASE("a holder never believes in a lease that the leader has expired")
{
    auto grants = 0;
    CHECK(rc::check([&] {
        // Rates that differ by 1% in the end, which the margin allows for.
        auto run = world(*rc::gen::inRange(-5, 6), *rc::gen::inRange(-5, 6));
        for (const auto& value : any_events()) {
            RC_ASSERT(run.step(value, 0ms));
        }
        grants += run.grants;
    }));
    CHECK(grants > 500);
}

TEST_CASE("the check notices a leader that counts leases too short")
{
    auto run = world(0, 0);
    auto is_safe = true;
    for (auto i = 0; i < 10; ++i) {
        for (const auto kind : {0, 3, 6}) {
            is_safe = is_safe && run.step({kind, 10}, 200ms);
        }
    }
    is_safe = is_safe && run.step({6, 1400}, 200ms);
    CHECK_FALSE(is_safe);
}

TEST_CASE("without the leader lease nothing is granted")
{
    auto table = lease_table{};
    const auto now = time_point(10s);
    const auto request = lease_request{self, 0, log_index(1)};
    CHECK(table.renew(now, lease, true, request, log_index(1)).status ==
          lease_status::not_leading);
    table.start_leading(now, lease, {self}, log_index(1));
    CHECK(table.renew(now, lease, false, request, log_index(1)).status ==
          lease_status::not_leading);
    CHECK(table.renew(now, lease, true, request, log_index(1)).status ==
          lease_status::granted);
    const auto other = lease_request{{proxy_id("q"), incarnation(1)}, 0, {}};
    CHECK(table.renew(now, lease, true, other, log_index(1)).status ==
          lease_status::unknown_proxy);
}

TEST_CASE("a new leader waits for the leases of its predecessor")
{
    auto table = lease_table{};
    table.start_leading(time_point(10s), 2500ms, {self}, log_index(5));
    CHECK(table.take_expired(time_point(12499ms)).empty());
    CHECK(table.take_expired(time_point(12500ms)).size() == 1);
    CHECK(table.take_expired(time_point(13s)).empty());
}

TEST_CASE("an expired lease returns only after settling and catching up")
{
    auto table = lease_table{};
    auto holder = lease_holder(self, time_point(0s));
    table.start_leading(time_point(0s), lease, {self}, log_index(1));
    const auto expired = table.take_expired(time_point(2s));
    REQUIRE(expired.size() == 1);
    const auto now = time_point(3s);
    const auto request = holder.make_request(now, log_index(1));
    CHECK(table.renew(now, lease, true, request, log_index(7)).status ==
          lease_status::reassigning);
    table.settle(self, log_index(8));
    const auto answer = table.renew(now, lease, true, request, log_index(9));
    CHECK(answer.status == lease_status::granted);
    // A directory from before the reassignment would still name this proxy.
    CHECK(holder.on_grant(now, answer, log_index(7)) ==
          grant_outcome::directory_behind);
    CHECK_FALSE(holder.holds_at(now));
    CHECK(holder.on_grant(now, answer, log_index(8)) ==
          grant_outcome::extended);
    CHECK(holder.holds_at(now));
}

TEST_CASE("a shorter lease in a new bundle does not cut granted ones")
{
    auto table = lease_table{};
    table.start_leading(time_point(0s), 1500ms, {self}, log_index(1));
    (void)table.renew(time_point(0s), 300ms, true, {self, 0, log_index(1)},
                      log_index(1));
    CHECK(table.take_expired(time_point(1499ms)).empty());
}

TEST_CASE("a proxy is not ready after 3 s without control")
{
    auto holder = lease_holder(self, time_point(0s));
    CHECK(holder.has_contact(time_point(2999ms), 3s));
    CHECK_FALSE(holder.has_contact(time_point(3s), 3s));
    auto answer = lease_answer{
        self, lease_status::granted, 4'000'000, 1'500'000, {}, {}, {}};
    CHECK(holder.on_grant(time_point(4s), answer, log_index(1)) ==
          grant_outcome::extended);
    CHECK(holder.has_contact(time_point(6s), 3s));
    CHECK(holder.valid_until() == time_point(5485ms));
    // A late answer to an earlier request changes nothing.
    answer.sent_at_us = 3'000'000;
    CHECK(holder.on_grant(time_point(5s), answer, log_index(1)) ==
          grant_outcome::ignored);
    holder.abandon();
    CHECK_FALSE(holder.holds_at(time_point(4s)));
}

// Guards against an owner that counts crashed proxies as live, or itself as
// one of the other proxies.
TEST_CASE("a grant counts the other proxies whose leases have not run out")
{
    auto table = lease_table{};
    const auto second = proxy_identity{proxy_id("q"), incarnation(1)};
    const auto third = proxy_identity{proxy_id("r"), incarnation(1)};
    const auto later_self = proxy_identity{self.id, self.run.next()};
    table.start_leading(time_point(0s), lease, {self, second, third},
                        log_index(1));
    table.admit(time_point(0s), lease, later_self, log_index(1));
    const auto renew = [&](time_point now, const proxy_identity& proxy) {
        return table.renew(now, lease, true, {proxy, 0, log_index(1)},
                           log_index(1));
    };
    // A restarted proxy counts twice until its former lease has expired.
    CHECK(renew(time_point(1s), second).live_others == 3);
    const auto answer = renew(time_point(1s), later_self);
    CHECK(answer.live_others == 2);
    // The third lease has run out, before and after it was taken as expired.
    const auto now = time_point(0s) + lease;
    CHECK(renew(now, later_self).live_others == 1);
    CHECK(table.take_expired(now).size() == 2);
    CHECK(renew(now, later_self).live_others == 1);

    auto holder = lease_holder(later_self, time_point(0s));
    CHECK_FALSE(holder.live_others().has_value());
    CHECK(holder.on_grant(time_point(1s), answer, log_index(1)) ==
          grant_outcome::extended);
    CHECK(holder.live_others() == 2);
}
