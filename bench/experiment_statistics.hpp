#ifndef RHUBARBRUN_BENCH_EXPERIMENT_STATISTICS_HPP
#define RHUBARBRUN_BENCH_EXPERIMENT_STATISTICS_HPP

#include "experiment_simulation.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <cstddef>

namespace rhubarbrun::bench {

/// Mean and upper quantiles of delays, in milliseconds.
class delay_statistics
{
public:
    auto add(duration value) -> void { values_(to_fractional_ms(value)); }

    [[nodiscard]] auto count() const -> std::size_t
    {
        return boost::accumulators::count(values_);
    }

    [[nodiscard]] auto mean() const -> double
    {
        return count() == 0 ? 0 : boost::accumulators::mean(values_);
    }

    [[nodiscard]] auto p99() const -> double
    {
        constexpr auto share = 0.99;
        return count() == 0
                   ? 0
                   : boost::accumulators::quantile(
                         values_,
                         boost::accumulators::quantile_probability = share);
    }

private:
    /// Holds the upper hundredth of a million values.
    static constexpr auto tail_size = std::size_t{10'000};
    using right = boost::accumulators::right;
    using statistics = boost::accumulators::stats<
        boost::accumulators::tag::count, boost::accumulators::tag::mean,
        boost::accumulators::tag::tail_quantile<right>>;

    boost::accumulators::accumulator_set<double, statistics> values_{
        boost::accumulators::tag::tail<right>::cache_size = tail_size};
};

} // namespace rhubarbrun::bench

#endif
