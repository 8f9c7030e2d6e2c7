#include <rhubarbrun/state/configuration_history.hpp>
#include <rhubarbrun/state/service_configuration.hpp>

#include <doctest/doctest.h>

namespace rhubarbrun_tests {

using namespace rhubarbrun;

namespace {

auto route(const std::string& database) -> database_route
{
    auto made = database_route{};
    made.name = database;
    made.database = database_id(database);
    made.group = group_id("g");
    made.statement_timeout = milliseconds(1);
    return made;
}

} // namespace

TEST_CASE("service configuration: a route is checked when it is added")
{
    auto configuration = service_configuration{};
    CHECK_THROWS_AS(add_route(configuration, route("a")), configuration_error);
    configuration.groups[group_id("g")] = {};
    add_route(configuration, route("a"));
    CHECK_THROWS_AS(add_route(configuration, route("a")), configuration_error);
    auto endless = route("b");
    endless.statement_timeout = duration::zero();
    CHECK_THROWS_AS(add_route(configuration, endless), configuration_error);
    CHECK(configuration.find(database_id("a")) != nullptr);
    CHECK(configuration.find(database_id("b")) == nullptr);
}

TEST_CASE("configuration history: the highest version wins, and a number keeps "
          "its first content")
{
    auto history = configuration_history();
    const auto apply = [&](std::uint64_t version, const std::string& text) {
        return history.apply(configuration_history::encode({version, text}));
    };
    CHECK(apply(3, "three"));
    CHECK(!apply(3, "other content"));
    CHECK(!apply(2, "two"));
    CHECK(apply(9, "nine"));
    CHECK(history.newest().packed == "nine");
    auto restored = configuration_history();
    restored.load(history.save());
    CHECK(restored.newest().version == 9);
    restored.load({});
    CHECK(restored.newest().version == 0);
}

TEST_CASE("configuration history: damaged bytes are refused")
{
    auto history = configuration_history();
    const auto bytes = configuration_history::encode({3, "three"});
    CHECK_THROWS_AS(history.apply(std::string_view(bytes).substr(1)),
                    decode_error);
    auto longer = bytes;
    longer.push_back('x');
    CHECK_THROWS_AS(history.apply(longer), decode_error);
    CHECK(history.newest().version == 0);
}

} // namespace rhubarbrun_tests
