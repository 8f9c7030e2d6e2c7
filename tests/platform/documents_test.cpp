#include "documents.hpp"
#include "node_settings.hpp"

#include <rhubarbrun/transport/json.hpp>

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace rhubarbrun_tests {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

namespace {

const auto configuration_text = std::string(
    R"({"version":7,"routes":[{"name":"r1","host":"db1","pathPrefix":"/",)"
    R"("type":"read_your_writes","timeoutMs":1000,"targetLatencyMs":900,)"
    R"("priority":2,"service":"g1","maxAttempts":2,"maxStalenessMs":2500}],)"
    R"("services":[{"name":"g1","maxConns":86,"syncReplicas":0}],)"
    R"("limits":{"txIdleMs":3000}})");

const auto announcement_text = std::string(
    R"({"service":"g1","address":"10.128.0.9:8080","zone":"a","version":"v1",)"
    R"("capacity":3,"state":"ready","coldLeftMs":0,"dbRole":"replica","seqNo":4,)"
    R"("born":1700000000000})");

auto replaced(std::string text, const std::string& from, const std::string& to)
    -> std::string
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("documents: a configuration")
{
    const auto read = parse_configuration(configuration_text);
    CHECK(read.version == 7);
    const auto* const route = read.find(database_id("db1"));
    REQUIRE(route != nullptr);
    CHECK(route->consistency == read_consistency::read_your_writes);
    CHECK(route->statement_timeout == milliseconds(1000));
    CHECK(route->staleness_limit == milliseconds(2500));
    CHECK(read.groups.at(group_id("g1")).connections_per_server == 86);
    CHECK(read.transaction_idle_limit == milliseconds(3000));
}

TEST_CASE("documents: organisations and their keys")
{
    const auto with = [](const std::string& organisations) {
        return replaced(configuration_text, "\"limits\"",
                        "\"tenants\":[" + organisations + "],\"limits\"");
    };
    const auto first = std::string(
        R"({"name":"o1","apiKeys":["k1","k2"],"priority":1,"ratePerS":20,)"
        R"("burst":30})");
    const auto read =
        parse_configuration(with(first + R"(,{"name":"o2","apiKeys":["k3"]})"));
    REQUIRE(read.organisations.size() == 2);
    const auto& held = read.organisations.at(organisation_id("o1"));
    CHECK(held.allowance == operation_allowance{20, 30});
    CHECK(held.priority == 1);
    CHECK(!read.organisations.at(organisation_id("o2")).allowance);
    REQUIRE(read.find_holder(digest_of_key("k2")) != nullptr);
    CHECK(read.find_holder(digest_of_key("k2"))->id == organisation_id("o1"));
    CHECK(read.find_holder(digest_of_key("k4")) == nullptr);
    CHECK(!read.find(database_id("db1"))->is_public);
    CHECK(parse_configuration(replaced(configuration_text, "\"priority\":2",
                                       "\"priority\":2,\"public\":true"))
              .find(database_id("db1"))
              ->is_public);
    const auto refused = {
        first + R"(,{"name":"o2","apiKeys":["k2"]})",
        first + R"(,{"name":"o1","apiKeys":["k3"]})",
        std::string(R"({"name":"","apiKeys":["k3"]})"),
        std::string(R"({"name":"two words","apiKeys":["k3"]})"),
        std::string(R"({"name":"o1","apiKeys":[""]})"),
        std::string(R"({"name":"o1","apiKeys":[7]})"),
        std::string(R"({"name":"o1"})"),
        std::string(R"({"name":"o1","apiKeys":["k3"],"ratePerS":-1})"),
    };
    for (const auto& each : refused) {
        CHECK_THROWS_AS(static_cast<void>(parse_configuration(with(each))),
                        configuration_error);
    }
}

TEST_CASE("node settings: terms of organisations and limits of the process")
{
    const auto base =
        std::string("nodeName = \"n\"\nip = \"127.0.0.1\"\nzone = \"z\"\n"
                    "internalPorts = [7000,7002]\nseeds = []\n");
    const auto plain = parse_node_settings(base);
    CHECK(!plain.revocation);
    CHECK(!plain.allowances);
    CHECK(!plain.memory_limit);
    CHECK(!plain.descriptor_limit);
    CHECK(!plain.are_servers_paced);
    const auto read = parse_node_settings(
        base + "contracts = [\"base\",\"pressure\"]\n"
               "[limits]\nmemoryMb = 112\nmaxFds = 3010\n"
               "[bounds]\nstrictRevoke = true\nrevokeMs = 4000\n"
               "quotaWindowS = 6\nquotaOverage = 0.1\nquotaSlack = 20\n");
    REQUIRE(read.revocation);
    CHECK(read.revocation->limit == milliseconds(4000));
    REQUIRE(read.allowances);
    CHECK(read.allowances->window == std::chrono::seconds(6));
    CHECK(read.allowances->overage == doctest::Approx(0.1));
    CHECK(read.allowances->slack == 20);
    CHECK(read.memory_limit == std::uint64_t{112} * 1024 * 1024);
    CHECK(read.descriptor_limit == 3010);
    CHECK(read.are_servers_paced);
    CHECK_THROWS_AS(
        static_cast<void>(parse_node_settings(
            base + "[bounds]\nquotaWindowS = 5\nquotaOverage = 2.0\n")),
        node_settings_error);
}

// Such a configuration was acknowledged, as the route is not used.
TEST_CASE("documents: an invalid route is refused although its database has "
          "another route")
{
    const auto with_route = [](const std::string& service, int timeout_ms) {
        return replaced(
            configuration_text, "\"maxStalenessMs\":2500}",
            R"("maxStalenessMs":2500},{"name":"r2","host":"db1",)"
            R"("pathPrefix":"/other","type":"primary","timeoutMs":)" +
                std::to_string(timeout_ms) + R"(,"service":")" + service +
                R"("})");
    };
    const auto refuse = [](const std::string& text) {
        CHECK_THROWS_AS(static_cast<void>(parse_configuration(text)),
                        configuration_error);
    };
    CHECK_NOTHROW(
        static_cast<void>(parse_configuration(with_route("g1", 1000))));
    refuse(with_route("unknown", 1000));
    refuse(with_route("g1", 0));
}

