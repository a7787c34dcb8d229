// How many targets are in which state, for figures.
#ifndef KUMQUATRAMP_SERVING_TARGET_STATES_HPP
#define KUMQUATRAMP_SERVING_TARGET_STATES_HPP

namespace kumquatramp::serving
{

/// Each target counts once, under the first that fits from the top.
struct target_states
{
    int misdirected = 0; ///< another instance is at its address
    int draining = 0;
    int unlisted = 0; ///< its entry has gone
    int evacuated = 0;
    int failing = 0; ///< avoided after failures in a row
    int cold = 0;
    int full = 0; ///< given a share of sends only
    int ready = 0;
};

} // namespace kumquatramp::serving

#endif
