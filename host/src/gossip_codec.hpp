// Hosts' states as MessagePack.
#ifndef KUMQUATRAMP_HOST_GOSSIP_CODEC_HPP
#define KUMQUATRAMP_HOST_GOSSIP_CODEC_HPP

#include <base/result.hpp>
#include <fleet/peer_state.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::host
{

std::string encode_states(std::span<fleet::peer_state const> states);

/// Refuses whatever is not a whole message of this version.
result<std::vector<fleet::peer_state>> decode_states(std::string_view bytes);

} // namespace kumquatramp::host

#endif
