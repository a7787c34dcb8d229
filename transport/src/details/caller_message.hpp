// Parsing and validation of callers' messages.
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

/// Whether the text consists of 1 to 128 letters, digits, '-', '_' and '.';
/// such names are safe in logs and headers.
bool is_plain_name(std::string_view text);

/// Reads a request to a service and moves the body out of the message. `name`
/// is the percent-encoded service name from the path.
result<caller_request> read_request(eventloop::http_message& message,
                                    std::string_view name);

result<discovery_request>
read_discovery(eventloop::http_message const& message);

} // namespace kumquatramp

#endif
