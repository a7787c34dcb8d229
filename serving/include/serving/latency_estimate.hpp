// The usual latency of a route's attempts and when one is overdue.
#ifndef KUMQUATRAMP_SERVING_LATENCY_ESTIMATE_HPP
#define KUMQUATRAMP_SERVING_LATENCY_ESTIMATE_HPP

#include <base/time.hpp>

namespace kumquatramp::serving
{

/// Smoothed mean and mean deviation, in the manner of TCP's retransmission
/// timer. Outliers are clipped, so that paused targets do not raise it.
class latency_estimate
{
public:
    /// Until the first samples the usual latency is a share of the objective.
    explicit latency_estimate(duration objective);

    void add(duration sample);

    duration usual() const;

    /// Past this age an attempt is overdue: another replica would most likely
    /// answer sooner.
    duration overdue_after() const;

private:
    double mean_ms_;
    double deviation_ms_;
    int samples_ = 0;
};

} // namespace kumquatramp::serving

#endif
