// Counts the calls that the platform stand-in receives.
#ifndef KUMQUATRAMP_STANDINS_PLATFORM_CALL_COUNTER_HPP
#define KUMQUATRAMP_STANDINS_PLATFORM_CALL_COUNTER_HPP

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace kumquatramp::standins
{

struct call_counts
{
    std::uint64_t calls = 0;
    std::uint64_t waiting = 0; ///< calls not yet answered
    std::uint64_t peak_per_second = 0;
};

/// Counts a watch as one call, however long it waits. Thread-safe.
class call_counter
{
public:
    /// Counts the start of a call. `second` is the current time in whole
    /// seconds; the epoch does not matter.
    void begin(std::int64_t second)
    {
        std::lock_guard const guard(mutex_);
        ++counts_.calls;
        ++counts_.waiting;
        in_second_ = second == second_ ? in_second_ + 1 : 1;
        second_ = second;
        counts_.peak_per_second = std::max(counts_.peak_per_second, in_second_);
    }

    /// Counts the answer to a call.
    void end()
    {
        std::lock_guard const guard(mutex_);
        --counts_.waiting;
    }

    call_counts counts() const
    {
        std::lock_guard const guard(mutex_);
        return counts_;
    }

private:
    mutable std::mutex mutex_;
    // All members below are guarded by mutex_.
    call_counts counts_;
    std::int64_t second_ = -1;
    std::uint64_t in_second_ = 0;
};

} // namespace kumquatramp::standins

#endif
