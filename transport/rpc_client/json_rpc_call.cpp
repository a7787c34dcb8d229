// Only this translation unit is built as C++14; json_rpc_call.hpp says why.
#include <details/json_rpc_call.hpp>
#include <details/message_exchanger.hpp>
#include <jsonrpccpp/client/client.h>

namespace kumquatramp
{

namespace
{

/// libjsonrpccpp connector on top of a message exchanger. It must not throw; an
/// empty answer makes the library report a failed call.
class exchanger_connector final : public jsonrpc::IClientConnector
{
public:
    explicit exchanger_connector(message_exchanger& exchanger)
        : exchanger_(exchanger)
    {
    }

    void SendRPCMessage(std::string const& message,
                        std::string& result) noexcept override
    {
        if (!exchanger_.exchange(message, result))
        {
            result.clear();
        }
    }

private:
    message_exchanger& exchanger_;
};

} // namespace

bool json_rpc_call(message_exchanger& exchanger, std::string const& method,
                   Json::Value const& parameters, Json::Value& answer)
{
    exchanger_connector connector(exchanger);
    jsonrpc::Client client(connector);
    try
    {
        client.CallMethod(method, parameters, answer);
        return true;
    }
    catch (
        std::exception const&) // libjsonrpccpp reports failures as exceptions
    {
        return false;
    }
}

} // namespace kumquatramp
