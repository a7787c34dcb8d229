// Destinations of the sub-requests of a service.
#ifndef KUMQUATRAMP_ROUTING_SERVICE_ROUTE_HPP
#define KUMQUATRAMP_ROUTING_SERVICE_ROUTE_HPP

#include <config/service_entry.hpp>
#include <query/snapshot_tracker.hpp>
#include <routing/replica.hpp>
#include <rules/service_policy.hpp>
#include <vector>

namespace kumquatramp
{

/// The replicas of one shard.
using shard_route = std::vector<replica_ptr>;

/// One version of the shard map, with its replicas.
struct map_route
{
    std::uint64_t version = 0;
    std::vector<shard_route> shards;
    shard_holders holders; ///< names of the same replicas, by shard
};

struct service_route
{
    service_entry entry;
    service_policy policy;
    std::vector<map_route> maps; ///< in ascending version order; never empty
};

} // namespace kumquatramp

#endif
