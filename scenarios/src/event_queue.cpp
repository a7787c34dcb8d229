// Event queue that drives virtual time.
#include <algorithm>
#include <scenarios/event_queue.hpp>
#include <stdexcept>

namespace kumquatramp::scenarios
{

namespace
{

// More jobs than this at one time indicate an endless loop, e.g. a node that
// requests its next tick in the past.
constexpr std::uint64_t max_jobs_per_instant = 100'000;

} // namespace

void event_queue::at(time_point when, job callback)
{
    heap_.push({std::max(when, now_), next_order_++, std::move(callback)});
}

void event_queue::run_until(time_point end)
{
    while (!heap_.empty() && heap_.top().when <= end)
    {
        // The entry is popped immediately afterwards, so moving its job out
        // does not affect the heap order.
        auto next = std::move(const_cast<entry&>(heap_.top()));
        heap_.pop();
        jobs_at_now_ = next.when == now_ ? jobs_at_now_ + 1 : 0;
        if (jobs_at_now_ > max_jobs_per_instant)
        {
            throw std::runtime_error(
                "event queue stuck: virtual time does not advance");
        }
        now_ = next.when;
        next.callback();
    }
    now_ = end;
}

} // namespace kumquatramp::scenarios
