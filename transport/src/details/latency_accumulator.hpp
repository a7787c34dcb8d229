// Latency quantiles over two time windows, computed by Boost.Accumulators.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_LATENCY_ACCUMULATOR_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_LATENCY_ACCUMULATOR_HPP

#include <base/time.hpp>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <optional>

namespace kumquatramp
{

/// Boost's accumulators are cumulative, so two of them are rotated, for the
/// current and the previous window of 30 s. The median is the P-square
/// estimate; upper quantiles come from the tail cache and are exact while the
/// samples above them fit in it. Not thread-safe.
class latency_accumulator
{
public:
    latency_accumulator();

    void record(duration latency, time_point now);

    /// Quantiles in seconds of the window with more samples; std::nullopt if
    /// there are none. The tail requires 0.9 <= p < 1.
    std::optional<double> tail_seconds(double p, time_point now) const;
    std::optional<double> median_seconds(time_point now) const;

private:
    using sample_set = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::p_square_quantile,
                                   boost::accumulators::tag::tail_quantile<
                                       boost::accumulators::right>>>;

    static sample_set empty_set();
    void rotate(time_point now);
    sample_set const* larger_window(time_point now) const;

    time_point started_{};
    sample_set current_;
    sample_set previous_;
};

} // namespace kumquatramp

#endif
