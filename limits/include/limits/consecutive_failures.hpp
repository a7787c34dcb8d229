// Consecutive failures, as evidence that a target has become cold without
// notice.
#ifndef KUMQUATRAMP_LIMITS_CONSECUTIVE_FAILURES_HPP
#define KUMQUATRAMP_LIMITS_CONSECUTIVE_FAILURES_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// Counts a failure only if its attempt was sent after the previous counted
/// failure ended. Attempts that fail together, for example after a pause of
/// this process, thus count once. Not thread-safe.
class consecutive_failures
{
public:
    /// Consecutive failures after which the target is considered cold.
    static constexpr std::uint32_t threshold = 5;

    /// Records the failure of an attempt sent at `sent`; returns true once the
    /// threshold is reached.
    bool add(time_point sent, time_point now)
    {
        if (sent < last_failure_)
        {
            return false;
        }
        last_failure_ = now;
        ++count_;
        return count_ >= threshold;
    }

    void clear() { count_ = 0; }

private:
    std::uint32_t count_ = 0;
    time_point last_failure_{};
};

} // namespace kumquatramp

#endif
