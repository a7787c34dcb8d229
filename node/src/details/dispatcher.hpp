// Sends a shard's sub-request to a replica, or queues it until one can
// take it.
#ifndef KUMQUATRAMP_NODE_DETAILS_DISPATCHER_HPP
#define KUMQUATRAMP_NODE_DETAILS_DISPATCHER_HPP

#include "details/engine_context.hpp"
#include "details/running_query.hpp"
#include "details/timer_queue.hpp"
#include <node/actions.hpp>

namespace kumquatramp
{

/// All methods must be called with the query's lock held.
class dispatcher
{
public:
    dispatcher(engine_context const& context, timer_queue& timers);

    /// Sends the sub-request, or queues it if no replica's gate has a permit
    /// available. Returns false if it was neither sent nor queued.
    bool send_or_queue(running_query& query, shard_index shard, time_point now,
                       action_list& out);

    /// Sends the sub-request if a replica's gate has a permit available or a
    /// grant for a cold replica is held; otherwise may request a grant. Returns
    /// whether it was sent.
    bool send(running_query& query, shard_index shard, time_point now,
              action_list& out);

    /// Sends a second attempt to another replica if the hedge budget allows it.
    void hedge(running_query& query, shard_index shard, time_point now,
               action_list& out);

private:
    bool send_granted(running_query& query, shard_index shard, time_point now,
                      action_list& out);
    std::shared_ptr<shard_route const> replicas_of(running_query const& query,
                                                   shard_index shard) const;
    replica_ptr acquire(running_query& query, shard_index shard, bool hedge,
                        time_point now);
    void emit(running_query& query, shard_index shard, open_attempt attempt,
              action_list& out);
    void schedule_hedge(running_query& query, shard_index shard,
                        time_point now);

    engine_context const& context_;
    timer_queue& timers_;
};

} // namespace kumquatramp

#endif
