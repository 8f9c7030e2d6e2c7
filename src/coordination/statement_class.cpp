#include <rhubarbrun/coordination/statement_class.hpp>

#include <algorithm>

namespace rhubarbrun::inline v1 {

namespace {

/// Inverse weight of a new measurement in the moving average.
constexpr auto mean_divisor = 8;

} // namespace

statement_classifier::statement_classifier(statement_classifier_options options)
    : options_(options)
{
}

auto statement_classifier::touch(const std::string& shape) -> shape_record*
{
    const auto found = by_shape_.find(shape);
    if (found == by_shape_.end()) {
        return nullptr;
    }
    records_.splice(records_.begin(), records_, found->second);
    return &*found->second;
}

auto statement_classifier::estimate(const std::string& shape,
                                    std::optional<statement_length> hint)
    -> statement_estimate
{
    const auto* const record = touch(shape);
    auto result = statement_estimate{statement_length::unproven,
                                     options_.initial_estimate};
    if (record != nullptr) {
        result.length = record->is_long ? statement_length::long_running
                                        : statement_length::short_running;
        result.expected = record->mean;
    } else if (hint == statement_length::long_running) {
        result.expected = std::max(result.expected, options_.long_threshold);
    }
    if (hint) {
        result.length = *hint;
    }
    return result;
}

auto statement_classifier::on_finished(const std::string& shape,
                                       duration measured) -> void
{
    auto* record = touch(shape);
    if (record == nullptr) {
        records_.push_front(
            {shape, measured, measured > options_.long_threshold});
        by_shape_.emplace(records_.front().shape, records_.begin());
        if (records_.size() > options_.max_shapes) {
            by_shape_.erase(records_.back().shape);
            records_.pop_back();
        }
        return;
    }
    record->mean += (measured - record->mean) / mean_divisor;
    // Between half the bound and the bound the length stays as it is, so that
    // a shape near the bound does not change class with every run.
    if (record->mean > options_.long_threshold) {
        record->is_long = true;
    } else if (record->mean < options_.long_threshold / 2) {
        record->is_long = false;
    }
}

auto statement_classifier::long_threshold() const noexcept -> duration
{
    return options_.long_threshold;
}

auto statement_classifier::shape_count() const noexcept -> std::size_t
{
    return records_.size();
}

} // namespace rhubarbrun::inline v1
