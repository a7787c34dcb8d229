// How often a target fails lately.
#ifndef KUMQUATRAMP_LIMITS_FAILURE_RATE_ESTIMATOR_HPP
#define KUMQUATRAMP_LIMITS_FAILURE_RATE_ESTIMATOR_HPP

#include <base/time.hpp>

namespace kumquatramp
{

/// Smoothed share of sends that failed. It fades while nothing is sent, so
/// that a target that is avoided for its failures is tried again. Not safe
/// from several threads.
class failure_rate_estimator
{
public:
    /// Time in which the share halves without news.
    static constexpr duration half_life = 5s;

    void record(bool failed, time_point now);

    /// In [0, 1].
    double rate_at(time_point now) const;

private:
    double rate_ = 0; // as of last_
    time_point updated_{};
};

} // namespace kumquatramp

#endif
