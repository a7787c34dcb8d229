// Adapts the gossip rate and digest size to the size of the fleet.
#ifndef KUMQUATRAMP_MEMBERSHIP_DETAILS_FLEET_SCALE_HPP
#define KUMQUATRAMP_MEMBERSHIP_DETAILS_FLEET_SCALE_HPP

#include <base/time.hpp>
#include <cstddef>
#include <membership/membership_options.hpp>

namespace kumquatramp
{

/// Gossip parameters for a fleet size. Up to max_heartbeats members, each
/// answer holds every heartbeat and the options apply unchanged. In larger
/// fleets a host sends a constant number of bytes per second, so that
/// heartbeats take longer to propagate.
struct fleet_scale
{
    bool large = false; ///< more than max_heartbeats members

    /// Heartbeats per answer and per request, including the local one.
    std::size_t heartbeats = 0;
    std::size_t request_heartbeats = 0;

    /// Rounds between exchanges with peers from the rotation, and the number of
    /// peers in such a round.
    std::uint32_t rotation_interval_rounds = 1;
    std::uint32_t rotation_peers = 1;

    /// Rounds between probes of silent members.
    std::uint32_t probe_interval_rounds = 4;

    membership_options options; ///< with the time-outs for this size
};

/// Returns the parameters for a fleet of `members` hosts.
fleet_scale compute_fleet_scale(membership_options const& options,
                                std::size_t members);

} // namespace kumquatramp

#endif
