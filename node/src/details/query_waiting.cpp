// Sub-requests queued until the gate of a target admits them.
#include "details/query_engine.hpp"
#include "details/service_runtime.hpp"
#include <algorithm>

namespace kumquatramp
{

namespace
{

// A queued sub-request is sent only while at least 1/send_reserve_divisor of
// its time remains, or send_reserve_cap if that is less. A later send would run
// into the deadline: wasted work for an idempotent request, and an unknown
// outcome for a non-idempotent one.
constexpr int send_reserve_divisor = 3;
constexpr duration send_reserve_cap = 1s;

bool too_late_to_send(running_query const& query, time_point now)
{
    auto const reserve =
        std::min((query.deadline - query.started) / send_reserve_divisor,
                 send_reserve_cap);
    return query.deadline - now < reserve;
}

} // namespace

void query_engine::give_up(running_query& query, shard_index shard,
                           time_point now, action_list& out)
{
    query.progress(shard).given_up = true;
    if (query.non_idempotent())
    {
        finish_non_idempotent(query, error_kind::deadline_exceeded, now, out);
        return;
    }
    finish_if_done(query, now, out);
}

void query_engine::serve_waiting(service_name const& name, std::uint64_t map,
                                 shard_index shard, shard_runtime& runtime,
                                 time_point now, action_list& out)
{
    if (!context_.lease.valid(now))
    {
        return;
    }
    bool served = true;
    while (served)
    {
        auto const number = runtime.waiting.pop();
        if (!number)
        {
            return;
        }
        served = false;
        bool const known = registry_.with(
            *number,
            [&](running_query& query)
            {
                auto const relevant = !query.answered && query.map == map &&
                                      query.request.service == name &&
                                      query.covers(shard);
                if (!relevant)
                {
                    served = true; // stale entry: continue with the next
                    return;
                }
                auto& progress = query.progress(shard);
                if (too_late_to_send(query, now))
                {
                    served = true;
                    progress.waiting = false;
                    give_up(query, shard, now, out);
                    return;
                }
                served = dispatcher_.send(query, shard, now, out);
                progress.waiting = !served;
                if (!served)
                {
                    runtime.waiting.put_back(*number, query.request.caller,
                                             query.deadline);
                }
            });
        served = served || !known;
    }
}

void query_engine::on_capacity(target_name const& target, time_point now,
                               action_list& out)
{
    auto const found = context_.routes.table()->find(target);
    auto const runtime =
        found ? context_.routes.runtime(found->entry.service) : nullptr;
    if (!runtime)
    {
        return;
    }
    for (auto const& place : found->entry.held_shards)
    {
        serve_waiting(found->entry.service, place.map, place.shard,
                      runtime->shard(place.map, place.shard), now, out);
    }
}

void query_engine::serve_all_waiting(time_point now, action_list& out)
{
    for (auto const& [name, runtime] : context_.routes.runtimes())
    {
        runtime->for_each_shard(
            [&, &name = name](std::uint64_t map, shard_index shard,
                              shard_runtime& waiting)
            { serve_waiting(name, map, shard, waiting, now, out); });
    }
}

} // namespace kumquatramp
