// Serves callers' requests: fan-out, hedging, retries, merging and answering.
#ifndef KUMQUATRAMP_NODE_DETAILS_QUERY_ENGINE_HPP
#define KUMQUATRAMP_NODE_DETAILS_QUERY_ENGINE_HPP

#include "details/dispatcher.hpp"
#include "details/engine_context.hpp"
#include "details/query_registry.hpp"
#include "details/timer_queue.hpp"
#include <node/actions.hpp>
#include <node/caller_request.hpp>
#include <node/target_reply.hpp>
#include <optional>

namespace kumquatramp
{

/// Thread-safe. Lock order: a query's lock first, then those of gates, queues,
/// budgets and the ledger. The locks of two queries are never held at once.
class query_engine
{
public:
    explicit query_engine(engine_context const& context);

    /// `refused_by_host` is set if the host currently refuses all requests.
    void submit(caller_request request,
                std::optional<error_kind> refused_by_host, time_point now,
                action_list& out);
    void cancel(query_number number, time_point now, action_list& out);
    bool may_send(attempt_id const& id, time_point now);
    void on_reply(target_reply reply, time_point now, action_list& out);

    /// Serves the sub-requests queued for a target that may have gained
    /// capacity.
    void on_capacity(target_name const& target, time_point now,
                     action_list& out);

    /// Fires due timers and serves queued sub-requests.
    void tick(time_point now, action_list& out);
    time_point next_tick(time_point now) const;

    std::uint32_t unanswered() const { return registry_.unanswered(); }

    /// Builds the answer to a request that failed with an error of this kind.
    static request_answer refusal(error_kind kind, std::string detail);

private:
    struct ended_attempt;

    void release(ended_attempt const& ended, target_reply const& reply,
                 time_point now, action_list& out);
    bool target_allows(open_attempt const& attempt, time_point now) const;
    void fan_out(running_query& query, time_point now, action_list& out);
    bool admit_id(caller_request const& request, time_point now,
                  action_list& out);
    bool answer_known_outcome(caller_request const& request, time_point now,
                              action_list& out);

    void on_idempotent_reply(running_query& query, ended_attempt const& attempt,
                             target_reply& reply, time_point now,
                             action_list& out);
    void on_non_idempotent_reply(running_query& query,
                                 ended_attempt const& attempt,
                                 target_reply& reply, time_point now,
                                 action_list& out);
    void merge(running_query& query, target_reply& reply, time_point now,
               action_list& out);
    void requeue(running_query& query, shard_index shard, time_point now,
                 action_list& out);
    bool switch_snapshot(running_query& query, time_point now,
                         action_list& out);
    void retry_or_give_up(running_query& query, shard_index shard,
                          attempt_outcome outcome, time_point now,
                          action_list& out);
    void finish_if_done(running_query& query, time_point now, action_list& out);

    void on_timer(timer const& due, time_point now, action_list& out);
    void on_deadline(running_query& query, time_point now, action_list& out);
    void on_straggler_timer(running_query& query, time_point now,
                            action_list& out);
    void give_up(running_query& query, shard_index shard, time_point now,
                 action_list& out);
    void serve_waiting(service_name const& name, std::uint64_t map,
                       shard_index shard, shard_runtime& runtime,
                       time_point now, action_list& out);
    void serve_all_waiting(time_point now, action_list& out);

    void finish_idempotent(running_query& query, time_point now,
                           action_list& out);
    void finish_non_idempotent(running_query& query, error_kind why,
                               time_point now, action_list& out);
    void give_answer(running_query& query, request_answer answer,
                     time_point now, action_list& out);
    void cancel_outstanding(running_query& query, action_list& out);

    engine_context const context_;
    query_registry registry_;
    timer_queue timers_;
    dispatcher dispatcher_;
};

} // namespace kumquatramp

#endif
