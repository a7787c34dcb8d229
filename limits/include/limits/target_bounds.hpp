// Bounds that the configuration and the membership set for one target.
#ifndef KUMQUATRAMP_LIMITS_TARGET_BOUNDS_HPP
#define KUMQUATRAMP_LIMITS_TARGET_BOUNDS_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

struct target_bounds
{
    std::uint32_t slots = 1;       ///< parallel executions it is designed for
    std::uint32_t connections = 1; ///< its connection limit, for all hosts
    std::uint32_t hosts = 1;       ///< hosts that may share it; may be too
                                   ///< high, but not too low
    bool closed = false;  ///< leaving, drained or outside this host's subset
    bool steward = false; ///< this host is its steward: the only host whose
                          ///< gate admits attempts while the target is cold
    double share = 1.0;   ///< traffic share, in (0, 1]; below 1 while traffic
                          ///< returns to its availability zone

    friend bool operator==(target_bounds const&,
                           target_bounds const&) = default;
};

} // namespace kumquatramp

#endif
