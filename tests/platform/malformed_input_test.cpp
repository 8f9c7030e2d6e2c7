#include "documents.hpp"
#include "node_settings.hpp"
#include "wire_codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

// Whatever arrives, a decoder gives a value or refuses it in the way that its
// header states.

namespace rhubarbrun_tests {

using namespace rhubarbrun;
using namespace rhubarbrun::platform;

namespace {

constexpr auto rounds = 20'000;

const auto configuration_text = std::string(
    R"({"version":7,"routes":[{"name":"r1","host":"db1","pathPrefix":"/",)"
    R"("type":"bounded_staleness","timeoutMs":1000,"targetLatencyMs":500,)"
    R"("priority":1,"maxStalenessMs":1500,"service":"g1"}],"services":)"
    R"([{"name":"g1","maxConns":86,"syncReplicas":0}],)"
    R"("limits":{"txIdleMs":3000}})");

const auto announcement_text = std::string(
    R"({"service":"g1","address":"127.0.0.1:80","zone":"a","version":"v1",)"
    R"("capacity":3,"state":"ready","coldLeftMs":0,"dbRole":"replica",)"
    R"("seqNo":4,"born":1700000000000})");

/// Texts that are nearly as they should be: bytes replaced, parts repeated, cut
/// or exchanged for values that are hard to bear.
class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    auto mutate(std::string text) -> std::string
    {
        for (auto left = 1 + random_() % 3; left > 0 && !text.empty(); --left) {
            const auto at = random_() % text.size();
            const auto length = random_() % (text.size() - at + 1) % 40;
            switch (random_() % 6) {
            case 0:
                text[at] = static_cast<char>(random_());
                break;
            case 1:
                text.erase(at, length);
                break;
            case 2:
                text.insert(at, text.substr(at, length));
                break;
            case 3:
                text.resize(at);
                break;
            case 4:
                text.insert(at, std::string(1 + random_() % 300,
                                            "[{\"-9 "[random_() % 6]));
                break;
            default:
                replace_number(text, at);
            }
        }
        return text;
    }

private:
    auto replace_number(std::string& text, std::size_t at) -> void
    {
        static const auto values =
            std::vector<std::string>{"-1",
                                     "0",
                                     "9223372036854775807",
                                     "18446744073709551616",
                                     "1e99",
                                     "0.5",
                                     "null",
                                     "true",
                                     "\"\"",
                                     "\"a\"",
                                     "[]",
                                     "{}"};
        const auto first = text.find_first_of("0123456789", at);
        if (first == std::string::npos) {
            return;
        }
        const auto last =
            std::min(text.find_first_not_of("0123456789", first), text.size());
        text.replace(first, last - first, values[random_() % values.size()]);
    }

    std::mt19937_64 random_;
};

} // namespace

TEST_CASE("malformed input: a configuration is read or refused")
{
    auto mutate = mutator(1);
    auto refused = 0;
    for (auto round = 0; round < rounds; ++round) {
        try {
            const auto found =
                parse_configuration(mutate.mutate(configuration_text));
            CHECK(found.version > 0);
        } catch (const configuration_error&) {
            ++refused;
        }
    }
    CHECK(refused > rounds / 4);
    CHECK(refused < rounds);
}

// The sum of the time now and of such a time overflowed.
TEST_CASE("malformed input: times that cannot be counted are refused")
{
    for (const auto* const field :
         {"\"timeoutMs\":1000", "\"targetLatencyMs\":500",
          "\"maxStalenessMs\":1500", "\"txIdleMs\":3000"})
    {
        auto text = configuration_text;
        const auto at = text.find(field);
        REQUIRE(at != std::string::npos);
        const auto digits = text.find(':', at) + 1;
        const auto end = text.find_first_not_of("0123456789", digits);
        text.replace(digits, end - digits, "9223372036854775807");
        CHECK_THROWS_AS(parse_configuration(text), configuration_error);
    }
}

TEST_CASE("malformed input: an announcement names a server or none")
{
    auto mutate = mutator(2);
    auto read = 0;
    for (auto round = 0; round < rounds; ++round) {
        const auto found =
            parse_announcement("i-1", mutate.mutate(announcement_text));
        read += found ? 1 : 0;
        CHECK((!found || found->id == target_id("i-1")));
    }
    CHECK(read > 0);
    CHECK(read < rounds);
}

TEST_CASE("malformed input: lines of callers and servers")
{
    auto mutate = mutator(3);
    const auto lines =
        std::vector<std::string>{"STARTUP db caller",
                                 "QUERY 1a READ 7",
                                 "QUERY 1a EXECUTE s1 7 text",
                                 "QUERY 1a PREPARE s1 WRITE shape",
                                 "DATAROW row",
                                 "COMPLETE 7.1f3.c",
                                 "ERROR READONLY i-7",
                                 "READY E 3.1209",
                                 "READY T -",
                                 "replica 3 3.1209 0 12 2 17"};
    auto replies = reply_parser();
    for (auto round = 0; round < rounds; ++round) {
        const auto line = mutate.mutate(
            lines[static_cast<std::size_t>(round) % lines.size()]);
        static_cast<void>(parse_caller_start(line));
        if (const auto request = parse_request(line)) {
            CHECK_FALSE(request->id.empty());
            CHECK_FALSE(format_statement(*request).empty());
        }
        static_cast<void>(parse_log_status(line));
        if (replies.add(line) == reply_parser::result::complete) {
            CHECK_FALSE(format_reply(replies.take()).empty());
        }
    }
}

TEST_CASE("malformed input: a settings file is read or refused")
{
    auto mutate = mutator(4);
    const auto text = std::string(
        "nodeName = \"edge-1\"\nrole = \"proxy\"\nip = \"10.1.0.8\"\n"
        "zone = \"a\"\nregion = \"r\"\ninternalPorts = [7440, 7455]\n"
        "seeds = [\"10.1.0.11:8782\"]\nbootstrap = true\n"
        "[zones]\na = \"r\"\n[listen]\nfront = \"10.1.0.8:8784\"\n"
        "readiness = \"10.1.0.8:8785\"\n[bounds]\ngraceS = 6\n");
    for (auto round = 0; round < rounds / 4; ++round) {
        try {
            static_cast<void>(parse_node_settings(mutate.mutate(text)));
        } catch (const node_settings_error&) {
            continue;
        }
    }
}

// Found by the test above under UBSan: the time overflowed.
TEST_CASE("malformed input: settings that cannot be counted are refused")
{
    const auto text =
        std::string("nodeName = \"a\"\nip = \"10.1.0.8\"\nzone = \"a\"\n"
                    "internalPorts = [7440, 7455]\nseeds = []\n");
    CHECK_NOTHROW(parse_node_settings(text));
    for (const auto* const lines :
         {"[bounds]\ngraceS = 9223372036854775807\n", "[bounds]\ngraceS = -1\n",
          "[faultTolerance]\nmachines = -1\n"})
    {
        CHECK_THROWS_AS(parse_node_settings(text + lines), node_settings_error);
    }
}

} // namespace rhubarbrun_tests
