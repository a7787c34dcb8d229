// Conversion between durations and fractional milliseconds.
#ifndef KUMQUATRAMP_BASE_MILLISECONDS_HPP
#define KUMQUATRAMP_BASE_MILLISECONDS_HPP

#include <base/time.hpp>

namespace kumquatramp
{

inline double to_ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

inline duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

} // namespace kumquatramp

#endif
