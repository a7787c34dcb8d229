// Exponential decay of target statistics without new samples.
#ifndef KUMQUATRAMP_SERVING_DETAILS_DECAY_HPP
#define KUMQUATRAMP_SERVING_DETAILS_DECAY_HPP

#include <base/milliseconds.hpp>
#include <cmath>

namespace kumquatramp::serving
{

/// Half-life of a target's slowness towards 1 without new samples, so that a
/// slow target is tried again.
inline constexpr double slowness_half_life_ms = 2500.0;

/// Half-life of a target's failure share towards 0.
inline constexpr double failure_half_life_ms = 2000.0;

/// The value at `now` of a quantity that was `value` at `since` and halves its
/// distance to `baseline` each half-life.
inline double decayed(double value, double baseline, time_point since,
                      time_point now, double half_life_ms)
{
    double const age = to_ms(now - since);
    return baseline + (value - baseline) * std::exp2(-age / half_life_ms);
}

} // namespace kumquatramp::serving

#endif
