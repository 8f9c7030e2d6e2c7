#ifndef RHUBARBRUN_STATE_UNITS_HPP
#define RHUBARBRUN_STATE_UNITS_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <ratio>

namespace rhubarbrun::inline v1 {

/// The clock type of all decision code.
///
/// It has no `now()`: the time is always passed in, so that tests run in
/// virtual time.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A length of time in whole microseconds.
using duration = monotonic_clock::duration;

/// Microseconds since an arbitrary start that is fixed for one process.
using time_point = monotonic_clock::time_point;

/// Returns the current time; transport passes the system's monotonic clock.
using clock_function = std::function<time_point()>;

/// Returns a uniformly distributed 64-bit number.
using random_function = std::function<std::uint64_t()>;

/// `count` milliseconds, as settings and bundles state lengths of time.
[[nodiscard]] constexpr auto milliseconds(std::int64_t count) noexcept
    -> duration
{
    return std::chrono::milliseconds(count);
}

/// Whole milliseconds of `value`, for messages and logs.
[[nodiscard]] constexpr auto to_milliseconds(duration value) noexcept
    -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace rhubarbrun::inline v1

#endif
