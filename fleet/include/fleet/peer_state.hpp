// State of one host as the hosts exchange it.
#ifndef KUMQUATRAMP_FLEET_PEER_STATE_HPP
#define KUMQUATRAMP_FLEET_PEER_STATE_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace kumquatramp::fleet
{

/// In order of precedence: of two states with equal incarnation and version,
/// the one with the later health wins.
enum class peer_health : std::uint8_t
{
    alive,
    suspect, ///< did not answer pings; the host itself may refute it
    dead,
};

struct peer_state
{
    std::string ip; ///< identifies the host
    std::string zone;
    std::uint64_t incarnation = 0; ///< increases with each start
    std::uint32_t version = 0;     ///< increases with each change of its own
    peer_health health = peer_health::alive;
    bool ready = false;       ///< accepts clients
    bool leaving = false;     ///< is shutting down
    bool busy = false;        ///< short of processor time
    std::uint32_t weight = 1; ///< processor share in thousandths of a core

    bool live() const { return health != peer_health::dead; }

    /// Whether this state of a host supersedes `other`, a state of the same
    /// host.
    bool newer_than(peer_state const& other) const
    {
        return std::tie(incarnation, version, health) >
               std::tie(other.incarnation, other.version, other.health);
    }
};

} // namespace kumquatramp::fleet

#endif
