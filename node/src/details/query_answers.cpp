// Completion of requests.
#include "details/query_engine.hpp"
#include "details/service_runtime.hpp"

namespace kumquatramp
{

namespace
{

// Failures caused by the caller do not count against the service's objective.
bool counts_against_objective(error_kind kind)
{
    return kind != error_kind::cancelled && kind != error_kind::rate_limited;
}

} // namespace

void query_engine::finish_idempotent(running_query& query, time_point now,
                                     action_list& out)
{
    auto const& policy = query.route->policy;
    request_answer answer;
    answer.snapshot = query.answers.snapshot();
    answer.coverage = query.answers.coverage();
    bool const none = query.answers.answered() == 0;
    if (none || answer.coverage < policy.min_coverage)
    {
        auto const kind = none && now >= query.deadline
                              ? error_kind::deadline_exceeded
                              : error_kind::insufficient_coverage;
        answer.failed =
            error{kind, std::to_string(query.answers.answered()) + " of " +
                            std::to_string(query.answers.shards()) +
                            " shards answered"};
        answer.state =
            query.sends == 0 ? run_state::not_run : run_state::unknown;
    }
    answer.shards = query.answers.take();
    give_answer(query, std::move(answer), now, out);
}

void query_engine::finish_non_idempotent(running_query& query, error_kind why,
                                         time_point now, action_list& out)
{
    auto const& id = *query.request.once;
    bool sent = false;
    for (auto const& attempt : query.shards.front().open)
    {
        sent = sent || attempt.permitted;
    }
    if (sent)
    {
        // The send continues; its reply will still update the ledger.
        context_.ledger.finish_unknown(id, error_kind::outcome_unknown, now);
        give_answer(query, refusal(error_kind::outcome_unknown, {}), now, out);
        return;
    }
    context_.ledger.finish_not_run(id, why, now);
    give_answer(query, refusal(why, {}), now, out);
}

void query_engine::give_answer(running_query& query, request_answer answer,
                               time_point now, action_list& out)
{
    if (query.answered)
    {
        return;
    }
    query.answered = true;
    answer.elapsed = now - query.started;
    answer.sends = query.sends;
    answer.hedges = query.hedges;
    auto const& request = query.request;
    if (!answer.failed || counts_against_objective(answer.failed->kind))
    {
        bool const good =
            !answer.failed && answer.coverage >= 1.0 &&
            answer.elapsed <= query.route->policy.objective_latency;
        context_.burn.record(request.service, good, now);
    }
    context_.admission_control.leave(request.service, request.caller);
    cancel_outstanding(query, out);
    out.push_back(answer_caller{request.number, std::move(answer)});
}

void query_engine::cancel_outstanding(running_query& query, action_list& out)
{
    for (std::uint32_t i = 0; i < query.shards.size(); ++i)
    {
        shard_index const shard{query.first_shard + i};
        auto& progress = query.shards[i];
        if (progress.waiting)
        {
            query.service->shard(query.map, shard)
                .waiting.remove(query.request.number);
            progress.waiting = false;
        }
        if (query.non_idempotent())
        {
            continue; // sends of non-idempotent requests are never cancelled
        }
        for (auto const& attempt : progress.open)
        {
            out.push_back(cancel_attempt{
                {context_.life, query.request.number, shard, attempt.number}});
        }
    }
}

} // namespace kumquatramp
