// Recent failure rate of a target.
#ifndef KUMQUATRAMP_LIMITS_FAILURE_RATE_ESTIMATOR_HPP
#define KUMQUATRAMP_LIMITS_FAILURE_RATE_ESTIMATOR_HPP

#include <base/time.hpp>

namespace kumquatramp
{

/// Exponentially smoothed fraction of attempts that failed. It decays while
/// nothing is sent, so that a target avoided for its failures is tried again.
/// Not thread-safe.
class failure_rate_estimator
{
public:
    /// Time in which the rate halves if nothing is recorded.
    static constexpr duration half_life = 5s;

    void record(bool failed, time_point now);

    /// The failure rate at `now`, in [0, 1].
    double rate_at(time_point now) const;

private:
    double rate_ = 0; // at last_record_
    time_point last_record_{};
};

} // namespace kumquatramp

#endif
