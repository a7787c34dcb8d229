// One client's connection.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_SERVER_CONNECTION_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_SERVER_CONNECTION_HPP

#include <asio/ip/tcp.hpp>
#include <base/time.hpp>
#include <eventloop/http_server.hpp>
#include <eventloop/message_reader.hpp>
#include <memory>
#include <string>

namespace kumquatramp::eventloop
{

class server_connection final
    : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(http_server& server, asio::ip::tcp::socket socket);

    void start();
    /// Answers with a rejection and ends the connection.
    void refuse(error_kind kind);
    void respond(std::string bytes, bool close);
    void sweep(time_point now, serving::edge_limits const& limits);
    void close();

    /// The socket has not taken all bytes of an answer.
    bool is_writing() const { return writing_ && !closed_; }

    /// Not answered yet; 0: none.
    exchange_id exchange() const { return exchange_; }

private:
    void wait_readable();
    void on_readable();
    void take(std::span<char const> bytes);
    void process();
    bool overdue(time_point now, serving::edge_limits const& limits) const;
    void write(std::string bytes);
    void after_write();

    http_server& server_;
    asio::ip::tcp::socket socket_;
    message_reader reader_;
    std::string pending_; ///< received and not yet read as a request
    std::string out_;     ///< what the socket has not taken yet
    exchange_id exchange_ = 0;
    bool processing_ = false;
    bool writing_ = false;
    bool waiting_ = false; ///< a wait for bytes is open
    bool close_after_ = false;
    bool lingering_ = false; ///< our side has ended; the rest is discarded
    bool closed_ = false;
    bool continued_ = false; ///< 100 Continue has been sent
    time_point since_;       ///< of the present phase: idle, request, answer
                             ///< being written, lingering
    time_point last_byte_;
};

} // namespace kumquatramp::eventloop

#endif
