// Admission of requests, and their timers.
#include "details/query_engine.hpp"
#include "details/ended_attempt.hpp"
#include "details/service_runtime.hpp"
#include <base/rendezvous.hpp>

namespace kumquatramp
{

namespace
{

// Time reserved for the answer to travel back to the caller.
constexpr duration answer_margin = 5ms;

// Deadlines up to this are too short to reserve the margin.
constexpr duration min_deadline_for_margin = 20ms;

// How often queued sub-requests are checked when no reply triggers a check.
constexpr duration queue_check_interval = 5ms;

time_point deadline_of(caller_request const& request,
                       service_policy const& policy, time_point now)
{
    auto allowed = std::min(request.allowed, policy.deadline);
    if (allowed > min_deadline_for_margin)
    {
        allowed -= answer_margin;
    }
    return now + allowed;
}

map_route const& map_of(service_route const& route, std::uint64_t version)
{
    for (auto const& map : route.maps)
    {
        if (map.version == version)
        {
            return map;
        }
    }
    return route.maps.front();
}

} // namespace

query_engine::query_engine(engine_context const& context)
    : context_(context)
    , dispatcher_(context_, timers_)
{
}

request_answer query_engine::refusal(error_kind kind, std::string detail)
{
    request_answer answer;
    answer.failed = error{kind, std::move(detail)};
    answer.state = answer_of(kind).state;
    return answer;
}

void query_engine::submit(caller_request request,
                          std::optional<error_kind> refused_by_host,
                          time_point now, action_list& out)
{
    // The id is admitted to the ledger before anything can refuse the request:
    // "not run" may only be reported for an id that was never presented before,
    // and the refusal uses the id up.
    if (request.once && !admit_id(request, now, out))
    {
        return;
    }
    auto const refuse = [&, number = request.number, once = request.once](
                            error_kind kind, std::string detail)
    {
        if (once)
        {
            context_.ledger.finish_not_run(*once, kind, now);
        }
        out.push_back(answer_caller{number, refusal(kind, std::move(detail))});
    };
    if (refused_by_host)
    {
        refuse(*refused_by_host, {});
        return;
    }
    auto const number = request.number;
    auto const route = context_.routes.table()->find(request.service);
    if (!route)
    {
        refuse(error_kind::unknown_service, request.service.value());
        return;
    }
    if (route->entry.idempotent == request.once.has_value())
    {
        refuse(error_kind::malformed_request,
               route->entry.idempotent
                   ? "the service takes queries, without a request id"
                   : "the service takes requests with a request id");
        return;
    }
    auto const& policy = route->policy;
    auto const refused = context_.admission_control.enter(
        request.service, request.caller, policy.priority, policy.max_in_flight,
        context_.routes.rules()->rate_limit(request.caller, request.service),
        now);
    if (refused)
    {
        refuse(*refused, request.caller.value());
        return;
    }
    auto query = std::make_unique<running_query>();
    query->service = context_.routes.runtime(request.service);
    query->route = route;
    query->started = now;
    query->deadline = deadline_of(request, policy, now);
    auto const snapshot = query->service->choose(route);
    query->map = snapshot.map;
    auto const shards =
        static_cast<std::uint32_t>(map_of(*route, snapshot.map).shards.size());
    query->answers = answer_set(shards, snapshot);
    if (request.once)
    {
        query->request_id = context_.codec.encode(*request.once);
        query->first_shard = static_cast<std::uint32_t>(
            shards == 0 ? 0 : stable_hash(request.key) % shards);
        query->shards.resize(1);
    }
    else
    {
        query->shards.resize(shards);
    }
    auto const deadline = query->deadline;
    auto const straggler_wait = policy.straggler_wait;
    query->request = std::move(request);
    auto const service = query->request.service;
    auto const caller = query->request.caller;
    auto const once = query->request.once;
    if (!registry_.add(std::move(query)))
    {
        context_.admission_control.leave(service, caller);
        refuse(error_kind::internal, "request number in use");
        return;
    }
    timers_.add({deadline, number, {}, timer_kind::deadline});
    if (!once && straggler_wait < deadline - now)
    {
        timers_.add({now + straggler_wait, number, {}, timer_kind::stragglers});
    }
    registry_.with(number,
                   [&](running_query& added) { fan_out(added, now, out); });
}

bool query_engine::admit_id(caller_request const& request, time_point now,
                            action_list& out)
{
    auto const admitted = context_.ledger.admit(*request.once, now);
    if (admitted)
    {
        return true;
    }
    if (admitted.error().kind != error_kind::duplicate_request ||
        !answer_known_outcome(request, now, out))
    {
        out.push_back(
            answer_caller{request.number, refusal(admitted.error().kind,
                                                  admitted.error().detail)});
    }
    return false;
}

bool query_engine::answer_known_outcome(caller_request const& request,
                                        time_point now, action_list& out)
{
    auto known = context_.ledger.outcome(*request.once, now);
    if (known.state != request_state::ran || known.response_dropped)
    {
        return false;
    }
    request_answer answer;
    answer.coverage = 1.0;
    answer.shards.push_back(
        {shard_index{0}, shard_state::answered, std::move(known.response)});
    out.push_back(answer_caller{request.number, std::move(answer)});
    return true;
}

void query_engine::fan_out(running_query& query, time_point now,
                           action_list& out)
{
    for (std::uint32_t i = 0; i < query.shards.size(); ++i)
    {
        shard_index const shard{query.first_shard + i};
        if (!dispatcher_.send_or_queue(query, shard, now, out))
        {
            query.progress(shard).given_up = true;
        }
    }
    if (query.non_idempotent() && query.shards.front().given_up)
    {
        finish_non_idempotent(query, error_kind::overloaded, now, out);
        return;
    }
    finish_if_done(query, now, out);
}

void query_engine::cancel(query_number number, time_point now, action_list& out)
{
    registry_.with(
        number,
        [&](running_query& query)
        {
            if (query.answered)
            {
                return;
            }
            if (query.non_idempotent())
            {
                finish_non_idempotent(query, error_kind::cancelled, now, out);
                return;
            }
            give_answer(query, refusal(error_kind::cancelled, {}), now, out);
        });
}

void query_engine::tick(time_point now, action_list& out)
{
    std::vector<timer> due;
    timers_.take_due(now, due);
    for (auto const& entry : due)
    {
        on_timer(entry, now, out);
    }
    serve_all_waiting(now, out);
}

time_point query_engine::next_tick(time_point now) const
{
    for (auto const& [name, runtime] : context_.routes.runtimes())
    {
        if (runtime->waiting() > 0)
        {
            return std::min(timers_.next(), now + queue_check_interval);
        }
    }
    return timers_.next();
}

void query_engine::on_timer(timer const& due, time_point now, action_list& out)
{
    registry_.with(due.query,
                   [&](running_query& query)
                   {
                       if (query.answered)
                       {
                           return;
                       }
                       switch (due.kind)
                       {
                       case timer_kind::deadline:
                           on_deadline(query, now, out);
                           break;
                       case timer_kind::stragglers:
                           on_straggler_timer(query, now, out);
                           break;
                       case timer_kind::hedge:
                           if (!query.answers.has(due.shard) &&
                               query.progress(due.shard).open.size() == 1)
                           {
                               dispatcher_.hedge(query, due.shard, now, out);
                           }
                           break;
                       }
                   });
}

void query_engine::on_deadline(running_query& query, time_point now,
                               action_list& out)
{
    if (query.non_idempotent())
    {
        finish_non_idempotent(query, error_kind::deadline_exceeded, now, out);
        return;
    }
    for (std::uint32_t i = 0; i < query.shards.size(); ++i)
    {
        if (!query.shards[i].open.empty())
        {
            query.answers.mark(shard_index{i}, shard_state::late);
        }
    }
    finish_idempotent(query, now, out);
}

void query_engine::on_straggler_timer(running_query& query, time_point now,
                                      action_list& out)
{
    if (query.answers.coverage() >= query.route->policy.enough_coverage)
    {
        on_deadline(query, now, out);
        return;
    }
    // Coverage is too low; check again after each further answer.
    query.partial_allowed = true;
}

} // namespace kumquatramp
