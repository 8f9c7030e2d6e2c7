#include <rhubarbrun/protocol/document_delta.hpp>

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

auto make_document(int version, const std::vector<int>& timeouts) -> std::string
{
    auto text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (auto index = std::size_t{0}; index < timeouts.size(); ++index) {
        text += (index > 0 ? "," : "") + std::string("{\"name\":\"r-") +
                std::to_string(index) +
                "\",\"timeoutMs\":" + std::to_string(timeouts[index]) + "}";
    }
    return text + "]}";
}

} // namespace

// Every proxy got the whole document at every change, so that a change cost
// more with every database.
TEST_CASE("document delta: a change costs its own size, not the document's")
{
    auto timeouts = std::vector<int>(540, 1000);
    const auto before = make_document(7, timeouts);
    timeouts[300] = 1500;
    timeouts.push_back(2000);
    const auto after = make_document(12, timeouts);
    const auto delta = make_delta(before, after);
    CHECK(delta.size() < 400);
    CHECK(before.size() > 15'000);
    REQUIRE(apply_delta(before, delta));
    CHECK(*apply_delta(before, delta) == after);
}

TEST_CASE("document delta: any text becomes any other")
{
    auto random = std::mt19937(5);
    const auto make_text = [&] {
        auto text = std::string();
        for (auto left = random() % 60; left > 0; --left) {
            text += "a{}b,"[random() % 5];
        }
        return text;
    };
    for (auto round = 0; round < 3000; ++round) {
        const auto base = make_text();
        const auto target = make_text();
        REQUIRE(apply_delta(base, make_delta(base, target)) == target);
    }
}

TEST_CASE("document delta: another base and damage are noticed")
{
    auto random = std::mt19937(6);
    const auto base = make_document(1, {1, 2, 3, 4});
    const auto target = make_document(2, {1, 2, 9, 4});
    const auto delta = make_delta(base, target);
    CHECK_FALSE(apply_delta(target, delta));
    CHECK_FALSE(apply_delta(base, {}));
    for (auto round = 0; round < 3000; ++round) {
        auto damaged = delta;
        damaged.at(random() % damaged.size()) = static_cast<char>(random());
        damaged.resize(damaged.size() - random() % 2);
        const auto found = apply_delta(base, damaged);
        CHECK((!found || *found == target));
    }
}

} // namespace rhubarbrun_tests
