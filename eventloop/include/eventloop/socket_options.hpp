// Options that every connection of the tier has.
#ifndef KUMQUATRAMP_EVENTLOOP_SOCKET_OPTIONS_HPP
#define KUMQUATRAMP_EVENTLOOP_SOCKET_OPTIONS_HPP

#include <asio/ip/tcp.hpp>

namespace kumquatramp::eventloop
{

/// Non-blocking, no delay, and probes that find a silent peer in seconds.
void set_common_options(asio::ip::tcp::socket& socket);

/// "IP:port"; an unspecified endpoint with port 0 if it cannot be read.
asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

} // namespace kumquatramp::eventloop

#endif
