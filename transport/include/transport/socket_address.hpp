// IP address and port, and their text form "IP:port".
#ifndef KUMQUATRAMP_TRANSPORT_SOCKET_ADDRESS_HPP
#define KUMQUATRAMP_TRANSPORT_SOCKET_ADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp
{

struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses an IP address and a port, e.g. "127.0.0.1:8001" or "[::1]:8001";
/// std::nullopt if the text is invalid. Port 0 lets the system choose a port.
std::optional<socket_address> parse_socket_address(std::string_view text);

std::string to_string(socket_address const& address);

} // namespace kumquatramp

#endif
