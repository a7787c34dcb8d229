// MessagePack encoding of the membership messages between hosts.
#ifndef KUMQUATRAMP_HOST_GOSSIP_CODEC_HPP
#define KUMQUATRAMP_HOST_GOSSIP_CODEC_HPP

#include <base/result.hpp>
#include <fleet/fleet_message.hpp>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

std::string encode_message(fleet::fleet_message const& message);

/// Returns an error (malformed_request) for bytes that are not one complete
/// message of the supported format version.
result<fleet::fleet_message> decode_message(std::string_view bytes);

} // namespace kumquatramp::host

#endif
