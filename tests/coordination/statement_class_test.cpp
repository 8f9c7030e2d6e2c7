#include <rhubarbrun/coordination/statement_class.hpp>

#include <doctest/doctest.h>

using namespace rhubarbrun;
using namespace std::chrono_literals;

TEST_CASE("a shape without measurements is unproven until it has been measured")
{
    auto classes = statement_classifier();
    CHECK(classes.estimate("a").length == statement_length::unproven);
    classes.on_finished("a", 2ms);
    CHECK(classes.estimate("a").length == statement_length::short_running);
    CHECK(classes.estimate("a").expected == 2ms);
    classes.on_finished("b", 3s);
    CHECK(classes.estimate("b").length == statement_length::long_running);
}

TEST_CASE("the caller's hint decides over measured times")
{
    auto classes = statement_classifier();
    classes.on_finished("a", 3s);
    const auto hinted = classes.estimate("a", statement_length::short_running);
    CHECK(hinted.length == statement_length::short_running);
    CHECK(hinted.expected == 3s);
    CHECK(classes.estimate("b", statement_length::long_running).expected >=
          classes.long_threshold());
}

TEST_CASE("one slow run does not make a fast shape long")
{
    auto classes = statement_classifier();
    classes.on_finished("a", 2ms);
    classes.on_finished("a", 500ms);
    CHECK(classes.estimate("a").length == statement_length::short_running);
    for (auto run = 0; run < 10; ++run) {
        classes.on_finished("a", 500ms);
    }
    CHECK(classes.estimate("a").length == statement_length::long_running);
}

TEST_CASE("a shape near the threshold does not change class with every run")
{
    auto classes = statement_classifier();
    auto changes = 0;
    auto before = statement_length::unproven;
    for (auto run = 0; run < 100; ++run) {
        classes.on_finished("a", run % 2 == 0 ? 60ms : 150ms);
        const auto now = classes.estimate("a").length;
        changes += now == before ? 0 : 1;
        before = now;
    }
    CHECK(changes <= 2);
}

TEST_CASE("memory stays bounded, and shapes in use are kept")
{
    auto options = statement_classifier_options{};
    options.max_shapes = 10;
    auto classes = statement_classifier(options);
    for (auto shape = 0; shape < 1'000; ++shape) {
        classes.on_finished("in use", 1ms);
        classes.on_finished(std::to_string(shape), 1ms);
    }
    CHECK(classes.shape_count() == 10);
    CHECK(classes.estimate("in use").length == statement_length::short_running);
    CHECK(classes.estimate("0").length == statement_length::unproven);
}
