// Asynchronous HTTP/1.1 server.
#ifndef KUMQUATRAMP_EVENTLOOP_HTTP_SERVER_HPP
#define KUMQUATRAMP_EVENTLOOP_HTTP_SERVER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <base/clock.hpp>
#include <base/error_kind.hpp>
#include <cstdint>
#include <eventloop/budget_reference.hpp>
#include <memory>
#include <serving/edge_limits.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp::eventloop
{

struct http_message;
class server_connection;
class turn_queue;

/// Identifies one request on one connection; never reused.
using exchange_id = std::uint64_t;

/// Handles the requests and disconnects of the clients of an http_server.
class request_handler
{
public:
    request_handler() = default;
    request_handler(request_handler const&) = delete;
    request_handler& operator=(request_handler const&) = delete;
    virtual ~request_handler() = default;

    /// Called with a complete request. It must be answered once with
    /// http_server::respond, immediately or later. The message may be moved
    /// from and is valid only during the call.
    virtual void on_request(exchange_id exchange, http_message& message) = 0;

    /// Called when the client closes its connection before the response.
    virtual void on_client_disconnected(exchange_id exchange) = 0;

    /// Returns the serialized response (status line, headers and body) with
    /// which a connection is refused, or an invalid or timed-out request is
    /// answered.
    virtual std::string rejection(error_kind kind) = 0;
};

/// Handles one request at a time on each connection and reads only as far as
/// the limits allow. Pipelined requests, and large bodies, are handled over
/// several turns of the event loop. Not thread-safe: everything runs on the
/// thread of the event loop.
class http_server
{
public:
    /// `budget` must outlive the server; without one nothing is limited but by
    /// set_limits.
    http_server(asio::io_context& loop, clock const& time,
                request_handler& handler, process_budget* budget = nullptr);
    ~http_server();

    /// Listens on an address and returns the bound port. Throws
    /// std::system_error if the address cannot be bound.
    std::uint16_t listen(asio::ip::tcp::endpoint const& at);
    /// Stops accepting connections; existing ones continue.
    void stop_listening();

    void set_limits(serving::edge_limits const& limits);

    /// Sends a complete serialized response. With `close` the connection is
    /// closed after it, which the response should announce with
    /// "Connection: close". Ignored if the client has disconnected.
    /// The body of a response to HEAD is left out.
    void respond(exchange_id exchange, std::string bytes, bool close);

    /// Whether the client of an exchange has closed its side, also if that has
    /// not been read yet. One system call.
    bool client_has_left(exchange_id exchange) const;

    /// From now on every connection is closed after its next response.
    void set_closing() { closing_ = true; }
    bool closing() const { return closing_; }

    /// Enforces the time limits. If memory is short, refuses requests whose
    /// bodies arrive too slowly; if connections are, closes quiet ones. Must be
    /// called a few times per second.
    void sweep();

    std::size_t connections() const { return connections_.size(); }
    /// Connections that could not be accepted, each followed by a short pause.
    std::uint64_t accept_failures() const { return accept_failures_; }
    /// Connections closed at once, because there was no socket or memory for
    /// them.
    std::uint64_t refused_connections() const { return refused_connections_; }
    /// Quiet connections closed to make room for others.
    std::uint64_t closed_for_room() const { return closed_for_room_; }
    /// Requests refused before they were read completely because memory was
    /// short.
    std::uint64_t memory_refusals() const { return memory_refusals_; }
    /// Number of requests that have been read but not answered.
    std::size_t open_exchanges() const { return exchanges_.size(); }
    /// Number of requests that have been read but not answered, plus responses
    /// not yet fully written to their socket. If the process exits before
    /// this is 0, these responses are lost or truncated.
    std::size_t unfinished_responses() const;
    /// Closes all connections, without waiting for responses.
    void close_all();

private:
    friend class server_connection;
    void accept();
    void add_connection(asio::ip::tcp::socket socket);
    /// Until memory is not short any more, gives up clients that make little
    /// progress: first requests that are incomplete, then responses that are
    /// not read.
    void relieve_memory(time_point now);
    /// Refuses incomplete requests, those first that hold the most for the
    /// longest.
    void refuse_slow_requests(time_point now);
    /// Closes connections with unread responses, the largest first.
    void close_unread(time_point now);
    /// Closes connections on which nothing is in progress, those first that
    /// have been quiet for the longest, until there is room for others.
    void relieve_connections(time_point now);
    std::size_t connection_shortage() const;

    asio::io_context& loop_;
    clock const& time_;
    request_handler& handler_;
    budget_reference budget_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::uint64_t accept_failures_ = 0;
    std::uint64_t memory_refusals_ = 0;
    std::uint64_t refused_connections_ = 0;
    std::uint64_t closed_for_room_ = 0;
    serving::edge_limits limits_;
    bool closing_ = false;
    exchange_id last_exchange_ = 0;
    std::shared_ptr<turn_queue> turns_;
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>>
        connections_;
    std::unordered_map<exchange_id, server_connection*> exchanges_;
};

} // namespace kumquatramp::eventloop

#endif
