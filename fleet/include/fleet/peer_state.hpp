// What hosts tell each other about a host.
#ifndef KUMQUATRAMP_FLEET_PEER_STATE_HPP
#define KUMQUATRAMP_FLEET_PEER_STATE_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace kumquatramp::fleet
{

/// In the order in which they overrule each other.
enum class peer_health : std::uint8_t
{
    alive,
    suspect, ///< did not answer; the host itself may deny it
    dead,
};

struct peer_state
{
    std::string ip; ///< names the host
    std::string zone;
    std::uint64_t incarnation = 0; ///< grows with each start
    std::uint32_t version = 0;     ///< grows with each change of its own
    peer_health health = peer_health::alive;
    bool ready = false;       ///< takes clients
    bool leaving = false;     ///< is shutting down
    bool busy = false;        ///< uses much of its processor share
    std::uint32_t weight = 1; ///< processor share, thousandths of a core

    bool live() const { return health != peer_health::dead; }

    /// Whether this is later news of the same host than `other`.
    bool newer_than(peer_state const& other) const
    {
        return std::tie(incarnation, version, health) >
               std::tie(other.incarnation, other.version, other.health);
    }
};

} // namespace kumquatramp::fleet

#endif
