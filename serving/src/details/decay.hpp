// Beliefs that fade without new evidence.
#ifndef KUMQUATRAMP_SERVING_DETAILS_DECAY_HPP
#define KUMQUATRAMP_SERVING_DETAILS_DECAY_HPP

#include <base/milliseconds.hpp>
#include <cmath>

namespace kumquatramp::serving
{

/// Without samples a target's slowness halves its distance to 1 in this time,
/// so that it is tried again.
inline constexpr double slowness_half_life_ms = 2500.0;

/// The same for its share of failures.
inline constexpr double failure_half_life_ms = 2000.0;

/// A value on its way back to `baseline`, halving the distance each half-life.
inline double decayed(double value, double baseline, time_point since,
                      time_point now, double half_life_ms)
{
    double const age = to_ms(now - since);
    return baseline + (value - baseline) * std::exp2(-age / half_life_ms);
}

} // namespace kumquatramp::serving

#endif
