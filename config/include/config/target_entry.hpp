// A target in the catalogue that the platform publishes.
#ifndef KUMQUATRAMP_CONFIG_TARGET_ENTRY_HPP
#define KUMQUATRAMP_CONFIG_TARGET_ENTRY_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatramp
{

/// Identifies a shard within one shard map of the target's service.
struct shard_ref
{
    std::uint64_t map = 0; ///< version of the shard map
    shard_index shard;

    friend auto operator<=>(shard_ref const&, shard_ref const&) = default;
};

struct target_entry
{
    target_name name;
    service_name service;
    zone_name zone;
    std::string address; ///< "IP:port"
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    duration connect_cost = 1ms;
    bool leaving = false;
    std::vector<shard_ref> held_shards; ///< never empty

    friend bool operator==(target_entry const&, target_entry const&) = default;
};

} // namespace kumquatramp

#endif
