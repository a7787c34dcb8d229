// The engine's timers in order of time.
#ifndef KUMQUATRAMP_SERVING_DETAILS_TIMER_QUEUE_HPP
#define KUMQUATRAMP_SERVING_DETAILS_TIMER_QUEUE_HPP

#include <base/time.hpp>
#include <cstdint>
#include <queue>
#include <vector>

namespace kumquatramp::serving
{

enum class timer_kind
{
    attempt_overdue,
    attempt_expired,
    request_completion_check,
    request_expires,
};

/// A timer is never removed early: whoever handles it checks whether its
/// subject is still there.
struct timer
{
    time_point at;
    timer_kind kind;
    std::uint64_t subject;

    friend bool operator>(timer const& a, timer const& b)
    {
        return a.at > b.at;
    }
};

using timer_queue =
    std::priority_queue<timer, std::vector<timer>, std::greater<>>;

} // namespace kumquatramp::serving

#endif
