// State of a target gate, as reported to operators.
#ifndef KUMQUATRAMP_LIMITS_GATE_STATUS_HPP
#define KUMQUATRAMP_LIMITS_GATE_STATUS_HPP

#include <base/time.hpp>
#include <cstdint>
#include <limits/target_bounds.hpp>
#include <limits/warmth.hpp>

namespace kumquatramp
{

struct gate_status
{
    target_bounds bounds;
    warmth warmth_seen;
    double limit = 0;              ///< attempts allowed in flight
    std::uint32_t in_flight = 0;   ///< attempts not yet answered
    std::uint32_t connections = 0; ///< connections this host may hold
    duration latency{0};           ///< smoothed latency of answers
    std::uint64_t sent = 0;        ///< since start
    std::uint64_t refused = 0;     ///< shed by the target, since start
    std::uint64_t failed = 0;      ///< connect failed, broken, failed or
                                   ///< malformed, since start
};

} // namespace kumquatramp

#endif
