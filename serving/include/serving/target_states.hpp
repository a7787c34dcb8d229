// Number of targets in each state, for metrics.
#ifndef KUMQUATRAMP_SERVING_TARGET_STATES_HPP
#define KUMQUATRAMP_SERVING_TARGET_STATES_HPP

namespace kumquatramp::serving
{

/// Each target counts once, in the first of these states that applies.
struct target_states
{
    int misdirected = 0; ///< another instance answered at its address
    int draining = 0;
    int unlisted = 0; ///< registry entry removed
    int evacuated = 0;
    int resting = 0; ///< asked to receive nothing for a time
    int failing = 0; ///< avoided after consecutive failures
    int cold = 0;
    int limited = 0; ///< states a limit on its requests per second
    int full = 0;    ///< receives only a share of the sends
    int ready = 0;
};

} // namespace kumquatramp::serving

#endif
