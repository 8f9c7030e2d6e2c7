#ifndef RHUBARBRUN_TRANSPORT_LATENCY_WINDOW_HPP
#define RHUBARBRUN_TRANSPORT_LATENCY_WINDOW_HPP

#include <rhubarbrun/state/units.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <optional>

namespace rhubarbrun::inline v1 {

/// Latencies of one kind of request within one window. The quantiles are
/// estimates of the P-square algorithm, which keeps five markers each.
struct latency_summary
{
    std::uint64_t count = 0;
    duration median{};
    duration p99{};
    duration worst{};
};

/// Summarises latencies over consecutive windows of fixed length, with constant
/// memory.
///
/// Not safe for use from several threads. Times must not decrease.
class latency_window
{
public:
    explicit latency_window(duration length) noexcept : length_(length) {}

    auto add(time_point now, duration latency) -> void;

    /// The last whole window; no value if no request ended in it.
    [[nodiscard]] auto last(time_point now) -> std::optional<latency_summary>;

private:
    class samples
    {
    public:
        samples();
        auto add(duration latency) -> void;
        [[nodiscard]] auto summary() const -> std::optional<latency_summary>;

    private:
        using quantile = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<
                        boost::accumulators::tag::p_square_quantile>>;
        using extremes = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count,
                                               boost::accumulators::tag::max>>;

        quantile median_;
        quantile p99_;
        extremes extremes_;
    };

    auto rotate(time_point now) -> void;

    duration length_;
    std::optional<time_point> started_;
    samples current_;
    std::optional<latency_summary> last_;
};

} // namespace rhubarbrun::inline v1

#endif
