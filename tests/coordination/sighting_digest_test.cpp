#include <rhubarbrun/coordination/sighting_digest.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

auto seen(const std::string& server, std::optional<duration> answered_ago,
          std::optional<duration> failing_for = std::nullopt) -> server_sighting
{
    return {target_id(server), answered_ago, failing_for};
}

constexpr auto start = time_point(std::chrono::seconds(100));

} // namespace

// Guards against passing each proxy's report of every server on to the leader,
// which multiplies the traffic between regions by the number of proxies.
TEST_CASE("sighting digest: a hundred proxies cost the leader one sighting for "
          "each server")
{
    auto digest = sighting_digest();
    for (auto proxy = 0; proxy < 100; ++proxy) {
        digest.add(start, "proxy" + std::to_string(proxy),
                   {seen("p", milliseconds(100 + proxy)),
                    seen("q", milliseconds(300))});
    }
    const auto merged = digest.take(start + milliseconds(50));
    REQUIRE(merged.size() == 2);
    CHECK(merged.at(0).server == target_id("p"));
    CHECK(merged.at(0).answered_ago == milliseconds(150));
    CHECK_FALSE(merged.at(0).failing_for);
}

TEST_CASE("sighting digest: a server that fails for some proxies and answers "
          "others is reported as both")
{
    auto digest = sighting_digest();
    digest.add(start, "one", {seen("p", std::nullopt, milliseconds(700))});
    digest.add(start, "two", {seen("p", std::nullopt, milliseconds(200))});
    digest.add(start, "three", {seen("p", milliseconds(30))});
    const auto merged = digest.take(start);
    REQUIRE(merged.size() == 1);
    CHECK(merged.front().failing_for == milliseconds(700));
    CHECK(merged.front().answered_ago == milliseconds(30));
}

TEST_CASE("sighting digest: a proxy's latest report replaces its former one, "
          "and is forgotten when the proxy is silent")
{
    auto digest = sighting_digest();
    digest.add(start, "one", {seen("p", std::nullopt, milliseconds(700))});
    digest.add(start + milliseconds(500), "one", {seen("p", milliseconds(10))});
    const auto merged = digest.take(start + milliseconds(500));
    REQUIRE(merged.size() == 1);
    CHECK_FALSE(merged.front().failing_for);
    CHECK(digest.take(start + milliseconds(2100)).empty());
}

TEST_CASE("sighting digest: the proxies that reach a server are known, the "
          "latest first")
{
    auto digest = sighting_digest();
    digest.add(start, "one", {seen("p", milliseconds(500))});
    digest.add(start, "two", {seen("p", milliseconds(10))});
    digest.add(start, "three", {seen("p", std::nullopt, milliseconds(900))});
    digest.add(start, "four", {seen("q", milliseconds(10))});
    const auto way = [&](duration later, std::size_t count) {
        return digest.reachable_through(start + later, target_id("p"), count);
    };
    CHECK(way(duration::zero(), 2) == std::vector<std::string>{"two", "one"});
    CHECK(way(duration::zero(), 1) == std::vector<std::string>{"two"});
    CHECK(way(milliseconds(1200), 2) == std::vector<std::string>{"two"});
    CHECK(way(milliseconds(1600), 2).empty());
}

TEST_CASE("sighting digest: failures are reported sooner than replies")
{
    auto digest = sighting_digest();
    static_cast<void>(digest.take(start));
    CHECK_FALSE(digest.is_due(start + milliseconds(1000)));
    digest.add(start + milliseconds(100), "one", {seen("p", milliseconds(10))});
    CHECK_FALSE(digest.is_due(start + milliseconds(150)));
    CHECK(digest.is_due(start + milliseconds(400)));
    digest.add(start + milliseconds(150), "two",
               {seen("p", std::nullopt, milliseconds(300))});
    CHECK(digest.is_due(start + milliseconds(150)));
}

} // namespace rhubarbrun_tests
