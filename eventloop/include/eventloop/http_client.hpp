// HTTP client for one server: a persistent connection, one request at a time.
#ifndef KUMQUATRAMP_EVENTLOOP_HTTP_CLIENT_HPP
#define KUMQUATRAMP_EVENTLOOP_HTTP_CLIENT_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <base/time.hpp>
#include <eventloop/call_outcome.hpp>
#include <functional>
#include <memory>
#include <string>

namespace kumquatramp::eventloop
{

struct http_message;

/// Used for the platform's store and for other hosts. For idempotent requests
/// only.
class http_client
{
public:
    /// `answer` is null unless the outcome is `answered`. The response is valid
    /// only until the next request.
    using handler =
        std::function<void(http_message const* answer, call_outcome outcome)>;

    http_client(asio::io_context& loop, asio::ip::tcp::endpoint server);
    ~http_client();

    /// Sends a GET request. The handler is called exactly once: later on the
    /// event loop, or from reset() or the destructor. Precondition: no other
    /// request is in progress.
    void get(std::string const& target, duration timeout, handler done);

    /// Closes the connection. A request in progress fails; its handler is
    /// called before reset() returns.
    void reset();

    /// Whether a request is in progress.
    bool busy() const;

private:
    class session;
    asio::io_context& loop_;
    asio::ip::tcp::endpoint server_;
    std::shared_ptr<session> session_;
};

} // namespace kumquatramp::eventloop

#endif
