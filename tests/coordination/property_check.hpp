#ifndef RHUBARBRUN_TESTS_COORDINATION_PROPERTY_CHECK_HPP
#define RHUBARBRUN_TESTS_COORDINATION_PROPERTY_CHECK_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

namespace rhubarbrun::tests {

/// Runs a rapidcheck property with a fixed seed; returns the failure as
/// rapidcheck reports it, or an empty string.
template <class Property>
auto find_failure(Property&& property, std::uint64_t seed = 1, int runs = 300)
    -> std::string
{
    auto parameters = rc::detail::TestParams{};
    parameters.seed = seed;
    parameters.maxSuccess = runs;
    parameters.maxSize = 200;
    const auto result =
        rc::detail::checkTestable(std::forward<Property>(property),
                                  rc::detail::TestMetadata{}, parameters);
    auto text = std::ostringstream{};
    if (!result.template is<rc::detail::SuccessResult>()) {
        rc::detail::printResultMessage(result, text);
    }
    return text.str();
}

} // namespace rhubarbrun::tests

#endif
