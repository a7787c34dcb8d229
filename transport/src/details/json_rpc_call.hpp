// A JSON-RPC call with libjsonrpccpp. Restricted to C++14, since the library's
// client headers do not compile under a later standard.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_JSON_RPC_CALL_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_JSON_RPC_CALL_HPP

#include <json/value.h>
#include <string>

namespace kumquatramp
{

class message_exchanger;

/// Calls a method; false if the call failed or the answer is not valid
/// JSON-RPC.
bool json_rpc_call(message_exchanger& exchanger, std::string const& method,
                   Json::Value const& parameters, Json::Value& answer);

} // namespace kumquatramp

#endif
