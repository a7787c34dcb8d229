// One target as a destination for the sub-requests of a shard.
#ifndef KUMQUATRAMP_ROUTING_REPLICA_HPP
#define KUMQUATRAMP_ROUTING_REPLICA_HPP

#include <config/target_entry.hpp>
#include <cstdint>
#include <limits/target_gate.hpp>
#include <memory>
#include <string_view>

namespace kumquatramp
{

/// Why the configuration allows no new attempts to a target.
enum class closed_reason : std::uint8_t
{
    none,
    leaving, ///< the platform reports that it is shutting down
    drained, ///< a rule drains it or its availability zone
    subset,  ///< this host is not among those that may connect to it
};

std::string_view to_string(closed_reason reason) noexcept;

/// Immutable except for its gate.
struct replica
{
    target_entry entry;
    std::shared_ptr<target_gate> gate; ///< never null; kept while the target
                                       ///< is published
    closed_reason closed = closed_reason::none;
    bool local = false; ///< in this host's availability zone
};

using replica_ptr = std::shared_ptr<replica const>;

} // namespace kumquatramp

#endif
