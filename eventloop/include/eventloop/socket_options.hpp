// Socket options shared by all connections of the tier, and endpoint parsing.
#ifndef KUMQUATRAMP_EVENTLOOP_SOCKET_OPTIONS_HPP
#define KUMQUATRAMP_EVENTLOOP_SOCKET_OPTIONS_HPP

#include <asio/ip/tcp.hpp>

namespace kumquatramp::eventloop
{

/// Sets non-blocking mode, TCP_NODELAY, and the timeout and keepalive options
/// that detect an unresponsive peer within seconds. Errors are ignored.
void set_common_options(asio::ip::tcp::socket& socket);

/// Parses "IP:port". Returns an unspecified endpoint with port 0 on error.
asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

} // namespace kumquatramp::eventloop

#endif
