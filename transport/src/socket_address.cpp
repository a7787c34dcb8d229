// Parses and formats "IP:port".
#include <asio/ip/address.hpp>
#include <charconv>
#include <transport/socket_address.hpp>

namespace kumquatramp
{

std::optional<socket_address> parse_socket_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size())
    {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    asio::error_code ec;
    asio::ip::make_address(std::string(host), ec);
    if (ec)
    {
        return std::nullopt;
    }
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
    {
        return std::nullopt;
    }
    return socket_address{std::string(host), port};
}

std::string to_string(socket_address const& address)
{
    bool const v6 = address.ip.find(':') != std::string::npos;
    auto const host = v6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace kumquatramp
