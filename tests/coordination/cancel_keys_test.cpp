#include <rhubarbrun/coordination/cancel_keys.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace rhubarbrun;

namespace {

auto directory_with(int proxies) -> directory
{
    auto delta = directory_delta{};
    delta.up_to = log_index(1);
    delta.is_complete = true;
    for (auto number = 0; number < proxies; ++number) {
        auto record = proxy_record{};
        record.identity = {proxy_id("entry-" + std::to_string(number)),
                           incarnation(1)};
        delta.proxies.push_back(record);
    }
    auto result = directory{};
    REQUIRE(result.apply(delta) == delta_outcome::applied);
    return result;
}

} // namespace

TEST_CASE("a cancel key leads to the proxy that holds the session")
{
    constexpr auto proxies = 540;
    const auto copy = directory_with(proxies);
    const auto self = proxy_id("entry-0");
    auto tags = std::set<std::uint32_t>{};
    for (const auto& [id, record] : copy.proxies()) {
        const auto process = cancel_process(proxy_tag(id), 5000);
        CHECK(process <= 0x7fffffffU);
        tags.insert(proxy_tag(id));
        const auto holders = cancel_key_holders(copy, self, process);
        const auto is_found =
            std::find(holders.begin(), holders.end(), id) != holders.end();
        CHECK(is_found == (id != self));
    }
    // Guards against a hash that maps similar names to few tags.
    CHECK(tags.size() >= proxies - 3);
}

TEST_CASE("a process id that names no other proxy is passed on to nobody")
{
    const auto copy = directory_with(3);
    const auto self = proxy_id("entry-0");
    const auto own = cancel_process(proxy_tag(self), 1);
    CHECK(cancel_key_holders(copy, self, own).empty());
    CHECK(cancel_key_holders(copy, self, own | 0x80000000U).empty());
    const auto other = cancel_process(proxy_tag(proxy_id("entry-1")), 1);
    CHECK(cancel_key_holders(copy, self, other | 0x80000000U).empty());
}
