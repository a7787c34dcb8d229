// Budgets, latency windows and queues of a service.
#include "details/service_runtime.hpp"

namespace kumquatramp
{

namespace
{

constexpr duration latency_slice = 10s;
constexpr double retry_ratio = 0.1;
constexpr double budget_cap = 50.0; // maximum balance, in sends

} // namespace

shard_runtime::shard_runtime(std::size_t queue_capacity)
    : latencies(latency_slice)
    , waiting(queue_capacity)
{
}

service_runtime::service_runtime(service_policy const& policy)
    : hedges_(policy.hedge_budget, budget_cap)
    , retries_(retry_ratio, budget_cap)
    , latencies_(latency_slice)
    , queue_capacity_(policy.max_queued)
{
}

shard_runtime& service_runtime::shard(std::uint64_t map, shard_index shard)
{
    std::lock_guard const guard(mutex_);
    auto& runtime = shards_[{map, shard}];
    if (!runtime)
    {
        runtime = std::make_shared<shard_runtime>(queue_capacity_);
    }
    return *runtime;
}

void service_runtime::configure(service_policy const& policy)
{
    hedges_.set_ratio(policy.hedge_budget);
}

void service_runtime::learn(target_name const& target,
                            std::span<snapshot_id const> holds)
{
    if (tracker_.learn(target, holds))
    {
        std::lock_guard const guard(mutex_);
        chosen_valid_ = false;
    }
}

snapshot_id
service_runtime::choose(std::shared_ptr<service_route const> const& route)
{
    {
        std::lock_guard const guard(mutex_);
        if (chosen_valid_ && chosen_route_.lock() == route)
        {
            return chosen_;
        }
        chosen_valid_ = true;
    }
    // After repartitioning, the new map is used once all its shards are held.
    auto const* map = &route->maps.front();
    for (auto const& candidate : route->maps)
    {
        if (tracker_.complete(candidate.version, candidate.holders))
        {
            map = &candidate;
        }
    }
    auto const chosen = choose(*map);
    std::lock_guard const guard(mutex_);
    chosen_ = chosen;
    chosen_route_ = route;
    return chosen;
}

std::uint32_t service_runtime::waiting() const
{
    std::lock_guard const guard(mutex_);
    std::size_t count = 0;
    for (auto const& [key, runtime] : shards_)
    {
        count += runtime->waiting.size();
    }
    return static_cast<std::uint32_t>(count);
}

} // namespace kumquatramp
