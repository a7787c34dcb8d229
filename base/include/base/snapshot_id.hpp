// Version of a service's data from which an answer was computed.
#ifndef KUMQUATRAMP_BASE_SNAPSHOT_ID_HPP
#define KUMQUATRAMP_BASE_SNAPSHOT_ID_HPP

#include <compare>
#include <cstdint>

namespace kumquatramp
{

/// Version of the shard map and version of the index. Answers from different
/// snapshots are never merged. Ordered by map, then by index.
struct snapshot_id
{
    std::uint64_t map = 0;
    std::uint64_t index = 0;

    friend auto operator<=>(snapshot_id const&, snapshot_id const&) = default;
};

} // namespace kumquatramp

#endif
