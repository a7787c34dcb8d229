// Estimate of a route's usual latency and of the age at which an attempt is
// overdue.
#ifndef KUMQUATRAMP_SERVING_LATENCY_ESTIMATE_HPP
#define KUMQUATRAMP_SERVING_LATENCY_ESTIMATE_HPP

#include <base/time.hpp>

namespace kumquatramp::serving
{

/// Smoothed mean and mean deviation, like the round-trip estimate of TCP's
/// retransmission timer. Outliers are clipped, so that paused targets do not
/// raise the estimate.
class latency_estimate
{
public:
    /// Before the first sample the usual latency is a share of the objective.
    explicit latency_estimate(duration objective);

    void add(duration sample);

    /// Smoothed mean latency.
    duration usual() const;

    /// Age from which an attempt is overdue: another replica would most likely
    /// answer sooner.
    duration overdue_after() const;

private:
    double mean_ms_;
    double deviation_ms_;
    int samples_ = 0;
};

} // namespace kumquatramp::serving

#endif
