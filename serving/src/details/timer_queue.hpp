// Timers of the request engine, ordered by time.
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

/// Timers are never cancelled: the handler checks whether the subject (an
/// attempt or a request) still exists.
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
