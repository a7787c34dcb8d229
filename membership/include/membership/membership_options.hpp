// Timing and size parameters of the membership protocol.
#ifndef KUMQUATRAMP_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP
#define KUMQUATRAMP_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

struct membership_options
{
    duration round = 500ms;       ///< interval between gossip rounds
    std::uint32_t fanout = 2;     ///< exchanges that a host starts per round
    duration suspicion_time = 2s; ///< without a heartbeat until suspect
    duration death_time = 6s;     ///< without a heartbeat until dead
    std::uint32_t readers_per_zone = 2;

    /// How long a host may act on a view after the view was last confirmed.
    /// Invariant: below the 5 s within which leaving targets and drained zones
    /// must stop receiving work.
    duration view_lifetime = 3s;

    /// How long a host must own a target before it may warm it. Invariant:
    /// above 2 * (view_lifetime + round); see steward_election.
    duration steward_hold_off = 8s;

    /// How long a caller may use a discovery answer.
    duration discovery_lifetime = 10s;
};

} // namespace kumquatramp

#endif
