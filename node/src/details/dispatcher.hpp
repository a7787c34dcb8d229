// Sends one shard's sub-request to a replica, or lets it wait for one.
#ifndef KUMQUATRAMP_NODE_DETAILS_DISPATCHER_HPP
#define KUMQUATRAMP_NODE_DETAILS_DISPATCHER_HPP

#include "details/engine_context.hpp"
#include "details/running_query.hpp"
#include "details/timer_queue.hpp"
#include <node/actions.hpp>

namespace kumquatramp
{

/// Called with the query's lock held.
class dispatcher
{
public:
    dispatcher(engine_context const& context, timer_queue& timers);

    /// Sends, or queues the shard if no replica has a place. False if the
    /// queue is full too, or the shard has no replica at all.
    bool send_or_queue(running_query& query, shard_index shard, time_point now,
                       action_list& out);

    /// Sends if a replica has a place.
    bool send(running_query& query, shard_index shard, time_point now,
              action_list& out);

    /// Sends a second attempt to another replica, within the budget.
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
