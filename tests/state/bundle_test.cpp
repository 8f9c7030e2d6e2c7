#include "bundle_samples.hpp"

#include <rhubarbrun/state/bundle_parse.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace rhubarbrun;
using namespace rhubarbrun::tests;

namespace {

auto read_file(const std::string& name) -> std::string
{
    auto file = std::ifstream(RHUBARBRUN_TEST_DATA "/../" + name);
    REQUIRE_MESSAGE(file.good(), name);
    return {std::istreambuf_iterator<char>(file), {}};
}

auto messages_of(std::string_view text) -> std::vector<std::string>
{
    auto messages = std::vector<std::string>();
    for (const auto& problem : parse_bundle(text).problems) {
        messages.push_back(to_string(problem));
    }
    return messages;
}

auto contains(const std::vector<std::string>& messages,
              const std::string& message) -> bool
{
    return std::find(messages.begin(), messages.end(), message) !=
           messages.end();
}

} // namespace

TEST_CASE("the shipped example bundles are valid")
{
    for (const auto* const name : {"salt-trust", "kosher-caterers"}) {
        const auto result = parse_bundle(read_file(
            std::string("docs/operators/examples/") + name + ".toml"));
        CHECK(result.problems.empty());
        REQUIRE(result);
        CHECK(result.value->groups.size() == 3);
        CHECK(result.value->operators.size() == 3);
    }
}

TEST_CASE("the option table of the documentation matches the code")
{
    const auto page = read_file("docs/bundles.md");
    for (const auto& option : bundle_options()) {
        const auto row =
            "| `" + std::string(option.name) + "` | " +
            std::string(option.unit.empty() ? "count" : option.unit) + " | " +
            std::to_string(option.default_value) + " | " +
            std::to_string(option.lowest) + " to " +
            std::to_string(option.highest) + " |";
        CHECK_MESSAGE(page.find(row) != std::string::npos, row);
    }
}

TEST_CASE("the canonical text parses to an equal bundle")
{
    const auto value = sample_bundle(7, 3);
    const auto parsed = parse_bundle(canonical_text(value));
    REQUIRE(parsed);
    CHECK(*parsed.value == value);
}

TEST_CASE("the digest ignores the order of entries but no value")
{
    auto value = sample_bundle(7);
    const auto digest = digest_of(value);
    std::swap(value.operators[0], value.operators[1]);
    std::swap(value.groups[0], value.groups[1]);
    CHECK(digest_of(value) == digest);
    value.groups[1].acknowledge = acknowledge_mode::primary;
    CHECK(digest_of(value) != digest);
}

TEST_CASE("all problems of a text are reported with their positions")
{
    const auto messages = messages_of("version = 1\n"
                                      "colour = 3\n"
                                      "[timings]\n"
                                      "lease_ms = 99999\n"
                                      "probe_ms = 1\n"
                                      "[[operators]]\n"
                                      "id = \"a\"\n"
                                      "token_sha256 = \"00\"\n"
                                      "[[groups]]\n"
                                      "id = \"g\"\n"
                                      "acknowledge = \"both\"\n"
                                      "[groups.limits]\n"
                                      "slots = \"many\"\n"
                                      "report_weight = 50\n");
    CHECK(messages.size() == 9);
    CHECK(contains(messages, "2:1: unknown key 'colour'"));
    CHECK(contains(messages, "4:12: the value 99999 is not in [300, 3000]"));
    CHECK(contains(messages, "5:1: unknown key 'probe_ms'"));
    CHECK(contains(messages, "8:16: a token hash has 64 lower-case "
                             "hexadecimal digits"));
    CHECK(contains(messages, "9:1: the key 'database' is missing"));
    CHECK(contains(messages, "11:15: the mode must be \"second_server\" or "
                             "\"primary\""));
    CHECK(contains(messages, "13:9: 'slots' must be a whole number"));
    CHECK(contains(messages, "12:1: order entry must weigh at least as much as "
                             "look-ups, and look-ups as much as reports"));
    CHECK(std::is_sorted(messages.begin(), messages.begin() + 2));
}

TEST_CASE("a syntax error is reported with its position")
{
    const auto result = parse_bundle("version = 1\ntimings = [\n");
    REQUIRE(result.problems.size() == 1);
    CHECK(result.problems[0].where.line >= 2);
}

TEST_CASE("one operator is too few, as nobody could approve")
{
    CHECK_FALSE(parse_bundle(canonical_text(sample_bundle(1, 0, {"ann"}))));
    auto value = sample_bundle(1, 0, {"ann", "bob"});
    CHECK(find_bundle_faults(value).empty());
    // Two names with one token would let one person approve the own proposal.
    value.operators[1].hash = value.operators[0].hash;
    CHECK_FALSE(find_bundle_faults(value).empty());
}

TEST_CASE("two groups with one database are refused")
{
    auto value = sample_bundle(1);
    value.groups[1].database = value.groups[0].database;
    CHECK_FALSE(find_bundle_faults(value).empty());
}

TEST_CASE("hashes are equal only if all digits are")
{
    const auto hash = hash_token("secret");
    CHECK(is_same_hash(hash, hash_token("secret")));
    CHECK_FALSE(is_same_hash(hash, hash_token("secre")));
    CHECK_FALSE(is_same_hash(hash, token_hash("")));
}

TEST_CASE("a mutated text never crashes the parser or yields a bad bundle")
{
    const auto text = canonical_text(sample_bundle(3));
    CHECK(rc::check([&] {
        auto mutated = text;
        const auto changes = *rc::gen::inRange(1, 6);
        for (auto i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, mutated.size());
            mutated[at] = *rc::gen::arbitrary<char>();
        }
        const auto result = parse_bundle(mutated);
        RC_ASSERT(result.value.has_value() == result.problems.empty());
        if (result) {
            RC_ASSERT(find_bundle_faults(*result.value).empty());
        }
    }));
}
