// JSON-RPC methods that a host provides to other hosts.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_PEER_RPC_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_PEER_RPC_HPP

#include <details/message_connector.hpp>
#include <jsonrpccpp/server/abstractserver.h>

namespace kumquatramp
{

class peer_events;

/// Decodes requests, passes them to the events and encodes the answers.
class peer_rpc final : public jsonrpc::AbstractServer<peer_rpc>
{
public:
    /// `connector` and `events` must outlive the server.
    peer_rpc(message_connector& connector, peer_events& events);

private:
    void exchange(Json::Value const& parameters, Json::Value& answer);
    void fetch(Json::Value const& parameters, Json::Value& answer);
    void grant(Json::Value const& parameters, Json::Value& answer);
    void report(Json::Value const& parameters, Json::Value& answer);

    peer_events& events_;
};

} // namespace kumquatramp

#endif
