// Server side of a client connection.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_SERVER_CONNECTION_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_SERVER_CONNECTION_HPP

#include <asio/ip/tcp.hpp>
#include <base/time.hpp>
#include <eventloop/http_server.hpp>
#include <eventloop/memory_ledger.hpp>
#include <eventloop/message_reader.hpp>
#include <eventloop/socket_budget.hpp>
#include <memory>
#include <string>

namespace kumquatramp::eventloop
{

/// Parses the requests of one client, passes them to the handler one at a time
/// and writes the responses in order.
class server_connection final
    : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(http_server& server, asio::ip::tcp::socket socket);

    /// Whether the process has a socket and the memory for this connection.
    /// Otherwise it must not be started.
    bool within_budget() const { return slot_.taken() && charge_.bytes() != 0; }
    void start();
    /// Sends the rejection response for `kind` and ends the connection.
    void refuse(error_kind kind);
    /// Sends the response to the current exchange; see http_server::respond.
    void respond(std::string bytes, bool close);
    /// Enforces the time limits.
    void sweep(time_point now, serving::edge_limits const& limits);
    void close();
    /// Closes the socket and frees all that the connection holds, without a
    /// word to the server.
    void release();

    /// Refuses the request that is being received.
    void refuse_for_memory();
    /// Whether a request is being received, for some time, at a rate at which a
    /// large one would not end in time.
    bool receives_slowly(time_point now) const;
    /// Memory that the request being received holds.
    std::size_t request_bytes() const;
    /// Time since the first byte of the request being received.
    duration request_age(time_point now) const { return now - phase_start_; }

    /// Whether the client has taken nothing of its response for some time.
    bool writes_stalled(time_point now) const;
    std::size_t unsent_bytes() const { return unsent_charge_.bytes(); }
    /// Time since the last byte from or to the client; zero while a request is
    /// in progress or a response is being written.
    duration quiet_time(time_point now) const;

    /// Whether part of a response has not been written to the socket yet.
    bool is_writing() const { return writing_ && !closed_; }

    /// Whether the client has closed its side and sent nothing that has not
    /// been read. Asks the kernel.
    bool client_has_left();

    /// The exchange that has not been answered yet, or 0 if there is none.
    exchange_id exchange() const { return exchange_; }

    /// Continues with what was left to a later turn of the event loop.
    void resume();

private:
    void wait_readable();
    void on_readable();
    /// Reads once, at most `limit` bytes.
    void read(std::size_t limit);
    /// Leaves the rest to a later turn of the event loop.
    void defer();
    /// Whether complete or partial requests wait in pending_ to be processed.
    bool has_work() const;
    void on_bytes(std::span<char const> bytes);
    /// Whether bytes that arrive now belong to a later request.
    bool reads_ahead() const;
    /// Passes bytes to the reader; a new request is read under the server's
    /// present limits. Returns the number of bytes consumed.
    std::size_t feed(std::span<char const> bytes);
    void process();
    /// Memory that the connection is charged for.
    std::size_t held_bytes() const;
    /// Charges what the connection holds. Returns false if there is no memory
    /// for the request being received.
    bool account();
    /// Frees the request being received and what came after it.
    void drop_input();
    bool is_overdue(time_point now, serving::edge_limits const& limits) const;
    void write(std::string bytes);
    /// Writes a response, without its body if the request's method is HEAD.
    void write_response(std::string bytes);
    /// Writes what the socket takes of unsent_ and waits to write the rest.
    void flush();
    void continue_write();
    void drop_output();
    void after_write();

    http_server& server_;
    asio::ip::tcp::socket socket_;
    message_reader reader_;
    socket_slot slot_;
    memory_charge charge_; ///< connection, request being received, pending_
    std::string pending_;  ///< received but not parsed yet
    std::string unsent_;   ///< response being written
    std::size_t sent_ = 0; ///< bytes of unsent_ that have been written
    memory_charge unsent_charge_;
    exchange_id exchange_ = 0;
    bool processing_ = false;
    bool deferred_ = false;          ///< resume() will be called
    bool writing_ = false;           ///< waits to write the rest of unsent_
    bool read_wait_pending_ = false; ///< an async_wait for input is pending
    bool close_after_response_ = false;
    bool head_request_ = false; ///< the latest request's method is HEAD
    bool lingering_ = false;    ///< send side shut down; input is discarded
    bool closed_ = false;
    bool continue_sent_ = false; ///< 100 Continue has been sent
    time_point phase_start_; ///< start of the current phase: idle, receiving a
                             ///< request, writing a response, lingering
    time_point last_byte_time_;
    time_point last_write_time_;       ///< of a byte that the client took
    std::size_t request_received_ = 0; ///< bytes of the present request
};

} // namespace kumquatramp::eventloop

#endif
