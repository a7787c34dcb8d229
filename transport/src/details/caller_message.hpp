// Callers' messages, checked.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_CALLER_MESSAGE_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_CALLER_MESSAGE_HPP

#include <base/result.hpp>
#include <membership/discovery.hpp>
#include <node/caller_request.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

namespace eventloop
{
struct http_message;
}

/// Letters, digits and a few marks only: safe in logs and in headers.
bool is_plain_name(std::string_view text);

/// A request to a service; its body is moved out of the message. `name` is
/// the service's, as it stands in the path.
result<caller_request> read_request(eventloop::http_message& message,
                                    std::string_view name);

result<discovery_request>
read_discovery(eventloop::http_message const& message);

} // namespace kumquatramp

#endif