TEST_CASE("documents: an invalid configuration is refused")
{
    const auto refuse = [](const std::string& text) {
        CHECK_THROWS_AS(static_cast<void>(parse_configuration(text)),
                        configuration_error);
    };
    refuse(configuration_text.substr(0, configuration_text.size() / 2));
    refuse(replaced(configuration_text, "\"service\":\"g1\"",
                    "\"service\":\"g2\""));
    refuse(
        replaced(configuration_text, "\"timeoutMs\":1000", "\"timeoutMs\":0"));
    refuse(replaced(configuration_text, "\"timeoutMs\":1000",
                    "\"timeoutMs\":\"soon\""));
    refuse(replaced(configuration_text, "read_your_writes", "any"));
    refuse(replaced(configuration_text, "\"version\":7", "\"version\":-7"));
    refuse("[]");
    refuse("");
    const auto route = configuration_text.substr(
        configuration_text.find("{\"name\":\"r1\""),
        configuration_text.find("],\"services\"") -
            configuration_text.find("{\"name\":\"r1\""));
    refuse(replaced(configuration_text, route, route + "," + route));
}

TEST_CASE("documents: an announcement names a server only if it is whole")
{
    const auto record = parse_announcement("i-1", announcement_text);
    REQUIRE(record);
    CHECK(record->id == target_id("i-1"));
    CHECK(record->slots == 3);
    CHECK(record->started_at == 1'700'000'000'000U);
    for (const auto* const field :
         {"service", "address", "zone", "version", "capacity", "state",
          "coldLeftMs", "dbRole", "seqNo"})
    {
        const auto broken =
            replaced(announcement_text, "\"" + std::string(field) + "\"",
                     "\"no_" + std::string(field) + "\"");
        CHECK(!parse_announcement("i-1", broken));
    }
    CHECK(!parse_announcement("", announcement_text));
    CHECK(!parse_announcement(
        "i-1", replaced(announcement_text, "\"ready\"", "\"asleep\"")));
}

// A ping of another writer, whose other fields named a server of its own, made
// that server the primary.
TEST_CASE("documents: a ping with a field of another type names no server")
{
    const auto text = parse_json(announcement_text);
    REQUIRE(text);
    for (const auto& [name, value] : text->members()) {
        for (const auto* const other :
             {"null", "true", "-1", "1.5", "\"none\"", "[]", "{}", "7"})
        {
            const auto of_same_type =
                value.is_number() ? std::string_view(other) == "7"
                                  : std::string_view(other) == "\"none\"";
            const auto is_missing_start =
                name == "born" && std::string_view(other) == "null";
            if (of_same_type || is_missing_start) {
                continue;
            }
            const auto whole = "\"" + name + "\":" + value.print();
            const auto odd =
                replaced(announcement_text, whole, "\"" + name + "\":" + other);
            INFO(odd);
            REQUIRE(odd != announcement_text);
            CHECK(!parse_announcement("i-1", odd, 1'800'000'000'000));
        }
    }
}

