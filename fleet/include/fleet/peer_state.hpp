// What hosts tell each other about a host.
#ifndef KUMQUATRAMP_FLEET_PEER_STATE_HPP
#define KUMQUATRAMP_FLEET_PEER_STATE_HPP

#include <cstdint>
#include <string>

namespace kumquatramp::fleet
{

struct peer_state
{
    std::string ip; ///< names the host
    std::string zone;
    std::uint64_t incarnation = 0; ///< grows with each start
    std::uint32_t heartbeat = 0;   ///< grows while the host runs
    bool ready = false;            ///< takes clients
    bool leaving = false;          ///< is shutting down
    std::uint32_t weight = 1;      ///< processor share in thousandths

    /// Whether this is later news of the same host than `other`.
    bool newer_than(peer_state const& other) const
    {
        return incarnation != other.incarnation
                   ? incarnation > other.incarnation
                   : heartbeat > other.heartbeat;
    }
};

} // namespace kumquatramp::fleet

#endif
