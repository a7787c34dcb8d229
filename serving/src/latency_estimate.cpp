// Exponentially smoothed mean and deviation of a route's latency.
#include <algorithm>
#include <base/milliseconds.hpp>
#include <cmath>
#include <serving/latency_estimate.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Initial estimate of the usual latency, as a share of the objective.
constexpr double initial_objective_share = 0.2;
/// Weight of a new sample; the average covers about the last 30 samples.
constexpr double sample_weight = 0.03;
/// The first samples get a higher weight, so that the estimate converges fast.
constexpr int initial_samples = 30;
/// Samples above this multiple of the mean are clipped: they are caused by a
/// paused target and say nothing about the route.
constexpr double max_sample_factor = 3.0;
/// Mean deviations above the mean at which an attempt is overdue: about the
/// 97th percentile of a log-normal service time.
constexpr double overdue_deviations = 3.2;
/// Bounds of the overdue age, in multiples of the mean.
constexpr double min_overdue_factor = 1.4;
constexpr double max_overdue_factor = 3.5;

} // namespace

latency_estimate::latency_estimate(duration objective)
    : mean_ms_(std::max(1.0, to_ms(objective) * initial_objective_share))
    , deviation_ms_(mean_ms_ * 0.4)
{
}

void latency_estimate::add(duration sample)
{
    double const ms = std::min(to_ms(sample), mean_ms_ * max_sample_factor);
    double const weight =
        samples_ < initial_samples ? 1.0 / (samples_ + 4) : sample_weight;
    ++samples_;
    deviation_ms_ += weight * (std::abs(ms - mean_ms_) - deviation_ms_);
    mean_ms_ += weight * (ms - mean_ms_);
    mean_ms_ = std::max(mean_ms_, 0.2);
}

duration latency_estimate::usual() const
{
    return from_ms(mean_ms_);
}

duration latency_estimate::overdue_after() const
{
    double const ms = mean_ms_ + overdue_deviations * deviation_ms_;
    return from_ms(std::clamp(ms, mean_ms_ * min_overdue_factor,
                              mean_ms_ * max_overdue_factor) +
                   1.0);
}

} // namespace kumquatramp::serving
