// Messages of the membership protocol, one per datagram between two hosts.
#ifndef KUMQUATRAMP_FLEET_FLEET_MESSAGE_HPP
#define KUMQUATRAMP_FLEET_FLEET_MESSAGE_HPP

#include <cstdint>
#include <fleet/peer_state.hpp>
#include <string>
#include <vector>

namespace kumquatramp::fleet
{

enum class message_kind : std::uint8_t
{
    ping,          ///< asks the receiver for an ack
    ack,           ///< answers the ping with the same sequence number
    indirect_ping, ///< asks to ping `subject` and to relay its ack
    pull,          ///< asks for all states if the receiver's digest differs
    push,          ///< carries states; is not answered
};

/// Fields that a message kind does not use keep their defaults.
struct fleet_message
{
    message_kind kind = message_kind::ping;
    std::uint32_t sequence = 0; ///< sequence number of the ping
    std::string subject{};      ///< indirect_ping: IP of the host to ping
    std::uint64_t digest = 0;   ///< pull: digest of all states the sender knows
    std::vector<peer_state> states{}; ///< updates carried by any kind
    /// pull: digests by range of hosts, or empty
    std::vector<std::uint64_t> range_digests{};
};

/// A message and the IP of the host to send it to.
struct outgoing_message
{
    std::string to;
    fleet_message message;
};

} // namespace kumquatramp::fleet

#endif
