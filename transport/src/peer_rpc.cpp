// The JSON-RPC methods exchange, fetch, grant and report.
#include <details/peer_rpc.hpp>
#include <jsonrpccpp/common/exception.h>
#include <transport/peer_codec.hpp>
#include <transport/peer_events.hpp>

namespace kumquatramp
{

namespace
{

constexpr int invalid_parameters = -32602;

[[noreturn]] void refuse(char const* reason)
{
    throw jsonrpc::JsonRpcException(invalid_parameters, reason);
}

} // namespace

peer_rpc::peer_rpc(message_connector& connector, peer_events& events)
    : AbstractServer(connector)
    , events_(events)
{
    using namespace jsonrpc;
    bindAndAddMethod(Procedure("exchange", PARAMS_BY_NAME, JSON_OBJECT,
                               "digest", JSON_OBJECT, nullptr),
                     &peer_rpc::exchange);
    bindAndAddMethod(Procedure("fetch", PARAMS_BY_NAME, JSON_OBJECT, "key",
                               JSON_STRING, "held", JSON_OBJECT, nullptr),
                     &peer_rpc::fetch);
    bindAndAddMethod(Procedure("grant", PARAMS_BY_NAME, JSON_OBJECT, "target",
                               JSON_STRING, nullptr),
                     &peer_rpc::grant);
    bindAndAddMethod(Procedure("report", PARAMS_BY_NAME, JSON_OBJECT, "target",
                               JSON_STRING, "grant", JSON_STRING, "outcome",
                               JSON_STRING, "latency", JSON_STRING, nullptr),
                     &peer_rpc::report);
}

void peer_rpc::exchange(Json::Value const& parameters, Json::Value& answer)
{
    auto const digest = decode_digest(parameters["digest"]);
    if (!digest)
    {
        refuse("malformed digest");
    }
    answer = encode_digest(events_.on_peer_digest(*digest));
}

void peer_rpc::fetch(Json::Value const& parameters, Json::Value& answer)
{
    auto const key = decode_key(parameters["key"]);
    auto const held = decode_stamp(parameters["held"]);
    if (!key || !held)
    {
        refuse("unknown key or malformed stamp");
    }
    answer = encode_update(events_.on_fetch(*key, *held));
}

void peer_rpc::grant(Json::Value const& parameters, Json::Value& answer)
{
    auto const target = decode_target(parameters["target"]);
    if (!target)
    {
        refuse("malformed target");
    }
    answer = encode_grant(events_.on_grant_request(*target));
}

void peer_rpc::report(Json::Value const& parameters, Json::Value& answer)
{
    auto const report = decode_report(parameters);
    if (!report)
    {
        refuse("malformed report");
    }
    events_.on_grant_report(*report);
    answer = Json::Value(Json::objectValue);
}

} // namespace kumquatramp
