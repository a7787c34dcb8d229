// Implements datagram_socket: one receive operation is always outstanding.
#include <eventloop/datagram_socket.hpp>

namespace kumquatramp::eventloop
{

datagram_socket::datagram_socket(asio::io_context& loop,
                                 asio::ip::udp::endpoint const& own,
                                 handler received)
    : socket_(loop, own)
    , received_(std::move(received))
{
    socket_.non_blocking(true);
    receive();
}

void datagram_socket::send(std::string const& ip, std::string_view bytes)
{
    asio::error_code failed;
    auto const address = asio::ip::make_address(ip, failed);
    if (!failed)
    {
        // Send errors are ignored: the membership protocol tolerates the loss
        // of datagrams and repeats its updates in later ones.
        socket_.send_to(asio::buffer(bytes),
                        {address, socket_.local_endpoint().port()}, 0, failed);
    }
}

void datagram_socket::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](asio::error_code const& failed, std::size_t size)
        {
            if (failed == asio::error::operation_aborted)
            {
                return;
            }
            if (!failed)
            {
                received_(sender_.address().to_string(),
                          std::string_view(buffer_.data(), size));
            }
            receive();
        });
}

} // namespace kumquatramp::eventloop
