// Messages between hosts as MessagePack.
#ifndef KUMQUATRAMP_HOST_GOSSIP_CODEC_HPP
#define KUMQUATRAMP_HOST_GOSSIP_CODEC_HPP

#include <base/result.hpp>
#include <fleet/fleet_message.hpp>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

std::string encode_message(fleet::fleet_message const& message);

/// Refuses whatever is not a whole message of this version.
result<fleet::fleet_message> decode_message(std::string_view bytes);

} // namespace kumquatramp::host

#endif
