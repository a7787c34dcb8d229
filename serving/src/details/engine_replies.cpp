// Handling of replies: statistics of the target and progress of the request.
#include "details/engine_details.hpp"
#include <algorithm>
#include <base/string_memory.hpp>
#include <serving/client_answer.hpp>
#include <serving/fleet_size.hpp>
#include <serving/target_table.hpp>

namespace kumquatramp::serving
{

namespace
{

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/// Statuses that tell the client that the request was not executed. They may
/// be sent only if that is certain, hence are not relayed from a target.
bool guarantees_not_executed(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void request_engine::details::update_statistics(running_attempt const& a,
                                                target_reply const& reply,
                                                running_request const* r,
                                                time_point now)
{
    target& t = *a.to;
    --t.in_flight;
    t.overdue -= a.overdue ? 1 : 0;
    if (reply.busy && r != nullptr)
    {
        table_.report_load(t, *reply.busy,
                           statistics(*r->matched_route).latency.usual(),
                           r->matched_route->latency_objective, now);
    }
    if (reply.misdirected)
    {
        table_.mark_misdirected(t, now);
    }
    else if (reply.kind == reply_kind::answered ||
             reply.kind == reply_kind::not_executed)
    {
        table_.report_rate_limit(t, reply.rate_limit, now);
        if (reply.rest)
        {
            table_.mark_resting(t, *reply.rest, now);
        }
        if (reply.shutting_down)
        {
            table_.mark_shutting_down(t);
        }
    }
    if (reply.leaving)
    {
        table_.mark_leaving(t, now);
    }
    bool const good = reply.kind == reply_kind::answered && reply.stamped &&
                      reply.status < 500;
    if (!good)
    {
        // Attempts that this host cancelled before the deadline or chose not to
        // send do not count as failures of the target.
        bool const caused_locally =
            (a.abandoned && now < a.deadline) ||
            (reply.kind == reply_kind::not_sent && reply.cause[0] == '\0');
        if (!caused_locally)
        {
            table_.count_failure(t, now);
        }
        return;
    }
    if (r == nullptr)
    {
        return;
    }
    auto& latency = statistics(*r->matched_route).latency;
    duration const took = now - a.started;
    table_.count_success(t, took, latency.usual(), now);
    latency.add(took);
}

void request_engine::details::on_reply(attempt_handle attempt,
                                       target_reply& reply, time_point now)
{
    auto const found = attempts_.find(attempt);
    if (found == attempts_.end())
    {
        return;
    }
    running_attempt const a = found->second;
    attempts_.erase(found);
    auto const entry = requests_.find(a.request);
    running_request* r = entry == requests_.end() ? nullptr : &entry->second;
    update_statistics(a, reply, r, now);
    if (r == nullptr)
    {
        return;
    }
    shard_progress& s = r->shards[a.shard];
    --s.outstanding;
    s.overdue -= a.overdue ? 1 : 0;
    --r->outstanding;
    auto const tried =
        std::find_if(s.tries.begin(), s.tries.end(),
                     [&](target_try const& t) { return t.to == a.to; });
    if (reply.kind == reply_kind::not_executed)
    {
        tried->state = try_state::refused;
        tried->refused_on.push_back(reply.connection);
    }
    else if (reply.kind == reply_kind::not_sent)
    {
        tried->state = try_state::unsent;
    }
    else
    {
        s.may_have_run = true;
    }
    if (!r->finished && s.current_state == shard_state::waiting)
    {
        take_reply(*r, s, attempt, reply, now);
    }
    erase_if_finished(a.request);
}

void request_engine::details::take_reply(running_request& r, shard_progress& s,
                                         attempt_handle attempt,
                                         target_reply& reply, time_point now)
{
    bool const good = reply.kind == reply_kind::answered && reply.stamped &&
                      is_success(reply.status);
    if (good && r.matched_route->scatters())
    {
        s.current_state = shard_state::answered;
        s.stamp = std::move(reply.stamp);
        s.part = std::move(reply.body);
        r.held_bytes += heap_bytes(s.part);
        held_bytes_ += heap_bytes(s.part);
        try_complete(r, now);
        return;
    }
    s.cause = reply.cause;
    s.status = reply.status;
    if (!r.matched_route->scatters() && relay(r, attempt, reply, now))
    {
        return;
    }
    retry_or_lose(r, static_cast<std::size_t>(&s - r.shards.data()), now);
}

bool request_engine::details::relay(running_request& r, attempt_handle attempt,
                                    target_reply const& reply, time_point now)
{
    if (reply.kind != reply_kind::answered || !reply.stamped ||
        guarantees_not_executed(reply.status))
    {
        return false;
    }
    shard_progress& s = r.shards.front();
    bool const server_fault = reply.status >= 500;
    if (server_fault && (s.outstanding > 0 || may_repeat(r, s, now)))
    {
        return false;
    }
    s.current_state =
        is_success(reply.status) ? shard_state::answered : shard_state::lost;
    client_answer relayed;
    relayed.what = client_answer::form::relayed;
    relayed.type = r.type();
    relayed.attempt = attempt;
    port_.answer(r.handle, std::move(relayed));
    finish(r, server_fault, "relayed", now);
    return true;
}

} // namespace kumquatramp::serving
