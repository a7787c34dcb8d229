// TCP server that sends exactly the bytes that a test specifies.
#ifndef KUMQUATRAMP_TRANSPORT_TESTS_RAW_SERVER_HPP
#define KUMQUATRAMP_TRANSPORT_TESTS_RAW_SERVER_HPP

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace kumquatramp::tests
{

using asio::ip::tcp;

/// Serves connections sequentially on its own thread.
class raw_server
{
public:
    using session = std::function<void(tcp::socket&)>;

    explicit raw_server(session serve)
        : serve_(std::move(serve))
        , acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this] { run(); })
    {
    }

    ~raw_server()
    {
        stopping_ = true;
        asio::error_code ignored;
        tcp::socket waker(io_);
        waker.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port());
    }

private:
    void run()
    {
        while (!stopping_)
        {
            asio::error_code ec;
            tcp::socket socket(io_);
            acceptor_.accept(socket, ec);
            if (!ec && !stopping_)
            {
                serve_(socket);
            }
        }
    }

    session const serve_;
    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Reads one HTTP request without a body, or with a small body that arrives
/// with the head; empty if the connection was closed.
inline std::string read_request(tcp::socket& socket)
{
    std::string text;
    asio::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    return ec ? std::string() : text;
}

inline void send_text(tcp::socket& socket, std::string const& text)
{
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

/// Sends bytes and returns everything received until the peer closes.
inline std::string exchange_bytes(std::uint16_t port, std::string const& bytes)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), port});
    send_text(socket, bytes);
    std::string answer;
    asio::error_code ec;
    while (!ec)
    {
        char part[4096];
        auto const count = socket.read_some(asio::buffer(part), ec);
        answer.append(part, count);
    }
    return answer;
}

} // namespace kumquatramp::tests

#endif
