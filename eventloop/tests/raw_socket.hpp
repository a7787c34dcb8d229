// TCP socket for tests that sends and receives raw bytes.
#ifndef KUMQUATRAMP_EVENTLOOP_TESTS_RAW_SOCKET_HPP
#define KUMQUATRAMP_EVENTLOOP_TESTS_RAW_SOCKET_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace kumquatramp::eventloop::testing
{

class raw_socket
{
public:
    explicit raw_socket(asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
        socket_.non_blocking(true);
    }

    /// Connects synchronously; the server under test accepts when its loop
    /// runs.
    static raw_socket connect(asio::io_context& loop,
                              asio::ip::tcp::endpoint const& to)
    {
        asio::ip::tcp::socket socket(loop);
        socket.connect(to);
        return raw_socket(std::move(socket));
    }

    void send(std::string_view bytes)
    {
        asio::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    /// Sends what the socket accepts without blocking; returns its size.
    std::size_t send_some(std::string_view bytes)
    {
        asio::error_code ignored;
        return socket_.write_some(asio::buffer(bytes), ignored);
    }

    /// Runs the loop until `mark` has been received, the peer has closed the
    /// connection or `timeout_ms` have passed. Returns all bytes received.
    std::string receive_until(asio::io_context& loop, std::string_view mark,
                              int timeout_ms = 2000)
    {
        for (int i = 0; i < timeout_ms && !peer_closed_ &&
                        received_.find(mark) == std::string::npos;
             ++i)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(1));
            read_available();
        }
        return received_;
    }

    /// Reads all available bytes without blocking.
    void read_available()
    {
        char buffer[65536];
        asio::error_code failed;
        for (;;)
        {
            std::size_t const size =
                socket_.read_some(asio::buffer(buffer), failed);
            if (failed)
            {
                break;
            }
            received_.append(buffer, size);
        }
        peer_closed_ = failed != asio::error::would_block;
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }
    void close() { socket_.close(); }

    bool peer_closed() const { return peer_closed_; }
    void clear() { received_.clear(); }
    std::string const& received() const { return received_; }

private:
    asio::ip::tcp::socket socket_;
    std::string received_;
    bool peer_closed_ = false;
};

} // namespace kumquatramp::eventloop::testing

#endif
