// JSON encoding of the messages between hosts.
#ifndef KUMQUATRAMP_TRANSPORT_PEER_CODEC_HPP
#define KUMQUATRAMP_TRANSPORT_PEER_CODEC_HPP

#include <config/config_update.hpp>
#include <json/value.h>
#include <membership/peer_digest.hpp>
#include <membership/send_grant.hpp>
#include <optional>

namespace kumquatramp
{

/// Each decode function returns std::nullopt if a field is missing, has the
/// wrong type or exceeds its limit.
Json::Value encode_digest(peer_digest const& digest);
std::optional<peer_digest> decode_digest(Json::Value const& value);

Json::Value encode_stamp(config_stamp const& stamp);
std::optional<config_stamp> decode_stamp(Json::Value const& value);

Json::Value encode_update(config_update const& update);
std::optional<config_update> decode_update(Json::Value const& value);

Json::Value encode_grant(grant_answer const& answer);
std::optional<grant_answer> decode_grant(Json::Value const& value);

Json::Value encode_report(grant_report const& report);
std::optional<grant_report> decode_report(Json::Value const& value);

std::optional<target_name> decode_target(Json::Value const& value);

std::optional<config_key> decode_key(Json::Value const& value);

} // namespace kumquatramp

#endif
