// A service in the catalogue that the platform publishes.
#ifndef KUMQUATRAMP_CONFIG_SERVICE_ENTRY_HPP
#define KUMQUATRAMP_CONFIG_SERVICE_ENTRY_HPP

#include <base/ids.hpp>
#include <cstdint>
#include <vector>

namespace kumquatramp
{

/// One version of the partitioning of a service, with its number of shards.
struct shard_map
{
    std::uint64_t version = 0;
    std::uint32_t shards = 0;

    friend bool operator==(shard_map const&, shard_map const&) = default;
};

struct service_entry
{
    service_name name;
    bool idempotent = true;      ///< false: each request runs at most once
    std::vector<shard_map> maps; ///< in increasing order of version; more
                                 ///< than one during repartitioning; never
                                 ///< empty

    friend bool operator==(service_entry const&,
                           service_entry const&) = default;
};

} // namespace kumquatramp

#endif
