// Timers of running queries, earliest first.
#ifndef KUMQUATRAMP_NODE_DETAILS_TIMER_QUEUE_HPP
#define KUMQUATRAMP_NODE_DETAILS_TIMER_QUEUE_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <mutex>
#include <queue>
#include <vector>

namespace kumquatramp
{

enum class timer_kind : std::uint8_t
{
    deadline,   ///< the query must be answered
    stragglers, ///< sufficient coverage may be answered from now on
    hedge,      ///< a shard's sub-request has exceeded the hedge delay
};

struct timer
{
    time_point when;
    query_number query;
    shard_index shard; ///< for hedge only
    timer_kind kind = timer_kind::deadline;
};

/// Thread-safe. Timers of finished queries still fire; the receiver ignores
/// them.
class timer_queue
{
public:
    void add(timer const& entry);

    /// Moves all timers due by `now` to `due`.
    void take_due(time_point now, std::vector<timer>& due);

    /// When the next timer is due; `never` if there is none.
    time_point next() const;

private:
    struct later
    {
        bool operator()(timer const& a, timer const& b) const
        {
            return a.when > b.when;
        }
    };

    mutable std::mutex mutex_;
    std::priority_queue<timer, std::vector<timer>, later>
        heap_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