// An odd entry was taken for a server: with a port out of range it could claim
// to be primary, and with a number too large it outlived every later one.
TEST_CASE("documents: an odd entry names no server")
{
    const auto odd = [](const std::string& part, const std::string& other) {
        const auto text = replaced(announcement_text, part, other);
        REQUIRE(text != announcement_text);
        return !parse_announcement("i-1", text, 1'800'000'000'000);
    };
    CHECK(parse_announcement("i-1", announcement_text, 1'800'000'000'000));
    const auto address = std::string("10.128.0.9:8080");
    for (const auto* const other :
         {"127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:99999999999999999999",
          "127.0.0.1", "localhost:80", "127.0.0.1:80\\r\\nQUERY", "[::1]:80"})
    {
        CHECK(odd(address, other));
    }
    CHECK(odd("\"capacity\":3", "\"capacity\":4294967296"));
    CHECK(odd("\"capacity\":3", "\"capacity\":-1"));
    CHECK(odd("\"seqNo\":4", "\"seqNo\":-1"));
    CHECK(odd("\"seqNo\":4", "\"seqNo\":18446744073709551616"));
    CHECK(odd("1700000000000", "-1"));
    CHECK(odd("1700000000000", "9223372036854775807"));
    auto nested = std::string(100'000, '[');
    CHECK(odd("\"seqNo\":4", "\"seqNo\":4,\"x\":" + nested));
    nested += std::string(100'000, ']');
    CHECK(odd("\"seqNo\":4", "\"seqNo\":4,\"x\":" + nested));
    CHECK(!parse_announcement("i-1 X", announcement_text));
}

TEST_CASE("documents: damaged bytes are refused or read, and crash nothing")
{
    auto random = std::mt19937_64(2);
    for (auto round = 0; round < 5'000; ++round) {
        auto announcement = announcement_text;
        announcement[random() % announcement.size()] =
            static_cast<char>(random());
        static_cast<void>(parse_announcement("i-1", announcement));
        auto configuration = configuration_text;
        configuration[random() % configuration.size()] =
            static_cast<char>(random());
        try {
            static_cast<void>(parse_configuration(configuration));
        } catch (const configuration_error&) {
            CHECK(true);
        }
    }
}

// A fraction was ignored, so that the process planned with the usual time and
// was killed before it had answered everything.
TEST_CASE("node settings: the time to end may be a fraction of seconds")
{
    const auto grace = [](const std::string& value) {
        return parse_node_settings("nodeName = \"e\"\nip = \"10.1.0.8\"\n"
                                   "zone = \"a\"\ninternalPorts = [7440]\n"
                                   "seeds = [\"10.1.0.11:8782\"]\n"
                                   "[bounds]\ngraceS = " +
                                   value)
            .shutdown_grace;
    };
    CHECK(grace("4.5") == milliseconds(4500));
    CHECK(grace("4") == milliseconds(4000));
    CHECK_THROWS_AS(grace("-0.5"), node_settings_error);
    CHECK_THROWS_AS(grace("nan"), node_settings_error);
    CHECK_THROWS_AS(grace("\"4\""), node_settings_error);
}

TEST_CASE("node settings: known fields are read and others ignored")
{
    const auto settings = parse_node_settings(R"(
        nodeName = "core-1"
        ip = "10.1.0.11"
        zone = "a"
        internalPorts = [7440, 7455]
        seeds = ["10.1.0.11:8782", "10.2.0.9:8782"]
        bootstrap = true
        dataDir = "/data/x"
        later = { field = 1 }
        [zones]
        a = "r"
        [listen]
        control = "10.1.0.11:8782"
        [faultTolerance]
        machines = 2
        [bounds]
        graceS = 6
        [cloud]
        address = "10.200.0.160:8783"
    )");
    CHECK(settings.peer_port == 7440);
    CHECK(settings.detour_port == 7441);
    CHECK(settings.seeds == std::vector<std::string>{"10.1.0.11", "10.2.0.9"});
    CHECK(settings.is_first_start);
    CHECK(settings.tolerated_losses == 2);
    CHECK(settings.regions.at(zone_id("a")) == "r");
    CHECK(settings.control_listen == "10.1.0.11:8782");
    CHECK(settings.callers_listen.empty());
}

TEST_CASE("node settings: a fault is told with its place")
{
    CHECK_THROWS_WITH_AS(static_cast<void>(parse_node_settings("a = \n")),
                         doctest::Contains("line 1"), node_settings_error);
    CHECK_THROWS_WITH_AS(static_cast<void>(parse_node_settings("ip = \"x\"")),
                         doctest::Contains("nodeName"), node_settings_error);
}

} // namespace rhubarbrun_tests
