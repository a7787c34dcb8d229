// Failures in a row, as evidence that a target has turned cold unannounced.
#ifndef KUMQUATRAMP_LIMITS_CONSECUTIVE_FAILURES_HPP
#define KUMQUATRAMP_LIMITS_CONSECUTIVE_FAILURES_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// Counts failures of which each was sent after the one before had ended.
/// All sends that fail together, as after a pause of the process, thus count
/// once. Not safe from several threads.
class consecutive_failures
{
public:
    /// Failures in a row that make a run.
    static constexpr std::uint32_t threshold = 5;

    /// A send of `sent` failed; true if this completes a run.
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
