// Virtual time: an event queue and the current virtual time.
#ifndef KUMQUATRAMP_SCENARIOS_EVENT_QUEUE_HPP
#define KUMQUATRAMP_SCENARIOS_EVENT_QUEUE_HPP

#include <base/time.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace kumquatramp::scenarios
{

/// Jobs that are due at the same time run in the order in which they were
/// added, so that a run depends on its seed alone. Not thread-safe.
class event_queue
{
public:
    using job = std::function<void()>;

    time_point now() const noexcept { return now_; }

    /// Adds a job; a time in the past is replaced by the current time.
    void at(time_point when, job callback);

    void after(duration wait, job callback)
    {
        at(now_ + wait, std::move(callback));
    }

    /// Runs all jobs due up to and including `end`, then sets the current
    /// time to `end`. Throws std::runtime_error if virtual time does not
    /// advance because jobs keep adding jobs that are due at once.
    void run_until(time_point end);

private:
    struct entry
    {
        time_point when;
        std::uint64_t order;
        job callback;
    };

    struct later
    {
        bool operator()(entry const& a, entry const& b) const
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    time_point now_{};
    std::uint64_t jobs_at_now_ = 0;
    std::uint64_t next_order_ = 0;
    std::priority_queue<entry, std::vector<entry>, later> heap_;
};

} // namespace kumquatramp::scenarios

#endif
