// Handling of target replies.
#include "details/ended_attempt.hpp"
#include "details/query_engine.hpp"
#include "details/service_runtime.hpp"
#include <array>

namespace kumquatramp
{

namespace
{

// How often a query may switch to another snapshot. After that it only tries
// other targets, and shards may stay unanswered.
constexpr std::uint32_t max_snapshot_switches = 2;

std::vector<open_attempt>::iterator find_open(shard_progress& progress,
                                              std::uint32_t number)
{
    return std::find_if(progress.open.begin(), progress.open.end(),
                        [&](open_attempt const& attempt)
                        { return attempt.number == number; });
}

bool is_mismatched(target_reply const& reply)
{
    return reply.outcome == attempt_outcome::answered &&
           (reply.echoed != reply.id || reply.shard != reply.id.shard);
}

void record_held_snapshots(running_query& query, target_name const& target,
                           target_reply const& reply)
{
    if (!reply.holds.empty())
    {
        query.service->learn(target, reply.holds);
    }
    else if (reply.outcome == attempt_outcome::answered &&
             !query.non_idempotent())
    {
        query.service->learn(target, std::array{reply.snapshot});
    }
}

} // namespace

void query_engine::release(ended_attempt const& ended,
                           target_reply const& reply, time_point now,
                           action_list& out)
{
    auto const& target = *ended.attempt.target;
    if (ended.attempt.grant)
    {
        if (reply.outcome == attempt_outcome::connect_failed)
        {
            context_.grants.back_off(target.entry.name, now);
        }
        out.push_back(make_report(*ended.attempt.grant, target.entry.name,
                                  reply.outcome, ended.latency));
        return;
    }
    target.gate->release(reply.outcome, ended.latency, reply.load, now);
}

bool query_engine::target_allows(open_attempt const& attempt,
                                 time_point now) const
{
    if (!attempt.grant)
    {
        auto const& target = *attempt.target;
        return target.gate->may_send(now) &&
               (target.gate->seen().warm ||
                context_.permission.held(target.entry.name, now));
    }
    auto const current =
        context_.routes.table()->find(attempt.target->entry.name);
    return current && current->closed == closed_reason::none &&
           now < attempt.grant->expires &&
           attempt.target->gate->seen().epoch <= attempt.grant->epoch;
}

bool query_engine::may_send(attempt_id const& id, time_point now)
{
    bool permitted = false;
    registry_.with(
        id.query,
        [&](running_query& query)
        {
            if (id.host != context_.life || !query.covers(id.shard))
            {
                return;
            }
            auto& progress = query.progress(id.shard);
            auto const found = find_open(progress, id.attempt);
            bool const allowed =
                found != progress.open.end() && !found->permitted &&
                !query.answered && now < query.deadline &&
                !query.answers.has(id.shard) && context_.lease.valid(now) &&
                target_allows(*found, now);
            if (!allowed ||
                (query.non_idempotent() &&
                 !context_.ledger.begin_send(*query.request.once, now)))
            {
                return;
            }
            found->permitted = true;
            found->started = now;
            permitted = true;
        });
    return permitted;
}

void query_engine::on_reply(target_reply reply, time_point now,
                            action_list& out)
{
    service_name service;
    std::uint64_t map = 0;
    if (is_mismatched(reply))
    {
        reply.outcome = attempt_outcome::malformed;
    }
    registry_.with(
        reply.id.query,
        [&](running_query& query)
        {
            if (reply.id.host != context_.life || !query.covers(reply.id.shard))
            {
                return;
            }
            auto& progress = query.progress(reply.id.shard);
            auto const found = find_open(progress, reply.id.attempt);
            if (found == progress.open.end())
            {
                return;
            }
            ended_attempt ended{std::move(*found), {}};
            progress.open.erase(found);
            ended.latency = now - ended.attempt.started;
            release(ended, reply, now, out);
            record_held_snapshots(query, ended.attempt.target->entry.name,
                                  reply);
            service = query.request.service;
            map = query.map;
            if (query.non_idempotent())
            {
                on_non_idempotent_reply(query, ended, reply, now, out);
            }
            else
            {
                on_idempotent_reply(query, ended, reply, now, out);
            }
        });
    if (auto const runtime = context_.routes.runtime(service))
    {
        serve_waiting(service, map, reply.id.shard,
                      runtime->shard(map, reply.id.shard), now, out);
    }
}

void query_engine::on_idempotent_reply(running_query& query,
                                       ended_attempt const& attempt,
                                       target_reply& reply, time_point now,
                                       action_list& out)
{
    auto const shard = reply.id.shard;
    bool const has_latency = reply.outcome == attempt_outcome::answered ||
                             reply.outcome == attempt_outcome::cancelled ||
                             reply.outcome == attempt_outcome::timed_out;
    if (attempt.attempt.permitted && has_latency)
    {
        // A cancelled or timed-out attempt would have taken at least this long.
        query.service->latencies().record(attempt.latency, now);
        query.service->shard(query.map, shard)
            .latencies.record(attempt.latency, now);
    }
    if (query.answered || query.answers.has(shard))
    {
        return;
    }
    auto& progress = query.progress(shard);
    auto const& name = attempt.attempt.target->entry.name;
    switch (reply.outcome)
    {
    case attempt_outcome::answered:
        merge(query, reply, now, out);
        return;
    case attempt_outcome::wrong_snapshot:
        query.answers.mark(shard, shard_state::wrong_snapshot);
        if (!switch_snapshot(query, now, out))
        {
            progress.excluded.push_back(name);
            requeue(query, shard, now, out);
        }
        return;
    case attempt_outcome::draining:
        // A draining target refuses immediately; retrying it would busy-loop.
        progress.excluded.push_back(name);
        requeue(query, shard, now, out);
        return;
    case attempt_outcome::refused:
    case attempt_outcome::not_sent:
    case attempt_outcome::connect_failed:
        // The gate paces the next attempt, so it needs no retry budget.
        requeue(query, shard, now, out);
        return;
    default:
        progress.excluded.push_back(name);
        retry_or_give_up(query, shard, reply.outcome, now, out);
    }
}

void query_engine::merge(running_query& query, target_reply& reply,
                         time_point now, action_list& out)
{
    auto const shard = reply.id.shard;
    auto const add_result =
        query.answers.add(shard, reply.snapshot, std::move(reply.payload));
    if (add_result == merge_result::other_snapshot)
    {
        query.answers.mark(shard, shard_state::wrong_snapshot);
        if (!switch_snapshot(query, now, out))
        {
            requeue(query, shard, now, out);
        }
        return;
    }
    for (auto const& other : query.progress(shard).open)
    {
        out.push_back(cancel_attempt{
            {context_.life, query.request.number, shard, other.number}});
    }
    finish_if_done(query, now, out);
}

bool query_engine::switch_snapshot(running_query& query, time_point now,
                                   action_list& out)
{
    auto const route = context_.routes.table()->find(query.request.service);
    if (!route || query.snapshot_switches >= max_snapshot_switches)
    {
        return false;
    }
    for (auto const& map : route->maps)
    {
        if (map.version != query.map)
        {
            continue;
        }
        auto const replacement = query.service->choose(map);
        if (replacement.index == 0 || replacement == query.answers.snapshot())
        {
            return false;
        }
        ++query.snapshot_switches;
        query.answers.reset_to(replacement);
        for (std::uint32_t i = 0; i < query.shards.size(); ++i)
        {
            query.shards[i].given_up = false;
            if (query.shards[i].open.empty())
            {
                requeue(query, shard_index{i}, now, out);
            }
        }
        return true;
    }
    return false;
}

void query_engine::requeue(running_query& query, shard_index shard,
                           time_point now, action_list& out)
{
    auto& progress = query.progress(shard);
    if (query.answered || !progress.open.empty())
    {
        return;
    }
    auto& waiting = query.service->shard(query.map, shard).waiting;
    if (!progress.waiting)
    {
        progress.waiting = waiting.push(query.request.number,
                                        query.request.caller, query.deadline);
        progress.given_up = !progress.waiting;
    }
    finish_if_done(query, now, out);
}

void query_engine::retry_or_give_up(running_query& query, shard_index shard,
                                    attempt_outcome outcome, time_point now,
                                    action_list& out)
{
    auto& progress = query.progress(shard);
    query.answers.mark(shard, outcome == attempt_outcome::timed_out
                                  ? shard_state::late
                                  : shard_state::failed);
    if (!progress.open.empty())
    {
        return; // the other attempt may still answer
    }
    if (now < query.deadline && query.service->retries().spend())
    {
        requeue(query, shard, now, out);
        return;
    }
    progress.given_up = true;
    finish_if_done(query, now, out);
}

void query_engine::finish_if_done(running_query& query, time_point now,
                                  action_list& out)
{
    if (query.answered || query.non_idempotent())
    {
        return;
    }
    bool const settled =
        std::all_of(query.shards.begin(), query.shards.end(),
                    [&](shard_progress const& progress)
                    {
                        auto const position = static_cast<std::uint32_t>(
                            &progress - query.shards.data());
                        return progress.given_up ||
                               query.answers.has(shard_index{position});
                    });
    bool const sufficient =
        query.partial_allowed &&
        query.answers.coverage() >= query.route->policy.enough_coverage;
    if (settled)
    {
        finish_idempotent(query, now, out);
    }
    else if (sufficient)
    {
        on_deadline(query, now, out);
    }
}

void query_engine::on_non_idempotent_reply(running_query& query,
                                           ended_attempt const& attempt,
                                           target_reply& reply, time_point now,
                                           action_list& out)
{
    auto const& id = *query.request.once;
    if (reply.outcome == attempt_outcome::answered)
    {
        request_answer answer;
        answer.coverage = 1.0;
        answer.shards.push_back(
            {reply.id.shard, shard_state::answered, reply.payload});
        context_.ledger.finish_ran(id, std::move(reply.payload), now);
        give_answer(query, std::move(answer), now, out);
        return;
    }
    if (!certainly_not_run(reply.outcome))
    {
        auto const kind = reply.outcome == attempt_outcome::failed
                              ? error_kind::target_failed
                              : error_kind::outcome_unknown;
        context_.ledger.finish_unknown(id, kind, now);
        give_answer(query, refusal(kind, std::string(to_string(reply.outcome))),
                    now, out);
        return;
    }
    if (attempt.attempt.permitted)
    {
        context_.ledger.return_unsent(id);
    }
    if (query.answered)
    {
        // The caller may have been told "unknown"; record the definite
        // outcome for later queries of the id.
        context_.ledger.finish_not_run(id, error_kind::deadline_exceeded, now);
        return;
    }
    auto const shard = reply.id.shard;
    if (reply.outcome == attempt_outcome::draining ||
        reply.outcome == attempt_outcome::wrong_snapshot)
    {
        query.progress(shard).excluded.push_back(
            attempt.attempt.target->entry.name);
    }
    requeue(query, shard, now, out);
    if (query.progress(shard).given_up)
    {
        finish_non_idempotent(query, error_kind::overloaded, now, out);
    }
}

} // namespace kumquatramp
