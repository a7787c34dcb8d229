// A target as the platform publishes it.
#ifndef KUMQUATRAMP_CONFIG_TARGET_ENTRY_HPP
#define KUMQUATRAMP_CONFIG_TARGET_ENTRY_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatramp
{

/// A shard in one shard map of the target's service.
struct shard_place
{
    std::uint64_t map = 0;
    shard_index shard;

    friend auto operator<=>(shard_place const&, shard_place const&) = default;
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
    std::vector<shard_place> held_shards; ///< never empty

    friend bool operator==(target_entry const&, target_entry const&) = default;
};

} // namespace kumquatramp

#endif
