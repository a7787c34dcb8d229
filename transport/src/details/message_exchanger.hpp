// Interface that sends a message and returns its answer. Restricted to C++14,
// for json_rpc_call.cpp.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_MESSAGE_EXCHANGER_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_MESSAGE_EXCHANGER_HPP

#include <string>

namespace kumquatramp
{

class message_exchanger
{
public:
    message_exchanger() = default;
    message_exchanger(message_exchanger const&) = delete;
    message_exchanger& operator=(message_exchanger const&) = delete;
    virtual ~message_exchanger() = default;

    /// Sends the message and waits for the answer; false if none arrived.
    virtual bool exchange(std::string const& message, std::string& answer) = 0;
};

} // namespace kumquatramp

#endif
