// Asynchronous UDP socket for messages between hosts.
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

/// Receives continuously on the event loop from construction on. All hosts use
/// the same port.
class datagram_socket
{
public:
    /// `sender` is the IP address of the sender. `bytes` is valid only during
    /// the call.
    using handler =
        std::function<void(std::string_view sender, std::string_view bytes)>;

    /// Throws std::system_error if the address cannot be bound.
    datagram_socket(asio::io_context& loop, asio::ip::udp::endpoint const& own,
                    handler received);

    /// Sends to this socket's own port number on another host. An unparsable
    /// address and a failed send are ignored.
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
