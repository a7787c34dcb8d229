// Implements http_client with one persistent connection per session.
#include "details/read_buffer.hpp"
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <eventloop/http_client.hpp>
#include <eventloop/message_reader.hpp>
#include <eventloop/socket_options.hpp>
#include <optional>

namespace kumquatramp::eventloop
{

namespace
{

/// Limits on a response: a page of the store holds up to a megabyte in base64.
constexpr std::size_t max_response_header_bytes = 65536;
constexpr std::size_t max_response_body_bytes = 16U << 20U;

} // namespace

/// A connection and the request in progress on it. Kept alive by its pending
/// asynchronous operations.
class http_client::session : public std::enable_shared_from_this<session>
{
public:
    session(asio::io_context& loop, asio::ip::tcp::endpoint server)
        : socket_(loop)
        , timer_(loop)
        , server_(std::move(server))
        , reader_(message_reader::kind::response, max_response_header_bytes,
                  max_response_body_bytes)
    {
    }

    void call(std::string bytes, duration timeout, handler done)
    {
        done_ = std::move(done);
        request_bytes_ = std::move(bytes);
        reader_.reset();
        timer_.expires_after(timeout);
        timer_.async_wait(
            [self = shared_from_this(),
             call = ++call_count_](asio::error_code const& e)
            {
                if (!e && call == self->call_count_ && self->done_)
                {
                    self->fail(self->without_response(call_outcome::timed_out));
                }
            });
        if (connected_)
        {
            send();
            return;
        }
        socket_.async_connect(
            server_,
            [self = shared_from_this()](asio::error_code const& e)
            {
                if (e || self->closed_)
                {
                    self->fail(call_outcome::unconnected);
                    return;
                }
                set_common_options(self->socket_);
                self->connected_ = true;
                self->wait_readable();
                self->send();
            });
    }

    bool busy() const { return static_cast<bool>(done_); }
    bool closed() const { return closed_; }

    void fail(call_outcome outcome)
    {
        if (!closed_)
        {
            closed_ = true;
            asio::error_code ignored;
            socket_.close(ignored);
        }
        end(nullptr, outcome);
    }

private:
    /// `outcome` if no byte of a response has arrived.
    call_outcome without_response(call_outcome outcome) const
    {
        return reader_.state() == message_reader::progress::idle
                   ? outcome
                   : call_outcome::malformed_response;
    }

    void send()
    {
        asio::async_write(
            socket_, asio::buffer(request_bytes_),
            [self = shared_from_this()](asio::error_code const& e, std::size_t)
            {
                if (e)
                {
                    self->fail(call_outcome::closed);
                }
            });
    }

    void wait_readable()
    {
        socket_.async_wait(
            asio::ip::tcp::socket::wait_read,
            [self = shared_from_this()](asio::error_code const& e)
            {
                if (!e && !self->closed_)
                {
                    self->on_readable();
                }
            });
    }

    void on_readable()
    {
        auto& buffer = read_buffer();
        asio::error_code failed;
        std::size_t const size =
            socket_.read_some(asio::buffer(buffer), failed);
        if (failed == asio::error::would_block)
        {
            wait_readable();
            return;
        }
        if (failed || !done_)
        {
            fail(without_response(call_outcome::closed));
            return;
        }
        std::size_t const used = reader_.feed({buffer.data(), size});
        if (reader_.failed())
        {
            fail(call_outcome::malformed_response);
            return;
        }
        if (reader_.state() == message_reader::progress::complete)
        {
            if (used != size || !reader_.message().keep_alive)
            {
                closed_ = true;
                asio::error_code ignored;
                socket_.close(ignored);
            }
            end(&reader_.message(), call_outcome::answered);
        }
        if (!closed_)
        {
            wait_readable();
        }
    }

    void end(http_message const* answer, call_outcome outcome)
    {
        timer_.cancel();
        if (auto done = std::move(done_))
        {
            done_ = nullptr;
            done(answer, outcome);
        }
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::ip::tcp::endpoint server_;
    message_reader reader_;
    std::string request_bytes_;
    handler done_;
    std::uint64_t call_count_ = 0;
    bool connected_ = false;
    bool closed_ = false;
};

char const* to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::unconnected:
        return "connection refused";
    case call_outcome::closed:
        return "connection closed";
    case call_outcome::timed_out:
        return "timed out";
    case call_outcome::malformed_response:
        return "malformed response";
    case call_outcome::cancelled:
        return "connection closed by this host";
    }
    return "";
}

http_client::http_client(asio::io_context& loop, asio::ip::tcp::endpoint server)
    : loop_(loop)
    , server_(std::move(server))
{
}

http_client::~http_client()
{
    reset();
}

void http_client::get(std::string const& target, duration timeout, handler done)
{
    if (!session_ || session_->closed())
    {
        session_ = std::make_shared<session>(loop_, server_);
    }
    session_->call("GET " + target + " HTTP/1.1\r\nHost: " +
                       server_.address().to_string() + "\r\n\r\n",
                   timeout, std::move(done));
}

void http_client::reset()
{
    if (session_)
    {
        auto const old = std::move(session_);
        old->fail(call_outcome::cancelled);
    }
}

bool http_client::busy() const
{
    return session_ && session_->busy();
}

} // namespace kumquatramp::eventloop
