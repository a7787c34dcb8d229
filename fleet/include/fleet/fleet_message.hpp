// A datagram between two hosts.
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
    ping,          ///< asks for an ack
    ack,           ///< answers a ping, by its number
    indirect_ping, ///< asks to ping `subject` and to pass its ack on
    pull,          ///< asks for all states if `digest` differs
    push,          ///< states without an answer
};

struct fleet_message
{
    message_kind kind = message_kind::ping;
    std::uint32_t number = 0; ///< of the ping
    std::string subject{};    ///< indirect_ping: whom to ping
    std::uint64_t digest = 0; ///< pull: of all that the sender knows
    std::vector<peer_state> states{};
};

/// A message and the IP it goes to.
struct outgoing_message
{
    std::string to;
    fleet_message message;
};

} // namespace kumquatramp::fleet

#endif
