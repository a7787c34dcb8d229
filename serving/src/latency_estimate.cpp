// Smoothed mean and deviation of a route's latency.
#include <algorithm>
#include <base/milliseconds.hpp>
#include <cmath>
#include <serving/latency_estimate.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Share of the objective that stands for the usual latency at first.
constexpr double initial_share = 0.2;
/// Weight of a new sample: about the last 30 samples count.
constexpr double gain = 0.03;
/// While there are few samples each weighs more.
constexpr int warm_samples = 30;
/// Samples above this multiple of the mean are clipped: they tell of a paused
/// target, not of the route.
constexpr double clip = 3.0;
/// Deviations above the mean at which an attempt is overdue: about the 97th
/// percentile of a log-normal service time.
constexpr double overdue_deviations = 3.2;
/// Bounds of the overdue age in multiples of the mean.
constexpr double overdue_least = 1.4;
constexpr double overdue_most = 3.5;

} // namespace

latency_estimate::latency_estimate(duration objective)
    : mean_ms_(std::max(1.0, to_ms(objective) * initial_share))
    , deviation_ms_(mean_ms_ * 0.4)
{
}

void latency_estimate::add(duration sample)
{
    double const ms = std::min(to_ms(sample), mean_ms_ * clip);
    double const weight = samples_ < warm_samples ? 1.0 / (samples_ + 4) : gain;
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
    return from_ms(
        std::clamp(ms, mean_ms_ * overdue_least, mean_ms_ * overdue_most) +
        1.0);
}

} // namespace kumquatramp::serving
