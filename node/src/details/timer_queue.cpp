// Timer queue implemented as a mutex-protected heap.
#include "details/timer_queue.hpp"

namespace kumquatramp
{

void timer_queue::add(timer const& entry)
{
    std::lock_guard const guard(mutex_);
    heap_.push(entry);
}

void timer_queue::take_due(time_point now, std::vector<timer>& due)
{
    std::lock_guard const guard(mutex_);
    while (!heap_.empty() && heap_.top().when <= now)
    {
        due.push_back(heap_.top());
        heap_.pop();
    }
}

time_point timer_queue::next() const
{
    std::lock_guard const guard(mutex_);
    return heap_.empty() ? never : heap_.top().when;
}

} // namespace kumquatramp
