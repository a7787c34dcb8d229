// Passes single messages to libjsonrpccpp's server.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_MESSAGE_CONNECTOR_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_MESSAGE_CONNECTOR_HPP

#include <jsonrpccpp/server/abstractserverconnector.h>
#include <string>

namespace kumquatramp
{

/// Performs no I/O: the user of this class reads requests and writes answers.
class message_connector final : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    // NOLINTNEXTLINE(google-default-arguments): the library's signature.
    bool SendResponse(std::string const& response,
                      void* answer = nullptr) override
    {
        *static_cast<std::string*>(answer) = response;
        return true;
    }

    /// Processes a request and returns the answer's text; empty for JSON-RPC
    /// notifications, which have no answer.
    std::string answer(std::string const& request)
    {
        std::string text;
        OnRequest(request, &text);
        return text;
    }
};

} // namespace kumquatramp

#endif
