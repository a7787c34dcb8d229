// Replica selection and the start of attempts.
#include "details/dispatcher.hpp"
#include "details/service_runtime.hpp"
#include <boost/container/small_vector.hpp>

namespace kumquatramp
{

namespace
{

using candidates = boost::container::small_vector<replica_ptr, 8>;

// Hedges are sent only to targets below this load; on a busier target the
// extra load outweighs the gain.
constexpr double max_load_for_hedge = 0.75;

// Share of sends for which a steward prefers a cold target in order to warm it
// up.
constexpr double cold_send_share = 0.5;

// A target whose failure rate is above this is skipped while another replica
// is healthy, even if that replica's gate has no permit available.
constexpr double max_failure_share = 0.5;

map_route const* find_map(service_route const& route, std::uint64_t version)
{
    for (auto const& map : route.maps)
    {
        if (map.version == version)
        {
            return &map;
        }
    }
    return nullptr;
}

// Acquires a permit for a cold target, to warm it up. Cold targets are open
// only on their steward, and since they answer more slowly than warm replicas,
// a choice by latency would never select them.
replica_ptr acquire_cold(candidates const& open, time_point now,
                         random_source& random)
{
    for (auto const& target : open)
    {
        if (!target->gate->seen().warm && random.unit() < cold_send_share &&
            target->gate->try_acquire(now))
        {
            return target;
        }
    }
    return nullptr;
}

bool eligible(running_query const& query, shard_progress const& progress,
              replica const& target)
{
    auto const& name = target.entry.name;
    auto const& excluded = progress.excluded;
    return target.closed == closed_reason::none &&
           std::find(excluded.begin(), excluded.end(), name) ==
               excluded.end() &&
           !progress.has_open_attempt(name) &&
           !query.service->lacks(name, query.answers.snapshot());
}

} // namespace

dispatcher::dispatcher(engine_context const& context, timer_queue& timers)
    : context_(context)
    , timers_(timers)
{
}

std::shared_ptr<shard_route const>
dispatcher::replicas_of(running_query const& query, shard_index shard) const
{
    // The routing table may change while the query runs; use the current one.
    auto const route = context_.routes.table()->find(query.request.service);
    auto const* const map = route ? find_map(*route, query.map) : nullptr;
    if (map == nullptr || shard.value() >= map->shards.size())
    {
        return nullptr;
    }
    return {route, &map->shards[shard.value()]};
}

replica_ptr dispatcher::acquire(running_query& query, shard_index shard,
                                bool hedge, time_point now)
{
    auto const replicas = replicas_of(query, shard);
    if (!replicas)
    {
        return nullptr;
    }
    bool any_healthy = false;
    candidates open;
    for (auto const& target : *replicas)
    {
        if (!eligible(query, query.progress(shard), *target))
        {
            continue;
        }
        bool const healthy =
            target->gate->failure_rate(now) <= max_failure_share;
        if (healthy && !any_healthy)
        {
            any_healthy = true;
            open.clear(); // all so far exceed max_failure_share
        }
        bool const has_headroom =
            !hedge || target->gate->load(now) < max_load_for_hedge;
        if (healthy == any_healthy && has_headroom && target->gate->open(now))
        {
            open.push_back(target);
        }
    }
    if (!hedge)
    {
        if (auto cold = acquire_cold(open, now, context_.random))
        {
            return cold;
        }
    }
    while (!open.empty())
    {
        auto chosen = context_.chooser.choose({open.data(), open.size()}, now,
                                              context_.random);
        if (chosen->gate->try_acquire(now))
        {
            return chosen;
        }
        open.erase(std::find(open.begin(), open.end(), chosen));
    }
    return nullptr;
}

bool dispatcher::send(running_query& query, shard_index shard, time_point now,
                      action_list& out)
{
    auto target = acquire(query, shard, false, now);
    if (!target)
    {
        return send_granted(query, shard, now, out);
    }
    emit(query, shard, {0, std::move(target), now, false, false, {}}, out);
    schedule_hedge(query, shard, now);
    return true;
}

bool dispatcher::send_granted(running_query& query, shard_index shard,
                              time_point now, action_list& out)
{
    auto const replicas = replicas_of(query, shard);
    if (!replicas)
    {
        return false;
    }
    for (auto const& target : *replicas)
    {
        if (target->gate->seen().warm ||
            !eligible(query, query.progress(shard), *target))
        {
            continue;
        }
        if (auto grant = context_.grants.take(target->entry.name, now, out))
        {
            emit(query, shard, {0, target, now, false, false, std::move(grant)},
                 out);
            return true;
        }
    }
    return false;
}

bool dispatcher::send_or_queue(running_query& query, shard_index shard,
                               time_point now, action_list& out)
{
    if (send(query, shard, now, out))
    {
        return true;
    }
    auto& progress = query.progress(shard);
    if (progress.waiting)
    {
        return true;
    }
    auto& queue = query.service->shard(query.map, shard).waiting;
    progress.waiting =
        queue.push(query.request.number, query.request.caller, query.deadline);
    return progress.waiting;
}

void dispatcher::hedge(running_query& query, shard_index shard, time_point now,
                       action_list& out)
{
    auto target = acquire(query, shard, true, now);
    if (!target)
    {
        return;
    }
    if (!query.service->hedges().spend())
    {
        target->gate->release(attempt_outcome::not_sent, {}, {}, now);
        return;
    }
    query.progress(shard).hedged = true;
    ++query.hedges;
    emit(query, shard, {0, std::move(target), now, false, true, {}}, out);
}

void dispatcher::emit(running_query& query, shard_index shard,
                      open_attempt attempt, action_list& out)
{
    attempt.number = query.next_attempt++;
    ++query.sends;
    auto const& entry = attempt.target->entry;
    auto const deadline =
        attempt.grant ? std::min(query.deadline,
                                 attempt.grant->expires + granted_send_timeout)
                      : query.deadline;
    out.push_back(send_attempt{
        {context_.life, query.request.number, shard, attempt.number},
        entry.name,
        entry.address,
        query.request.service,
        shard,
        query.non_idempotent() ? snapshot_id{query.map, 0}
                               : query.answers.snapshot(),
        !query.non_idempotent(),
        query.request_id,
        deadline,
        query.request.body});
    query.progress(shard).open.push_back(std::move(attempt));
}

void dispatcher::schedule_hedge(running_query& query, shard_index shard,
                                time_point now)
{
    auto const& policy = query.route->policy;
    auto& progress = query.progress(shard);
    if (!progress.budget_credited)
    {
        progress.budget_credited = true;
        query.service->hedges().earn();
        query.service->retries().earn();
    }
    if (!policy.hedge || query.non_idempotent() || progress.hedged)
    {
        return;
    }
    auto const percentile = policy.hedge_percentile;
    auto& own = query.service->shard(query.map, shard).latencies;
    auto delay = own.quantile(percentile, now);
    if (delay == duration::zero())
    {
        delay = query.service->latencies().quantile(percentile, now);
    }
    if (delay > duration::zero())
    {
        timers_.add(
            {now + delay, query.request.number, shard, timer_kind::hedge});
    }
}

} // namespace kumquatramp
