// Gossip parameters of small and large fleets.
#include <algorithm>
#include <details/fleet_scale.hpp>
#include <membership/peer_digest.hpp>

namespace kumquatramp
{

namespace
{

// Heartbeats in a request of a small fleet.
constexpr std::size_t request_heartbeats = 4;

// Digests in a large fleet hold the local heartbeat and one other, preferably
// an update.
constexpr std::size_t large_fleet_heartbeats = 2;
constexpr std::uint32_t large_fleet_rotation_interval_rounds = 8;
constexpr std::uint32_t large_fleet_probe_interval_rounds = 32;

// How much longer a heartbeat takes to arrive for each member in excess of
// max_heartbeats.
constexpr duration large_fleet_delay_per_member = 500ms;

} // namespace

fleet_scale compute_fleet_scale(membership_options const& options,
                                std::size_t members)
{
    fleet_scale scale;
    scale.options = options;
    if (members <= max_heartbeats)
    {
        scale.heartbeats = max_heartbeats;
        scale.request_heartbeats = request_heartbeats;
        scale.rotation_peers = options.fanout;
        return scale;
    }
    auto const excess_members = static_cast<int>(members - max_heartbeats);
    scale.large = true;
    scale.heartbeats = large_fleet_heartbeats;
    scale.request_heartbeats = large_fleet_heartbeats;
    scale.probe_interval_rounds = large_fleet_probe_interval_rounds;
    scale.rotation_interval_rounds = large_fleet_rotation_interval_rounds;
    scale.options.suspicion_time +=
        excess_members * large_fleet_delay_per_member;
    scale.options.death_time += excess_members * large_fleet_delay_per_member;
    return scale;
}

} // namespace kumquatramp
