// Datagrams between hosts.
#ifndef KUMQUATRAMP_EVENTLOOP_DATAGRAM_SOCKET_HPP
#define KUMQUATRAMP_EVENTLOOP_DATAGRAM_SOCKET_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatramp::eventloop
{

class datagram_socket
{
public:
    /// `sender` is the IP that the datagram came from.
    using handler =
        std::function<void(std::string_view sender, std::string_view bytes)>;

    /// Throws std::system_error if the address cannot be bound.
    datagram_socket(asio::io_context& loop, asio::ip::udp::endpoint const& own,
                    handler received);

    /// Sends to the same port of another host; a loss is not an error.
    void send(std::string const& ip, std::string_view bytes);

private:
    void receive();

    asio::ip::udp::socket socket_;
    handler received_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 8192> buffer_{};
};

} // namespace kumquatramp::eventloop

#endif
