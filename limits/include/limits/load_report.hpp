// Load that a target reports about itself; a hint that may be stale or wrong.
#ifndef KUMQUATRAMP_LIMITS_LOAD_REPORT_HPP
#define KUMQUATRAMP_LIMITS_LOAD_REPORT_HPP

#include <cstdint>

namespace kumquatramp
{

struct load_report
{
    std::uint32_t busy = 0;   ///< slots in use
    std::uint32_t queued = 0; ///< requests waiting for a slot
};

} // namespace kumquatramp

#endif
