// Clock interface, for the code that runs the decision library in a process.
#ifndef KUMQUATRAMP_BASE_CLOCK_HPP
#define KUMQUATRAMP_BASE_CLOCK_HPP

#include <base/time.hpp>

namespace kumquatramp
{

/// Returns the current time. Implementations must be monotonic, must keep
/// counting while the process is stopped, and must be safe to call from any
/// thread.
class clock
{
public:
    clock() = default;
    clock(clock const&) = delete;
    clock& operator=(clock const&) = delete;
    virtual ~clock() = default;

    virtual time_point now() const noexcept = 0;
};

} // namespace kumquatramp

#endif
