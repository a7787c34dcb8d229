// Calls to one HTTP server over a kept connection, one at a time.
#ifndef KUMQUATRAMP_EVENTLOOP_HTTP_CLIENT_HPP
#define KUMQUATRAMP_EVENTLOOP_HTTP_CLIENT_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <base/time.hpp>
#include <functional>
#include <memory>
#include <string>

namespace kumquatramp::eventloop
{

struct http_message;

/// For the platform's store and for other hosts: idempotent calls only.
class http_client
{
public:
    /// Null if the call failed; the cause is then set. The answer does not
    /// outlive the next call.
    using handler =
        std::function<void(http_message const* answer, char const* cause)>;

    http_client(asio::io_context& loop, asio::ip::tcp::endpoint server);
    ~http_client();

    /// A GET; the handler runs exactly once, later, on the loop. A call while
    /// another is open is a programming fault.
    void get(std::string const& target, duration timeout, handler done);

    /// Closes the connection; an open call fails.
    void reset();

    bool busy() const;

private:
    class session;
    asio::io_context& loop_;
    asio::ip::tcp::endpoint server_;
    std::shared_ptr<session> session_;
};

} // namespace kumquatramp::eventloop

#endif
