// An HTTP/1.1 server on the event loop.
#ifndef KUMQUATRAMP_EVENTLOOP_HTTP_SERVER_HPP
#define KUMQUATRAMP_EVENTLOOP_HTTP_SERVER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <base/clock.hpp>
#include <base/error_kind.hpp>
#include <cstdint>
#include <memory>
#include <serving/edge_limits.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp::eventloop
{

struct http_message;
class server_connection;

/// Names one request on one connection; never used twice.
using exchange_id = std::uint64_t;

/// Receives what clients send.
class request_handler
{
public:
    request_handler() = default;
    request_handler(request_handler const&) = delete;
    request_handler& operator=(request_handler const&) = delete;
    virtual ~request_handler() = default;

    /// A whole request; answer it once with http_server::respond, at any
    /// later time. The message may be moved from.
    virtual void on_request(exchange_id exchange, http_message& message) = 0;

    /// The client has closed its connection before the answer.
    virtual void on_client_disconnected(exchange_id exchange) = 0;

    /// The body of this host's own answer to an unreadable request.
    virtual std::string rejection(error_kind kind) = 0;
};

/// One request at a time on each connection, read only as far as the limits
/// allow. Everything happens on the loop's thread.
class http_server
{
public:
    http_server(asio::io_context& loop, clock const& time,
                request_handler& handler);
    ~http_server();

    /// Throws std::system_error if the address cannot be bound; gives the
    /// port.
    std::uint16_t listen(asio::ip::tcp::endpoint const& at);
    void stop_listening();

    void set_limits(serving::edge_limits const& limits);

    /// Sends a whole serialized answer. `close`: the connection ends after
    /// it; the answer should say so. Ignored when the client has gone.
    void respond(exchange_id exchange, std::string bytes, bool close);

    /// From now on every answer ends its connection.
    void set_closing() { closing_ = true; }
    bool closing() const { return closing_; }

    /// Enforces the limits on time; call it a few times a second.
    void sweep();

    std::size_t connections() const { return connections_.size(); }
    /// Requests that have been read and not answered.
    std::size_t open_exchanges() const { return exchanges_.size(); }
    /// Requests that have been read and not answered, and answers of which
    /// the socket has not taken all bytes: a process that ends before this is
    /// 0 cuts them.
    std::size_t unfinished_responses() const;
    void close_all();

private:
    friend class server_connection;
    void accept();
    void admit(asio::ip::tcp::socket socket);

    asio::io_context& loop_;
    clock const& time_;
    request_handler& handler_;
    asio::ip::tcp::acceptor acceptor_;
    serving::edge_limits limits_;
    bool closing_ = false;
    exchange_id last_exchange_ = 0;
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>>
        connections_;
    std::unordered_map<exchange_id, server_connection*> exchanges_;
};

} // namespace kumquatramp::eventloop

#endif
