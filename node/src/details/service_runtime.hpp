// Runtime state of a service on this host.
#ifndef KUMQUATRAMP_NODE_DETAILS_SERVICE_RUNTIME_HPP
#define KUMQUATRAMP_NODE_DETAILS_SERVICE_RUNTIME_HPP

#include <atomic>
#include <base/ids.hpp>
#include <limits/latency_window.hpp>
#include <limits/ratio_budget.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <query/snapshot_tracker.hpp>
#include <requests/request_queue.hpp>
#include <routing/service_route.hpp>
#include <span>

namespace kumquatramp
{

/// Latencies and queued sub-requests of one shard.
struct shard_runtime
{
    explicit shard_runtime(std::size_t queue_capacity);

    latency_window latencies;
    request_queue waiting;
};

/// Kept across configuration changes. Thread-safe.
class service_runtime
{
public:
    explicit service_runtime(service_policy const& policy);

    ratio_budget& hedges() noexcept { return hedges_; }
    ratio_budget& retries() noexcept { return retries_; }
    latency_window& latencies() noexcept { return latencies_; }

    /// Created on first use.
    shard_runtime& shard(std::uint64_t map, shard_index shard);

    /// Applies the hedge budget of a new policy.
    void configure(service_policy const& policy);

    /// Replaces the list of snapshots that the target is known to hold.
    void learn(target_name const& target, std::span<snapshot_id const> holds);

    void forget(target_name const& target) { tracker_.forget(target); }
    bool lacks(target_name const& target, snapshot_id snapshot) const
    {
        return tracker_.lacks(target, snapshot);
    }

    /// The snapshot that new queries on the route request.
    snapshot_id choose(std::shared_ptr<service_route const> const& route);

    /// The newest usable snapshot of the map; see snapshot_tracker::choose().
    snapshot_id choose(map_route const& map) const
    {
        return tracker_.choose(map.version, map.holders);
    }

    /// Number of queued sub-requests.
    std::uint32_t waiting() const;

    /// Calls use(map, shard, shard_runtime&) for all shards in use.
    template <class Use>
    void for_each_shard(Use use)
    {
        std::vector<std::pair<std::pair<std::uint64_t, shard_index>,
                              std::shared_ptr<shard_runtime>>>
            all;
        {
            std::lock_guard const guard(mutex_);
            all.assign(shards_.begin(), shards_.end());
        }
        for (auto const& [key, runtime] : all)
        {
            use(key.first, key.second, *runtime);
        }
    }

private:
    ratio_budget hedges_;
    ratio_budget retries_;
    latency_window latencies_;
    snapshot_tracker tracker_;

    mutable std::mutex mutex_;
    // All below are guarded by mutex_.
    std::size_t queue_capacity_;
    std::map<std::pair<std::uint64_t, shard_index>,
             std::shared_ptr<shard_runtime>>
        shards_;
    std::weak_ptr<service_route const> chosen_route_; // route of chosen_
    snapshot_id chosen_;
    bool chosen_valid_ = false;
};

} // namespace kumquatramp

#endif
