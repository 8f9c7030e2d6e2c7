#ifndef RHUBARBRUN_COORDINATION_STATEMENT_CLASS_HPP
#define RHUBARBRUN_COORDINATION_STATEMENT_CLASS_HPP

#include <rhubarbrun/state/units.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rhubarbrun::inline v1 {

/// How long a statement is expected to hold a slot.
enum class statement_length : std::uint8_t
{
    /// Known to be short, or stated so by the caller.
    short_running,
    /// A shape without measurements: treated as short, but may be long.
    unproven,
    long_running,
};

/// The owner's estimate for a statement before it runs.
struct statement_estimate
{
    statement_length length = statement_length::unproven;
    /// Expected time in a slot.
    duration expected{};
};

/// Limits of a `statement_classifier`.
struct statement_classifier_options
{
    /// A statement that runs longer counts as long.
    duration long_threshold = std::chrono::milliseconds(100);
    /// Expected time of a shape without measurements.
    duration initial_estimate = std::chrono::milliseconds(10);
    /// Shapes kept; the least recently used one is evicted first.
    std::size_t max_shapes = 4096;
};

/// Classifies statement shapes as short or long by their measured times.
class statement_classifier
{
public:
    explicit statement_classifier(statement_classifier_options options = {});

    /// Estimates a statement of `shape`. A caller's `hint` decides its length;
    /// otherwise the measured times do.
    [[nodiscard]] auto
    estimate(const std::string& shape,
             std::optional<statement_length> hint = std::nullopt)
        -> statement_estimate;

    /// Records the time that a statement of `shape` held its slot.
    auto on_finished(const std::string& shape, duration measured) -> void;

    /// After this time in a slot a running statement counts as long.
    [[nodiscard]] auto long_threshold() const noexcept -> duration;

    [[nodiscard]] auto shape_count() const noexcept -> std::size_t;

private:
    struct shape_record
    {
        std::string shape;
        duration mean{};
        bool is_long = false;
    };

    using record_list = std::list<shape_record>;

    auto touch(const std::string& shape) -> shape_record*;

    statement_classifier_options options_;
    /// Most recently used first.
    record_list records_;
    std::unordered_map<std::string_view, record_list::iterator> by_shape_;
};

} // namespace rhubarbrun::inline v1

#endif
