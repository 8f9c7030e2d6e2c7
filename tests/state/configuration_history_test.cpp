#include <rhubarbrun/state/configuration_history.hpp>

#include <doctest/doctest.h>

#include <vector>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

auto record_of(const std::string& group, const std::vector<std::string>& names)
    -> promotion_record
{
    auto record = promotion_record{group_id(group), {}};
    for (const auto& name : names) {
        record.servers.emplace_back(name);
    }
    return record;
}

} // namespace

// A later control leader did not know which servers could still become primary.
TEST_CASE("configuration history: records of promotions survive a snapshot")
{
    auto history = configuration_history();
    CHECK(history.apply(configuration_history::encode({3, "three"})));
    CHECK_FALSE(history.apply(
        configuration_history::encode(record_of("g", {"a", "b"}))));
    CHECK_FALSE(
        history.apply(configuration_history::encode(record_of("h", {"x"}))));
    CHECK_FALSE(
        history.apply(configuration_history::encode(record_of("g", {"c"}))));
    auto restored = configuration_history();
    restored.load(history.save());
    CHECK(restored.newest().version == 3);
    CHECK(restored.newest().packed == "three");
    REQUIRE(restored.promotions().size() == 2);
    CHECK(restored.promotions().at(group_id("g")).servers ==
          std::vector<target_id>{target_id("c")});
}

TEST_CASE("configuration history: a snapshot without records is a document")
{
    auto history = configuration_history();
    CHECK(history.apply(configuration_history::encode({3, "three"})));
    CHECK(history.save() == configuration_history::encode({3, "three"}));
    history.apply(configuration_history::encode(record_of("g", {"a"})));
    history.load(configuration_history::encode({4, "four"}));
    CHECK(history.newest().version == 4);
    CHECK(history.promotions().empty());
    history.load({});
    CHECK(history.newest().version == 0);
}

TEST_CASE("configuration history: commands are told apart")
{
    CHECK_FALSE(configuration_history::decode_promotions(
        configuration_history::encode({3, "three"})));
    const auto record = configuration_history::decode_promotions(
        configuration_history::encode(record_of("g", {"a"})));
    REQUIRE(record);
    CHECK(record->group == group_id("g"));
    auto history = configuration_history();
    CHECK_THROWS_AS(history.apply(configuration_history::encode({0, "three"})),
                    decode_error);
}

} // namespace rhubarbrun_tests
