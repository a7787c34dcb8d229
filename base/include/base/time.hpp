// Time types of the decision library: monotonic nanoseconds that its caller
// passes in. Nothing here reads a clock.
#ifndef KUMQUATRAMP_BASE_TIME_HPP
#define KUMQUATRAMP_BASE_TIME_HPP

#include <chrono>

namespace kumquatramp
{

using duration = std::chrono::nanoseconds;

/// Clock tag of monotonic time. Deliberately without now(): the time is always
/// passed in.
struct monotonic
{
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    static constexpr bool is_steady = true;
};

/// A point in one process's monotonic time. Time points of different processes
/// must never be compared; send ages instead.
using time_point = std::chrono::time_point<monotonic, duration>;

using namespace std::chrono_literals;

/// Later than every other time point; means "never".
inline constexpr time_point never = time_point::max();

} // namespace kumquatramp

#endif
